//! Messages from the traffic threads to the control thread.

use async_channel::Sender;
use knapweedgap_core::id;
use knapweedgap_operator::{error, request};
use knapweedgap_timeline::event::Kind;
use smol_str::SmolStr;

use crate::control::claim::{Claim, Verdict};

/// Messages that wait for the control thread. Beyond it events are dropped and counted, and
/// claims are answered "not run".
pub(crate) const MESSAGES_MAX: usize = 8192;

/// Message to the control thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// Claims a key before a non-idempotent request is sent.
    Claim { key: id::Key, claim: Claim, reply: Sender<Verdict> },
    /// Records the outcome of a claimed request.
    Record { key: id::Key, claim: Claim },
    /// Gives up a claim whose request certainly did not run.
    Release { key: id::Key, claim: Claim },
    /// Asks for a recorded outcome.
    Lookup { key: id::Key, reply: Sender<Result<request::Record, error::Body>> },
    /// Event for the time line.
    Event { kind: Kind, request: id::Request, detail: SmolStr },
}
