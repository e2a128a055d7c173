//! Recorded outcomes of non-idempotent client requests.

use derive_more::Display;
use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run.
    #[display("not_run")]
    NotRun,
    /// It was sent to an upstream, and no answer was recorded.
    #[display("unknown")]
    Unknown,
    /// It ran, and its answer was recorded.
    #[display("recorded")]
    Recorded,
}

/// Recorded outcome under an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What is known.
    pub outcome: Outcome,
    /// Id of the request that ran.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<id::Request>,
    /// HTTP status of the recorded answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<u16>,
    /// What to do next.
    #[serde(default)]
    pub help: String,
}
