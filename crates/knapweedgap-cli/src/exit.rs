//! Exit codes of the tool, documented for scripts in `docs/cli.md`.

/// Outcome of a command that determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Ok,
    /// The call was refused, an input is invalid, or the result reports a failure.
    Refused,
    /// The arguments are invalid.
    Usage,
    /// No instance gave a conclusive answer.
    Unreachable,
    /// The job or request does not exist.
    NotFound,
    /// A concurrent change conflicts with the call.
    Conflict,
    /// The expected state was not reached within the timeout.
    TimedOut,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Exit::Ok => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
            Exit::NotFound => 4,
            Exit::Conflict => 5,
            Exit::TimedOut => 6,
        }
    }
}
