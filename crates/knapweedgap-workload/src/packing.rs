//! Choice of a worker for a task.
//!
//! Answers two load patterns. Tasks with reserved processors fill workers one after the other, so
//! that whole workers stay free for large tasks. Filling tasks use what the others leave: they go
//! where most is left, and not beside tasks that serve users of images that they slow down.

use knapweedgap_core::size;

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
    /// Images of serving tasks there other than that of the task.
    pub foreign_images: usize,
    /// Tasks of the same step there.
    pub siblings: usize,
    /// Effect of the task on the serving ones there.
    pub effect: Effect,
    /// The task is known to disturb no serving one, so it need not take a worker without them.
    pub is_light: bool,
    /// It runs a filling task.
    pub is_filled: bool,
    /// The last run of the task failed there.
    pub avoided: bool,
}

/// Effect of a filling task on the serving tasks of a worker, at its worst.
#[derive(Debug, Clone, Copy)]
pub struct Effect {
    /// Expected tail as a part of its target, with the task; 0 without serving tasks.
    pub tail: f64,
    /// Part by which the task raises the tail.
    pub rise: f64,
    /// Nothing is known of one of the pairs.
    pub is_unknown: bool,
    /// A filling task of unknown effect runs there already.
    pub has_trial: bool,
    /// A serving task there was above its target, and the filling tasks are held back.
    pub is_held_back: bool,
}

/// Expected tail, as a part of the target, up to which a filling task may come. The rest covers
/// the swing of the users' load while it runs.
const TAIL_MAX: f64 = 0.9;
/// Rise of the tail that does not count, whatever the tail is.
const RISE_FREE: f64 = 0.2;

impl Effect {
    /// Tells whether the task may come.
    fn is_tolerable(&self) -> bool {
        // One filling task of unknown effect at a time shows its effect at the least cost.
        if self.is_held_back || (self.is_unknown && self.has_trial) {
            return false;
        }
        self.tail <= TAIL_MAX || self.rise <= RISE_FREE
    }
}

/// Cost of a choice; the lowest is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    avoided: bool,
    remote: bool,
    disturbs: bool,
    foreign_images: usize,
    siblings: usize,
    amount: u64,
}

/// Returns the cost of placing a task on a worker, or nothing when it does not fit.
pub fn cost(need: &Need<'_>, candidate: &Candidate<'_>) -> Option<Cost> {
    let processor = need.size.processor.milli();
    let mut reserved = need.size;
    if need.fills {
        reserved.processor = size::Processor::default();
        let crowded = candidate.leftover * 100 < processor * FILL_LEFTOVER_MIN;
        if crowded || !candidate.effect.is_tolerable() {
            return None;
        }
    }
    if !candidate.free.fits(&reserved) {
        return None;
    }
    let remote = need.near.is_some() && need.near != candidate.rack;
    let (disturbs, amount) = if need.fills {
        let wasteful = candidate.is_light && !candidate.serves_users;
        let tail = (candidate.effect.tail * 1000.0) as u64;
        (wasteful, (tail << 32).saturating_sub(candidate.leftover >> 4))
    } else if need.serves {
        (false, candidate.free.processor.milli())
    } else {
        (candidate.leftover < processor, candidate.free.processor.milli())
    };
    // Serving tasks of one image share workers, so that a filling task that disturbs only that
    // image finds the other workers open.
    // The tasks of a step are spread, so that their latencies can be compared.
    let (foreign_images, siblings) =
        if need.serves { (candidate.foreign_images, candidate.siblings) } else { (0, 0) };
    let avoided = candidate.avoided;
    Some(Cost { avoided, remote, disturbs, foreign_images, siblings, amount })
}
