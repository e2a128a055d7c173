//! Emission of log entries and the effects of their commit.

use std::time::Instant;

use knapweedgap_core::{id, revision};

use crate::command::{Action, Body, Outcome, Request};
use crate::engine::Engine;
use crate::log::{self, Record};
use crate::task::{Any, Stop};

impl Engine {
    /// Handles the commit of an entry: applies its records and emits the actions that depend on
    /// them.
    pub fn committed(&mut self, sequence: revision::Sequence, now: Instant) {
        let Some(entry) = self.batch.take_in_flight(sequence) else { return };
        self.sequence = sequence;
        // The commit checks the ownership at some time after the call was sent. The answer may
        // arrive late, so only the time of the call is a safe lower bound.
        if let Some(emitted) = self.batch.emitted() {
            self.ownership_validated(emitted);
        }
        for record in &entry.records {
            let placed = self.placed_size(record);
            let worker = self.worker_of(record);
            // The engine emits only records that are valid in its state, and only commits change
            // the state. A contradiction would leave the state unchanged.
            let applied = self.state.apply(record);
            debug_assert!(applied.is_ok(), "{applied:?}");
            self.batch.release(record, placed);
            self.apply_effects(record, worker, now);
        }
        self.record_close_times(now);
        if sequence.get() >= self.checkpointed.get() + log::CHECKPOINT_ENTRIES {
            self.checkpointed = sequence;
            self.actions.push(Action::Store(Box::new(self.checkpoint())));
        }
        if std::mem::take(&mut self.paused) {
            self.schedule_placement(now);
        }
        self.place(now);
        self.flush(now);
    }

    /// Handles an entry that is not committed and will not be. Waiting requests are answered with
    /// [`Outcome::NotRun`]; the next reports of the workers repeat the dropped facts.
    pub fn commit_failed(&mut self, sequence: revision::Sequence, now: Instant) {
        if self.batch.take_in_flight(sequence).is_none() {
            return;
        }
        let placing: Vec<id::Worker> = self.batch.placing.keys().cloned().collect();
        let answers = self.batch.drop_all(now);
        self.actions.extend(answers.into_iter().map(Action::Answer));
        for worker in placing {
            self.refresh_worker(&worker);
        }
        self.rebuild_ready();
        self.paused = false;
        self.place_at = None;
        self.schedule_placement(now + super::batch::RETRY_BACKOFF);
    }

    /// Creates a checkpoint of the state after the last committed entry.
    pub fn checkpoint(&self) -> log::Checkpoint {
        log::Checkpoint {
            version: log::VERSION,
            sequence: self.sequence,
            state: self.state.clone(),
        }
    }

    pub(super) fn flush(&mut self, now: Instant) {
        let Some(entry) = self.batch.flush(self.sequence.next(), self.owner.epoch, now) else {
            return;
        };
        self.actions.push(Action::Append(entry));
    }

    fn placed_size(
        &self,
        record: &Record,
    ) -> Option<(id::Team, knapweedgap_core::size::Resources, bool)> {
        let Record::TaskPlaced { task, .. } = record else { return None };
        let job = self.state.job(&task.job)?;
        Some((job.spec.team.clone(), job.spec.size, !job.tasks.contains_key(&task.index)))
    }

    /// Returns the worker whose free capacity the record changes.
    fn worker_of(&self, record: &Record) -> Option<id::Worker> {
        match record {
            Record::TaskPlaced { assignment, .. } => Some(assignment.worker.clone()),
            Record::AttemptEnded { task, .. } | Record::TaskFinished { task, .. } => {
                Some(self.state.task(task)?.assignment()?.worker.clone())
            }
            Record::WorkerQuarantined { worker } => Some(worker.clone()),
            _ => None,
        }
    }

    fn apply_effects(&mut self, record: &Record, worker: Option<id::Worker>, now: Instant) {
        match record {
            Record::JobSubmitted { job, .. } => {
                self.refresh_ready(job);
                self.schedule_placement(now);
                self.answer(Request::Submit(*job), Outcome::Recorded);
            }
            Record::JobDelegated { job, .. } => {
                self.answer(Request::Submit(*job), Outcome::Recorded);
            }
            Record::JobCancelled { jobs } => {
                for job in jobs {
                    self.refresh_ready(job);
                    self.answer(Request::Cancel(*job), Outcome::Recorded);
                    self.stop_cancelled(job);
                }
            }
            Record::TaskPlaced { task, .. } => {
                self.refresh_ready(&task.job);
                if matches!(self.state.task(task), Some(Any::Placed(_))) {
                    self.send_start(*task, now);
                }
                if let Some(worker) = &worker {
                    let latest_end = self.latest_end(worker);
                    self.set_deadline(worker, latest_end);
                }
                // A worker with services receives no other task while a placement is uncommitted.
                let schedulable_again =
                    worker.as_ref().is_some_and(|worker| self.has_services(worker));
                if schedulable_again || !self.holds.is_empty() {
                    self.schedule_placement(now);
                }
            }
            Record::TaskStopping { task, .. } => self.send_stop(*task),
            Record::AttemptEnded { task, .. } | Record::TaskFinished { task, .. } => {
                self.throttled.remove(task);
                self.refresh_ready(&task.job);
                self.schedule_placement(now);
                if let Some(worker) = &worker {
                    self.quarantine_if_due(worker, now);
                }
            }
            Record::WorkerQuarantined { worker } => self.begin_quarantine(worker, now),
            Record::TaskStarted { .. } | Record::Resumed { .. } | Record::JobsForgotten { .. } => {}
        }
        if let Some(worker) = worker {
            self.refresh_worker(&worker);
            self.remove_worker_if_unlisted(&worker);
        }
    }

    fn has_services(&self, worker: &id::Worker) -> bool {
        self.workers.get(worker).is_some_and(|worker| !worker.spec.services.is_empty())
    }

    fn stop_cancelled(&mut self, job: &id::Job) {
        let Some(live) = self.state.job(job) else { return };
        let indices: Vec<u32> = live.tasks.keys().copied().collect();
        for index in indices {
            self.send_stop(id::Task { job: *job, index });
        }
    }

    fn quarantine_if_due(&mut self, worker: &id::Worker, now: Instant) {
        let due = self.state.health(worker).is_some_and(crate::quarantine::Health::is_due);
        if due && !self.batch.quarantining.contains(worker) {
            self.batch.push(Record::WorkerQuarantined { worker: worker.clone() }, now);
        }
    }

    fn begin_quarantine(&mut self, id: &id::Worker, now: Instant) {
        let Some(health) = self.state.health(id) else { return };
        let until = now + health.duration();
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.quarantined = Some(until);
        self.quarantine_ends.insert((until, id.clone()));
        self.schedule_placement(now);
    }

    fn remove_worker_if_unlisted(&mut self, id: &id::Worker) {
        let unlisted = self.workers.get(id).is_some_and(|worker| worker.unlisted);
        if !unlisted || self.state.attempts(id).is_some() || self.batch.placing.contains_key(id) {
            return;
        }
        self.workers.remove(id);
        self.index.remove(id);
        self.interference.remove(id);
        self.contribution.remove(id);
        self.clear_deadline(id);
    }

    pub(super) fn send_start(&mut self, task: id::Task, now: Instant) {
        let Some(any) = self.state.task(&task) else { return };
        let Some(assignment) = any.assignment() else { return };
        let Some(worker) = self.workers.get(&assignment.worker) else { return };
        let Some(contact) = &worker.contact else { return };
        let expired = now >= contact.at + crate::lease::LEASE;
        if contact.incarnation != assignment.incarnation || expired || !self.may_renew(now) {
            return;
        }
        let Some(job) = self.state.job(&task.job) else { return };
        let start = crate::command::Start {
            class: job.spec.class.clone(),
            size: job.spec.size,
            run_time: job.spec.run_time,
            checkpoint: any.history().checkpoint.clone(),
            expires: contact.clock + crate::lease::LEASE,
            payload: job.spec.payload.clone(),
        };
        self.send(task, Body::Start(Box::new(start)));
    }

    /// Sends a stop command for a task in the stopping state.
    pub(super) fn send_stop(&mut self, task: id::Task) {
        let Some(why) = self.state.task(&task).and_then(Any::stopping) else { return };
        self.send(task, Body::Stop { checkpoint: why != Stop::Cancelled });
    }

    /// Sends a command about the current attempt of a task.
    pub(super) fn send(&mut self, task: id::Task, body: Body) {
        let Some(any) = self.state.task(&task) else { return };
        let Some(assignment) = any.assignment() else { return };
        let command = crate::command::Command {
            partition: self.owner.partition,
            epoch: self.owner.epoch,
            worker: assignment.worker.clone(),
            incarnation: assignment.incarnation,
            task,
            attempt: any.history().attempt,
            body,
        };
        self.actions.push(Action::Send(command));
    }
}
