//! Errors of reading the VM list.

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Reason why no list could be read. The last list stays in use.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The list could not be fetched.
    #[display("VM list unavailable: {_0}")]
    Unavailable(#[error(not(source))] SmolStr),
    /// The answer is no list at all.
    #[display("invalid VM list at {place}: {help}")]
    Invalid {
        /// Place inside the answer.
        #[error(not(source))]
        place: SmolStr,
        /// What was expected.
        #[error(not(source))]
        help: SmolStr,
    },
}
