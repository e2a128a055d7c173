//! Orders to workers and what becomes of them.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::{id, revision};
use smol_str::SmolStr;

use crate::{task, worker};

/// Life of a worker that an order is meant for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Worker.
    pub worker: id::Worker,
    /// Life.
    pub incarnation: revision::Incarnation,
    /// Where it takes orders.
    pub address: SocketAddr,
}

/// Order to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Task.
    pub task: task::Id,
    /// Number of this start.
    pub run: revision::Run,
    /// Text of the job for its tasks.
    pub payload: String,
    /// End of the lease, on the clock of the worker; a later start is refused.
    pub lease_end: worker::Clock,
    /// Fencing token.
    pub fence: revision::Fence,
    /// Checkpoint to resume from; empty for a start from the beginning.
    pub checkpoint: SmolStr,
    /// Permission of the placement advice.
    pub ticket: Option<SmolStr>,
}

/// Order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// Task.
    pub task: task::Id,
    /// Start of the task.
    pub run: revision::Run,
    /// Fencing token.
    pub fence: revision::Fence,
}

/// Order to let a run work at a share of its speed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Task.
    pub task: task::Id,
    /// Start of the task.
    pub run: revision::Run,
    /// Share in percent.
    pub percent: u32,
    /// Fencing token.
    pub fence: revision::Fence,
}

/// Renewal of the lease of everything on a worker, and question for its lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Poll {
    /// Fencing token.
    pub fence: revision::Fence,
    /// Ended runs up to this one are recorded and may be forgotten.
    pub acknowledged: revision::End,
    /// New end of the lease; `None` until the clock of the worker is known.
    pub lease_end: Option<worker::Clock>,
    /// How long the answer may wait for a run to end.
    pub wait: Duration,
}

/// Reason for which a worker refused an order. It has done nothing then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    #[display("fence")]
    Fence,
    /// The run, or a later one of the task, has ended or was stopped there.
    #[display("old")]
    Old,
    /// The lease in the order is over.
    #[display("late")]
    Late,
    /// The task does not fit.
    #[display("room")]
    Capacity,
    /// The permission of the placement advice is missing or expired.
    #[display("ticket")]
    Ticket,
    /// Another life of the worker answered.
    #[display("other lifetime")]
    Incarnation,
    /// The worker is unhealthy or overloaded.
    #[display("unhealthy")]
    Unhealthy,
    /// The order is invalid.
    #[display("invalid")]
    Invalid,
}

/// Order that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Failure {
    /// The worker refused the order and has done nothing.
    #[display("refused: {_0}")]
    Refused(Refusal),
    /// Nothing listens at the address, so the life of the worker is over.
    #[display("connection refused")]
    NoListener,
    /// No answer; the order may be carried out, now or seconds later.
    #[display("unanswered: {_0}")]
    Unanswered(SmolStr),
}
