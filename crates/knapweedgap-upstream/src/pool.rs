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

use crate::connection::{Busy, Connection, Idle, Permit};
use crate::error::Error;
use crate::forward::{self, Envelope};
use crate::load;

/// Age from which an idle connection is not used for non-idempotent requests. A server may close an
/// idle connection while a request is being written, and the outcome is then unknown.
const FRESH_AGE: Duration = Duration::from_secs(1);

/// Age from which an idle connection is not reused. Common servers close a connection after 60 s.
const IDLE_AGE: Duration = Duration::from_secs(30);

/// Timeout of opening a connection. The round trip between zones is a few milliseconds, so after
/// one retransmission of the first packet (1 s) another upstream is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest body of a refusal that is read to keep the connection reusable, in bytes.
const REFUSAL_LEN_MAX: usize = 16 * 1024;
/// Timeout of reading the body of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Pool of connections to one upstream, used by one thread.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    connections_max: size::Connection,
    limit: Limit,
    open: Rc<Cell<u32>>,
    /// Idle connections, the oldest first. The youngest is reused first.
    idle: RefCell<Vec<Connection<Idle>>>,
}

/// Exchange whose response body is still being streamed.
#[derive(Debug)]
pub struct Exchange {
    /// Head of the response, and a body that reads from the connection.
    pub response: Response,
    /// Load that the upstream reported; `None` if it was missing or invalid.
    pub slots_in_use: Option<size::Slot>,
    /// Connection to pass to [`Pool::recycle`].
    pub connection: Connection<Busy>,
}

impl Pool {
    /// Creates a pool of at most `connections_max` connections.
    pub fn new(address: SocketAddr, connections_max: size::Connection, limit: Limit) -> Pool {
        let open = Rc::new(Cell::new(0));
        Pool { address, connections_max, limit, open, idle: RefCell::new(Vec::new()) }
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections, including idle ones.
    pub fn open(&self) -> size::Connection {
        size::Connection::new(self.open.get())
    }

    /// Forwards a request and returns when the head of its response is read.
    ///
    /// Dropping the future closes the connection of the request.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] whose variant shows whether the request may have run.
    pub async fn forward(&self, request: Request, envelope: &Envelope) -> Result<Exchange, Error> {
        let deadline = Instant::now() + envelope.time_left;
        let request = forward::request(request, envelope, self.address).map_err(Error::NotSent)?;
        let connection = self.connection(envelope).await?;
        let response_timeout = deadline.saturating_duration_since(Instant::now());
        if response_timeout.is_zero() {
            self.store_idle(connection);
            let limit = envelope.time_left;
            return Err(Error::NotSent(http::Error::Timeout { what: "connection", limit }));
        }
        let (mut response, connection) = connection.send(request, response_timeout).await?;
        let slots_in_use = load::slots_in_use(&response);
        if load::is_refusal(&response) {
            self.drain_refusal(response, connection).await;
            return Err(Error::Refused { slots_in_use });
        }
        forward::response(&mut response);
        Ok(Exchange { response, slots_in_use, connection })
    }

    /// Waits until the body of the response is read completely or dropped, and keeps the connection
    /// if it can be reused.
    pub async fn recycle(&self, connection: Connection<Busy>) {
        if let Some(connection) = connection.finish().await {
            self.store_idle(connection);
        }
    }

    /// Closes the idle connections, for an upstream that is being removed.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections that are stale or too old to be reused.
    pub fn sweep(&self) {
        let usable =
            |connection: &Connection<Idle>| connection.age() < IDLE_AGE && !connection.is_stale();
        self.idle.borrow_mut().retain(usable);
    }

    async fn connection(&self, envelope: &Envelope) -> Result<Connection<Idle>, Error> {
        let age_max = if envelope.non_idempotent { FRESH_AGE } else { IDLE_AGE };
        if let Some(connection) = self.reuse(age_max) {
            return Ok(connection);
        }
        let permit = self.permit().ok_or(Error::Full(self.connections_max))?;
        let timeout = CONNECT_TIMEOUT.min(envelope.time_left);
        let opened = Connection::open(self.address, timeout, self.limit.clone(), permit).await;
        opened.map_err(Error::NotSent)
    }

    fn reuse(&self, age_max: Duration) -> Option<Connection<Idle>> {
        self.sweep();
        let mut idle = self.idle.borrow_mut();
        let is_fresh = idle.last().is_some_and(|connection| connection.age() < age_max);
        if is_fresh { idle.pop() } else { None }
    }

    /// Acquires a permit. If none is free, closes the oldest idle connection to release one.
    fn permit(&self) -> Option<Permit> {
        let connections_max = self.connections_max.get();
        if let Some(permit) = Permit::acquire(&self.open, connections_max) {
            return Some(permit);
        }
        let mut idle = self.idle.borrow_mut();
        if idle.is_empty() {
            return None;
        }
        drop(idle.remove(0));
        Permit::acquire(&self.open, connections_max)
    }

    fn store_idle(&self, connection: Connection<Idle>) {
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
        let expire = async {
            Timer::after(REFUSAL_TIMEOUT).await;
        };
        drain.or(expire).await;
    }
}
