//! Timeouts of calls, derived from their measured round trips.
//!
//! A timeout that is shorter than the delay of this instance's own link or processor would blame
//! every worker for it. The estimate follows RFC 6298, with the shortest timeout of the scheduler in
//! place of one second.

use std::cell::Cell;
use std::time::Duration;

/// Shortest timeout. Workers answer within a round trip between zones, about 10 ms; a start without
/// an answer is resolved by a poll and placed on another worker, so a longer timeout delays its job.
pub const TIMEOUT_MIN: Duration = Duration::from_millis(350);
/// Longest timeout, well below a lease, so that a poll that was lost is repeated before it expires.
pub const TIMEOUT_MAX: Duration = Duration::from_millis(1_500);
/// Number of calls in a row, to any workers, that time out before the cause is sought in this
/// instance. Single workers without contact do not reach it, because the others answer in between.
const TIMEOUTS_IN_ROW: u32 = 8;

/// Smoothed round trip of the calls that a peer, or any of several alike, answers at once.
#[derive(Debug)]
pub struct Estimator {
    timeout_min: Duration,
    smoothed: Cell<Option<Duration>>,
    variation: Cell<Duration>,
    timeouts: Cell<u32>,
}

impl Default for Estimator {
    fn default() -> Estimator {
        Estimator::with_min(TIMEOUT_MIN)
    }
}

impl Estimator {
    /// Creates an estimator whose timeouts are at least `timeout_min`.
    pub fn with_min(timeout_min: Duration) -> Estimator {
        Estimator {
            timeout_min,
            smoothed: Cell::default(),
            variation: Cell::default(),
            timeouts: Cell::default(),
        }
    }

    /// Records the round trip of an answered call.
    pub fn record(&self, round_trip: Duration) {
        self.timeouts.set(0);
        self.update(round_trip);
    }

    /// Records a call that was not answered within `timeout`. Only when no worker answers, the
    /// round trip is taken to be as long as the timeout.
    pub fn record_timeout(&self, timeout: Duration) {
        self.timeouts.set(self.timeouts.get().saturating_add(1));
        if self.timeouts.get() >= TIMEOUTS_IN_ROW {
            self.update(timeout);
        }
    }

    fn update(&self, round_trip: Duration) {
        let Some(smoothed) = self.smoothed.get() else {
            self.smoothed.set(Some(round_trip));
            self.variation.set(round_trip / 2);
            return;
        };
        let difference = smoothed.abs_diff(round_trip);
        self.variation.set(self.variation.get() * 3 / 4 + difference / 4);
        self.smoothed.set(Some(smoothed * 7 / 8 + round_trip / 8));
    }

    /// Returns the timeout of the next call.
    pub fn timeout(&self) -> Duration {
        let estimate = self.smoothed.get().unwrap_or_default() + self.variation.get() * 4;
        estimate.clamp(self.timeout_min, TIMEOUT_MAX)
    }

    /// Returns the timeout of an attempt at a call after `failures` attempts without an answer. Each
    /// doubles the timeout, as in RFC 6298, because the peer may have become slow.
    pub fn retry_timeout(&self, failures: u32) -> Duration {
        let factor = 1u32.checked_shl(failures).unwrap_or(u32::MAX);
        self.timeout().saturating_mul(factor).min(TIMEOUT_MAX)
    }
}
