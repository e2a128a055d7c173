//! Time that a takeover is still expected to take.

use std::time::{Duration, Instant};

use knapweedgap_membership::takeover::State;

/// Guards against clients that are told to return before a successor can serve, or long after it.
#[test]
fn clients_return_when_the_successor_serves() {
    let now = Instant::now();
    let serving = State::Claimed.remaining(now);
    let due = now + Duration::from_millis(1_900);
    assert_eq!(State::Waiting(due).remaining(now), Duration::from_millis(1_900) + serving);
    assert_eq!(State::Waiting(now).remaining(due), serving, "the claim is under way");
    assert!(State::Unknown.remaining(now) > serving);
}
