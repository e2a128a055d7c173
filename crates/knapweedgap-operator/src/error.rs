//! Body of a failed call.

use derive_more::{Display, Error};
use knapweedgap_settings::Findings;
use knapweedgap_settings::patch::Conflict;
use serde::{Deserialize, Serialize};

/// Kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The message or the path is invalid.
    #[display("invalid")]
    Invalid,
    /// There is no such job, request or path.
    #[display("not_found")]
    NotFound,
    /// The path does not support this method.
    #[display("method")]
    Method,
    /// The call conflicts with a concurrent change, or reuses an idempotency key for another job.
    #[display("conflict")]
    Conflict,
    /// The message is too large.
    #[display("too_large")]
    TooLarge,
    /// The call is valid but cannot be fulfilled, as a job that fits no worker.
    #[display("refused")]
    Refused,
    /// The call had no effect because the instance or the owner of the partition is temporarily
    /// unavailable. It may be repeated, also on another instance.
    #[display("not_run")]
    NotRun,
    /// The call may have taken effect.
    #[display("unknown")]
    Unknown,
    /// Internal error of the instance.
    #[display("internal")]
    Internal,
}

impl Code {
    /// Returns the HTTP status of a response with this code.
    pub const fn status(self) -> u16 {
        match self {
            Code::Invalid => 400,
            Code::NotFound => 404,
            Code::Method => 405,
            Code::Conflict => 409,
            Code::TooLarge => 413,
            Code::Refused => 422,
            Code::Internal => 500,
            Code::NotRun => 503,
            Code::Unknown => 504,
        }
    }
}

/// Body of a failed call.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{place}: {code}: {help}")]
pub struct Body {
    /// Kind of failure.
    pub code: Code,
    /// Part of the call or of the system that the failure concerns.
    pub place: String,
    /// How to correct it.
    pub help: String,
    /// All faults of an invalid message; empty for other failures.
    #[serde(default, skip_serializing_if = "Findings::is_empty")]
    pub findings: Findings,
    /// Concurrent changes that conflict with a patch of the settings; absent for other failures.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<Conflict>>,
}

impl Body {
    /// Creates a body without findings.
    pub fn new(code: Code, place: impl Into<String>, help: impl Into<String>) -> Body {
        let (place, help) = (place.into(), help.into());
        Body { code, place, help, findings: Findings::default(), conflict: None }
    }

    /// Creates the body for an invalid message.
    pub fn invalid(findings: Findings) -> Body {
        let help = "correct all findings and send the call again";
        Body { findings, ..Body::new(Code::Invalid, "message", help) }
    }

    /// Creates the body for a patch that conflicts with concurrent changes.
    pub fn conflict(conflict: Conflict) -> Body {
        let help = format!("read revision {} and base the patch on it", conflict.current);
        Body { conflict: Some(Box::new(conflict)), ..Body::new(Code::Conflict, "settings", help) }
    }
}
