//! What was sent and what the caller was told, as the record shows it.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::payload::Digest;

/// What the caller was told about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer to this request.
    #[display("whole")]
    Whole,
    /// A success whose id, digest or body is not that of this request.
    #[display("wrong")]
    Wrong,
    /// The work did not run.
    #[display("not_run")]
    NotRun,
    /// The work may have run.
    #[display("unknown")]
    Unknown,
    /// The outcome of an earlier attempt with the same key.
    #[display("recorded")]
    Recorded,
    /// An error answer that says nothing about the work.
    #[display("error")]
    Error,
    /// No answer, or only a part of one.
    #[display("no_answer")]
    NoAnswer,
}

/// One sending of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Entry.
    pub entry: SocketAddr,
    /// Wall time of its begin, in microseconds.
    pub begin_us: u64,
    /// Wall time of its end, in microseconds.
    pub end_us: u64,
    /// Whether the entry may have seen the request.
    pub sent: bool,
    /// Failure of the connection.
    pub error: Option<String>,
}

/// Line of the record: one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Header `x-request-id`.
    pub request_id: SmolStr,
    /// Header `idempotency-key`; present exactly when the request is non-idempotent.
    pub key: Option<SmolStr>,
    /// Method.
    pub method: SmolStr,
    /// Path.
    pub path: SmolStr,
    /// Length of the request body, in bytes.
    pub body_len: u64,
    /// Digest of the request body.
    pub body_digest: Digest,
    /// Stated deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Sendings, oldest first.
    pub attempts: Vec<Attempt>,
    /// What the last answer said. It covers the last sending only: an earlier one that was sent
    /// and failed may have run.
    #[serde(rename = "told")]
    pub reported: Outcome,
    /// Status of the answer.
    pub status: Option<u16>,
    /// Header `x-outcome` of the answer.
    pub outcome: Option<SmolStr>,
    /// Length of the answer's body, in bytes.
    pub answer_len: u64,
    /// Digest of the answer's body.
    pub answer_digest: Option<Digest>,
    /// What is wrong with a wrong answer.
    pub fault: Option<SmolStr>,
    /// Time from arrival to the end of the answer, in microseconds.
    pub latency_us: u64,
}
