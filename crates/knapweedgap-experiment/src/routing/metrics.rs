//! Figures of one run.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::case::{CLIENT_TIMEOUT, Setup};

/// Longest latency that the histogram holds, in microseconds. Repeats of a client make it longer
/// than its timeout.
const LATENCY_MAX_US: u64 = 60_000_000;

/// How a client request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer arrived before the client gave up.
    Useful,
    /// The client was told "not run".
    Refused,
    /// The client gave up, or was told "unknown".
    Failed,
}

/// Figures of one run. Only requests that start in the measured time count.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Latency of useful answers at the client, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Requests that started.
    pub started: u64,
    /// Requests that were refused and not repeated.
    pub refused: u64,
    /// Requests without a useful answer or a refusal.
    pub failed: u64,
    /// Useful answers that arrived within the measured time.
    pub useful_in_time: u64,
    /// Attempts that a runner started.
    pub served: u64,
    /// Of these, in the zone of the entry.
    pub served_near: u64,
    /// Time that attempts waited at runners.
    pub upstream_wait: Duration,
    /// Largest number of connections to one runner.
    pub connections_max: u32,
}

impl Metrics {
    /// Creates empty figures.
    pub fn new() -> Metrics {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3)
            .expect("the bounds of the histogram are valid constants");
        Metrics {
            latency_us,
            started: 0,
            refused: 0,
            failed: 0,
            useful_in_time: 0,
            served: 0,
            served_near: 0,
            upstream_wait: Duration::ZERO,
            connections_max: 0,
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, setup: &Setup, start: Duration, at: Duration, end: End) {
        let timeline = &setup.timeline;
        let in_time = at >= timeline.warm_up && at < timeline.end;
        self.useful_in_time += u64::from(end == End::Useful && in_time);
        if start < timeline.warm_up {
            return;
        }
        self.started += 1;
        match end {
            End::Useful => {
                let latency = at.saturating_sub(start).as_micros();
                self.latency_us.saturating_record(u64::try_from(latency).unwrap_or(u64::MAX));
            }
            End::Refused => self.refused += 1,
            End::Failed => self.failed += 1,
        }
    }

    /// Records that a runner starts an attempt.
    pub fn serve(&mut self, setup: &Setup, at: Duration, near: bool, wait: Duration) {
        if at < setup.timeline.warm_up || at >= setup.timeline.end {
            return;
        }
        self.served += 1;
        self.served_near += u64::from(near);
        self.upstream_wait += wait;
    }

    /// Adds the figures of another run.
    pub fn add(&mut self, other: &Metrics) {
        self.latency_us.add(&other.latency_us).expect("all histograms have the same bounds");
        self.started += other.started;
        self.refused += other.refused;
        self.failed += other.failed;
        self.useful_in_time += other.useful_in_time;
        self.served += other.served;
        self.served_near += other.served_near;
        self.upstream_wait += other.upstream_wait;
        self.connections_max = self.connections_max.max(other.connections_max);
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

/// Tells whether an answer that arrives at `at` is of use to a client that sent at `sent`.
pub fn is_useful(sent: Duration, at: Duration) -> bool {
    at <= sent + CLIENT_TIMEOUT
}
