//! Settings of a runner.

use std::time::Duration;

use derive_more::{Display, FromStr};
use knapweedgap_core::size;

/// Default slots; runners of both users have 8.
pub const SLOTS: u32 = 8;
/// Default limit on open connections; runners of both users accept 60.
pub const CONNECTIONS: u32 = 60;
/// Default limit on requests waiting for a slot.
const QUEUE: u32 = 16;
/// Default median of the service time.
const WORK: Duration = Duration::from_millis(20);
/// Default standard deviation of the logarithm of the service time. With 0.5, 1 % of the requests
/// take at least 3.2 times the median.
const SPREAD: f64 = 0.5;

/// Point in the processing of a request at which a runner crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[from_str(rename_all = "kebab-case")]
pub enum Point {
    /// After the request was read and got a slot, before its work begins.
    #[display("before")]
    Before,
    /// After the work ended, before the answer is sent.
    #[display("after")]
    After,
}

/// Simulated crash of a runner on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Point in the processing of the request.
    pub point: Point,
    /// Number of the request, counted from 1 among those that reach the point.
    pub request: u64,
}

/// Settings of a runner, created with [`Builder`].
#[derive(Debug, Clone)]
pub struct Settings {
    pub(super) slots: size::Slot,
    pub(super) queue: u32,
    pub(super) connections: size::Connection,
    pub(super) work: Duration,
    pub(super) spread: f64,
    pub(super) seed: u64,
    pub(super) crash: Option<Crash>,
}

impl Settings {
    /// Creates a builder with these defaults: 8 slots, a queue of 16 requests, 60 connections and a
    /// median service time of 20 ms.
    pub fn builder() -> Builder {
        let settings = Settings {
            slots: size::Slot::new(SLOTS),
            queue: QUEUE,
            connections: size::Connection::new(CONNECTIONS),
            work: WORK,
            spread: SPREAD,
            seed: 0,
            crash: None,
        };
        Builder { settings }
    }
}

/// Builder of [`Settings`].
#[derive(Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets the number of requests processed concurrently.
    pub fn slots(mut self, slots: size::Slot) -> Builder {
        self.settings.slots = slots;
        self
    }

    /// Sets the number of requests that may wait for a slot; further requests are refused.
    pub fn queue(mut self, requests: u32) -> Builder {
        self.settings.queue = requests;
        self
    }

    /// Sets the maximum number of open connections; further ones are closed at once.
    pub fn connections(mut self, connections: size::Connection) -> Builder {
        self.settings.connections = connections;
        self
    }

    /// Sets the median service time and the standard deviation of its logarithm.
    pub fn work(mut self, median: Duration, spread: f64) -> Builder {
        self.settings.work = median;
        self.settings.spread = spread;
        self
    }

    /// Sets the seed of the service times.
    pub fn seed(mut self, seed: u64) -> Builder {
        self.settings.seed = seed;
        self
    }

    /// Sets the request on which the runner crashes; with `None` it never does.
    pub fn crash(mut self, crash: Option<Crash>) -> Builder {
        self.settings.crash = crash;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
