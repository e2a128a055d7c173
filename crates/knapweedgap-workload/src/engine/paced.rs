//! Placement of one best-effort task or gang of an idle job at a reduced speed.
//!
//! Designed for a load in which the serving tasks of all workers are so busy that none has the slack
//! for a best-effort task at full speed. An accepted job must not stand still for as long as that
//! lasts, so one of its tasks runs at the speed that the serving tasks tolerate. Its speed rises
//! with their slack ([`crate::throttle`]). A gang runs as a whole, at the lowest speed of its
//! members, since they wait for each other.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use super::Engine;
use super::fleet::Worker;
use super::phase::Phase;
use super::place::Plan;
use super::search::Speed;
use super::work::Task;
use crate::{packing, task};

/// Time for which a job must have been idle, or a long-running task must have waited. Most waits for
/// a worker are shorter, and a task at full speed is worth more than one at a reduced speed.
const IDLE_MIN: Duration = Duration::from_secs(1);

/// Time for which a job must have been idle before a task of it is placed where the serving tasks
/// tolerate no speed. Something of each accepted job must run within 3 s.
const SUSPENDED_IDLE_MIN: Duration = Duration::from_secs(2);

impl Engine {
    /// Returns `true` if a task of the step may be placed at a reduced speed: its job is idle, or the
    /// task is long-running and has waited, whether others of its job run or not.
    pub(super) fn may_be_paced(&self, id: task::Step, now: Instant) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        let spec = job.spec().steps.get(usize::from(id.step));
        let Some(spec) = spec.filter(|spec| spec.best_effort) else { return false };
        if self.idle.time(id.job, now).is_some_and(|idle| idle >= IDLE_MIN) {
            return true;
        }
        let has_waited = |task: &Task| match &task.phase {
            Phase::Waiting(waiting) => now.saturating_duration_since(waiting.since) >= IDLE_MIN,
            _ => false,
        };
        spec.long_running && job.step(id).is_some_and(|step| step.tasks.iter().any(has_waited))
    }

    /// Places a best-effort task at a reduced speed, where it runs fastest.
    ///
    /// # Errors
    ///
    /// The number of workers that were looked at in vain.
    pub(super) fn place_paced(
        &mut self,
        plan: &Plan,
        task: task::Id,
        now: Instant,
    ) -> Result<(), usize> {
        if !self.may_be_paced(plan.id, now) {
            return Err(0);
        }
        let speed = if self.may_be_suspended(plan, now) { Speed::Any } else { Speed::Reduced };
        let scope = self.scope(plan, speed, now);
        let workers = self.searched_in(plan, &scope);
        let searched = workers.len();
        let Some((worker, percent)) = self.choose_paced(plan, task, workers, now) else {
            self.note_miss(plan, speed, now);
            return Err(searched);
        };
        self.plan_task(plan, task, worker, percent, now);
        Ok(())
    }

    /// Returns `true` if a task of the step may be placed where the serving tasks tolerate no speed.
    fn may_be_suspended(&self, plan: &Plan, now: Instant) -> bool {
        let idle = self.idle.time(plan.id.job, now);
        idle.is_some_and(|idle| idle >= SUSPENDED_IDLE_MIN)
    }

    /// Returns where the members of a gang run at a reduced speed, and that speed; `None` if not all
    /// of them fit, or if the step may not be paced.
    pub(super) fn choose_paced_gang(
        &mut self,
        plan: &Plan,
        waiting: &[u32],
        run: revision::Run,
        now: Instant,
    ) -> Option<(Vec<(task::Id, id::Worker)>, u32)> {
        if !self.may_be_paced(plan.id, now) {
            return None;
        }
        let mut placed = Vec::with_capacity(waiting.len());
        let mut former = Vec::with_capacity(waiting.len());
        let mut lowest = 100;
        for &index in waiting {
            let task = plan.id.task(index);
            let workers = self.searched(plan);
            let Some((id, speed)) = self.choose_paced(plan, task, workers, now) else { break };
            let Some(worker) = self.workers.get(&id) else { break };
            former.push((worker.slack.clone(), worker.paced_slack.clone()));
            // The next member finds the slack that this one leaves.
            self.reserve(&id, task, run, now);
            let (image, processor) = (&plan.step.image, plan.step.size.processor);
            self.consume_slack(&id, image, processor, speed, now);
            lowest = lowest.min(speed);
            placed.push((task, id));
        }
        for ((task, id), (slack, paced_slack)) in placed.iter().zip(former).rev() {
            let Some(worker) = self.workers.get_mut(id) else { continue };
            worker.release(*task);
            worker.slack = slack;
            worker.paced_slack = paced_slack;
        }
        if placed.len() < waiting.len() {
            return None;
        }
        Some((placed, lowest))
    }

    fn choose_paced(
        &self,
        plan: &Plan,
        task: task::Id,
        workers: Vec<(&id::Worker, &Worker)>,
        now: Instant,
    ) -> Option<(id::Worker, u32)> {
        let avoid = self.jobs.get(&task.step.job)?.task(task)?.avoid.clone();
        let may_be_suspended = self.may_be_suspended(plan, now);
        let mut best: Option<(packing::PacedCost, &id::Worker, u32)> = None;
        for (id, worker) in workers {
            if worker.loads.contains_key(&task) {
                continue;
            }
            let is_avoided = avoid.as_ref() == Some(id);
            let cost = self.paced_cost(plan, may_be_suspended, is_avoided, id, worker, now);
            let Some((cost, speed)) = cost else { continue };
            if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                best = Some((cost, id, speed));
            }
        }
        best.map(|(_, id, speed)| (id.clone(), speed))
    }

    /// Returns the cost of placing a task of a step on a worker at a reduced speed, and that speed in
    /// percent; `None` if the worker is excluded.
    pub(super) fn paced_cost(
        &self,
        plan: &Plan,
        may_be_suspended: bool,
        is_avoided: bool,
        id: &id::Worker,
        worker: &Worker,
        now: Instant,
    ) -> Option<(packing::PacedCost, u32)> {
        self.check(plan, id, worker, now).ok()?;
        let pace = self.pace(plan, worker, may_be_suspended, now)?;
        let candidate = self.candidate(plan, is_avoided, worker, now);
        let cost = packing::paced_cost(&plan.demand(), &candidate, pace).ok()?;
        if self.is_reserved(plan, id, worker, now) {
            return None;
        }
        Some((cost, pace.speed))
    }
}
