//! Sends one request to upstreams, with retries, until it is answered or has failed.

use std::rc::Rc;
use std::time::Instant;

use async_executor::LocalExecutor;
use http_types::{Body, Response};
use knapweedgap_http::json;
use knapweedgap_routing::request::{Accepted, Answer, Dispatched};
use knapweedgap_routing::snapshot::Upstream;
use knapweedgap_routing::{Outcome, Permit, Reason, Request, Settled};
use knapweedgap_upstream::forward::Envelope;
use knapweedgap_upstream::pool::Exchange as Forwarded;
use knapweedgap_upstream::{Error, Pool};

use super::dispatch::Dispatcher;

/// Maximum length of a request body that is buffered for retries, in bytes. A longer body is
/// streamed and its request is sent only once.
const REPLAY_BODY_MAX: usize = 64 * 1024;

/// Result of a request after its last attempt.
pub(super) enum End {
    /// Answer of the upstream, with a streamed body.
    Answered(Box<Response>),
    /// The request definitely did not run.
    NotRun(Reason),
    /// The request may have run.
    Unknown,
}

/// Body of a request.
enum Payload {
    /// Buffered, so that the request can be sent again.
    Buffered(Vec<u8>),
    /// Streamed once; `None` after it was passed to a connection.
    Streamed(Option<Body>),
}

/// One request and the data shared by its attempts.
pub(super) struct Attempts {
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) envelope: Envelope,
    head: http_types::Request,
    payload: Payload,
}

impl Attempts {
    /// Prepares a request and buffers its body if it is short enough.
    ///
    /// # Errors
    ///
    /// Returns an error if a body to be buffered can't be read, for example because the client
    /// ended it early.
    pub(super) async fn new(
        dispatcher: Rc<Dispatcher>,
        executor: Rc<LocalExecutor<'static>>,
        envelope: Envelope,
        mut head: http_types::Request,
    ) -> Result<Attempts, knapweedgap_http::Error> {
        let is_bufferable = head.len().is_some_and(|length| length <= REPLAY_BODY_MAX);
        let has_body = head.len().is_some() || head.header("transfer-encoding").is_some();
        let payload = if !has_body {
            Payload::Buffered(Vec::new())
        } else if is_bufferable {
            Payload::Buffered(json::read_body(&mut head, REPLAY_BODY_MAX).await?)
        } else {
            Payload::Streamed(Some(head.take_body()))
        };
        Ok(Attempts { dispatcher, executor, envelope, head, payload })
    }

    /// Sends the request until it is answered or must not be sent again.
    pub(super) async fn run(mut self, mut request: Request<Accepted>) -> End {
        loop {
            let permit = match self.dispatcher.admit(&request).await {
                Ok(permit) => permit,
                Err(reason) => return End::NotRun(reason),
            };
            let settlement = match self.attempt(request, permit).await {
                Ok(response) => return End::Answered(Box::new(response)),
                Err(settlement) => settlement,
            };
            match settlement {
                Settled::Retry(next) if self.can_resend() => request = next,
                Settled::Retry(_) => return End::Unknown,
                Settled::Answered(answered) => return end(answered.answer()),
            }
        }
    }

    fn can_resend(&self) -> bool {
        !matches!(self.payload, Payload::Streamed(None))
    }

    /// Sends the request once. Returns the settlement of the attempt if there is no answer.
    async fn attempt(
        &mut self,
        request: Request<Accepted>,
        permit: Permit,
    ) -> Result<Response, Settled> {
        let pool = self.dispatcher.pool(&permit);
        let time_left = request.deadline().saturating_duration_since(Instant::now());
        let envelope = Envelope { time_left, ..self.envelope.clone() };
        let request = Some(request.dispatch(permit));
        // Settles the attempt if this future is dropped because the client disconnected.
        let guard = Guard { dispatcher: self.dispatcher.clone(), request };
        let outgoing = self.next_request();
        let started = Instant::now();
        match pool.forward(outgoing, &envelope).await {
            Ok(answer) => {
                self.dispatcher.record_latency(guard.upstream(), started.elapsed());
                Ok(self.stream(answer, pool, guard))
            }
            Err(error) if error.is_not_run() => Err(guard.settle(outcome(&error))),
            Err(error) => Err(guard.settle_written(outcome(&error))),
        }
    }

    /// Returns a copy of the request for one attempt. A streamed body is moved into it.
    fn next_request(&mut self) -> http_types::Request {
        let mut request = http_types::Request::new(self.head.method(), self.head.url().clone());
        for (name, values) in &self.head {
            for value in values {
                request.append_header(name, value.as_str());
            }
        }
        match &mut self.payload {
            Payload::Buffered(bytes) => request.set_body(bytes.clone()),
            Payload::Streamed(body) => request.set_body(body.take().unwrap_or_else(Body::empty)),
        }
        request
    }

    /// Returns the answer for the client. The attempt is settled once its body has ended.
    fn stream(&self, answer: Forwarded, pool: Rc<Pool>, guard: Guard) -> Response {
        let Forwarded { response, slots_in_use, connection } = answer;
        let task = async move {
            pool.recycle(connection).await;
            let _ = guard.settle_written(Outcome::Answered { slots_in_use });
        };
        self.executor.spawn(task).detach();
        response
    }
}

fn end(answer: Answer) -> End {
    match answer {
        Answer::NotRun(reason) => End::NotRun(reason),
        Answer::Done | Answer::Unknown => End::Unknown,
    }
}

fn outcome(error: &Error) -> Outcome {
    match error {
        Error::Full(_) => Outcome::Refused { slots_in_use: None },
        Error::NotSent(_) => Outcome::ConnectFailed,
        Error::Refused { slots_in_use } => Outcome::Refused { slots_in_use: *slots_in_use },
        Error::Unknown(knapweedgap_http::Error::Timeout { .. }) => Outcome::TimedOut,
        Error::Unknown(_) => Outcome::Broken,
    }
}

/// Guard of one attempt that settles it as abandoned on drop, unless it was settled before.
struct Guard {
    dispatcher: Rc<Dispatcher>,
    request: Option<Request<Dispatched>>,
}

impl Guard {
    fn upstream(&self) -> Option<&Upstream> {
        self.request.as_ref().map(|request| request.permit().upstream())
    }

    /// Settles an attempt of which bytes may have reached the upstream.
    fn settle_written(mut self, outcome: Outcome) -> Settled {
        if let Some(request) = &mut self.request {
            request.mark_written();
        }
        self.settle(outcome)
    }

    /// Settles the attempt with its outcome.
    fn settle(mut self, outcome: Outcome) -> Settled {
        let request = self.request.take().expect("a guard is settled once");
        self.dispatcher.settle(request, outcome)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            let _ = self.dispatcher.settle(request, Outcome::Abandoned);
        }
    }
}
