//! Error that ends the run.

use derive_more::{Display, Error};

/// Reason why the run cannot go on.
#[derive(Debug, Display, Error)]
#[display("{_0}")]
pub(crate) struct Fault(#[error(not(source))] String);

impl Fault {
    /// Creates a fault from what failed and the reason.
    pub(crate) fn new(what: &str, reason: impl std::fmt::Display) -> Fault {
        Fault(format!("{what}: {reason}"))
    }
}
