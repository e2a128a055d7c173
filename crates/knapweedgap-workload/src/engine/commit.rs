//! Log of the workload: replay, batches of records, and effects that wait for their commit.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use knapweedgap_core::{id, revision, size};

use super::work::{Job, Unsaved};
use super::{Deferred, Engine};
use crate::action::Action;
use crate::event::Event;
use crate::record::{Change, Changes};
use crate::{history, job, record, task};

/// Number of log entries above which the oldest are rewritten, so that a takeover reads few pages.
const ENTRIES_MAX: usize = 256;
/// Number of oldest log entries that one batch rewrites.
const REWRITTEN_ENTRIES: usize = 48;
/// Size up to which records of several jobs share an entry. As base64 it takes 0.7 s on a link of
/// 2 Mbit/s, and a commit that takes longer than its timeout would never succeed.
const SHARED_ENTRY_MAX: size::Bytes = size::Bytes::new(128 << 10);
/// Most log entries that one commit deletes; a transaction of the platform has at most 32 parts.
const DELETES_MAX: usize = 24;

/// Job that has ended and has no runs left. Only its final state is kept.
#[derive(Debug)]
pub(super) struct Closed {
    pub(super) state: job::State,
    /// When the job was submitted to this owner; `None` if an earlier one accepted it.
    pub(super) submitted_at: Option<Instant>,
    /// Log entry that holds the state; `None` before the first one.
    entry: Option<revision::Sequence>,
    /// The final state is stored.
    pub(super) is_stored: bool,
    since: Instant,
}

/// Bookkeeping of the log.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Last entry that was put into a batch or replayed.
    last: revision::Sequence,
    entries: BTreeMap<revision::Sequence, Entry>,
    /// Batches of the last generation that have not been taken yet.
    parts: VecDeque<Batch>,
    /// Jobs with changes that no batch contains.
    dirty: BTreeSet<id::Job>,
    /// Last generation with changes of each job, until it is stored.
    unstored: BTreeMap<id::Job, u64>,
    /// Number of the next batch, which will contain all changes so far.
    generation: u64,
    /// Number of stored batches.
    pub(super) stored: u64,
    /// Effects that wait for a batch, each with the number of that batch.
    deferred: VecDeque<(u64, Deferred)>,
    /// A batch is being stored.
    in_flight: bool,
    /// Entry that holds the learned interference of image pairs.
    interference_entry: Option<revision::Sequence>,
    /// The learned interference has changed since that entry.
    pub(super) interference_dirty: bool,
}

/// Entry of the log.
#[derive(Debug, Default)]
struct Entry {
    /// Number of its records that are still current.
    current: u32,
    /// Number of its records when it was written.
    written: u32,
    size: size::Bytes,
}

impl Entry {
    /// Estimates the size of the records that are still current.
    fn current_bytes(&self) -> u64 {
        let share = u64::from(self.current) * self.size.get();
        share.checked_div(u64::from(self.written)).unwrap_or_default()
    }
}

/// Packs the changes of one generation into as many entries as their size requires.
#[derive(Debug)]
struct Packer {
    /// Position of the entry that is being filled.
    sequence: revision::Sequence,
    entry: record::Entry,
    states: Vec<(id::Job, job::State)>,
    /// Size of the largest value that the store takes.
    value_max: size::Bytes,
    generation: u64,
    parts: VecDeque<Batch>,
}

impl Packer {
    /// Adds changes that must not be parted, and returns the position of their entry. An acceptance
    /// in a later entry than the progress of its job would leave the progress without a job at replay
    /// once the former acceptance is deleted.
    fn push(&mut self, changes: &Changes) -> revision::Sequence {
        if !self.entry.is_empty() && !self.entry.fits(changes, shared_max(self.value_max)) {
            self.close(false);
            self.sequence = self.sequence.next();
        }
        self.entry.push(changes);
        self.sequence
    }

    fn push_one(&mut self, change: &Change) -> revision::Sequence {
        let mut changes = Changes::default();
        changes.push(change);
        self.push(&changes)
    }

    /// Closes the entry that is being filled.
    fn close(&mut self, is_last: bool) {
        let entry = std::mem::take(&mut self.entry);
        let value = if entry.is_empty() { Vec::new() } else { entry.finish() };
        let states = std::mem::take(&mut self.states);
        self.parts.push_back(Batch {
            sequence: self.sequence,
            value,
            deletes: Vec::new(),
            generation: self.generation,
            is_last,
            states,
        });
    }
}

/// Log entry that is to be stored in one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Position of the entry in the log.
    pub sequence: revision::Sequence,
    /// Encoded records; empty when the batch only deletes entries.
    pub value: Vec<u8>,
    /// Entries to delete in the same transaction.
    pub deletes: Vec<revision::Sequence>,
    generation: u64,
    /// The last batch of its generation, whose commit releases the effects that wait for it.
    is_last: bool,
    states: Vec<(id::Job, job::State)>,
}

impl Engine {
    /// Applies one entry of the log. The caller passes the entries in order, before
    /// [`Engine::begin`].
    ///
    /// # Errors
    ///
    /// [`record::Error`] if the entry can't be decoded.
    pub fn replay(
        &mut self,
        sequence: revision::Sequence,
        value: &[u8],
        now: Instant,
    ) -> Result<(), record::Error> {
        let size = size::Bytes::new(value.len() as u64);
        self.log.entries.insert(sequence, Entry { size, ..Entry::default() });
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
                // The id was used again after the withdrawal had expired.
                self.forget_withdrawal(id);
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
                job.restore(id, progress, fence, now);
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
            Change::Steps(id, steps) => {
                let fence = self.first_fence();
                let Some(job) = self.jobs.get_mut(&id) else { return };
                for record::StepTasks(occurrence, step, tasks) in steps {
                    let step = task::Step { job: id, occurrence, step };
                    for record in tasks {
                        job.restore_task(step, record, fence, now);
                    }
                }
                job.progress_entries.push(sequence);
                self.log.retain(sequence);
            }
            Change::GivenUp(id, records) => {
                let Some(job) = self.jobs.get_mut(&id) else { return };
                for record in records {
                    job.restore_given_up(id, record);
                }
                job.progress_entries.push(sequence);
                self.log.retain(sequence);
            }
            Change::Interference(known) => {
                self.interference.restore(known, now);
                let old = self.log.interference_entry.replace(sequence);
                self.log.release(old);
                self.log.retain(sequence);
            }
            Change::Withheld(withheld) => {
                self.leases.restore(withheld);
                let old = self.leases.entry.replace(sequence);
                self.log.release(old);
                self.log.retain(sequence);
            }
            Change::Extended(extended) => {
                self.leases.extended.restore(extended);
                let old = self.leases.extended.entry.replace(sequence);
                self.log.release(old);
                self.log.retain(sequence);
            }
            Change::Waves(waves) => {
                self.maintenance.restore(waves);
                let old = self.maintenance.entry.replace(sequence);
                self.log.release(old);
                self.log.retain(sequence);
            }
            Change::Closed(id, state) => {
                if let Some(job) = self.jobs.remove(&id) {
                    self.log.release(job.accepted_entry);
                    self.log.release_all(job.progress_entries);
                }
                let closed = Closed {
                    state,
                    submitted_at: None,
                    entry: Some(sequence),
                    is_stored: true,
                    since: now,
                };
                if let Some(old) = self.closed.insert(id, closed) {
                    self.log.release(old.entry);
                }
                self.log.retain(sequence);
            }
            Change::Withdrawn(id) => {
                if self.jobs.contains_key(&id) || self.closed.contains_key(&id) {
                    return;
                }
                self.withdrawals.insert(id, now);
                self.withdrawal_recorded(id, sequence);
            }
        }
    }

    /// Starts the term after the last log entry was replayed. `wall_ms` is the time in milliseconds
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
        job.history.add(history::Change::Restore, None, now);
        let assignments = assignments(id, job);
        let is_final = job.state.is_final();
        let has_more = job.next_occurrence < job.repetitions();
        for (task, worker) in assignments {
            if job.task(task).is_some_and(|task| task.phase.is_stopping()) {
                self.stopping.insert(task);
            }
            self.orphans.entry(worker).or_default().push(task);
        }
        if is_final {
            // The end of the job is stored, so its tasks may be stopped at once.
            self.stop_job(id, "its job has ended", now);
            self.close_if_empty(id, now);
            return;
        }
        if has_more {
            self.timed.insert(id);
        }
        self.refresh_ready(id);
    }

    /// Queues the steps of a job that have waiting tasks and no open dependencies.
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

    /// Returns the generation of the log that will contain all changes so far.
    pub(super) fn generation(&self) -> u64 {
        self.log.generation
    }

    /// Returns the generation with whose commit all changes of a job so far are stored; `None` if they
    /// are.
    pub(super) fn unstored_generation(&self, id: id::Job) -> Option<u64> {
        if self.log.dirty.contains(&id) {
            return Some(self.log.generation);
        }
        self.log.unstored.get(&id).copied()
    }

    /// Defers an effect until all changes so far are stored.
    pub(super) fn defer(&mut self, deferred: Deferred) {
        self.log.deferred.push_back((self.log.generation, deferred));
    }

    /// Returns `true` if changes or deferred effects wait for a commit and no batch is being
    /// stored.
    pub fn has_batch(&self) -> bool {
        let has_changes = !self.log.dirty.is_empty()
            || !self.log.deferred.is_empty()
            || !self.log.parts.is_empty()
            || self.leases.is_dirty
            || self.leases.extended.is_dirty
            || self.maintenance.is_dirty;
        has_changes && !self.log.in_flight
    }

    /// Returns the next batch to store. Returns `None` while another one is being stored or if
    /// there is nothing to store.
    pub fn take_batch(&mut self, now: Instant) -> Option<Batch> {
        if !self.has_batch() {
            return None;
        }
        if self.log.parts.is_empty() {
            self.log.parts = self.collect_generation(now);
        }
        let batch = self.log.parts.pop_front()?;
        self.log.in_flight = true;
        Some(batch)
    }

    /// Collects all changes and the entries to delete into the batches of one generation.
    fn collect_generation(&mut self, now: Instant) -> VecDeque<Batch> {
        self.mark_oldest_dirty(now);
        let mut packer = Packer {
            sequence: self.log.last.next(),
            entry: record::Entry::default(),
            states: Vec::new(),
            value_max: self.bounds.value_max,
            generation: self.log.generation,
            parts: VecDeque::new(),
        };
        for id in std::mem::take(&mut self.log.dirty) {
            self.log.unstored.insert(id, packer.generation);
            self.collect(id, &mut packer);
        }
        if std::mem::take(&mut self.log.interference_dirty) {
            self.interference.prune(self.bounds.value_max);
            let sequence = packer.push_one(&Change::Interference(self.interference.pairs()));
            let old = self.log.interference_entry.replace(sequence);
            self.log.release(old);
            self.log.retain(sequence);
        }
        if self.leases.is_dirty {
            let record = self.leases.take_record(self.log.generation, self.bounds.value_max);
            let sequence = packer.push_one(&Change::Withheld(record));
            let old = self.leases.entry.replace(sequence);
            self.log.release(old);
            self.log.retain(sequence);
        }
        if self.leases.extended.is_dirty {
            let (lease, value_max) = (self.bounds.lease, self.bounds.value_max);
            let generation = self.log.generation;
            let record = self.leases.take_extended(lease, generation, value_max, now);
            let sequence = packer.push_one(&Change::Extended(record));
            let old = self.leases.extended.entry.replace(sequence);
            self.log.release(old);
            self.log.retain(sequence);
        }
        if self.maintenance.is_dirty {
            let record = self.maintenance.take_record(self.bounds.value_max);
            let sequence = packer.push_one(&Change::Waves(record));
            let old = self.maintenance.entry.replace(sequence);
            self.log.release(old);
            self.log.retain(sequence);
        }
        packer.close(true);
        self.log.generation += 1;
        for part in &packer.parts {
            if part.value.is_empty() {
                continue;
            }
            self.log.last = part.sequence;
            if let Some(entry) = self.log.entries.get_mut(&part.sequence) {
                entry.size = size::Bytes::new(part.value.len() as u64);
            }
        }
        // An entry may be deleted once all parts are stored that replace its records.
        let deletes = self.log.take_empty();
        if let Some(last) = packer.parts.back_mut() {
            last.deletes = deletes;
        }
        packer.parts
    }

    /// Adds the records of one job to a generation.
    fn collect(&mut self, id: id::Job, packer: &mut Packer) {
        if let Some(closed) = self.closed.get_mut(&id) {
            let sequence = packer.push_one(&Change::Closed(id, closed.state));
            packer.states.push((id, closed.state));
            let old = closed.entry.replace(sequence);
            self.log.release(old);
            self.log.retain(sequence);
            return;
        }
        if self.withdrawals.contains(id) {
            let sequence = packer.push_one(&Change::Withdrawn(id));
            self.withdrawal_recorded(id, sequence);
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let is_accepted = job.accepted_entry.is_none();
        let accepted = is_accepted.then(|| Change::Accepted(id, Box::new((*job.accepted).clone())));
        let mut progress = job.take_unsaved(id);
        let is_complete = matches!(progress[..], [Change::Progress(..)]);
        let has_progress = !progress.is_empty();
        let mut changes: Changes = accepted.iter().chain(&progress).collect();
        for shorten in [Change::without_checkpoints, Change::without_given_up] {
            if changes.entry_size() <= packer.value_max {
                break;
            }
            progress = progress.into_iter().map(shorten).collect();
            changes = accepted.iter().chain(&progress).collect();
        }
        if !changes.is_empty() {
            let sequence = packer.push(&changes);
            if is_accepted {
                job.accepted_entry = Some(sequence);
                self.log.retain(sequence);
            }
            if is_complete {
                self.log.release_all(std::mem::take(&mut job.progress_entries));
            }
            if has_progress {
                job.progress_entries.push(sequence);
                self.log.retain(sequence);
            }
        }
        packer.states.push((id, job.state));
    }

    /// Handles the commit of a batch and releases the effects that waited for it.
    pub fn committed(&mut self, batch: &Batch, now: Instant) {
        self.log.in_flight = false;
        for &(id, state) in &batch.states {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.stored_state = Some(state);
            } else if let Some(closed) = self.closed.get_mut(&id) {
                // The batch may contain an older record of the job, from before its end.
                closed.is_stored |= closed.state == state;
            }
        }
        if !batch.is_last {
            return;
        }
        self.log.stored = batch.generation + 1;
        self.log.unstored.retain(|_, generation| *generation > batch.generation);
        let stored = self.log.stored;
        self.leases.forget_removed(stored);
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

    /// Closes a job if it has ended and has no runs left.
    pub(super) fn close_if_empty(&mut self, id: id::Job, now: Instant) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.state.is_final() || !assignments(id, job).is_empty() {
            return;
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        let is_stored = job.stored_state == Some(job.state);
        self.log.release(job.accepted_entry);
        self.log.release_all(job.progress_entries);
        let closed = Closed {
            state: job.state,
            submitted_at: job.submitted_at,
            entry: None,
            is_stored,
            since: now,
        };
        self.closed.insert(id, closed);
        self.timed.remove(&id);
        self.ready.retain(|step| step.job != id);
        self.advice.retain(|step| step.job != id);
        self.interference.remove_job(id);
        self.mark_dirty(id);
    }

    /// Sets the final state of a job and stops its tasks.
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

    /// Returns the stored state of a job, which is the one that clients see; `None` if no record of
    /// the job is stored.
    pub(super) fn stored_state(&self, id: id::Job) -> Option<job::State> {
        if let Some(job) = self.jobs.get(&id) {
            return job.stored_state;
        }
        let closed = self.closed.get(&id)?;
        // Until the final state is stored, the last stored state is running.
        Some(if closed.is_stored { closed.state } else { job::State::Running })
    }

    /// Marks the jobs in the oldest log entries as dirty when the log has more than [`ENTRIES_MAX`]
    /// entries, and removes closed jobs after their retention period.
    fn mark_oldest_dirty(&mut self, now: Instant) {
        let Some(limit) = self.log.rewrite_limit(shared_max(self.bounds.value_max)) else { return };
        let is_old = |entry: Option<revision::Sequence>| entry.is_some_and(|entry| entry < limit);
        self.log.interference_dirty |= is_old(self.log.interference_entry);
        self.leases.is_dirty |= is_old(self.leases.entry);
        if is_old(self.leases.extended.entry) {
            if self.leases.has_extended(self.bounds.lease, now) {
                self.leases.extended.is_dirty = true;
            } else {
                // Without a row, a replay needs no record.
                let entry = self.leases.extended.entry.take();
                self.log.release(entry);
            }
        }
        self.maintenance.is_dirty |= is_old(self.maintenance.entry);
        let retention = self.bounds.retention;
        let mut expired = Vec::new();
        for (&id, closed) in &self.closed {
            if !is_old(closed.entry) {
                continue;
            }
            // The entries before the closing one are deleted no later than that one, so a replay
            // finds no older record of the job.
            if now.saturating_duration_since(closed.since) > retention {
                expired.push(id);
            } else {
                self.log.dirty.insert(id);
            }
        }
        self.expire_withdrawals(now);
        self.log.dirty.extend(self.withdrawals.recorded_before(limit));
        for id in expired {
            if let Some(closed) = self.closed.remove(&id) {
                self.log.release(closed.entry);
            }
        }
        for (&id, job) in &mut self.jobs {
            if is_old(job.accepted_entry) {
                // A record of the progress must not precede the accepted record in the log.
                job.unsaved = Unsaved::All;
                let entry = job.accepted_entry.take();
                self.log.release(entry);
                self.log.dirty.insert(id);
            }
            if is_old(job.progress_entries.first().copied()) {
                job.unsaved = Unsaved::All;
                self.log.dirty.insert(id);
            }
        }
    }
}

impl Log {
    /// Returns the entry before which the current records are rewritten; `None` while the log is
    /// short enough for its contents. The records are about as large as one entry, so that a commit
    /// does not grow with the state.
    fn rewrite_limit(&self, entry_max: size::Bytes) -> Option<revision::Sequence> {
        if self.entries.len() <= ENTRIES_MAX {
            return None;
        }
        let bytes: u64 = self.entries.values().map(Entry::current_bytes).sum();
        let full = bytes.checked_div(entry_max.get()).unwrap_or_default();
        let full = usize::try_from(full).unwrap_or(usize::MAX);
        if self.entries.len() <= ENTRIES_MAX.saturating_add(full.saturating_mul(2)) {
            return None;
        }
        let mut rewritten = 0;
        for (position, (&sequence, entry)) in self.entries.iter().enumerate() {
            rewritten += entry.current_bytes();
            let is_enough = position > 0 && rewritten > entry_max.get();
            if is_enough || position == REWRITTEN_ENTRIES {
                return Some(sequence);
            }
        }
        None
    }

    pub(super) fn retain(&mut self, sequence: revision::Sequence) {
        let entry = self.entries.entry(sequence).or_default();
        entry.current += 1;
        entry.written += 1;
    }

    fn release_all(&mut self, sequences: Vec<revision::Sequence>) {
        for sequence in sequences {
            self.release(Some(sequence));
        }
    }

    pub(super) fn release(&mut self, sequence: Option<revision::Sequence>) {
        let Some(sequence) = sequence else { return };
        if let Some(entry) = self.entries.get_mut(&sequence) {
            entry.current = entry.current.saturating_sub(1);
        }
    }

    /// Removes and returns the oldest entries without current records. Only a contiguous run from
    /// the start is removed, because an entry must not be deleted before an older one whose
    /// records it supersedes.
    fn take_empty(&mut self) -> Vec<revision::Sequence> {
        let mut empty = Vec::new();
        while empty.len() < DELETES_MAX
            && let Some(entry) = self.entries.first_entry()
            && entry.get().current == 0
            && *entry.key() <= self.last
        {
            empty.push(*entry.key());
            entry.remove();
        }
        empty
    }
}

fn shared_max(value_max: size::Bytes) -> size::Bytes {
    value_max.min(SHARED_ENTRY_MAX)
}

/// Returns the tasks of a job that are assigned to a worker.
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
