//! Sending side of a link: queued frames and calls to the peer.

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
use crate::queue::{Class, Push, Queue};
use crate::wire::{Body, Call, Events, Forward, Pong, Reply};

/// Reason why a frame was not queued.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The send queue or the table of pending calls is full.
    #[display("link: the send queue is full: retry later")]
    Full,
    /// The link is closing or closed.
    #[display("link: closed: open a new link")]
    Closed,
    /// The frame cannot be encoded.
    #[display("link: {_0}")]
    Frame(codec::Error),
    /// Only the link itself sends this kind of body.
    #[display("link: only the link itself sends a {kind} body")]
    Kind {
        /// Kind of body, as written in the frame.
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
    /// No reply was received within the timeout. The peer may have executed the call.
    #[display("no reply to the call within its timeout")]
    Timeout,
    /// The link closed before a reply was received. The peer may have executed the call.
    #[display("link closed before the reply")]
    Closed,
}

impl Failure {
    /// Returns `true` if the peer has certainly not executed the call.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Failure::Refused(_))
    }
}

/// Channel that delivers the reply to a [`Sender::forward`] or [`Sender::query`].
type Waiter = async_channel::Sender<Body>;

#[derive(Debug)]
struct Pending {
    is_query: bool,
    waiter: Waiter,
}

/// State that a link shares with its sending handles.
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

/// Handle that queues frames for a link. All clones refer to the same link.
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
    /// Returns `true` if both handles refer to the same link.
    pub fn is_same(&self, other: &Sender) -> bool {
        Rc::ptr_eq(&self.shared, &other.shared)
    }

    /// Queues a frame. A ping or settings frame replaces a queued one of the same kind.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Kind`] for a hello or a pong, [`Refusal::Full`] if the queue is full,
    /// [`Refusal::Closed`] if the link is closing, and [`Refusal::Frame`] if the frame cannot be
    /// encoded.
    pub fn send(&self, body: Body) -> Result<(), Refusal> {
        match body {
            Body::Hello(_) | Body::Pong(_) => Err(Refusal::Kind { kind: body.name() }),
            body => self.shared.push(body),
        }
    }

    /// Sends an operator call to the peer and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Refused`] if the call was not sent, [`Failure::Timeout`] if no reply was
    /// received within `timeout`, and [`Failure::Closed`] if the link closed first. A later reply
    /// is dropped.
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

    /// Queries events of the peer and returns its reply, an [`Events::List`].
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Sender::forward`].
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
        let (waiter, reply) = async_channel::bounded(1);
        let _guard = Guard { shared, call };
        shared.calls.borrow_mut().insert(call, Pending { is_query, waiter });
        shared.push(build(call)).map_err(Failure::Refused)?;
        let receive = async { reply.recv().await.map_err(|_| Failure::Closed) };
        let expire = async {
            Timer::after(timeout).await;
            Err(Failure::Timeout)
        };
        receive.or(expire).await
    }
}

/// Removes a pending call when its caller stops waiting.
struct Guard<'a> {
    shared: &'a Shared,
    call: Call,
}

impl Drop for Guard<'_> {
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
        let class = match &body {
            Body::Ping(_) => Class::Ping,
            Body::Pong(_) => Class::Pong,
            Body::Settings(_) => Class::Settings,
            _ => Class::Ordered,
        };
        let frame = codec::encode(&self.identity.frame(body)).map_err(Refusal::Frame)?;
        let push = self.queue.borrow_mut().push(class, frame);
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

    pub(crate) fn send_pong(&self, sent_us: u64) {
        // A closing link sends no pong, and a newer pong replaces a queued one.
        let _ = self.push(Body::Pong(Pong { sent_us }));
    }

    /// Waits for the next frame to write. Returns `None` when the link is closing and the queue is
    /// empty.
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

    /// Delivers a reply to its caller. Returns `false` if no caller waits for it.
    pub(crate) fn deliver_reply(&self, call: Call, body: Body) -> bool {
        let is_list = matches!(body, Body::Events(_));
        let mut calls = self.calls.borrow_mut();
        if calls.get(&call).is_none_or(|pending| pending.is_query != is_list) {
            return false;
        }
        let pending = calls.remove(&call);
        pending.is_some_and(|pending| pending.waiter.try_send(body).is_ok())
    }

    /// Ends the writer after the queued frames.
    pub(crate) fn finish(&self) {
        self.closing.set(true);
        self.waker.wake();
    }

    /// Refuses further frames and ends all pending calls.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.calls.borrow_mut().clear();
    }
}
