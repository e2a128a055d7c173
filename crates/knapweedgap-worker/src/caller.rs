//! Calls to one worker over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use http_types::Method;
use knapweedgap_http::{self as http, json};

use crate::codec::{self, Message};
use crate::wire;

/// Failed call.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The message breaks its own bounds and was not sent.
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
    /// The worker answered something that is not valid, so it may have acted.
    #[display("invalid answer to {path}, status {status}: {detail}")]
    Invalid {
        /// Path of the call.
        #[error(not(source))]
        path: &'static str,
        /// Status of the answer.
        #[error(not(source))]
        status: u16,
        /// Place of the fault in the body.
        #[error(not(source))]
        detail: codec::Error,
    },
    /// The status of the refusal is not the one of its reason, so it may not come from the worker.
    #[display("invalid answer to {path}: status {status} with the reason {reason}")]
    Status {
        /// Path of the call.
        #[error(not(source))]
        path: &'static str,
        /// Status of the answer.
        #[error(not(source))]
        status: u16,
        /// Reason in the body.
        #[error(not(source))]
        reason: wire::Reason,
    },
}

impl Error {
    /// Tells whether it is certain that the message had no effect.
    pub fn is_without_effect(&self) -> bool {
        matches!(self, Error::Message(_) | Error::NotSent(_) | Error::Refused(_))
    }
}

/// Caller of one worker. Used by one thread.
#[derive(Debug)]
pub struct Caller {
    inner: json::Caller,
}

impl Caller {
    /// Creates a caller whose calls take at most `timeout` each.
    pub fn new(address: SocketAddr, timeout: Duration) -> Caller {
        Caller { inner: json::Caller::new(address, timeout) }
    }

    /// Returns the address of the worker.
    pub fn address(&self) -> SocketAddr {
        self.inner.address()
    }

    /// Renews the lease and fetches the report.
    ///
    /// # Errors
    ///
    /// [`Error`] tells whether the worker may have acted.
    pub async fn heartbeat(&self, message: &wire::Heartbeat) -> Result<wire::Report, Error> {
        self.call("/v1/heartbeat", message).await
    }

    /// Starts an attempt.
    ///
    /// # Errors
    ///
    /// [`Error`] tells whether the worker may have acted.
    pub async fn start(&self, message: &wire::Start) -> Result<wire::Accepted, Error> {
        self.call("/v1/start", message).await
    }

    /// Stops an attempt.
    ///
    /// # Errors
    ///
    /// [`Error`] tells whether the worker may have acted.
    pub async fn stop(&self, message: &wire::Stop) -> Result<wire::Accepted, Error> {
        self.call("/v1/stop", message).await
    }

    /// Asks an attempt for a checkpoint.
    ///
    /// # Errors
    ///
    /// [`Error`] tells whether the worker may have acted.
    pub async fn checkpoint(&self, message: &wire::Checkpoint) -> Result<wire::Accepted, Error> {
        self.call("/v1/checkpoint", message).await
    }

    /// Changes the processor share of an attempt.
    ///
    /// # Errors
    ///
    /// [`Error`] tells whether the worker may have acted.
    pub async fn throttle(&self, message: &wire::Throttle) -> Result<wire::Accepted, Error> {
        self.call("/v1/throttle", message).await
    }

    async fn call<Body, Answer>(&self, path: &'static str, message: &Body) -> Result<Answer, Error>
    where
        Body: Message,
        Answer: Message,
    {
        let body = codec::encode(message).map_err(Error::Message)?;
        let called = self.inner.call(Method::Post, path, Some(body)).await;
        let answer = called.map_err(|failure| match failure.sent {
            0 => Error::NotSent(failure.error),
            _ => Error::Unknown(failure.error),
        })?;
        read(path, answer.status, &answer.body)
    }
}

/// Reads the answer to the call of `path`.
///
/// # Errors
///
/// [`Error::Refused`] for a valid refusal, otherwise what is invalid in the answer.
pub fn read<Answer>(path: &'static str, status: u16, body: &[u8]) -> Result<Answer, Error>
where
    Answer: Message,
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
