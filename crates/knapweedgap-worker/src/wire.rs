//! Messages between the owner of a partition and its workers.
//!
//! Clocks are microseconds of the monotonic clock of the worker's process. Every message to a
//! worker carries partition and epoch; a worker refuses an epoch below the highest that it has
//! seen for the partition. Every message about an attempt also carries the incarnation of the
//! worker, and another incarnation refuses it.

use derive_more::Display;
use knapweedgap_core::{id, rate, revision, size};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Lease renewal. The lease ends `lease_ms` after `based_on_us`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// `clock_us` of an earlier report of the same incarnation.
    pub based_on_us: u64,
    /// Length of the lease, in milliseconds.
    pub lease_ms: u64,
}

/// `POST /v1/heartbeat`; the answer is a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Partition of the sender.
    pub partition: id::Partition,
    /// Epoch of the sender.
    pub epoch: revision::Epoch,
    /// Lease renewal; absent in the first heartbeat and while the owner may not renew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant: Option<Grant>,
    /// Attempts that have succeeded and whose completion is committed. The worker publishes their
    /// results and leaves them out of further reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub publish: Vec<Run>,
    /// Ended attempts whose results, if any, the worker discards. It leaves them out of further
    /// reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub forget: Vec<Run>,
}

/// One attempt of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    /// Task.
    pub task: id::Task,
    /// Attempt.
    pub attempt: id::Attempt,
}

/// Answer to a [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Worker.
    pub worker: id::Worker,
    /// Run of the worker's process.
    pub incarnation: id::Incarnation,
    /// Clock of the worker when it built the report, in microseconds.
    pub clock_us: u64,
    /// Highest epoch that the worker has seen for the partition.
    pub epoch: revision::Epoch,
    /// Measured capacity.
    pub capacity: size::Resources,
    /// Attempts that run, and ended attempts that the worker was not told to forget.
    pub tasks: Vec<Task>,
}

/// One attempt in a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Task.
    pub task: id::Task,
    /// Attempt.
    pub attempt: id::Attempt,
    /// State of the attempt.
    pub state: State,
    /// Exit code; present exactly when the state is `failed`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exit: Option<i32>,
    /// Name of the last checkpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<SmolStr>,
    /// Measured use.
    pub usage: size::Resources,
    /// Clock of the worker when it measured the use, in microseconds.
    pub measured_us: u64,
    /// Share of the declared processor time to which the attempt is throttled, in thousandths.
    /// The owner repeats a throttle command that the share does not show.
    #[serde(default = "whole")]
    pub share: rate::Share,
}

fn whole() -> rate::Share {
    rate::Share::WHOLE
}

/// State of an attempt on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Runs.
    #[display("running")]
    Running,
    /// Was stopped by command or by the end of its lease. A worker also reports an attempt that
    /// it was told to stop before it was told to start it.
    #[display("stopped")]
    Stopped,
    /// Completed. The worker keeps the result back until a heartbeat names it in `publish`.
    #[display("succeeded")]
    Succeeded,
    /// Exited with an error.
    #[display("failed")]
    Failed,
    /// Used more memory than declared and was ended.
    #[display("over_memory")]
    OverMemory,
}

/// What every message about an attempt carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Partition of the sender.
    pub partition: id::Partition,
    /// Epoch of the sender.
    pub epoch: revision::Epoch,
    /// Run of the worker's process that is addressed.
    pub incarnation: id::Incarnation,
    /// Task.
    pub task: id::Task,
    /// Attempt.
    pub attempt: id::Attempt,
}

/// `POST /v1/start`. A repeated start of the same attempt does nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Attempt to start.
    pub head: Head,
    /// Label of the work.
    pub class: id::Class,
    /// Declared size.
    pub size: size::Resources,
    /// Declared run time, in milliseconds.
    pub run_time_ms: u64,
    /// Checkpoint to resume from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<SmolStr>,
    /// Clock of the worker, in microseconds, after which it refuses the start. A start that was
    /// delayed on the way may arrive when the task already runs elsewhere.
    pub expires_us: u64,
    /// Text of the submission for the task.
    #[serde(default)]
    pub payload: String,
}

/// `POST /v1/stop`. The worker confirms the stop in a report. A later start of the attempt is
/// refused, also when the worker did not know the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Attempt to stop.
    pub head: Head,
    /// Whether to write a checkpoint first.
    pub checkpoint: bool,
}

/// `POST /v1/checkpoint`. The task goes on; a report names the checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Attempt that writes a checkpoint.
    pub head: Head,
}

/// `POST /v1/throttle`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// Attempt to throttle.
    pub head: Head,
    /// Share of the declared processor time that the task may use, in thousandths.
    pub share: rate::Share,
}

/// Why a worker refuses a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A higher epoch was seen for the partition (409).
    #[display("stale_epoch")]
    StaleEpoch,
    /// The message is for another run of the worker's process (410).
    #[display("other_incarnation")]
    OtherIncarnation,
    /// The start is past its `expires_us` (408).
    #[display("expired")]
    Expired,
    /// The attempt was stopped before or a later attempt is known (412).
    #[display("superseded")]
    Superseded,
    /// The message is not valid (400).
    #[display("invalid")]
    Invalid,
}

impl Reason {
    /// Returns the HTTP status of the refusal.
    pub const fn status(self) -> u16 {
        match self {
            Reason::Invalid => 400,
            Reason::Expired => 408,
            Reason::StaleEpoch => 409,
            Reason::OtherIncarnation => 410,
            Reason::Superseded => 412,
        }
    }
}

/// Body of a refusal. The message had no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Highest epoch that the worker has seen for the partition.
    pub epoch: revision::Epoch,
    /// Run of the worker's process.
    pub incarnation: id::Incarnation,
    /// Detail for the log.
    #[serde(default)]
    pub detail: SmolStr,
}

/// Answer to a command that the worker has taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Run of the worker's process.
    pub incarnation: id::Incarnation,
}
