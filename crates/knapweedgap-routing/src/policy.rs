//! Ways of choosing an upstream.

use derive_more::{Display, Error};
use std::str::FromStr;

/// Way of choosing an upstream. All but [`Policy::SlotShares`] exist for comparison, see
/// `docs/decisions/routing.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum Policy {
    /// Uniform choice.
    #[display("random")]
    Random,
    /// One after the other.
    #[display("round-robin")]
    RoundRobin,
    /// The one with fewer local requests in flight, of two drawn at random.
    #[display("two-choices-local")]
    TwoChoicesLocal,
    /// The less loaded of two drawn at random, by the larger of the local count and the load that
    /// the upstream reported.
    #[display("two-choices-reported")]
    TwoChoicesReported,
    /// The slots are divided among the traffic threads of all live entries, and a thread uses only
    /// its own.
    #[display("own-slots")]
    OwnSlots,
    /// The slots are divided among the traffic threads of all live entries. A thread uses its own
    /// slots first, then slots of others that were reported free.
    #[default]
    #[display("slot-shares")]
    SlotShares,
}

impl Policy {
    /// Tells whether the slots are divided among the traffic threads.
    pub fn divides_slots(self) -> bool {
        matches!(self, Policy::OwnSlots | Policy::SlotShares)
    }

    /// All policies.
    pub const ALL: [Policy; 6] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoicesLocal,
        Policy::TwoChoicesReported,
        Policy::OwnSlots,
        Policy::SlotShares,
    ];
}

/// Text that names no policy.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "invalid routing policy: write random, round-robin, two-choices-local, two-choices-reported or slot-shares"
)]
pub struct Invalid;

impl FromStr for Policy {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Policy, Invalid> {
        Policy::ALL.into_iter().find(|policy| policy.to_string() == text).ok_or(Invalid)
    }
}
