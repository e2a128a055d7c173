//! Order in which ready steps are placed.
//!
//! Designed for the load pattern of a burst, in which more work is ready than fits and a late
//! result has no value for its client. Long-running tasks go first, because each second in which
//! they do not run is lost. Queues follow by priority and, within a queue, steps by the latest
//! start that meets the objective of their job. Jobs that have missed their objective go last.

use std::time::{Duration, Instant};

/// Multiple of the objective after which a result has no value for the client.
pub const USEFUL_FACTOR: u32 = 3;

/// Urgency of a step; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    tier: Tier,
    priority: u32,
    /// Latest start that meets the objective.
    start_by: Instant,
}

/// Group of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    LongRunning,
    /// The objective can still be met.
    InTime,
    /// The objective has passed, and the result still has value.
    Late,
    /// The result has no value any more.
    Worthless,
}

/// Inputs of the rank of a step.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// Priority of the queue; 0 goes first.
    pub priority: u32,
    /// When the job was accepted.
    pub accepted_at: Instant,
    /// Time after acceptance within which the job must be completed.
    pub objective: Duration,
    /// Declared run time of the step.
    pub run_time: Duration,
}

impl Step {
    /// Returns the urgency at `now`.
    pub fn rank(&self, now: Instant) -> Rank {
        let due = self.accepted_at + self.objective;
        let useful_until = self.accepted_at + self.objective * USEFUL_FACTOR;
        let tier = if self.long_running {
            Tier::LongRunning
        } else if now <= due {
            Tier::InTime
        } else if now <= useful_until {
            Tier::Late
        } else {
            Tier::Worthless
        };
        let start_by = due.checked_sub(self.run_time).unwrap_or(self.accepted_at);
        Rank { tier, priority: self.priority, start_by }
    }
}
