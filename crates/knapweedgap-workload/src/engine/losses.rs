//! Log of the runs that are freed before a report shows their end, and of those that a report shows
//! afterwards.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use super::fleet::Proof;
use super::phase::Assignment;
use super::{Engine, work};
use crate::action::Action;
use crate::event::Event;
use crate::{loss, task};

/// Time for which a freed run is remembered. Workers end their runs long before, with their leases.
const MEMORY_AGE: Duration = Duration::from_secs(600);
/// Largest number of freed runs that are remembered.
const MEMORY_LEN: usize = 8_192;

/// Freed runs whose log lines are pending, and those that a report may still show.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// Number of the last verdict in this term.
    last: u64,
    pending: Vec<Verdict>,
    freed: BTreeMap<Key, Freed>,
    /// Keys of `freed`, and some of runs that are no longer in it, with the times at which the runs
    /// were freed, in order.
    ages: VecDeque<(Instant, Key)>,
}

type Key = (task::Id, revision::Run);

/// Freed run that a report may still show.
#[derive(Debug)]
struct Freed {
    number: u64,
    cause: loss::Cause,
    at: Instant,
    /// A report has listed the run as running since.
    is_seen: bool,
}

impl Losses {
    fn remember(&mut self, key: Key, number: u64, cause: loss::Cause, now: Instant) {
        while let Some(&(at, oldest)) = self.ages.front() {
            if self.ages.len() < MEMORY_LEN && now.saturating_duration_since(at) <= MEMORY_AGE {
                break;
            }
            self.ages.pop_front();
            if self.freed.get(&oldest).is_some_and(|freed| freed.at == at) {
                self.freed.remove(&oldest);
            }
        }
        self.freed.insert(key, Freed { number, cause, at: now, is_seen: false });
        self.ages.push_back((now, key));
    }
}

/// Runs on one worker that one observation freed.
#[derive(Debug)]
struct Verdict {
    number: u64,
    worker: id::Worker,
    cause: loss::Cause,
    /// The worker as the owner knew it; `None` if it was not listed in this term.
    state: Option<loss::Worker>,
    runs: Vec<loss::Run>,
}

impl Engine {
    /// Records that the assigned run of a task is about to be freed.
    pub(super) fn note_loss(&mut self, id: task::Id, cause: loss::Cause, now: Instant) {
        let task = self.jobs.get(&id.step.job).and_then(|job| job.task(id));
        let Some(task) = task else { return };
        let Some(assignment) = task.phase.assignment() else { return };
        let worker = assignment.worker.clone();
        let run = lost_run(id, task, assignment, now);
        let key = (id, run.number);
        let last = self.losses.pending.last_mut();
        match last.filter(|last| last.worker == worker && last.cause == cause) {
            Some(last) => last.runs.push(run),
            None => {
                let state = self.worker_state(&worker, now);
                self.losses.last += 1;
                let number = self.losses.last;
                self.losses.pending.push(Verdict { number, worker, cause, state, runs: vec![run] });
            }
        }
        self.losses.remember(key, self.losses.last, cause, now);
    }

    /// Logs that a report shows a run that was freed before, once as running and once as ended.
    pub(super) fn note_sighting(
        &mut self,
        worker: &id::Worker,
        key: Key,
        sighting: loss::Sighting,
        now: Instant,
    ) {
        let Some(freed) = self.losses.freed.get_mut(&key) else { return };
        let age = now.saturating_duration_since(freed.at);
        if age > MEMORY_AGE {
            return;
        }
        let is_running = sighting == loss::Sighting::Running;
        if is_running && std::mem::replace(&mut freed.is_seen, true) {
            return;
        }
        let (number, cause) = (freed.number, freed.cause);
        if !is_running {
            self.losses.freed.remove(&key);
        }
        let (task, run) = key;
        let current =
            self.assignment(task).map(|assignment| (assignment.run, assignment.worker.clone()));
        let worker = worker.clone();
        self.emit(Event::Sighted { task, run, worker, sighting, number, cause, age, current });
    }

    /// Adds the log lines of the freed runs to the actions.
    pub(super) fn log_losses(&mut self) {
        for verdict in std::mem::take(&mut self.losses.pending) {
            let Verdict { number, worker, cause, state, runs } = verdict;
            let count = runs.len();
            self.emit(Event::Verdict {
                worker: worker.clone(),
                number,
                cause,
                runs: count,
                state: state.map(Box::new),
            });
            for run in runs {
                let (worker, run) = (worker.clone(), Box::new(run));
                self.actions.push(Action::Log(match cause {
                    loss::Cause::Detached => Event::Detach { worker, number, run },
                    _ => Event::Lost { worker, number, cause, run },
                }));
            }
        }
    }

    fn worker_state(&self, id: &id::Worker, now: Instant) -> Option<loss::Worker> {
        let worker = self.workers.get(id)?;
        let age = |at: Instant| now.saturating_duration_since(at);
        Some(loss::Worker {
            incarnation: worker.listed.incarnation,
            announced: worker.announced.as_ref().map(|announced| announced.listed.incarnation),
            contact_age: worker.last_report.map(age),
            fence: worker.fence,
            lease_remaining: worker.lease_expiry.saturating_duration_since(now),
            lease_overrun: now.saturating_duration_since(worker.lease_expiry),
            is_expiry_inherited: worker.is_expiry_inherited,
            is_listed: worker.is_listed,
            is_draining: worker.listed.draining,
            suspect_age: worker.suspect_since.filter(|_| worker.is_suspect).map(age),
            is_withheld: self.leases.is_withheld(id),
        })
    }
}

fn lost_run(id: task::Id, task: &work::Task, assignment: &Assignment, now: Instant) -> loss::Run {
    let age = |at: Instant| now.saturating_duration_since(at);
    let (phase, observation) = (&task.phase, &task.observation);
    let sent = observation.sent;
    loss::Run {
        task: id,
        number: assignment.run,
        incarnation: assignment.incarnation,
        phase: phase.name(),
        start_age: sent.map(|sent| age(sent.at)),
        start_fence: sent.map(|sent| sent.fence),
        confirmed_age: observation.confirmed_at.map(age),
        is_reported: observation.listed,
        proof: phase.proof_of_end().map(|proof| match proof {
            Proof::RequestedAfter(at) => loss::Proof::RequestedAfter(age(at)),
            Proof::Fence(fence) => loss::Proof::Fence(fence),
        }),
    }
}
