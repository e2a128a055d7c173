//! Metrics of a run.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::case::{CLIENT_TIMEOUT, Setup};

/// Largest latency in the histogram, in microseconds. It exceeds the client timeout because the
/// latency of a repeated request is counted from its first attempt.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Result of a client request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer arrived within the client timeout.
    Useful,
    /// The last outcome reported to the client was "not run".
    Refused,
    /// The client timed out, or the outcome reported to it was "unknown".
    Failed,
}

/// Metrics of one run, or of several runs added up. Request counts and latencies cover the requests
/// that start after the warm-up.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Latency of useful answers at the client, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Number of requests.
    pub started: u64,
    /// Requests that ended with a refusal.
    pub refused: u64,
    /// Requests that ended with neither a useful answer nor a refusal.
    pub failed: u64,
    /// Useful answers that arrived within the measured part of the run.
    pub useful_in_time: u64,
    /// Attempts that runners started to serve within the measured part of the run.
    pub served: u64,
    /// Those of `served` whose runner is in the zone of the entry.
    pub served_same_zone: u64,
    /// Total wait of the attempts in the queues of runners.
    pub upstream_wait: Duration,
    /// Largest number of connections to one runner.
    pub connections_max: u32,
}

impl Metrics {
    /// Creates empty metrics.
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
            served_same_zone: 0,
            upstream_wait: Duration::ZERO,
            connections_max: 0,
        }
    }

    /// Records the end of a request that was first sent at `start` and ended at `at`.
    pub fn record_end(&mut self, setup: &Setup, start: Duration, at: Duration, end: End) {
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

    /// Records that a runner starts to serve an attempt at `at` after it was queued there for
    /// `wait`.
    pub fn record_service(&mut self, setup: &Setup, at: Duration, same_zone: bool, wait: Duration) {
        if at < setup.timeline.warm_up || at >= setup.timeline.end {
            return;
        }
        self.served += 1;
        self.served_same_zone += u64::from(same_zone);
        self.upstream_wait += wait;
    }

    /// Adds the metrics of another run.
    pub fn add(&mut self, other: &Metrics) {
        self.latency_us.add(&other.latency_us).expect("all histograms have the same bounds");
        self.started += other.started;
        self.refused += other.refused;
        self.failed += other.failed;
        self.useful_in_time += other.useful_in_time;
        self.served += other.served;
        self.served_same_zone += other.served_same_zone;
        self.upstream_wait += other.upstream_wait;
        self.connections_max = self.connections_max.max(other.connections_max);
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

/// Returns `true` if an answer that arrives at `at` is within the timeout of a client that sent the
/// request at `sent`.
pub fn is_useful(sent: Duration, at: Duration) -> bool {
    at <= sent + CLIENT_TIMEOUT
}
