//! Bounds on how long a worker may run a task without hearing from its owner.

use std::time::{Duration, Instant};

/// Lease that a grant gives, in the clock of the worker.
pub const LEASE: Duration = Duration::from_secs(10);
/// Time for which a validated ownership may renew leases.
pub const OWNERSHIP_VALIDITY: Duration = Duration::from_secs(20);
/// Largest drift between two clocks, in percent.
pub const DRIFT_PERCENT: u32 = 5;
/// Age of the last report up to which a worker receives new tasks. Heartbeats go out every 1 s.
pub const REPORT_AGE_MAX: Duration = Duration::from_secs(3);

/// Adds the largest clock drift to a duration.
pub fn with_drift(duration: Duration) -> Duration {
    duration + duration * DRIFT_PERCENT / 100
}

/// Returns the latest end of any lease that this owner gave or that a worker accepted from an
/// earlier owner before it answered this one.
///
/// Every such lease is based on a worker clock that was read before the report arrived.
pub fn latest_end(reported: Instant) -> Instant {
    reported + with_drift(LEASE)
}

/// Returns the latest end of any lease that an earlier owner gave, when the worker has not
/// answered the new owner since its takeover.
pub fn latest_end_after_takeover(takeover: Instant) -> Instant {
    takeover + with_drift(OWNERSHIP_VALIDITY + LEASE)
}
