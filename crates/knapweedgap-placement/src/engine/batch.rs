//! Uncommitted records and the capacity and quota that they reserve.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision, size};

use crate::command::{Answer, Outcome, Request};
use crate::log::{self, Entry, Record};
use crate::{job, quota};

/// Time for which an idle partition collects records before it emits an entry.
pub const INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Longest time for which a partition collects records under load. Bounds it to 10 entries/s.
pub const INTERVAL_MAX: Duration = Duration::from_millis(100);
/// Wait after a failed commit, to limit calls during an outage of the key-value service.
pub const RETRY_BACKOFF: Duration = Duration::from_millis(500);

/// Records that wait for an entry or are in flight.
#[derive(Debug)]
pub struct Batch {
    waiting: Vec<Record>,
    since: Option<Instant>,
    in_flight: Option<Entry>,
    interval: Duration,
    emitted: Option<Instant>,
    retry_at: Option<Instant>,
    /// Tasks with an uncommitted record. The engine makes no further decision on them until then.
    pub busy: BTreeSet<id::Task>,
    /// Uncommitted submissions.
    pub submitting: BTreeMap<id::Job, job::BodyHash>,
    /// Uncommitted cancellations.
    pub cancelling: BTreeSet<id::Job>,
    /// Workers with an uncommitted quarantine.
    pub quarantining: BTreeSet<id::Worker>,
    /// Whether a [`Record::JobsForgotten`] is uncommitted.
    pub dropping_jobs: bool,
    /// Capacity reserved on workers by uncommitted placements.
    pub placing: BTreeMap<id::Worker, size::Resources>,
    /// Quota reserved by uncommitted placements.
    pub usage: quota::Usage,
    /// Number of uncommitted first placements of tasks, by job.
    pub first_placements: BTreeMap<id::Job, u32>,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new() -> Batch {
        Batch {
            waiting: Vec::new(),
            since: None,
            in_flight: None,
            interval: INTERVAL_MIN,
            emitted: None,
            retry_at: None,
            busy: BTreeSet::new(),
            submitting: BTreeMap::new(),
            cancelling: BTreeSet::new(),
            quarantining: BTreeSet::new(),
            dropping_jobs: false,
            placing: BTreeMap::new(),
            usage: quota::Usage::default(),
            first_placements: BTreeMap::new(),
        }
    }

    /// Adds a record and marks what it concerns as uncommitted.
    pub fn push(&mut self, record: Record, now: Instant) {
        match &record {
            Record::TaskPlaced { task, .. }
            | Record::TaskStarted { task, .. }
            | Record::TaskStopping { task, .. }
            | Record::AttemptEnded { task, .. }
            | Record::Resumed { task, .. }
            | Record::TaskFinished { task, .. } => {
                self.busy.insert(*task);
            }
            Record::JobSubmitted { job, body, .. } | Record::JobDelegated { job, body, .. } => {
                self.submitting.insert(*job, *body);
            }
            Record::WorkerQuarantined { worker } => {
                self.quarantining.insert(worker.clone());
            }
            Record::JobCancelled { jobs } => self.cancelling.extend(jobs),
            Record::JobsForgotten { .. } => self.dropping_jobs = true,
        }
        self.waiting.push(record);
        self.since.get_or_insert(now);
    }

    /// Adds jobs to the last record if it is a cancellation, else adds a cancellation.
    ///
    /// Extending only the last record keeps the order of the records before it.
    pub fn push_cancel(&mut self, cancelled: Vec<id::Job>, now: Instant) {
        if let Some(Record::JobCancelled { jobs }) = self.waiting.last_mut() {
            self.cancelling.extend(&cancelled);
            jobs.extend(cancelled);
            return;
        }
        self.push(Record::JobCancelled { jobs: cancelled }, now);
    }

    /// Returns the workers of the job's uncommitted placements.
    pub fn placing_of(&self, job: &id::Job) -> impl Iterator<Item = &id::Worker> {
        let in_flight = self.in_flight.iter().flat_map(|entry| &entry.records);
        let records = in_flight.chain(&self.waiting);
        records.filter_map(|record| match record {
            Record::TaskPlaced { task, assignment, .. } if task.job == *job => {
                Some(&assignment.worker)
            }
            _ => None,
        })
    }

    /// Returns when the last entry was emitted.
    pub fn emitted(&self) -> Option<Instant> {
        self.emitted
    }

    /// Returns the number of records that are not in flight.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of uncommitted records, including those in flight.
    pub fn uncommitted(&self) -> usize {
        self.waiting.len() + self.in_flight.as_ref().map_or(0, |entry| entry.records.len())
    }

    /// Returns the next entry if it is due, and marks it as in flight.
    pub fn flush(
        &mut self,
        sequence: revision::Sequence,
        epoch: revision::Epoch,
        now: Instant,
    ) -> Option<Entry> {
        if self.due()? > now {
            return None;
        }
        let rest = self.waiting.split_off(log::fitting(&self.waiting));
        let records = std::mem::replace(&mut self.waiting, rest);
        self.since = (!self.waiting.is_empty()).then_some(now);
        let idle = self.emitted.is_none_or(|emitted| now >= emitted + INTERVAL_MAX);
        self.interval = if idle { INTERVAL_MIN } else { (self.interval * 2).min(INTERVAL_MAX) };
        self.emitted = Some(now);
        self.retry_at = None;
        let entry = Entry { version: log::VERSION, sequence, epoch, records };
        self.in_flight = Some(entry.clone());
        Some(entry)
    }

    /// Returns when the next entry is due, or `None` if there is nothing to emit or an entry is in
    /// flight.
    pub fn due(&self) -> Option<Instant> {
        if self.in_flight.is_some() {
            return None;
        }
        let since = self.since?;
        let full = self.waiting.len() >= log::RECORDS_MAX;
        let idle = self.emitted.is_none_or(|emitted| since >= emitted + INTERVAL_MAX);
        let interval = if idle { INTERVAL_MIN } else { self.interval };
        let due = if full { since } else { since + interval };
        Some(self.retry_at.map_or(due, |retry_at| due.max(retry_at)))
    }

    /// Returns and clears the entry in flight if it has this position.
    pub fn take_in_flight(&mut self, sequence: revision::Sequence) -> Option<Entry> {
        self.in_flight.take_if(|entry| entry.sequence == sequence)
    }

    /// Releases what a committed record reserved. `size` is the team, the size and whether it is
    /// the first attempt, for a placement.
    pub fn release(&mut self, record: &Record, size: Option<(id::Team, size::Resources, bool)>) {
        match record {
            Record::TaskPlaced { task, assignment, .. } => {
                self.busy.remove(task);
                let Some((team, size, is_first)) = size else { return };
                if let Some(placing) = self.placing.get_mut(&assignment.worker) {
                    *placing -= size;
                    if *placing == size::Resources::default() {
                        self.placing.remove(&assignment.worker);
                    }
                }
                self.usage.remove(&team, size);
                if !is_first {
                    return;
                }
                if let Some(count) = self.first_placements.get_mut(&task.job) {
                    *count -= 1;
                    if *count == 0 {
                        self.first_placements.remove(&task.job);
                    }
                }
            }
            Record::TaskStarted { task, .. }
            | Record::TaskStopping { task, .. }
            | Record::AttemptEnded { task, .. }
            | Record::Resumed { task, .. }
            | Record::TaskFinished { task, .. } => {
                self.busy.remove(task);
            }
            Record::JobSubmitted { job, .. } | Record::JobDelegated { job, .. } => {
                self.submitting.remove(job);
            }
            Record::WorkerQuarantined { worker } => {
                self.quarantining.remove(worker);
            }
            Record::JobCancelled { jobs } => {
                for job in jobs {
                    self.cancelling.remove(job);
                }
            }
            Record::JobsForgotten { .. } => self.dropping_jobs = false,
        }
    }

    /// Drops every record after a failed commit and returns the answers to the waiting requests.
    ///
    /// Workers report dropped facts again, and the engine makes dropped decisions again.
    pub fn drop_all(&mut self, now: Instant) -> Vec<Answer> {
        let submissions = self.submitting.keys().map(|job| Request::Submit(*job));
        let cancellations = self.cancelling.iter().map(|job| Request::Cancel(*job));
        let requests = submissions.chain(cancellations);
        let answers =
            requests.map(|request| Answer { request, outcome: Outcome::NotRun }).collect();
        *self = Batch {
            interval: self.interval,
            emitted: self.emitted,
            retry_at: Some(now + RETRY_BACKOFF),
            ..Batch::new()
        };
        answers
    }
}
