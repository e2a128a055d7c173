//! Recorded outcomes of non-idempotent client requests.

use derive_more::Display;
use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

/// Recorded outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request did not run.
    #[display("not_run")]
    NotRun,
    /// The request was sent to an upstream, but no response was recorded.
    #[display("unknown")]
    Unknown,
    /// The request ran and its response was recorded.
    #[display("recorded")]
    Recorded,
}

/// Record stored under an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Id of the request that ran; absent if none is recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<id::Request>,
    /// HTTP status of the recorded response; absent if none is recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// Next step for the client or operator; may be empty.
    #[serde(default)]
    pub help: String,
}
