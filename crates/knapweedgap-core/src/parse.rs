//! Error of parsing the newtypes of this package.

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Text that is not a valid value of the expected type.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid {what} {text:?}: {help}")]
pub struct Error {
    /// Expected type, for example `job id`.
    #[error(not(source))]
    pub what: &'static str,
    /// Rejected text, truncated to [`SHOWN_LEN`] bytes.
    #[error(not(source))]
    pub text: SmolStr,
    /// Description of the valid form.
    #[error(not(source))]
    pub help: &'static str,
}

/// Maximum length of a rejected text quoted in an error, in bytes.
pub const SHOWN_LEN: usize = 64;

impl Error {
    /// Creates an error that quotes at most [`SHOWN_LEN`] bytes of `text`.
    pub fn new(what: &'static str, text: &str, help: &'static str) -> Error {
        let mut end = text.len().min(SHOWN_LEN);
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        Error { what, text: SmolStr::new(&text[..end]), help }
    }
}
