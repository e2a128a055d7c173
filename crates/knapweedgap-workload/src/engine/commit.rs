//! The log: what has to be stored, and what waits for it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use knapweedgap_core::{id, revision};

use super::work::{Job, Unsaved};
use super::{Deferred, Engine};
use crate::action::Action;
use crate::event::Event;
use crate::record::Change;
use crate::{job, record};

/// Entries of the log above which the oldest are rewritten, so that a takeover reads few pages.
const ENTRIES_MAX: usize = 256;
/// Oldest entries that are rewritten at once.
const REWRITTEN_ENTRIES: usize = 48;
/// Entries deleted with one commit; a transaction of the platform has 32 parts.
const DELETES_MAX: usize = 24;

/// Job that has ended and has no runs left. Only its state is kept.
#[derive(Debug)]
pub(super) struct Closed {
    pub(super) state: job::State,
    entry: Option<revision::Sequence>,
    /// The state is stored.
    pub(super) is_stored: bool,
    since: Instant,
}

/// Books of the log.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Last entry that was handed out or replayed.
    last: revision::Sequence,
    /// Entries with the number of records that count.
    entries: BTreeMap<revision::Sequence, u32>,
    dirty: BTreeSet<id::Job>,
    /// Number of the batch that will hold what is dirty now.
    generation: u64,
    /// Number of batches that are stored.
    pub(super) stored: u64,
    deferred: VecDeque<(u64, Deferred)>,
    in_flight: bool,
    /// Entry with what is known of pairs of images, and whether more is known by now.
    interference_entry: Option<revision::Sequence>,
    pub(super) interference_dirty: bool,
}

/// Entry of the log that is to be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Position of the entry.
    pub sequence: revision::Sequence,
    /// Value; empty when only deletions are due.
    pub value: Vec<u8>,
    /// Entries to delete in the same transaction.
    pub deletes: Vec<revision::Sequence>,
    generation: u64,
    states: Vec<(id::Job, job::State)>,
}

impl Engine {
    /// Takes in one entry of the log. Entries come in order.
    ///
    /// # Errors
    ///
    /// [`record::Error`] when the entry can't be decoded.
    pub fn replay(
        &mut self,
        sequence: revision::Sequence,
        value: &[u8],
        now: Instant,
    ) -> Result<(), record::Error> {
        self.log.entries.entry(sequence).or_default();
        self.log.last = self.log.last.max(sequence);
        for change in record::decode(sequence, value)? {
            self.replay_change(sequence, change, now);
        }
        Ok(())
    }

    fn replay_change(&mut self, sequence: revision::Sequence, change: Change, now: Instant) {
        match change {
            Change::Accepted(id, accepted) => {
                if self.closed.contains_key(&id) {
                    return;
                }
                match self.jobs.get_mut(&id) {
                    Some(job) => {
                        let old = job.accepted_entry.replace(sequence);
                        self.log.release(old);
                    }
                    None => {
                        let mut job = Job::new((*accepted).into(), now);
                        job.accepted_entry = Some(sequence);
                        self.jobs.insert(id, job);
                    }
                }
                self.log.retain(sequence);
            }
            Change::Progress(id, progress) => {
                let fence = self.first_fence();
                let Some(job) = self.jobs.get_mut(&id) else { return };
                job.restore(progress, fence, now);
                job.stored_state = Some(job.state);
                let old = std::mem::replace(&mut job.progress_entries, vec![sequence]);
                self.log.release_all(old);
                self.log.retain(sequence);
            }
            Change::Tasks(id, tasks) => {
                let fence = self.first_fence();
                let Some(job) = self.jobs.get_mut(&id) else { return };
                for (step, record) in tasks {
                    job.restore_task(step, record, fence, now);
                }
                job.progress_entries.push(sequence);
                self.log.retain(sequence);
            }
            Change::Pressure(known) => {
                self.interference.restore(known, now);
                let old = self.log.interference_entry.replace(sequence);
                self.log.release(old);
                self.log.retain(sequence);
            }
            Change::Closed(id, state) => {
                if let Some(job) = self.jobs.remove(&id) {
                    self.log.release(job.accepted_entry);
                    self.log.release_all(job.progress_entries);
                }
                let closed = Closed { state, entry: Some(sequence), is_stored: true, since: now };
                if let Some(old) = self.closed.insert(id, closed) {
                    self.log.release(old.entry);
                }
                self.log.retain(sequence);
            }
        }
    }

    /// Begins to work after the last entry was replayed. `wall_ms` is the time in milliseconds
    /// since 1970.
    pub fn begin(&mut self, now: Instant, wall_ms: u64) {
        let ids: Vec<id::Job> = self.jobs.keys().copied().collect();
        for id in ids {
            self.begin_job(id, now, wall_ms);
        }
        self.place_due = true;
    }

    fn begin_job(&mut self, id: id::Job, now: Instant, wall_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let age = std::time::Duration::from_millis(wall_ms.saturating_sub(job.accepted.at_ms));
        job.accepted_at = now.checked_sub(age).unwrap_or(now);
        let assignments = assignments(id, job);
        let is_final = job.state.is_final();
        let has_more = job.next_occurrence < job.repetitions();
        for (task, worker) in assignments {
            self.orphans.entry(worker).or_default().push(task);
        }
        if is_final {
            // The end of the job is stored, so the stops need not wait.
            self.stop_job(id, "its job has ended", now);
            self.close_if_empty(id, now);
            return;
        }
        if has_more {
            self.timed.insert(id);
        }
        self.refresh_ready(id);
    }

    /// Enters the steps of a job that may have tasks to place.
    pub(super) fn refresh_ready(&mut self, id: id::Job) {
        let Some(job) = self.jobs.get(&id) else { return };
        for (&occurrence, steps) in &job.occurrences {
            for (position, step) in steps.steps.iter().enumerate() {
                let Ok(position) = u16::try_from(position) else { continue };
                let step_id = crate::task::Step { job: id, occurrence, step: position };
                if !step.waiting.is_empty() && job.is_ready(step_id) {
                    self.ready.insert(step_id);
                }
            }
        }
    }

    pub(super) fn mark_dirty(&mut self, id: id::Job) {
        self.log.dirty.insert(id);
    }

    /// Returns the generation of the log that will hold what has changed until now.
    pub(super) fn generation(&self) -> u64 {
        self.log.generation
    }

    /// Lets something wait until all changes so far are stored.
    pub(super) fn defer(&mut self, deferred: Deferred) {
        self.log.deferred.push_back((self.log.generation, deferred));
    }

    /// Tells whether a batch is due.
    pub fn has_batch(&self) -> bool {
        let work = !self.log.dirty.is_empty() || !self.log.deferred.is_empty();
        work && !self.log.in_flight
    }

    /// Returns what has to be stored next. There is none while one is being stored.
    pub fn take_batch(&mut self, now: Instant) -> Option<Batch> {
        if !self.has_batch() {
            return None;
        }
        self.mark_oldest_dirty(now);
        let dirty = std::mem::take(&mut self.log.dirty);
        let mut changes = Vec::with_capacity(dirty.len() + 8);
        let mut states = Vec::with_capacity(dirty.len());
        let sequence = self.log.last.next();
        for id in dirty {
            self.collect(id, sequence, &mut changes, &mut states);
        }
        if std::mem::take(&mut self.log.interference_dirty) {
            changes.push(Change::Pressure(self.interference.known()));
            let old = self.log.interference_entry.replace(sequence);
            self.log.release(old);
            self.log.retain(sequence);
        }
        let deletes = self.log.take_empty();
        let value = if changes.is_empty() { Vec::new() } else { record::encode(&changes) };
        if !changes.is_empty() {
            self.log.last = sequence;
        }
        let generation = self.log.generation;
        self.log.generation += 1;
        self.log.in_flight = true;
        Some(Batch { sequence, value, deletes, generation, states })
    }

    /// Adds the records of one job to an entry.
    fn collect(
        &mut self,
        id: id::Job,
        sequence: revision::Sequence,
        changes: &mut Vec<Change>,
        states: &mut Vec<(id::Job, job::State)>,
    ) {
        if let Some(closed) = self.closed.get_mut(&id) {
            changes.push(Change::Closed(id, closed.state));
            states.push((id, closed.state));
            let old = closed.entry.replace(sequence);
            self.log.release(old);
            self.log.retain(sequence);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.accepted_entry.is_none() {
            changes.push(Change::Accepted(id, Box::new((*job.accepted).clone())));
            job.accepted_entry = Some(sequence);
            self.log.retain(sequence);
        }
        match job.take_unsaved(id) {
            Change::Tasks(_, tasks) if tasks.is_empty() => {}
            change => {
                if matches!(change, Change::Progress(..)) {
                    self.log.release_all(std::mem::take(&mut job.progress_entries));
                }
                changes.push(change);
                job.progress_entries.push(sequence);
                self.log.retain(sequence);
            }
        }
        states.push((id, job.state));
    }

    /// Takes in that a batch is stored, and releases what waited for it.
    pub fn committed(&mut self, batch: &Batch, now: Instant) {
        self.log.in_flight = false;
        for &(id, state) in &batch.states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.stored_state = Some(state);
            } else if let Some(closed) = self.closed.get_mut(&id) {
                // An older record of the job may have been on its way when it ended.
                closed.is_stored |= closed.state == state;
            }
        }
        self.log.stored = batch.generation + 1;
        let stored = self.log.stored;
        for worker in self.workers.values_mut() {
            worker.acknowledge(stored);
        }
        while let Some((generation, _)) = self.log.deferred.front() {
            if *generation > batch.generation {
                break;
            }
            let Some((_, deferred)) = self.log.deferred.pop_front() else { break };
            match deferred {
                Deferred::Answer(ticket, answer) => {
                    self.actions.push(Action::Answer(ticket, answer));
                }
                Deferred::Start(task, run) => self.send_start(task, run, now),
                Deferred::Stop(task) => self.send_stop(task, now),
            }
        }
    }

    /// Moves a job that has ended and has no runs left to the closed ones.
    pub(super) fn close_if_empty(&mut self, id: id::Job, now: Instant) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.state.is_final() || !assignments(id, job).is_empty() {
            return;
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        let is_stored = job.stored_state == Some(job.state);
        self.log.release(job.accepted_entry);
        self.log.release_all(job.progress_entries);
        let closed = Closed { state: job.state, entry: None, is_stored, since: now };
        self.closed.insert(id, closed);
        self.timed.remove(&id);
        self.ready.retain(|step| step.job != id);
        self.advice.retain(|step, _| step.job != id);
        self.interference.forget(id);
        self.mark_dirty(id);
    }

    /// Ends a job.
    pub(super) fn finish(&mut self, id: id::Job, state: job::State, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.set_state(state);
        let age = now.saturating_duration_since(job.accepted_at);
        self.emit(Event::Final { job: id, state, age });
        self.timed.remove(&id);
        self.ready.retain(|step| step.job != id);
        self.mark_dirty(id);
        let reason = if state == job::State::Failed { "job failed" } else { "job ended" };
        self.stop_job(id, reason, now);
        self.close_if_empty(id, now);
    }

    /// Returns the state that is stored of a job.
    pub(super) fn stored_state(&self, id: id::Job) -> Option<job::State> {
        if let Some(job) = self.jobs.get(&id) {
            return job.stored_state;
        }
        let closed = self.closed.get(&id)?;
        // While the end is not stored, the last state that was stored is running.
        Some(if closed.is_stored { closed.state } else { job::State::Running })
    }

    /// Marks the jobs in the oldest entries to be rewritten when the log has grown long.
    fn mark_oldest_dirty(&mut self, now: Instant) {
        if self.log.entries.len() <= ENTRIES_MAX {
            return;
        }
        let Some(&limit) = self.log.entries.keys().nth(REWRITTEN_ENTRIES) else { return };
        let old = |entry: Option<revision::Sequence>| entry.is_some_and(|entry| entry < limit);
        self.log.interference_dirty |= old(self.log.interference_entry);
        let retention = self.bounds.retention;
        let mut forgotten = Vec::new();
        for (&id, closed) in &self.closed {
            if !old(closed.entry) {
                continue;
            }
            // Entries before the closing one are deleted no later than that one, so no older
            // record of the job can come back.
            if now.saturating_duration_since(closed.since) > retention {
                forgotten.push(id);
            } else {
                self.log.dirty.insert(id);
            }
        }
        for id in forgotten {
            if let Some(closed) = self.closed.remove(&id) {
                self.log.release(closed.entry);
            }
        }
        for (&id, job) in &mut self.jobs {
            if old(job.accepted_entry) {
                // The progress must not stand before the record that it depends on.
                job.unsaved = Unsaved::All;
                let entry = job.accepted_entry.take();
                self.log.release(entry);
                self.log.dirty.insert(id);
            }
            if old(job.progress_entries.first().copied()) {
                job.unsaved = Unsaved::All;
                self.log.dirty.insert(id);
            }
        }
    }
}

impl Log {
    fn retain(&mut self, sequence: revision::Sequence) {
        *self.entries.entry(sequence).or_default() += 1;
    }

    fn release_all(&mut self, sequences: Vec<revision::Sequence>) {
        for sequence in sequences {
            self.release(Some(sequence));
        }
    }

    fn release(&mut self, sequence: Option<revision::Sequence>) {
        let Some(sequence) = sequence else { return };
        if let Some(records) = self.entries.get_mut(&sequence) {
            *records = records.saturating_sub(1);
        }
    }

    /// Removes the oldest entries that hold no record that counts. Only a leading run is removed:
    /// an entry must not outlive a later one that supersedes its records.
    fn take_empty(&mut self) -> Vec<revision::Sequence> {
        let mut empty = Vec::new();
        while empty.len() < DELETES_MAX
            && let Some(entry) = self.entries.first_entry()
            && *entry.get() == 0
            && *entry.key() <= self.last
        {
            empty.push(*entry.key());
            entry.remove();
        }
        empty
    }
}

/// Returns the tasks of a job that occupy a worker.
pub(super) fn assignments(id: id::Job, job: &Job) -> Vec<(crate::task::Id, id::Worker)> {
    let mut assignments = Vec::new();
    for (&occurrence, steps) in &job.occurrences {
        for (position, step) in steps.steps.iter().enumerate() {
            let Ok(position) = u16::try_from(position) else { continue };
            let step_id = crate::task::Step { job: id, occurrence, step: position };
            for (index, task) in step.tasks.iter().enumerate() {
                let Some(assignment) = task.phase.assignment() else { continue };
                let index = u32::try_from(index).unwrap_or(u32::MAX);
                assignments.push((step_id.task(index), assignment.worker.clone()));
            }
        }
    }
    assignments
}
