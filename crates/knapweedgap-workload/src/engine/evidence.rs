//! What an observation of a worker says about the runs on it.
//!
//! This is the only place that decides whether runs may start elsewhere before the leases of their
//! worker have ended. The table in `docs/design.md` gives the reasons.

use knapweedgap_core::revision;

use crate::loss::Cause;
use crate::order::Failure;

/// Observation of a worker that may mean the end of its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Evidence {
    /// All leases that any owner granted have ended, also on the slowest clock.
    LeasesEnded,
    /// The worker answered a poll as another incarnation than the known one.
    OtherIncarnationAnswered(revision::Incarnation),
    /// The platform lists another incarnation.
    OtherIncarnationListed,
    /// The platform does not list the worker any more.
    Unlisted,
    /// A connection to the worker was refused.
    ConnectionRefused,
    /// A call had no answer, or one that says nothing about the runs.
    NoAnswer,
}

/// What follows from an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// All runs of the known incarnation have ended.
    Ended(Cause),
    /// The runs stay assigned, and the worker gets no new ones until it answers.
    Suspect,
    /// Only the worker itself can tell, so it is polled at once.
    Ask,
    /// The runs stay assigned.
    Keep,
}

impl Evidence {
    /// Returns what follows. A worker that is cut off from this instance or from the platform runs
    /// on, whether connections to it are refused, its entry is gone or it was about to leave.
    pub(super) fn verdict(self) -> Verdict {
        match self {
            Evidence::LeasesEnded => Verdict::Ended(Cause::LeasesEnded),
            Evidence::OtherIncarnationAnswered(answered) => {
                Verdict::Ended(Cause::OtherIncarnation { answered })
            }
            // Other writers can write the entry of a worker.
            Evidence::OtherIncarnationListed => Verdict::Ask,
            Evidence::Unlisted => Verdict::Keep,
            Evidence::ConnectionRefused | Evidence::NoAnswer => Verdict::Suspect,
        }
    }
}

impl From<&Failure> for Evidence {
    fn from(failure: &Failure) -> Evidence {
        match failure {
            Failure::NoListener => Evidence::ConnectionRefused,
            Failure::Refused(_) | Failure::Unanswered(_) => Evidence::NoAnswer,
        }
    }
}
