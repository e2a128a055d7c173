//! Users, cases and methods that are measured.

use std::time::Duration;

use derive_more::Display;
use knapweedgap_routing::Policy;

/// Slots of one runner.
pub const SLOTS: u32 = 8;
/// Connections that one runner accepts.
pub const CONNECTIONS: u32 = 60;
/// Entries of each user.
pub const ENTRIES: usize = 7;
/// Traffic threads of each entry.
pub const THREADS: usize = 2;
/// Availability zones of each user.
pub const ZONES: usize = 3;
/// Time that a client waits for an answer.
pub const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// One-way delay inside an availability zone.
pub const NEAR_DELAY: Duration = Duration::from_micros(250);
/// Time until a connection to a lost zone counts as failed.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time from the loss of a zone to the snapshot that shows it: 1.5 s of missed pings and up to 1 s
/// until the VM list is read again.
pub const LOSS_NOTICE: Duration = Duration::from_millis(2500);
/// Time until a client that was refused repeats its request.
pub const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Repeats of one client in the retry storm.
pub const REPEATS: u32 = 3;
/// Factor of the slow runner's times.
pub const SLOW_FACTOR: f64 = 5.0;
/// Factor of the load during a burst.
pub const BURST_FACTOR: f64 = 3.0;
/// Share of one entry in units of the share of every other, in the case of uneven entries.
pub const UNEVEN_FACTOR: usize = 2;

/// User whose sizes are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum User {
    /// Anadolu Bileme Ortaklığı.
    #[display("anadolu")]
    Anadolu,
    /// Karoo Lynx Telecoms.
    #[display("karoo")]
    Karoo,
}

impl User {
    /// All users.
    pub const ALL: [User; 2] = [User::Anadolu, User::Karoo];

    /// Returns the number of runners.
    pub fn runners(self) -> usize {
        match self {
            User::Anadolu => 65,
            User::Karoo => 50,
        }
    }

    /// Returns the one-way delay between availability zones.
    pub fn zone_delay(self) -> Duration {
        match self {
            User::Anadolu => Duration::from_millis(5),
            User::Karoo => Duration::from_millis(4),
        }
    }

    /// Returns the one-way delay between clients and entries.
    pub fn client_delay(self) -> Duration {
        match self {
            User::Anadolu => Duration::from_millis(3),
            User::Karoo => Duration::from_millis(1),
        }
    }

    /// Returns the one-way delay between two zones.
    pub fn delay(self, from: usize, to: usize) -> Duration {
        if from == to { NEAR_DELAY } else { self.zone_delay() }
    }
}

/// Time that a runner works on one request. The users name no figure, so two are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Work {
    /// Exponentially distributed with a mean of 100 ms: the tail of the latency comes mostly from
    /// the work.
    #[display("long work")]
    Long,
    /// Evenly distributed from 10 ms to 30 ms: the tail comes mostly from queues, and the way to
    /// another zone and back takes as long as half of the work.
    #[display("short work")]
    Short,
}

impl Work {
    /// All kinds of work.
    pub const ALL: [Work; 2] = [Work::Long, Work::Short];

    /// Returns the mean.
    pub fn mean(self) -> Duration {
        match self {
            Work::Long => Duration::from_millis(100),
            Work::Short => Duration::from_millis(20),
        }
    }
}

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Event {
    /// Nothing besides the load.
    #[display("steady")]
    Steady,
    /// One entry gets twice as many requests as each other entry.
    #[display("uneven entries")]
    UnevenEntries,
    /// One runner is five times slower.
    #[display("slow runner")]
    SlowRunner,
    /// One availability zone is lost with its runners and entries.
    #[display("zone lost")]
    ZoneLost,
    /// Three times the load for ten seconds.
    #[display("burst")]
    Burst,
    /// The burst, with clients that repeat what timed out or was refused.
    #[display("retry storm")]
    RetryStorm,
}

impl Event {
    /// Tells whether the load is higher for some time.
    pub fn has_burst(self) -> bool {
        matches!(self, Event::Burst | Event::RetryStorm)
    }
}

/// Load and what happens under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{work}, {event}, {load_percent} %")]
pub struct Case {
    /// Time that runners work on a request.
    pub work: Work,
    /// Offered load, in percent of the slot capacity.
    pub load_percent: u32,
    /// What happens.
    pub event: Event,
}

impl Case {
    /// Returns all cases.
    pub fn all() -> Vec<Case> {
        let events = [
            Event::UnevenEntries,
            Event::SlowRunner,
            Event::ZoneLost,
            Event::Burst,
            Event::RetryStorm,
        ];
        let mut cases = Vec::new();
        for work in Work::ALL {
            for load_percent in [30, 60, 85, 95, 120] {
                cases.push(Case { work, load_percent, event: Event::Steady });
            }
            for event in events {
                for load_percent in [60, 85] {
                    cases.push(Case { work, load_percent, event });
                }
            }
        }
        cases
    }
}

/// Way of choosing an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Method {
    /// Reference limit: one queue that sees every request and every slot without delay.
    #[display("shared queue")]
    SharedQueue,
    /// The routers of all traffic threads with one policy.
    #[display("{_0}")]
    Router(Policy),
}

impl Method {
    /// Returns all methods, the reference first.
    pub fn all() -> Vec<Method> {
        let mut methods = vec![Method::SharedQueue];
        methods.extend(Policy::ALL.map(Method::Router));
        methods
    }
}

/// Times of one run, from its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeline {
    /// Requests that start earlier are not measured.
    pub warm_up: Duration,
    /// When a zone is lost or a burst starts.
    pub event: Duration,
    /// When a burst ends.
    pub event_end: Duration,
    /// When the last request starts.
    pub end: Duration,
}

impl Timeline {
    /// Times of a full run.
    pub fn full() -> Timeline {
        Timeline {
            warm_up: Duration::from_secs(2),
            event: Duration::from_secs(4),
            event_end: Duration::from_secs(14),
            end: Duration::from_secs(22),
        }
    }

    /// Times of a short run.
    pub fn quick() -> Timeline {
        Timeline {
            warm_up: Duration::from_secs(1),
            event: Duration::from_secs(2),
            event_end: Duration::from_secs(4),
            end: Duration::from_secs(6),
        }
    }

    /// Returns the measured time.
    pub fn measured(&self) -> Duration {
        self.end - self.warm_up
    }
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Sizes and delays.
    pub user: User,
    /// Load and events.
    pub case: Case,
    /// Way of choosing an upstream.
    pub method: Method,
    /// Times.
    pub timeline: Timeline,
    /// Seed of the requests and of the routers.
    pub seed: u64,
}

impl Setup {
    /// Returns the zone of a runner or an entry.
    pub fn zone(number: usize) -> usize {
        number % ZONES
    }

    /// Returns the zone that is lost, if any.
    pub fn lost_zone(&self) -> Option<usize> {
        (self.case.event == Event::ZoneLost).then_some(ZONES - 1)
    }

    /// Returns the time that a runner needs for work of `time` on a normal runner.
    pub fn service_time(&self, runner: usize, time: Duration) -> Duration {
        let slow = self.case.event == Event::SlowRunner && runner == 0;
        if slow { time.mul_f64(SLOW_FACTOR) } else { time }
    }

    /// Returns the requests per second that fill all slots.
    pub fn capacity_per_s(&self) -> f64 {
        self.user.runners() as f64 * f64::from(SLOTS) / self.case.work.mean().as_secs_f64()
    }

    /// Returns the requests per second at a time of the run.
    pub fn rate_per_s(&self, at: Duration) -> f64 {
        let rate = self.capacity_per_s() * f64::from(self.case.load_percent) / 100.0;
        let timeline = &self.timeline;
        let in_burst = at >= timeline.event && at < timeline.event_end;
        if self.case.event.has_burst() && in_burst { rate * BURST_FACTOR } else { rate }
    }
}
