//! Retry budget of one service.

use std::time::Instant;

use crate::snapshot::Limits;

/// Cost of one retry, in thousandths, the unit of `rate::Share`.
const RETRY: u64 = 1000;

/// Retries that may accumulate from requests, beyond ten seconds of the floor. The bound keeps an
/// hour without failures from allowing a long storm of retries.
const SAVED_RETRIES_MAX: u64 = 20;

const FLOOR_SAVED_S: u64 = 10;

/// Token bucket that a share of the requests and a floor per second fill.
#[derive(Debug)]
pub(crate) struct Budget {
    tokens: u64,
    threads: u64,
    refilled: Instant,
}

impl Budget {
    pub(crate) fn new(limits: &Limits, threads: u32, now: Instant) -> Budget {
        let threads = u64::from(threads.max(1));
        Budget { tokens: limits.retry_floor.get() * RETRY / threads, threads, refilled: now }
    }

    /// Adds the share of one request.
    pub(crate) fn deposit(&mut self, limits: &Limits) {
        self.add(limits, u64::from(limits.retry_share.milli()));
    }

    /// Takes one retry if the budget allows it.
    pub(crate) fn withdraw(&mut self, limits: &Limits, now: Instant) -> bool {
        let elapsed_ms = now.saturating_duration_since(self.refilled).as_millis();
        let elapsed_ms = u64::try_from(elapsed_ms).unwrap_or(u64::MAX);
        // One retry costs 1000, so retries per second equal tokens per millisecond.
        let tokens = elapsed_ms.saturating_mul(limits.retry_floor.get()) / self.threads;
        if tokens > 0 {
            self.add(limits, tokens);
            self.refilled = now;
        }
        if self.tokens < RETRY {
            return false;
        }
        self.tokens -= RETRY;
        true
    }

    fn add(&mut self, limits: &Limits, tokens: u64) {
        let floor_max = limits.retry_floor.get() * RETRY * FLOOR_SAVED_S / self.threads;
        let max = floor_max + SAVED_RETRIES_MAX * RETRY;
        self.tokens = self.tokens.saturating_add(tokens).min(max);
    }
}
