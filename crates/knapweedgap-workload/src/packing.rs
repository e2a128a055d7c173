//! Choice of a worker for a task.
//!
//! Designed for two load patterns. Tasks with reserved processors are packed onto the fullest
//! worker that fits, so that whole workers stay free for large tasks. Best-effort tasks use
//! unreserved processor time: they are placed where most of it is left, and not on workers with
//! serving tasks of images with which they interfere.

use std::cmp::Reverse;

use knapweedgap_core::size;

use crate::exclusion::Exclusion;

/// Share of its declared processor time, in percent, that a best-effort task must find unused. With
/// less, the task takes processor time from tasks on the worker that would end sooner.
const UNUSED_SHARE_MIN: u64 = 80;

/// Slack that the serving tasks must keep when a best-effort task is added, in hundredths. Their
/// load may rise while it runs; the speed of the best-effort task is reduced to compensate.
const SLACK_MIN: u64 = 110;
/// Slack up to which another worker is preferred, in hundredths.
const SLACK_LOW: u64 = 140;

/// Resolution of the loss, in hundredths of slack. Smaller differences are below the precision of
/// the estimates.
const LOSS_STEP: u64 = 20;

/// Requirements of a task to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Declared size.
    pub size: size::Resources,
    /// The processor time is not reserved.
    pub best_effort: bool,
    /// The task serves users with a bound on their latency.
    pub serves: bool,
    /// Rack of its data; `None` when any rack is equally good.
    pub near: Option<&'a str>,
}

/// Images of the serving tasks of a worker, compared with that of a serving task to be placed. A
/// worker with a single serving image accepts all best-effort tasks that do not interfere with that
/// image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Neighbours {
    /// All are of the same image.
    Same,
    /// There are none.
    None,
    /// Some are of other images.
    Others,
}

/// State of a worker that decides whether it is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Capacity that is not reserved.
    pub free: size::Resources,
    /// Processor time that neither reserved nor best-effort tasks are expected to use, in
    /// thousandths of a core.
    pub unused_processor: u64,
    /// Rack; `None` when the platform lists none.
    pub rack: Option<&'a str>,
    /// Expected interference of the task with the serving tasks there; `None` when there are none
    /// or the task is not a best-effort task.
    pub interference: Option<Interference>,
    /// The worker runs a best-effort task.
    pub runs_best_effort: bool,
    /// Serving tasks there.
    pub neighbours: Neighbours,
    /// The last run of the task failed there.
    pub avoided: bool,
    /// The worker is slow, because it has started lately.
    pub slow: bool,
}

/// Effect of a best-effort task on the serving tasks of a worker, in hundredths of slack
/// ([`crate::interference::slack`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Interference {
    /// Least slack of a serving task after the task is added.
    pub remaining: u64,
    /// Largest loss of a serving task.
    pub loss: u64,
}

/// Cost of a choice, compared field by field in order; the lowest is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    avoided: bool,
    remote: bool,
    neighbours: Neighbours,
    fit: Fit,
    loss: u64,
    amount: u64,
    /// Decides only between otherwise equal workers.
    slow: bool,
}

/// How well a worker suits a task. Best-effort tasks that do not interfere with serving tasks are
/// placed on the same workers, so that workers without serving tasks are left for those that do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fit {
    Suitable,
    WithoutServing,
    Contended,
}

/// Returns `false` if a serving task with this slack tolerates no best-effort task at full speed,
/// however little it loses to it.
pub fn is_slack_sufficient(slack: f64) -> bool {
    slack * 100.0 >= SLACK_MIN as f64
}

/// Returns the unused processor time that a worker must have for a best-effort task.
pub fn unused_processor_min(declared: size::Processor) -> size::Processor {
    size::Processor::from_milli((declared.milli() * UNUSED_SHARE_MIN).div_ceil(100))
}

/// Speed of a best-effort task to be placed, and what the serving tasks tolerate it with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Speed in percent.
    pub speed: u32,
    /// Least slack of a serving task before the task is added, in hundredths.
    pub slack: u64,
}

/// Cost of a choice at a reduced speed. The highest speed is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PacedCost {
    avoided: bool,
    speed: Reverse<u32>,
    remote: bool,
    slack: Reverse<u64>,
    unused: Reverse<u64>,
    /// Decides only between otherwise equal workers.
    slow: bool,
}

/// Returns the cost of placing a best-effort task on a worker at a reduced speed.
/// It needs no unused processor time: best-effort tasks share what the others leave.
///
/// # Errors
///
/// Returns the first check that the worker does not pass.
pub fn paced_cost(
    demand: &Demand<'_>,
    candidate: &Candidate<'_>,
    pace: Pace,
) -> Result<PacedCost, Exclusion> {
    let reserved = size::Resources { processor: size::Processor::default(), ..demand.size };
    if !candidate.free.fits(&reserved) {
        return Err(Exclusion::Capacity);
    }
    let remote = demand.near.is_some() && demand.near != candidate.rack;
    let unused = Reverse(candidate.unused_processor);
    let (avoided, speed, slack) = (candidate.avoided, Reverse(pace.speed), Reverse(pace.slack));
    Ok(PacedCost { avoided, speed, remote, slack, unused, slow: candidate.slow })
}

/// Returns the cost of placing a task on a worker.
///
/// # Errors
///
/// Returns the first check that the worker does not pass.
pub fn cost(demand: &Demand<'_>, candidate: &Candidate<'_>) -> Result<Cost, Exclusion> {
    let processor = demand.size.processor.milli();
    let mut reserved = demand.size;
    if demand.best_effort {
        reserved.processor = size::Processor::default();
    }
    if !candidate.free.fits(&reserved) {
        return Err(Exclusion::Capacity);
    }
    if demand.best_effort {
        let unused_min = unused_processor_min(demand.size.processor).milli();
        if candidate.unused_processor < unused_min {
            return Err(Exclusion::UnusedProcessor);
        }
        if candidate.interference.is_some_and(|effect| effect.remaining < SLACK_MIN) {
            return Err(Exclusion::Slack);
        }
    }
    let remote = demand.near.is_some() && demand.near != candidate.rack;
    let fit = match candidate.interference {
        None if demand.best_effort => Fit::WithoutServing,
        Some(effect) if demand.best_effort && effect.remaining < SLACK_LOW => Fit::Contended,
        _ if demand.serves && candidate.runs_best_effort => Fit::Contended,
        _ if !demand.best_effort && !demand.serves && candidate.unused_processor < processor => {
            Fit::Contended
        }
        _ => Fit::Suitable,
    };
    let loss = candidate.interference.map_or(0, |effect| effect.loss / LOSS_STEP);
    let free = candidate.free.processor.milli();
    let amount = if demand.best_effort { u64::MAX - candidate.unused_processor } else { free };
    let neighbours = if demand.serves { candidate.neighbours } else { Neighbours::None };
    let Candidate { avoided, slow, .. } = *candidate;
    Ok(Cost { avoided, remote, neighbours, fit, loss, amount, slow })
}
