//! Calls with JSON bodies, for the peers that speak HTTP with JSON.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{AsyncRead, AsyncReadExt, FutureExt};
use http_types::{Method, Request, Response, Url};

use crate::Limit;
use crate::client::{self, Failure, Idle};
use crate::error::Error;

/// Largest number of idle connections to one address.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Largest response body, in bytes. The key-value service stores values of up to a megabyte. Base64
/// encoding makes them larger, and a response contains several values of a partition's log.
const BODY_LEN_MAX: usize = 16 * 1024 * 1024;

/// Largest part of a body that is read at once, in bytes.
const READ_LEN: usize = 16 * 1024;

/// Response to a call with its complete body.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Complete body; empty if the response has none.
    pub body: Vec<u8>,
}

/// Call with optional headers, body and timeout.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Option<Vec<u8>>,
    timeout: Option<Duration>,
    pause_timeout: Option<Duration>,
    send_timeout: Option<Duration>,
}

impl Call {
    /// Creates a call without headers or body.
    pub fn new(method: Method, path: impl Into<String>) -> Call {
        Call {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: None,
            timeout: None,
            pause_timeout: None,
            send_timeout: None,
        }
    }

    /// Sets the body, which is sent with the content type of JSON.
    pub fn body(mut self, body: Vec<u8>) -> Call {
        self.body = Some(body);
        self
    }

    /// Adds a header; one of the same name is replaced.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Call {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the timeout of this call instead of the one of the caller.
    pub fn timeout(mut self, timeout: Duration) -> Call {
        self.timeout = Some(timeout);
        self
    }

    /// Sets the time in which the first byte must be sent. A call whose connection takes longer is
    /// given up without sending anything.
    pub fn send_timeout(mut self, timeout: Duration) -> Call {
        self.send_timeout = Some(timeout);
        self
    }

    /// Limits the timeout of the call to the head of the response, and each pause in the body to
    /// `timeout`. The time for a large body depends on the link, so it has no limit of its own while
    /// bytes arrive.
    pub fn pause_timeout(mut self, timeout: Duration) -> Call {
        self.pause_timeout = Some(timeout);
        self
    }
}

/// Caller of one address that keeps a few connections open, used by one thread.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    timeout: Duration,
    connect_timeout: Duration,
    idle: RefCell<Vec<Idle>>,
}

impl Caller {
    /// Creates a caller with a timeout for each call, which includes opening a connection.
    pub fn new(address: SocketAddr, timeout: Duration) -> Caller {
        Caller { address, timeout, connect_timeout: timeout, idle: RefCell::new(Vec::new()) }
    }

    /// Sets the timeout of opening a connection.
    pub fn connect_timeout(mut self, timeout: Duration) -> Caller {
        self.connect_timeout = timeout;
        self
    }

    /// Returns the address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `body` to `path` and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`]; its `sent` is 0 if the peer cannot have received the call.
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

    /// Sends a call and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`]; its `sent` is 0 if the peer cannot have received the call.
    pub async fn send(&self, call: Call) -> Result<Answer, Failure> {
        let timeout = call.timeout.unwrap_or(self.timeout);
        if call.pause_timeout.is_some() {
            return self.exchange(call, timeout).await;
        }
        let exchange = self.exchange(call, timeout);
        let expire = async {
            Timer::after(timeout).await;
            let error = Error::Timeout { what: "response", limit: timeout };
            Err(Failure { sent: u64::MAX, error })
        };
        exchange.or(expire).await
    }

    async fn exchange(&self, call: Call, timeout: Duration) -> Result<Answer, Failure> {
        let unsent = |error| Failure { sent: 0, error };
        let started = Instant::now();
        let (pause_timeout, send_timeout) = (call.pause_timeout, call.send_timeout);
        let request = self.request(call).map_err(unsent)?;
        let connection = self.connection().await.map_err(unsent)?;
        if let Some(limit) = send_timeout
            && started.elapsed() >= limit
        {
            return Err(unsent(Error::Expired { limit }));
        }
        let (mut response, busy) = connection.send(request, timeout).await?;
        let status = u16::from(response.status());
        let body = match pause_timeout {
            None => read_body(&mut response, BODY_LEN_MAX).await,
            Some(pause) => read_paced(&mut response, BODY_LEN_MAX, pause).await,
        };
        let body = body.map_err(|error| Failure { sent: u64::MAX, error })?;
        drop(response);
        if let Some(connection) = busy.finish().await {
            self.store_idle(connection);
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

    fn store_idle(&self, connection: Idle) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
    }
}

/// Reads a complete body of at most `max` bytes.
///
/// # Errors
///
/// Returns [`Error::BodyTooLong`] if the body is longer than `max`, and [`Error::Io`] if it is
/// truncated.
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

/// Reads a complete body of at most `max` bytes whose pauses are at most `pause`.
async fn read_paced<Message>(
    message: &mut Message,
    max: usize,
    pause: Duration,
) -> Result<Vec<u8>, Error>
where
    Message: AsyncRead + Unpin,
{
    let mut bytes = Vec::new();
    let mut part = vec![0; READ_LEN];
    loop {
        let expire = async {
            Timer::after(pause).await;
            Err(Error::Timeout { what: "the rest of the response", limit: pause })
        };
        let read = async { message.read(&mut part).await.map_err(Error::from) };
        let count = read.or(expire).await?;
        if count == 0 {
            return Ok(bytes);
        }
        bytes.extend_from_slice(&part[..count]);
        if bytes.len() > max {
            return Err(Error::BodyTooLong(max));
        }
    }
}

/// Creates a response with a JSON body.
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
