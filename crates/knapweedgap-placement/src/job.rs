//! Jobs: submitted specifications and the progress of their tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use derive_more::{Display, Error};
use knapweedgap_core::{id, size};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{completion, task};

/// Most tasks of one job.
pub const TASKS_MAX: u32 = 10_000;
/// Longest payload, in bytes.
pub const PAYLOAD_LEN_MAX: usize = 4096;
/// Largest retry limit.
pub const RETRIES_MAX: u32 = 100;

/// Priority of a job. Urgent tasks are placed first and may evict low-priority tasks.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Must start within 1.4 s.
    #[display("urgent")]
    Urgent,
    /// Starts when a worker has capacity.
    #[default]
    #[display("normal")]
    Normal,
    /// Starts when a worker has capacity, and may be evicted for urgent work.
    #[display("low")]
    Low,
}

/// Constraint on the workers that may run the tasks of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Constraint {
    /// Only these availability zones; empty means any.
    #[serde(default)]
    pub zones: BTreeSet<id::Zone>,
    /// Only these racks; empty means any.
    #[serde(default)]
    pub racks: BTreeSet<id::Rack>,
    /// Prefer zones and racks with fewer tasks of the job.
    #[serde(default)]
    pub spread: bool,
}

/// Specification of a job as a client submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Team whose quota the job uses.
    pub team: id::Team,
    /// Idempotency key, under which the client may repeat the submission.
    pub key: id::Key,
    /// Label under which usage and interference are learned.
    pub class: id::Class,
    /// Order of placement; normal by default.
    #[serde(default)]
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of each task.
    pub size: size::Resources,
    /// Declared run time of one task.
    pub run_time: Duration,
    /// Number of failed attempts of one task that are retried.
    #[serde(default)]
    pub retry_limit: u32,
    /// Workers that may run the tasks.
    #[serde(default)]
    pub constraint: Constraint,
    /// Text that the worker passes to the task, opaque to the engine.
    #[serde(default)]
    pub payload: String,
}

/// Invalid field of a specification.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid job: {field}: {help}")]
pub struct Invalid {
    /// Path of the field.
    #[error(not(source))]
    pub field: &'static str,
    /// Bounds of a valid value.
    #[error(not(source))]
    pub help: &'static str,
}

impl Spec {
    /// Returns the id, which is derived from the team and the key.
    pub fn id(&self) -> id::Job {
        id::Job::derive(&self.team, &self.key)
    }

    /// Checks the bounds of every field.
    ///
    /// # Errors
    /// Returns every field that is out of bounds.
    pub fn check(&self) -> Result<(), Vec<Invalid>> {
        let mut faults = Vec::new();
        let mut require = |ok: bool, field, help| {
            if !ok {
                faults.push(Invalid { field, help });
            }
        };
        require((1..=TASKS_MAX).contains(&self.tasks), "tasks", "use 1 to 10000 tasks");
        require(self.retry_limit <= RETRIES_MAX, "retry_limit", "use at most 100 retries");
        require(self.payload.len() <= PAYLOAD_LEN_MAX, "payload", "use at most 4096 bytes");
        require(self.size.processor.milli() > 0, "size.processor", "use at least 1m");
        require(self.size.memory.get() > 0, "size.memory", "use at least 1 byte");
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }
}

/// Hash of a submitted body. A repeated key with another hash is a conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct BodyHash(u64);

impl BodyHash {
    /// Hashes the bytes of a body. Rapidhash version 3 has a fixed output.
    pub fn of(body: &[u8]) -> BodyHash {
        BodyHash(rapidhash::v3::rapidhash_v3(body))
    }
}

impl std::str::FromStr for BodyHash {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<BodyHash, std::num::ParseIntError> {
        u64::from_str_radix(text, 16).map(BodyHash)
    }
}

/// Finished tasks of a job by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Completed.
    pub succeeded: u32,
    /// Failed and not retried.
    pub failed: u32,
    /// Cancelled before they completed.
    pub cancelled: u32,
}

impl Tally {
    /// Returns the number of finished tasks.
    pub fn total(&self) -> u32 {
        self.succeeded + self.failed + self.cancelled
    }

    pub(crate) fn count(&mut self, outcome: &task::Outcome) {
        match outcome {
            task::Outcome::Succeeded => self.succeeded += 1,
            task::Outcome::Failed { .. } => self.failed += 1,
            task::Outcome::Cancelled => self.cancelled += 1,
        }
    }
}

/// A job with unfinished tasks.
///
/// Tasks from `first_unplaced` on were never placed and have no entry in `tasks`. A task below
/// `first_unplaced` without an entry in `tasks` is finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Submitted specification.
    pub spec: Spec,
    /// Hash of the submitted body.
    pub body: BodyHash,
    /// Position in the order of submission.
    pub order: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Index of the first task that was never placed.
    #[serde(rename = "fresh")]
    pub first_unplaced: u32,
    /// Tasks that were placed at least once and are not finished.
    pub tasks: BTreeMap<u32, task::Any>,
    /// Tasks of `tasks` that wait to be placed again.
    #[serde(rename = "returned")]
    pub requeued: BTreeSet<u32>,
    /// Finished tasks by outcome.
    pub tally: Tally,
    /// Reason of the last failure; `None` if no task failed.
    pub reason: Option<SmolStr>,
    /// Attempts that completed the finished tasks.
    #[serde(default, skip_serializing_if = "completion::Table::is_empty")]
    pub completions: completion::Table,
}

impl Job {
    pub(crate) fn new(spec: Spec, body: BodyHash, order: u64) -> Job {
        Job {
            spec,
            body,
            order,
            cancelled: false,
            first_unplaced: 0,
            tasks: BTreeMap::new(),
            requeued: BTreeSet::new(),
            tally: Tally::default(),
            reason: None,
            completions: completion::Table::default(),
        }
    }

    /// Returns the number of tasks that wait to be placed.
    pub fn waiting(&self) -> u32 {
        let requeued = u32::try_from(self.requeued.len()).unwrap_or(u32::MAX);
        (self.spec.tasks - self.first_unplaced).saturating_add(requeued)
    }

    /// Returns the number of tasks that are not finished.
    pub fn unfinished(&self) -> u32 {
        self.spec.tasks - self.tally.total()
    }

    /// Returns `true` if the task was placed and has finished.
    pub fn is_finished(&self, index: u32) -> bool {
        index < self.first_unplaced && !self.tasks.contains_key(&index)
    }
}

/// Final state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// Every task completed.
    #[display("succeeded")]
    Succeeded,
    /// At least one task failed and is not retried.
    #[display("failed")]
    Failed,
    /// The job was cancelled before every task completed.
    #[display("cancelled")]
    Cancelled,
}

/// A job whose tasks are all finished. It is retained to recognize repeated submissions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// Hash of the submitted body.
    pub body: BodyHash,
    /// Team whose quota the job used.
    pub team: id::Team,
    /// Position in the order in which jobs finished.
    pub order: u64,
    /// Final state of the job.
    pub end: End,
    /// Finished tasks by outcome.
    pub tally: Tally,
    /// Reason of the last failure; `None` if no task failed.
    pub reason: Option<SmolStr>,
    /// Attempts that completed the tasks.
    #[serde(default, skip_serializing_if = "completion::Table::is_empty")]
    pub completions: completion::Table,
}

/// Delegation of a job to another partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegated {
    /// Hash of the submitted body.
    pub body: BodyHash,
    /// Partition that stores the job.
    pub to: id::Partition,
    /// Position in the order of delegations.
    pub order: u64,
}

impl Closed {
    pub(crate) fn new(job: Job, order: u64) -> Closed {
        let end = match job.tally {
            Tally { failed: 0, cancelled: 0, .. } => End::Succeeded,
            Tally { cancelled: 0, .. } => End::Failed,
            Tally { .. } => End::Cancelled,
        };
        Closed {
            body: job.body,
            team: job.spec.team,
            order,
            end,
            tally: job.tally,
            reason: job.reason,
            completions: job.completions,
        }
    }
}
