//! Errors of HTTP connections.

use std::io;
use std::time::Duration;

use derive_more::{Display, Error};

/// Reason why an HTTP exchange failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The TCP connection could not be opened, so no byte was sent.
    #[display("connection refused or timed out: {_0}")]
    Connect(io::Error),
    /// The connection ended or failed during a message.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The head of a message is longer than the limit.
    #[display("message head is longer than {_0} bytes; shorten the headers")]
    HeadTooLong(#[error(not(source))] usize),
    /// The head of a message is not valid HTTP/1.1.
    #[display("malformed message head: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The body of a message is longer than the caller accepts.
    #[display("body is longer than {_0} bytes")]
    BodyTooLong(#[error(not(source))] usize),
    /// The memory for requests is in use.
    #[display("the memory for requests is in use; retry later")]
    Overload,
    /// The peer did not respond within the limit.
    #[display("no {what} within {limit:?}")]
    Timeout {
        /// Expected event, for example `response head`.
        #[error(not(source))]
        what: &'static str,
        /// Timeout that expired.
        limit: Duration,
    },
    /// The time in which the message had to be sent has passed, so no byte was sent.
    #[display("not sent within {limit:?}")]
    Expired {
        /// Time in which the first byte had to be sent.
        limit: Duration,
    },
    /// The peer closed the connection between two messages.
    #[display("connection closed by the peer")]
    Closed,
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}
