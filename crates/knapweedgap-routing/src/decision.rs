//! Inputs and results of the router.

use std::time::Instant;

use derive_more::{Display, FromStr};
use knapweedgap_core::size;

use crate::permit::Permit;
use crate::request::{Accepted, Answered, Request};

/// A request in the queue of one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub struct Ticket(pub(crate) u64);

/// What to do with a request now.
#[derive(Debug)]
#[must_use]
pub enum Decision {
    /// Send it.
    Dispatch(Permit),
    /// Hold it until an [`Action`] names the ticket, at the latest shortly after `until`.
    Queue {
        /// Names the request in later actions.
        ticket: Ticket,
        /// Latest useful start.
        until: Instant,
    },
    /// Answer "not run".
    Refuse(Reason),
}

/// A queued request that goes now.
#[derive(Debug)]
pub struct Dispatch {
    /// The request.
    pub ticket: Ticket,
    /// Permit to send it.
    pub permit: Permit,
}

/// What to do with a request that was queued.
#[derive(Debug)]
#[must_use]
pub enum Action {
    /// Send it.
    Start(Dispatch),
    /// Answer "not run".
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Why it cannot run.
        reason: Reason,
    },
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// The snapshot has no such service.
    #[display("unknown service")]
    UnknownService,
    /// No live upstream is left that was not yet tried.
    #[display("no upstream")]
    NoUpstream,
    /// The queue of the service is full.
    #[display("queue full")]
    QueueFull,
    /// The request could not start early enough to be answered by its deadline.
    #[display("too late")]
    TooLate,
    /// The retry budget is used up, or the request had all its attempts.
    #[display("no retry left")]
    NoRetry,
    /// The client went away before the request was sent.
    #[display("cancelled")]
    Cancelled,
}

/// How one attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered.
    Answered {
        /// Load reported with the answer: slots that other requests occupy.
        slots_in_use: Option<size::Slot>,
    },
    /// The upstream proved that it did not start the request (503 with `x-not-started: true`).
    Refused {
        /// Load reported with the refusal.
        slots_in_use: Option<size::Slot>,
    },
    /// No connection could be made.
    ConnectFailed,
    /// The connection ended before the answer was complete.
    Broken,
    /// The deadline passed before the answer was complete.
    TimedOut,
    /// The attempt was given up, for example because the client went away.
    Abandoned,
}

/// What becomes of a request after one attempt.
#[derive(Debug)]
#[must_use]
pub enum Settled {
    /// It is finished.
    Answered(Request<Answered>),
    /// It may be admitted again.
    Retry(Request<Accepted>),
}
