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
