//! Bounds on the leases of earlier owners, in a time that successive owners share.
//!
//! The instances have no clock in common. Each commit of an owner therefore stores the time of its
//! lease clock, and the next owner continues from the stored time at a moment after that commit. A
//! lease clock never runs ahead of real time, so a lease that ends before some time of it has ended
//! once the clock of any later owner shows that time.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use knapweedgap_core::parse;
use serde::{Deserialize, Serialize};

/// Time on the lease clock, written in milliseconds as `1500ms`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// Wraps a number of milliseconds.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis)
    }

    /// Returns the number of milliseconds.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the time `duration` later, rounded up to a whole millisecond.
    pub fn after(self, duration: Duration) -> Time {
        let millis = u64::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(millis))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Time {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Time, parse::Error> {
        let error = || parse::Error::new("lease time", text, "write milliseconds as 1500ms");
        let digits = text.strip_suffix("ms").ok_or_else(error)?;
        digits.parse().map(Time).map_err(|_| error())
    }
}

/// Lease clock of one owner.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Time,
    started_at: Instant,
}

impl Clock {
    /// Creates a clock that shows `start` at `started_at`, which must not be before the commit that
    /// stored `start`.
    pub const fn new(start: Time, started_at: Instant) -> Clock {
        Clock { start, started_at }
    }

    /// Returns the time that the clock shows at `now`, in whole milliseconds that have passed.
    pub fn time(&self, now: Instant) -> Time {
        let elapsed = now.saturating_duration_since(self.started_at);
        Time(self.start.0.saturating_add(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)))
    }

    /// Returns the time that the clock shows at `later`, rounded up to a whole millisecond.
    pub fn time_after(&self, later: Instant) -> Time {
        self.start.after(later.saturating_duration_since(self.started_at))
    }

    /// Returns when the clock shows `time`, at the earliest when the clock was started.
    pub fn instant(&self, time: Time) -> Instant {
        self.started_at + time.since(self.start)
    }
}

/// What an owner knows about the leases that earlier owners granted.
#[derive(Debug, Clone, Copy)]
pub struct Handover {
    /// Lease clock, continued from the last commit of the previous owner.
    pub clock: Clock,
    /// Time after which no earlier owner renews a lease.
    pub renewals_end: Time,
}

impl Handover {
    /// Creates the handover of the first owner, at `now`: there are no leases.
    pub const fn first(now: Instant) -> Handover {
        Handover { clock: Clock::new(Time(0), now), renewals_end: Time(0) }
    }
}
