//! Calls with JSON bodies, for the peers that speak HTTP with JSON.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, Url};

use crate::Limit;
use crate::client::{self, Failure, Idle};
use crate::error::Error;

/// Idle connections kept for one address.
const IDLE_MAX: usize = 4;

/// Longest answer body, in bytes. The key-value service holds values up to a megabyte, which
/// base64 and the log of a partition make longer.
const BODY_MAX: usize = 16 * 1024 * 1024;

/// Answer of a call: the status and the whole body.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Body bytes.
    pub body: Vec<u8>,
}

/// Call with its headers and body.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Option<Vec<u8>>,
    timeout: Option<Duration>,
}

impl Call {
    /// Starts a call without headers or body.
    pub fn new(method: Method, path: impl Into<String>) -> Call {
        Call { method, path: path.into(), headers: Vec::new(), body: None, timeout: None }
    }

    /// Sets the JSON body.
    pub fn body(mut self, body: Vec<u8>) -> Call {
        self.body = Some(body);
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Call {
        self.headers.push((name, value.into()));
        self
    }

    /// Replaces the time limit of the caller for this call.
    pub fn timeout(mut self, timeout: Duration) -> Call {
        self.timeout = Some(timeout);
        self
    }
}

/// Caller of one address that keeps a few connections open. Used by one thread.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    timeout: Duration,
    connect_timeout: Duration,
    idle: RefCell<Vec<Idle>>,
}

impl Caller {
    /// Creates a caller whose calls take at most `timeout` each.
    pub fn new(address: SocketAddr, timeout: Duration) -> Caller {
        Caller { address, timeout, connect_timeout: timeout, idle: RefCell::new(Vec::new()) }
    }

    /// Sets the limit on opening a connection.
    pub fn connect_timeout(mut self, timeout: Duration) -> Caller {
        self.connect_timeout = timeout;
        self
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `body` to `path` and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Failure`] whose `sent` is 0 when the peer cannot have seen the call.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Answer, Failure> {
        let mut call = Call::new(method, path);
        call.body = body;
        self.send(call).await
    }

    /// Sends a call and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Failure`] whose `sent` is 0 when the peer cannot have seen the call.
    pub async fn send(&self, call: Call) -> Result<Answer, Failure> {
        let timeout = call.timeout.unwrap_or(self.timeout);
        let exchange = self.exchange(call, timeout);
        let late = async {
            Timer::after(timeout).await;
            let error = Error::Timeout { what: "answer", limit: timeout };
            Err(Failure { sent: u64::MAX, error })
        };
        exchange.or(late).await
    }

    async fn exchange(&self, call: Call, timeout: Duration) -> Result<Answer, Failure> {
        let unsent = |error| Failure { sent: 0, error };
        let request = self.request(call).map_err(unsent)?;
        let connection = self.connection().await.map_err(unsent)?;
        let (mut response, busy) = connection.send(request, timeout).await?;
        let status = u16::from(response.status());
        let body = read_body(&mut response, BODY_MAX).await;
        let body = body.map_err(|error| Failure { sent: u64::MAX, error })?;
        drop(response);
        if let Some(connection) = busy.finish().await {
            self.keep(connection);
        }
        Ok(Answer { status, body })
    }

    fn request(&self, call: Call) -> Result<Request, Error> {
        let url = Url::parse(&format!("http://{}{}", self.address, call.path));
        let url = url.map_err(|error| Error::Malformed(error.to_string()))?;
        let mut request = Request::new(call.method, url);
        if let Some(body) = call.body {
            request.set_body(body);
            request.insert_header("content-type", "application/json");
        }
        for (name, value) in call.headers {
            request.insert_header(name, value);
        }
        Ok(request)
    }

    async fn connection(&self) -> Result<Idle, Error> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let Some(idle) = idle else { break };
            if !idle.is_stale() {
                return Ok(idle);
            }
        }
        client::connect(self.address, self.connect_timeout, Limit::default()).await
    }

    fn keep(&self, connection: Idle) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_MAX {
            idle.push(connection);
        }
    }
}

/// Reads a whole body of at most `max` bytes.
///
/// # Errors
///
/// [`Error::BodyTooLong`] beyond `max`, [`Error::Io`] when the body ends early.
pub async fn read_body<Message>(message: &mut Message, max: usize) -> Result<Vec<u8>, Error>
where
    Message: AsyncRead + Unpin,
{
    let mut bytes = Vec::new();
    let limit = max as u64 + 1;
    message.take(limit).read_to_end(&mut bytes).await?;
    if bytes.len() > max {
        return Err(Error::BodyTooLong(max));
    }
    Ok(bytes)
}

/// Builds an answer with a JSON body.
pub fn response<Value>(status: u16, value: &Value) -> Response
where
    Value: serde::Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header("content-type", "application/json");
    response
}
