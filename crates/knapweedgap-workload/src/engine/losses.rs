//! Log of the runs that are freed before a report shows their end.

use std::time::Instant;

use knapweedgap_core::id;

use super::fleet::Proof;
use super::phase::Assignment;
use super::{Engine, work};
use crate::action::Action;
use crate::event::Event;
use crate::{loss, task};

/// Freed runs whose log lines are pending.
#[derive(Debug, Default)]
pub(super) struct Losses {
    /// Number of the last verdict in this term.
    last: u64,
    pending: Vec<Verdict>,
}

/// Runs on one worker that one observation freed.
#[derive(Debug)]
struct Verdict {
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
        let last = self.losses.pending.last_mut();
        if let Some(last) = last
            && last.worker == worker
            && last.cause == cause
        {
            last.runs.push(run);
            return;
        }
        let state = self.worker_state(&worker, now);
        self.losses.pending.push(Verdict { worker, cause, state, runs: vec![run] });
    }

    /// Adds the log lines of the freed runs to the actions.
    pub(super) fn log_losses(&mut self) {
        for verdict in std::mem::take(&mut self.losses.pending) {
            let Verdict { worker, cause, state, runs } = verdict;
            self.losses.last += 1;
            let (number, count) = (self.losses.last, runs.len());
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
