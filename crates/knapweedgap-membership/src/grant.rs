//! Permission to renew worker grants, and the delay of replacements after a takeover.
//!
//! Both sides count the same instances. An owner that cannot reach the key-value service keeps its
//! permission while a majority reports an outage, so a new owner restarts its replacement delay
//! while a majority may have reported one.

use std::time::{Duration, Instant};

use crate::timing::{CLOCK_DRIFT_MAX_PERCENT, VALIDATION_AGE_MAX};

/// Returns `true` if `count` is more than half of `total`.
pub const fn is_majority(count: usize, total: usize) -> bool {
    count * 2 > total
}

/// Returns `true` if a validation of the ownership at this time permits grant renewal without an
/// outage.
pub fn is_validated(validated_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(validated_at) <= VALIDATION_AGE_MAX
}

/// Owner of the partition before a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// The partition had no owner.
    None,
    /// The owner reported that it has stopped acting for the partition.
    Released,
    /// The owner may still act.
    Unknown,
}

/// Returns the time after which no worker runs under a grant of an earlier owner.
///
/// An owner that did not release the partition may renew grants for 20 s after `from`, and its last
/// grant is valid for `lease`. Both are measured by other clocks, which may be 5 % slow.
pub fn replacement_at(predecessor: Predecessor, from: Instant, lease: Duration) -> Instant {
    let delay = match predecessor {
        Predecessor::None => return from,
        Predecessor::Released => lease,
        Predecessor::Unknown => VALIDATION_AGE_MAX + lease,
    };
    from + delay + delay * CLOCK_DRIFT_MAX_PERCENT / 100
}
