//! Admission: which submissions are accepted while more work arrives than the workers can do.
//!
//! An accepted job must be finished, so overload is handled at submission. A job is accepted when
//! the backlog still allows it to meet its objective. Otherwise it is refused at once, with the
//! time after which the backlog is expected to have shrunk.

use std::time::Duration;

/// Share of its objective, in percent, in which the accepted work must be done. The rest covers
/// the uncertainty of declared run times.
const BACKLOG_SHARE_MAX: u32 = 90;

/// Shortest time before a retry, so that a refused client does not use up its retries at once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// Longest time before a retry.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// Share of the processors, in percent, that long-running tasks may reserve.
const LONG_RUNNING_SHARE_MAX: u64 = 80;
/// Time before a retry of a refused long-running job. Other long-running jobs end within tens of
/// seconds.
const LONG_RUNNING_RETRY_AFTER: Duration = Duration::from_secs(4);

/// State of the workers when a job arrives.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Work that is accepted and not done, in thousandths of a core times milliseconds.
    pub work: u64,
    /// Processor time of all workers of the service that long-running tasks are expected to leave
    /// unused, in thousandths of a core.
    pub processors: u64,
}

impl Load {
    /// Returns the time in which the workers would finish the accepted work.
    pub fn backlog(&self) -> Duration {
        Duration::from_millis(self.work / self.processors.max(1))
    }
}

/// Decision on a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Accept the job.
    Accept,
    /// Refuse the job; the client may retry after this time.
    Refuse(Duration),
}

/// Decides on a job that must be done `objective` after its arrival.
pub fn decide(load: &Load, objective: Duration) -> Decision {
    let backlog = load.backlog();
    if backlog <= objective * BACKLOG_SHARE_MAX / 100 {
        return Decision::Accept;
    }
    let excess = backlog - objective * BACKLOG_SHARE_MAX / 100;
    Decision::Refuse(excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX))
}

/// Decides on a long-running job. Its tasks would reserve `requested` out of `capacity`, in
/// addition to `reserved` for earlier jobs, all in thousandths of a core.
///
/// Long-running tasks keep their reservation for minutes. Without a limit they use up the capacity
/// for urgent short tasks, which are worth several times as much per second of processor time.
pub fn decide_long_running(requested: u64, reserved: u64, capacity: u64) -> Decision {
    if (reserved + requested) * 100 <= capacity * LONG_RUNNING_SHARE_MAX {
        return Decision::Accept;
    }
    Decision::Refuse(LONG_RUNNING_RETRY_AFTER)
}
