//! Choice of a worker for a task.
//!
//! Answers two load patterns. Tasks with reserved processors fill workers one after the other, so
//! that whole workers stay free for large tasks. Filling tasks use what the others leave: they go
//! where most is left, and not beside tasks that serve users of images that they slow down.

use knapweedgap_core::size;

use crate::pressure::Verdict;

/// Share of its declared processor time, in percent, that a filling task must find unused. A task
/// that gets less takes its worker's time from tasks that would end sooner.
const FILL_LEFTOVER_MIN: u64 = 80;

/// What a task needs.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// Size.
    pub size: size::Resources,
    /// The processor time is not reserved.
    pub fills: bool,
    /// The task serves users with a bound on their latency.
    pub serves: bool,
    /// Rack of its data.
    pub near: Option<&'a str>,
}

/// Worker as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Capacity that is not reserved.
    pub free: size::Resources,
    /// Processor time that neither reserved nor filling tasks use, in thousandths of a core.
    pub leftover: u64,
    /// Rack.
    pub rack: Option<&'a str>,
    /// It runs a task that serves users.
    pub serves_users: bool,
    /// What is known of the effect of the task on the serving ones there, at its worst.
    pub pressure: Verdict,
    /// A filling task whose effect on the serving ones there is unknown runs already.
    pub is_trial: bool,
    /// The task is known to disturb no serving one, so it need not take a worker without them.
    pub is_light: bool,
    /// It runs a filling task.
    pub is_filled: bool,
    /// The last run of the task failed there.
    pub avoided: bool,
}

/// Cost of a choice; the lowest is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    avoided: bool,
    remote: bool,
    disturbs: bool,
    amount: u64,
}

/// Returns the cost of placing a task on a worker, or nothing when it does not fit.
pub fn cost(need: &Need<'_>, candidate: &Candidate<'_>) -> Option<Cost> {
    let processor = need.size.processor.milli();
    let mut reserved = need.size;
    if need.fills {
        reserved.processor = size::Processor::default();
        let crowded = candidate.leftover * 100 < processor * FILL_LEFTOVER_MIN;
        // One filling task of unknown effect at a time shows its effect at the least cost.
        let doubtful = candidate.pressure == Verdict::Unknown && candidate.is_trial;
        if crowded || doubtful || candidate.pressure == Verdict::Harmful {
            return None;
        }
    }
    if !candidate.free.fits(&reserved) {
        return None;
    }
    let remote = need.near.is_some() && need.near != candidate.rack;
    let (disturbs, amount) = if need.fills {
        let wasteful = candidate.is_light && !candidate.serves_users;
        (candidate.pressure != Verdict::Harmless || wasteful, u64::MAX - candidate.leftover)
    } else if need.serves {
        (candidate.is_filled, candidate.free.processor.milli())
    } else {
        (candidate.leftover < processor, candidate.free.processor.milli())
    };
    Some(Cost { avoided: candidate.avoided, remote, disturbs, amount })
}
