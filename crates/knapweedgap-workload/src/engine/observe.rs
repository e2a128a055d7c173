//! Polling of workers: renewal of their leases, and handling of their reports.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use super::evidence::Evidence;
use super::fleet::{Proof, Surplus};
use super::phase::{Done, Phase};
use super::speed::SETTLING_TIME;
use super::{Engine, work};
use crate::action::Action;
use crate::event::Event;
use crate::history::{Change, Run};
use crate::job;
use crate::loss;
use crate::order::{self, Failure, Refusal};
use crate::task;
use crate::worker::{Cause, Ended, Report, Running};

/// Longest time that a poll waits for a run to end. It bounds the time until an unresponsive worker
/// is detected.
pub(super) const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Longest wait of a poll of a worker that runs best-effort tasks beside serving ones, whose tail
/// latency is needed sooner, or that gets no lease until a record of the log is removed.
const POLL_WAIT_SHORT: Duration = Duration::from_millis(500);
/// Time without progress after which a run counts as hung. Progress is reported in whole percent
/// and at least once a second, so even a run of one minute shows progress within this time.
const HANG_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Run time of a long-running task above which its failure does not count against its worker, since
/// long-running tasks may fail at any time.
const EARLY_FAILURE_MAX: Duration = Duration::from_secs(3);

/// Returns the time without progress after which a run at a speed in percent counts as hung; `None`
/// while it is suspended or its speed is not known.
fn hang_timeout(speed: u32) -> Option<Duration> {
    match speed {
        0 => None,
        1..50 => Some(HANG_TIMEOUT * 100 / speed),
        50.. => Some(HANG_TIMEOUT),
    }
}

impl Engine {
    /// Returns the next poll of a worker, with a new lease. Returns `None` if the worker is
    /// unknown, or unlisted and without tasks; the caller then stops polling it.
    pub fn poll(&mut self, id: &id::Worker, now: Instant) -> Option<(order::Target, order::Poll)> {
        let lease = self.bounds.lease;
        let is_unproven = self.has_unconfirmed(id);
        let worker = self.workers.get_mut(id)?;
        if !worker.is_listed && worker.loads.is_empty() {
            worker.is_polled = false;
            return None;
        }
        // A worker whose answers are lost may still receive the polls. They must not extend its
        // lease.
        let is_withheld = self.leases.is_withheld(id);
        let is_granted = !worker.is_suspect && !is_withheld;
        let lease_end = if is_granted { worker.grant(lease, now) } else { None };
        let is_shared = worker.best_effort_processor.milli() > 0 && worker.serves_users();
        let wait = match lease_end {
            _ if worker.may_have_restarted() || is_unproven => Duration::ZERO,
            None if worker.is_suspect || worker.clock(now).is_none() => Duration::ZERO,
            None => POLL_WAIT_SHORT,
            Some(_) if is_shared => POLL_WAIT_SHORT,
            Some(_) => POLL_WAIT,
        };
        // The ends of another incarnation have numbers of their own, and must not be discarded.
        let acknowledged =
            if worker.announced.is_some() { revision::End::default() } else { worker.acknowledged };
        let fence = worker.fence;
        Some((worker.poll_target(), order::Poll { fence, acknowledged, lease_end, wait }))
    }

    /// Returns `true` if ended runs of a worker are not yet stored. A poll would only return them
    /// again.
    pub fn has_pending_ends(&self, id: &id::Worker) -> bool {
        self.workers.get(id).is_some_and(|worker| !worker.pending.is_empty())
    }

    /// Handles the result of a poll that was sent at `sent`. The result of a poll of a former
    /// incarnation is ignored.
    pub fn poll_answered(
        &mut self,
        target: &order::Target,
        poll: &order::Poll,
        sent: Instant,
        result: Result<Report, Failure>,
        now: Instant,
    ) {
        let id = &target.worker;
        let Some(worker) = self.workers.get(id) else { return };
        if worker.listed.incarnation != target.incarnation {
            return;
        }
        match result {
            Ok(report) => self.handle_report(target, poll, sent, report, now),
            Err(failure) => self.poll_failed(target, poll, &failure, now),
        }
    }

    fn poll_failed(
        &mut self,
        target: &order::Target,
        poll: &order::Poll,
        failure: &Failure,
        now: Instant,
    ) {
        let id = &target.worker;
        let Some(worker) = self.workers.get(id) else { return };
        let current = worker.fence == poll.fence;
        if *failure == Failure::Refused(Refusal::Fence) && current {
            let reason = "a poll was refused because of its fencing token".into();
            self.actions.push(Action::CheckOwnership(id.clone(), reason));
        }
        self.judge(id, Evidence::from(failure), now);
    }

    fn handle_report(
        &mut self,
        target: &order::Target,
        poll: &order::Poll,
        sent: Instant,
        report: Report,
        now: Instant,
    ) {
        let id = &target.worker;
        if let Some(incarnation) = report.incarnation
            && incarnation != target.incarnation
        {
            self.incarnation_ended(id, incarnation, &report, now);
            return;
        }
        let generation = self.generation();
        self.leases.remove(id, generation);
        let (lease, lease_max) = (self.bounds.lease, self.bounds.lease_max);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.record_clock(report.clock, sent, poll.fence, lease_max, now);
        worker.confirm_fence(lease, self.leases.extended_expiry(id), now);
        worker.confirm_successor(lease_max, now);
        if worker.announced.as_ref().is_some_and(|announced| announced.at < sent) {
            // The entry is outdated or of another writer.
            worker.announced = None;
        }
        let was_suspect = worker.is_suspect;
        worker.is_suspect = false;
        worker.last_report = Some(now);
        if was_suspect {
            self.note_state(id, "reachable", now);
        }
        self.record_extension(id, now);
        if report.leaves_in.is_some() {
            self.drain_reported(id, now);
        }
        if report.undecoded > 0 {
            let (worker, rows) = (id.clone(), report.undecoded);
            self.emit(Event::Undecoded { worker, rows });
        }
        for ended in &report.ended {
            self.handle_end(target, ended, now);
        }
        let mut listed = BTreeSet::new();
        for running in &report.running {
            listed.insert((running.task, running.run));
            self.handle_running(target, poll, running, sent, now);
        }
        if report.is_complete() {
            self.reconcile(target, poll, &listed, sent, now);
        }
        let stored = self.log.stored;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.acknowledge(stored);
        }
        self.adjust_speeds(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_changed = true;
        }
        self.place_due = true;
    }

    fn drain_reported(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.has_reported_drain = true;
        if worker.listed.draining {
            return;
        }
        worker.listed.draining = true;
        self.note_state(id, "draining", now);
        self.stop_for_drain(id, now);
    }

    /// Handles an ended run in a report. A run that is already recorded is skipped.
    fn handle_end(&mut self, target: &order::Target, ended: &Ended, now: Instant) {
        let id = &target.worker;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let known = ended.number <= worker.acknowledged;
        if known || worker.pending.contains_key(&ended.number) {
            return;
        }
        let last = worker.last_end();
        worker.surplus_runs.remove(&(ended.task, ended.run));
        let load = worker.loads.get(&ended.task).filter(|load| load.run == ended.run);
        let run_time = load.map_or(Duration::ZERO, |load| now.duration_since(load.since));
        let is_best_effort = load.is_some_and(|load| load.best_effort);
        if load.is_some() {
            worker.release(ended.task);
        }
        if is_best_effort {
            worker.settling_until = Some(now + SETTLING_TIME);
        }
        self.note_skipped_ends(id, last, ended.number);
        let key = (ended.task, ended.run);
        self.note_sighting(id, key, loss::Sighting::Ended(ended.cause), now);
        self.end_run(target, ended, run_time, now);
        // A worker forgets an acknowledged end, also one that changes nothing because of an earlier
        // change. The next owner must read that change, or find the end in a report.
        let generation = self.unstored_generation(ended.task.step.job);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.pending.insert(ended.number, generation);
        }
    }

    /// Logs a gap in the numbers of ended runs. The number of the first end that this owner handles
    /// is not known beforehand.
    fn note_skipped_ends(&mut self, id: &id::Worker, last: revision::End, next: revision::End) {
        let is_known = last > revision::End::default();
        if is_known && next.get() > last.get() + 1 {
            self.emit(Event::EndsSkipped { worker: id.clone(), last, next });
        }
    }

    /// Ends the run of a task. The task changes if the run was the current one, the first finished
    /// copy of the task or a failed copy.
    fn end_run(&mut self, target: &order::Target, ended: &Ended, run_time: Duration, now: Instant) {
        let id = ended.task;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(step) = job.spec().steps.get(usize::from(id.step.step)) else { return };
        let (long_running, copies, gang) = (step.long_running, step.copies, step.gang);
        let Some(task) = job.task(id) else { return };
        let assignment = task.phase.assignment();
        let current = assignment.is_some_and(|assignment| {
            let same_worker =
                assignment.worker == target.worker && assignment.incarnation == target.incarnation;
            same_worker && assignment.run == ended.run
        });
        let first_copy = copies && ended.cause == Cause::Done && !task.phase.is_done();
        // Long-running tasks have no limit on attempts, so their failed runs need no record.
        let records_runs = copies && !long_running;
        let is_given_up = task.is_given_up(ended.run);
        if !current && (records_runs || is_given_up) && ended.cause == Cause::Failed {
            return self.count_surplus_failure(target, ended, now);
        }
        if !current && !first_copy {
            let failures = task.failures;
            if is_given_up {
                job.change(id, |task| task.end_given_up(ended.run));
                self.mark_dirty(id.step.job);
            }
            self.note_end(target, ended, false, failures, now);
            return;
        }
        if !current && assignment.is_some() {
            self.stop_copy(id, now);
        }
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        job.has_begun = true;
        let done = ended.cause == Cause::Done && !long_running;
        let failed = ended.cause == Cause::Failed;
        // The last failure of a long-running task may be long ago.
        let earlier = job.task(id).and_then(|task| task.avoid.clone()).filter(|_| !long_running);
        job.change(id, |task| {
            task.observation = work::Observation::default();
            if !ended.checkpoint.is_empty() {
                task.checkpoint = ended.checkpoint.clone();
            }
            if done {
                task.phase = Phase::Done(Done);
                return;
            }
            task.transition(|phase| phase.into_waiting(now));
            if failed {
                task.count_failure(ended.run, records_runs);
                task.avoid = Some(target.worker.clone());
            }
        });
        let failures = job.task(id).map_or(0, |task| task.failures);
        if !long_running || run_time < EARLY_FAILURE_MAX {
            self.assess_worker(&target.worker, ended.cause, earlier.as_ref(), now);
        }
        self.note_end(target, ended, current, failures, now);
        self.task_unassigned(id, now);
        if done && gang {
            self.gang_done(id.step);
        }
        if done {
            self.step_advanced(id.step, now);
        }
    }

    /// Counts the failure of a run that its task is no longer assigned to, because a copy was to
    /// start beside it or the lease of its worker had ended, unless it is counted already.
    fn count_surplus_failure(&mut self, target: &order::Target, ended: &Ended, now: Instant) {
        let id = ended.task;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let is_given_up = job.task(id).is_some_and(|task| task.is_given_up(ended.run));
        let is_counted = job.task(id).is_none_or(|task| task.is_failure_counted(ended.run));
        let is_new = is_given_up || !is_counted;
        if is_new {
            let earlier = job.task(id).and_then(|task| task.avoid.clone());
            job.change(id, |task| {
                task.count_failure(ended.run, !is_given_up);
                task.end_given_up(ended.run);
            });
            self.mark_dirty(id.step.job);
            self.assess_worker(&target.worker, ended.cause, earlier.as_ref(), now);
        }
        let job = self.jobs.get(&id.step.job);
        let failures = job.and_then(|job| job.task(id)).map_or(0, |task| task.failures);
        self.note_end(target, ended, false, failures, now);
        self.check_attempts(id, now);
    }

    /// Remembers the end of a run, and logs it unless the run has finished its work.
    fn note_end(
        &mut self,
        target: &order::Target,
        ended: &Ended,
        current: bool,
        failures: u32,
        now: Instant,
    ) {
        let run = Run { task: ended.task, number: ended.run, worker: target.worker.clone() };
        self.note_run(run, Change::Ended(ended.cause), now);
        if ended.cause == Cause::Done {
            return;
        }
        let job = self.jobs.get(&ended.task.step.job);
        let attempts_max = job.and_then(|job| self.attempts_max(job));
        self.emit(Event::Ended {
            task: ended.task,
            run: ended.run,
            worker: target.worker.clone(),
            cause: ended.cause,
            current,
            failures,
            attempts_max,
        });
    }

    /// Stops the current run of a task of which another copy has finished. Its start may still be
    /// unconfirmed.
    fn stop_copy(&mut self, id: task::Id, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let Some(phase) = job.task(id).map(|task| task.phase.clone()) else { return };
        let Some(assignment) = phase.assignment() else { return };
        job.change(id, |task| task.transition(|phase| phase.into_waiting(now)));
        let Some(worker) = self.workers.get_mut(&assignment.worker) else { return };
        if matches!(phase, Phase::Planned(_)) {
            worker.release(id);
            return;
        }
        let surplus = match &phase {
            Phase::Stopping(stopping) => Surplus::stopping(stopping.answered, now),
            _ => {
                let proof = phase.proof_of_end();
                let proof = proof.unwrap_or_else(|| Proof::Fence(worker.raise_fence()));
                Surplus::new(proof, now)
            }
        };
        worker.surplus_runs.insert((id, assignment.run), surplus);
    }

    /// Marks all tasks of a gang as done, because its members end together.
    fn gang_done(&mut self, step: task::Step) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let count = job.step(step).map_or(0, |step| step.tasks.len());
        for index in 0..u32::try_from(count).unwrap_or(u32::MAX) {
            job.change(step.task(index), |task| task.phase = Phase::Done(Done));
        }
    }

    /// Queues the dependent steps of a step that is done, and completes the job after its last one.
    fn step_advanced(&mut self, id: task::Step, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if !job.step(id).is_some_and(work::Step::is_done) {
            return;
        }
        self.ready.remove(&id);
        self.advice.remove(id);
        let all = job.occurrences.get(&id.occurrence);
        let occurrence_done = all.is_some_and(|all| all.steps.iter().all(work::Step::is_done));
        if !occurrence_done {
            self.refresh_ready(id.job);
            return;
        }
        job.end_occurrence(id.occurrence);
        let job_done = job.occurrences.is_empty() && job.next_occurrence >= job.repetitions();
        if job_done && !job.state.is_final() {
            self.finish(id.job, job::State::Completed, now);
        }
    }

    /// Fails the job of a task that has failed as often as its queue allows. A copy whose start was
    /// sent before may still finish the task.
    pub(super) fn check_attempts(&mut self, id: task::Id, now: Instant) {
        if self.is_job_ended(id.step.job) || !self.are_attempts_used(id) {
            return;
        }
        let task = self.jobs.get(&id.step.job).and_then(|job| job.task(id));
        let is_unsent = |phase: &Phase| matches!(phase, Phase::Waiting(_) | Phase::Planned(_));
        if task.is_some_and(|task| is_unsent(&task.phase)) {
            self.finish(id.step.job, job::State::Failed, now);
        }
    }

    /// Checks the attempts of all waiting tasks after a change of the configuration. A new owner
    /// may have handled reports of failures before it knew the queues.
    pub(super) fn check_waiting_attempts(&mut self, now: Instant) {
        if !std::mem::take(&mut self.attempts_due) {
            return;
        }
        let mut waiting = Vec::new();
        for &id in &self.ready {
            let Some(step) = self.jobs.get(&id.job).and_then(|job| job.step(id)) else { continue };
            waiting.extend(step.waiting.iter().map(|&index| id.task(index)));
        }
        for id in waiting {
            self.check_attempts(id, now);
        }
    }

    /// Returns `true` if a task has failed as often as its queue allows, so that it must not start
    /// again. Long-running tasks have no such limit.
    pub(super) fn are_attempts_used(&self, id: task::Id) -> bool {
        let Some(job) = self.jobs.get(&id.step.job) else { return false };
        let Some(step) = job.spec().steps.get(usize::from(id.step.step)) else { return false };
        let Some(attempts_max) = self.attempts_max(job) else { return false };
        !step.long_running && job.task(id).is_some_and(|task| task.failures >= attempts_max)
    }

    /// Returns the number of failed runs of one task after which a job fails; `None` if it is not
    /// known, as before the first configuration.
    fn attempts_max(&self, job: &work::Job) -> Option<u32> {
        self.configuration.as_ref()?;
        self.policy_of(job).attempts_max
    }

    /// Handles a run in progress in a report.
    fn handle_running(
        &mut self,
        target: &order::Target,
        poll: &order::Poll,
        running: &Running,
        sent: Instant,
        now: Instant,
    ) {
        let id = running.task;
        let key = (id, running.run);
        if !self.is_assigned(&target.worker, id, running.run) {
            self.note_sighting(&target.worker, key, loss::Sighting::Running, now);
            self.stop_surplus(target, key, now);
            return;
        }
        let is_deaf = self.observer.is_deaf(now);
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let spec = job.spec().steps.get(usize::from(id.step.step));
        let long_running = spec.is_some_and(|step| step.long_running);
        let was_confirmed =
            job.task(id).is_some_and(|task| matches!(task.phase, Phase::Running(_)));
        let mut hung = false;
        job.change(id, |task| {
            task.observation.listed = true;
            task.observation.confirmed_at.get_or_insert(now);
            if !running.checkpoint.is_empty() {
                task.checkpoint = running.checkpoint.clone();
            }
            task.transition(|phase| match phase {
                Phase::Sent(sent) => Phase::Running(sent.confirm(now)),
                Phase::Unconfirmed(unconfirmed) if poll.fence >= unconfirmed.fence => {
                    Phase::Running(unconfirmed.confirm(now))
                }
                Phase::Stopping(stopping) => {
                    Phase::Stopping(stopping.settle(Proof::RequestedAfter(now)))
                }
                other => other,
            });
            let has_advanced = task.observation.progress != running.progress;
            if has_advanced || task.observation.progress_since.is_none() {
                task.observation.progress = running.progress;
                task.observation.progress_since = Some(sent);
            }
            let since = task.observation.progress_since.unwrap_or(sent);
            let timeout = hang_timeout(task.observation.speed.unwrap_or(100));
            let stalled = !is_deaf
                && timeout.is_some_and(|timeout| now.saturating_duration_since(since) > timeout);
            let startup_done = long_running && running.progress >= 100;
            hung = stalled && !startup_done && matches!(task.phase, Phase::Running(_));
        });
        if !was_confirmed {
            self.note_confirmed(id, now);
            self.order_initial_speed(id);
        }
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        if let Some(load) = worker.loads.get_mut(&id)
            && load.tail_target.is_some()
        {
            load.tail = running.measure.map(Duration::from_millis);
        }
        if hung {
            self.run_hung(&target.worker, now);
            self.stop_task(id, "no progress", now);
        }
    }

    /// Stops a surplus run, which is not the current run of its task.
    fn stop_surplus(
        &mut self,
        target: &order::Target,
        key: (task::Id, revision::Run),
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        if worker.surplus_runs.contains_key(&key) {
            return;
        }
        worker.surplus_runs.insert(key, Surplus::new(Proof::RequestedAfter(now), now));
        let (task, run) = key;
        let is_unreserved = !worker.loads.contains_key(&task);
        if is_unreserved {
            self.reserve(&target.worker, task, run, now);
        }
        let worker = target.worker.clone();
        let is_closed = !self.jobs.contains_key(&task.step.job);
        let reason = if is_closed { "its job is closed" } else { "the run is not needed" };
        self.emit(Event::Stop { task, run, worker, reason });
    }

    /// Marks runs as lost, and removes surplus runs, that are missing from a report which would
    /// list them if they existed.
    fn reconcile(
        &mut self,
        target: &order::Target,
        poll: &order::Poll,
        listed: &BTreeSet<(task::Id, revision::Run)>,
        sent: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        worker.surplus_runs.retain(|key, surplus| {
            let proof = surplus.proof_of_end();
            listed.contains(key) || !proof.is_some_and(|proof| proof.is_met(sent, poll.fence))
        });
        for (task, run) in worker.runs() {
            if listed.contains(&(task, run)) {
                continue;
            }
            if !self.is_assigned(&target.worker, task, run) {
                // The load belongs to a surplus run or a gang member that has ended.
                if let Some(worker) = self.workers.get_mut(&target.worker)
                    && !worker.surplus_runs.contains_key(&(task, run))
                {
                    worker.release(task);
                }
                continue;
            }
            let phase = self.jobs.get(&task.step.job).and_then(|job| Some(&job.task(task)?.phase));
            if let Some(Phase::Stopping(stopping)) = phase
                && stopping.is_absence_new(sent, poll.fence)
            {
                // The run may be shutting down; a later report shows that it has.
                self.stop_confirmed(task, now);
                continue;
            }
            let proof = phase.and_then(Phase::proof_of_end);
            if proof.is_some_and(|proof| proof.is_met(sent, poll.fence)) {
                let age = now.saturating_duration_since(sent);
                self.mark_lost(task, loss::Cause::Missing { fence: poll.fence, age }, now);
            }
        }
    }
}
