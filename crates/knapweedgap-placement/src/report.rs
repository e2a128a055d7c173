//! What workers and services report, free of any encoding.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, rate, revision, size};
use smol_str::SmolStr;

/// Answer of a worker to a heartbeat of this owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Worker.
    pub worker: id::Worker,
    /// Run of the worker's process.
    pub incarnation: id::Incarnation,
    /// Highest epoch that the worker has seen for the partition.
    pub epoch: revision::Epoch,
    /// Monotonic clock of the worker when it built the report.
    pub clock: Duration,
    /// Capacity that the worker measured.
    pub capacity: size::Resources,
    /// Attempts that the worker runs, and ended attempts that it was not yet told to forget.
    pub tasks: Vec<Task>,
}

/// One attempt in a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Task {
    /// Task.
    pub task: id::Task,
    /// Attempt.
    pub attempt: id::Attempt,
    /// State of the attempt.
    pub state: State,
    /// Name of the last checkpoint.
    pub checkpoint: Option<SmolStr>,
    /// Measured use.
    pub usage: size::Resources,
    /// Share of the declared processor time to which the worker throttles the attempt.
    pub share: rate::Share,
}

/// State of an attempt on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Runs.
    Running,
    /// Was stopped by command or by the end of its lease, and does not run.
    Stopped,
    /// Completed.
    Succeeded,
    /// Exited with this code.
    Failed(i32),
    /// Used more memory than declared and was ended.
    OverMemory,
}

/// Latency of a service on one worker against its target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Latency {
    /// Service.
    pub service: id::Service,
    /// Worker that hosts the measured upstream.
    pub worker: id::Worker,
    /// Measured tail latency.
    pub latency: Duration,
    /// Target of the service.
    pub target: Duration,
    /// Start of the measured interval on the owner's clock.
    pub since: Instant,
}
