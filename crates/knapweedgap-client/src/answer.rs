//! Error responses that an instance sends instead of a response from an upstream.

use derive_more::{Display, FromStr};
use http_types::Response;
use knapweedgap_core::id;
use knapweedgap_http::json;
use serde::{Deserialize, Serialize};

use crate::metadata::{self, Invalid};

/// Header with the same outcome as in the body.
pub const OUTCOME: &str = "x-outcome";

/// Known outcome of the request's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Outcome {
    /// The work has not run and will not run.
    #[display("not_run")]
    NotRun,
    /// The work may have run.
    #[display("unknown")]
    Unknown,
    /// The outcome of an earlier request with the same key is recorded.
    #[display("recorded")]
    Recorded,
}

/// Reason for an error response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// A header or the path is invalid (400).
    #[display("invalid_request")]
    InvalidRequest,
    /// No service has this name (404).
    #[display("unknown_service")]
    UnknownService,
    /// No outcome is recorded under this key (404).
    #[display("unknown_key")]
    UnknownKey,
    /// A request with the same key is in progress or has ended (409).
    #[display("key_in_use")]
    KeyInUse,
    /// The body is longer than the limit (413).
    #[display("body_too_long")]
    BodyTooLong,
    /// The queue of the service is full (503).
    #[display("queue_full")]
    QueueFull,
    /// No upstream of the service accepts requests (503).
    #[display("no_upstream")]
    NoUpstream,
    /// The claim of the idempotency key could not be written (503).
    #[display("claim_failed")]
    ClaimFailed,
    /// The instance is starting or stopping (503).
    #[display("not_ready")]
    NotReady,
    /// The upstream failed (502).
    #[display("upstream_failed")]
    UpstreamFailed,
    /// The deadline of the request has passed (504).
    #[display("deadline_passed")]
    DeadlinePassed,
}

impl Code {
    /// Returns the HTTP status of a response with this code.
    pub const fn status(self) -> u16 {
        match self {
            Code::InvalidRequest => 400,
            Code::UnknownService | Code::UnknownKey => 404,
            Code::KeyInUse => 409,
            Code::BodyTooLong => 413,
            Code::UpstreamFailed => 502,
            Code::QueueFull | Code::NoUpstream | Code::ClaimFailed | Code::NotReady => 503,
            Code::DeadlinePassed => 504,
        }
    }
}

/// JSON body of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Reason for the response; determines the HTTP status.
    pub code: Code,
    /// Known outcome of the request's work.
    pub outcome: Outcome,
    /// Id of the request to which this is the response.
    #[serde(rename = "request_id")]
    pub request: id::Request,
    /// Advice for the client.
    pub help: String,
}

impl Answer {
    /// Builds the HTTP response, with status, headers and JSON body.
    pub fn response(&self) -> Response {
        let mut response = json::response(self.code.status(), self);
        response.insert_header(OUTCOME, self.outcome.to_string());
        response.insert_header(metadata::REQUEST_ID, self.request.to_string());
        response
    }
}

impl From<Invalid> for Answer {
    /// An invalid request is not forwarded, so its outcome is [`Outcome::NotRun`].
    fn from(invalid: Invalid) -> Answer {
        let help = invalid.to_string();
        let code = Code::InvalidRequest;
        Answer { code, outcome: Outcome::NotRun, request: invalid.request, help }
    }
}
