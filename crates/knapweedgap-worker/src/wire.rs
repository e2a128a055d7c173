//! Messages between the owner of a partition and its workers.
//!
//! Clock values are microseconds of the monotonic clock of the worker's process. Every message to a
//! worker contains the partition and its epoch; a worker refuses an epoch below the highest that it
//! has received for the partition. Every message about an attempt also contains the incarnation of
//! the worker; another incarnation refuses it.

use derive_more::Display;
use knapweedgap_core::{id, rate, revision, size};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Lease renewal. The lease expires `lease_ms` after `based_on_us`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// `clock_us` of an earlier report of the same incarnation.
    pub based_on_us: u64,
    /// Length of the lease, in milliseconds.
    pub lease_ms: u64,
}

/// `POST /v1/heartbeat`; the response is a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Heartbeat {
    /// Partition of the sender.
    pub partition: id::Partition,
    /// Epoch of the sender.
    pub epoch: revision::Epoch,
    /// Lease renewal; absent in the first heartbeat and while the owner may not renew the lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant: Option<Grant>,
    /// Succeeded attempts whose completion is committed. The worker publishes their results and
    /// omits them from further reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub publish: Vec<Run>,
    /// Ended attempts whose results, if any, the worker discards. It omits them from further
    /// reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub forget: Vec<Run>,
}

/// One attempt of one task.
#[expect(missing_docs, reason = "each field is named after its type")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Run {
    pub task: id::Task,
    pub attempt: id::Attempt,
}

/// Response to a [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Worker that sends the report.
    pub worker: id::Worker,
    /// Incarnation of the worker's process.
    pub incarnation: id::Incarnation,
    /// Clock of the worker when it created the report, in microseconds.
    pub clock_us: u64,
    /// Highest epoch that the worker has received for the partition.
    pub epoch: revision::Epoch,
    /// Capacity that the worker measured.
    pub capacity: size::Resources,
    /// Running attempts, and ended attempts that no heartbeat has listed in `publish` or `forget`.
    pub tasks: Vec<Task>,
}

/// State and usage of one attempt in a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Task of the attempt.
    pub task: id::Task,
    /// Number of the attempt, starting at 1.
    pub attempt: id::Attempt,
    /// State of the attempt on the worker.
    pub state: State,
    /// Exit code; present if and only if the state is `failed`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exit: Option<i32>,
    /// Name of the last checkpoint; absent before the first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<SmolStr>,
    /// Measured usage.
    pub usage: size::Resources,
    /// Clock of the worker when it measured the usage, in microseconds.
    pub measured_us: u64,
    /// Share of the declared processor time to which the attempt is throttled, in thousandths.
    /// The owner repeats a throttle command until the share matches it.
    #[serde(default = "full_share")]
    pub share: rate::Share,
}

fn full_share() -> rate::Share {
    rate::Share::FULL
}

/// State of an attempt on its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The attempt runs.
    #[display("running")]
    Running,
    /// The attempt was stopped by a command or because its lease expired. A worker also reports
    /// this state for an attempt whose stop command arrived before its start command.
    #[display("stopped")]
    Stopped,
    /// The attempt completed. The worker withholds the result until a heartbeat lists the attempt
    /// in `publish`.
    #[display("succeeded")]
    Succeeded,
    /// The attempt exited with an error.
    #[display("failed")]
    Failed,
    /// The attempt was killed because it used more memory than declared.
    #[display("over_memory")]
    OverMemory,
}

/// Common part of all messages about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Partition of the sender.
    pub partition: id::Partition,
    /// Epoch of the sender.
    pub epoch: revision::Epoch,
    /// Incarnation of the worker's process that the message is for.
    pub incarnation: id::Incarnation,
    /// Task of the attempt.
    pub task: id::Task,
    /// Number of the attempt, starting at 1.
    pub attempt: id::Attempt,
}

/// `POST /v1/start`. A repeated start of the same attempt has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// Attempt to start.
    pub head: Head,
    /// Class of batch work that the task belongs to.
    pub class: id::Class,
    /// Declared resources.
    pub size: size::Resources,
    /// Declared run time, in milliseconds.
    pub run_time_ms: u64,
    /// Checkpoint from which the attempt resumes; absent if it starts from the beginning.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<SmolStr>,
    /// Clock of the worker, in microseconds, after which it refuses the start. A delayed start may
    /// arrive when the task already runs on another worker.
    pub expires_us: u64,
    /// Payload of the submission for the task.
    #[serde(default)]
    pub payload: String,
}

/// `POST /v1/stop`. The worker confirms the stop in a report. It refuses a later start of the
/// attempt, even if the attempt was unknown to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// Attempt to stop.
    pub head: Head,
    /// Whether the attempt writes a checkpoint before it stops.
    pub checkpoint: bool,
}

/// `POST /v1/checkpoint`. The task continues; a report contains the name of the checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// Attempt that writes a checkpoint.
    pub head: Head,
}

/// `POST /v1/throttle`. Sets the processor share of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// Attempt to throttle.
    pub head: Head,
    /// Share of the declared processor time that the task may use, in thousandths.
    pub share: rate::Share,
}

/// Reason why a worker refuses a message, with its HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The worker has received a higher epoch for the partition (409).
    #[display("stale_epoch")]
    StaleEpoch,
    /// The message is for another incarnation of the worker's process (410).
    #[display("other_incarnation")]
    OtherIncarnation,
    /// The start arrived after its `expires_us` (408).
    #[display("expired")]
    Expired,
    /// The attempt was stopped before, or the worker has received a later attempt (412).
    #[display("superseded")]
    Superseded,
    /// The message is invalid (400).
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
    /// Reason; it determines the HTTP status.
    pub reason: Reason,
    /// Highest epoch that the worker has received for the partition.
    pub epoch: revision::Epoch,
    /// Incarnation of the worker's process.
    pub incarnation: id::Incarnation,
    /// Detail for the log, at most 512 bytes.
    #[serde(default)]
    pub detail: SmolStr,
}

/// Response to a command that the worker accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Incarnation of the worker's process.
    pub incarnation: id::Incarnation,
}
