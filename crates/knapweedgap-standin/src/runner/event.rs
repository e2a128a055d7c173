//! Events of requests as written to the record.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Kind of an event of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request got a slot and its work began.
    #[display("begin")]
    Begin,
    /// The work completed.
    #[display("end")]
    End,
    /// The client closed the connection during the work, which was cancelled.
    #[display("abandoned")]
    Abandoned,
    /// The queue was full; the request was refused without starting its work.
    #[display("refused")]
    Refused,
}

/// Line of the record: one event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Change in the state of the request.
    pub event: Kind,
    /// Wall time of the event, in microseconds.
    pub wall_us: u64,
    /// Name of the runner, from its option `--name`.
    pub runner: SmolStr,
    /// Header `x-request-id`; empty when the request has none.
    pub request_id: SmolStr,
    /// Header `idempotency-key`; absent when the request has none.
    pub key: Option<SmolStr>,
    /// Path of the request's URL.
    pub path: SmolStr,
    /// Wall time at which the work began, in microseconds; absent for a refused request.
    pub begin_us: Option<u64>,
    /// Slots in use after the event.
    pub slots_in_use: u32,
    /// Requests waiting for a slot after the event.
    pub queued: u32,
}
