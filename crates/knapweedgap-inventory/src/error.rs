//! Errors of fetching the VM list.

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Reason why the list could not be fetched or decoded. The last list stays in use.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The call failed or returned a status other than 200.
    #[display("VM list unavailable: {_0}")]
    Unavailable(#[error(not(source))] SmolStr),
    /// The answer as a whole is not a list. Faults of single records are reported as
    /// [`Fault`](crate::Fault) instead.
    #[display("invalid VM list at {place}: {help}")]
    Invalid {
        /// Position in the answer, for example `line 1 column 7`.
        #[error(not(source))]
        place: SmolStr,
        /// Reason why the answer is invalid.
        #[error(not(source))]
        help: SmolStr,
    },
}
