//! Eviction of best-effort runs to workers on which they run at full speed.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use super::Engine;
use super::fleet::{Load, Worker};
use super::phase::Phase;
use super::place::Plan;
use super::search::Speed;
use crate::task;

/// Time for which a worker is expected to get an evicted run: that of a stop and a placement.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a run is slow before another worker is looked for. The slack of a worker often
/// returns sooner.
const SLOW_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two searches for the same run.
const SEARCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a job must have been idle before slow runs make room for it.
const RESERVED_IDLE_MIN: Duration = Duration::from_secs(1);
/// Number of searches between two ticks. Each covers the fleet.
const SEARCHES_MAX: u32 = 4;

impl Engine {
    /// Returns `true` if another worker should be looked for now for a slow run, and counts the
    /// search. A run that interferes does not wait for the first one.
    pub(super) fn is_eviction_due(
        &mut self,
        id: &id::Worker,
        task: task::Id,
        interferes: bool,
        now: Instant,
    ) -> bool {
        let worker = self.workers.get_mut(id);
        let Some(load) = worker.and_then(|worker| worker.loads.get_mut(&task)) else {
            return false;
        };
        let first = if interferes { now } else { now + SLOW_TIMEOUT };
        let at = load.evict_at.get_or_insert(first);
        if now < *at || self.eviction_searches >= SEARCHES_MAX {
            return false;
        }
        *at = now + SEARCH_INTERVAL;
        self.eviction_searches += 1;
        self.search_count += 1;
        true
    }

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
        if running.assignment.worker != *id || !self.is_interruptible(task) {
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

    /// Evicts slow best-effort runs from a worker on which a task of an idle job that reserves
    /// processors then has room.
    pub(super) fn evict_for(&mut self, id: task::Step, now: Instant) {
        let idle = self.idle.time(id.job, now);
        let is_due = idle.is_some_and(|idle| idle >= RESERVED_IDLE_MIN);
        if !is_due || self.eviction_searches >= SEARCHES_MAX {
            return;
        }
        let Some(plan) = self.plan(id).filter(|plan| !plan.step.best_effort) else { return };
        self.eviction_searches += 1;
        self.search_count += 1;
        let mut fewest: Option<Vec<task::Id>> = None;
        for (id, worker) in self.searched(&plan) {
            if self.check(&plan, id, worker, now).is_err() {
                continue;
            }
            let Some(evicted) = self.evicted_for(&plan, worker) else { continue };
            if fewest.as_ref().is_none_or(|fewest| evicted.len() < fewest.len()) {
                fewest = Some(evicted);
            }
        }
        for task in fewest.unwrap_or_default() {
            self.stop_task(task, "a task with reserved processors needs its room", now);
        }
    }

    /// Returns the slow runs whose eviction makes room for a task of the step on a worker; `None` if
    /// they are not enough. The room of stopping runs becomes free anyway.
    fn evicted_for(&self, plan: &Plan, worker: &Worker) -> Option<Vec<task::Id>> {
        let room =
            |load: &Load| size::Resources { processor: size::Processor::default(), ..load.size };
        let mut free = worker.free();
        if free.processor < plan.step.size.processor {
            // Best-effort runs reserve no processors that their eviction could free.
            return None;
        }
        let slow = worker.loads.iter().filter(|(_, load)| load.is_slow());
        let (stopping, running): (Vec<_>, Vec<_>) =
            slow.partition(|(task, _)| self.stopping.contains(*task));
        for (_, load) in stopping {
            free += room(load);
        }
        let mut evicted = Vec::new();
        for (&task, load) in running {
            if free.fits(&plan.step.size) {
                break;
            }
            if !self.is_interruptible_beside(task, &evicted) {
                continue;
            }
            free += room(load);
            evicted.push(task);
        }
        free.fits(&plan.step.size).then_some(evicted)
    }

    /// Chooses the worker that a run will be evicted to. Returns `false` if there is none. No other
    /// run is evicted to that worker meanwhile, because it may have room for one only.
    fn expect_arrival(&mut self, plan: &Plan, task: task::Id, now: Instant) -> bool {
        self.note_changes(now);
        let scope = self.scope(plan, Speed::Full, now);
        let Some(chosen) = self.choose(plan, task, None, &scope, now) else {
            // The search leaves out the worker of the run, which may take another task.
            let own = self.assignment(task).and_then(|own| self.workers.get_key_value(&own.worker));
            if own.is_none_or(|(id, own)| self.cost(plan, None, false, id, own, now).is_err()) {
                self.note_miss(plan, Speed::Full, now);
            }
            return false;
        };
        let Some(worker) = self.workers.get_mut(&chosen) else { return false };
        if worker.arrival_until.is_some_and(|until| now < until) {
            return false;
        }
        worker.arrival_until = Some(now + ARRIVAL_TIMEOUT);
        true
    }
}
