//! Times and factors of the platform that the decisions keep.

use std::time::Duration;

/// Bounds of one installation. Built by [`Builder`].
#[derive(Debug, Clone)]
pub struct Bounds {
    pub(crate) lease: Duration,
    pub(crate) predecessor_grant: Duration,
    pub(crate) early: Duration,
    pub(crate) retention: Duration,
    pub(crate) maintenance_time: Duration,
}

/// Longest lease that is asked for. It outlives a takeover (about 2 s) and is short enough that
/// the tasks of a dead worker run elsewhere within a few seconds.
pub const LEASE: Duration = Duration::from_secs(4);

/// Share by which the clock of a worker may run slow, from the platform's description.
pub const CLOCK_DRIFT: f64 = 0.02;

/// Time after the last confirmed commit in which an owner still renews leases. A shorter time
/// would end tasks in the store outages of a few seconds that the users list.
pub const OWNER_GRACE: Duration = Duration::from_secs(6);

/// Longest time that an order takes from its owner to a worker before the worker sees it, as far
/// as leases are concerned.
pub const ORDER_DELAY: Duration = Duration::from_millis(300);

impl Bounds {
    /// Starts from the defaults.
    pub fn builder() -> Builder {
        let bounds = Bounds {
            lease: LEASE,
            predecessor_grant: OWNER_GRACE + drifted(LEASE) + ORDER_DELAY,
            early: Duration::ZERO,
            retention: Duration::from_secs(120),
            maintenance_time: Duration::from_secs(2),
        };
        Builder { bounds }
    }
}

/// Returns the real time in which `duration` passes at the latest on the clock of a worker.
pub fn drifted(duration: Duration) -> Duration {
    duration.div_f64(1.0 - CLOCK_DRIFT)
}

/// Builder of [`Bounds`].
#[derive(Debug)]
pub struct Builder {
    bounds: Bounds,
}

impl Builder {
    /// Sets the longest lease that workers grant; leases are never longer than [`LEASE`].
    pub fn lease_max(mut self, lease: Duration) -> Builder {
        self.bounds.lease = lease.min(LEASE);
        self.bounds.predecessor_grant = OWNER_GRACE + drifted(self.bounds.lease) + ORDER_DELAY;
        self
    }

    /// Sets how much before its time an occurrence may begin.
    pub fn early(mut self, time: Duration) -> Builder {
        self.bounds.early = time;
        self
    }

    /// Sets how long the state of a finished job is shown.
    pub fn retention(mut self, time: Duration) -> Builder {
        self.bounds.retention = time;
        self
    }

    /// Sets how long a VM is down for its maintenance.
    pub fn maintenance_time(mut self, time: Duration) -> Builder {
        self.bounds.maintenance_time = time;
        self
    }

    /// Returns the finished bounds.
    pub fn build(self) -> Bounds {
        self.bounds
    }
}
