//! Looks at workers: renewal of leases, and what the reports say.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use super::fleet::{Proof, Surplus};
use super::speed::SETTLING_TIME;
use super::phase::{Done, Phase};
use super::{Engine, work};
use crate::action::Action;
use crate::job;
use crate::event::Event;
use crate::order::{self, Failure, Refusal};
use crate::task;
use crate::worker::{Cause, ENDED_PAGE, Ended, Report, Running};

/// Longest wait of a look for a run to end. It bounds how late a silent worker is noticed.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Wait of a look at a worker whose serving tasks are watched for their latency.
const POLL_WAIT_SHARED: Duration = Duration::from_millis(500);
/// Time without progress after which a run counts as hung. Progress is shown in whole percent
/// and reports come every second, so a run of a minute still shows some.
const HANG_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Life of a lasting task from which on its failure says nothing of its worker. Lasting tasks fail
/// at any time.
const TRIAL_RUN_TIME: Duration = Duration::from_secs(3);

impl Engine {
    /// Returns the next look at a worker, with a new lease; nothing when the worker is gone and
    /// need not be followed any more.
    pub fn poll(&mut self, id: &id::Worker, now: Instant) -> Option<(order::Target, order::Poll)> {
        let lease = self.bounds.lease;
        let worker = self.workers.get_mut(id)?;
        if !worker.is_listed && worker.loads.is_empty() {
            worker.is_polled = false;
            return None;
        }
        // A worker that does not answer may still receive the looks; it must not live on them.
        let lease_end = if worker.is_suspect { None } else { worker.grant(lease, now) };
        let shared = worker.best_effort_processor.milli() > 0 && worker.serves_users();
        let first = lease_end.is_none();
        let wait = match (first, shared) {
            (true, _) => Duration::ZERO,
            (false, true) => POLL_WAIT_SHARED,
            (false, false) => POLL_WAIT,
        };
        let (fence, acknowledged) = (worker.fence, worker.acknowledged);
        Some((worker.target(), order::Poll { fence, acknowledged, lease_end, wait }))
    }

    /// Tells whether ends of a worker wait to be stored, so that the next look would only return
    /// them again.
    pub fn has_pending_ends(&self, id: &id::Worker) -> bool {
        self.workers.get(id).is_some_and(|worker| !worker.pending.is_empty())
    }

    /// Takes in the result of a look that was sent at `sent`.
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
        let Some(worker) = self.workers.get_mut(id) else { return };
        let newly = !worker.is_suspect;
        worker.is_suspect = true;
        let current = worker.fence == poll.fence;
        let left = worker.listed.draining && *failure == Failure::NoListener;
        if *failure == Failure::Refused(Refusal::Fence) && current {
            let reason = "a look was refused for its fencing token".into();
            self.actions.push(Action::CheckOwnership(id.clone(), reason));
        }
        if newly {
            self.note_state(id, "unreachable", now);
        }
        if left {
            // A worker that drained and no longer listens has left as it had announced.
            self.mark_all_lost(id, "the worker has left", now);
        }
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
            if incarnation > target.incarnation {
                self.incarnation_ended(id, incarnation, "new lifetime answered", now);
            }
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.record_clock(report.clock, now);
        let regained = worker.is_suspect;
        worker.is_suspect = false;
        worker.last_report = Some(now);
        if regained {
            self.note_state(id, "reachable", now);
        }
        if report.leaves_in.is_some() {
            self.drain_reported(id, now);
        }
        let complete = report.ended.len() < ENDED_PAGE;
        for ended in &report.ended {
            self.handle_end(target, ended, now);
        }
        let mut listed = BTreeSet::new();
        for running in &report.running {
            listed.insert((running.task, running.run));
            self.handle_running(target, poll, running, sent, now);
        }
        if complete {
            self.reconcile(target, poll, &listed, sent, now);
        }
        let stored = self.log.stored;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.acknowledge(stored);
        }
        self.adjust_speeds(id, now);
        self.place_due = true;
    }

    fn drain_reported(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.listed.draining {
            return;
        }
        worker.listed.draining = true;
        self.note_state(id, "draining", now);
        self.move_off_draining(id, now);
    }

    /// Takes in an ended run.
    fn handle_end(&mut self, target: &order::Target, ended: &Ended, now: Instant) {
        let id = &target.worker;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let known = ended.number <= worker.acknowledged;
        if known || worker.pending.contains_key(&ended.number) {
            return;
        }
        worker.surplus_runs.remove(&(ended.task, ended.run));
        let load = worker.loads.get(&ended.task).filter(|load| load.run == ended.run);
        let run_time = load.map_or(Duration::ZERO, |load| now.duration_since(load.since));
        let is_best_effort = load.is_some_and(|load| load.fills);
        if load.is_some() {
            worker.release(ended.task);
        }
        if is_best_effort {
            worker.settling_until = Some(now + SETTLING_TIME);
        }
        let recorded = self.end_run(target, ended, run_time, now);
        let generation = recorded.then(|| self.generation());
        if let Some(worker) = self.workers.get_mut(id) {
            worker.pending.insert(ended.number, generation);
        }
    }

    /// Ends the run of a task; returns whether a record of it has to be stored.
    fn end_run(
        &mut self,
        target: &order::Target,
        ended: &Ended,
        run_time: Duration,
        now: Instant,
    ) -> bool {
        let id = ended.task;
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return false };
        let Some(step) = job.spec().steps.get(usize::from(id.step.step)) else { return false };
        let (lasting, copies, gang) = (step.lasting, step.copies, step.gang);
        let Some(task) = job.task(id) else { return false };
        let assignment = task.phase.assignment();
        let current = assignment.is_some_and(|assignment| {
            let same_worker = assignment.worker == target.worker && assignment.incarnation == target.incarnation;
            same_worker && assignment.run == ended.run
        });
        let first_copy = copies && ended.cause == Cause::Done && !task.phase.is_done();
        if !current && !first_copy {
            return false;
        }
        if !current && assignment.is_some() {
            self.stop_copy(id, now);
        }
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return false };
        let done = ended.cause == Cause::Done && !lasting;
        let failed = ended.cause == Cause::Failed;
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
                task.failures += 1;
                task.avoid = Some(target.worker.clone());
            }
        });
        let failures = job.task(id).map_or(0, |task| task.failures);
        if !lasting || run_time < TRIAL_RUN_TIME {
            self.assess_worker(&target.worker, ended.cause, now);
        }
        if ended.cause != Cause::Done {
            self.emit(Event::Ended {
                task: id,
                run: ended.run,
                worker: target.worker.clone(),
                cause: ended.cause,
                failures,
            });
        }
        self.task_unassigned(id, now);
        if done && gang {
            self.gang_done(id.step);
        }
        if done {
            self.step_advanced(id.step, now);
        } else if failed && !lasting {
            self.check_attempts(id, failures, now);
        }
        true
    }

    fn assess_worker(&mut self, id: &id::Worker, cause: Cause, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        match cause {
            Cause::Done => worker.run_succeeded(),
            Cause::Failed => worker.run_failed(now),
            _ => {}
        }
    }

    /// Stops the run of a task of which another copy has finished. Its start may not be settled.
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
        let proof = phase.proof_of_end().unwrap_or_else(|| Proof::Fence(worker.raise_fence()));
        worker.surplus_runs.insert((id, assignment.run), Surplus { stop_at: now, proof });
    }

    /// One end of a gang stands for all its members.
    fn gang_done(&mut self, step: task::Step) {
        let Some(job) = self.jobs.get_mut(&step.job) else { return };
        let count = job.step(step).map_or(0, |step| step.tasks.len());
        for index in 0..u32::try_from(count).unwrap_or(u32::MAX) {
            job.change(step.task(index), |task| task.phase = Phase::Done(Done));
        }
    }

    /// Follows up on a step of which a task was done.
    fn step_advanced(&mut self, id: task::Step, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if !job.step(id).is_some_and(work::Step::is_done) {
            return;
        }
        self.ready.remove(&id);
        self.advice.remove(&id);
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

    /// Ends the job when a task has failed as often as its queue allows.
    fn check_attempts(&mut self, id: task::Id, failures: u32, now: Instant) {
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        let Some(configuration) = &self.configuration else { return };
        let Some(queue) = configuration.queue_named(&job.accepted.queue) else { return };
        if failures >= queue.attempts_max && !job.state.is_final() {
            self.finish(id.step.job, job::State::Failed, now);
        }
    }

    /// Takes in a run in progress.
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
            self.stop_surplus(target, key, now);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let spec = job.spec().steps.get(usize::from(id.step.step));
        let lasting = spec.is_some_and(|step| step.lasting);
        let mut hung = false;
        job.change(id, |task| {
            task.observation.listed = true;
            if !running.checkpoint.is_empty() {
                task.checkpoint = running.checkpoint.clone();
            }
            task.transition(|phase| match phase {
                Phase::Sent(sent) => Phase::Running(sent.confirm(now)),
                Phase::Unconfirmed(unconfirmed) if poll.fence >= unconfirmed.fence => {
                    Phase::Running(unconfirmed.confirm(now))
                }
                other => other,
            });
            let moved = task.observation.progress != running.progress;
            if moved || task.observation.progress_since.is_none() {
                task.observation.progress = running.progress;
                task.observation.progress_since = Some(sent);
            }
            let since = task.observation.progress_since.unwrap_or(sent);
            let still = now.saturating_duration_since(since) > HANG_TIMEOUT;
            let full_speed = task.observation.speed.is_none_or(|speed| speed >= 50);
            let settled = lasting && running.progress >= 100;
            hung = still && full_speed && !settled && matches!(task.phase, Phase::Running(_));
        });
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        if let Some(load) = worker.loads.get_mut(&id)
            && load.tail_target.is_some()
        {
            load.tail = running.measure.map(Duration::from_millis);
        }
        if hung {
            worker.run_hung(now);
            self.stop_task(id, "no progress", now);
        }
    }

    /// Stops a run that nobody asked for.
    fn stop_surplus(&mut self, target: &order::Target, key: (task::Id, revision::Run), now: Instant) {
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        if worker.surplus_runs.contains_key(&key) {
            return;
        }
        worker.surplus_runs.insert(key, Surplus { stop_at: now, proof: Proof::RequestedAfter(now) });
        let (task, run) = key;
        let vacant = !worker.loads.contains_key(&task);
        if vacant {
            self.reserve(&target.worker, task, run, now);
        }
        let worker = target.worker.clone();
        self.emit(Event::Stop { task, run, worker, reason: "nobody asked for this run" });
    }

    /// Finds runs that the report lacks though they would be in it.
    fn reconcile(
        &mut self,
        target: &order::Target,
        poll: &order::Poll,
        listed: &BTreeSet<(task::Id, revision::Run)>,
        sent: Instant,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        worker
            .surplus_runs
            .retain(|key, surplus| listed.contains(key) || !surplus.proof.is_met(sent, poll.fence));
        for (task, run) in worker.runs() {
            if listed.contains(&(task, run)) {
                continue;
            }
            if !self.is_assigned(&target.worker, task, run) {
                // Occupied by a stray that has ended, or by the member of a gang that has.
                if let Some(worker) = self.workers.get_mut(&target.worker)
                    && !worker.surplus_runs.contains_key(&(task, run))
                {
                    worker.release(task);
                }
                continue;
            }
            let phase = self.jobs.get(&task.step.job).and_then(|job| Some(&job.task(task)?.phase));
            let proof = phase.and_then(Phase::proof_of_end);
            if proof.is_some_and(|proof| proof.is_met(sent, poll.fence)) {
                self.mark_lost(task, "not in the report of its worker", now);
            }
        }
    }
}
