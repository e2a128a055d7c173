//! Messages from the traffic threads to the control thread.

use std::time::Duration;

use async_channel::Sender;
use knapweedgap_core::id;
use knapweedgap_operator::{error, request};
use knapweedgap_timeline::event::Kind;
use smol_str::SmolStr;

use crate::control::claim::{Claim, Decision};

/// Maximum number of messages queued for the control thread. Beyond it, events are dropped and
/// counted, and requests that need a claim are answered "not run".
pub(crate) const MESSAGES_MAX: usize = 8192;

/// Tail latency of one upstream in a window, with the target of its service.
#[derive(Debug)]
pub(crate) struct Measurement {
    pub(crate) service: id::Service,
    pub(crate) upstream: id::Upstream,
    pub(crate) tail: Duration,
    pub(crate) target: Duration,
}

/// Message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// Claims the key of a non-idempotent request before it is sent.
    Claim { key: id::Key, claim: Claim, reply: Sender<Decision> },
    /// Records the outcome of a claimed request.
    Record { key: id::Key, claim: Claim },
    /// Releases a claim whose request definitely did not run.
    Release { key: id::Key, claim: Claim },
    /// Queries a recorded outcome.
    Lookup { key: id::Key, reply: Sender<Result<request::Record, error::Body>> },
    /// Tail latencies of upstreams in a window that has just ended, and its length.
    Latencies { window: Duration, measurements: Vec<Measurement> },
    /// Event for the time line.
    Event { kind: Kind, request: id::Request, detail: SmolStr },
}
