//! Requests sent and the outcomes reported to the client, as written to the record.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::payload::Digest;

/// Outcome of a request as reported to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete and successful answer that matches this request.
    #[display("whole")]
    #[serde(rename = "whole")]
    Complete,
    /// A complete answer whose request id, digest or body does not match this request, or whose
    /// `x-outcome` is unknown.
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
    /// An error status without `x-outcome`: whether the work ran is not stated.
    #[display("error")]
    Error,
    /// No answer or an incomplete one.
    #[display("no_answer")]
    NoAnswer,
}

/// One transmission of a request to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Wall time at which it began, in microseconds.
    pub begin_us: u64,
    /// Wall time at which it ended, in microseconds.
    pub end_us: u64,
    /// `true` if the entry may have received at least a part of the request.
    pub sent: bool,
    /// Connection failure or timeout; absent after a complete answer.
    pub error: Option<String>,
}

/// Line of the record: one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Header `x-request-id`.
    pub request_id: SmolStr,
    /// Header `idempotency-key`; present exactly when the request is non-idempotent.
    pub key: Option<SmolStr>,
    /// HTTP method.
    pub method: SmolStr,
    /// Path of the request's URL.
    pub path: SmolStr,
    /// Length of the request body, in bytes.
    pub body_len: u64,
    /// Digest of the request body.
    pub body_digest: Digest,
    /// Header `x-request-timeout-ms`: the deadline that the request states, in milliseconds.
    pub deadline_ms: u64,
    /// Transmissions, oldest first.
    pub attempts: Vec<Attempt>,
    /// Outcome of the last transmission only: an earlier one that was sent and failed may have run.
    #[serde(rename = "told")]
    pub reported: Outcome,
    /// Status of the answer; absent without a complete answer.
    pub status: Option<u16>,
    /// Header `x-outcome` of the answer, if present.
    pub outcome: Option<SmolStr>,
    /// Length of the answer's body, in bytes; 0 without a complete answer.
    pub answer_len: u64,
    /// Digest of the answer's body; absent without a complete answer.
    pub answer_digest: Option<Digest>,
    /// Reason why the answer is [`Outcome::Wrong`]; absent for other outcomes.
    pub fault: Option<SmolStr>,
    /// Time from the arrival of the request to the end of its last transmission, in microseconds.
    pub latency_us: u64,
}
