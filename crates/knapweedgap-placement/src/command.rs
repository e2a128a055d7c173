//! Actions that the caller carries out for the engine, and commands to workers.

use std::time::Duration;

use knapweedgap_core::{id, rate, revision, size};
use smol_str::SmolStr;

use crate::log;

/// Action for the caller to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Commit this entry, then call `committed` or `commit_failed`. At most one entry is in flight.
    Append(log::Entry),
    /// Store this checkpoint and delete the entries that it contains.
    Store(Box<log::Checkpoint>),
    /// Send this command to a worker. The records that it depends on are committed.
    Send(Command),
    /// Answer every caller that waits for this request.
    Answer(Answer),
}

/// Message to a worker about one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Command {
    /// Partition of the sender.
    pub partition: id::Partition,
    /// Epoch of the sender.
    pub epoch: revision::Epoch,
    /// Receiver.
    pub worker: id::Worker,
    /// Process of the receiver. Another incarnation refuses the command.
    pub incarnation: id::Incarnation,
    pub task: id::Task,
    pub attempt: id::Attempt,
    pub body: Body,
}

/// Operation on an attempt. Every operation is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Start it unless it was started, stopped or forgotten before.
    Start(Box<Start>),
    /// Stop it. A worker that has no such attempt reports it as stopped from then on and refuses a
    /// start that arrives later.
    Stop {
        /// Write a checkpoint first.
        checkpoint: bool,
    },
    /// Write a checkpoint and continue.
    Checkpoint,
    /// Limit the task to this share of its declared processor time.
    Throttle(rate::Share),
    /// Publish the result, since the completion is committed, and omit the attempt from further
    /// reports.
    Publish,
    /// Discard the result, if there is one, and omit the attempt from further reports.
    Forget,
}

/// Parameters of the start of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Class of the job.
    pub class: id::Class,
    /// Declared size.
    pub size: size::Resources,
    /// Declared run time.
    pub run_time: Duration,
    /// Checkpoint to resume from; `None` starts from the beginning.
    pub checkpoint: Option<SmolStr>,
    /// Worker clock after which the worker refuses the start. It prevents a delayed start from
    /// running past the lease end that the owner assumes.
    pub expires: Duration,
    /// Payload of the submission.
    pub payload: String,
}

/// Result of a submission or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Answered request.
    pub request: Request,
    /// Whether the request is committed.
    pub outcome: Outcome,
}

/// Request that waits for a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Request {
    /// Submission of the job.
    Submit(id::Job),
    /// Cancellation of the job.
    Cancel(id::Job),
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is committed.
    Recorded,
    /// It is not committed and will not be.
    NotRun,
}

/// Lease renewal, in the clock of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Clock of the worker in its last report.
    pub based_on: Duration,
    /// Time after `based_on` at which the lease ends.
    pub lease: Duration,
}

/// Content of the next heartbeat to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Partition of the sender.
    pub partition: id::Partition,
    /// Epoch of the sender.
    pub epoch: revision::Epoch,
    /// Lease renewal; `None` before the first report and while the ownership is not validated.
    pub grant: Option<Grant>,
}
