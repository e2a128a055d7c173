//! State of a partition, derived from its committed log.
//!
//! Only [`State::apply`] changes it. The live engine applies an entry after its commit, and a
//! replay applies the same entries, so both reach the same state.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use knapweedgap_core::{id, size};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::log::Record;
use crate::quarantine::Health;
use crate::task::{self, Any, Assignment, Cause, Outcome, Task};
use crate::{job, quota};

/// Workers for which failures are stored. A removed worker id may never return, so without a bound
/// the checkpoint would grow.
const HEALTH_MAX: usize = 4096;

/// Contradiction between a record and the state before it.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub enum Fault {
    /// The job has no unfinished task and is not retained as finished.
    #[display("job {_0} is unknown")]
    UnknownJob(#[error(not(source))] id::Job),
    /// The log already contains the submission of the job.
    #[display("job {_0} was already submitted")]
    KnownJob(#[error(not(source))] id::Job),
    /// The record names another attempt than the state.
    #[display("task {task} is at attempt {current}, but the record names attempt {named}")]
    Attempt {
        task: id::Task,
        /// Attempt of the state.
        current: id::Attempt,
        /// Attempt of the record.
        named: id::Attempt,
    },
    /// The life cycle of a task has no such transition.
    #[display("task {task} is {state} and cannot become {wanted}")]
    Transition {
        task: id::Task,
        /// State before the record.
        state: &'static str,
        /// State that the record names.
        wanted: &'static str,
    },
}

/// Jobs, tasks and the health of workers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    jobs: BTreeMap<id::Job, job::Job>,
    closed: BTreeMap<id::Job, job::Closed>,
    #[serde(default)]
    delegated: BTreeMap<id::Job, job::Delegated>,
    #[serde(default)]
    delegations: u64,
    health: BTreeMap<id::Worker, Health>,
    submitted: u64,
    ended: u64,
    #[serde(skip)]
    attempts: BTreeMap<id::Worker, BTreeMap<id::Task, size::Resources>>,
    #[serde(skip)]
    usage: quota::Usage,
    #[serde(skip)]
    unfinished: u32,
    #[serde(skip)]
    close_order: BTreeMap<u64, id::Job>,
}

/// Delegated jobs that are stored. Bounds the memory and the checkpoint.
pub const DELEGATED_MAX: usize = 4096;

impl State {
    /// Returns the delegation of a job that another partition stores.
    pub fn delegated(&self, job: &id::Job) -> Option<&job::Delegated> {
        self.delegated.get(job)
    }

    /// Returns the job, or `None` if it has no unfinished task.
    pub fn job(&self, job: &id::Job) -> Option<&job::Job> {
        self.jobs.get(job)
    }

    /// Returns the jobs with unfinished tasks.
    pub fn jobs(&self) -> &BTreeMap<id::Job, job::Job> {
        &self.jobs
    }

    /// Returns the number of unfinished tasks.
    pub fn unfinished(&self) -> u32 {
        self.unfinished
    }

    /// Returns the finished jobs within their retention.
    pub fn closed(&self) -> &BTreeMap<id::Job, job::Closed> {
        &self.closed
    }

    /// Returns the finished jobs by the order in which they finished.
    pub fn close_order(&self) -> &BTreeMap<u64, id::Job> {
        &self.close_order
    }

    /// Returns the failures of a worker since its last success; `None` if there are none.
    pub fn health(&self, worker: &id::Worker) -> Option<&Health> {
        self.health.get(worker)
    }

    /// Returns every worker with failures since its last success.
    pub fn unhealthy(&self) -> impl Iterator<Item = (&id::Worker, &Health)> {
        self.health.iter()
    }

    /// Returns the attempts that may be running on a worker, with their declared sizes.
    pub fn attempts(&self, worker: &id::Worker) -> Option<&BTreeMap<id::Task, size::Resources>> {
        self.attempts.get(worker)
    }

    /// Returns the workers with attempts that may be running.
    pub fn assigned_workers(&self) -> impl Iterator<Item = &id::Worker> {
        self.attempts.keys()
    }

    /// Returns the sum of the declared sizes committed to a worker.
    pub fn committed(&self, worker: &id::Worker) -> size::Resources {
        let sizes = self.attempts.get(worker).into_iter().flat_map(BTreeMap::values);
        sizes.fold(size::Resources::default(), |sum, size| sum + *size)
    }

    /// Returns the committed sizes of each team.
    pub fn usage(&self) -> &quota::Usage {
        &self.usage
    }

    /// Returns a task, or `None` if it was never placed or is finished.
    pub fn task(&self, task: &id::Task) -> Option<&Any> {
        self.jobs.get(&task.job)?.tasks.get(&task.index)
    }

    /// Returns `true` if the attempt completed its task, so that its result is the one to publish.
    pub fn is_completed_by(&self, task: &id::Task, attempt: id::Attempt) -> bool {
        if let Some(job) = self.jobs.get(&task.job) {
            return job.is_finished(task.index) && job.completions.accepts(task.index, attempt);
        }
        let closed = self.closed.get(&task.job);
        closed.is_some_and(|closed| closed.completions.accepts(task.index, attempt))
    }

    /// Rebuilds the derived fields that a checkpoint omits.
    pub fn rebuild_indexes(&mut self) {
        self.attempts.clear();
        self.usage = quota::Usage::default();
        self.close_order = self.closed.iter().map(|(id, closed)| (closed.order, *id)).collect();
        self.unfinished = self.jobs.values().map(job::Job::unfinished).sum();
        for (id, job) in &self.jobs {
            for (index, task) in &job.tasks {
                let Some(assignment) = task.assignment() else { continue };
                let task = id::Task { job: *id, index: *index };
                self.attempts
                    .entry(assignment.worker.clone())
                    .or_default()
                    .insert(task, job.spec.size);
                self.usage.add(&job.spec.team, job.spec.size);
            }
        }
    }

    /// Applies one record.
    ///
    /// A record about a task that is already finished by a cancellation has no effect, because the
    /// cancellation may be committed before a record that was created earlier.
    ///
    /// # Errors
    /// Returns the contradiction between the record and the state, which is unchanged then.
    pub fn apply(&mut self, record: &Record) -> Result<(), Fault> {
        match record {
            Record::JobSubmitted { job, body, spec } => self.job_submitted(*job, *body, spec),
            Record::JobDelegated { job, body, to } => {
                self.job_delegated(*job, *body, *to);
                Ok(())
            }
            Record::JobCancelled { jobs } => {
                for job in jobs {
                    self.job_cancelled(job);
                }
                Ok(())
            }
            Record::TaskPlaced { task, attempt, assignment } => {
                self.task_placed(*task, *attempt, assignment)
            }
            Record::TaskStarted { task, attempt } => self.task_started(*task, *attempt),
            Record::TaskStopping { task, attempt, why } => {
                self.task_stopping(*task, *attempt, *why)
            }
            Record::AttemptEnded { task, attempt, cause, checkpoint } => {
                self.attempt_ended(*task, *attempt, *cause, checkpoint.clone())
            }
            Record::Resumed { task, attempt } => self.resumed(*task, *attempt),
            Record::TaskFinished { task, attempt, outcome } => {
                self.task_finished(*task, *attempt, outcome)
            }
            Record::WorkerQuarantined { worker } => {
                self.worker_quarantined(worker);
                Ok(())
            }
            Record::JobsForgotten { jobs } => {
                for job in jobs {
                    let Some(closed) = self.closed.remove(job) else { continue };
                    self.close_order.remove(&closed.order);
                }
                Ok(())
            }
        }
    }

    fn job_submitted(
        &mut self,
        id: id::Job,
        body: job::BodyHash,
        spec: &job::Spec,
    ) -> Result<(), Fault> {
        if self.jobs.contains_key(&id) || self.closed.contains_key(&id) {
            return Err(Fault::KnownJob(id));
        }
        self.jobs.insert(id, job::Job::new(spec.clone(), body, self.submitted));
        self.submitted += 1;
        self.unfinished += spec.tasks;
        Ok(())
    }

    fn job_delegated(&mut self, id: id::Job, body: job::BodyHash, to: id::Partition) {
        let order = self.delegations;
        self.delegations += 1;
        self.delegated.insert(id, job::Delegated { body, to, order });
        if self.delegated.len() <= DELEGATED_MAX {
            return;
        }
        let oldest = self.delegated.iter().min_by_key(|(_, delegated)| delegated.order);
        if let Some(oldest) = oldest.map(|(id, _)| *id) {
            self.delegated.remove(&oldest);
        }
    }

    fn job_cancelled(&mut self, id: &id::Job) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.cancelled = true;
        self.unfinished -= job.waiting();
        job.tally.cancelled += job.waiting();
        job.first_unplaced = job.spec.tasks;
        for index in std::mem::take(&mut job.requeued) {
            job.tasks.remove(&index);
            job.completions.discard(index);
        }
        for task in job.tasks.values_mut() {
            let stopping = match task.clone() {
                Any::Placed(task) => task.stop(task::Stop::Cancelled),
                Any::Running(task) => task.stop(task::Stop::Cancelled),
                Any::Stopping(task) => task.stop(task::Stop::Cancelled),
                Any::Pending(_) | Any::Finished(_) => continue,
            };
            *task = stopping.into();
        }
        self.close_if_finished(id);
    }

    fn task_placed(
        &mut self,
        id: id::Task,
        attempt: id::Attempt,
        assignment: &Assignment,
    ) -> Result<(), Fault> {
        let job = self.jobs.get_mut(&id.job).ok_or(Fault::UnknownJob(id.job))?;
        let pending = match job.tasks.get(&id.index) {
            Some(Any::Pending(task)) => task.clone(),
            None if id.index == job.first_unplaced && id.index < job.spec.tasks => Task::pending(),
            Some(other) => return Err(transition(id, other.name(), "placed")),
            None => return Err(transition(id, "finished or not next", "placed")),
        };
        let placed = pending.place(assignment.clone());
        check_attempt(id, placed.history().attempt, attempt)?;
        job.requeued.remove(&id.index);
        job.first_unplaced = job.first_unplaced.max(id.index + 1);
        job.tasks.insert(id.index, placed.into());
        let size = job.spec.size;
        self.usage.add(&job.spec.team, size);
        self.attempts.entry(assignment.worker.clone()).or_default().insert(id, size);
        Ok(())
    }

    fn task_started(&mut self, id: id::Task, attempt: id::Attempt) -> Result<(), Fault> {
        let Some(job) = self.live_job(id)? else { return Ok(()) };
        let task = job.tasks.get_mut(&id.index).ok_or(transition(id, "never placed", "running"))?;
        check_attempt(id, task.history().attempt, attempt)?;
        match task.clone() {
            Any::Placed(placed) => *task = placed.start().into(),
            Any::Running(_) | Any::Stopping(_) => {}
            other => return Err(transition(id, other.name(), "running")),
        }
        Ok(())
    }

    fn task_stopping(
        &mut self,
        id: id::Task,
        attempt: id::Attempt,
        why: task::Stop,
    ) -> Result<(), Fault> {
        let Some(job) = self.live_job(id)? else { return Ok(()) };
        let task =
            job.tasks.get_mut(&id.index).ok_or(transition(id, "never placed", "stopping"))?;
        check_attempt(id, task.history().attempt, attempt)?;
        match task.clone() {
            Any::Placed(placed) => *task = placed.stop(why).into(),
            Any::Running(running) => *task = running.stop(why).into(),
            Any::Stopping(_) => {}
            other => return Err(transition(id, other.name(), "stopping")),
        }
        Ok(())
    }

    fn attempt_ended(
        &mut self,
        id: id::Task,
        attempt: id::Attempt,
        cause: Cause,
        checkpoint: Option<SmolStr>,
    ) -> Result<(), Fault> {
        let Some(job) = self.live_job(id)? else { return Ok(()) };
        let task = job.tasks.get_mut(&id.index).ok_or(transition(id, "never placed", "pending"))?;
        check_attempt(id, task.history().attempt, attempt)?;
        let assignment = task.assignment().cloned();
        let pending = match task.clone() {
            Any::Placed(task) => task.end(cause, checkpoint),
            Any::Running(task) => task.end(cause, checkpoint),
            Any::Stopping(task) => task.end(cause, checkpoint),
            other => return Err(transition(id, other.name(), "pending")),
        };
        *task = pending.into();
        let cancelled = job.cancelled;
        if !cancelled {
            job.requeued.insert(id.index);
        }
        if let Some(assignment) = &assignment {
            self.release(id, &assignment.worker);
        }
        if cancelled {
            self.finish(id, &Outcome::Cancelled);
        }
        let Some(assignment) = assignment else { return Ok(()) };
        if matches!(cause, Cause::Failed(_)) {
            if self.health.len() >= HEALTH_MAX {
                self.health.pop_first();
            }
            self.health.entry(assignment.worker).or_default().record_failure(id);
        }
        Ok(())
    }

    fn resumed(&mut self, id: id::Task, attempt: id::Attempt) -> Result<(), Fault> {
        let Some(job) = self.live_job(id)? else { return Ok(()) };
        let task = job.tasks.get_mut(&id.index).ok_or(transition(id, "never placed", "pending"))?;
        let next = id::Attempt::new(task.history().attempt.get() + 1);
        check_attempt(id, next, attempt)?;
        match task.clone() {
            Any::Pending(pending) => *task = pending.resume().into(),
            other => return Err(transition(id, other.name(), "pending")),
        }
        Ok(())
    }

    fn task_finished(
        &mut self,
        id: id::Task,
        attempt: id::Attempt,
        outcome: &Outcome,
    ) -> Result<(), Fault> {
        let Some(job) = self.live_job(id)? else { return Ok(()) };
        let task =
            job.tasks.get_mut(&id.index).ok_or(transition(id, "never placed", "finished"))?;
        check_attempt(id, task.history().attempt, attempt)?;
        let assignment = task.assignment().cloned();
        if let Some(assignment) = &assignment {
            self.release(id, &assignment.worker);
        }
        self.finish(id, outcome);
        let Some(assignment) = assignment else { return Ok(()) };
        if *outcome == Outcome::Succeeded {
            self.health.remove(&assignment.worker);
        }
        Ok(())
    }

    fn worker_quarantined(&mut self, worker: &id::Worker) {
        let failed_tasks = self.health.entry(worker.clone()).or_default().quarantine();
        for id in failed_tasks {
            let Some(job) = self.jobs.get_mut(&id.job) else { continue };
            let Some(task) = job.tasks.get_mut(&id.index) else { continue };
            *task = task.clone().clear_failures_on(worker);
        }
    }

    /// Returns the job of a task, or `None` if the task is finished.
    fn live_job(&mut self, id: id::Task) -> Result<Option<&mut job::Job>, Fault> {
        if self.closed.contains_key(&id.job) {
            return Ok(None);
        }
        let job = self.jobs.get_mut(&id.job).ok_or(Fault::UnknownJob(id.job))?;
        if job.is_finished(id.index) {
            return Ok(None);
        }
        Ok(Some(job))
    }

    fn finish(&mut self, id: id::Task, outcome: &Outcome) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(task) = job.tasks.remove(&id.index) else { return };
        job.requeued.remove(&id.index);
        let finished = match task {
            Any::Pending(task) => task.finish(outcome.clone()),
            Any::Placed(task) => task.finish(outcome.clone()),
            Any::Running(task) => task.finish(outcome.clone()),
            Any::Stopping(task) => task.finish(outcome.clone()),
            Any::Finished(task) => task,
        };
        self.unfinished -= 1;
        job.tally.count(finished.outcome());
        job.completions.record(id.index, finished.history().attempt, finished.outcome());
        if let Outcome::Failed { reason } = finished.outcome() {
            job.reason = Some(reason.clone());
        }
        self.close_if_finished(&id.job);
    }

    fn release(&mut self, id: id::Task, worker: &id::Worker) {
        if let Some(job) = self.jobs.get(&id.job) {
            self.usage.remove(&job.spec.team, job.spec.size);
        }
        let Some(attempts) = self.attempts.get_mut(worker) else { return };
        attempts.remove(&id);
        if attempts.is_empty() {
            self.attempts.remove(worker);
        }
    }

    fn close_if_finished(&mut self, id: &id::Job) {
        if self.jobs.get(id).is_none_or(|job| job.unfinished() > 0) {
            return;
        }
        let Some(job) = self.jobs.remove(id) else { return };
        self.close_order.insert(self.ended, *id);
        self.closed.insert(*id, job::Closed::new(job, self.ended));
        self.ended += 1;
    }
}

fn transition(task: id::Task, state: &'static str, wanted: &'static str) -> Fault {
    Fault::Transition { task, state, wanted }
}

fn check_attempt(task: id::Task, current: id::Attempt, named: id::Attempt) -> Result<(), Fault> {
    if current == named { Ok(()) } else { Err(Fault::Attempt { task, current, named }) }
}
