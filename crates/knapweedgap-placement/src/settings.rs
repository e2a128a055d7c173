//! Settings of the engine. The caller reads them from the settings tree.

use std::time::Duration;

use knapweedgap_core::rate;

use crate::quota;

/// Weights of the objective. Only their proportions matter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weights {
    /// Latency of services.
    pub latency: rate::Share,
    /// Throughput of batch work.
    pub throughput: rate::Share,
    /// Avoidance of evictions.
    pub evictions: rate::Share,
}

impl Default for Weights {
    fn default() -> Weights {
        let third = rate::Share::from_milli(333);
        Weights { latency: third, throughput: third, evictions: third }
    }
}

/// Settings of the engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Quotas of the teams.
    pub quotas: quota::Table,
    /// Weights of the objective.
    pub weights: Weights,
    /// Time for which a finished job is retained to recognize repeated submissions.
    pub retention: Duration,
    /// Most retained finished jobs.
    pub retained_max: usize,
    /// Most unfinished tasks of the partition. Bounds the memory and the checkpoint.
    pub tasks_max: u32,
    /// Most jobs with unfinished tasks. Bounds the memory and the checkpoint.
    pub jobs_max: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            quotas: quota::Table::default(),
            weights: Weights::default(),
            retention: Duration::from_secs(24 * 60 * 60),
            retained_max: 4096,
            tasks_max: 200_000,
            jobs_max: 10_000,
        }
    }
}
