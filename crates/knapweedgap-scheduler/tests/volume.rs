//! Guards against a log that leaves out placements at the rate of a large fleet, or that grows
//! without bound. The log belongs to the process, so this file has one test.

use std::io::{self, Write};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use knapweedgap_scheduler::output::{self, JOINED_LEN_MAX, KIND_BYTES_MAX, Limiter};

/// Longest wait for a line.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Placements of one pass, several times those of the busiest second of a large fleet.
const PLACEMENTS: usize = 2_000;
/// Length of a line that is repeated beyond the limit.
const LINE_LEN: usize = 4_000;

struct Sink(mpsc::Sender<String>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.0.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn entry(number: usize) -> String {
    format!(
        "task={number:016x}.0.0.0 run=1 decision=place worker=i-20237a5b87 waited_ms=834 \
         report_age_ms=463 speed_percent=100"
    )
}

#[test]
fn many_placements_in_one_second_are_logged_and_bytes_over_the_limit_are_counted() {
    let (written, lines) = mpsc::channel();
    output::start_with(log::LevelFilter::Info, Sink(written)).expect("the first log");
    let (limiter, now) = (Limiter::default(), Instant::now());
    let joined = output::joined((0..PLACEMENTS).map(entry));
    assert!(joined.iter().all(|line| line.len() <= JOINED_LEN_MAX));
    for line in &joined {
        assert!(limiter.admit("place", line, now), "a placement is left out");
    }
    let text = joined.join("\n");
    let logged: Vec<&str> = text.lines().flat_map(|line| line.split(" | ")).collect();
    let expected: Vec<String> = (0..PLACEMENTS).map(entry).collect();
    assert_eq!(logged, expected);

    let long = "x".repeat(LINE_LEN);
    let admitted = (0..1_000).filter(|_| limiter.admit("long", &long, now)).count();
    assert_eq!(admitted, KIND_BYTES_MAX / LINE_LEN);
    assert!(limiter.admit("other", &long, now), "one kind displaces another");
    assert!(limiter.admit("long", &long, now + Duration::from_secs(1)));
    let left_out = 1_000 - admitted;
    let expected = format!("[log] kind=long left_out={left_out} bytes={}\n", left_out * LINE_LEN);
    let mut text = String::new();
    while !text.contains(&expected) {
        text.push_str(&lines.recv_timeout(TIMEOUT).expect("the count is logged"));
    }
    assert_eq!(text.matches("left_out=").count(), 1, "{text}");
}
