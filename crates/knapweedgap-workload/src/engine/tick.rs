//! What happens with time.

use std::time::{Duration, Instant};

use knapweedgap_core::id;

use super::Engine;
use super::fleet::{Proof, Surplus};
use super::phase::Phase;
use crate::event::Event;
use crate::{job, task};

/// Time after which [`Engine::tick`] is called again at the latest.
pub const TICK: Duration = Duration::from_millis(50);

/// Time between two notes of the state of the fleet.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

impl Engine {
    /// Does what is due: ends leases, repeats stops, begins occurrences and places tasks.
    /// `wall_ms` is the time in milliseconds since 1970.
    pub fn tick(&mut self, now: Instant, wall_ms: u64) {
        self.end_leases(now);
        self.end_orphans(now);
        self.repeat_stops(now);
        self.begin_occurrences(now, wall_ms);
        self.advance_maintenance(now);
        self.place(now);
        self.log_load(now);
    }

    /// Notes the state of the fleet once a second.
    fn log_load(&mut self, now: Instant) {
        if self.load_logged_at.is_some_and(|at| now.duration_since(at) < LOAD_INTERVAL) {
            return;
        }
        self.load_logged_at = Some(now);
        let (mut open, mut capacity, mut lasting, mut reserved, mut filling) = (0, 0, 0, 0, 0);
        for worker in self.workers.values() {
            if !worker.is_open(now) {
                continue;
            }
            open += 1;
            capacity += worker.listed.capacity.processor.milli();
            filling += worker.best_effort_processor.milli();
            for load in worker.loads.values() {
                let size = load.size.processor.milli();
                if load.lasting {
                    lasting += size;
                } else if !load.fills {
                    reserved += size;
                }
            }
        }
        let waiting = self
            .ready
            .iter()
            .filter_map(|&step| Some(self.jobs.get(&step.job)?.step(step)?.waiting.len()));
        let (waiting, jobs, workers) = (waiting.sum(), self.jobs.len(), self.workers.len());
        self.emit(Event::Load {
            workers,
            open,
            capacity,
            lasting,
            reserved,
            filling,
            waiting,
            jobs,
        });
    }

    /// Takes the tasks off workers whose every lease has ended.
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
            self.mark_all_lost(&id, "every lease of the worker has ended", now);
            self.note_state(&id, "lapsed", now);
        }
        let before = self.workers.len();
        self.workers
            .retain(|_, worker| worker.is_listed || !worker.lease_expired || !worker.loads.is_empty());
        self.place_due |= before != self.workers.len();
        self.restart_copies(now);
    }

    /// Lets tasks that allow copies run elsewhere as soon as their worker is silent.
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

    /// Leaves the run of a task to itself: its capacity stays taken, and the task waits again.
    fn detach_run(&mut self, id: task::Id, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        if job.state.is_final() {
            return;
        }
        // A start that is not settled may yet be carried out, and its room must stay counted.
        let Some(Phase::Running(running)) = job.task(id).map(|task| &task.phase) else { return };
        let (assignment, since) = (running.assignment.clone(), running.since);
        let Some(worker) = self.workers.get_mut(&assignment.worker) else { return };
        if !worker.is_suspect {
            return;
        }
        let proof = Proof::RequestedAfter(since);
        worker.surplus_runs.insert((id, assignment.run), Surplus { stop_at: now, proof });
        job.change(id, |task| task.transition(|phase| phase.into_waiting(now)));
        self.task_unassigned(id, now);
    }

    /// Takes tasks off workers that no list has named since this term began.
    fn end_orphans(&mut self, now: Instant) {
        let latest = self.term_started_at + self.bounds.predecessor_grant;
        if self.orphans.is_empty() || now < latest {
            return;
        }
        for (_, tasks) in std::mem::take(&mut self.orphans) {
            for id in tasks {
                self.mark_lost(id, "its worker is gone and every lease has ended", now);
            }
        }
    }

    /// Begins the occurrences of timed jobs that are due.
    fn begin_occurrences(&mut self, now: Instant, wall_ms: u64) {
        let early_ms = u64::try_from(self.bounds.early.as_millis()).unwrap_or_default();
        let timed: Vec<id::Job> = self.timed.iter().copied().collect();
        for id in timed {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(schedule) = job.spec().schedule else { continue };
            let interval_ms = u64::try_from(schedule.interval.as_millis()).unwrap_or(u64::MAX);
            let mut begun = false;
            while job.next_occurrence < schedule.repetitions {
                let offset = interval_ms.saturating_mul(u64::from(job.next_occurrence));
                let due_ms = schedule.start_ms.saturating_add(offset);
                if wall_ms + early_ms < due_ms {
                    break;
                }
                job.begin_occurrence(now);
                begun = true;
            }
            if job.next_occurrence >= schedule.repetitions {
                self.timed.remove(&id);
            }
            if begun {
                self.refresh_ready(id);
                self.mark_dirty(id);
                self.place_due = true;
            }
        }
    }

    /// Moves tasks off a worker that will leave: lasting ones at once, because they would end
    /// with it, and those that can resume.
    pub(super) fn move_off_draining(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let lasting: Vec<task::Id> =
            worker.loads.iter().filter(|(_, load)| load.lasting).map(|(&task, _)| task).collect();
        for task in lasting {
            let Some(job) = self.jobs.get(&task.step.job) else { continue };
            let running = job.task(task).is_some_and(|task| {
                matches!(task.phase, Phase::Running(_) | Phase::Sent(_) | Phase::Unconfirmed(_))
            });
            if !running || job.state == job::State::Cancelled {
                continue;
            }
            self.stop_task(task, "the worker is leaving", now);
        }
    }
}
