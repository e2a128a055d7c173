//! Server side of one connection.

use std::future::Future;
use std::net::TcpStream;
use std::sync::Arc;

use async_channel::Receiver;
use async_io::Async;
use futures_lite::io::BufReader;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http_types::headers::HeaderValues;
use http_types::{Body, Method, Request, Response, StatusCode};

use crate::error::Error;
use crate::source::{Framing, Source};
use crate::{Limit, Socket, transfer};

/// Signal that a server stops. It fires when all senders of the channel are dropped.
pub type Stop = Receiver<()>;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Whether a connection may carry another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    KeepAlive,
    Close,
}

/// Wraps an accepted stream.
///
/// # Errors
///
/// An I/O error when the socket can't be set to non-blocking mode.
pub fn socket(stream: TcpStream) -> std::io::Result<Socket> {
    stream.set_nodelay(true)?;
    Ok(Arc::new(Async::new(stream)?))
}

/// Serves the requests of one connection in turn until either side ends it.
///
/// When `stop` fires, the request in progress, or one that arrives within 250 ms, is answered and
/// the connection then closed. An answer with `connection: close` closes it as well. When
/// the client closes the connection, the future of the endpoint is dropped.
///
/// # Errors
///
/// The reason why the connection ended other than between two requests.
pub async fn serve<Endpoint, Answer>(
    socket: Socket,
    limit: Limit,
    stop: Stop,
    endpoint: Endpoint,
) -> Result<(), Error>
where
    Endpoint: Fn(Request) -> Answer,
    Answer: Future<Output = Response>,
{
    let source = Source::new(socket.clone(), &limit);
    let server = Server { socket, source, limit };
    loop {
        if !server.wait_request(&stop).await? {
            return Ok(());
        }
        if server.serve_one(&stop, &endpoint).await? == Next::Close {
            return Ok(());
        }
    }
}

struct Server {
    socket: Socket,
    source: Source,
    limit: Limit,
}

impl Server {
    /// Waits for the first byte of a request; false when the connection is to be closed.
    async fn wait_request(&self, stop: &Stop) -> Result<bool, Error> {
        let stopped = async {
            let _ = stop.recv().await;
            async_io::Timer::after(LAST_REQUEST_TIME).await;
            Ok(false)
        };
        let waited = self.source.wait_message(self.limit.idle_timeout).or(stopped).await;
        match waited {
            Err(Error::Timeout { .. }) => Ok(false),
            other => other,
        }
    }

    async fn serve_one<Endpoint, Answer>(
        &self,
        stop: &Stop,
        endpoint: &Endpoint,
    ) -> Result<Next, Error>
    where
        Endpoint: Fn(Request) -> Answer,
        Answer: Future<Output = Response>,
    {
        let request = match self.read_request().await {
            Ok(request) => request,
            Err(error) => return self.reject(error).await,
        };
        let method = request.method();
        let close_asked = asks_to_close(&request);
        let chunked = self.source.framing() == Framing::Chunked;
        let mut response = endpoint(request).or(self.client_gone()).await;
        // A chunked decoder may hold bytes of the next request, so the connection ends after it.
        let unread = self.source.framing() != Framing::Empty;
        let close_answered = is_close(response.header("connection"));
        let close = close_asked || close_answered || chunked || unread || stop.is_closed();
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
        let expects = self.source.read_head(&self.limit).await?;
        let decoded = async_h1::server::decode(self.source.clone()).await;
        let decoded = decoded.map_err(|error| Error::Malformed(error.to_string()))?;
        let (mut request, _) = decoded.ok_or(Error::Closed)?;
        let framing = framing(&request)?;
        self.source.set_framing(framing);
        if let Framing::Length(length) = framing {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            let reader = BufReader::new(self.source.clone());
            request.set_body(Body::from_reader(reader, Some(length)));
        }
        if expects {
            (&*self.socket).write_all(CONTINUE).await?;
        }
        Ok(request)
    }

    /// Answers a request that can't be read, then closes.
    async fn reject(&self, error: Error) -> Result<Next, Error> {
        let status = match &error {
            Error::HeadTooLong(_) => StatusCode::RequestHeaderFieldsTooLarge,
            Error::Timeout { .. } => StatusCode::RequestTimeout,
            Error::Malformed(_) => StatusCode::BadRequest,
            _ => return Err(error),
        };
        let mut response = rejection(status, &error);
        response.insert_header("connection", "close");
        self.write(response, Method::Get).await?;
        self.discard_rest().await;
        Err(error)
    }

    async fn write(&self, response: Response, method: Method) -> Result<(), Error> {
        let mut encoder = async_h1::server::Encoder::new(response, method);
        let copied = transfer::copy(&mut encoder, &self.socket, self.limit.progress_timeout).await;
        copied.map(drop).map_err(|failure| failure.error)
    }

    /// Reads what the client still sends, up to the limit. Closing a socket with unread bytes
    /// resets the connection, and the client could lose the answer.
    async fn discard_rest(&self) {
        let _ = self.socket.get_ref().shutdown(std::net::Shutdown::Write);
        let mut left = self.limit.discard_len;
        let mut buffer = [0; 4096];
        let drain = async {
            while left > 0 {
                match (&*self.socket).read(&mut buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => left = left.saturating_sub(count as u64),
                }
            }
        };
        let late = async {
            async_io::Timer::after(DISCARD_TIME).await;
        };
        drain.or(late).await;
    }

    /// Completes with a placeholder answer when the client closed the connection after its whole
    /// request; never completes otherwise.
    async fn client_gone(&self) -> Response {
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

/// Time after the stop in which an idle connection still takes a request. One that the client had
/// begun to send would be reset by an immediate close; the time covers a round trip between zones.
const LAST_REQUEST_TIME: std::time::Duration = std::time::Duration::from_millis(250);

/// Longest time spent on discarding the rest of a request.
const DISCARD_TIME: std::time::Duration = std::time::Duration::from_secs(1);

fn rejection(status: StatusCode, error: &Error) -> Response {
    let code = match error {
        Error::HeadTooLong(_) => "head_too_long",
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

fn asks_to_close(request: &Request) -> bool {
    is_close(request.header("connection"))
}

fn is_close(header: Option<&HeaderValues>) -> bool {
    header.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

fn framing(request: &Request) -> Result<Framing, Error> {
    if let Some(encoding) = request.header("transfer-encoding") {
        if encoding.as_str().eq_ignore_ascii_case("chunked") {
            return Ok(Framing::Chunked);
        }
        return Err(Error::Malformed("transfer-encoding is not chunked".to_owned()));
    }
    let Some(length) = request.header("content-length") else { return Ok(Framing::Empty) };
    let mut lengths = length.iter().map(|value| value.as_str());
    let first = lengths.next().unwrap_or("0");
    if lengths.any(|other| other != first) {
        return Err(Error::Malformed("content-length headers differ".to_owned()));
    }
    match first.parse::<u64>() {
        Ok(length) => Ok(Framing::Length(length)),
        Err(_) => Err(Error::Malformed("content-length is not a number".to_owned())),
    }
}
