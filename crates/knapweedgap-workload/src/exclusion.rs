//! Reasons why a worker is not chosen for a task.

use std::collections::BTreeMap;
use std::fmt;

use derive_more::Display;

/// First check that a worker does not pass, in the order of the checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Exclusion {
    /// The platform does not list the worker.
    #[display("unlisted")]
    Unlisted,
    /// The size of this incarnation is not known yet.
    #[display("undescribed")]
    Undescribed,
    /// The platform lists a later incarnation.
    #[display("restarted")]
    Restarted,
    /// The worker will leave.
    #[display("draining")]
    Draining,
    /// Operators evacuate its availability zone.
    #[display("evacuated")]
    Evacuated,
    /// A call has failed since the last answered poll.
    #[display("suspect")]
    Suspect,
    /// Maintenance of its VM.
    #[display("maintenance")]
    Maintenance,
    /// Backoff or quarantine after failed runs.
    #[display("failed_runs")]
    FailedRuns,
    /// The last report is too old, or there is none.
    #[display("stale_report")]
    StaleReport,
    /// It runs as many tasks of the step as permitted.
    #[display("step_limit")]
    StepLimit,
    /// The step needs a permit, and there is none for this worker.
    #[display("no_permit")]
    NoPermit,
    /// Its free capacity does not cover what the task reserves.
    #[display("capacity")]
    Capacity,
    /// A best-effort task would find too little unused processor time.
    #[display("unused_processor")]
    UnusedProcessor,
    /// A best-effort task would leave the serving tasks too little slack.
    #[display("slack")]
    Slack,
    /// Its room is reserved for a step that is earlier in the order.
    #[display("reserved")]
    Reserved,
}

/// Number of workers by the reason why they are not chosen.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Count {
    reasons: BTreeMap<Exclusion, u32>,
}

impl Count {
    /// Counts one more worker.
    pub fn add(&mut self, reason: Exclusion) {
        *self.reasons.entry(reason).or_default() += 1;
    }

    /// Returns the number of workers that are not chosen for this reason.
    pub fn of(&self, reason: Exclusion) -> u32 {
        self.reasons.get(&reason).copied().unwrap_or_default()
    }
}

impl fmt::Display for Count {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.reasons.is_empty() {
            return f.write_str("none");
        }
        for (position, (reason, count)) in self.reasons.iter().enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(f, "{separator}{reason}:{count}")?;
        }
        Ok(())
    }
}
