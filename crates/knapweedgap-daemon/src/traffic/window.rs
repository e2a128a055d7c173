//! Latencies of upstreams over a window, for the response to interference.

use std::collections::HashMap;
use std::time::Duration;

use knapweedgap_core::{id, rate};
use knapweedgap_routing::snapshot::Upstream;

/// Length of a window. It is long enough for a percentile of a busy upstream and short enough for
/// a response within seconds.
pub(super) const WINDOW: Duration = Duration::from_secs(5);
/// Latencies that are kept for one upstream. Beyond it a random one is replaced, so that the kept
/// ones stay an even sample.
const SAMPLE_LEN_MAX: usize = 512;
/// Fewest latencies from which a tail is derived.
const SAMPLE_LEN_MIN: usize = 20;

/// Latencies of one upstream.
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

    /// Returns the tail latency of an upstream, if enough was measured.
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
