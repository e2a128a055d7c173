//! Errors of parsing the newtypes of this package.

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Rejection of a text that does not stand for a value of the named type.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid {what} {text:?}: {help}")]
pub struct Error {
    /// Type that was expected, for example `job id`.
    #[error(not(source))]
    pub what: &'static str,
    /// Text that was rejected, cut to [`SHOWN_LEN`] bytes.
    #[error(not(source))]
    pub text: SmolStr,
    /// What a valid text looks like.
    #[error(not(source))]
    pub help: &'static str,
}

/// Longest part of a rejected text that an error repeats, in bytes.
pub const SHOWN_LEN: usize = 64;

impl Error {
    /// Builds an error that shows at most [`SHOWN_LEN`] bytes of `text`.
    pub fn new(what: &'static str, text: &str, help: &'static str) -> Error {
        let mut end = text.len().min(SHOWN_LEN);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        Error { what, text: SmolStr::new(&text[..end]), help }
    }
}
