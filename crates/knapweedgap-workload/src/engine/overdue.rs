//! Starts without an outcome. A task whose start was sent is assigned, so nothing else counts the
//! time until it runs.
//!
//! A start has an outcome within [`START_TIMEOUT`]: after it, it is treated as unanswered. A run that
//! is unconfirmed is resolved by a report that was requested with the raised fencing token, so its
//! worker is polled again every [`PROOF_INTERVAL`].

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use super::Engine;
use super::phase::Phase;
use crate::action::Action;
use crate::order::{Start, Target};
use crate::{round_trip, task};

/// Longest time between a start and its outcome. It covers the longest timeout of a call to a worker
/// and the way over a relay. A later outcome changes nothing.
const START_TIMEOUT: Duration = round_trip::TIMEOUT_MAX.saturating_add(Duration::from_millis(500));

/// Time between two polls of a worker that has unconfirmed runs. A poll in flight may have been sent
/// with the former fencing token, and takes up to [`super::observe::POLL_WAIT`].
const PROOF_INTERVAL: Duration = Duration::from_millis(400);

/// Starts whose outcome is pending, and workers that have unconfirmed runs.
#[derive(Debug, Default)]
pub(super) struct Overdue {
    /// Starts that were sent, in order, with the time at which their outcome is overdue.
    sent: VecDeque<(Instant, Target, task::Id, revision::Run)>,
    /// When the worker is polled again.
    unproven: BTreeMap<id::Worker, Instant>,
}

impl Overdue {
    /// Records a start that is being sent.
    pub(super) fn start_sent(&mut self, target: &Target, start: &Start, now: Instant) {
        self.sent.push_back((now + START_TIMEOUT, target.clone(), start.task, start.run));
    }

    /// Records that a worker has an unconfirmed run and is polled at `now`.
    pub(super) fn run_unproven(&mut self, worker: &id::Worker, now: Instant) {
        self.unproven.entry(worker.clone()).or_insert(now + PROOF_INTERVAL);
    }
}

impl Engine {
    /// Resolves the starts whose outcome is overdue, and polls the workers with unconfirmed runs.
    pub(super) fn resolve_overdue(&mut self, now: Instant) {
        while let Some((due, ..)) = self.overdue.sent.front() {
            if *due > now {
                break;
            }
            let Some((_, target, task, run)) = self.overdue.sent.pop_front() else { break };
            if self.is_sent(&target, task, run) {
                self.start_unanswered(&target, task, now);
            }
        }
        let due = self.overdue.unproven.iter().filter(|(_, at)| **at <= now);
        let due: Vec<id::Worker> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            if !self.has_unconfirmed(&id) {
                self.overdue.unproven.remove(&id);
                continue;
            }
            self.overdue.unproven.insert(id.clone(), now + PROOF_INTERVAL);
            self.actions.push(Action::Poll(id));
        }
    }

    /// Stops the other members of a gang after the loss of one that did not begin its run, since they
    /// would wait for it in vain.
    pub(super) fn stop_incomplete_gang(&mut self, id: task::Id, run: revision::Run, now: Instant) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let spec = job.spec().steps.get(usize::from(id.step.step));
        if job.state.is_final() || !spec.is_some_and(|step| step.gang) {
            return;
        }
        let count = job.step(id.step).map_or(0, |step| step.tasks.len());
        let members =
            (0..u32::try_from(count).unwrap_or(u32::MAX)).map(|index| id.step.task(index));
        let is_member = |member: &task::Id| {
            let Some(task) = job.task(*member) else { return false };
            let assignment = task.phase.assignment();
            !task.phase.is_stopping() && assignment.is_some_and(|assignment| assignment.run == run)
        };
        let members: Vec<task::Id> = members.filter(is_member).collect();
        for member in members {
            self.stop_task(member, "a member of its gang has not started", now);
        }
    }

    /// Returns `true` if a worker has a run that a report with a higher fencing token has to prove.
    pub(super) fn has_unconfirmed(&self, id: &id::Worker) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        worker.loads.keys().any(|task| {
            let task = self.jobs.get(&task.step.job).and_then(|job| job.task(*task));
            task.is_some_and(|task| matches!(task.phase, Phase::Unconfirmed(_)))
        })
    }
}
