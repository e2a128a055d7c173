//! Reports of workers and services, independent of their encoding.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, rate, revision, size};
use smol_str::SmolStr;

/// Answer of a worker to a heartbeat of this owner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Report {
    pub worker: id::Worker,
    /// Process of the worker; a restart changes it.
    pub incarnation: id::Incarnation,
    /// Highest epoch that the worker has seen for the partition.
    pub epoch: revision::Epoch,
    /// Monotonic clock of the worker when it built the report.
    pub clock: Duration,
    /// Capacity that the worker measured.
    pub capacity: size::Resources,
    /// Running attempts, and ended attempts for which the worker got no publish or forget command.
    pub tasks: Vec<Task>,
}

/// One attempt in a report.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Task {
    pub task: id::Task,
    pub attempt: id::Attempt,
    pub state: State,
    /// Name of the last checkpoint; `None` if the attempt wrote none.
    pub checkpoint: Option<SmolStr>,
    /// Measured usage.
    pub usage: size::Resources,
    /// Share of the declared processor time to which the worker throttles the attempt.
    pub share: rate::Share,
}

/// State of an attempt on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The attempt is running.
    Running,
    /// Stopped by a command or by the end of its lease.
    Stopped,
    /// Completed the task.
    Succeeded,
    /// Exited with this code.
    Failed(i32),
    /// Terminated because it used more memory than declared.
    OverMemory,
}

/// Latency of a service on one worker, with its target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Latency {
    pub service: id::Service,
    /// Worker that hosts the measured upstream.
    pub worker: id::Worker,
    /// Measured tail latency.
    pub latency: Duration,
    /// Latency target of the service.
    pub target: Duration,
    /// Start of the measured interval, on the owner's clock.
    pub since: Instant,
}
