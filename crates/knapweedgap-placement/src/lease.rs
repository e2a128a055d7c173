//! Bounds on the time for which a worker runs tasks without contact to its owner.

use std::time::{Duration, Instant};

/// Duration of a lease, in the clock of the worker.
pub const LEASE: Duration = Duration::from_secs(10);
/// Time after a validation of the ownership during which the owner may renew leases.
pub const OWNERSHIP_VALIDITY: Duration = Duration::from_secs(20);
/// Largest drift between the clocks of two machines, in percent.
pub const DRIFT_PERCENT: u32 = 5;
/// Age of the last report up to which a worker receives new tasks. Heartbeats are sent every 1 s.
pub const REPORT_AGE_MAX: Duration = Duration::from_secs(3);

/// Adds the largest clock drift to a duration.
pub fn with_drift(duration: Duration) -> Duration {
    duration + duration * DRIFT_PERCENT / 100
}

/// Returns the latest end of any lease that this owner granted, or that the worker accepted from an
/// earlier owner before it answered this one.
///
/// Every such lease is based on a worker clock that was read before the report arrived.
pub fn latest_end(reported: Instant) -> Instant {
    reported + with_drift(LEASE)
}

/// Returns the latest end of any lease that an earlier owner granted, for a worker that has not
/// answered the new owner since the takeover.
pub fn latest_end_after_takeover(takeover: Instant) -> Instant {
    takeover + with_drift(OWNERSHIP_VALIDITY + LEASE)
}
