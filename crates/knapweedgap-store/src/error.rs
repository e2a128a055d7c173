//! Errors of the key-value service.

use derive_more::{Display, Error};
use knapweedgap_core::revision::Revision;
use smol_str::SmolStr;

/// Code of [`Error::Refused`] for a lease or key that does not exist (gRPC `NOT_FOUND`).
pub const NOT_FOUND: u32 = 5;

/// Codes of [`Error::Refused`] for a call that is refused for its content, in each copy: gRPC
/// `INVALID_ARGUMENT`, and the statuses 400 and 413.
const CONTENT: [u32; 3] = [3, 400, 413];

/// Reason why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The service is unreachable or cannot serve the call; the call was not applied.
    #[display("store unavailable, call not applied: {_0}")]
    Unavailable(#[error(not(source))] SmolStr),
    /// No answer arrived; the call may have been applied.
    #[display("no answer from the store, the write may have been applied: {_0}")]
    Unknown(#[error(not(source))] SmolStr),
    /// The answer could not be decoded; the call may have been applied.
    #[display("invalid store answer at {place}: {help}")]
    Invalid {
        /// Position in the answer, for example `kvs[3].mod_revision`.
        #[error(not(source))]
        place: SmolStr,
        /// Reason why the answer is invalid.
        #[error(not(source))]
        help: SmolStr,
    },
    /// The service rejected the call; it was not applied.
    #[display("store refused the call (code {code}): {message}")]
    Refused {
        /// gRPC status code.
        #[error(not(source))]
        code: u32,
        /// Message from the service.
        #[error(not(source))]
        message: SmolStr,
    },
    /// The service no longer holds changes before this revision; the keys must be read again.
    #[display("store has compacted the changes before revision {_0}; read the keys again")]
    Compacted(#[error(not(source))] Revision),
}

impl Error {
    /// Returns `true` if a write that failed with this error may have been applied.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Error::Unknown(_) | Error::Invalid { .. })
    }

    /// Returns `true` if the call was refused for its content, so that it is never accepted
    /// unchanged.
    pub fn is_content_refused(&self) -> bool {
        matches!(self, Error::Refused { code, .. } if CONTENT.contains(code))
    }

    pub(crate) fn invalid(place: impl Into<SmolStr>, help: impl Into<SmolStr>) -> Error {
        Error::Invalid { place: place.into(), help: help.into() }
    }
}
