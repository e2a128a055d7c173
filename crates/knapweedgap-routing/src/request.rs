//! Life cycle of a client request: `Accepted` → `Dispatched` → `Answered`.
//!
//! Only an accepted request can be refused as not run. A dispatched one returns to `Accepted` only
//! through [`crate::Router::settle`], which evaluates the outcome of the attempt.

use std::time::Instant;

use derive_more::Display;
use knapweedgap_core::id;

use crate::decision::Reason;
use crate::permit::Permit;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Kind {
    /// May run again on another upstream.
    #[display("idempotent")]
    Idempotent,
    /// Runs at most once (G6).
    #[display("non-idempotent")]
    NonIdempotent,
}

/// State: no upstream can have started the request.
#[derive(Debug)]
pub struct Accepted;

/// State: one attempt is in progress.
#[derive(Debug)]
pub struct Dispatched {
    pub(crate) permit: Permit,
    pub(crate) written: bool,
}

/// State: the outcome can be reported to the client.
#[derive(Debug)]
pub struct Answered {
    answer: Answer,
}

/// Outcome that is reported to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The upstream sent a response.
    Done,
    /// The request did not run (G5).
    NotRun(Reason),
    /// The request may have run.
    Unknown,
}

/// A client request in one state of its life cycle.
#[derive(Debug)]
#[must_use]
pub struct Request<State> {
    pub(crate) service: id::Service,
    pub(crate) kind: Kind,
    pub(crate) deadline: Instant,
    pub(crate) tried: Vec<id::Upstream>,
    pub(crate) state: State,
}

impl<State> Request<State> {
    /// Returns the service that the request path names.
    pub fn service(&self) -> &id::Service {
        &self.service
    }

    /// Returns whether the request may run more than once.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the time by which the client needs the response.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the upstreams of earlier attempts.
    pub fn tried(&self) -> &[id::Upstream] {
        &self.tried
    }

    pub(crate) fn with_state<Next>(self, state: Next) -> (Request<Next>, State) {
        let Request { service, kind, deadline, tried, state: previous } = self;
        (Request { service, kind, deadline, tried, state }, previous)
    }
}

impl Request<Accepted> {
    /// Creates a request as read from a client, without earlier attempts.
    pub fn new(service: id::Service, kind: Kind, deadline: Instant) -> Request<Accepted> {
        Request { service, kind, deadline, tried: Vec::new(), state: Accepted }
    }

    /// Ends the request without a run.
    pub fn refuse(self, reason: Reason) -> Request<Answered> {
        self.with_state(Answered { answer: Answer::NotRun(reason) }).0
    }

    /// Starts an attempt with a permit from the router.
    pub fn dispatch(self, permit: Permit) -> Request<Dispatched> {
        self.with_state(Dispatched { permit, written: false }).0
    }
}

impl Request<Dispatched> {
    /// Returns the permit of the current attempt.
    pub fn permit(&self) -> &Permit {
        &self.state.permit
    }

    /// Records that bytes of the request may reach the upstream. Call this before the first write.
    pub fn mark_written(&mut self) {
        self.state.written = true;
    }

    /// Returns `true` if bytes of the request may have reached the upstream.
    pub fn is_written(&self) -> bool {
        self.state.written
    }
}

impl Request<Answered> {
    pub(crate) fn from_attempt(request: Request<Accepted>, answer: Answer) -> Request<Answered> {
        request.with_state(Answered { answer }).0
    }

    /// Returns the outcome that is reported to the client.
    pub fn answer(&self) -> Answer {
        self.state.answer
    }
}
