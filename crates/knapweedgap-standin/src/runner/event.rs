//! Events of requests, as the record shows them.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The work began.
    #[display("begin")]
    Begin,
    /// The work ended.
    #[display("end")]
    End,
    /// The client closed the connection during the work, which was given up.
    #[display("abandoned")]
    Abandoned,
    /// The request was refused before start.
    #[display("refused")]
    Refused,
}

/// Line of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// What happened.
    pub event: Kind,
    /// Wall time, in microseconds.
    pub wall_us: u64,
    /// Name of the runner.
    pub runner: SmolStr,
    /// Header `x-request-id`; empty when the request has none.
    pub request_id: SmolStr,
    /// Header `idempotency-key`.
    pub key: Option<SmolStr>,
    /// Path.
    pub path: SmolStr,
    /// Wall time at which the work began, in microseconds; absent when it did not begin.
    pub begin_us: Option<u64>,
    /// Slots in use after the event.
    pub slots_in_use: u32,
    /// Requests that wait for a slot after the event.
    pub queued: u32,
}
