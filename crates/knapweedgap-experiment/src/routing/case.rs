//! Cases: users, loads, events and methods.

use std::time::Duration;

use derive_more::Display;
use knapweedgap_routing::Policy;

/// Slots of each runner.
pub const SLOTS: u32 = 8;
/// Limit on the connections of each runner.
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
/// Time until a connection attempt to a zone with an outage fails.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time from the outage of a zone to the snapshot without it: 1.5 s of missed pings and up to 1 s
/// until the next read of the VM list.
pub const OUTAGE_DETECTION_TIME: Duration = Duration::from_millis(2500);
/// Delay before a client repeats a refused request.
pub const REPEAT_BACKOFF: Duration = Duration::from_millis(100);
/// Limit on the repeats of one request in the retry storm.
pub const REPEATS_MAX: u32 = 3;
/// Factor on the service time of the slow runner.
pub const SLOW_FACTOR: f64 = 5.0;
/// Factor on the load during a burst.
pub const BURST_FACTOR: f64 = 3.0;
/// Load of one entry as a multiple of the load of each other entry, in the case of uneven entries.
pub const UNEVEN_FACTOR: usize = 2;

/// Organisation whose fleet is simulated.
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

    /// Returns the one-way delay between two different availability zones.
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

    /// Returns the one-way delay between two zones, which may be the same.
    pub fn delay(self, from: usize, to: usize) -> Duration {
        if from == to { NEAR_DELAY } else { self.zone_delay() }
    }
}

/// Distribution of the service time of a request. The users state none, so two are simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Work {
    /// Exponentially distributed with a mean of 100 ms: tail latency is dominated by
    /// the service time.
    #[display("long work")]
    Long,
    /// Uniformly distributed from 10 ms to 30 ms: tail latency is dominated by queueing, and a
    /// round trip to another zone takes about half of the mean service time.
    #[display("short work")]
    Short,
}

impl Work {
    /// All distributions.
    pub const ALL: [Work; 2] = [Work::Long, Work::Short];

    /// Returns the mean service time.
    pub fn mean(self) -> Duration {
        match self {
            Work::Long => Duration::from_millis(100),
            Work::Short => Duration::from_millis(20),
        }
    }
}

/// Disturbance during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Event {
    /// Constant load without a disturbance.
    #[display("steady")]
    Steady,
    /// One entry receives twice as many requests as each other entry.
    #[display("uneven entries")]
    UnevenEntries,
    /// One runner is five times slower.
    #[display("slow runner")]
    SlowRunner,
    /// Outage of one availability zone with its runners and entries.
    #[display("zone lost")]
    ZoneLost,
    /// Three times the load for ten seconds.
    #[display("burst")]
    Burst,
    /// The same burst, with clients that repeat requests that timed out or were refused.
    #[display("retry storm")]
    RetryStorm,
}

impl Event {
    /// Returns `true` if the event includes a burst of load.
    pub fn has_burst(self) -> bool {
        matches!(self, Event::Burst | Event::RetryStorm)
    }
}

/// Load and disturbance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{work}, {event}, {load_percent} %")]
pub struct Case {
    /// Distribution of the service time.
    pub work: Work,
    /// Offered load, in percent of the slot capacity.
    pub load_percent: u32,
    /// Disturbance.
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

/// Method of choosing an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Method {
    /// Reference: one queue with immediate knowledge of every request and every slot.
    #[display("shared queue")]
    SharedQueue,
    /// The routers of all traffic threads with this policy.
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

/// Times of one run, relative to its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeline {
    /// Requests that start earlier are not measured.
    pub warm_up: Duration,
    /// When a zone outage or a burst starts.
    pub event: Duration,
    /// When a burst ends.
    pub event_end: Duration,
    /// When the last request starts.
    pub end: Duration,
}

impl Timeline {
    /// Returns the times of a full run.
    pub fn full() -> Timeline {
        Timeline {
            warm_up: Duration::from_secs(2),
            event: Duration::from_secs(4),
            event_end: Duration::from_secs(14),
            end: Duration::from_secs(22),
        }
    }

    /// Returns the times of a quick run.
    pub fn quick() -> Timeline {
        Timeline {
            warm_up: Duration::from_secs(1),
            event: Duration::from_secs(2),
            event_end: Duration::from_secs(4),
            end: Duration::from_secs(6),
        }
    }

    /// Returns the duration of the measured part.
    pub fn measured(&self) -> Duration {
        self.end - self.warm_up
    }
}

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Organisation whose fleet is simulated.
    pub user: User,
    /// Load and disturbance.
    pub case: Case,
    /// Method of choosing an upstream.
    pub method: Method,
    /// Times of the run.
    pub timeline: Timeline,
    /// Seed of the requests and of the routers.
    pub seed: u64,
}

impl Setup {
    /// Returns the zone of the runner or entry with this index.
    pub fn zone(number: usize) -> usize {
        number % ZONES
    }

    /// Returns the zone with an outage, or `None` if the case has no outage.
    pub fn failed_zone(&self) -> Option<usize> {
        (self.case.event == Event::ZoneLost).then_some(ZONES - 1)
    }

    /// Returns the service time on `runner` of a request that takes `time` on a normal runner.
    pub fn service_time(&self, runner: usize, time: Duration) -> Duration {
        let slow = self.case.event == Event::SlowRunner && runner == 0;
        if slow { time.mul_f64(SLOW_FACTOR) } else { time }
    }

    /// Returns the rate that occupies all slots, in requests per second.
    pub fn capacity_per_s(&self) -> f64 {
        self.user.runners() as f64 * f64::from(SLOTS) / self.case.work.mean().as_secs_f64()
    }

    /// Returns the offered rate at a time of the run, in requests per second.
    pub fn rate_per_s(&self, at: Duration) -> f64 {
        let rate = self.capacity_per_s() * f64::from(self.case.load_percent) / 100.0;
        let timeline = &self.timeline;
        let in_burst = at >= timeline.event && at < timeline.event_end;
        if self.case.event.has_burst() && in_burst { rate * BURST_FACTOR } else { rate }
    }
}
