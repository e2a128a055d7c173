//! Requests of clients and their answers, free of any encoding.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::job;

/// Request of a client. Host and path select the queue; the rest of the path is the job id.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Host that the client named.
    pub host: SmolStr,
    /// Path that the client named.
    pub path: SmolStr,
    /// What is asked for.
    pub verb: Verb,
}

/// What a client asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Verb {
    /// Accept a job.
    Submit(Box<job::Spec>),
    /// Show the state of a job, or of the queue when the path names no job.
    Show,
    /// Cancel a job.
    Cancel,
}

/// Answer to a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum Answer {
    /// The job is stored and will run.
    #[display("accepted")]
    Accepted,
    /// The job was not accepted and will never run from this request.
    #[display("refused ({reason}), retry after {} ms", retry_after.as_millis())]
    Refused {
        /// When the client should ask again.
        retry_after: Duration,
        /// Reason for people.
        reason: SmolStr,
    },
    /// The submission can never run.
    #[display("invalid: {_0}")]
    Invalid(SmolStr),
    /// No such queue.
    #[display("no such queue")]
    NoQueue,
    /// No such job.
    #[display("no such job")]
    NoJob,
    /// State of the job.
    #[display("{_0}")]
    State(job::State),
    /// The job is cancelled, or had ended before.
    #[display("cancelled")]
    Cancelled,
    /// Accepted jobs of the queue of which no task has started.
    #[display("{_0} waiting")]
    Waiting(u64),
    /// The request was not carried out, because nobody can at the moment.
    #[display("unavailable: {_0}")]
    Unavailable(SmolStr),
    /// The request may have been carried out; ask again with the same job id.
    #[display("outcome unknown: {_0}")]
    Unknown(SmolStr),
}
