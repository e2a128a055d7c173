//! Errors of forwarding, by whether the request may have run.

use derive_more::{Display, Error};
use knapweedgap_core::size;
use knapweedgap_http as http;

/// Reason why a request was not forwarded or its response not received.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// All allowed connections are in use; no byte was sent.
    #[display("all {_0} connections to the upstream are in use")]
    Full(#[error(not(source))] size::Connection),
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(http::Error),
    /// The upstream refused the request before it started to process it.
    #[display("the upstream refused the request before it started")]
    Refused {
        /// Load reported with the refusal; `None` if it was missing or invalid.
        #[error(not(source))]
        slots_in_use: Option<size::Slot>,
    },
    /// The request may have run.
    #[display("outcome unknown: {_0}")]
    Unknown(http::Error),
}

impl Error {
    /// Returns `true` if the request has certainly not run.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, Error::Unknown(_))
    }
}

impl From<http::client::Failure> for Error {
    fn from(failure: http::client::Failure) -> Error {
        match failure.sent {
            0 => Error::NotSent(failure.error),
            _ => Error::Unknown(failure.error),
        }
    }
}
