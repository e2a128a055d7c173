//! Client side of one connection.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use futures_lite::io::BufReader;
use http_types::{Body, Method, Request, Response, StatusCode};

use crate::body::Watched;
use crate::error::Error;
use crate::source::{Framing, Source};
use crate::{Limit, Socket, transfer};

/// Connection on which no exchange is in progress.
#[derive(Debug)]
pub struct Idle {
    socket: Socket,
    source: Source,
    limit: Limit,
}

/// Connection whose response is still being read.
#[derive(Debug)]
pub struct Busy {
    connection: Idle,
    end: Receiver<()>,
    reusable: bool,
}

/// Failed exchange. The connection is closed.
#[derive(Debug)]
pub struct Failure {
    /// Number of bytes of the request that the socket accepted, or [`u64::MAX`] if it is unknown.
    /// If it is 0, the peer cannot have received the request.
    pub sent: u64,
    /// Reason of the failure.
    pub error: Error,
}

impl Failure {
    /// Returns `true` if the connection was refused, by the host of the peer or on the way to it. The
    /// request was not sent.
    pub fn is_refused(&self) -> bool {
        let Error::Connect(error) = &self.error else { return false };
        error.kind() == std::io::ErrorKind::ConnectionRefused
    }
}

/// Opens a connection within `timeout`.
///
/// # Errors
///
/// Returns [`Error::Connect`] if the peer refuses the connection or does not respond in time.
pub async fn connect(address: SocketAddr, timeout: Duration, limit: Limit) -> Result<Idle, Error> {
    let connect = async { Async::<TcpStream>::connect(address).await.map_err(Error::Connect) };
    let expire = async {
        Timer::after(timeout).await;
        Err(Error::Connect(std::io::ErrorKind::TimedOut.into()))
    };
    let stream = connect.or(expire).await?;
    stream.get_ref().set_nodelay(true).map_err(Error::Connect)?;
    let socket = Arc::new(stream);
    let source = Source::new(socket.clone(), &limit);
    Ok(Idle { socket, source, limit })
}

impl Idle {
    /// Returns `true` if the peer closed the connection or sent bytes without a request. Such a
    /// connection must not be reused.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        let peek = self.socket.get_ref().peek(&mut byte);
        let waiting = peek.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        !waiting || self.source.has_surplus()
    }

    /// Sends `request` and reads the head of the response. The body of the response is streamed.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`] if the request could not be written completely or no valid head arrived
    /// within `response_timeout`.
    pub async fn send(
        self,
        request: Request,
        response_timeout: Duration,
    ) -> Result<(Response, Busy), Failure> {
        let method = request.method();
        let mut encoder = async_h1::client::Encoder::new(request);
        let mut sent = 0;
        let exchange = async {
            let copied =
                transfer::copy(&mut encoder, &self.socket, self.limit.progress_timeout).await;
            sent = match copied {
                Ok(sent) => sent,
                Err(failure) => return Err(Failure { sent: failure.sent, error: failure.error }),
            };
            self.read_response(method).await.map_err(|error| Failure { sent, error })
        };
        let expire = async {
            Timer::after(response_timeout).await;
            // The byte count of the cancelled copy is lost, so the request is treated as sent.
            let error = Error::Timeout { what: "response head", limit: response_timeout };
            Err(Failure { sent: u64::MAX, error })
        };
        let (mut response, framing) = exchange.or(expire).await?;
        let (end_sender, end) = async_channel::bounded(1);
        let body = self.body(&mut response, framing);
        match body {
            Some((inner, length)) => response.set_body(Watched::body(inner, length, end_sender)),
            None => {
                let _ = end_sender.try_send(());
            }
        }
        let reusable = framing != Framing::UntilClose && !requests_close(&response);
        Ok((response, Busy { connection: self, end, reusable }))
    }

    async fn read_response(&self, method: Method) -> Result<(Response, Framing), Error> {
        loop {
            self.source.read_head(&self.limit).await?;
            let decoded = async_h1::client::decode(self.source.clone()).await;
            let response = decoded.map_err(|error| Error::Malformed(error.to_string()))?;
            let interim = response.status().is_informational();
            if interim && response.status() != StatusCode::SwitchingProtocols {
                continue;
            }
            let framing = framing(&response, method)?;
            self.source.set_framing(framing);
            return Ok((response, framing));
        }
    }

    /// Returns the reader of the body and its length, if known, or `None` for a response without a
    /// body.
    fn body(&self, response: &mut Response, framing: Framing) -> Option<(Body, Option<usize>)> {
        match framing {
            Framing::Empty => {
                response.take_body();
                None
            }
            Framing::Length(length) => {
                response.take_body();
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                let reader = BufReader::new(self.source.clone());
                Some((Body::from_reader(reader, Some(length)), Some(length)))
            }
            Framing::Chunked | Framing::Chunks => Some((response.take_body(), None)),
            Framing::UntilClose => {
                let reader = BufReader::new(self.source.clone());
                Some((Body::from_reader(reader, None), None))
            }
        }
    }
}

impl Busy {
    /// Waits until the body of the response is read completely or dropped. Returns the connection
    /// if it can be reused.
    pub async fn finish(self) -> Option<Idle> {
        let complete = self.end.recv().await.is_ok();
        let reusable = complete && self.reusable && !self.connection.is_stale();
        reusable.then_some(self.connection)
    }
}

fn requests_close(response: &Response) -> bool {
    let header = response.header("connection");
    header.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Determines the framing of the response body (RFC 9112, section 6.3).
fn framing(response: &Response, method: Method) -> Result<Framing, Error> {
    let status = response.status();
    let bodiless = matches!(status, StatusCode::NoContent | StatusCode::NotModified);
    if method == Method::Head || bodiless {
        return Ok(Framing::Empty);
    }
    if let Some(encoding) = response.header("transfer-encoding") {
        if encoding.last().as_str().eq_ignore_ascii_case("chunked") {
            return Ok(Framing::Chunked);
        }
        return Ok(Framing::UntilClose);
    }
    let Some(length) = response.header("content-length") else { return Ok(Framing::UntilClose) };
    let length = length.last().as_str().parse::<u64>();
    match length {
        Ok(length) => Ok(Framing::Length(length)),
        Err(_) => Err(Error::Malformed("content-length is not a number".to_owned())),
    }
}
