//! Admission: which submissions are accepted while more work arrives than the workers can do.
//!
//! An accepted job is owed to its end, so the decision falls here. A job is accepted when the work
//! that waits before it still leaves it time to be useful; otherwise it is refused at once with
//! the time after which the backlog will have shrunk.

use std::time::Duration;

/// Share of its objective, in percent, in which the accepted work must be done. The rest covers
/// the uncertainty of declared run times.
const WAIT_SHARE_MAX: u32 = 90;

/// Shortest time to come back, so that a refused client does not spend its retries at once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
/// Longest time to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// Share of the processors, in percent, that lasting tasks may reserve.
const LASTING_SHARE_MAX: u64 = 80;
/// Time to come back after the refusal of a lasting job: others end within tens of seconds.
const RETRY_AFTER_LASTING: Duration = Duration::from_secs(4);

/// State of the workers when a job arrives.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Work that is accepted and not done, in thousandths of a core times milliseconds.
    pub work: u64,
    /// Processor time of all workers of the service that lasting tasks are expected to leave, in
    /// thousandths of a core.
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
    /// Refuse the job; the client may come back after this time.
    Refuse(Duration),
}

/// Decides on a job that must be done `objective` after its arrival.
pub fn decide(load: &Load, objective: Duration) -> Decision {
    let backlog = load.backlog();
    if backlog <= objective * WAIT_SHARE_MAX / 100 {
        return Decision::Accept;
    }
    let excess = backlog - objective * WAIT_SHARE_MAX / 100;
    Decision::Refuse(excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX))
}

/// Decides on a job whose tasks last and reserve `wanted` thousandths of a core, beside `reserved`
/// by those that run, out of `capacity`.
///
/// Lasting tasks hold what they reserve for minutes. Without a limit they take the room of the
/// urgent short tasks, which are worth several times as much for each second of a processor.
pub fn decide_long_running(wanted: u64, reserved: u64, capacity: u64) -> Decision {
    if (reserved + wanted) * 100 <= capacity * LASTING_SHARE_MAX {
        return Decision::Accept;
    }
    Decision::Refuse(RETRY_AFTER_LASTING)
}
