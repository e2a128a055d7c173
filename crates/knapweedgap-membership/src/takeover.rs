//! Time that a takeover is still expected to take, for clients that are told when to return.

use std::time::{Duration, Instant};

use crate::steadiness::SHORT_TIMEOUT;

/// Time from a claim until the new owner serves: 0.8 s with 490 workers.
const SERVING_TIME: Duration = Duration::from_millis(800);

/// State of a takeover as an instance knows it that is not served by an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The records of the ownership have not been read.
    Unknown,
    /// The silent owner may be replaced from this time on.
    Waiting(Instant),
    /// An owner is in contact or is this instance, and does not serve yet.
    Claimed,
}

impl State {
    /// Returns the time until an owner is expected to serve.
    pub fn remaining(self, now: Instant) -> Duration {
        let claimed_in = match self {
            State::Unknown => SHORT_TIMEOUT,
            State::Waiting(due) => due.saturating_duration_since(now),
            State::Claimed => Duration::ZERO,
        };
        claimed_in + SERVING_TIME
    }
}
