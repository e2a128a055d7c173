//! Guards against a log that leaves out the lines which explain a freed run, or that drops lines
//! without a trace. The log belongs to the process, so this file has one test.

use std::io::{self, Write};
use std::sync::mpsc;
use std::time::Duration;

use knapweedgap_scheduler::output::{self, REQUIRED};

/// Longest wait for a line.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Lines of each kind, above the length of the queue for routine lines.
const LINES: usize = 3_000;

/// Sink that accepts nothing until it is opened.
struct Sink {
    opened: mpsc::Receiver<()>,
    is_open: bool,
    written: mpsc::Sender<String>,
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.is_open = self.opened.recv().is_ok();
        }
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_full_queue_keeps_required_lines_and_counts_what_it_drops() {
    let (open, opened) = mpsc::channel();
    let (written, lines) = mpsc::channel();
    let sink = Sink { opened, is_open: false, written };
    output::start_with(log::LevelFilter::Info, sink).expect("the first log of the process");
    for number in 0..LINES {
        log::info!(target: "routine", "[workload] routine={number}.");
        log::info!(target: &format!("{REQUIRED}::lost"), "[workload] lost={number}.");
    }
    open.send(()).expect("the writer waits");
    let mut text = String::new();
    while dropped(&text) + text.matches(" routine=").count() < LINES {
        text.push_str(&lines.recv_timeout(TIMEOUT).expect("all lines are written or counted"));
    }
    assert!(dropped(&text) > 0);
    for number in 0..LINES {
        assert!(text.contains(&format!(" lost={number}.\n")), "lost={number}");
    }
}

/// Returns the number of routine lines that are reported as dropped.
fn dropped(text: &str) -> usize {
    let counts =
        text.lines().filter_map(|line| line.split_once("WARN [log] target=routine dropped="));
    counts.map(|(_, count)| count.parse::<usize>().expect("a number")).sum()
}
