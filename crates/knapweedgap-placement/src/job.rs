//! Jobs: what was submitted, and what its tasks have come to.

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

/// Urgency of a job. Urgent work goes first and may evict low work.
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
    /// Starts when there is room.
    #[default]
    #[display("normal")]
    Normal,
    /// Starts when there is room and may be evicted for urgent work.
    #[display("low")]
    Low,
}

/// Where the tasks of a job may run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Constraint {
    /// Only these availability zones; empty means any.
    #[serde(default)]
    pub zones: BTreeSet<id::Zone>,
    /// Only these racks; empty means any.
    #[serde(default)]
    pub racks: BTreeSet<id::Rack>,
    /// Prefer racks and zones that hold fewer tasks of the job.
    #[serde(default)]
    pub spread: bool,
}

/// What a client submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Team whose quota is used.
    pub team: id::Team,
    /// Key under which the submission may be repeated.
    pub key: id::Key,
    /// Label under which usage and interference are learned.
    pub class: id::Class,
    /// Urgency.
    #[serde(default)]
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared size of each task.
    pub size: size::Resources,
    /// Declared run time of each task.
    pub run_time: Duration,
    /// Failed attempts of one task that are repeated.
    #[serde(default)]
    pub retry_limit: u32,
    /// Where the tasks may run.
    #[serde(default)]
    pub constraint: Constraint,
    /// Text that the worker hands to the task. The engine does not look into it.
    #[serde(default)]
    pub payload: String,
}

/// Fault of a specification that no partition could run.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid job: {field}: {help}")]
pub struct Invalid {
    /// Field at fault.
    #[error(not(source))]
    pub field: &'static str,
    /// What a valid value looks like.
    #[error(not(source))]
    pub help: &'static str,
}

impl Spec {
    /// Returns the id that the team and the key stand for.
    pub fn id(&self) -> id::Job {
        id::Job::derive(&self.team, &self.key)
    }

    /// Checks the bounds of every field.
    ///
    /// # Errors
    /// Names every field out of its bounds.
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
    /// Ended for good without completing.
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
/// Tasks from `first_unplaced` on were never placed, so they need no record of their own. A task
/// below `first_unplaced` without a record in `tasks` is finished.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was submitted.
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
    /// Finished tasks.
    pub tally: Tally,
    /// Reason of the last failure.
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

    /// Tells whether the task was placed before and has finished.
    pub fn is_finished(&self, index: u32) -> bool {
        index < self.first_unplaced && !self.tasks.contains_key(&index)
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// Every task completed.
    #[display("succeeded")]
    Succeeded,
    /// At least one task failed for good.
    #[display("failed")]
    Failed,
    /// The job was cancelled before every task completed.
    #[display("cancelled")]
    Cancelled,
}

/// A job whose tasks are all finished. It is kept so that a repeated submission meets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Closed {
    /// Hash of the submitted body.
    pub body: BodyHash,
    /// Team whose quota was used.
    pub team: id::Team,
    /// Position in the order of the ends of jobs.
    pub order: u64,
    /// How the job ended.
    pub end: End,
    /// Finished tasks.
    pub tally: Tally,
    /// Reason of the last failure.
    pub reason: Option<SmolStr>,
    /// Attempts that completed the tasks.
    #[serde(default, skip_serializing_if = "completion::Table::is_empty")]
    pub completions: completion::Table,
}

/// Job that another partition keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delegated {
    /// Hash of the submitted body.
    pub body: BodyHash,
    /// Partition that keeps the job.
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
