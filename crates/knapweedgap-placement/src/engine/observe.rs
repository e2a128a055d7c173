//! Handling of reports of workers and services.

use std::collections::BTreeSet;
use std::time::Instant;

use knapweedgap_core::{id, rate, size};

use crate::command::{Body, Command, Grant, Heartbeat};
use crate::contribution;
use crate::engine::Engine;
use crate::interference;
use crate::lease;
use crate::log::Record;
use crate::report::{Latency, Report, State, Task};
use crate::task::{Any, Cause, Outcome, Stop};
use crate::worker::{Contact, Freshness};

/// Number of attempts over the declared memory after which a task fails.
pub const MEMORY_FAULTS_MAX: u32 = 3;
/// Attempts beyond the retry limit that a task gets until it fails on a second worker. Failures on
/// a single worker may be caused by the worker.
pub const CONFIRMATIONS_MAX: u32 = 2;

impl Engine {
    /// Returns the content of the next heartbeat to a worker.
    pub fn heartbeat(&self, worker: &id::Worker, now: Instant) -> Heartbeat {
        let contact = self.workers.get(worker).and_then(|worker| worker.contact.as_ref());
        let contact = contact.filter(|_| self.may_renew(now));
        let grant = contact.map(|contact| Grant { based_on: contact.clock, lease: lease::LEASE });
        Heartbeat { partition: self.owner.partition, epoch: self.owner.epoch, grant }
    }

    /// Handles the answer to a heartbeat. Ignores reports of another epoch, of an earlier
    /// incarnation or with an earlier clock.
    pub fn observe(&mut self, report: &Report, now: Instant) {
        if report.epoch != self.owner.epoch {
            return;
        }
        let Some(worker) = self.workers.get_mut(&report.worker) else { return };
        let was_schedulable = worker.is_schedulable(now);
        let contact = Contact {
            incarnation: report.incarnation,
            clock: report.clock,
            at: now,
            capacity: report.capacity,
        };
        let freshness = worker.record_contact(contact);
        if freshness == Freshness::Stale {
            return;
        }
        if !was_schedulable || freshness == Freshness::New {
            self.schedule_placement(now);
        }
        self.refresh_worker(&report.worker);
        self.set_deadline(&report.worker, lease::latest_end(now));
        self.end_restarted(report, now);
        let mut reported = BTreeSet::new();
        for task in &report.tasks {
            reported.insert((task.task, task.attempt));
            self.observe_task(report, task, now);
        }
        self.repeat_commands(report, &reported, now);
        self.record_mix(report, now);
        self.reclaim_capacity(&report.worker, now);
        self.place(now);
        self.flush(now);
    }

    /// Records a failed heartbeat. The worker receives no new tasks until it reports again.
    pub fn worker_unreachable(&mut self, worker: &id::Worker) {
        let Some(known) = self.workers.get_mut(worker) else { return };
        known.unreachable = true;
        self.refresh_worker(worker);
    }

    /// Handles a latency report of a service: updates the contribution model and responds to
    /// interference.
    pub fn observe_latency(&mut self, latency: &Latency, now: Instant) {
        let target = latency.target.as_micros().max(1);
        let ratio = latency.latency.as_micros().saturating_mul(1000) / target;
        let ratio = u64::try_from(ratio).unwrap_or(u64::MAX).min(100_000);
        let exact = latency.latency.as_secs_f64() / latency.target.as_secs_f64().max(1e-6);
        self.contribution.learn(&latency.worker, &latency.service, exact, latency.since);
        self.respond(latency, ratio, now);
        self.flush(now);
    }

    /// Ends the attempts of earlier incarnations of the worker, since a restart ends every attempt.
    fn end_restarted(&mut self, report: &Report, now: Instant) {
        for task in self.attempts_on(&report.worker) {
            let Some(assignment) = self.state.task(&task).and_then(Any::assignment) else {
                continue;
            };
            if assignment.incarnation != report.incarnation {
                self.end_attempt(task, Cause::Restarted, None, now);
            }
        }
    }

    fn observe_task(&mut self, report: &Report, reported: &Task, now: Instant) {
        if !self.is_current(report, reported) {
            self.handle_stale_attempt(report, reported);
            return;
        }
        let task = reported.task;
        if self.batch.busy.contains(&task) {
            return;
        }
        let Some(any) = self.state.task(&task) else { return };
        let checkpoint = reported.checkpoint.clone();
        let attempt = reported.attempt;
        match reported.state {
            State::Running => {
                let placed = matches!(any, Any::Placed(_));
                self.learn_usage(task, &reported.usage);
                self.repeat_throttle(task, reported.share);
                if placed {
                    self.batch.push(Record::TaskStarted { task, attempt }, now);
                } else {
                    self.send_stop(task);
                }
            }
            State::Succeeded => {
                let outcome = Outcome::Succeeded;
                self.batch.push(Record::TaskFinished { task, attempt, outcome }, now);
            }
            State::Stopped if any.stopping().is_some_and(|why| why != Stop::Cancelled) => {
                self.end_attempt(task, Cause::Evicted, checkpoint, now);
            }
            State::Stopped => self.end_attempt(task, Cause::Stopped, checkpoint, now),
            State::Failed(code) => self.end_attempt(task, Cause::Failed(code), checkpoint, now),
            State::OverMemory => self.end_attempt(task, Cause::Memory, checkpoint, now),
        }
    }

    /// Sends a throttle command if the reported share differs from the wanted one: a command was
    /// lost, or an earlier owner throttled the task.
    fn repeat_throttle(&mut self, task: id::Task, reported: rate::Share) {
        let throttled = self.throttled.contains(&task);
        let wanted = if throttled { interference::THROTTLED } else { rate::Share::FULL };
        if reported != wanted {
            self.send(task, Body::Throttle(wanted));
        }
    }

    /// Returns `true` if the reported attempt is the current one of its task on this worker.
    fn is_current(&self, report: &Report, reported: &Task) -> bool {
        let Some(any) = self.state.task(&reported.task) else { return false };
        let Some(assignment) = any.assignment() else { return false };
        any.history().attempt == reported.attempt
            && assignment.worker == report.worker
            && assignment.incarnation == report.incarnation
    }

    /// Stops an attempt that is no longer current. If it has ended, tells the worker to publish its
    /// result if it completed the task, or else to discard it.
    fn handle_stale_attempt(&mut self, report: &Report, reported: &Task) {
        let completed = self.state.is_completed_by(&reported.task, reported.attempt);
        let body = match reported.state {
            State::Running => Body::Stop { checkpoint: false },
            State::Succeeded if completed => Body::Publish,
            _ => Body::Forget,
        };
        self.actions.push(crate::command::Action::Send(Command {
            partition: self.owner.partition,
            epoch: self.owner.epoch,
            worker: report.worker.clone(),
            incarnation: report.incarnation,
            task: reported.task,
            attempt: reported.attempt,
            body,
        }));
    }

    /// Repeats the start or stop command of attempts that are missing from the report.
    fn repeat_commands(
        &mut self,
        report: &Report,
        reported: &BTreeSet<(id::Task, id::Attempt)>,
        now: Instant,
    ) {
        for task in self.attempts_on(&report.worker) {
            let Some(any) = self.state.task(&task) else { continue };
            let known = reported.contains(&(task, any.history().attempt));
            if known || self.batch.busy.contains(&task) {
                continue;
            }
            match any {
                Any::Placed(_) | Any::Running(_) => self.send_start(task, now),
                Any::Stopping(_) => self.send_stop(task),
                Any::Pending(_) | Any::Finished(_) => {}
            }
        }
    }

    /// Records the confirmed end of an attempt, and the end of the task if it is not retried.
    pub(super) fn end_attempt(
        &mut self,
        task: id::Task,
        cause: Cause,
        checkpoint: Option<smol_str::SmolStr>,
        now: Instant,
    ) {
        if self.batch.busy.contains(&task) {
            return;
        }
        let Some(any) = self.state.task(&task) else { return };
        let attempt = any.history().attempt;
        let outcome = self.final_outcome(task, any, cause);
        self.batch.push(Record::AttemptEnded { task, attempt, cause, checkpoint }, now);
        if let Some(outcome) = outcome {
            self.batch.push(Record::TaskFinished { task, attempt, outcome }, now);
        } else if cause == Cause::Evicted {
            let attempt = id::Attempt::new(attempt.get() + 1);
            self.batch.push(Record::Resumed { task, attempt }, now);
        }
    }

    /// Returns the outcome of a task whose attempt ends with `cause`, or `None` if it is retried.
    fn final_outcome(&self, task: id::Task, any: &Any, cause: Cause) -> Option<Outcome> {
        let history = any.history();
        match cause {
            Cause::Failed(code) => {
                let limit = self.state.job(&task.job)?.spec.retry_limit;
                let failures = history.failures + 1;
                let worker = &any.assignment()?.worker;
                let confirmed = history.failed_on.iter().any(|failed| failed != worker);
                let exhausted = failures > limit && confirmed;
                if !exhausted && failures <= limit.saturating_add(CONFIRMATIONS_MAX) {
                    return None;
                }
                let reason = smol_str::format_smolstr!(
                    "task {task} failed {failures} times, the last time with exit code {code}"
                );
                Some(Outcome::Failed { reason })
            }
            Cause::Memory => {
                let faults = history.memory_faults + 1;
                if faults < MEMORY_FAULTS_MAX {
                    return None;
                }
                let reason = smol_str::format_smolstr!(
                    "task {task} used more memory than declared in {faults} attempts; declare more"
                );
                Some(Outcome::Failed { reason })
            }
            Cause::Evicted | Cause::Stopped | Cause::Restarted | Cause::Lost => None,
        }
    }

    fn learn_usage(&mut self, task: id::Task, usage: &size::Resources) {
        let Some(job) = self.state.job(&task.job) else { return };
        self.usage.learn(&job.spec.class, &job.spec.size, usage);
    }

    pub(super) fn attempts_on(&self, worker: &id::Worker) -> Vec<id::Task> {
        let attempts = self.state.attempts(worker);
        attempts.map(|attempts| attempts.keys().copied().collect()).unwrap_or_default()
    }

    /// Records the classes that run on a worker and their load relative to its batch capacity.
    fn record_mix(&mut self, report: &Report, now: Instant) {
        let Some(worker) = self.workers.get(&report.worker) else { return };
        if worker.spec.services.is_empty() {
            return;
        }
        let capacity = worker.available().processor;
        let mut mix = contribution::Mix::new();
        for task in &report.tasks {
            if task.state != State::Running {
                continue;
            }
            let Some(job) = self.state.job(&task.task.job) else { continue };
            let share = f64::from(task.share.milli()) / f64::from(rate::Share::FULL.milli());
            let load = contribution::load(job.spec.size.processor, capacity) * share;
            contribution::add_load(&mut mix, &job.spec.class, load);
        }
        self.contribution.record_mix(&report.worker, mix, now);
    }
}
