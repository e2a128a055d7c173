use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

use super::{Priority, State};

/// Response to a submission that is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Id of the job, derived from team and idempotency key.
    pub job: id::Job,
    /// Partition that stores the job.
    pub partition: id::Partition,
    /// Whether the same submission had been committed before.
    #[serde(default)]
    pub repeated: bool,
}

/// Number of tasks in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Tasks that wait for a worker.
    #[serde(default)]
    pub pending: u32,
    /// Tasks that are assigned to a worker but not reported as running.
    #[serde(default)]
    pub placed: u32,
    /// Tasks that their worker reports as running.
    #[serde(default)]
    pub running: u32,
    /// Tasks that are being stopped.
    #[serde(default)]
    pub stopping: u32,
    /// Tasks that ended successfully.
    #[serde(default)]
    pub finished: u32,
    /// Tasks that failed without further retries.
    #[serde(default)]
    pub failed: u32,
    /// Tasks that ended through a cancellation of the job.
    #[serde(default)]
    pub cancelled: u32,
}

/// State of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the job, derived from team and idempotency key.
    pub job: id::Job,
    /// Team to which the job is accounted.
    pub team: id::Team,
    /// Idempotency key of the submission; absent once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<id::Key>,
    /// Interference class; absent once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<id::Class>,
    /// Priority among waiting jobs; absent once the job has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// State derived from those of the tasks.
    pub state: State,
    /// Partition that stores the job.
    pub partition: id::Partition,
    /// Number of tasks in each state.
    pub tasks: Counts,
    /// Number of evictions of the job's tasks so far.
    #[serde(default)]
    pub evictions: u32,
    /// Number of retries of failed tasks so far.
    #[serde(default)]
    pub retries: u32,
    /// Reason for the state, for display.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
}

/// One page of jobs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Jobs, ordered by id.
    pub jobs: Vec<Status>,
    /// Value of `after` for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<id::Job>,
    /// Partitions whose owner did not respond; their jobs are missing from the list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub missing: Vec<id::Partition>,
}

/// Response to a cancellation that is committed. A repeated cancellation gets the same response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Id of the cancelled job.
    pub job: id::Job,
    /// State after the cancellation; a job that had already ended keeps its state.
    pub state: State,
}
