use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Order in which waiting jobs are started.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    FromStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Started after all other jobs.
    #[display("low")]
    Low,
    /// The default.
    #[default]
    #[display("normal")]
    Normal,
    /// Started within 1.4 s of submission.
    #[display("urgent")]
    Urgent,
}

/// State of a job, derived from the states of its tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    #[display("pending")]
    Pending,
    /// At least one task has started and one has not ended.
    #[display("running")]
    Running,
    /// A cancellation is recorded; some tasks have not stopped yet.
    #[display("cancelling")]
    Cancelling,
    /// All tasks have finished.
    #[display("finished")]
    Finished,
    /// All tasks have ended and at least one has failed without further retries.
    #[display("failed")]
    Failed,
    /// Cancelled, and all tasks have stopped.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Returns `true` if the state is terminal.
    pub const fn is_final(self) -> bool {
        matches!(self, State::Finished | State::Failed | State::Cancelled)
    }
}
