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
const KEPT_MAX: usize = 512;
/// Fewest latencies from which a tail is derived.
const KEPT_MIN: usize = 20;

/// Latencies of one upstream.
#[derive(Debug, Default)]
struct Sample {
    seen: usize,
    kept: Vec<Duration>,
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
        sample.seen += 1;
        if sample.kept.len() < KEPT_MAX {
            sample.kept.push(latency);
            return;
        }
        let position = fastrand::usize(..sample.seen);
        if let Some(kept) = sample.kept.get_mut(position) {
            *kept = latency;
        }
    }

    /// Returns the tail latency of an upstream, if enough was measured.
    pub(super) fn tail(
        &mut self,
        upstream: &id::Upstream,
        percentile: rate::Share,
    ) -> Option<Duration> {
        let kept = &mut self.samples.get_mut(upstream)?.kept;
        if kept.len() < KEPT_MIN {
            return None;
        }
        let share = usize::try_from(percentile.milli()).unwrap_or_default();
        let position = (kept.len() * share / 1000).min(kept.len() - 1);
        let (_, tail, _) = kept.select_nth_unstable(position);
        Some(*tail)
    }

    /// Starts the next window.
    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }
}
