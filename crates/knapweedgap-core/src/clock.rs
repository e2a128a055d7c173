//! Time as an interface, so that decisions can be driven by a test or an experiment.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall time.
pub trait Clock {
    /// Returns the monotonic time, used for every deadline and lease.
    fn now(&self) -> Instant;

    /// Returns the wall time, used only to label events for people.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock of the operating system whose monotonic time also counts the time in which the machine
/// was suspended. Leases and ownership must not survive a suspension that their holder has not
/// noticed.
#[derive(Debug, Clone, Copy)]
pub struct Boot {
    start: Instant,
    start_boot: Duration,
}

impl Boot {
    /// Starts the clock.
    pub fn new() -> Boot {
        Boot { start: Instant::now(), start_boot: boot_time() }
    }
}

impl Default for Boot {
    fn default() -> Boot {
        Boot::new()
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        self.start + boot_time().saturating_sub(self.start_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time since the machine started, suspensions included.
fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Clock that moves only when told to.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed_us: AtomicU64,
}

impl Manual {
    /// Creates a clock that stands at the current time.
    pub fn new() -> Manual {
        Manual { start: Instant::now(), elapsed_us: AtomicU64::new(0) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, step: Duration) {
        let step_us = u64::try_from(step.as_micros()).unwrap_or(u64::MAX);
        self.elapsed_us.fetch_add(step_us, Ordering::Relaxed);
    }

    fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_us.load(Ordering::Relaxed))
    }
}

impl Default for Manual {
    fn default() -> Manual {
        Manual::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
