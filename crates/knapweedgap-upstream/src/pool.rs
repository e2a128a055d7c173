//! Connections of one traffic thread to one upstream.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::{Request, Response};
use knapweedgap_core::size;
use knapweedgap_http::{self as http, Limit, json};

use crate::connection::{Busy, Connection, Idle, Place};
use crate::error::Error;
use crate::forward::{self, Envelope};
use crate::load;

/// Age from which an idle connection carries no non-idempotent request. A server may close an
/// idle connection while the request is being written, and the outcome is then unknown.
const FRESH_TIME: Duration = Duration::from_secs(1);

/// Age from which an idle connection is not reused; shorter than the 60 s after which common
/// servers close it.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Longest time for opening a connection. Zones are a few milliseconds apart, so a connection
/// that takes longer than one retransmission of its first packet (1 s) is better tried elsewhere.
const CONNECT_TIME: Duration = Duration::from_millis(1500);

/// Longest body of a refusal that is read to keep the connection, in bytes.
const REFUSAL_LEN_MAX: usize = 16 * 1024;
/// Longest time for reading the body of a refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// Pool of one upstream.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    max: size::Connection,
    limit: Limit,
    open: Rc<Cell<u32>>,
    /// Oldest first; the youngest is reused first.
    idle: RefCell<Vec<Connection<Idle>>>,
}

/// Answer whose body is still being streamed.
#[derive(Debug)]
pub struct Exchange {
    /// Head, and a body that reads from the connection.
    pub response: Response,
    /// Load that the upstream reported.
    pub slots_in_use: Option<size::Slot>,
    /// Connection; pass it to [`Pool::recycle`].
    pub connection: Connection<Busy>,
}

impl Pool {
    /// Creates a pool of at most `max` connections.
    pub fn new(address: SocketAddr, max: size::Connection, limit: Limit) -> Pool {
        let open = Rc::new(Cell::new(0));
        Pool { address, max, limit, open, idle: RefCell::new(Vec::new()) }
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections, idle ones included.
    pub fn open(&self) -> size::Connection {
        size::Connection::new(self.open.get())
    }

    /// Forwards a request and returns the head of its answer.
    ///
    /// Dropping the future closes the connection of the request.
    ///
    /// # Errors
    ///
    /// [`Error`] tells whether the work may have run.
    pub async fn forward(&self, request: Request, envelope: &Envelope) -> Result<Exchange, Error> {
        let deadline = Instant::now() + envelope.time_left;
        let request = forward::request(request, envelope, self.address).map_err(Error::NotSent)?;
        let connection = self.connection(envelope).await?;
        let answer_time = deadline.saturating_duration_since(Instant::now());
        if answer_time.is_zero() {
            self.keep(connection);
            let limit = envelope.time_left;
            return Err(Error::NotSent(http::Error::Timeout { what: "connection", limit }));
        }
        let (mut response, connection) = connection.send(request, answer_time).await?;
        let slots_in_use = load::slots_in_use(&response);
        if load::is_refusal(&response) {
            self.drain_refusal(response, connection).await;
            return Err(Error::Refused { slots_in_use });
        }
        forward::response(&mut response);
        Ok(Exchange { response, slots_in_use, connection })
    }

    /// Waits until the body of the answer was read whole or dropped, and keeps the connection
    /// when it is clean.
    pub async fn recycle(&self, connection: Connection<Busy>) {
        if let Some(connection) = connection.finish().await {
            self.keep(connection);
        }
    }

    /// Closes the idle connections, for an upstream that is leaving.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections that the upstream closed or that are too old.
    pub fn sweep(&self) {
        let usable =
            |connection: &Connection<Idle>| connection.age() < IDLE_TIME && !connection.is_stale();
        self.idle.borrow_mut().retain(usable);
    }

    async fn connection(&self, envelope: &Envelope) -> Result<Connection<Idle>, Error> {
        let age_max = if envelope.non_idempotent { FRESH_TIME } else { IDLE_TIME };
        if let Some(connection) = self.reuse(age_max) {
            return Ok(connection);
        }
        let place = self.place().ok_or(Error::Full(self.max))?;
        let timeout = CONNECT_TIME.min(envelope.time_left);
        let opened = Connection::open(self.address, timeout, self.limit.clone(), place).await;
        opened.map_err(Error::NotSent)
    }

    fn reuse(&self, age_max: Duration) -> Option<Connection<Idle>> {
        self.sweep();
        let mut idle = self.idle.borrow_mut();
        let young = idle.last().is_some_and(|connection| connection.age() < age_max);
        if young { idle.pop() } else { None }
    }

    /// Takes a place, and closes the oldest idle connection when none is free.
    fn place(&self) -> Option<Place> {
        let max = self.max.get();
        if let Some(place) = Place::take(&self.open, max) {
            return Some(place);
        }
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return None;
        }
        drop(idle.remove(0));
        Place::take(&self.open, max)
    }

    fn keep(&self, connection: Connection<Idle>) {
        self.idle.borrow_mut().push(connection);
    }

    async fn drain_refusal(&self, mut response: Response, connection: Connection<Busy>) {
        let drain = async {
            let body = json::read_body(&mut response, REFUSAL_LEN_MAX).await;
            drop(response);
            if body.is_ok() {
                self.recycle(connection).await;
            }
        };
        let late = async {
            Timer::after(REFUSAL_TIME).await;
        };
        drain.or(late).await;
    }
}
