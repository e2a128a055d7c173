//! Eviction of best-effort runs to workers on which they run at full speed.

use std::time::{Duration, Instant};

use knapweedgap_core::id;

use super::Engine;
use super::phase::Phase;
use super::place::Plan;
use crate::task;

/// Time for which a worker is expected to get an evicted run: that of a stop and a placement.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);

impl Engine {
    /// Stops a best-effort run if another worker takes its task at full speed, or other workers its
    /// whole gang. The lost progress costs less than a slow run. Returns `true` if the stop was
    /// ordered.
    pub(super) fn evict(
        &mut self,
        id: &id::Worker,
        task: task::Id,
        reason: &'static str,
        now: Instant,
    ) -> bool {
        let phase = self.jobs.get(&task.step.job).and_then(|job| Some(&job.task(task)?.phase));
        let Some(Phase::Running(running)) = phase else { return false };
        if running.assignment.worker != *id {
            return false;
        }
        let Some(plan) = self.plan(task.step) else { return false };
        if plan.step.gang {
            let slots = self.slots_by_rack(&plan, now);
            if slots.values().sum::<u64>() < u64::from(plan.step.count) {
                return false;
            }
        } else if !self.expect_arrival(&plan, task, now) {
            return false;
        }
        self.stop_task(task, reason, now);
        true
    }

    /// Chooses the worker that a run will be evicted to. Returns `false` if there is none. No other
    /// run is evicted to that worker meanwhile, because it may have room for one only.
    fn expect_arrival(&mut self, plan: &Plan, task: task::Id, now: Instant) -> bool {
        let Some(chosen) = self.choose(plan, task, None, now) else { return false };
        let Some(worker) = self.workers.get_mut(&chosen) else { return false };
        if worker.arrival_until.is_some_and(|until| now < until) {
            return false;
        }
        worker.arrival_until = Some(now + ARRIVAL_TIMEOUT);
        true
    }
}
