//! Durable records of the log in the store.
//!
//! The log is a sequence of entries. An entry holds full records of jobs and records of tasks that
//! changed after the last full record. The latest full record of a job replaces all earlier ones.
//! An entry is deleted once later entries hold full records of all its jobs.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error};
use knapweedgap_core::{id, revision, size};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::configuration::Policy;
use crate::{job, lease, task};

/// Accepted submission. It is immutable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Queue that accepted the job.
    pub queue: SmolStr,
    /// Service of the queue at that time. Earlier releases need it beside the policy.
    pub service: id::Service,
    /// When the job was accepted, in milliseconds since 1970.
    pub at_ms: u64,
    /// Failed runs of one task after which the job fails if its queue is removed. Earlier releases
    /// need it beside the policy; `None` in the records of some.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempts_max: Option<u32>,
    /// Policy of the queue at that time; `None` in records of earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub policy: Option<Policy>,
    /// Submission of the client.
    pub spec: job::Spec,
}

/// Most bytes of the record of a task without its checkpoint; a worker's name has at most 128 bytes.
const TASK_LEN_MAX: u64 = 160;
/// Most bytes that a task that allows copies adds for its failed runs, and for each of them.
const FAILURES_LEN_MAX: u64 = 72;
const FAILED_RUN_LEN_MAX: u64 = 5;
/// Most runs of a task that a record names as given up. A task loses its worker seldom, so the ends
/// of earlier ones have been reported or will not be.
pub(crate) const GIVEN_UP_MAX: usize = 4;
/// Most bytes that an occurrence or a step adds to the records of its tasks.
const HEADING_LEN_MAX: u64 = 16;

impl Accepted {
    /// Returns the policy that applies once the queue is removed. Records of earlier releases hold a
    /// part of it; such a job is the least urgent.
    pub fn policy(&self) -> Policy {
        self.policy.clone().unwrap_or_else(|| Policy {
            service: self.service.clone(),
            priority: u32::MAX,
            attempts_max: self.attempts_max,
            slowdown: 1.0,
            latency_target: Duration::ZERO,
            advice: None,
        })
    }

    /// Returns the most bytes that the records of the job need while `occurrences` of it are open.
    /// Checkpoints and given up runs are not counted, because a record may leave them out.
    pub fn size_max(&self, occurrences: u64) -> size::Bytes {
        let runs = u64::from(self.attempts_max.unwrap_or_default());
        let mut occurrence = HEADING_LEN_MAX;
        for step in &self.spec.steps {
            let mut task = TASK_LEN_MAX;
            if step.copies {
                task += FAILURES_LEN_MAX + FAILED_RUN_LEN_MAX.saturating_mul(runs);
            }
            let tasks = u64::from(step.count).saturating_mul(task);
            occurrence = occurrence.saturating_add(tasks).saturating_add(HEADING_LEN_MAX);
        }
        let accepted = encoded_size(self).get() + 4 * FRAME_LEN_MAX;
        size::Bytes::new(occurrence.saturating_mul(occurrences).saturating_add(accepted))
    }
}

/// Worker to which a run is assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment(
    /// Id that the platform lists.
    pub id::Worker,
    /// Incarnation of the worker's process at that time.
    pub revision::Incarnation,
    /// A stop of the run was ordered. Absent in records of earlier releases.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub bool,
);

/// Task that has been started at least once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task(
    /// Position of the task in its step, from 0.
    pub u32,
    /// Number of the last run.
    pub revision::Run,
    /// Number of failed runs.
    pub u32,
    /// Assignment of the current run; `None` when the task is waiting or done.
    pub Option<Assignment>,
    /// The task has finished its work.
    pub bool,
    /// Checkpoint to resume from; empty if there is none.
    pub SmolStr,
);

/// Changed tasks of one step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepTasks(
    /// Occurrence of the step.
    pub u32,
    /// Position of the step in its job.
    pub u16,
    /// Records of the changed tasks.
    pub Vec<Task>,
);

/// Failed runs of a task that allows copies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failures(
    /// Task of the job of the record.
    pub task::Id,
    /// Runs whose failure is part of the number in the record of the task.
    pub Vec<revision::Run>,
);

/// Runs of a task that were given up because the leases of their workers had ended. Their failures
/// count once they are reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GivenUp(
    /// Occurrence of the step.
    pub u32,
    /// Position of the step in its job.
    pub u16,
    /// Position of the task in its step.
    pub u32,
    /// Runs whose ends are not known; it replaces the earlier record.
    pub Vec<revision::Run>,
);

/// Step of an occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// All tasks have finished their work.
    Done,
    /// Records of the tasks that have been started; all others are waiting.
    Open(Vec<Task>),
}

/// Progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State of the job, which clients see once the record is stored.
    pub state: job::State,
    /// Steps of each occurrence that has begun and is not done, by its number.
    pub occurrences: BTreeMap<u32, Vec<Step>>,
    /// Number of the next occurrence to begin.
    pub next_occurrence: u32,
    /// Counted failures of tasks that allow copies. Several runs of such a task may have ended, and
    /// the next owner receives ends again that were not acknowledged to their workers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failures: Vec<Failures>,
    /// Runs that were given up and whose ends are not known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub given_up: Vec<GivenUp>,
}

/// Estimated interference of a best-effort image with a serving image.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pair(
    /// Best-effort image.
    pub SmolStr,
    /// Serving image.
    pub SmolStr,
    /// Slack that the serving image loses, per whole worker of processor time.
    pub f64,
);

/// Worker that gets no leases while the record is in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withheld(
    /// Id that the platform lists.
    pub id::Worker,
    /// Time by which all leases of the worker have ended.
    pub lease::Time,
);

/// Worker whose leases may outlast a lease that the next owner assumes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extended(
    /// Id that the platform lists.
    pub id::Worker,
    /// Time by which the leases that were granted before the record have ended.
    pub lease::Time,
);

/// Maintenance of a VM that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Maintenance {
    /// The VM was taken down while its worker had this incarnation; `None` if it had no worker.
    Down(Option<revision::Incarnation>),
    /// The VM is up again or has left the wave.
    Finished,
}

/// Progress of a wave of maintenance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wave {
    /// Operators have been told that the wave is completed.
    Completed,
    /// VMs whose maintenance has begun; all others wait.
    Open(BTreeMap<id::Vm, Maintenance>),
}

/// Change of one job or of its withdrawal, of the estimated interference, of the workers that get no
/// leases, of those with extended leases, or of the waves of maintenance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The job was accepted.
    Accepted(id::Job, Box<Accepted>),
    /// Full record of the progress of the job.
    Progress(id::Job, Progress),
    /// Records of the tasks of the job that changed since its last record. Written by earlier
    /// releases.
    Tasks(id::Job, Vec<(task::Step, Task)>),
    /// Records of the tasks of the job that changed since its last record, by occurrence and step. A
    /// step of 39 tasks names its job once, so a new owner reads half as much.
    Steps(id::Job, Vec<StepTasks>),
    /// Runs of tasks of the job that were given up, or whose end was reported since.
    GivenUp(id::Job, Vec<GivenUp>),
    /// The job has ended and has no runs left.
    Closed(id::Job, job::State),
    /// The job was cancelled before it was submitted.
    Withdrawn(id::Job),
    /// Estimated interference of all observed pairs of images.
    #[serde(rename = "Pressure")]
    Interference(Vec<Pair>),
    /// All workers that get no leases. It replaces the earlier record.
    Withheld(Vec<Withheld>),
    /// All workers with extended leases. It replaces the earlier record.
    Extended(Vec<Extended>),
    /// Progress of all waves in which a maintenance has begun, by their numbers. It replaces the
    /// earlier record.
    Waves(BTreeMap<u64, Wave>),
}

impl Change {
    /// Returns the change without the checkpoints of its tasks, which the workers of running tasks
    /// report again.
    pub fn without_checkpoints(mut self) -> Change {
        let clear = |tasks: &mut Vec<Task>| {
            for task in tasks {
                task.5 = SmolStr::default();
            }
        };
        match &mut self {
            Change::Progress(_, progress) => {
                for step in progress.occurrences.values_mut().flatten() {
                    let Step::Open(tasks) = step else { continue };
                    clear(tasks);
                }
            }
            Change::Steps(_, steps) => steps.iter_mut().for_each(|step| clear(&mut step.2)),
            _ => {}
        }
        self
    }

    /// Returns the change without the runs that were given up. Failures of these that are reported
    /// later don't count.
    pub fn without_given_up(mut self) -> Change {
        match &mut self {
            Change::Progress(_, progress) => progress.given_up.clear(),
            Change::GivenUp(_, records) => records.clear(),
            _ => {}
        }
        self
    }
}

/// Error of a log entry that can't be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The bytes can't be decoded as an entry of this version.
    #[display("log entry {sequence} is invalid: {reason}; run the same release on all instances")]
    Decode {
        /// Position of the entry in the log.
        #[error(not(source))]
        sequence: revision::Sequence,
        /// Message of the decoder.
        #[error(not(source))]
        reason: String,
    },
}

/// Returns the size of a value in CBOR.
pub(crate) fn encoded_size<Value>(value: &Value) -> size::Bytes
where
    Value: Serialize,
{
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(value, &mut bytes);
    debug_assert!(written.is_ok());
    size::Bytes::new(bytes.len() as u64)
}

/// Encodes an entry in CBOR.
pub fn encode(changes: &[Change]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256 * changes.len());
    // Writing to memory can't fail, and every field has a representation in CBOR.
    let written = ciborium::into_writer(changes, &mut bytes);
    debug_assert!(written.is_ok());
    bytes
}

/// Most bytes that an entry adds to the rows of its only change: the headers of the entry and of the
/// rows, and the name of the change.
pub(crate) const FRAME_LEN_MAX: u64 = 64;
/// Longest array header: one byte and a length of 64 bits.
const HEADER_LEN_MAX: usize = 9;

/// Entry that is encoded change by change. Its bytes are those of [`encode`].
#[derive(Debug, Default)]
pub struct Entry {
    count: u64,
    body: Vec<u8>,
}

impl Entry {
    /// Adds encoded changes.
    pub fn push(&mut self, changes: &Changes) {
        self.count += changes.count;
        self.body.extend_from_slice(&changes.bytes);
    }

    /// Returns `true` if the entry contains no changes.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns `true` if the entry has at most `max` bytes with further changes.
    pub fn fits(&self, changes: &Changes, max: size::Bytes) -> bool {
        (HEADER_LEN_MAX + self.body.len() + changes.bytes.len()) as u64 <= max.get()
    }

    /// Returns the bytes of the entry.
    pub fn finish(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_LEN_MAX + self.body.len());
        let written = ciborium_ll::Encoder::from(&mut bytes)
            .push(ciborium_ll::Header::Array(usize::try_from(self.count).ok()));
        debug_assert!(written.is_ok());
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Encoded changes that belong into one entry.
#[derive(Debug, Default)]
pub struct Changes {
    count: u64,
    bytes: Vec<u8>,
}

impl Changes {
    /// Encodes one more change.
    pub fn push(&mut self, change: &Change) {
        self.count += 1;
        let written = ciborium::into_writer(change, &mut self.bytes);
        debug_assert!(written.is_ok());
    }

    /// Returns `true` if there are no changes.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns the size of an entry with these changes alone.
    pub fn entry_size(&self) -> size::Bytes {
        size::Bytes::new((HEADER_LEN_MAX + self.bytes.len()) as u64)
    }
}

impl<'a> FromIterator<&'a Change> for Changes {
    fn from_iter<Iter>(changes: Iter) -> Changes
    where
        Iter: IntoIterator<Item = &'a Change>,
    {
        let mut encoded = Changes::default();
        for change in changes {
            encoded.push(change);
        }
        encoded
    }
}

/// Decodes an entry.
///
/// # Errors
///
/// Returns [`Error::Decode`] when the bytes are not an entry of this version.
pub fn decode(sequence: revision::Sequence, bytes: &[u8]) -> Result<Vec<Change>, Error> {
    ciborium::from_reader(bytes)
        .map_err(|error| Error::Decode { sequence, reason: error.to_string() })
}
