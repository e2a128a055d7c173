//! Order in which steps that are ready get workers.
//!
//! Answers the load pattern of a burst: more work is ready than fits, and what is started late
//! earns its client nothing. Lasting tasks go first, because each second without them is lost.
//! Then queues by priority and, within one, steps by the time that is left until they must start
//! to meet the objective of their job. Jobs that have missed their objective go behind all others.

use std::time::{Duration, Instant};

/// Multiple of the objective after which a result has no value for the client.
pub const USEFUL_FACTOR: u32 = 3;

/// Urgency of a step; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    tier: Tier,
    priority: u32,
    /// Latest start that meets the objective, relative to an arbitrary point.
    start_by: Instant,
}

/// Group of urgency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Lasting,
    InTime,
    Late,
    Useless,
}

/// What the rank depends on.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    /// The tasks last until the job is cancelled.
    pub long_running: bool,
    /// Priority of the queue; 0 goes first.
    pub priority: u32,
    /// When the job was accepted.
    pub accepted_at: Instant,
    /// Time from acceptance in which the job is to be completed.
    pub objective: Duration,
    /// Declared run time of the step.
    pub run_time: Duration,
}

impl Step {
    /// Returns the urgency at `now`.
    pub fn rank(&self, now: Instant) -> Rank {
        let due = self.accepted_at + self.objective;
        let useful = self.accepted_at + self.objective * USEFUL_FACTOR;
        let tier = if self.long_running {
            Tier::Lasting
        } else if now <= due {
            Tier::InTime
        } else if now <= useful {
            Tier::Late
        } else {
            Tier::Useless
        };
        let start_by = due.checked_sub(self.run_time).unwrap_or(self.accepted_at);
        Rank { tier, priority: self.priority, start_by }
    }
}
