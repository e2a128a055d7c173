//! Workers that fail every task.
//!
//! Three failures in a row of different jobs put a worker into quarantine. The time doubles with
//! each quarantine until a task succeeds on the worker.

use std::time::Duration;

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

/// Failures in a row of different jobs that put a worker into quarantine.
pub const STREAK_THRESHOLD: usize = 3;
/// First quarantine.
pub const DURATION_MIN: Duration = Duration::from_secs(10);
/// Longest quarantine.
pub const DURATION_MAX: Duration = Duration::from_secs(600);

/// Failures of a worker since its last success.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Last failed task of each job in the streak.
    pub streak: Vec<id::Task>,
    /// Quarantines since the last success.
    pub level: u32,
}

impl Health {
    /// Adds a failure. A job that fails twice in a row counts once, since it may be at fault.
    pub fn record_failure(&mut self, task: id::Task) {
        self.streak.retain(|failed| failed.job != task.job);
        self.streak.push(task);
    }

    /// Tells whether the streak is long enough for a quarantine.
    pub fn is_due(&self) -> bool {
        self.streak.len() >= STREAK_THRESHOLD
    }

    /// Begins a quarantine and returns the tasks whose failures the worker caused.
    pub fn quarantine(&mut self) -> Vec<id::Task> {
        self.level = self.level.saturating_add(1);
        std::mem::take(&mut self.streak)
    }

    /// Returns how long the current quarantine lasts.
    pub fn duration(&self) -> Duration {
        let doublings = self.level.saturating_sub(1).min(16);
        (DURATION_MIN * (1 << doublings)).min(DURATION_MAX)
    }
}
