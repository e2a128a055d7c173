//! Periodic work: expiry of leases, repeated stops, occurrences, maintenance, placement and advice.

use std::time::{Duration, Instant};

use knapweedgap_core::id;

use super::Engine;
use super::evidence::Evidence;
use super::fleet::{Proof, Surplus};
use super::phase::Phase;
use crate::event::Event;
use crate::history::Change;
use crate::{job, loss, task};

/// Longest time between two calls of [`Engine::tick`].
pub const TICK: Duration = Duration::from_millis(50);

/// Interval at which the state of the fleet is logged.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

impl Engine {
    /// Performs the periodic work that is due at `now`. `wall_ms` is the time in milliseconds since
    /// 1970.
    pub fn tick(&mut self, now: Instant, wall_ms: u64) {
        if !self.observer.is_deaf(now) {
            self.end_leases(now);
            self.end_orphans(now);
            self.resolve_overdue(now);
        }
        self.eviction_searches = 0;
        self.loads.clear();
        self.withhold_leases(now);
        self.repeat_stops(now);
        self.begin_occurrences(now, wall_ms);
        self.advance_maintenance(now);
        self.check_waiting_attempts(now);
        self.place(now);
        self.call_for_advice(now);
        self.log_standing(now);
        self.log_load(now);
    }

    /// Logs the state of the fleet if [`LOAD_INTERVAL`] has passed.
    fn log_load(&mut self, now: Instant) {
        if self.load_logged_at.is_some_and(|at| now.duration_since(at) < LOAD_INTERVAL) {
            return;
        }
        self.load_logged_at = Some(now);
        let (mut open, mut capacity, mut long_running, mut reserved, mut best_effort) =
            (0, 0, 0, 0, 0);
        let mut slow = 0;
        let mut held = self.orphans.values().map(Vec::len).sum();
        for worker in self.workers.values() {
            if worker.is_suspect {
                held += worker.loads.len();
            }
            if !worker.is_open(now) {
                continue;
            }
            open += 1;
            capacity += worker.listed.capacity.processor.milli();
            best_effort += worker.best_effort_processor.milli();
            slow += worker.loads.values().filter(|load| load.is_slow()).count();
            for load in worker.loads.values() {
                let size = load.size.processor.milli();
                if load.long_running {
                    long_running += size;
                } else if !load.best_effort {
                    reserved += size;
                }
            }
        }
        let waiting = self.waiting_tasks() as usize;
        let (jobs, workers) = (self.jobs.len(), self.workers.len());
        let (untried, idle) = (self.rotation.pending(), self.idle.jobs());
        let list_age = self.list_age(now);
        let (searches, placed) = (self.search_count, self.placed_count);
        (self.search_count, self.placed_count) = (0, 0);
        self.emit(Event::Load {
            workers,
            list_age,
            searches,
            placed,
            open,
            capacity,
            long_running,
            reserved,
            best_effort,
            waiting,
            untried,
            idle,
            slow,
            held,
            jobs,
        });
        self.count_standing(now);
        self.log_idle(now);
    }

    /// Returns the number of tasks that are ready and not placed.
    pub fn waiting_tasks(&self) -> u32 {
        let waiting = self
            .ready
            .iter()
            .filter_map(|&step| Some(self.jobs.get(&step.job)?.step(step)?.waiting.len()));
        u32::try_from(waiting.sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Marks the tasks as lost on workers whose leases have all expired, and removes unlisted
    /// workers without leases and tasks.
    fn end_leases(&mut self, now: Instant) {
        let expired: Vec<id::Worker> = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.lease_expired && worker.lease_expiry <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.lease_expired = true;
            }
            self.judge(&id, Evidence::LeasesEnded, now);
            self.note_state(&id, "lapsed", now);
        }
        let count_before = self.workers.len();
        self.workers.retain(|_, worker| {
            let is_kept = worker.is_listed || !worker.lease_expired || !worker.loads.is_empty();
            if !is_kept {
                self.least_fence = self.least_fence.max(worker.fence);
            }
            is_kept
        });
        self.place_due |= count_before != self.workers.len();
        self.restart_copies(now);
    }

    /// Returns tasks that allow copies to waiting once their worker is suspect.
    fn restart_copies(&mut self, now: Instant) {
        let mut copies = Vec::new();
        for worker in self.workers.values() {
            if !worker.is_suspect || worker.loads.is_empty() {
                continue;
            }
            copies.extend(worker.loads.keys().copied());
        }
        for id in copies {
            let step = self.jobs.get(&id.step.job);
            let step = step.and_then(|job| job.spec().steps.get(usize::from(id.step.step)));
            if step.is_some_and(|step| step.copies) {
                self.detach_run(id, now);
            }
        }
    }

    /// Turns the run of a task on a suspect worker into a surplus run and returns the task to
    /// waiting. The capacity of the run stays reserved.
    fn detach_run(&mut self, id: task::Id, now: Instant) {
        if self.are_attempts_used(id) {
            // No copy may start, so this run is the last that can finish the task.
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        if job.state.is_final() {
            return;
        }
        // An unconfirmed start may still be carried out, so its capacity stays reserved for it.
        let Some(Phase::Running(running)) = job.task(id).map(|task| &task.phase) else { return };
        let (assignment, since) = (running.assignment.clone(), running.since);
        if !self.workers.get(&assignment.worker).is_some_and(|worker| worker.is_suspect) {
            return;
        }
        self.note_loss(id, loss::Cause::Detached, now);
        self.note(id, Change::Freed(loss::Cause::Detached), now);
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(worker) = self.workers.get_mut(&assignment.worker) else { return };
        let proof = Proof::RequestedAfter(since);
        worker.surplus_runs.insert((id, assignment.run), Surplus::new(proof, now));
        job.change(id, |task| task.transition(|phase| phase.into_waiting(now)));
        self.task_unassigned(id, now);
    }

    /// Marks tasks as lost on workers that have not been listed since this term began, once the
    /// leases that earlier owners granted to them have expired.
    fn end_orphans(&mut self, now: Instant) {
        let expired: Vec<id::Worker> =
            self.orphans.keys().filter(|id| self.inherited_expiry(id) <= now).cloned().collect();
        for worker in expired {
            let overrun = now.saturating_duration_since(self.inherited_expiry(&worker));
            for id in self.orphans.remove(&worker).unwrap_or_default() {
                self.mark_lost(id, loss::Cause::UnlistedLeasesEnded { overrun }, now);
            }
        }
    }

    /// Starts the occurrences of timed jobs that are due.
    fn begin_occurrences(&mut self, now: Instant, wall_ms: u64) {
        let lead_ms = u64::try_from(self.bounds.lead_time.as_millis()).unwrap_or_default();
        let timed: Vec<id::Job> = self.timed.iter().copied().collect();
        for id in timed {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(schedule) = job.spec().schedule else { continue };
            let interval_ms = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
            let mut has_begun = false;
            while job.next_occurrence < schedule.repetitions {
                let offset = interval_ms.saturating_mul(u64::from(job.next_occurrence));
                let due_ms = schedule.start_ms.saturating_add(offset);
                if wall_ms + lead_ms < due_ms {
                    break;
                }
                // The record of the job must fit one value, so others wait for an open one to end.
                let open = job.occurrences.len() as u64;
                if open > 0 && job.accepted.size_max(open + 1) > self.bounds.value_max {
                    break;
                }
                job.begin_occurrence(now);
                has_begun = true;
            }
            if job.next_occurrence >= schedule.repetitions {
                self.timed.remove(&id);
            }
            if has_begun {
                self.refresh_ready(id);
                self.mark_dirty(id);
                self.place_due = true;
            }
        }
    }

    /// Stops the long-running tasks on a draining worker at once, because they would end with it.
    pub(super) fn stop_for_drain(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let long_running: Vec<task::Id> = worker
            .loads
            .iter()
            .filter(|(_, load)| load.long_running)
            .map(|(&task, _)| task)
            .collect();
        for task in long_running {
            let Some(job) = self.jobs.get(&task.step.job) else { continue };
            let is_active = job.task(task).is_some_and(|task| {
                matches!(task.phase, Phase::Running(_) | Phase::Sent(_) | Phase::Unconfirmed(_))
            });
            if !is_active || job.state == job::State::Cancelled {
                continue;
            }
            self.stop_task(task, "the worker is leaving", now);
        }
    }
}
