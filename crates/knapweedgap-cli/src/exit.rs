//! Exit codes. `docs/cli.md` documents them for scripts.

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Ok,
    /// The call, a file or the state of the system is not in order.
    Refused,
    /// The arguments are wrong.
    Usage,
    /// No instance gave an answer to rely on.
    Unreachable,
    /// No such job or request.
    NotFound,
    /// Another change came in between.
    Conflict,
    /// The awaited state was not reached in time.
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
