//! Limits of an installation that the decisions respect.

use std::time::Duration;

use knapweedgap_core::size;

/// Bounds of one installation, built by [`Builder`].
#[derive(Debug, Clone)]
pub struct Bounds {
    pub(crate) lease: Duration,
    pub(crate) lease_max: Duration,
    pub(crate) late_start_lease: Duration,
    pub(crate) lead_time: Duration,
    pub(crate) retention: Duration,
    pub(crate) maintenance_time: Duration,
    pub(crate) drain_timeout: Duration,
    pub(crate) evacuation_timeout: Option<Duration>,
    pub(crate) value_max: size::Bytes,
    pub(crate) reservations: bool,
}

/// Longest lease that is requested. It is longer than a takeover (about 2 s) and short enough that
/// the tasks of a failed worker run elsewhere within a few seconds.
pub const LEASE: Duration = Duration::from_secs(4);

/// Share by which the clock of a worker may be slow, as specified by the platform.
pub const CLOCK_DRIFT: f64 = 0.02;

/// Time after the last confirmed commit for which an owner still renews leases. A shorter time
/// would end tasks in store outages of a few seconds, which the users list as expected faults. With
/// a longer one, the tasks of a worker that is lost together with its owner would stay down for more
/// than the 10 s that the users allow: about 1 s until the loss is noticed, the grace, 4.4 s of lease.
pub const OWNER_GRACE: Duration = Duration::from_secs(5);

/// Longest transit time of an order from its owner to a worker that the bounds on leases assume.
pub const ORDER_DELAY: Duration = Duration::from_millis(300);

/// Time for which a start without an answer is expected to reach the next incarnation of its worker
/// at the latest.
const LATE_START_DELAY: Duration = Duration::from_secs(6);

/// Default time from the announcement of a worker that it leaves until no start may reach it.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Share of that time, in percent, by which the list of workers may be old.
const LIST_AGE_PERCENT: u32 = 70;
/// Share of the time from the evacuation of a zone until no start may reach it, in percent, by which
/// the knowledge of the evacuated zones may be old.
const EVACUATION_AGE_PERCENT: u32 = 70;
/// Share of that time, in percent, in which a start may be sent.
const START_PERCENT: u32 = 25;

/// Default size of the largest value that the store takes.
pub const VALUE_MAX: size::Bytes = size::Bytes::new(1 << 20);

impl Bounds {
    /// Returns the size of the largest value that is written to the store.
    pub fn value_max(&self) -> size::Bytes {
        self.value_max
    }

    /// Returns the age of the list of workers above which nothing is placed or sent by it. A start
    /// that is sent at this age still has [`Bounds::start_timeout`] to reach its worker.
    pub fn list_age_max(&self) -> Duration {
        self.drain_timeout * LIST_AGE_PERCENT / 100
    }

    /// Returns the age of the knowledge of evacuated zones above which nothing is placed or sent by it;
    /// `None` if the installation sets no time. The rest of that time is more than
    /// [`Bounds::start_timeout`], in which the last start may be sent.
    pub fn evacuation_age_max(&self) -> Option<Duration> {
        Some(self.evacuation_timeout? * EVACUATION_AGE_PERCENT / 100)
    }

    /// Returns the time from the order of a start in which it may be sent to its worker.
    pub fn start_timeout(&self) -> Duration {
        self.drain_timeout * START_PERCENT / 100
    }

    /// Lowers the size of the largest value that is written to the store.
    pub fn lower_value_max(&mut self, bytes: size::Bytes) {
        self.value_max = self.value_max.min(bytes);
    }

    /// Creates a builder with the default bounds.
    pub fn builder() -> Builder {
        let bounds = Bounds {
            lease: LEASE,
            lease_max: LEASE,
            late_start_lease: LATE_START_DELAY + drifted(LEASE) + ORDER_DELAY,
            lead_time: Duration::ZERO,
            retention: Duration::from_secs(120),
            maintenance_time: Duration::from_secs(2),
            drain_timeout: DRAIN_TIMEOUT,
            evacuation_timeout: None,
            value_max: VALUE_MAX,
            reservations: true,
        };
        Builder { bounds }
    }
}

/// Returns the longest real time in which `duration` passes on the clock of a worker that is slow
/// by [`CLOCK_DRIFT`].
pub fn drifted(duration: Duration) -> Duration {
    duration.div_f64(1.0 - CLOCK_DRIFT)
}

/// Builder of [`Bounds`].
#[derive(Debug)]
pub struct Builder {
    bounds: Bounds,
}

impl Builder {
    /// Sets the longest lease that workers grant. Leases of at most [`LEASE`] are requested.
    pub fn lease_max(mut self, lease: Duration) -> Builder {
        self.bounds.lease = lease.min(LEASE);
        self.bounds.lease_max = lease;
        // A late start carries a time on the clock of the former incarnation, which the worker
        // shortens only to its longest lease.
        self.bounds.late_start_lease = LATE_START_DELAY + drifted(lease) + ORDER_DELAY;
        self
    }

    /// Sets how long before its due time an occurrence may begin; zero by default.
    pub fn lead_time(mut self, lead_time: Duration) -> Builder {
        self.bounds.lead_time = lead_time;
        self
    }

    /// Sets the time for which the state of a finished job is kept and shown to clients.
    pub fn retention(mut self, time: Duration) -> Builder {
        self.bounds.retention = time;
        self
    }

    /// Sets the expected time for which a VM is down during its maintenance.
    pub fn maintenance_time(mut self, time: Duration) -> Builder {
        self.bounds.maintenance_time = time;
        self
    }

    /// Sets the time from the announcement of a worker that it leaves until no start may reach it.
    pub fn drain_timeout(mut self, time: Duration) -> Builder {
        self.bounds.drain_timeout = time;
        self
    }

    /// Sets the time from the evacuation of a zone until no start may reach it; `None` by default.
    pub fn evacuation_timeout(mut self, time: Option<Duration>) -> Builder {
        self.bounds.evacuation_timeout = time;
        self
    }

    /// Sets the size of the largest value that the store takes; [`VALUE_MAX`] by default.
    pub fn value_max(mut self, bytes: size::Bytes) -> Builder {
        self.bounds.value_max = bytes;
        self
    }

    /// Sets whether room is reserved for wide steps ([`crate::ahead`]); `true` by default.
    pub fn reservations(mut self, reservations: bool) -> Builder {
        self.bounds.reservations = reservations;
        self
    }

    /// Returns the finished bounds.
    pub fn build(self) -> Bounds {
        self.bounds
    }
}
