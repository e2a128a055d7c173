//! Endpoint for client requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response};
use knapweedgap_client::answer::{Answer, Code, Outcome};
use knapweedgap_client::metadata::{self, Metadata};
use knapweedgap_core::id;
use knapweedgap_http::json;
use knapweedgap_operator::Route;
use knapweedgap_routing::Reason;
use knapweedgap_routing::request::Kind;
use knapweedgap_settings::effective;
use knapweedgap_timeline::event;
use knapweedgap_upstream::forward::Envelope;
use smol_str::{SmolStr, format_smolstr};

use super::attempt::{Attempts, End};
use super::dispatch::Dispatcher;
use super::message::Message;
use crate::control::claim::{Claim, Decision};
use crate::metric;

/// Timeout of a call to the control thread.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Path prefix of requests to the daemon itself.
const DAEMON_PREFIX: &str = "/_knapweedgap/";
/// Metric label of requests whose service is not in the VM list.
const UNKNOWN_SERVICE: &str = "unknown";

/// Endpoint of one traffic thread.
pub(super) struct Endpoint {
    dispatcher: Rc<Dispatcher>,
    messages: Sender<Message>,
    executor: Rc<LocalExecutor<'static>>,
    seed: u64,
    count: Cell<u64>,
}

impl Endpoint {
    pub(super) fn new(
        dispatcher: Rc<Dispatcher>,
        messages: Sender<Message>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Endpoint {
        Endpoint { dispatcher, messages, executor, seed: fastrand::u64(..), count: Cell::new(0) }
    }

    /// Answers one request.
    pub(super) async fn answer(self: Rc<Self>, request: Request) -> Response {
        if request.url().path().starts_with(DAEMON_PREFIX) {
            return self.answer_daemon_request(&request).await;
        }
        let started = Instant::now();
        let metadata = match Metadata::parse(&request, self.next_id()) {
            Ok(metadata) => metadata,
            Err(invalid) => return Answer::from(invalid).response(),
        };
        let id = metadata.request.clone();
        let service = metadata.service.clone();
        let mut response = match self.serve(request, metadata).await {
            Ok(response) => response,
            Err(answer) => answer.response(),
        };
        response.insert_header(metadata::REQUEST_ID, id.as_str());
        if self.dispatcher.view().draining {
            // Ends a kept-alive connection with an answer, not while a request is in transit.
            response.insert_header("connection", "close");
        }
        let status = response.status().to_string();
        let is_listed = self.dispatcher.view().services.contains_key(&service);
        // Arbitrary names sent by clients would create an unbounded number of time series.
        let service = if is_listed { service.to_string() } else { UNKNOWN_SERVICE.to_owned() };
        metrics::counter!(metric::REQUESTS, "service" => service.clone(), "status" => status)
            .increment(1);
        metrics::histogram!(metric::REQUEST_SECONDS, "service" => service)
            .record(started.elapsed().as_secs_f64());
        response
    }

    fn next_id(&self) -> id::Request {
        let count = self.count.get() + 1;
        self.count.set(count);
        let text = format!("{:016x}-{count:x}", self.seed);
        text.parse().expect("hexadecimal digits and a dash are a valid id")
    }

    async fn serve(&self, request: Request, metadata: Metadata) -> Result<Response, Answer> {
        let view = self.dispatcher.view();
        let refusal = Refusal { request: &metadata.request };
        if !view.ready && !view.draining {
            let help = "the entry has not read the settings yet; retry later or use another entry";
            return Err(refusal.not_run(Code::NotReady, help));
        }
        let Some(settings) = view.services.get(&metadata.service) else {
            let help = "the service in the first path segment is not in the VM list";
            return Err(refusal.not_run(Code::UnknownService, help));
        };
        check_length(&request, settings, &refusal)?;
        let kind = kind(&metadata, settings);
        let timeout = metadata.timeout.unwrap_or(settings.request_deadline);
        let deadline = Instant::now() + timeout.min(settings.request_deadline_max);
        let claim = match &metadata.key {
            Some(key) if kind == Kind::NonIdempotent => {
                Some((key.clone(), self.claim(key, &metadata, &request).await?))
            }
            _ => None,
        };
        let end = self.send(request, &metadata, kind, deadline).await;
        self.complete_claim(&end, claim);
        match end {
            End::Answered(response) => Ok(*response),
            End::NotRun(reason) => Err(self.not_run(&metadata, reason)),
            End::Unknown => {
                self.event(event::Kind::RequestUnknown, &metadata.request, SmolStr::default());
                Err(outcome_unknown(&metadata, kind))
            }
        }
    }

    async fn send(
        &self,
        request: Request,
        metadata: &Metadata,
        kind: Kind,
        deadline: Instant,
    ) -> End {
        let envelope = Envelope {
            request: metadata.request.clone(),
            time_left: deadline.saturating_duration_since(Instant::now()),
            non_idempotent: kind == Kind::NonIdempotent,
        };
        let (dispatcher, executor) = (self.dispatcher.clone(), self.executor.clone());
        let attempts = Attempts::new(dispatcher, executor, envelope, request).await;
        // The client ended its body early and does not read the answer.
        let Ok(attempts) = attempts else { return End::NotRun(Reason::Cancelled) };
        let accepted = knapweedgap_routing::Request::new(metadata.service.clone(), kind, deadline);
        attempts.run(accepted).await
    }

    /// Claims the key of a non-idempotent request.
    async fn claim(
        &self,
        key: &id::Key,
        metadata: &Metadata,
        request: &Request,
    ) -> Result<Claim, Answer> {
        let claim = Claim {
            request: metadata.request.clone(),
            fingerprint: fingerprint(request),
            nonce: fastrand::u64(..),
            status: None,
        };
        let refusal = Refusal { request: &metadata.request };
        let (reply, answer) = async_channel::bounded(1);
        let message = Message::Claim { key: key.clone(), claim: claim.clone(), reply };
        if self.messages.try_send(message).is_err() {
            return Err(
                refusal.not_run(Code::ClaimFailed, "too many claims are queued; retry later")
            );
        }
        match with_timeout(answer.recv(), CONTROL_TIMEOUT).await.and_then(Result::ok) {
            Some(Decision::Granted) => Ok(claim),
            Some(Decision::Held(held)) => Err(key_in_use(metadata, &claim, &held)),
            Some(Decision::Unavailable) | None => {
                let help = "the key can't be claimed because the key-value service does not \
                            answer; retry the request with the same key";
                Err(refusal.not_run(Code::ClaimFailed, help))
            }
        }
    }

    /// Records the outcome of a claimed request, or releases the claim if the request did not run.
    fn complete_claim(&self, end: &End, claim: Option<(id::Key, Claim)>) {
        let Some((key, claim)) = claim else { return };
        let message = match end {
            End::Answered(response) => {
                let status = Some(u16::from(response.status()));
                Message::Record { key, claim: Claim { status, ..claim } }
            }
            End::NotRun(_) => Message::Release { key, claim },
            End::Unknown => return,
        };
        if self.messages.try_send(message).is_err() {
            metrics::counter!(metric::EVENTS_DROPPED).increment(1);
        }
    }

    fn not_run(&self, metadata: &Metadata, reason: Reason) -> Answer {
        let (code, help) = match reason {
            Reason::UnknownService => (Code::UnknownService, "the service is not in the VM list"),
            Reason::NoUpstream | Reason::NoRetry => {
                (Code::NoUpstream, "no upstream accepted the request; retry later")
            }
            Reason::QueueFull => (Code::QueueFull, "too many requests are queued; retry later"),
            Reason::TooLate => {
                (Code::DeadlinePassed, "the request could not start before its deadline")
            }
            Reason::Cancelled => (Code::InvalidRequest, "the request body ended early"),
        };
        let detail = format_smolstr!("{reason}");
        self.event(event::Kind::RequestRefused, &metadata.request, detail);
        Refusal { request: &metadata.request }.not_run(code, help)
    }

    fn event(&self, kind: event::Kind, request: &id::Request, detail: SmolStr) {
        let message = Message::Event { kind, request: request.clone(), detail };
        if self.messages.try_send(message).is_err() {
            metrics::counter!(metric::EVENTS_DROPPED).increment(1);
        }
    }

    /// Answers a request to the daemon itself: health, readiness or a recorded outcome.
    async fn answer_daemon_request(&self, request: &Request) -> Response {
        let path = request.url().path();
        let view = self.dispatcher.view();
        match path.strip_prefix(DAEMON_PREFIX) {
            Some("healthz") => return Response::new(200),
            Some("readyz") => return Response::new(if view.ready { 200 } else { 503 }),
            _ => {}
        }
        let key = match Route::parse(Method::Get, path) {
            Ok(Route::Outcome(key)) => key,
            Ok(_) => return Response::new(404),
            Err(error) => return json::response(error.code.status(), &error),
        };
        let (reply, answer) = async_channel::bounded(1);
        let sent = self.messages.try_send(Message::Lookup { key, reply });
        let received = with_timeout(answer.recv(), CONTROL_TIMEOUT).await.and_then(Result::ok);
        match received {
            Some(Ok(record)) if sent.is_ok() => json::response(200, &record),
            Some(Err(error)) => json::response(error.code.status(), &error),
            _ => Response::new(503),
        }
    }
}

async fn with_timeout<Task, Value>(task: Task, limit: Duration) -> Option<Value>
where
    Task: Future<Output = Value>,
{
    let task = async { Some(task.await) };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    task.or(timeout).await
}

fn kind(metadata: &Metadata, settings: &effective::Service) -> Kind {
    let method = metadata.method.to_string();
    let listed = settings.non_idempotent_methods.iter().any(|listed| listed.to_string() == method);
    if metadata.marked || listed { Kind::NonIdempotent } else { Kind::Idempotent }
}

fn check_length(
    request: &Request,
    settings: &effective::Service,
    refusal: &Refusal<'_>,
) -> Result<(), Answer> {
    let max = settings.body_size_max;
    let length = request.len().and_then(|length| u64::try_from(length).ok()).unwrap_or_default();
    if length <= max.get() {
        return Ok(());
    }
    Err(refusal.not_run(Code::BodyTooLong, &format!("the service accepts bodies of up to {max}")))
}

/// Returns a hash of the parts that must be equal in every repetition of a request with a key.
fn fingerprint(request: &Request) -> u64 {
    let text =
        format!("{} {} {}", request.method(), request.url().path(), request.len().unwrap_or(0));
    rapidhash::v3::rapidhash_v3(text.as_bytes())
}

/// Returns the answer to a request whose key is held by another request.
fn key_in_use(metadata: &Metadata, claim: &Claim, held: &Claim) -> Answer {
    let request = held.request.clone();
    if claim.fingerprint != held.fingerprint {
        let help = "the key was used for another request; use a new key".to_owned();
        let request = metadata.request.clone();
        return Answer { code: Code::KeyInUse, outcome: Outcome::NotRun, request, help };
    }
    match held.status {
        Some(status) => {
            let help = format!("the request already ran and was answered with status {status}");
            Answer { code: Code::KeyInUse, outcome: Outcome::Recorded, request, help }
        }
        None => {
            let help = "the request was already sent and its outcome is not recorded".to_owned();
            Answer { code: Code::KeyInUse, outcome: Outcome::Unknown, request, help }
        }
    }
}

fn outcome_unknown(metadata: &Metadata, kind: Kind) -> Answer {
    let help = match kind {
        Kind::Idempotent => "the upstream failed; the request may be repeated",
        Kind::NonIdempotent => {
            "the upstream failed after the request was sent; query the recorded outcome of its \
             key before repeating the request with a new key"
        }
    };
    Answer {
        code: Code::UpstreamFailed,
        outcome: Outcome::Unknown,
        request: metadata.request.clone(),
        help: help.to_owned(),
    }
}

/// Builder of answers that report a request as not run.
struct Refusal<'a> {
    request: &'a id::Request,
}

impl Refusal<'_> {
    fn not_run(&self, code: Code, help: &str) -> Answer {
        let request = self.request.clone();
        Answer { code, outcome: Outcome::NotRun, request, help: help.to_owned() }
    }
}
