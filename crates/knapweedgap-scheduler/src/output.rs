//! Log on standard output: one line for each decision.
//!
//! A line starts with the time, the level and the target in brackets. A bounded queue passes the
//! lines to a writer thread, so that a slow reader of the log delays no decision. The lines of one
//! kind are limited to a number in each second. Lines over the limit are counted by kind and the
//! counts are logged. Lines that are dropped because the queue is full are counted in a metric.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::Write;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use derive_more::{Display, Error};
use log4rs::append::Append;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

use crate::metric;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Maximum number of lines in the queue.
const QUEUE_LEN: usize = 1_024;

/// Maximum number of lines of one kind in one second. An instance places and ends a few hundred
/// tasks a second at peak load; the limit keeps the volume below 100 KB a second.
const KIND_MAX: u32 = 60;

/// Failure to start the log.
#[derive(Debug, Display, Error)]
#[display("log: {reason}")]
pub struct Fault {
    #[error(not(source))]
    reason: String,
}

#[derive(Debug)]
struct Queue {
    lines: Sender<Vec<u8>>,
    encoder: PatternEncoder,
}

impl Append for Queue {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(160));
        self.encoder.encode(&mut line, record)?;
        if self.lines.try_send(line.0).is_err() {
            metrics::counter!(metric::LINES_DROPPED).increment(1);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Starts the log for the whole process.
///
/// # Errors
///
/// [`Fault`] if a log was already started or the writer thread can't be created.
pub fn start(level: log::LevelFilter) -> Result<(), Fault> {
    let fault = |reason: String| Fault { reason };
    let (lines, queued) = async_channel::bounded(QUEUE_LEN);
    let writer = std::thread::Builder::new().name("log".to_owned()).stack_size(STACK_LEN);
    writer.spawn(move || write(&queued)).map_err(|error| fault(error.to_string()))?;
    let queue = Queue { lines, encoder: PatternEncoder::new(PATTERN) };
    let appender = Appender::builder().build("output", Box::new(queue));
    let config = Config::builder().appender(appender);
    let root = Root::builder().appender("output").build(level);
    let config = config.build(root).map_err(|error| fault(error.to_string()))?;
    log4rs::init_config(config).map(drop).map_err(|error| fault(error.to_string()))
}

/// Stack size of a helper thread, in bytes.
pub(crate) const STACK_LEN: usize = 128 * 1024;

/// Writes lines to standard output until the queue closes.
fn write(queued: &Receiver<Vec<u8>>) {
    while let Ok(mut text) = queued.recv_blocking() {
        while let Ok(line) = queued.try_recv() {
            text.extend_from_slice(&line);
        }
        // If standard output fails, there is no channel left to report the error on.
        let _ = std::io::stdout().write_all(&text);
    }
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
    /// Lines in the current second by kind, including suppressed ones.
    lines: BTreeMap<&'static str, u32>,
}

impl Limiter {
    /// Returns `true` if a line of `kind` may be written at `now`. The first call in a second logs
    /// the number of lines suppressed in the previous one.
    pub fn admit(&self, kind: &'static str, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let elapsed = state.second.is_none_or(|start| now.duration_since(start) >= SECOND);
        if elapsed {
            for (kind, lines) in std::mem::take(&mut state.lines) {
                let suppressed = lines.saturating_sub(KIND_MAX);
                if suppressed > 0 {
                    log::info!("[log] kind={kind} left_out={suppressed}");
                }
            }
            state.second = Some(now);
        }
        let lines = state.lines.entry(kind).or_default();
        *lines += 1;
        *lines <= KIND_MAX
    }
}

const SECOND: Duration = Duration::from_secs(1);
