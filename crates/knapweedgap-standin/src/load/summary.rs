//! Summary of a run.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::event::{Line, Outcome};

/// Longest latency that the histogram can represent, in microseconds. Longer ones count as this.
const LATENCY_US_MAX: u64 = 600_000_000;
/// Significant digits of latencies in the histogram.
const DIGITS: u8 = 3;

/// Latencies of the requests with outcome [`Outcome::Complete`], in microseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Arithmetic mean; 0 without such requests, like the other fields.
    pub mean: f64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Longest latency.
    pub max: u64,
}

/// Summary of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests that were sent and have ended, with any outcome.
    pub requests: u64,
    /// Requests that arrived but were not sent within the time limit.
    pub unsent: u64,
    /// Transmissions after the first one of each request.
    pub repeats: u64,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Number of requests by reported outcome.
    #[serde(rename = "told")]
    pub reported: BTreeMap<Outcome, u64>,
    /// Latencies of the requests with a complete answer, in microseconds.
    pub latency_us: Latency,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "requests {}  unsent {}  repeats {}",
            self.requests, self.unsent, self.repeats
        )?;
        writeln!(f, "seconds  {:.3}", self.seconds)?;
        for (outcome, count) in &self.reported {
            writeln!(f, "{:<9} {count}", outcome.to_string())?;
        }
        let latency = &self.latency_us;
        writeln!(f, "latency of whole answers, in microseconds")?;
        write!(f, "mean {:.0}  p50 {}  p90 {}", latency.mean, latency.p50, latency.p90)?;
        write!(f, "  p99 {}  p99.9 {}  max {}", latency.p99, latency.p999, latency.max)
    }
}

/// Counters of a run in progress.
#[derive(Debug)]
pub(super) struct Counters {
    requests: u64,
    repeats: u64,
    reported: BTreeMap<Outcome, u64>,
    latency: Histogram<u64>,
}

impl Counters {
    pub(super) fn new() -> std::io::Result<Counters> {
        let latency = Histogram::new_with_bounds(1, LATENCY_US_MAX, DIGITS);
        let latency = latency.map_err(std::io::Error::other)?;
        Ok(Counters { requests: 0, repeats: 0, reported: BTreeMap::new(), latency })
    }

    pub(super) fn add(&mut self, line: &Line) {
        self.requests += 1;
        self.repeats += (line.attempts.len() as u64).saturating_sub(1);
        *self.reported.entry(line.reported).or_default() += 1;
        if line.reported == Outcome::Complete {
            self.latency.saturating_record(line.latency_us);
        }
    }

    pub(super) fn summary(&self, unsent: u64, elapsed: Duration) -> Summary {
        let latency = &self.latency;
        Summary {
            requests: self.requests,
            unsent,
            repeats: self.repeats,
            seconds: elapsed.as_secs_f64(),
            reported: self.reported.clone(),
            latency_us: Latency {
                mean: latency.mean(),
                p50: latency.value_at_quantile(0.5),
                p90: latency.value_at_quantile(0.9),
                p99: latency.value_at_quantile(0.99),
                p999: latency.value_at_quantile(0.999),
                max: latency.max(),
            },
        }
    }
}
