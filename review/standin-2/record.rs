//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    state: Mutex<(File, Vec<String>)>,
}

impl Record {
    pub fn new(path: &str) -> std::io::Result<Record> {
        let state = Mutex::new((File::create(path)?, Vec::new()));
        Ok(Record { start: Instant::now(), state })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}", self.start.elapsed().as_secs_f64());
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.0, "{line}");
        state.1.push(text.to_owned());
    }

    /// Returns the lines that contain all of these texts.
    pub fn find(&self, texts: &[&str]) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let contains = |line: &&String| texts.iter().all(|text| line.contains(text));
        state.1.iter().filter(contains).cloned().collect()
    }
}
