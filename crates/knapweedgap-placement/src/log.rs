//! Records of the partition log, and the checkpoint that replaces a prefix of it.

use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::state::State;
use crate::{job, task};

/// Version of the format of [`Entry`] and [`Checkpoint`].
pub const VERSION: u16 = 1;
/// Most records of one entry. Keeps an entry far below the value limit of 1 MB.
pub const RECORDS_MAX: usize = 256;
/// Entries between two checkpoints.
pub const CHECKPOINT_ENTRIES: u64 = 512;

/// One fact or decision of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A submission was accepted.
    JobSubmitted {
        /// Id derived from the team and the key.
        job: id::Job,
        /// Hash of the submitted body.
        body: job::BodyHash,
        /// Submitted specification.
        spec: Box<job::Spec>,
    },
    /// A job that fits no worker of the partition is stored by another partition. The record stays
    /// in the primary partition, so that every submission under the key reaches the same partition.
    JobDelegated {
        /// Id derived from the team and the key.
        job: id::Job,
        /// Hash of the submitted body.
        body: job::BodyHash,
        /// Partition that stores the job.
        to: id::Partition,
    },
    /// Jobs were cancelled. A burst of cancellations is one record.
    JobCancelled {
        /// Cancelled jobs.
        jobs: Vec<id::Job>,
    },
    /// A task is assigned to a worker, and the attempt may start.
    TaskPlaced {
        task: id::Task,
        /// Attempt that may start.
        attempt: id::Attempt,
        /// Worker and its incarnation.
        #[serde(rename = "site")]
        assignment: task::Assignment,
    },
    /// The worker reported the attempt as running.
    TaskStarted { task: id::Task, attempt: id::Attempt },
    /// The attempt is to be stopped.
    TaskStopping {
        task: id::Task,
        attempt: id::Attempt,
        /// Reason for the stop.
        why: task::Stop,
    },
    /// The attempt ended without completing the task.
    AttemptEnded {
        task: id::Task,
        attempt: id::Attempt,
        cause: task::Cause,
        /// Checkpoint from which the next attempt resumes; `None` keeps the last one.
        checkpoint: Option<SmolStr>,
    },
    /// An evicted task will resume with this attempt. There is one such record per eviction.
    Resumed {
        task: id::Task,
        /// Attempt that resumes it.
        attempt: id::Attempt,
    },
    /// The task is finished. Later reports of it do not change the outcome.
    TaskFinished {
        task: id::Task,
        /// Last attempt.
        attempt: id::Attempt,
        outcome: task::Outcome,
    },
    /// A worker failed tasks of several jobs consecutively and receives no tasks for a while.
    WorkerQuarantined { worker: id::Worker },
    /// Finished jobs past their retention were dropped.
    JobsForgotten {
        /// Dropped jobs.
        jobs: Vec<id::Job>,
    },
}

/// Largest encoded size of an entry, in bytes. The key-value service accepts values of up to 1 MB.
pub const ENTRY_LEN_MAX: usize = 700_000;

/// Returns an upper bound of the JSON size of a record, in bytes. JSON writes a control character
/// of the payload with 6 bytes.
fn encoded_len(record: &Record) -> usize {
    const FIXED: usize = 2048;
    const JOB: usize = 20;
    const NAME: usize = id::NAME_LEN_MAX + 3;
    match record {
        Record::JobSubmitted { spec, .. } => {
            let names = spec.constraint.zones.len() + spec.constraint.racks.len();
            FIXED + 6 * spec.payload.len() + NAME * names
        }
        Record::JobCancelled { jobs } | Record::JobsForgotten { jobs } => FIXED + JOB * jobs.len(),
        _ => FIXED,
    }
}

/// Returns the number of leading records that fit into one entry, at least one.
pub(crate) fn fitting(records: &[Record]) -> usize {
    let mut total = 0;
    for (count, record) in records.iter().take(RECORDS_MAX).enumerate() {
        total += encoded_len(record);
        if total > ENTRY_LEN_MAX && count > 0 {
            return count;
        }
    }
    records.len().min(RECORDS_MAX)
}

/// Records that are committed together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Format version.
    pub version: u16,
    /// Position in the log.
    pub sequence: revision::Sequence,
    /// Epoch of the owner that wrote the entry.
    pub epoch: revision::Epoch,
    /// Facts and decisions, in the order in which they apply.
    pub records: Vec<Record>,
}

/// State of a partition after a prefix of its log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Checkpoint {
    /// Format version.
    pub version: u16,
    /// Last entry that the state contains. Entries up to this one may be deleted.
    pub sequence: revision::Sequence,
    pub state: State,
}
