//! Records for an independent checker: one JSON object a line.

use std::cell::RefCell;
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use bpaf::Parser;
use serde::Serialize;

enum Sink {
    Discard,
    File(File),
    Callback(Box<dyn FnMut(&str)>),
}

/// Writer of a record. Used by one thread.
pub struct Recorder {
    sink: RefCell<Sink>,
    failed: Sender<io::Error>,
    failure: Receiver<io::Error>,
}

impl fmt::Debug for Recorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Recorder").finish_non_exhaustive()
    }
}

impl Recorder {
    /// Creates a recorder that drops every line.
    pub fn discard() -> Recorder {
        Recorder::new(Sink::Discard)
    }

    /// Appends to a file. Lines are not buffered, so that they outlive a killed process.
    ///
    /// # Errors
    ///
    /// An I/O error when the file can't be opened.
    pub fn file(path: &Path) -> io::Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder::new(Sink::File(file)))
    }

    /// Hands each line, without its end, to a function.
    pub fn callback(function: impl FnMut(&str) + 'static) -> Recorder {
        Recorder::new(Sink::Callback(Box::new(function)))
    }

    fn new(sink: Sink) -> Recorder {
        let (failed, failure) = async_channel::bounded(1);
        Recorder { sink: RefCell::new(sink), failed, failure }
    }

    /// Writes one line. A failure ends the stand-in through [`Recorder::failure`], because a
    /// record with gaps would mislead the checker.
    pub fn write<Line>(&self, line: &Line)
    where
        Line: Serialize,
    {
        if let Err(error) = self.try_write(line) {
            let _ = self.failed.try_send(error);
        }
    }

    fn try_write<Line>(&self, line: &Line) -> io::Result<()>
    where
        Line: Serialize,
    {
        let mut text = serde_json::to_string(line)?;
        match &mut *self.sink.borrow_mut() {
            Sink::Discard => Ok(()),
            Sink::Callback(function) => {
                function(&text);
                Ok(())
            }
            Sink::File(file) => {
                text.push('\n');
                file.write_all(text.as_bytes())
            }
        }
    }

    /// Waits until a line could not be written.
    pub async fn failure(&self) -> io::Error {
        match self.failure.recv().await {
            Ok(error) => error,
            // The sender lives as long as the recorder.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Parses `--record FILE`.
pub(crate) fn option() -> impl Parser<Option<PathBuf>> {
    let option = bpaf::long("record").help("File that receives one JSON object a line");
    option.argument::<PathBuf>("FILE").optional()
}

/// Opens the recorder of a program.
pub(crate) fn open(path: Option<&Path>) -> io::Result<Recorder> {
    path.map_or_else(|| Ok(Recorder::discard()), Recorder::file)
}

/// Returns the wall time in microseconds.
pub(crate) fn wall_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
