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

/// Connection whose answer is still being read.
#[derive(Debug)]
pub struct Busy {
    connection: Idle,
    end: Receiver<()>,
    reusable: bool,
}

/// Failed exchange. The connection is closed.
#[derive(Debug)]
pub struct Failure {
    /// Bytes of the request that the socket accepted; with 0 the peer cannot have seen it.
    pub sent: u64,
    /// What went wrong.
    pub error: Error,
}

impl Failure {
    /// Tells whether the machine of the peer refused the connection, which proves that no process
    /// listens there.
    pub fn is_refused(&self) -> bool {
        let Error::Connect(error) = &self.error else { return false };
        error.kind() == std::io::ErrorKind::ConnectionRefused
    }
}

/// Opens a connection within `timeout`.
///
/// # Errors
///
/// [`Error::Connect`] when the peer refuses or does not answer in time.
pub async fn connect(address: SocketAddr, timeout: Duration, limit: Limit) -> Result<Idle, Error> {
    let connect = async { Async::<TcpStream>::connect(address).await.map_err(Error::Connect) };
    let late = async {
        Timer::after(timeout).await;
        Err(Error::Connect(std::io::ErrorKind::TimedOut.into()))
    };
    let stream = connect.or(late).await?;
    stream.get_ref().set_nodelay(true).map_err(Error::Connect)?;
    let socket = Arc::new(stream);
    let source = Source::new(socket.clone(), &limit);
    Ok(Idle { socket, source, limit })
}

impl Idle {
    /// Tells whether the peer closed the connection or sent bytes that nobody asked for. Such a
    /// connection must not be reused.
    pub fn is_stale(&self) -> bool {
        let mut byte = [0];
        let peek = self.socket.get_ref().peek(&mut byte);
        let waiting = peek.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        !waiting || self.source.has_surplus()
    }

    /// Sends `request` and reads the head of the answer; its body is streamed.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the request could not be written whole or no valid head arrived within
    /// `answer_time`.
    pub async fn send(
        self,
        request: Request,
        answer_time: Duration,
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
        let late = async {
            Timer::after(answer_time).await;
            // The count inside the cancelled copy is lost, so the request counts as sent.
            let error = Error::Timeout { what: "answer head", limit: answer_time };
            Err(Failure { sent: u64::MAX, error })
        };
        let (mut response, framing) = exchange.or(late).await?;
        let (end_sender, end) = async_channel::bounded(1);
        let body = self.body(&mut response, framing);
        match body {
            Some((inner, length)) => response.set_body(Watched::body(inner, length, end_sender)),
            None => {
                let _ = end_sender.try_send(());
            }
        }
        let reusable = framing != Framing::UntilClose && !asks_to_close(&response);
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

    /// Returns the reader of the body and its length, or nothing for an answer without body.
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
            Framing::Chunked => Some((response.take_body(), None)),
            Framing::UntilClose => {
                let reader = BufReader::new(self.source.clone());
                Some((Body::from_reader(reader, None), None))
            }
        }
    }
}

impl Busy {
    /// Waits until the body of the answer was read whole or dropped, and returns the connection
    /// when it may be used again.
    pub async fn finish(self) -> Option<Idle> {
        let whole = self.end.recv().await.is_ok();
        let clean = whole && self.reusable && !self.connection.is_stale();
        clean.then_some(self.connection)
    }
}

fn asks_to_close(response: &Response) -> bool {
    let header = response.header("connection");
    header.is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"))
}

/// Derives the framing of the answer's body (RFC 9112, section 6.3).
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
