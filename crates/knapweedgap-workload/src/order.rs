//! Orders to workers and their results.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::{id, revision};
use smol_str::SmolStr;

use crate::{task, worker};

/// Incarnation of a worker to which an order is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Id that the platform lists.
    pub worker: id::Worker,
    /// Incarnation of the worker's process for which the order is meant.
    pub incarnation: revision::Incarnation,
    /// Address at which the worker accepts orders.
    pub address: SocketAddr,
}

/// Order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Task to start.
    pub task: task::Id,
    /// Number of this start; it grows with each start of the task.
    pub run: revision::Run,
    /// Text of the job that is passed to each of its tasks.
    pub payload: String,
    /// End of the lease, on the clock of the worker. The worker refuses the start after this time.
    pub lease_end: worker::Clock,
    /// Fencing token of the owner.
    pub fence: revision::Fence,
    /// Checkpoint to resume from; empty for a start from the beginning.
    pub checkpoint: SmolStr,
    /// Ticket from the placement advice; `None` for a queue without advice.
    pub ticket: Option<SmolStr>,
    /// Time from now in which the start may be sent. Later, the worker may have announced that it
    /// leaves.
    pub valid: Duration,
}

/// Order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// Task of the run.
    pub task: task::Id,
    /// Number of the run; a later run of the task is not stopped.
    pub run: revision::Run,
    /// Fencing token of the owner.
    pub fence: revision::Fence,
}

/// Order to set the speed of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// Task of the run.
    pub task: task::Id,
    /// Number of the run.
    pub run: revision::Run,
    /// Speed in percent of the full speed; 0 suspends the run.
    pub percent: u32,
    /// Fencing token of the owner.
    pub fence: revision::Fence,
}

/// Poll of a worker. It renews the lease of all runs on the worker and requests a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Poll {
    /// Fencing token of the owner.
    pub fence: revision::Fence,
    /// Ended runs up to this one are stored, so the worker may discard them.
    pub acknowledged: revision::End,
    /// New end of the lease, on the clock of the worker; `None` until that clock is known.
    pub lease_end: Option<worker::Clock>,
    /// Longest time that the worker may delay the answer until a run ends.
    pub wait: Duration,
}

/// Reason why a worker refused an order, or why it was not sent. A refused order has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    #[display("fence")]
    Fence,
    /// The run, or a later run of the task, has ended or was stopped on the worker.
    #[display("old")]
    Old,
    /// The lease in the order has expired.
    #[display("late")]
    Late,
    /// The task does not fit into the free capacity.
    #[display("room")]
    Capacity,
    /// The ticket from the placement advice is missing or expired.
    #[display("ticket")]
    Ticket,
    /// Another incarnation of the worker answered.
    #[display("other lifetime")]
    Incarnation,
    /// The worker is unhealthy or overloaded.
    #[display("unhealthy")]
    Unhealthy,
    /// The worker rejected the order as malformed.
    #[display("invalid")]
    Invalid,
    /// The start was not sent, because its time had passed before.
    #[display("expired")]
    Expired,
}

impl Refusal {
    /// All reasons.
    pub const ALL: [Refusal; 9] = [
        Refusal::Fence,
        Refusal::Old,
        Refusal::Late,
        Refusal::Capacity,
        Refusal::Ticket,
        Refusal::Incarnation,
        Refusal::Unhealthy,
        Refusal::Invalid,
        Refusal::Expired,
    ];
}

/// Reason why an order did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Failure {
    /// The worker refused the order; it has no effect.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// The connection was refused, so the order was not sent. The worker may run on.
    #[display("connection refused")]
    NoListener,
    /// No answer. The order may have been carried out, or may still be, even seconds later.
    #[display("unanswered: {_0}")]
    Unanswered(SmolStr),
}
