//! Evictions: for urgent work, for a worker that gives up capacity, and against interference.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, rate, size};

use crate::command::Body;
use crate::engine::Engine;
use crate::engine::hold::Hold;
use crate::interference::{self, Change, Step, Threshold};
use crate::job::Priority;
use crate::log::Record;
use crate::pack;
use crate::report::Latency;
use crate::task::{Any, Stop};

/// Workers that one search for evictions examines.
const EXAMINED_MAX: usize = 64;
/// Most workers on which one pass evicts for one job.
const WORKERS_MAX: usize = 16;
/// Time for which the capacity of an eviction is held for urgent work.
const URGENT_HOLD_TIMEOUT: Duration = Duration::from_secs(30);

impl Engine {
    /// Evicts low-priority work to free capacity for the waiting tasks of the urgent job.
    pub(super) fn evict_for_urgent(&mut self, id: &id::Job, now: Instant) {
        let Some(job) = self.state.job(id) else { return };
        let need = job.spec.size;
        let waiting = usize::try_from(job.waiting()).unwrap_or(usize::MAX);
        for _ in 0..waiting.min(WORKERS_MAX) {
            if self.is_capacity_pending(&need, now) || !self.evict_from_one_worker(id, &need, now) {
                return;
            }
        }
    }

    /// Evicts low-priority work from one worker if that frees enough capacity for a task of the
    /// job. Prefers the worker with the fewest victims. Returns `false` if no worker qualifies.
    fn evict_from_one_worker(
        &mut self,
        id: &id::Job,
        need: &size::Resources,
        now: Instant,
    ) -> bool {
        let Some(job) = self.state.job(id) else { return false };
        let mut best: Option<(usize, id::Worker, Vec<id::Task>)> = None;
        let from = self.evict_cursor.clone();
        let after = self.workers.range((lower_bound(&from), std::ops::Bound::Unbounded));
        let before = from.as_ref().map(|from| self.workers.range(..=from)).into_iter().flatten();
        let mut last = None;
        for (worker, known) in after.chain(before).take(EXAMINED_MAX) {
            last = Some(worker.clone());
            let admitted =
                pack::admits_at(&job.spec.constraint, &known.spec.zone, &known.spec.rack);
            if !admitted || !known.is_schedulable(now) || !known.available().fits(need) {
                continue;
            }
            if self.holds.contains_key(worker) {
                continue;
            }
            let Some(victims) = self.victims(worker, self.free(known), need) else { continue };
            if best.as_ref().is_none_or(|(count, _, _)| victims.len() < *count) {
                best = Some((victims.len(), worker.clone(), victims));
            }
        }
        self.evict_cursor = last;
        let Some((_, worker, victims)) = best else { return false };
        let until = now + URGENT_HOLD_TIMEOUT;
        self.holds.insert(worker, Hold { size: *need, until, job: None });
        for victim in victims {
            self.stop_attempt(victim, Stop::Urgent, now);
        }
        true
    }

    /// Returns `true` if holds of sufficient size already cover every waiting urgent task.
    fn is_capacity_pending(&self, need: &size::Resources, now: Instant) -> bool {
        let holds = self
            .holds
            .values()
            .filter(|hold| hold.job.is_none() && now < hold.until && hold.size.fits(need));
        let urgent = self.ready.range(..(Priority::Normal, 0, id::Job::new(0)));
        let waiting: u32 = urgent
            .filter_map(|(_, _, id)| self.state.job(id))
            .map(crate::job::Job::waiting)
            .fold(0, u32::saturating_add);
        holds.count() >= usize::try_from(waiting).unwrap_or(usize::MAX)
    }

    /// Returns the low-priority attempts to end so that `need` fits, the largest first; `None` if
    /// they do not suffice or none is necessary.
    fn victims(
        &self,
        worker: &id::Worker,
        mut free: size::Resources,
        need: &size::Resources,
    ) -> Option<Vec<id::Task>> {
        let mut low: Vec<(size::Resources, id::Task)> = Vec::new();
        for (task, size) in self.state.attempts(worker)? {
            let priority = self.state.job(&task.job)?.spec.priority;
            let running = matches!(self.state.task(task), Some(Any::Placed(_) | Any::Running(_)));
            if priority == Priority::Low && running && !self.batch.busy.contains(task) {
                low.push((*size, *task));
            }
        }
        low.sort_by_key(|(size, _)| std::cmp::Reverse((size.processor, size.memory)));
        let mut victims = Vec::new();
        for (size, task) in low {
            if free.fits(need) {
                break;
            }
            free += size;
            victims.push(task);
        }
        (free.fits(need) && !victims.is_empty()).then_some(victims)
    }

    /// Evicts tasks from a worker that leaves, or whose reservations grew into committed capacity.
    /// Tasks that still fit stay, in the order of priority.
    pub(super) fn reclaim_capacity(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let available = worker.available();
        let leaving = worker.spec.leaving;
        let mut kept = size::Resources::default();
        let mut attempts: Vec<(Priority, id::Task)> = Vec::new();
        for task in self.attempts_on(id) {
            let Some(job) = self.state.job(&task.job) else { continue };
            attempts.push((job.spec.priority, task));
        }
        attempts.sort();
        for (_, task) in attempts {
            let Some(job) = self.state.job(&task.job) else { continue };
            let sum = kept + job.spec.size;
            if !leaving && available.fits(&sum) {
                kept = sum;
                continue;
            }
            self.stop_attempt(task, Stop::Capacity, now);
        }
    }

    /// Throttles, checkpoints, evicts or releases batch tasks according to the latency of a service
    /// on their worker.
    pub(super) fn respond(&mut self, latency: &Latency, ratio_milli: u64, now: Instant) {
        let worker = &latency.worker;
        let threshold = Threshold::new(&self.settings.weights);
        let tasks = self.interfering_tasks(worker, &latency.service);
        if tasks.is_empty() && self.interference.step(worker) == Step::Free {
            return;
        }
        let change = self.interference.respond(worker, ratio_milli, latency.since, &threshold, now);
        match change {
            Some(Change::Up(Step::Throttled)) => {
                for task in tasks {
                    self.throttled.insert(task);
                    self.send(task, Body::Throttle(interference::THROTTLED));
                }
            }
            Some(Change::Up(Step::Checkpointed)) => {
                for task in tasks {
                    self.send(task, Body::Checkpoint);
                }
            }
            Some(Change::Up(Step::Evicted)) => {
                for task in tasks {
                    self.stop_attempt(task, Stop::Interference, now);
                }
            }
            Some(Change::Down(Step::Free)) => {
                for task in self.attempts_on(worker) {
                    if self.throttled.remove(&task) {
                        self.send(task, Body::Throttle(rate::Share::FULL));
                    }
                }
                self.schedule_placement(now);
            }
            Some(Change::Up(Step::Free) | Change::Down(_)) | None => {}
        }
    }

    /// Returns the attempts of the class with the largest expected contribution to the latency of
    /// the service. Urgent work is excluded.
    fn interfering_tasks(&self, worker: &id::Worker, service: &id::Service) -> Vec<id::Task> {
        let mut added: BTreeMap<&id::Class, f64> = BTreeMap::new();
        let mut candidates = Vec::new();
        for task in self.attempts_on(worker) {
            let Some(job) = self.state.job(&task.job) else { continue };
            if job.spec.priority == Priority::Urgent {
                continue;
            }
            let class = &job.spec.class;
            let cores = job.spec.size.processor.milli() as f64;
            *added.entry(class).or_default() +=
                self.contribution.coefficient(service, class).mean * cores;
            candidates.push((task, class));
        }
        let worst = added.into_iter().max_by(|(_, one), (_, other)| one.total_cmp(other));
        let Some((worst, _)) = worst else { return Vec::new() };
        let interfering_tasks = candidates.into_iter().filter(|(_, class)| *class == worst);
        interfering_tasks.map(|(task, _)| task).collect()
    }

    fn stop_attempt(&mut self, task: id::Task, why: Stop, now: Instant) {
        if self.batch.busy.contains(&task) {
            return;
        }
        let Some(any) = self.state.task(&task) else { return };
        if !matches!(any, Any::Placed(_) | Any::Running(_)) {
            return;
        }
        let attempt = any.history().attempt;
        self.batch.push(Record::TaskStopping { task, attempt, why }, now);
    }
}

fn lower_bound(from: &Option<id::Worker>) -> std::ops::Bound<&id::Worker> {
    match from {
        Some(from) => std::ops::Bound::Excluded(from),
        None => std::ops::Bound::Unbounded,
    }
}
