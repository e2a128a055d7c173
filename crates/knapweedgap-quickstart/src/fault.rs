//! Error that aborts the run.

use derive_more::{Display, Error};

/// Error that aborts the run: the operation that failed and the reason.
#[derive(Debug, Display, Error)]
#[display("{_0}")]
pub(crate) struct Fault(#[error(not(source))] String);

impl Fault {
    /// Creates a fault for `operation`, the step, instance or call that failed.
    pub(crate) fn new(operation: &str, reason: impl std::fmt::Display) -> Fault {
        Fault(format!("{operation}: {reason}"))
    }
}
