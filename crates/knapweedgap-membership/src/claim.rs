//! Random delay before a claim of the ownership.
//!
//! All followers see the end of an owner at about the same time. The random part of their delays
//! grows with the installation, so that the number of claims that collide does not.

use std::time::Duration;

/// Upper bound of the delay in a small installation. It makes collisions of claims rare.
const JITTER_MIN: Duration = Duration::from_millis(25);
/// Time by which each instance raises that bound. Within a round trip of 15 ms to the store, about
/// four instances claim before they can read the first claim.
const SPREAD: Duration = Duration::from_millis(4);
/// Longest upper bound, reached with 250 instances. The first of them claims after a few
/// milliseconds all the same.
const JITTER_MAX: Duration = Duration::from_secs(1);
/// Number of instances assumed by a process that has not heard of a leader yet, as after a loss of
/// power of all VMs.
const UNKNOWN: u32 = 32;
/// Number of instances from which the records are read again before a claim. In a smaller
/// installation the read costs as much time as a collision.
const CHECKED_MIN: u32 = 10;

/// Returns the upper bound of the random delay among `instances`; 0 if their number is not known.
pub fn jitter_max(instances: u32) -> Duration {
    (SPREAD * known(instances)).clamp(JITTER_MIN, JITTER_MAX)
}

/// Returns `true` if the records of the ownership are to be read again after the delay, so that an
/// instance that waited longer than another one sends no claim.
pub fn is_checked(instances: u32) -> bool {
    known(instances) >= CHECKED_MIN
}

fn known(instances: u32) -> u32 {
    if instances == 0 { UNKNOWN } else { instances }
}
