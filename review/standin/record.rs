//! Record of a run: what was sent, answered and run, one event a line, with the time in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    inner: Mutex<(File, Vec<(u64, String)>)>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            started: Instant::now(),
            inner: Mutex::new((File::create(path).unwrap(), Vec::new())),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut inner = self.inner.lock().unwrap();
        let now = self.now_ms();
        let _ = writeln!(inner.0, "{now:>7} {text}");
        inner.1.push((now, text.to_owned()));
    }

    /// Returns all lines that begin with `word`, with their times.
    pub fn lines(&self, word: &str) -> Vec<(u64, String)> {
        let inner = self.inner.lock().unwrap();
        inner.1.iter().filter(|(_, text)| text.split(' ').next() == Some(word)).cloned().collect()
    }
}

/// Returns the value of `name=value` in a line.
pub fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let found = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_default()
}
