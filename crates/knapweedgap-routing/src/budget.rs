//! Retry budget of one service.

use std::time::Instant;

use crate::snapshot::Limits;

/// Tokens that one retry costs. A token is a thousandth, the unit of `rate::Share`.
const RETRY_COST: u64 = 1000;

/// Number of retries that may accumulate from requests, in addition to those of the floor. Without
/// a bound, an hour without failures would permit a long burst of retries.
const SAVED_RETRIES_MAX: u64 = 20;

/// Time for which retries of the floor may accumulate, in seconds.
const FLOOR_SAVED_MAX_S: u64 = 10;

/// Token bucket that is refilled by a share of the requests and a floor per second.
#[derive(Debug)]
pub(crate) struct Budget {
    tokens: u64,
    threads: u64,
    refilled_at: Instant,
}

impl Budget {
    pub(crate) fn new(limits: &Limits, threads: u32, now: Instant) -> Budget {
        let threads = u64::from(threads.max(1));
        Budget {
            tokens: limits.retry_floor.get() * RETRY_COST / threads,
            threads,
            refilled_at: now,
        }
    }

    /// Adds the tokens that one request earns.
    pub(crate) fn deposit(&mut self, limits: &Limits) {
        self.add(limits, u64::from(limits.retry_share.milli()));
    }

    /// Withdraws the cost of one retry. Returns `false` if the budget does not allow it.
    pub(crate) fn withdraw(&mut self, limits: &Limits, now: Instant) -> bool {
        let elapsed_ms = now.saturating_duration_since(self.refilled_at).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        // One retry costs 1000 tokens, so retries per second equal tokens per millisecond.
        let tokens = elapsed_ms.saturating_mul(limits.retry_floor.get()) / self.threads;
        if tokens > 0 {
            self.add(limits, tokens);
            self.refilled_at = now;
        }
        if self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }

    fn add(&mut self, limits: &Limits, tokens: u64) {
        let floor_max = limits.retry_floor.get() * RETRY_COST * FLOOR_SAVED_MAX_S / self.threads;
        let max = floor_max + SAVED_RETRIES_MAX * RETRY_COST;
        self.tokens = self.tokens.saturating_add(tokens).min(max);
    }
}
