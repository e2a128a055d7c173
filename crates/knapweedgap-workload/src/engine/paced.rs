//! Placement of one best-effort task of an idle job at a reduced speed.
//!
//! Designed for a load in which the serving tasks of all workers are so busy that none has the slack
//! for a best-effort task at full speed. An accepted job must not stand still for as long as that
//! lasts, so one of its tasks runs at the speed that the serving tasks tolerate. Its speed rises
//! with their slack ([`crate::throttle`]).

use std::time::{Duration, Instant};

use knapweedgap_core::id;

use super::Engine;
use super::place::Plan;
use crate::{packing, task};

/// Time for which a job must have been idle. Most waits for a worker are shorter, and a task at full
/// speed is worth more than one at a reduced speed.
const IDLE_MIN: Duration = Duration::from_secs(1);

impl Engine {
    /// Returns `true` if a task of the step may be placed at a reduced speed.
    pub(super) fn may_be_paced(&self, id: task::Step, now: Instant) -> bool {
        let step = self.jobs.get(&id.job);
        let step = step.and_then(|job| job.spec().steps.get(usize::from(id.step)));
        step.is_some_and(|step| step.best_effort && !step.gang)
            && self.idle.time(id.job, now).is_some_and(|idle| idle >= IDLE_MIN)
    }

    /// Places a best-effort task at a reduced speed if nothing of its job has been assigned for
    /// [`IDLE_MIN`], where it runs fastest.
    pub(super) fn place_paced(&mut self, plan: &Plan, task: task::Id, now: Instant) {
        if !self.may_be_paced(plan.id, now) {
            return;
        }
        let Some((worker, speed)) = self.choose_paced(plan, task, now) else { return };
        self.idle.remove(plan.id.job);
        self.plan_task(plan, task, worker, speed, now);
    }

    fn choose_paced(&self, plan: &Plan, task: task::Id, now: Instant) -> Option<(id::Worker, u32)> {
        let avoid = self.jobs.get(&task.step.job)?.task(task)?.avoid.clone();
        let demand = plan.demand();
        let mut best: Option<(packing::PacedCost, &id::Worker, u32)> = None;
        for (id, worker) in self.searched(plan) {
            if worker.loads.contains_key(&task) || self.check(plan, id, worker, now).is_err() {
                continue;
            }
            let (image, processor) = (&plan.step.image, plan.step.size.processor);
            let Some(tolerated) = self.tolerated_speed(image, processor, worker, now) else {
                continue;
            };
            let candidate = self.candidate(plan, avoid.as_ref() == Some(id), worker, now);
            let Ok(cost) = packing::paced_cost(&demand, &candidate, tolerated) else { continue };
            let speed = cost.speed();
            if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                best = Some((cost, id, speed));
            }
        }
        best.map(|(_, id, speed)| (id.clone(), speed))
    }
}
