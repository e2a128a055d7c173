use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

use super::{Priority, State};

/// Answer to a submission that is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Id of the job.
    pub job: id::Job,
    /// Partition that keeps the job.
    pub partition: id::Partition,
    /// Whether the same submission was committed before.
    #[serde(default)]
    pub repeated: bool,
}

/// Number of tasks in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Waiting for a worker.
    #[serde(default)]
    pub pending: u32,
    /// Assigned to a worker.
    #[serde(default)]
    pub placed: u32,
    /// Reported as running.
    #[serde(default)]
    pub running: u32,
    /// Being stopped.
    #[serde(default)]
    pub stopping: u32,
    /// Finished.
    #[serde(default)]
    pub finished: u32,
    /// Failed for good.
    #[serde(default)]
    pub failed: u32,
    /// Cancelled.
    #[serde(default)]
    pub cancelled: u32,
}

/// State of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the job.
    pub job: id::Job,
    /// Team that pays for it.
    pub team: id::Team,
    /// Idempotency key of the submission; absent once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<id::Key>,
    /// Class of its work; absent once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<id::Class>,
    /// Priority; absent once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// State.
    pub state: State,
    /// Partition that keeps it.
    pub partition: id::Partition,
    /// Tasks in each state.
    pub tasks: Counts,
    /// Evictions of its tasks so far.
    #[serde(default)]
    pub evictions: u32,
    /// Retries of failed tasks so far.
    #[serde(default)]
    pub retries: u32,
    /// Why the job is in its state, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

/// One page of jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Jobs by id.
    pub jobs: Vec<Status>,
    /// Id to continue after, if there are more jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<id::Job>,
    /// Partitions whose owner did not answer, so that their jobs are missing.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<id::Partition>,
}

/// Answer to a cancellation that is committed. A repeated cancellation gets the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Id of the job.
    pub job: id::Job,
    /// State after the cancellation; a job that had ended keeps its state.
    pub state: State,
}
