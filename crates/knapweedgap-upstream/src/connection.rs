//! Life cycle of one connection: idle, busy, and idle again or closed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_types::{Request, Response};
use knapweedgap_http::{self as http, Limit, client};

/// Place among the allowed connections. Dropping it frees the place.
#[derive(Debug)]
pub(crate) struct Place {
    open: Rc<Cell<u32>>,
}

impl Place {
    /// Takes a place unless `max` are taken.
    pub(crate) fn take(open: &Rc<Cell<u32>>, max: u32) -> Option<Place> {
        let count = open.get();
        if count >= max {
            return None;
        }
        open.set(count + 1);
        Some(Place { open: open.clone() })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

/// State without an exchange in progress.
#[derive(Debug)]
pub struct Idle {
    inner: client::Idle,
    since: Instant,
}

/// State in which the answer is being read.
#[derive(Debug)]
pub struct Busy {
    inner: client::Busy,
}

/// Connection to an upstream. Dropping it closes it.
#[derive(Debug)]
pub struct Connection<State> {
    // Declared before the place, so that the socket closes before its place is free.
    state: State,
    place: Place,
}

impl Connection<Idle> {
    pub(crate) async fn open(
        address: SocketAddr,
        timeout: Duration,
        limit: Limit,
        place: Place,
    ) -> Result<Connection<Idle>, http::Error> {
        let inner = client::connect(address, timeout, limit).await?;
        Ok(Connection { state: Idle { inner, since: Instant::now() }, place })
    }

    /// Tells whether the upstream closed the connection or sent bytes that nobody asked for.
    pub fn is_stale(&self) -> bool {
        self.state.inner.is_stale()
    }

    /// Returns the time since the connection was opened or its last exchange ended.
    pub fn age(&self) -> Duration {
        self.state.since.elapsed()
    }

    /// Sends a request and reads the head of the answer.
    ///
    /// # Errors
    ///
    /// [`client::Failure`]; the connection is closed.
    pub async fn send(
        self,
        request: Request,
        answer_time: Duration,
    ) -> Result<(Response, Connection<Busy>), client::Failure> {
        let (response, inner) = self.state.inner.send(request, answer_time).await?;
        Ok((response, Connection { state: Busy { inner }, place: self.place }))
    }
}

impl Connection<Busy> {
    /// Waits until the body of the answer was read whole or dropped; returns the connection when
    /// it can carry another exchange.
    pub async fn finish(self) -> Option<Connection<Idle>> {
        let inner = self.state.inner.finish().await?;
        Some(Connection { state: Idle { inner, since: Instant::now() }, place: self.place })
    }
}
