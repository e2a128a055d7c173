//! Sending side of a link.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

use async_io::Timer;
use derive_more::{Display, Error};
use futures_lite::FutureExt;
use futures_util::task::AtomicWaker;
use knapweedgap_timeline::Filter;

use crate::codec;
use crate::identity::{self, Identity};
use crate::limits::Limits;
use crate::queue::{Place, Push, Queue};
use crate::wire::{Body, Call, Events, Forward, Pong, Reply};

/// Refusal to send a frame. The frame was not sent.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// Too many frames wait for the connection.
    #[display("link: the send queue is full: retry later")]
    Full,
    /// The link is closed.
    #[display("link: closed: open a new link")]
    Closed,
    /// The frame cannot be encoded.
    #[display("link: {_0}")]
    Frame(codec::Error),
    /// The link sends this kind of body by itself.
    #[display("link: the body {kind} is sent by the link itself")]
    Kind {
        /// Name of the body.
        #[error(not(source))]
        kind: &'static str,
    },
}

/// Failure of a call to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Failure {
    /// The call was not sent.
    #[display("call not sent: {_0}")]
    Refused(Refusal),
    /// No answer came in time. The peer may have carried out the call.
    #[display("call without answer within its deadline")]
    Timeout,
    /// The link closed before an answer came. The peer may have carried out the call.
    #[display("link closed before the answer")]
    Closed,
}

impl Failure {
    /// Tells whether the peer has certainly not carried out the call.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Failure::Refused(_))
    }
}

/// Answer to a call of [`Sender::forward`] or [`Sender::query`].
type Answer = async_channel::Sender<Body>;

#[derive(Debug)]
struct Pending {
    is_query: bool,
    answer: Answer,
}

/// State that the sending handles and the link share.
pub(crate) struct Shared {
    pub(crate) identity: Rc<identity::Shared>,
    pub(crate) limits: Limits,
    pub(crate) opened_at: Instant,
    queue: RefCell<Queue>,
    waker: AtomicWaker,
    closing: Cell<bool>,
    closed: Cell<bool>,
    calls: RefCell<HashMap<Call, Pending>>,
    last_call: Cell<u64>,
}

/// Handle that queues frames for a link. Clones feed the same link.
#[derive(Clone)]
pub struct Sender {
    pub(crate) shared: Rc<Shared>,
}

impl std::fmt::Debug for Sender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sender").field("closed", &self.shared.closed).finish_non_exhaustive()
    }
}

impl Sender {
    /// Tells whether both handles feed the same link.
    pub fn is_same(&self, other: &Sender) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    /// Queues a frame. A ping or settings replace queued ones; other bodies are refused when the
    /// queue is full.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the frame was not queued.
    pub fn send(&self, body: Body) -> Result<(), Refusal> {
        match body {
            Body::Hello(_) | Body::Pong(_) => Err(Refusal::Kind { kind: body.name() }),
            body => self.shared.push(body),
        }
    }

    /// Sends an operator call to the peer and waits for the answer.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Refused`] when the call was not sent, else whether the deadline passed
    /// or the link closed first. An answer that comes later is dropped.
    pub async fn forward(
        &self,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Result<Reply, Failure> {
        let forward = |call| {
            Body::Forward(Forward {
                call,
                timeout_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
                method: method.into(),
                path: path.to_owned(),
                body: body.to_owned(),
            })
        };
        match self.call(forward, false, timeout).await? {
            Body::Reply(reply) => Ok(reply),
            _ => Err(Failure::Closed),
        }
    }

    /// Asks the peer for events and waits for the answer, an [`Events::List`].
    ///
    /// # Errors
    ///
    /// As [`Sender::forward`].
    pub async fn query(
        &self,
        filter: Filter,
        limit: u32,
        timeout: Duration,
    ) -> Result<Events, Failure> {
        let query = |call| Body::Events(Events::Query { call, filter, limit });
        match self.call(query, true, timeout).await? {
            Body::Events(events) => Ok(events),
            _ => Err(Failure::Closed),
        }
    }

    async fn call<Build>(
        &self,
        build: Build,
        is_query: bool,
        timeout: Duration,
    ) -> Result<Body, Failure>
    where
        Build: FnOnce(Call) -> Body,
    {
        let shared = &self.shared;
        if shared.calls.borrow().len() >= shared.limits.calls {
            return Err(Failure::Refused(Refusal::Full));
        }
        let call = Call::new(shared.last_call.get() + 1);
        shared.last_call.set(call.get());
        let (answer, answered) = async_channel::bounded(1);
        let _entry = Entry { shared, call };
        shared.calls.borrow_mut().insert(call, Pending { is_query, answer });
        shared.push(build(call)).map_err(Failure::Refused)?;
        let receive = async { answered.recv().await.map_err(|_| Failure::Closed) };
        let expire = async {
            Timer::after(timeout).await;
            Err(Failure::Timeout)
        };
        receive.or(expire).await
    }
}

/// Removes a call when its caller stops waiting.
struct Entry<'a> {
    shared: &'a Shared,
    call: Call,
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.shared.calls.borrow_mut().remove(&self.call);
    }
}

impl Shared {
    pub(crate) fn new(identity: &Identity) -> Shared {
        let limits = identity.limits;
        Shared {
            limits,
            opened_at: identity.shared.clock.now(),
            identity: Rc::clone(&identity.shared),
            queue: RefCell::new(Queue::new(limits.queue_len, limits.queue_bytes)),
            waker: AtomicWaker::new(),
            closing: Cell::new(false),
            closed: Cell::new(false),
            calls: RefCell::default(),
            last_call: Cell::new(0),
        }
    }

    /// Returns the time since the link opened, in microseconds.
    pub(crate) fn elapsed_us(&self) -> u64 {
        let elapsed = self.identity.clock.now().saturating_duration_since(self.opened_at);
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    }

    pub(crate) fn push(&self, mut body: Body) -> Result<(), Refusal> {
        if self.closed.get() || self.closing.get() {
            return Err(Refusal::Closed);
        }
        if let Body::Ping(ping) = &mut body {
            ping.sent_us = self.elapsed_us();
        }
        let place = match &body {
            Body::Ping(_) => Place::Ping,
            Body::Pong(_) => Place::Pong,
            Body::Settings(_) => Place::Settings,
            _ => Place::Order,
        };
        let frame = codec::encode(&self.identity.frame(body)).map_err(Refusal::Frame)?;
        let push = self.queue.borrow_mut().push(place, frame);
        match push {
            Push::Queued => {}
            Push::Replaced => self.identity.count(|counts| counts.replaced += 1),
            Push::Full => {
                self.identity.count(|counts| counts.refused += 1);
                return Err(Refusal::Full);
            }
        }
        self.waker.wake();
        Ok(())
    }

    pub(crate) fn answer_ping(&self, sent_us: u64) {
        // A link that closes needs no answer, and a waiting answer is replaced.
        let _ = self.push(Body::Pong(Pong { sent_us }));
    }

    /// Waits for the next frame to write. Returns `None` when the link is closing and all frames
    /// are written.
    pub(crate) async fn next_frame(&self) -> Option<Vec<u8>> {
        future::poll_fn(|context| {
            self.waker.register(context.waker());
            match self.queue.borrow_mut().pop() {
                Some(frame) => Poll::Ready(Some(frame)),
                None if self.closing.get() => Poll::Ready(None),
                None => Poll::Pending,
            }
        })
        .await
    }

    /// Hands an answer to its caller. Returns false when nobody waits for it.
    pub(crate) fn answer(&self, call: Call, body: Body) -> bool {
        let is_list = matches!(body, Body::Events(_));
        let mut calls = self.calls.borrow_mut();
        if calls.get(&call).is_none_or(|pending| pending.is_query != is_list) {
            return false;
        }
        let pending = calls.remove(&call);
        pending.is_some_and(|pending| pending.answer.try_send(body).is_ok())
    }

    /// Lets the writer end after the queued frames.
    pub(crate) fn finish(&self) {
        self.closing.set(true);
        self.waker.wake();
    }

    /// Refuses further frames and ends all calls.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.calls.borrow_mut().clear();
    }
}
