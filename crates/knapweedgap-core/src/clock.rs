//! Clock interface, so that tests and experiments can control the time that decisions depend on.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use rustix::time::ClockId;

/// Source of monotonic and wall time.
pub trait Clock {
    /// Returns the monotonic time, which all deadlines and leases are based on.
    fn now(&self) -> Instant;

    /// Returns the wall time, which is used only to label events.
    fn wall(&self) -> SystemTime;

    /// Returns the processor time that the calling thread has used.
    fn processor(&self) -> Duration;
}

/// Clock of the operating system. Its monotonic time stops while the machine is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn processor(&self) -> Duration {
        read(ClockId::ThreadCPUTime)
    }
}

/// Clock of the operating system whose monotonic time continues while the machine is suspended.
/// Leases and ownership must expire during a suspension, which their holder does not notice.
#[derive(Debug, Clone, Copy)]
pub struct Boot {
    start: Instant,
    start_uptime: Duration,
}

impl Boot {
    /// Creates a clock whose monotonic time starts at the current time.
    pub fn new() -> Boot {
        Boot { start: Instant::now(), start_uptime: uptime() }
    }
}

impl Default for Boot {
    fn default() -> Boot {
        Boot::new()
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        self.start + uptime().saturating_sub(self.start_uptime)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn processor(&self) -> Duration {
        read(ClockId::ThreadCPUTime)
    }
}

/// Returns the time since the machine booted, including suspensions.
fn uptime() -> Duration {
    read(ClockId::Boottime)
}

fn read(clock: ClockId) -> Duration {
    let time = rustix::time::clock_gettime(clock);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
}

/// Clock that advances only through [`Manual::advance`]. Its wall time starts at the Unix epoch.
#[derive(Debug)]
pub struct Manual {
    start: Instant,
    elapsed_us: AtomicU64,
}

impl Manual {
    /// Creates a clock whose monotonic time is the current time.
    pub fn new() -> Manual {
        Manual { start: Instant::now(), elapsed_us: AtomicU64::new(0) }
    }

    /// Advances the clock by `step`, truncated to whole microseconds.
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

    fn processor(&self) -> Duration {
        self.elapsed()
    }
}
