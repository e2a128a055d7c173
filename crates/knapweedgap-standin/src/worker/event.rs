//! Events of attempts, as the record shows them.

use derive_more::Display;
use knapweedgap_core::{id, rate, revision, size};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Started to run.
    #[display("start")]
    Start,
    /// Was stopped by command.
    #[display("stop")]
    Stop,
    /// Was stopped because a later attempt of the task was started on this worker.
    #[display("superseded")]
    Superseded,
    /// Was stopped at the end of its lease.
    #[display("lapse")]
    Lapse,
    /// Completed its work. The result is kept back.
    #[display("complete")]
    Complete,
    /// The result of a completed attempt was published.
    #[display("publish")]
    Publish,
    /// The result of a completed attempt was discarded.
    #[display("discard")]
    Discard,
    /// Exited with an error.
    #[display("fail")]
    Fail,
    /// Was ended for its memory.
    #[display("over_memory")]
    OverMemory,
    /// Wrote a checkpoint.
    #[display("checkpoint")]
    Checkpoint,
    /// Runs at another share from now on.
    #[display("throttle")]
    Throttle,
}

/// One event of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// What happened.
    pub event: Kind,
    /// Clock of the worker when it took effect, in microseconds. A lapse takes effect at the end
    /// of the lease, also when the process was paused then.
    pub clock_us: u64,
    /// Task.
    pub task: id::Task,
    /// Attempt.
    pub attempt: id::Attempt,
    /// Partition whose owner started the attempt.
    pub partition: id::Partition,
    /// Highest epoch that the worker has seen for the partition.
    pub epoch: revision::Epoch,
    /// Declared size of the attempt.
    pub size: size::Resources,
    /// Declared sizes of all attempts that run after the event.
    pub committed: size::Resources,
    /// Capacity of the worker.
    pub capacity: size::Resources,
    /// Share of the processor time.
    pub share: rate::Share,
    /// Work done in this and earlier attempts, in microseconds.
    pub progress_us: u64,
    /// Last checkpoint.
    pub checkpoint: Option<SmolStr>,
}

/// Line of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Wall time at which the event took effect, in microseconds.
    pub wall_us: u64,
    /// Worker.
    pub worker: id::Worker,
    /// Run of the worker's process.
    pub incarnation: id::Incarnation,
    /// Event.
    #[serde(flatten)]
    pub event: Event,
}
