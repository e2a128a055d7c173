//! Log output by `log4rs`.
//!
//! Every record starts with the name of its component in brackets: `[process]`, `[settings]`,
//! `[store]`, `[fleet]`, `[members]`, `[links]`, `[partition]`, `[worker]`, `[operator]` or
//! `[traffic]`.
//! Only the control thread writes records, because writing may block.

use std::path::Path;

use derive_more::{Display, Error};
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

/// Error from opening the log.
#[derive(Debug, Display, Error)]
#[display("log: {reason}; check the path of log_file and its permissions")]
pub struct Fault {
    #[error(not(source))]
    reason: String,
}

/// Initializes the log of the process. Without a file, records are written to standard error.
///
/// # Errors
///
/// Returns [`Fault`] if the file can't be opened or a log was already initialized.
pub fn start(level: log::LevelFilter, file: Option<&Path>) -> Result<(), Fault> {
    let fault = |reason: String| Fault { reason };
    let encoder = || Box::new(PatternEncoder::new(PATTERN));
    let output: Box<dyn Append> = match file {
        Some(path) => {
            let appender = FileAppender::builder().encoder(encoder()).build(path);
            Box::new(appender.map_err(|error| fault(error.to_string()))?)
        }
        None => {
            Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder()).build())
        }
    };
    let root = Root::builder().appender("output").build(level);
    let config = Config::builder().appender(Appender::builder().build("output", output));
    let config = config.build(root).map_err(|error| fault(error.to_string()))?;
    log4rs::init_config(config).map(drop).map_err(|error| fault(error.to_string()))
}
