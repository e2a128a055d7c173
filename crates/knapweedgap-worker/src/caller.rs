//! Calls to one worker over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use http_types::Method;
use knapweedgap_http::{self as http, json};

use crate::codec::{self, Message};
use crate::wire;

/// Reason why a call failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The message exceeds its bounds and was not sent.
    #[display("invalid message, not sent: {_0}")]
    Message(codec::Error),
    /// No byte was sent, so the worker did not act.
    #[display("not sent: {_0}")]
    NotSent(http::Error),
    /// The worker may have acted.
    #[display("outcome unknown: {_0}")]
    Unknown(http::Error),
    /// The worker refused the message; it had no effect.
    #[display("refused: {} {}", _0.reason, _0.detail)]
    Refused(#[error(not(source))] wire::Refusal),
    /// The response is invalid. The worker may have acted.
    #[display("invalid response to {path}, status {status}: {detail}")]
    Invalid {
        /// Path of the call.
        #[error(not(source))]
        path: &'static str,
        /// HTTP status of the response.
        #[error(not(source))]
        status: u16,
        /// Error in the body, with its place.
        #[error(not(source))]
        detail: codec::Error,
    },
    /// The status of the refusal does not match its reason, so another server may have sent it.
    #[display("invalid response to {path}: status {status} with the reason {reason}")]
    Status {
        /// Path of the call.
        #[error(not(source))]
        path: &'static str,
        /// HTTP status of the response.
        #[error(not(source))]
        status: u16,
        /// Reason named in the body.
        #[error(not(source))]
        reason: wire::Reason,
    },
}

impl Error {
    /// Returns `true` if the message certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        matches!(self, Error::Message(_) | Error::NotSent(_) | Error::Refused(_))
    }
}

/// Caller of one worker, used by one thread.
#[derive(Debug)]
pub struct Caller {
    inner: json::Caller,
}

impl Caller {
    /// Creates a caller with a timeout for each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> Caller {
        Caller { inner: json::Caller::new(address, timeout) }
    }

    /// Returns the address of the worker.
    pub fn address(&self) -> SocketAddr {
        self.inner.address()
    }

    /// Renews the lease and returns the report of the worker.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`]; [`Error::is_without_effect`] shows whether the worker may have
    /// acted.
    pub async fn heartbeat(&self, message: &wire::Heartbeat) -> Result<wire::Report, Error> {
        self.call("/v1/heartbeat", message).await
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`]; [`Error::is_without_effect`] shows whether the worker may have
    /// acted.
    pub async fn start(&self, message: &wire::Start) -> Result<wire::Accepted, Error> {
        self.call("/v1/start", message).await
    }

    /// Stops an attempt.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`]; [`Error::is_without_effect`] shows whether the worker may have
    /// acted.
    pub async fn stop(&self, message: &wire::Stop) -> Result<wire::Accepted, Error> {
        self.call("/v1/stop", message).await
    }

    /// Requests a checkpoint of an attempt.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`]; [`Error::is_without_effect`] shows whether the worker may have
    /// acted.
    pub async fn checkpoint(&self, message: &wire::Checkpoint) -> Result<wire::Accepted, Error> {
        self.call("/v1/checkpoint", message).await
    }

    /// Changes the processor share of an attempt.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`]; [`Error::is_without_effect`] shows whether the worker may have
    /// acted.
    pub async fn throttle(&self, message: &wire::Throttle) -> Result<wire::Accepted, Error> {
        self.call("/v1/throttle", message).await
    }

    async fn call<Body, Response>(
        &self,
        path: &'static str,
        message: &Body,
    ) -> Result<Response, Error>
    where
        Body: Message,
        Response: Message,
    {
        let body = codec::encode(message).map_err(Error::Message)?;
        let called = self.inner.call(Method::Post, path, Some(body)).await;
        let response = called.map_err(|failure| match failure.sent {
            0 => Error::NotSent(failure.error),
            _ => Error::Unknown(failure.error),
        })?;
        decode(path, response.status, &response.body)
    }
}

/// Decodes the response to a call of `path`.
///
/// # Errors
///
/// Returns [`Error::Refused`] for a valid refusal, and [`Error::Invalid`] or [`Error::Status`] for
/// an invalid response.
pub fn decode<Response>(path: &'static str, status: u16, body: &[u8]) -> Result<Response, Error>
where
    Response: Message,
{
    let invalid = |detail| Error::Invalid { path, status, detail };
    if status == 200 {
        return codec::decode(body).map_err(invalid);
    }
    let refusal: wire::Refusal = codec::decode(body).map_err(invalid)?;
    if refusal.reason.status() != status {
        return Err(Error::Status { path, status, reason: refusal.reason });
    }
    Err(Error::Refused(refusal))
}
