//! Settings of a runner.

use std::time::Duration;

use derive_more::{Display, FromStr};
use knapweedgap_core::size;

/// Slots of a runner of both users.
pub const SLOTS: u32 = 8;
/// Connections that a runner of both users accepts.
pub const CONNECTIONS: u32 = 60;
/// Requests that wait beyond the slots unless set.
const QUEUE: u32 = 16;
/// Median of the service time unless set.
const WORK: Duration = Duration::from_millis(20);
/// Spread of the service time unless set: with 0.5, one request in a hundred takes 3.2 times the
/// median or longer.
const SPREAD: f64 = 0.5;

/// Point at which a runner dies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[from_str(rename_all = "kebab-case")]
pub enum Point {
    /// After it read a request, before it acts on it.
    #[display("before")]
    Before,
    /// After it acted on a request, before it answers.
    #[display("after")]
    After,
}

/// Death on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Point of the request.
    pub point: Point,
    /// Position of the request, from 1, among those that reach the point.
    pub request: u64,
}

/// Settings of a runner. Built by [`Builder`].
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
    /// Starts from 8 slots, a queue of 16, 60 connections and a median service time of 20 ms.
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
    /// Sets how many requests run at once.
    pub fn slots(mut self, slots: size::Slot) -> Builder {
        self.settings.slots = slots;
        self
    }

    /// Sets how many requests may wait for a slot; more are refused.
    pub fn queue(mut self, requests: u32) -> Builder {
        self.settings.queue = requests;
        self
    }

    /// Sets how many connections are accepted at once; more are closed.
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

    /// Sets the request on which the runner dies.
    pub fn crash(mut self, crash: Option<Crash>) -> Builder {
        self.settings.crash = crash;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
