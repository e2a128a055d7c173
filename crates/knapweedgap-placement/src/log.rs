//! Records of the partition log and the checkpoint that shortens it.

use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::state::State;
use crate::{job, task};

/// Version of the format of [`Entry`] and [`Checkpoint`].
pub const VERSION: u16 = 1;
/// Most records of one entry, so that an entry stays far below the value limit of 1 MB.
pub const RECORDS_MAX: usize = 256;
/// Entries between two checkpoints.
pub const CHECKPOINT_ENTRIES: u64 = 512;

/// One fact or decision of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A submission was accepted.
    JobSubmitted {
        /// Id derived from the team and the key.
        job: id::Job,
        /// Hash of the submitted body.
        body: job::BodyHash,
        /// What was submitted.
        spec: Box<job::Spec>,
    },
    /// A job that no worker of the partition can hold is kept by another partition. The record
    /// stays in the home partition, so that every submission under the key reaches the same place.
    JobDelegated {
        /// Id derived from the team and the key.
        job: id::Job,
        /// Hash of the submitted body.
        body: job::BodyHash,
        /// Partition that keeps the job.
        to: id::Partition,
    },
    /// Jobs were cancelled. A burst of cancellations is one record.
    JobCancelled {
        /// Cancelled jobs.
        jobs: Vec<id::Job>,
    },
    /// An attempt may start.
    TaskPlaced {
        /// Task.
        task: id::Task,
        /// Attempt that may start.
        attempt: id::Attempt,
        /// Worker and its incarnation.
        #[serde(rename = "site")]
        assignment: task::Assignment,
    },
    /// The worker reported the attempt as running.
    TaskStarted {
        /// Task.
        task: id::Task,
        /// Attempt.
        attempt: id::Attempt,
    },
    /// The attempt is to be stopped.
    TaskStopping {
        /// Task.
        task: id::Task,
        /// Attempt.
        attempt: id::Attempt,
        /// Why it is stopped.
        why: task::Stop,
    },
    /// The attempt ended without completing the task.
    AttemptEnded {
        /// Task.
        task: id::Task,
        /// Attempt.
        attempt: id::Attempt,
        /// Confirmed end.
        cause: task::Cause,
        /// Checkpoint from which the next attempt resumes.
        checkpoint: Option<SmolStr>,
    },
    /// An evicted task will resume with this attempt. There is one such record per eviction.
    Resumed {
        /// Task.
        task: id::Task,
        /// Attempt that resumes it.
        attempt: id::Attempt,
    },
    /// The task has its outcome. Every later report of it is ignored.
    TaskFinished {
        /// Task.
        task: id::Task,
        /// Last attempt.
        attempt: id::Attempt,
        /// Outcome.
        outcome: task::Outcome,
    },
    /// A worker failed tasks of different jobs in a row and receives no work for a time.
    WorkerQuarantined {
        /// Worker.
        worker: id::Worker,
    },
    /// Finished jobs past their retention were dropped.
    JobsForgotten {
        /// Dropped jobs.
        jobs: Vec<id::Job>,
    },
}

/// Largest encoded size of an entry, in bytes. The key-value service takes values of up to 1 MB.
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

/// Returns how many of the records fit into one entry, at least one.
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
    /// Facts and decisions in order.
    pub records: Vec<Record>,
}

/// State of a partition after a prefix of its log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Format version.
    pub version: u16,
    /// Last entry that the state contains. Entries up to this one may be deleted.
    pub sequence: revision::Sequence,
    /// State.
    pub state: State,
}
