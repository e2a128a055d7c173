//! Requests of clients and their answers, independent of the encoding.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::job;

/// Request of a client. Host and path select the queue; the rest of the path is the job id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Host to which the client sent the request.
    pub host: SmolStr,
    /// Path of the request, which starts with the prefix of the queue.
    pub path: SmolStr,
    /// Operation on the job or the queue.
    pub verb: Verb,
    /// Time since the first attempt at this request that may have been executed; `None` if there was
    /// none. Earlier releases don't send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempted: Option<Duration>,
}

impl Request {
    /// Creates a request that was not attempted before.
    pub const fn new(host: SmolStr, path: SmolStr, verb: Verb) -> Request {
        Request { host, path, verb, attempted: None }
    }
}

/// Operation that a client requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verb {
    /// Submit a job.
    Submit(Box<job::Spec>),
    /// Return the state of a job, or of the queue if the path contains no job id.
    Show,
    /// Cancel a job and stop its runs.
    Cancel,
}

impl Verb {
    /// Returns `true` if the operation changes nothing, so that no attempt at it counts as executed.
    pub const fn is_read_only(&self) -> bool {
        match self {
            Verb::Show => true,
            Verb::Submit(_) | Verb::Cancel => false,
        }
    }
}

/// Why no instance carries out a request at the moment.
///
/// Its encoding is the reason alone, as in earlier releases. The time is determined by the instance
/// that the client is connected to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(from = "SmolStr", into = "SmolStr")]
#[display("{reason}")]
pub struct Outage {
    /// Reason, in text for operators.
    pub reason: SmolStr,
    /// Time after which the client should retry; `None` if nothing is known of the end.
    pub retry_after: Option<Duration>,
}

impl From<SmolStr> for Outage {
    fn from(reason: SmolStr) -> Outage {
        Outage { reason, retry_after: None }
    }
}

impl From<&str> for Outage {
    fn from(reason: &str) -> Outage {
        SmolStr::from(reason).into()
    }
}

impl From<Outage> for SmolStr {
    fn from(outage: Outage) -> SmolStr {
        outage.reason
    }
}

/// Answer to a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum Answer {
    /// The job is stored and will run.
    #[display("accepted")]
    Accepted,
    /// The request was not carried out and will not be. A job that it submits will never run because
    /// of it.
    #[display("refused ({reason}), retry after {} ms", retry_after.as_millis())]
    Refused {
        /// Time after which the client should retry.
        retry_after: Duration,
        /// Reason, in text for operators.
        reason: SmolStr,
    },
    /// The submission is invalid. The text lists the errors.
    #[display("invalid: {_0}")]
    Invalid(SmolStr),
    /// No queue is configured for the host and path.
    #[display("no such queue")]
    NoQueue,
    /// The job is not known, or its retention time has passed.
    #[display("no such job")]
    NoJob,
    /// State of the job, as stored.
    #[display("{_0}")]
    State(job::State),
    /// The job is cancelled, or had ended before the request.
    #[display("cancelled")]
    Cancelled,
    /// Number of accepted jobs of the queue of which no task has started.
    #[display("{_0} waiting")]
    Waiting(u64),
    /// The request was not carried out, because no instance can do so at the moment.
    #[display("unavailable: {_0}")]
    Unavailable(Outage),
    /// The request may have been carried out; the client should retry with the same job id.
    #[display("outcome unknown: {_0}")]
    Unknown(SmolStr),
}

impl Answer {
    /// Returns `true` if the answer tells the client that its request was not executed and will not
    /// be. It is true for the attempt that it answers, and says nothing of earlier ones.
    pub const fn rules_out_execution(&self) -> bool {
        match self {
            Answer::Refused { .. }
            | Answer::Invalid(_)
            | Answer::NoQueue
            | Answer::Unavailable(_) => true,
            Answer::Accepted
            | Answer::NoJob
            | Answer::State(_)
            | Answer::Cancelled
            | Answer::Waiting(_)
            | Answer::Unknown(_) => false,
        }
    }
}
