//! Local ejection of an upstream that cannot be reached or refuses all work.

use std::time::Instant;

use crate::snapshot::Limits;

/// Consecutive failures of one upstream and what follows from them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ejection {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Records a failure. Returns the end of the ejection if one starts.
    pub(crate) fn fail(
        &mut self,
        limits: &Limits,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Option<Instant> {
        self.failures = self.failures.saturating_add(1);
        let needed = if self.ejections > 0 { 1 } else { limits.eject_after.max(1) };
        if self.until.is_some() || self.failures < needed {
            return None;
        }
        let factor = 1u32.checked_shl(self.ejections.min(16)).unwrap_or(u32::MAX);
        let backoff = limits.eject_base.saturating_mul(factor).min(limits.eject_max);
        // Jitter keeps the entries from probing a restarted upstream at the same moment.
        let jitter = backoff.mul_f64(rng.f64() / 4.0);
        let until = now + backoff + jitter;
        self.ejections = self.ejections.saturating_add(1);
        self.failures = 0;
        self.until = Some(until);
        Some(until)
    }

    pub(crate) fn succeed(&mut self) {
        *self = Ejection::default();
    }

    /// Ends the ejection if its time is over.
    pub(crate) fn end(&mut self, now: Instant) -> bool {
        let over = self.until.is_some_and(|until| until <= now);
        if over {
            self.until = None;
        }
        over
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.until.is_some()
    }

    /// After an ejection, one request at a time is sent until one succeeds.
    pub(crate) fn is_probing(&self) -> bool {
        self.ejections > 0
    }
}
