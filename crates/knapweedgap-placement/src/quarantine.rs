//! Quarantine of workers that fail every task.
//!
//! Three consecutive failures of different jobs put a worker into quarantine. The duration doubles
//! with each quarantine until a task succeeds on the worker.

use std::time::Duration;

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

/// Consecutive failures of different jobs that put a worker into quarantine.
pub const STREAK_THRESHOLD: usize = 3;
/// Duration of the first quarantine.
pub const DURATION_MIN: Duration = Duration::from_secs(10);
/// Limit on the duration of a quarantine.
pub const DURATION_MAX: Duration = Duration::from_secs(600);

/// Failures of a worker since its last success.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Last failed task of each job in the streak.
    pub streak: Vec<id::Task>,
    /// Number of quarantines since the last success.
    pub level: u32,
}

impl Health {
    /// Adds a failure. Repeated failures of one job count once, since the job may cause them.
    pub fn record_failure(&mut self, task: id::Task) {
        self.streak.retain(|failed| failed.job != task.job);
        self.streak.push(task);
    }

    /// Returns `true` if the streak has reached [`STREAK_THRESHOLD`].
    pub fn is_due(&self) -> bool {
        self.streak.len() >= STREAK_THRESHOLD
    }

    /// Begins a quarantine; returns and clears the tasks whose failures the worker caused.
    pub fn quarantine(&mut self) -> Vec<id::Task> {
        self.level = self.level.saturating_add(1);
        std::mem::take(&mut self.streak)
    }

    /// Returns the duration of the current quarantine.
    pub fn duration(&self) -> Duration {
        let doublings = self.level.saturating_sub(1).min(16);
        (DURATION_MIN * (1 << doublings)).min(DURATION_MAX)
    }
}
