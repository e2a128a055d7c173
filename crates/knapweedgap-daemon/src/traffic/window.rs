//! Latencies of upstreams over a time window, used to detect interference.

use std::collections::HashMap;
use std::time::Duration;

use knapweedgap_core::{id, rate};
use knapweedgap_routing::snapshot::Upstream;

/// Length of a window. It is long enough for a meaningful percentile of a busy upstream and short
/// enough for a response to interference within seconds.
pub(super) const WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of latencies kept for one upstream. Beyond it, random latencies are replaced, so
/// that the kept ones remain a uniform sample.
const SAMPLE_LEN_MAX: usize = 512;
/// Minimum number of latencies for a tail latency.
const SAMPLE_LEN_MIN: usize = 20;

/// Sample of the latencies of one upstream.
#[derive(Debug, Default)]
struct Sample {
    added: usize,
    latencies: Vec<Duration>,
}

/// Latencies of all upstreams in the current window.
#[derive(Debug, Default)]
pub(super) struct Window {
    samples: HashMap<id::Upstream, Sample>,
}

impl Window {
    /// Adds the latency of one answer.
    pub(super) fn add(&mut self, upstream: &Upstream, latency: Duration) {
        let sample = self.samples.entry(upstream.id.clone()).or_default();
        sample.added += 1;
        if sample.latencies.len() < SAMPLE_LEN_MAX {
            sample.latencies.push(latency);
            return;
        }
        let position = fastrand::usize(..sample.added);
        if let Some(replaced) = sample.latencies.get_mut(position) {
            *replaced = latency;
        }
    }

    /// Returns the latency of an upstream at a percentile, or `None` with fewer than
    /// [`SAMPLE_LEN_MIN`] latencies.
    pub(super) fn tail(
        &mut self,
        upstream: &id::Upstream,
        percentile: rate::Share,
    ) -> Option<Duration> {
        let latencies = &mut self.samples.get_mut(upstream)?.latencies;
        if latencies.len() < SAMPLE_LEN_MIN {
            return None;
        }
        let share = usize::try_from(percentile.milli()).unwrap_or_default();
        let position = (latencies.len() * share / 1000).min(latencies.len() - 1);
        let (_, tail, _) = latencies.select_nth_unstable(position);
        Some(*tail)
    }

    /// Starts the next window.
    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }
}
