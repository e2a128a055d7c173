//! Permission to renew worker grants, and the hold on replacements after a takeover.
//!
//! Both sides count the same instances: an owner that is cut off keeps its permission while a
//! majority states an outage, so a new owner starts its hold anew while a majority might have
//! stated one.

use std::time::{Duration, Instant};

use crate::timing::{DRIFT_PERCENT, VALIDATION_MAX};

/// Tells whether `count` is more than half of `total`.
pub const fn is_majority(count: usize, total: usize) -> bool {
    count * 2 > total
}

/// Tells whether an ownership validated at this time permits to renew grants by itself.
pub fn is_validated(validated_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(validated_at) <= VALIDATION_MAX
}

/// Owner of the partition before a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Predecessor {
    /// The partition had no owner.
    None,
    /// The owner stated that it has stopped.
    Released,
    /// The owner may still act.
    Unknown,
}

/// Returns the time after which no worker runs under a grant of an earlier owner.
///
/// An owner that did not release the partition may renew for 20 s after `from`, and its last grant
/// runs for `lease`. Both are measured by other clocks, which may be 5 % slow.
pub fn replacement_at(predecessor: Predecessor, from: Instant, lease: Duration) -> Instant {
    let hold = match predecessor {
        Predecessor::None => return from,
        Predecessor::Released => lease,
        Predecessor::Unknown => VALIDATION_MAX + lease,
    };
    from + hold + hold * DRIFT_PERCENT / 100
}
