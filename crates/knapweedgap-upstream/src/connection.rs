//! Life cycle of one connection as a typestate: idle, busy, then idle again or closed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http_types::{Request, Response};
use knapweedgap_http::{self as http, Limit, client};

/// Permit for one open connection. Dropping it releases it.
#[derive(Debug)]
pub(crate) struct Permit {
    open: Rc<Cell<u32>>,
}

impl Permit {
    /// Acquires a permit. Returns `None` if `max` permits are in use.
    pub(crate) fn acquire(open: &Rc<Cell<u32>>, max: u32) -> Option<Permit> {
        let count = open.get();
        if count >= max {
            return None;
        }
        open.set(count + 1);
        Some(Permit { open: open.clone() })
    }
}

impl Drop for Permit {
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

/// State in which the response is being read.
#[derive(Debug)]
pub struct Busy {
    inner: client::Busy,
}

/// Connection to an upstream. Dropping it closes it.
#[derive(Debug)]
pub struct Connection<State> {
    // Declared before the permit, so that the socket is closed before the permit is released.
    state: State,
    permit: Permit,
}

impl Connection<Idle> {
    pub(crate) async fn open(
        address: SocketAddr,
        timeout: Duration,
        limit: Limit,
        permit: Permit,
    ) -> Result<Connection<Idle>, http::Error> {
        let inner = client::connect(address, timeout, limit).await?;
        Ok(Connection { state: Idle { inner, since: Instant::now() }, permit })
    }

    /// Returns `true` if the upstream closed the connection or sent bytes without a request.
    pub fn is_stale(&self) -> bool {
        self.state.inner.is_stale()
    }

    /// Returns the time since the connection was opened or since its last exchange ended.
    pub fn age(&self) -> Duration {
        self.state.since.elapsed()
    }

    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`client::Failure`] if the request could not be sent or no valid head arrived within
    /// `response_timeout`. The connection is closed.
    pub async fn send(
        self,
        request: Request,
        response_timeout: Duration,
    ) -> Result<(Response, Connection<Busy>), client::Failure> {
        let (response, inner) = self.state.inner.send(request, response_timeout).await?;
        Ok((response, Connection { state: Busy { inner }, permit: self.permit }))
    }
}

impl Connection<Busy> {
    /// Waits until the body of the response is read completely or dropped. Returns the connection
    /// if it can be reused.
    pub async fn finish(self) -> Option<Connection<Idle>> {
        let inner = self.state.inner.finish().await?;
        Some(Connection { state: Idle { inner, since: Instant::now() }, permit: self.permit })
    }
}
