//! Ejection of an upstream that one router cannot reach or that refuses all work.

use std::time::Instant;

use crate::snapshot::Limits;

/// Consecutive failures of one upstream and its current ejection.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ejection {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Records a failure. If it starts an ejection, returns its end.
    pub(crate) fn record_failure(
        &mut self,
        limits: &Limits,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Option<Instant> {
        self.failures = self.failures.saturating_add(1);
        let threshold = if self.ejections > 0 { 1 } else { limits.eject_after.max(1) };
        if self.until.is_some() || self.failures < threshold {
            return None;
        }
        let factor = 1u32.checked_shl(self.ejections.min(16)).unwrap_or(u32::MAX);
        let backoff = limits.eject_base.saturating_mul(factor).min(limits.eject_max);
        // Jitter keeps the entries from probing a restarted upstream at the same time.
        let jitter = backoff.mul_f64(rng.f64() / 4.0);
        let until = now + backoff + jitter;
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.until = Some(until);
        Some(until)
    }

    pub(crate) fn record_success(&mut self) {
        *self = Ejection::default();
    }

    /// Ends the ejection if its time has passed. Returns `true` if it ended.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.until.is_some_and(|until| until <= now);
        if expired {
            self.until = None;
        }
        expired
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// Returns `true` if only one request at a time may be sent: from an ejection until a success.
    pub(crate) fn is_probing(&self) -> bool {
        self.ejections > 0
    }
}
