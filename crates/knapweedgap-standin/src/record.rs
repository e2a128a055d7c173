//! Records of the events of a stand-in, for an independent checker. Each line is a JSON object.

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

/// Writer of a record, for use by a single thread.
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
    /// Creates a recorder that discards every line.
    pub fn discard() -> Recorder {
        Recorder::new(Sink::Discard)
    }

    /// Creates a recorder that appends to a file. Lines are not buffered, so that none is lost when
    /// the process is killed.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the file can't be opened.
    pub fn file(path: &Path) -> io::Result<Recorder> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Recorder::new(Sink::File(file)))
    }

    /// Creates a recorder that passes each line, without its line break, to a function.
    pub fn callback(function: impl FnMut(&str) + 'static) -> Recorder {
        Recorder::new(Sink::Callback(Box::new(function)))
    }

    fn new(sink: Sink) -> Recorder {
        let (failed, failure) = async_channel::bounded(1);
        Recorder { sink: RefCell::new(sink), failed, failure }
    }

    /// Writes one line. An error is passed to [`Recorder::failure`] and ends the stand-in, because
    /// a record with gaps would mislead the checker.
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

    /// Waits for a failed write and returns its error.
    pub async fn failure(&self) -> io::Error {
        match self.failure.recv().await {
            Ok(error) => error,
            // Not reached: `self` owns a sender, so the channel stays open.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Parses `--record FILE`.
pub(crate) fn option() -> impl Parser<Option<PathBuf>> {
    let option = bpaf::long("record").help("File to append one JSON object per line to");
    option.argument::<PathBuf>("FILE").optional()
}

/// Opens the record of a program; without a path, lines are discarded.
pub(crate) fn open(path: Option<&Path>) -> io::Result<Recorder> {
    path.map_or_else(|| Ok(Recorder::discard()), Recorder::file)
}

/// Returns the wall time in microseconds since the Unix epoch.
pub(crate) fn wall_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
