//! Explanation of a waiting or stuck job in one line, with reason and remedy.

use std::time::Instant;

use derive_more::Display;
use knapweedgap_core::{id, size};

/// Reason for which a job makes no progress.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub enum Reason {
    /// The quota of the team is exhausted.
    #[display(
        "team {team} uses {used} of its quota {}; wait for its other jobs or raise the quota",
        limited_dimensions(quota)
    )]
    Quota {
        team: id::Team,
        /// Committed sizes of the team in this partition.
        used: size::Resources,
        /// Quota of the team in this partition.
        quota: size::Resources,
    },
    /// No worker of the partition reports.
    #[display("none of the {listed} workers of the partition reports; check the workers")]
    NoWorker {
        /// Workers in the VM list.
        listed: usize,
    },
    /// No admitted worker is large enough, even without other tasks.
    #[display("no admitted worker has {size} in total; cancel the job or add a larger worker")]
    TooLarge {
        /// Declared size.
        size: size::Resources,
    },
    /// No admitted worker has enough free capacity.
    #[display(
        "no admitted worker has {size} free, {quarantined} are in quarantine; wait for running \
         tasks or add workers"
    )]
    NoCapacity {
        /// Declared size.
        size: size::Resources,
        /// Workers in quarantine.
        quarantined: usize,
    },
    /// Uncommitted records wait for the key-value service.
    #[display("{records} records wait for the key-value service; check the service")]
    Commit {
        /// Number of uncommitted records.
        records: usize,
    },
    /// The next pass places the tasks.
    #[display("the task is next; no action is needed")]
    Next,
    /// The worker of an attempt does not report.
    #[display(
        "worker {worker} of task {task} does not report; the task resumes elsewhere in {seconds} s \
         unless the worker returns"
    )]
    Unreachable {
        task: id::Task,
        worker: id::Worker,
        /// Seconds until the latest possible end of the worker's lease.
        seconds: u64,
    },
    /// A stop is not confirmed.
    #[display("task {task} is being stopped on worker {worker}; check the worker if it lasts")]
    Stopping { task: id::Task, worker: id::Worker },
}

/// Explanation for one job.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("job {job}: {reason}")]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Line {
    pub job: id::Job,
    /// Displayed with its remedy.
    pub reason: Reason,
}

/// Formats the dimensions of a quota that are limited.
fn limited_dimensions(quota: &size::Resources) -> String {
    let mut parts = Vec::new();
    if quota.processor.milli() < u64::MAX {
        parts.push(format!("{} processors", quota.processor));
    }
    if quota.memory.get() < u64::MAX {
        parts.push(format!("{} memory", quota.memory));
    }
    if quota.accelerator.get() < u32::MAX {
        parts.push(format!("{} accelerators", quota.accelerator));
    }
    parts.join(", ")
}

/// Returns the whole seconds until `at`, rounded up.
pub(crate) fn seconds_until(at: Instant, now: Instant) -> u64 {
    let left = at.saturating_duration_since(now);
    left.as_secs() + u64::from(left.subsec_nanos() > 0)
}
