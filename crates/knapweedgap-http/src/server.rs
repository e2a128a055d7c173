//! Server side of one connection.

use std::future::Future;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;

use async_channel::Receiver;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::headers::HeaderValues;
use http_types::{Body, Method, Request, Response, StatusCode};
use socket2::SockRef;

use crate::budget::Decision;
use crate::error::Error;
use crate::seat::Seat;
use crate::source::{Framing, Source};
use crate::{Limit, Socket, body, head, transfer};

/// Signal that a server stops. It is set when all senders of the channel are dropped.
pub type Stop = Receiver<()>;

/// Limits of a connection, read before each request, so that a change applies to open connections.
pub type Limits = Arc<dyn Fn() -> Limit + Send + Sync>;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Whether a connection may be used for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    KeepAlive,
    Close,
}

/// Creates a non-blocking socket without Nagle's algorithm from an accepted stream.
///
/// # Errors
///
/// Returns an I/O error if an option of the socket cannot be set.
pub fn socket(stream: TcpStream) -> std::io::Result<Socket> {
    stream.set_nodelay(true)?;
    Ok(Arc::new(Async::new(stream)?))
}

/// Serves the requests of one connection in sequence until either side closes it.
///
/// After `stop` is set, the request in progress, or one that arrives within 250 ms, gets a
/// response, and the connection is closed. A response with `connection: close` closes it as well.
/// If the client closes the connection, the future of the endpoint is dropped.
///
/// # Errors
///
/// Returns the reason why the connection ended, unless it ended between two requests.
pub async fn serve<Endpoint, Reply>(
    socket: Socket,
    limit: Limit,
    stop: Stop,
    endpoint: Endpoint,
) -> Result<(), Error>
where
    Endpoint: Fn(Request) -> Reply,
    Reply: Future<Output = Response>,
{
    let source = Source::new(socket.clone(), &limit);
    let limits: Limits = Arc::new(move || limit.clone());
    Server { socket, source, limits, seat: None }.serve(&stop, &endpoint).await
}

/// Serves the requests of one connection like [`serve`], with a place in a budget. If the connection
/// has to give way, it is closed between two requests, or its request that was not passed on is
/// answered with 503.
///
/// # Errors
///
/// Returns the reason why the connection ended, unless it ended between two requests.
pub async fn serve_seated<Endpoint, Reply>(
    socket: Socket,
    limits: Limits,
    stop: Stop,
    seat: Seat,
    endpoint: Endpoint,
) -> Result<(), Error>
where
    Endpoint: Fn(Request) -> Reply,
    Reply: Future<Output = Response>,
{
    // Bytes that the kernel holds count as well. Without the option, the kernel bounds them itself.
    if let Err(error) = SockRef::from(socket.get_ref()).set_recv_buffer_size(RECEIVE_LEN) {
        log::debug!("[traffic] receive buffer: {error}");
    }
    let seat = Arc::new(seat);
    let source = Source::with_seat(socket.clone(), &limits(), Some(seat.clone()));
    let server = Server { socket: socket.clone(), source, limits, seat: Some(seat.clone()) };
    let evicted = async {
        if seat.evicted().await == Decision::Refuse {
            // One attempt: a client that reads nothing must not hold the connection.
            let _ = (&mut socket.get_ref()).write(EVICTED);
        }
        Ok(())
    };
    server.serve(&stop, &endpoint).or(evicted).await
}

struct Server {
    socket: Socket,
    source: Source,
    limits: Limits,
    seat: Option<Arc<Seat>>,
}

impl Server {
    async fn serve<Endpoint, Reply>(&self, stop: &Stop, endpoint: &Endpoint) -> Result<(), Error>
    where
        Endpoint: Fn(Request) -> Reply,
        Reply: Future<Output = Response>,
    {
        loop {
            match self.wait_request(stop).await {
                Ok(true) => {}
                Ok(false) => return Ok(()),
                Err(error) => return self.reject(error).await.map(drop),
            }
            if let Some(seat) = &self.seat {
                seat.begin();
            }
            if self.serve_one(stop, endpoint).await? == Next::Close {
                return Ok(());
            }
        }
    }

    /// Waits for the first byte of a request. Returns `false` if the connection is to be closed.
    async fn wait_request(&self, stop: &Stop) -> Result<bool, Error> {
        let stopped = async {
            let _ = stop.recv().await;
            async_io::Timer::after(STOP_DELAY).await;
            Ok(false)
        };
        let waited = self.source.wait_message((self.limits)().idle_timeout).or(stopped).await;
        match waited {
            Err(Error::Timeout { .. }) => Ok(false),
            other => other,
        }
    }

    async fn serve_one<Endpoint, Reply>(
        &self,
        stop: &Stop,
        endpoint: &Endpoint,
    ) -> Result<Next, Error>
    where
        Endpoint: Fn(Request) -> Reply,
        Reply: Future<Output = Response>,
    {
        let request = match self.read_request().await {
            Ok(request) => request,
            Err(error) => return self.reject(error).await,
        };
        let method = request.method();
        let close_in_request = requests_close(&request);
        let mut response = endpoint(request).or(self.client_disconnected()).await;
        // Without a seat, the endpoint may have passed on a part of the body, and its answer stands.
        if self.seat.is_some()
            && let Some(error) = self.source.take_refusal()
        {
            return self.reject(error).await;
        }
        let unread = self.source.framing() != Framing::Empty;
        let close_in_response = is_close(response.header("connection"));
        let close = close_in_request || close_in_response || unread || stop.is_closed();
        if close {
            response.insert_header("connection", "close");
        }
        self.write(response, method).await?;
        if !close {
            return Ok(Next::KeepAlive);
        }
        self.discard_rest().await;
        Ok(Next::Close)
    }

    async fn read_request(&self) -> Result<Request, Error> {
        let limit = (self.limits)();
        let read = self.source.read_head_of(limit.request_head_len, limit.head_timeout);
        let expects_continue = read.await?;
        let mut request = self.source.parse_head(head::decode)?;
        let framing = framing(&request)?;
        if let Framing::Length(length) = framing
            && length > limit.body_len
        {
            let max = usize::try_from(limit.body_len).unwrap_or(usize::MAX);
            return Err(Error::BodyTooLong(max));
        }
        self.source.limit_body(&limit);
        self.source.set_framing(framing);
        if framing != Framing::Empty {
            let length = match framing {
                Framing::Length(length) => Some(usize::try_from(length).unwrap_or(usize::MAX)),
                _ => None,
            };
            request.set_body(Body::from_reader(body::Reader::new(self.source.clone()), length));
        }
        if expects_continue {
            (&*self.socket).write_all(CONTINUE).await?;
        }
        Ok(request)
    }

    /// Responds to a request that cannot be read, and closes the connection.
    async fn reject(&self, error: Error) -> Result<Next, Error> {
        let status = match &error {
            Error::HeadTooLong(_) => StatusCode::RequestHeaderFieldsTooLarge,
            Error::Timeout { .. } => StatusCode::RequestTimeout,
            Error::Malformed(_) => StatusCode::BadRequest,
            Error::BodyTooLong(_) => StatusCode::PayloadTooLarge,
            Error::Overload => StatusCode::ServiceUnavailable,
            _ => return Err(error),
        };
        let mut response = rejection(status, &error);
        if status == StatusCode::ServiceUnavailable {
            response.insert_header("retry-after", "1");
        }
        response.insert_header("connection", "close");
        self.write(response, Method::Get).await?;
        self.discard_rest().await;
        Err(error)
    }

    async fn write(&self, response: Response, method: Method) -> Result<(), Error> {
        if let Some(seat) = &self.seat {
            // An eviction during the answer would end it in the middle.
            seat.complete();
        }
        let progress_timeout = (self.limits)().progress_timeout;
        let mut encoder = async_h1::server::Encoder::new(response, method);
        let copied = transfer::copy(&mut encoder, &self.socket, progress_timeout).await;
        if let Some(seat) = &self.seat {
            seat.answer();
        }
        copied.map(drop).map_err(|failure| failure.error)
    }

    /// Discards the bytes that the client still sends, up to the limit. Closing a socket with
    /// unread bytes resets the connection, and the client could lose the response.
    async fn discard_rest(&self) {
        let _ = self.socket.get_ref().shutdown(std::net::Shutdown::Write);
        let mut remaining = (self.limits)().discard_len;
        let mut buffer = [0; 4096];
        let drain = async {
            while remaining > 0 {
                match (&*self.socket).read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => remaining = remaining.saturating_sub(count as u64),
                }
            }
        };
        let expire = async {
            async_io::Timer::after(DISCARD_TIMEOUT).await;
        };
        drain.or(expire).await;
    }

    /// Completes with a placeholder response if the client closes the connection after its complete
    /// request, and never otherwise.
    async fn client_disconnected(&self) -> Response {
        self.source.body_end().await;
        let mut byte = [0];
        let peek = self.socket.peek(&mut byte).await;
        let next_request_waits = peek.is_ok_and(|count| count > 0);
        if next_request_waits {
            std::future::pending::<()>().await;
        }
        Response::new(StatusCode::RequestTimeout)
    }
}

/// Time after the stop in which an idle connection still accepts a request. An immediate close
/// would reset a request that the client has begun to send; the delay covers a round trip between
/// zones.
const STOP_DELAY: std::time::Duration = std::time::Duration::from_millis(250);

/// Receive buffer of a client connection in the kernel, in bytes. The kernel doubles it. It is part of
/// [`budget::CONNECTION_COST`](crate::budget::CONNECTION_COST).
const RECEIVE_LEN: usize = 12 * 1024;

/// Answer to a request that gives way to others before it was passed on.
const EVICTED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    x-outcome: not_run\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Timeout of discarding the rest of a request.
const DISCARD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

fn rejection(status: StatusCode, error: &Error) -> Response {
    let code = match error {
        Error::HeadTooLong(_) => "head_too_long",
        Error::BodyTooLong(_) => "body_too_long",
        Error::Overload => "overload",
        Error::Timeout { .. } => "request_timeout",
        _ => "malformed_request",
    };
    let body = serde_json::json!({
        "code": code,
        "outcome": "not_run",
        "help": error.to_string(),
    });
    let mut response = Response::new(status);
    response.set_body(body.to_string());
    response.insert_header("content-type", "application/json");
    response.insert_header("x-outcome", "not_run");
    response
}

fn requests_close(request: &Request) -> bool {
    is_close(request.header("connection"))
}

fn is_close(header: Option<&HeaderValues>) -> bool {
    header.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

fn framing(request: &Request) -> Result<Framing, Error> {
    if let Some(encoding) = request.header("transfer-encoding") {
        if encoding.iter().count() == 1 && encoding.as_str().eq_ignore_ascii_case("chunked") {
            return Ok(Framing::Chunks);
        }
        return Err(Error::Malformed("transfer-encoding is not chunked".to_owned()));
    }
    let Some(length) = request.header("content-length") else { return Ok(Framing::Empty) };
    let mut lengths = length.iter().map(|value| value.as_str());
    let first = lengths.next().unwrap_or("0");
    if lengths.any(|other| other != first) {
        return Err(Error::Malformed("content-length headers differ".to_owned()));
    }
    // The parser of numbers accepts a sign.
    if !first.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(Error::Malformed("content-length is not a number".to_owned()));
    }
    match first.parse::<u64>() {
        Ok(length) => Ok(Framing::Length(length)),
        Err(_) => Err(Error::Malformed("content-length is not a number".to_owned())),
    }
}
