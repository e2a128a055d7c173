//! Start and stop orders, and their results.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use super::evidence::Evidence;
use super::fleet::Proof;
use super::phase::Phase;
use super::work::Sent;
use super::{Deferred, Engine};
use crate::action::Action;
use crate::event::Event;
use crate::history::{Change, Run};
use crate::loss;
use crate::order::{self, Failure, Refusal};
use crate::task;

/// Time between two sends of a stop while no report lists the end of the run.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);

impl Engine {
    /// Sends the start of a task whose placement is stored, unless the worker can't be used any more.
    pub(super) fn send_start(&mut self, id: task::Id, run: revision::Run, now: Instant) {
        let lease = self.bounds.lease;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let payload = job.spec().payload.clone();
        let Some(task) = job.task(id) else { return };
        let Phase::Planned(planned) = &task.phase else { return };
        if planned.assignment.run != run {
            return;
        }
        let assignment = planned.assignment.clone();
        let checkpoint = task.checkpoint.clone();
        let ticket = self.ticket(id.step, &assignment.worker, now);
        let is_outdated = self.check_list(now) | self.check_zones(now);
        let Some(worker) = self.workers.get_mut(&assignment.worker) else { return };
        let is_usable = !is_outdated
            && worker.listed.incarnation == assignment.incarnation
            && worker.takes_starts()
            && !self.leases.is_withheld(&assignment.worker);
        let lease_end = if is_usable { worker.grant(lease, now) } else { None };
        let Some(lease_end) = lease_end else {
            self.mark_lost(id, loss::Cause::StartNotSent, now);
            return;
        };
        let fence = worker.fence;
        let target = worker.target();
        if let Some(job) = self.jobs.get_mut(&id.step.job) {
            job.change(id, |task| {
                task.transition(|phase| match phase {
                    Phase::Planned(planned) => Phase::Sent(planned.send()),
                    other => other,
                });
                task.observation.sent = Some(Sent { at: now, fence });
            });
        }
        self.note(id, Change::Sent, now);
        let valid = self.bounds.start_timeout();
        let start =
            order::Start { task: id, run, payload, lease_end, fence, checkpoint, ticket, valid };
        self.overdue.start_sent(&target, &start, now);
        self.actions.push(Action::Start(target, start));
    }

    /// Handles the result of a start.
    pub fn start_answered(
        &mut self,
        target: &order::Target,
        start: &order::Start,
        result: Result<(), Failure>,
        now: Instant,
    ) {
        if let Err(failure) = &result {
            let run = Run { task: start.task, number: start.run, worker: target.worker.clone() };
            self.note_run(run, Change::StartFailed(failure.clone()), now);
            self.emit(Event::StartFailed {
                task: start.task,
                run: start.run,
                worker: target.worker.clone(),
                failure: failure.clone(),
            });
        }
        if !self.is_sent(target, start.task, start.run) {
            return;
        }
        match result {
            Ok(()) => self.start_confirmed(start.task, now),
            Err(Failure::Refused(refusal)) => self.start_refused(target, start, refusal, now),
            Err(Failure::NoListener) => {
                // The start was not sent, so this run never began. Others may go on.
                self.judge(&target.worker, Evidence::ConnectionRefused, now);
                self.mark_lost(start.task, loss::Cause::ConnectionRefused, now);
            }
            Err(Failure::Unanswered(_)) => self.start_unanswered(target, start.task, now),
        }
    }

    /// Handles a start that was not sent, because the ownership is not confirmed: its task waits
    /// for another placement, whose commit confirms the ownership.
    pub fn start_not_sent(&mut self, target: &order::Target, start: &order::Start, now: Instant) {
        if self.is_sent(target, start.task, start.run) {
            self.mark_lost(start.task, loss::Cause::StartNotSent, now);
        }
    }

    /// Returns `true` if the result of this start is pending.
    pub(super) fn is_sent(
        &self,
        target: &order::Target,
        task: task::Id,
        run: revision::Run,
    ) -> bool {
        let phase = self.jobs.get(&task.step.job).and_then(|job| Some(&job.task(task)?.phase));
        let assignment = match phase {
            Some(Phase::Sent(sent)) => &sent.assignment,
            Some(Phase::Stopping(stopping)) if stopping.is_start_pending => &stopping.assignment,
            _ => return false,
        };
        assignment.run == run && assignment.worker == target.worker
    }

    fn start_confirmed(&mut self, id: task::Id, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        job.change(id, |task| {
            task.transition(|phase| match phase {
                Phase::Sent(sent) => Phase::Running(sent.confirm(now)),
                Phase::Stopping(stopping) => {
                    Phase::Stopping(stopping.settle(Proof::RequestedAfter(now)))
                }
                other => other,
            });
            task.observation.confirmed_at.get_or_insert(now);
        });
        self.note_confirmed(id, now);
        self.order_initial_speed(id);
    }

    fn start_refused(
        &mut self,
        target: &order::Target,
        start: &order::Start,
        refusal: Refusal,
        now: Instant,
    ) {
        let id = &target.worker;
        match refusal {
            Refusal::Fence => {
                let current = self.workers.get(id).map(|worker| worker.fence);
                if current == Some(start.fence) {
                    let reason = "a start was refused because of its fencing token".into();
                    self.actions.push(Action::CheckOwnership(id.clone(), reason));
                }
            }
            Refusal::Incarnation => self.mark_suspect(id, now),
            Refusal::Unhealthy | Refusal::Capacity | Refusal::Invalid => {
                self.start_rejected(id, now);
            }
            Refusal::Ticket => self.advice.drop_permits(start.task.step),
            Refusal::Old | Refusal::Late | Refusal::Expired => {}
        }
        self.mark_lost(start.task, loss::Cause::StartRefused(refusal), now);
    }

    /// Handles an unanswered start: raises the fencing token and polls the worker. Once the worker
    /// has seen the new token it refuses the start, and its report shows whether the task runs.
    pub(super) fn start_unanswered(&mut self, target: &order::Target, id: task::Id, now: Instant) {
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        let fence = worker.raise_fence();
        if let Some(job) = self.jobs.get_mut(&id.step.job) {
            job.change(id, |task| {
                task.transition(|phase| match phase {
                    Phase::Sent(sent) => Phase::Unconfirmed(sent.leave_unconfirmed(fence)),
                    Phase::Stopping(stopping) => {
                        Phase::Stopping(stopping.settle(Proof::Fence(fence)))
                    }
                    other => other,
                });
            });
        }
        self.mark_suspect(&target.worker, now);
        self.overdue.run_unproven(&target.worker, now);
        self.actions.push(Action::Poll(target.worker.clone()));
    }

    /// Excludes a worker from placement until it answers a poll.
    pub(super) fn mark_suspect(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.suspect(now) {
            self.note_state(id, "unreachable", now);
        }
    }

    /// Stops a task. The order is sent once the cause of the stop is stored.
    pub(super) fn stop_task(&mut self, id: task::Id, reason: &'static str, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(assignment) = job.task(id).and_then(|task| task.phase.assignment().cloned())
        else {
            return;
        };
        let run = Run { task: id, number: assignment.run, worker: assignment.worker.clone() };
        job.history.add(Change::Stop(reason), Some(run), now);
        job.change(id, |task| task.transition(Phase::stop));
        let stopping = job.task(id).is_some_and(|task| matches!(task.phase, Phase::Stopping(_)));
        self.emit(Event::Stop {
            task: id,
            run: assignment.run,
            worker: assignment.worker.clone(),
            reason,
        });
        if stopping {
            self.stopping.insert(id);
            // The next owner has to know that the run may shut down, and not be listed meanwhile.
            self.mark_dirty(id.step.job);
            self.defer(Deferred::Stop(id));
            return;
        }
        // The start was not sent, so no run has to be stopped.
        if let Some(worker) = self.workers.get_mut(&assignment.worker) {
            worker.release(id);
        }
        self.task_unassigned(id, now);
    }

    /// Stops all tasks of a job. The orders are sent once the end of the job is stored.
    pub(super) fn stop_job(&mut self, id: id::Job, reason: &'static str, now: Instant) {
        let Some(job) = self.jobs.get(&id) else { return };
        for (task, _) in super::commit::assignments(id, job) {
            self.stop_task(task, reason, now);
        }
    }

    /// Sends the stop of the current run of a task.
    pub(super) fn send_stop(&mut self, id: task::Id, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(task) = job.task(id) else { return };
        let Phase::Stopping(stopping) = &task.phase else { return };
        let assignment = stopping.assignment.clone();
        job.change(id, |task| {
            if let Phase::Stopping(stopping) = &mut task.phase {
                stopping.again_at = Some(now + STOP_RETRY_INTERVAL);
            }
        });
        let Some(worker) = self.workers.get(&assignment.worker) else { return };
        let stop = order::Stop { task: id, run: assignment.run, fence: worker.fence };
        self.actions.push(Action::Stop(worker.target(), stop));
    }

    /// Handles the result of a stop. An acknowledged stop does not end the run: a report does.
    pub fn stop_answered(
        &mut self,
        target: &order::Target,
        stop: &order::Stop,
        result: Result<(), Failure>,
        now: Instant,
    ) {
        if result.is_err() {
            return;
        }
        let worker = self.workers.get_mut(&target.worker);
        let worker = worker.filter(|worker| worker.listed.incarnation == target.incarnation);
        let surplus = worker.and_then(|worker| worker.surplus_runs.get_mut(&(stop.task, stop.run)));
        if let Some(surplus) = surplus {
            surplus.stop_answered(now);
        }
        let assignment = self.assignment(stop.task);
        let is_current = assignment.is_some_and(|assignment| {
            assignment.run == stop.run && assignment.worker == target.worker
        });
        if is_current {
            self.stop_confirmed(stop.task, now);
        }
    }

    /// Records that the run of a task that is being stopped does not go on.
    pub(super) fn stop_confirmed(&mut self, id: task::Id, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        job.change(id, |task| {
            if let Phase::Stopping(stopping) = &mut task.phase {
                stopping.answered.get_or_insert(now);
            }
        });
    }

    /// Repeats the stops that are due.
    pub(super) fn repeat_stops(&mut self, now: Instant) {
        let due: Vec<task::Id> = self
            .stopping
            .iter()
            .filter(|id| self.stop_due(**id).is_some_and(|at| at <= now))
            .copied()
            .collect();
        for id in due {
            self.send_stop(id, now);
        }
        let mut orders = Vec::new();
        for worker in self.workers.values_mut() {
            let (target, fence) = (worker.target(), worker.fence);
            if worker.is_suspect {
                continue;
            }
            for (&(task, run), surplus) in &mut worker.surplus_runs {
                if surplus.stop_at > now {
                    continue;
                }
                surplus.stop_sent(now + STOP_RETRY_INTERVAL);
                orders.push((target.clone(), order::Stop { task, run, fence }));
            }
        }
        for (target, stop) in orders {
            self.actions.push(Action::Stop(target, stop));
        }
    }

    fn stop_due(&self, id: task::Id) -> Option<Instant> {
        let task = self.jobs.get(&id.step.job)?.task(id)?;
        match &task.phase {
            Phase::Stopping(stopping) => stopping.again_at,
            _ => None,
        }
    }

    /// Returns `true` if a job has ended or is unknown, so that none of its tasks may start.
    pub(super) fn is_job_ended(&self, id: id::Job) -> bool {
        self.jobs.get(&id).is_none_or(|job| job.state.is_final())
    }
}
