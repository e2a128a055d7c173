//! Logs on standard output: one line for each decision.
//!
//! A line starts with the time and the part in brackets. Lines wait in a bounded queue for a
//! thread that writes them, so that no decision waits for a reader of the log. Each kind of line
//! has a limit for each second; lines over a limit and lines that found the queue full are counted
//! by kind, and the counts are logged.

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

/// Lines that wait to be written.
const QUEUE_LEN: usize = 1_024;

/// Lines of one kind in one second. An entry places and ends a few hundred tasks a second at the
/// peak; the limit keeps the volume below 100 KB a second.
const KIND_MAX: u32 = 60;

/// The log can't be opened.
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
/// A log was started before, or the thread that writes can't be started.
pub fn start(level: log::LevelFilter) -> Result<(), Fault> {
    let fault = |reason: String| Fault { reason };
    let (lines, waiting) = async_channel::bounded(QUEUE_LEN);
    let writer = std::thread::Builder::new().name("log".to_owned()).stack_size(STACK_LEN);
    writer.spawn(move || write(&waiting)).map_err(|error| fault(error.to_string()))?;
    let queue = Queue { lines, encoder: PatternEncoder::new(PATTERN) };
    let appender = Appender::builder().build("output", Box::new(queue));
    let config = Config::builder().appender(appender);
    let root = Root::builder().appender("output").build(level);
    let config = config.build(root).map_err(|error| fault(error.to_string()))?;
    log4rs::init_config(config).map(drop).map_err(|error| fault(error.to_string()))
}

/// Stack of a helper thread, in bytes.
pub(crate) const STACK_LEN: usize = 128 * 1024;

fn write(waiting: &Receiver<Vec<u8>>) {
    while let Ok(mut text) = waiting.recv_blocking() {
        while let Ok(line) = waiting.try_recv() {
            text.extend_from_slice(&line);
        }
        // Nobody is left to be told when standard output fails.
        let _ = std::io::stdout().write_all(&text);
    }
}

/// Bounds the lines of each kind. Used by one thread.
#[derive(Debug, Default)]
pub struct Limiter {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    second: Option<Instant>,
    lines: BTreeMap<&'static str, u32>,
}

impl Limiter {
    /// Tells whether a line of `kind` may be written at `now`. The first call of a second logs
    /// what was left out in the one before.
    pub fn admit(&self, kind: &'static str, now: Instant) -> bool {
        let mut state = self.state.borrow_mut();
        let over = state.second.is_none_or(|start| now.duration_since(start) >= SECOND);
        if over {
            for (kind, lines) in std::mem::take(&mut state.lines) {
                let left_out = lines.saturating_sub(KIND_MAX);
                if left_out > 0 {
                    log::info!("[log] kind={kind} left_out={left_out}");
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
