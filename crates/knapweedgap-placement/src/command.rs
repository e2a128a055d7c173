//! What the engine asks its caller to do.

use std::time::Duration;

use knapweedgap_core::{id, rate, revision, size};
use smol_str::SmolStr;

use crate::log;

/// Work for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Commit this entry, then call `committed` or `commit_failed`. There is one at a time.
    Append(log::Entry),
    /// Store this checkpoint and delete the entries that it contains.
    Store(Box<log::Checkpoint>),
    /// Send this to a worker. What it depends on is committed.
    Send(Command),
    /// Answer everyone who waits for this request.
    Answer(Answer),
}

/// Message to a worker about one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Command {
    /// Partition of the sender.
    pub partition: id::Partition,
    /// Epoch of the sender.
    pub epoch: revision::Epoch,
    /// Receiver.
    pub worker: id::Worker,
    /// Run of the receiver's process.
    pub incarnation: id::Incarnation,
    /// Task.
    pub task: id::Task,
    /// Attempt.
    pub attempt: id::Attempt,
    /// What to do with the attempt.
    pub body: Body,
}

/// What to do with an attempt. Every command is idempotent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Start it unless it was started, stopped or forgotten before.
    Start(Box<Start>),
    /// Stop it. A worker that does not know the attempt reports it as stopped from then on and
    /// refuses a start that arrives later.
    Stop {
        /// Write a checkpoint first.
        checkpoint: bool,
    },
    /// Write a checkpoint and go on.
    Checkpoint,
    /// Give the task this share of its declared processor time.
    Throttle(rate::Share),
    /// Publish the result, since the completion is committed, and leave the attempt out of further
    /// reports.
    Publish,
    /// Discard the result, if there is one, and leave the attempt out of further reports.
    Forget,
}

/// What a worker needs to start an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Label of the work.
    pub class: id::Class,
    /// Declared size.
    pub size: size::Resources,
    /// Declared run time.
    pub run_time: Duration,
    /// Checkpoint to resume from.
    pub checkpoint: Option<SmolStr>,
    /// Worker clock after which the start is refused. It keeps a delayed start from running
    /// after the lease that the owner counts with.
    pub expires: Duration,
    /// Text of the submission for the task.
    pub payload: String,
}

/// Result of a submission or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// What was asked for.
    pub request: Request,
    /// Whether it is in force.
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

/// Fate of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It is committed.
    Recorded,
    /// It is not committed and will not be.
    NotRun,
}

/// Lease renewal in the clock of the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Worker clock of the last report.
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
    /// Lease renewal, absent before the first report and while the ownership is not validated.
    pub grant: Option<Grant>,
}
