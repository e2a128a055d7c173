//! Errors of forwarding, by what they say about the work.

use derive_more::{Display, Error};
use knapweedgap_core::size;
use knapweedgap_http as http;

/// Failed forwarding of one request.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// All allowed connections are in use; no byte was sent.
    #[display("all {_0} connections to the upstream are in use")]
    Full(#[error(not(source))] size::Connection),
    /// No byte of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(http::Error),
    /// The upstream refused the request before it started the work.
    #[display("the upstream refused the request before the start")]
    Refused {
        /// Load that the refusal reported.
        #[error(not(source))]
        slots_in_use: Option<size::Slot>,
    },
    /// The work may have run.
    #[display("outcome unknown: {_0}")]
    Unknown(http::Error),
}

impl Error {
    /// Tells whether it is certain that the work did not run.
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
