//! Life cycle of a client request: `Accepted` → `Dispatched` → `Answered`.
//!
//! Only an accepted request can be answered "not run". A dispatched one returns to `Accepted` only
//! through [`crate::Router::settle`], which checks what is known about the attempt.

use std::time::Instant;

use derive_more::Display;
use knapweedgap_core::id;

use crate::decision::Reason;
use crate::permit::Permit;

/// Whether running the request twice is harmless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Kind {
    /// May be retried on another upstream.
    #[display("idempotent")]
    Idempotent,
    /// Runs at most once (G6).
    #[display("non-idempotent")]
    NonIdempotent,
}

/// State: no upstream can have started the request.
#[derive(Debug)]
pub struct Accepted;

/// State: one attempt is under way.
#[derive(Debug)]
pub struct Dispatched {
    pub(crate) permit: Permit,
    pub(crate) written: bool,
}

/// State: the client can be told the result.
#[derive(Debug)]
pub struct Answered {
    answer: Answer,
}

/// What the client is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The answer of the upstream.
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
    /// Returns the service.
    pub fn service(&self) -> &id::Service {
        &self.service
    }

    /// Returns whether the request may run twice.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the time by which the client needs the answer.
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
    /// Creates a request that was read from a client.
    pub fn new(service: id::Service, kind: Kind, deadline: Instant) -> Request<Accepted> {
        Request { service, kind, deadline, tried: Vec::new(), state: Accepted }
    }

    /// Answers "not run".
    pub fn refuse(self, reason: Reason) -> Request<Answered> {
        self.with_state(Answered { answer: Answer::NotRun(reason) }).0
    }

    /// Starts an attempt with a permit of the router.
    pub fn dispatch(self, permit: Permit) -> Request<Dispatched> {
        self.with_state(Dispatched { permit, written: false }).0
    }
}

impl Request<Dispatched> {
    /// Returns the permit of the attempt.
    pub fn permit(&self) -> &Permit {
        &self.state.permit
    }

    /// Records that bytes of the request may reach the upstream. Call it before the first write.
    pub fn mark_written(&mut self) {
        self.state.written = true;
    }

    /// Tells whether bytes may have reached the upstream.
    pub fn is_written(&self) -> bool {
        self.state.written
    }
}

impl Request<Answered> {
    pub(crate) fn from_attempt(request: Request<Accepted>, answer: Answer) -> Request<Answered> {
        request.with_state(Answered { answer }).0
    }

    /// Returns what the client is told.
    pub fn answer(&self) -> Answer {
        self.state.answer
    }
}
