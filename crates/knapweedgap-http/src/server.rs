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

/// Signal that a server stops. It is set when all senders of the channel are dropped.
pub type Stop = Receiver<()>;

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
    /// Waits for the first byte of a request. Returns `false` if the connection is to be closed.
    async fn wait_request(&self, stop: &Stop) -> Result<bool, Error> {
        let stopped = async {
            let _ = stop.recv().await;
            async_io::Timer::after(STOP_DELAY).await;
            Ok(false)
        };
        let waited = self.source.wait_message(self.limit.idle_timeout).or(stopped).await;
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
        let chunked = self.source.framing() == Framing::Chunked;
        let mut response = endpoint(request).or(self.client_disconnected()).await;
        // The decoder of a chunked body may have read bytes of the next request, so the connection
        // is closed after such a body.
        let unread = self.source.framing() != Framing::Empty;
        let close_in_response = is_close(response.header("connection"));
        let close = close_in_request || close_in_response || chunked || unread || stop.is_closed();
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
        let expects_continue = self.source.read_head(&self.limit).await?;
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

    /// Discards the bytes that the client still sends, up to the limit. Closing a socket with
    /// unread bytes resets the connection, and the client could lose the response.
    async fn discard_rest(&self) {
        let _ = self.socket.get_ref().shutdown(std::net::Shutdown::Write);
        let mut remaining = self.limit.discard_len;
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

/// Timeout of discarding the rest of a request.
const DISCARD_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

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

fn requests_close(request: &Request) -> bool {
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
