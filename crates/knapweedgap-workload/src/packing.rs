//! Choice of a worker for a task.
//!
//! Answers two load patterns. Tasks with reserved processors fill workers one after the other, so
//! that whole workers stay free for large tasks. Filling tasks use what the others leave: they go
//! where most is left, and not beside tasks that serve users of images that they slow down.

use knapweedgap_core::size;

/// Share of its declared processor time, in percent, that a filling task must find unused. A task
/// that gets less takes its worker's time from tasks that would end sooner.
const FILL_LEFTOVER_MIN: u64 = 80;

/// Slack that the serving tasks must keep beside a filling task, in hundredths. Their load may rise
/// while it runs; what is over is taken back by its pace.
const SLACK_MIN: u64 = 110;
/// Slack up to which another worker is preferred, in hundredths.
const SLACK_LOW: u64 = 140;

/// Differences of the loss that do not matter, in hundredths: estimates are as rough.
const LOSS_STEP: u64 = 20;

/// What a task needs.
#[derive(Debug, Clone, Copy)]
pub struct Need<'a> {
    /// Size.
    pub size: size::Resources,
    /// The processor time is not reserved.
    pub best_effort: bool,
    /// The task serves users with a bound on their latency.
    pub serves: bool,
    /// Rack of its data.
    pub near: Option<&'a str>,
}

/// Serving tasks of a worker, as a serving task of one image sees them. Workers with one serving
/// image can be filled with whatever does not disturb just that one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Neighbours {
    /// All are of the same image.
    Same,
    /// There are none.
    None,
    /// Some are of other images.
    Others,
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
    /// What the serving tasks there are expected to lose to the task; `None` when there are none.
    pub interference: Option<Interference>,
    /// It runs a filling task.
    pub runs_best_effort: bool,
    /// Serving tasks there.
    pub neighbours: Neighbours,
    /// The last run of the task failed there.
    pub avoided: bool,
}

/// Effect of a filling task on the serving tasks of a worker, in hundredths of slack
/// ([`crate::interference::slack`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interference {
    /// Least slack that is left beside the task.
    pub left: u64,
    /// Most that a serving task loses.
    pub loss: u64,
}

/// Cost of a choice; the lowest is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    avoided: bool,
    remote: bool,
    neighbours: Neighbours,
    place: Place,
    loss: u64,
    amount: u64,
}

/// Kind of place. Filling tasks that do not press serving ones go beside them, so that workers
/// without serving tasks are left for those that do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Place {
    Suited,
    Vacant,
    Disturbing,
}

/// Returns the cost of placing a task on a worker, or nothing when it does not fit.
pub fn cost(need: &Need<'_>, candidate: &Candidate<'_>) -> Option<Cost> {
    let processor = need.size.processor.milli();
    let mut reserved = need.size;
    if need.best_effort {
        reserved.processor = size::Processor::default();
        let crowded = candidate.leftover * 100 < processor * FILL_LEFTOVER_MIN;
        if crowded || candidate.interference.is_some_and(|interference| interference.left < SLACK_MIN) {
            return None;
        }
    }
    if !candidate.free.fits(&reserved) {
        return None;
    }
    let remote = need.near.is_some() && need.near != candidate.rack;
    let place = match candidate.interference {
        None if need.best_effort => Place::Vacant,
        Some(interference) if need.best_effort && interference.left < SLACK_LOW => Place::Disturbing,
        _ if need.serves && candidate.runs_best_effort => Place::Disturbing,
        _ if !need.best_effort && !need.serves && candidate.leftover < processor => Place::Disturbing,
        _ => Place::Suited,
    };
    let loss = candidate.interference.map_or(0, |interference| interference.loss / LOSS_STEP);
    let free = candidate.free.processor.milli();
    let amount = if need.best_effort { u64::MAX - candidate.leftover } else { free };
    let neighbours = if need.serves { candidate.neighbours } else { Neighbours::None };
    Some(Cost { avoided: candidate.avoided, remote, neighbours, place, loss, amount })
}
