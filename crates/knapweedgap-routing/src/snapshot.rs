//! Immutable input of all routers of one entry, published by the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use knapweedgap_core::{id, rate, size};

/// The control thread's view of entries, services and upstreams, for the traffic threads.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Instance of this entry.
    pub instance: id::Instance,
    /// Availability zone of this entry.
    pub zone: id::Zone,
    /// Live entries, this one included, among which the slots of every upstream are divided.
    pub entries: Vec<Entry>,
    /// Number of entries in the configuration, from which the share of connections follows. It does
    /// not change when an entry fails or is replaced.
    pub entries_configured: u32,
    /// Number of traffic threads of each entry.
    pub traffic_threads: u32,
    /// Services that this entry routes requests to.
    pub services: Vec<Service>,
}

impl Snapshot {
    /// Creates a snapshot with one entry, one traffic thread and no services.
    pub fn new(instance: id::Instance, zone: id::Zone) -> Snapshot {
        let entries = vec![Entry { id: instance.clone(), zone: zone.clone() }];
        Snapshot {
            instance,
            zone,
            entries,
            entries_configured: 1,
            traffic_threads: 1,
            services: Vec::new(),
        }
    }

    /// Sets the live entries, which include this one.
    pub fn entries(mut self, entries: Vec<Entry>) -> Snapshot {
        self.entries = entries;
        self
    }

    /// Sets the number of entries in the configuration.
    pub fn entries_configured(mut self, count: u32) -> Snapshot {
        self.entries_configured = count;
        self
    }

    /// Sets the number of traffic threads of each entry.
    pub fn traffic_threads(mut self, count: u32) -> Snapshot {
        self.traffic_threads = count;
        self
    }

    /// Returns `true` if slots and connections of equal upstreams are divided in the same way.
    pub(crate) fn has_same_shares(&self, other: &Snapshot) -> bool {
        self.instance == other.instance
            && self.zone == other.zone
            && self.entries == other.entries
            && self.entries_configured == other.entries_configured
            && self.traffic_threads == other.traffic_threads
    }

    /// Adds a service.
    pub fn service(mut self, service: Service) -> Snapshot {
        self.services.push(service);
        self
    }
}

/// One live entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Instance of the entry.
    pub id: id::Instance,
    /// Availability zone of the entry.
    pub zone: id::Zone,
}

/// One service and its upstreams.
#[derive(Debug, Clone)]
pub struct Service {
    /// Name, which is the first path segment of the service's requests.
    pub id: id::Service,
    /// Limits from the settings tree.
    pub limits: Limits,
    /// Upstreams from the VM list, live and leaving.
    pub upstreams: Vec<Upstream>,
}

/// One upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Name in the VM list.
    pub id: id::Upstream,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Availability zone of the upstream.
    pub zone: id::Zone,
    /// Number of requests that it runs concurrently.
    pub slots: size::Slot,
    /// Number of connections that it accepts from all entries together.
    pub connections: size::Connection,
    /// Whether it may receive new requests.
    pub state: State,
}

/// State of an upstream in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Receives new requests.
    Live,
    /// Finishes its requests in flight and receives no new ones.
    Leaving,
}

/// Limits of one service, which every traffic thread applies to its own requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    pub(crate) queue: usize,
    pub(crate) wait: Duration,
    pub(crate) attempts: usize,
    pub(crate) retry_share: rate::Share,
    pub(crate) retry_floor: rate::PerSecond,
    pub(crate) eject_after: u32,
    pub(crate) eject_base: Duration,
    pub(crate) eject_max: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            queue: 256,
            wait: Duration::from_secs(1),
            attempts: 3,
            retry_share: rate::Share::from_milli(100),
            retry_floor: rate::PerSecond::new(3),
            eject_after: 2,
            eject_base: Duration::from_millis(500),
            eject_max: Duration::from_secs(10),
        }
    }
}

impl Limits {
    /// Sets the largest length of one traffic thread's queue, in requests.
    pub fn queue(mut self, requests: usize) -> Limits {
        self.queue = requests;
        self
    }

    /// Sets the longest time for which a request waits in the queue.
    pub fn wait(mut self, wait: Duration) -> Limits {
        self.wait = wait;
        self
    }

    /// Sets the number of upstreams that one request may be sent to, the first included.
    pub fn attempts(mut self, attempts: usize) -> Limits {
        self.attempts = attempts;
        self
    }

    /// Sets the retry budget of one entry: a share of its requests plus a number of retries per
    /// second.
    pub fn retries(mut self, share: rate::Share, floor: rate::PerSecond) -> Limits {
        self.retry_share = share;
        self.retry_floor = floor;
        self
    }

    /// Sets the number of consecutive failures after which an upstream is ejected, and the time for
    /// which it is ejected: `base` at first, doubled on each further ejection up to `max`.
    pub fn ejection(mut self, after: u32, base: Duration, max: Duration) -> Limits {
        self.eject_after = after;
        self.eject_base = base;
        self.eject_max = max;
        self
    }
}
