//! Log on standard output: one line for each decision.
//!
//! A line starts with the time, the level and the target in brackets. A bounded queue passes the
//! lines to a writer thread, so that a slow reader of the log delays no decision. The lines of one
//! kind are limited to a number of bytes in each second. Lines over the limit are counted by kind
//! and the counts are logged. Required lines ([`REQUIRED`]) have no such limit and a larger share of the
//! queue. Lines that are dropped because the queue is full are counted by target in a metric, and
//! the counts are logged once there is room.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use derive_more::{Display, Error};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

use crate::metric;

/// Revision of the sources of this build, or `unknown`.
pub const REVISION: &str = env!("KNAPWEEDGAP_REVISION");

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Number of lines in the queue above which only required lines are added.
const QUEUE_LEN: usize = 1_024;
/// Maximum number of lines in the queue. A cut that separates the owner from a zone may free all
/// runs in it at once.
const REQUIRED_QUEUE_LEN: usize = 16_384;

/// Beginning of the target of required lines.
pub const REQUIRED: &str = "required";

/// Maximum length of the lines of one kind in one second, in bytes. The owner of a large fleet writes
/// about 130 bytes for each of several hundred placements and ends a second, and a few times as much
/// when many jobs move at once. The limit is for each kind, so that no kind displaces another.
pub const KIND_BYTES_MAX: usize = 512 * 1024;

/// Length in bytes at which a line of several entries ends.
pub const JOINED_LEN_MAX: usize = 4 * 1024;

/// Text between two entries of one line.
const SEPARATOR: &str = " | ";

/// Failure to start the log.
#[derive(Debug, Display, Error)]
#[display("log: {reason}")]
pub struct Fault {
    #[error(not(source))]
    reason: String,
}

/// Number of dropped lines by target.
type Dropped = Arc<Mutex<BTreeMap<String, u64>>>;

#[derive(Debug)]
struct Queue {
    lines: Sender<Vec<u8>>,
    encoder: PatternEncoder,
    dropped: Dropped,
}

impl Append for Queue {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let is_admitted = self.lines.len() < QUEUE_LEN || record.target().starts_with(REQUIRED);
        if !is_admitted || self.lines.try_send(encoded(&self.encoder, record)?).is_err() {
            self.drop_line(record.target());
        }
        Ok(())
    }

    fn flush(&self) {}
}

impl Queue {
    fn drop_line(&self, target: &str) {
        metrics::counter!(metric::LINES_DROPPED, "target" => target.to_owned()).increment(1);
        let mut dropped = self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        *dropped.entry(target.to_owned()).or_default() += 1;
    }
}

fn encoded(encoder: &PatternEncoder, record: &log::Record<'_>) -> anyhow::Result<Vec<u8>> {
    let mut line = SimpleWriter(Vec::with_capacity(160));
    encoder.encode(&mut line, record)?;
    Ok(line.0)
}

/// Starts the log for the whole process.
///
/// # Errors
///
/// [`Fault`] if a log was already started or the writer thread can't be created.
pub fn start(level: log::LevelFilter) -> Result<(), Fault> {
    start_with(level, std::io::stdout())
}

/// Starts the log for the whole process, which is written to `sink`.
///
/// # Errors
///
/// [`Fault`] if a log was already started or the writer thread can't be created.
pub fn start_with<Sink>(level: log::LevelFilter, sink: Sink) -> Result<(), Fault>
where
    Sink: Write + Send + 'static,
{
    let fault = |reason: String| Fault { reason };
    let (lines, queued) = async_channel::bounded(REQUIRED_QUEUE_LEN);
    let dropped = Dropped::default();
    let writer = std::thread::Builder::new().name("log".to_owned()).stack_size(STACK_LEN);
    let counts = dropped.clone();
    writer
        .spawn(move || write(&queued, &counts, sink))
        .map_err(|error| fault(error.to_string()))?;
    let queue = Queue { lines, encoder: PatternEncoder::new(PATTERN), dropped };
    let appender = Appender::builder().build("output", Box::new(queue));
    let config = Config::builder().appender(appender);
    let root = Root::builder().appender("output").build(level);
    let config = config.build(root).map_err(|error| fault(error.to_string()))?;
    log4rs::init_config(config).map(drop).map_err(|error| fault(error.to_string()))
}

/// Stack size of a helper thread, in bytes.
pub(crate) const STACK_LEN: usize = 128 * 1024;

/// Writes lines, and the numbers of dropped ones, to `sink` until the queue closes.
fn write<Sink>(queued: &Receiver<Vec<u8>>, dropped: &Dropped, mut sink: Sink)
where
    Sink: Write,
{
    let encoder = PatternEncoder::new(PATTERN);
    while let Ok(mut text) = queued.recv_blocking() {
        while let Ok(line) = queued.try_recv() {
            text.extend_from_slice(&line);
        }
        let counts = std::mem::take(&mut *dropped.lock().unwrap_or_else(PoisonError::into_inner));
        for (target, count) in counts {
            let line = encoded_count(&encoder, &target, count);
            text.extend_from_slice(&line.unwrap_or_default());
        }
        // If the sink fails, there is no channel left to report the error on.
        let _ = sink.write_all(&text);
    }
}

fn encoded_count(encoder: &PatternEncoder, target: &str, count: u64) -> anyhow::Result<Vec<u8>> {
    let mut record = log::Record::builder();
    record.level(log::Level::Warn);
    encoded(encoder, &record.args(format_args!("[log] target={target} dropped={count}")).build())
}

/// Rate limiter for log lines by kind. It is not shared between threads.
#[derive(Debug, Default)]
pub struct Limiter {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Start of the current second; absent before the first call.
    second: Option<Instant>,
    /// Volume in the current second by kind.
    volumes: BTreeMap<&'static str, Volume>,
}

/// Lines of one kind in one second.
#[derive(Debug, Default)]
struct Volume {
    admitted_bytes: usize,
    suppressed: u32,
    suppressed_bytes: usize,
}

impl Limiter {
    /// Returns `true` if a line of `kind` may be written at `now`. The first call in a second logs
    /// the number of lines suppressed in the previous one.
    pub fn admit(&self, kind: &'static str, line: &str, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let elapsed = state.second.is_none_or(|start| now.duration_since(start) >= SECOND);
        if elapsed {
            for (kind, volume) in std::mem::take(&mut state.volumes) {
                let Volume { suppressed, suppressed_bytes, .. } = volume;
                if suppressed > 0 {
                    log::info!("[log] kind={kind} left_out={suppressed} bytes={suppressed_bytes}");
                }
            }
            state.second = Some(now);
        }
        let volume = state.volumes.entry(kind).or_default();
        let admitted_bytes = volume.admitted_bytes.saturating_add(line.len());
        let is_admitted = admitted_bytes <= KIND_BYTES_MAX;
        if is_admitted {
            volume.admitted_bytes = admitted_bytes;
        } else {
            volume.suppressed += 1;
            volume.suppressed_bytes = volume.suppressed_bytes.saturating_add(line.len());
        }
        is_admitted
    }
}

/// Joins entries to lines, each of which ends at [`JOINED_LEN_MAX`] unless one entry is longer.
pub fn joined<Entries>(entries: Entries) -> Vec<String>
where
    Entries: IntoIterator<Item = String>,
{
    let mut lines: Vec<String> = Vec::new();
    for entry in entries {
        match lines.last_mut() {
            Some(line) if line.len() + SEPARATOR.len() + entry.len() <= JOINED_LEN_MAX => {
                line.push_str(SEPARATOR);
                line.push_str(&entry);
            }
            _ => lines.push(entry),
        }
    }
    lines
}

const SECOND: Duration = Duration::from_secs(1);
