//! Durable records: what the log in the store holds.
//!
//! The log is a sequence of entries. An entry holds whole records of jobs, of which the latest
//! counts, and records of the tasks that changed since. An entry is deleted once later entries
//! hold whole records of all its jobs.

use std::collections::BTreeMap;

use derive_more::{Display, Error};
use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{job, task};

/// Accepted submission. It never changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Queue that took the job.
    pub queue: SmolStr,
    /// Service of the queue at that time.
    pub service: id::Service,
    /// When the job was accepted, in milliseconds since 1970.
    pub at_ms: u64,
    /// What was submitted.
    pub spec: job::Spec,
}

/// Place of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment(
    /// Worker.
    pub id::Worker,
    /// Life of the worker.
    pub revision::Incarnation,
);

/// Task that has been started at least once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task(
    /// Position in its step.
    pub u32,
    /// Highest run number that was used.
    pub revision::Run,
    /// Failed runs.
    pub u32,
    /// Where it runs.
    pub Option<Assignment>,
    /// It has ended well.
    pub bool,
    /// Checkpoint to resume from.
    pub SmolStr,
);

/// Step of an occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// All tasks have ended well.
    Done,
    /// The tasks that have been started.
    Open(Vec<Task>),
}

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State.
    pub state: job::State,
    /// Occurrences that have begun and are not done, with their steps.
    pub occurrences: BTreeMap<u32, Vec<Step>>,
    /// Next occurrence to begin.
    pub next_occurrence: u32,
}

/// What is known of a filling and a serving image.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pair(
    /// Filling image.
    pub SmolStr,
    /// Serving image.
    pub SmolStr,
    /// Slack that the serving one loses, for each whole worker of processor time.
    pub f64,
);

/// Change of one job, or of what was learned.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The job was accepted.
    Accepted(id::Job, Box<Accepted>),
    /// The job went on: all of its progress.
    Progress(id::Job, Progress),
    /// The job went on: the tasks that changed since its last record.
    Tasks(id::Job, Vec<(task::Step, Task)>),
    /// The job has ended and none of its runs is left.
    Closed(id::Job, job::State),
    /// All that is known of pairs of images.
    #[serde(rename = "Pressure")]
    Interference(Vec<Pair>),
}

/// Entry of the log that can't be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The bytes are not an entry of this version.
    #[display("log entry {sequence}: {reason}; run one release on all instances")]
    Decode {
        /// Entry.
        #[error(not(source))]
        sequence: revision::Sequence,
        /// What the decoder found.
        #[error(not(source))]
        reason: String,
    },
}

/// Encodes an entry.
pub fn encode(changes: &[Change]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256 * changes.len());
    // Writing to memory does not fail, and every field has a representation in CBOR.
    let written = ciborium::into_writer(changes, &mut bytes);
    debug_assert!(written.is_ok());
    bytes
}

/// Decodes an entry.
///
/// # Errors
///
/// [`Error::Decode`] when the bytes are not an entry of this version.
pub fn decode(sequence: revision::Sequence, bytes: &[u8]) -> Result<Vec<Change>, Error> {
    ciborium::from_reader(bytes)
        .map_err(|error| Error::Decode { sequence, reason: error.to_string() })
}
