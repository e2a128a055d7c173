//! Policies by which an upstream is chosen.

use derive_more::{Display, Error};
use std::str::FromStr;

/// Policy by which an upstream is chosen. All but [`Policy::SlotShares`] exist for comparison; see
/// `docs/decisions/routing.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum Policy {
    /// A uniformly random upstream.
    #[display("random")]
    Random,
    /// The upstreams in turn.
    #[display("round-robin")]
    RoundRobin,
    /// Of two random upstreams, the one with fewer requests of this thread in flight per slot.
    #[display("two-choices-local")]
    TwoChoicesLocal,
    /// Of two random upstreams, the one with the lower load per slot. The load is the larger of
    /// this thread's requests in flight and the load that the upstream reported.
    #[display("two-choices-reported")]
    TwoChoicesReported,
    /// The slots are divided among the traffic threads of all live entries. A thread uses only its
    /// own slots.
    #[display("own-slots")]
    OwnSlots,
    /// The slots are divided among the traffic threads of all live entries. A thread uses its own
    /// slots first, then slots of other threads that were reported free.
    #[default]
    #[display("slot-shares")]
    SlotShares,
}

impl Policy {
    /// Returns `true` if the slots are divided among the traffic threads.
    pub fn divides_slots(self) -> bool {
        matches!(self, Policy::OwnSlots | Policy::SlotShares)
    }

    /// All policies, in the order of their declaration.
    pub const ALL: [Policy; 6] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::TwoChoicesLocal,
        Policy::TwoChoicesReported,
        Policy::OwnSlots,
        Policy::SlotShares,
    ];
}

/// Error for a text that is not the name of a policy.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "invalid routing policy: expected random, round-robin, two-choices-local, two-choices-reported or slot-shares"
)]
pub struct Invalid;

impl FromStr for Policy {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Policy, Invalid> {
        Policy::ALL.into_iter().find(|policy| policy.to_string() == text).ok_or(Invalid)
    }
}
