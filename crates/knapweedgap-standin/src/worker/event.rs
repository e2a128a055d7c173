//! Events of attempts as written to the record.

use derive_more::Display;
use knapweedgap_core::{id, rate, revision, size};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Kind of an event of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The attempt started to run.
    #[display("start")]
    Start,
    /// A command stopped the attempt.
    #[display("stop")]
    Stop,
    /// The attempt was stopped because a later attempt of its task was started on this worker.
    #[display("superseded")]
    Superseded,
    /// The attempt was stopped because its lease expired.
    #[display("lapse")]
    #[serde(rename = "lapse")]
    LeaseExpiry,
    /// The work completed. The result is held until it is published or discarded.
    #[display("complete")]
    Complete,
    /// The result of a completed attempt was published.
    #[display("publish")]
    Publish,
    /// The result of a completed attempt was discarded.
    #[display("discard")]
    Discard,
    /// The attempt exited with an error.
    #[display("fail")]
    Fail,
    /// The attempt exceeded its declared memory and was killed.
    #[display("over_memory")]
    OverMemory,
    /// A checkpoint was written.
    #[display("checkpoint")]
    Checkpoint,
    /// The processor share changed.
    #[display("throttle")]
    Throttle,
}

/// One event of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Change in the state of the attempt.
    pub event: Kind,
    /// Worker's clock when the event took effect, in microseconds. A lease expiry takes effect at
    /// the end of the lease, even if the process was paused at that time.
    pub clock_us: u64,
    /// Task that the attempt belongs to.
    pub task: id::Task,
    /// Number of the attempt within its task.
    pub attempt: id::Attempt,
    /// Partition whose owner started the attempt.
    pub partition: id::Partition,
    /// Highest epoch that the worker has received for the partition.
    pub epoch: revision::Epoch,
    /// Declared size of the attempt.
    pub size: size::Resources,
    /// Sum of the declared sizes of all attempts running after the event.
    pub committed: size::Resources,
    /// Capacity of the worker.
    pub capacity: size::Resources,
    /// Share of the declared processor time that the attempt may use.
    pub share: rate::Share,
    /// Work done in this and earlier attempts, in microseconds.
    pub progress_us: u64,
    /// Name of the last checkpoint; absent before the first one.
    pub checkpoint: Option<SmolStr>,
}

/// Line of the record: one event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Wall time at which the event took effect, in microseconds.
    pub wall_us: u64,
    /// Worker that the attempt ran on.
    pub worker: id::Worker,
    /// Incarnation of the worker's process.
    pub incarnation: id::Incarnation,
    /// Event whose fields are written into the line itself.
    #[serde(flatten)]
    pub event: Event,
}
