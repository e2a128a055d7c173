//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    /// Writes a line with the time since the beginning, in seconds.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }
}
