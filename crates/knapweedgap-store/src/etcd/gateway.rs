//! [`Store`] implementation over one or more gateway endpoints.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response, Url};
use knapweedgap_core::revision::Revision;
use knapweedgap_http::client::{self, Busy, Failure};
use knapweedgap_http::{Error as HttpError, Limit, json};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use crate::error::NOT_FOUND;
use crate::etcd::codec::{self, Message};
use crate::etcd::stream::{self, Reader};
use crate::{Error, Key, Outcome, Page, Store, Txn, Watch, key, lease};

/// Default timeout of one call to one endpoint.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Default time without received bytes after which a watch counts as stalled. By default etcd sends
/// progress notifications only every few minutes, so an idle watch is reopened at this interval,
/// at the cost of one call.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum length of the body of an error response to a watch request, in bytes.
const FAILURE_LEN_MAX: usize = 64 * 1024;

/// gRPC code `UNAVAILABLE`; sent, among others, by a member without a leader or one that is
/// stopping.
const CODE_UNAVAILABLE: u32 = 14;

/// Messages with code 14 that the service sends before it proposes a write. After other messages
/// with this code, such as a timeout, the write may still be applied.
const NOT_PROPOSED: [&str; 3] =
    ["etcdserver: no leader", "etcdserver: server stopped", "etcdserver: not capable"];

/// Whether a call that got no answer may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeat {
    /// The call is read-only or idempotent.
    Safe,
    /// A repeated call may be applied twice.
    Unsafe,
}

/// One kind of call.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    path: &'static str,
    repeat: Repeat,
    /// Whether the call changes state, so that a lost answer leaves its outcome unknown.
    writes: bool,
}

const RANGE: Kind =
    Kind { name: "range", path: "/v3/kv/range", repeat: Repeat::Safe, writes: false };
const TXN: Kind = Kind { name: "txn", path: "/v3/kv/txn", repeat: Repeat::Unsafe, writes: true };
const GRANT: Kind =
    Kind { name: "grant", path: "/v3/lease/grant", repeat: Repeat::Unsafe, writes: true };
const KEEP_ALIVE: Kind =
    Kind { name: "keep_alive", path: "/v3/lease/keepalive", repeat: Repeat::Safe, writes: true };
const REVOKE: Kind =
    Kind { name: "revoke", path: "/v3/lease/revoke", repeat: Repeat::Safe, writes: true };
const WATCH: Kind = Kind { name: "watch", path: "/v3/watch", repeat: Repeat::Safe, writes: false };

/// Created watch, and the revision of the service when it was created.
struct Opened {
    reader: Reader<Response>,
    connection: Busy,
    revision: Revision,
}

/// Client of one etcd cluster over its JSON gateways. Used by a single thread.
#[derive(Debug)]
pub struct Gateway {
    callers: Vec<json::Caller>,
    /// Index of the endpoint that answered the last successful call.
    current: Cell<usize>,
    call_timeout: Duration,
    stall_timeout: Duration,
}

/// Builder of [`Gateway`].
#[derive(Debug)]
pub struct Builder {
    endpoints: Vec<SocketAddr>,
    call_timeout: Duration,
    stall_timeout: Duration,
}

impl Builder {
    /// Adds an endpoint. Endpoints are tried in the order they were added, starting with the one
    /// that answered the last successful call.
    pub fn endpoint(mut self, address: SocketAddr) -> Builder {
        self.endpoints.push(address);
        self
    }

    /// Sets the timeout of one call to one endpoint; 2 s by default.
    pub fn call_timeout(mut self, timeout: Duration) -> Builder {
        self.call_timeout = timeout;
        self
    }

    /// Sets the time without received bytes after which a watch ends; 30 s by default.
    pub fn stall_timeout(mut self, timeout: Duration) -> Builder {
        self.stall_timeout = timeout;
        self
    }

    /// Creates the gateway. Without an endpoint every call fails with [`Error::Unavailable`].
    pub fn build(self) -> Gateway {
        let callers = self.endpoints.iter();
        let callers = callers.map(|address| json::Caller::new(*address, self.call_timeout));
        Gateway {
            callers: callers.collect(),
            current: Cell::new(0),
            call_timeout: self.call_timeout,
            stall_timeout: self.stall_timeout,
        }
    }
}

impl Gateway {
    /// Creates a builder with default timeouts and no endpoint.
    pub fn builder() -> Builder {
        Builder { endpoints: Vec::new(), call_timeout: CALL_TIMEOUT, stall_timeout: STALL_TIMEOUT }
    }

    /// Calls the endpoints in turn until one answers or repeating the call is unsafe.
    async fn call(&self, kind: Kind, body: &Value) -> Result<Vec<u8>, Error> {
        let mut last = no_endpoint();
        let mut unknown = None;
        for index in self.endpoint_order() {
            match self.call_one(index, kind, body).await {
                Ok(answer) => {
                    self.current.set(index);
                    return Ok(answer);
                }
                Err(error @ Error::Unavailable(_)) => last = error,
                Err(error @ Error::Unknown(_)) if kind.repeat == Repeat::Safe => {
                    unknown = Some(error);
                }
                Err(error) => return Err(error),
            }
        }
        // An unavailable endpoint does not resolve the unknown outcome at an earlier one.
        Err(unknown.unwrap_or(last))
    }

    fn endpoint_order(&self) -> impl Iterator<Item = usize> {
        let (start, count) = (self.current.get(), self.callers.len());
        (0..count).map(move |offset| (start + offset) % count)
    }

    async fn call_one(&self, index: usize, kind: Kind, body: &Value) -> Result<Vec<u8>, Error> {
        let bytes = body.to_string().into_bytes();
        count_call(kind, bytes.len());
        let answer = self.callers[index].call(Method::Post, kind.path, Some(bytes)).await;
        let answer = answer.map_err(|failure| classify_failure(kind, &failure))?;
        super::count_received(kind.name, answer.body.len());
        if answer.status == 200 {
            return Ok(answer.body);
        }
        Err(classify_status(kind, answer.status, &answer.body))
    }

    async fn open_watch(&self, index: usize, body: &Value) -> Result<Opened, Error> {
        let open = async {
            let address = self.callers[index].address();
            // The reader detects stalls itself, so the timeout of the connection must be longer.
            let limit = Limit::builder().progress_timeout(self.stall_timeout * 2).build();
            let unavailable = |text: String| Error::Unavailable(text.into());
            let connection = client::connect(address, self.call_timeout, limit).await;
            let connection = connection.map_err(|error| unavailable(error.to_string()))?;
            let url = Url::parse(&format!("http://{address}{}", WATCH.path));
            let url = url.map_err(|error| unavailable(error.to_string()))?;
            let mut request = Request::new(Method::Post, url);
            let bytes = body.to_string();
            count_call(WATCH, bytes.len());
            request.set_body(bytes);
            request.insert_header("content-type", "application/json");
            let sent = connection.send(request, self.call_timeout).await;
            let (mut response, busy) = sent.map_err(|failure| classify_failure(WATCH, &failure))?;
            if response.status() != 200 {
                let failure = json::read_body(&mut response, FAILURE_LEN_MAX).await;
                let failure = failure.unwrap_or_default();
                return Err(classify_status(WATCH, response.status().into(), &failure));
            }
            let mut reader = Reader::new(response, self.stall_timeout);
            match reader.next().await? {
                Message::Created(revision) => Ok(Opened { reader, connection: busy, revision }),
                Message::Batch(_) => Err(Error::invalid("result.created", "missing")),
            }
        };
        let timeout = async {
            Timer::after(self.call_timeout).await;
            Err(Error::Unavailable(format_smolstr!(
                "watch not created within {:?}",
                self.call_timeout
            )))
        };
        open.or(timeout).await
    }
}

impl Store for Gateway {
    async fn range(&self, range: key::Range) -> Result<Page, Error> {
        let answer = self.call(RANGE, &codec::encode_range(&range)).await?;
        codec::decode_page(&answer)
    }

    async fn commit(&self, txn: Txn) -> Result<Outcome, Error> {
        let answer = self.call(TXN, &codec::encode_txn(&txn)).await?;
        codec::decode_outcome(&answer)
    }

    async fn grant(&self, ttl: Duration) -> Result<lease::Id, Error> {
        let answer = self.call(GRANT, &codec::encode_grant(ttl)).await?;
        codec::decode_grant(&answer)
    }

    async fn keep_alive(&self, lease: lease::Id) -> Result<Duration, Error> {
        let answer = self.call(KEEP_ALIVE, &codec::encode_lease(lease)).await?;
        let remaining = codec::decode_renewal(&answer)?;
        if remaining.is_zero() {
            let message = format_smolstr!("lease {lease} has ended");
            return Err(Error::Refused { code: NOT_FOUND, message });
        }
        Ok(remaining)
    }

    async fn revoke(&self, lease: lease::Id) -> Result<(), Error> {
        self.call(REVOKE, &codec::encode_lease(lease)).await.map(drop)
    }

    async fn watch(&self, prefix: Key, from: Revision) -> Result<Watch, Error> {
        let body = codec::encode_watch(&prefix, from);
        let mut last = no_endpoint();
        for index in self.endpoint_order() {
            match self.open_watch(index, &body).await {
                Ok(opened) => {
                    self.current.set(index);
                    let now = Revision::new(opened.revision.get().saturating_add(1));
                    let start = if from.get() == 0 { now } else { from };
                    let batches = stream::batches(opened.reader, opened.connection);
                    return Ok(Watch::new(start, batches));
                }
                Err(error @ Error::Unavailable(_)) => last = error,
                Err(error) => return Err(error),
            }
        }
        Err(last)
    }
}

fn no_endpoint() -> Error {
    Error::Unavailable("no endpoint is configured".into())
}

fn classify_failure(kind: Kind, failure: &Failure) -> Error {
    let text = format_smolstr!("{}: {}", kind.name, failure.error);
    let answered = matches!(failure.error, HttpError::BodyTooLong(_) | HttpError::Malformed(_));
    if answered && failure.sent > 0 {
        return Error::invalid(kind.name, text);
    }
    unanswered(kind, failure.sent > 0, text)
}

/// Returns the error of a call without a valid answer. `may_be_received` tells whether the service
/// may have received and executed the call.
fn unanswered(kind: Kind, may_be_received: bool, text: SmolStr) -> Error {
    if kind.writes && may_be_received { Error::Unknown(text) } else { Error::Unavailable(text) }
}

fn classify_status(kind: Kind, status: u16, body: &[u8]) -> Error {
    let (code, message) = codec::decode_failure(body);
    let text = format_smolstr!("{}: status {status}: {message}", kind.name);
    match status {
        // Too Many Requests: the service rejects the call before it proposes a write.
        429 => Error::Unavailable(text),
        400..=499 => Error::Refused { code: code.unwrap_or_default(), message },
        _ => {
            let not_proposed = code == Some(CODE_UNAVAILABLE)
                && NOT_PROPOSED.iter().any(|known| message == *known);
            unanswered(kind, !not_proposed, text)
        }
    }
}

fn count_call(kind: Kind, bytes: usize) {
    metrics::counter!("knapweedgap_store_calls_total", "kind" => kind.name).increment(1);
    let sent = metrics::counter!("knapweedgap_store_sent_bytes_total", "kind" => kind.name);
    sent.increment(bytes as u64);
}
