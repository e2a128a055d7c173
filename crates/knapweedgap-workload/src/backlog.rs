//! Summary of the accepted work by its place in the order of service.
//!
//! It answers how much work stands ahead of a newcomer. It is computed once for many newcomers, so
//! work is kept by priority and by the time until its latest start. That time is rounded to a
//! sixteenth, which bounds the number of entries whatever the number of jobs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::rank::Rank;

/// Number of low bits of the time until the latest start that are kept exactly.
const EXACT_BITS: u32 = 4;

/// Returns the time that a run is expected to go on after it has run for `elapsed`.
///
/// Declared run times are off by up to half in both directions. A run that has reached its estimate
/// is therefore expected to end a quarter of it later.
pub fn remaining(estimate: Duration, elapsed: Duration) -> Duration {
    estimate.saturating_sub(elapsed).max(elapsed / 4)
}

/// Accepted work, in thousandths of a core times milliseconds.
#[derive(Debug, Clone)]
pub struct Backlog {
    at: Instant,
    running: u64,
    /// Work that waits and can still be in time, by priority and rounded time until its latest start.
    waiting: BTreeMap<(u32, u32), u64>,
}

impl Backlog {
    /// Creates an empty backlog as of `at`.
    pub fn new(at: Instant) -> Backlog {
        Backlog { at, running: 0, waiting: BTreeMap::new() }
    }

    /// Adds what is left of runs. They keep their processors whatever arrives.
    pub fn add_running(&mut self, work: u64) {
        self.running = self.running.saturating_add(work);
    }

    /// Adds work that waits. Work that has missed its objective runs after all that can still be in
    /// time, and does not count.
    pub fn add_waiting(&mut self, rank: &Rank, work: u64) {
        if !rank.is_in_time() || work == 0 {
            return;
        }
        let entry = self.waiting.entry((rank.priority(), self.slot(rank))).or_default();
        *entry = entry.saturating_add(work);
    }

    /// Returns the work that goes before a newcomer of this rank.
    pub fn ahead_of(&self, rank: &Rank) -> u64 {
        let ahead = self.waiting.range(..=(rank.priority(), self.slot(rank)));
        ahead.fold(self.running, |sum, (_, work)| sum.saturating_add(*work))
    }

    /// Returns the position of the time until the latest start among times that grow by a sixteenth.
    fn slot(&self, rank: &Rank) -> u32 {
        let left = rank.start_by().saturating_duration_since(self.at).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX);
        let excess_bits = (u64::BITS - left.leading_zeros()).saturating_sub(EXACT_BITS + 1);
        let rounded = u32::try_from(left >> excess_bits).unwrap_or(u32::MAX);
        (excess_bits << EXACT_BITS) + rounded
    }
}
