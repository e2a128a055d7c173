//! In-memory key-value service with the JSON interface of the etcd v3 gateway.

mod decode;
mod encode;
mod fault;
mod feed;
mod state;

use std::cell::RefCell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Method, Request, Response};
use knapweedgap_http::json;
use knapweedgap_store::error::NOT_FOUND;
use knapweedgap_store::{Error, Outcome};
use serde_json::Value;

pub use fault::{Change, Fault};
pub use state::{Count, Stats};

use crate::serve::{self, Reply};
use state::State;

/// Interval at which leases are expired and watches are checked for due progress reports.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Longest request body, in bytes.
const BODY_MAX: usize = 16 * 1024 * 1024;

/// Stand-in for the key-value service. Clones share its content.
#[derive(Debug, Clone, Default)]
pub struct Service {
    state: Rc<RefCell<State>>,
}

impl Service {
    /// Creates an empty service without faults.
    pub fn new() -> Service {
        Service::default()
    }

    /// Serves connections until the future is dropped. The content remains.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the listener can't be set to non-blocking mode.
    pub async fn run(self, listener: TcpListener) -> std::io::Result<()> {
        let service = self.clone();
        let endpoint = move |request| {
            let service = service.clone();
            async move { service.reply(request).await }
        };
        serve::run(listener, endpoint).or(self.tick()).await
    }

    /// Changes the injected faults and returns the active faults.
    pub fn inject(&self, change: &Change) -> Fault {
        self.state.borrow_mut().inject(change)
    }

    /// Returns the call counts since the start.
    pub fn stats(&self) -> Stats {
        self.state.borrow_mut().stats()
    }

    async fn tick(&self) -> std::io::Result<()> {
        loop {
            Timer::after(TICK_INTERVAL).await;
            self.state.borrow_mut().tick(Instant::now());
        }
    }

    async fn reply(&self, mut request: Request) -> Reply {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Post, "/control") => match serve::body(&mut request).await {
                Ok(change) => Reply::json(200, &self.inject(&change)),
                Err(reply) => reply,
            },
            (Method::Get, "/control/stats") => Reply::json(200, &self.stats()),
            (Method::Post, path) => match Kind::from_path(path) {
                Some(kind) => self.call(kind, request).await,
                None => Reply::error(404, "no_such_path", "see the paths of the v3 gateway"),
            },
            _ => Reply::error(405, "no_such_method", "use POST"),
        }
    }

    async fn call(&self, kind: Kind, mut request: Request) -> Reply {
        let body = match json::read_body(&mut request, BODY_MAX).await {
            Ok(body) => body,
            Err(error) => return error_reply(&decode::invalid(&error.to_string())),
        };
        self.state.borrow_mut().count_received(kind, body.len());
        self.wait_stall().await;
        let fault = self.state.borrow().fault().clone();
        if fault.outage {
            return error_reply(&Error::Unavailable("etcdserver: no leader".into()));
        }
        Timer::after(fault.delay() / 2).await;
        let answer = serde_json::from_slice(&body);
        let answer = answer.map_err(|error| decode::invalid(&error.to_string()));
        let answer = answer.and_then(|body| self.answer(kind, &body));
        Timer::after(fault.delay() / 2).await;
        self.wait_stall().await;
        if kind != Kind::Watch && fastrand::f64() < fault.lose_answers {
            return Reply::Close;
        }
        match answer {
            Ok(Answer::Value(value)) => self.send_answer(kind, &value),
            Ok(Answer::Stream(feed)) => Reply::Answer(Box::new(stream(feed))),
            Err(error) => error_reply(&error),
        }
    }

    fn answer(&self, kind: Kind, body: &Value) -> Result<Answer, Error> {
        let mut state = self.state.borrow_mut();
        state.tick(Instant::now());
        let value = match kind {
            Kind::Range => encode::page(&state.table().range(&decode::range(body)?)),
            Kind::Txn => {
                let (txn, on_failure) = decode::txn(body)?;
                let succeeded = state.table().commit(&txn)? != Outcome::Failed;
                if !succeeded {
                    state.table().commit(&on_failure)?;
                }
                encode::outcome(succeeded, state.table().revision())
            }
            Kind::Grant => {
                let ttl = decode::ttl(body)?;
                let id = state.table().grant(ttl, Instant::now());
                encode::grant(id, ttl, state.table().revision())
            }
            Kind::KeepAlive => {
                let id = decode::lease(body)?;
                let remaining = state.table().keep_alive(id, Instant::now()).unwrap_or_default();
                encode::renewal(id, remaining, state.table().revision())
            }
            Kind::Revoke => {
                state.table().revoke(decode::lease(body)?)?;
                encode::header(state.table().revision())
            }
            Kind::Watch => {
                let (prefix, from) = decode::watch(body)?;
                return Ok(Answer::Stream(state.watch(prefix, from)));
            }
        };
        state.send_changes();
        Ok(Answer::Value(value))
    }

    fn send_answer(&self, kind: Kind, value: &Value) -> Reply {
        let response = json::response(200, value);
        self.state.borrow_mut().count_sent(kind, response.len().unwrap_or_default());
        Reply::Answer(Box::new(response))
    }

    async fn wait_stall(&self) {
        loop {
            let changed = {
                let state = self.state.borrow();
                if !state.fault().stall {
                    return;
                }
                state.changed()
            };
            changed.await;
        }
    }
}

enum Answer {
    Value(Value),
    Stream(feed::Feed),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    Range,
    Txn,
    Grant,
    KeepAlive,
    Revoke,
    Watch,
}

impl Kind {
    fn from_path(path: &str) -> Option<Kind> {
        match path {
            "/v3/kv/range" => Some(Kind::Range),
            "/v3/kv/txn" => Some(Kind::Txn),
            "/v3/lease/grant" => Some(Kind::Grant),
            "/v3/lease/keepalive" => Some(Kind::KeepAlive),
            "/v3/lease/revoke" => Some(Kind::Revoke),
            "/v3/watch" => Some(Kind::Watch),
            _ => None,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Kind::Range => "range",
            Kind::Txn => "txn",
            Kind::Grant => "grant",
            Kind::KeepAlive => "keep_alive",
            Kind::Revoke => "revoke",
            Kind::Watch => "watch",
        }
    }
}

fn stream(feed: feed::Feed) -> Response {
    let mut response = Response::new(200);
    response.set_body(feed.body());
    response.insert_header("content-type", "application/json");
    response
}

fn error_reply(error: &Error) -> Reply {
    let (status, code, message) = match error {
        Error::Refused { code, message } if *code == NOT_FOUND => (404, *code, message.clone()),
        Error::Refused { code, message } => (400, *code, message.clone()),
        Error::Unavailable(message) => (503, 14, message.clone()),
        other => (500, 2, other.to_string().into()),
    };
    let body = serde_json::json!({ "error": message, "message": message, "code": code });
    Reply::json(status, &body)
}
