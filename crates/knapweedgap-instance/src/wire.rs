//! Messages between instances.

use knapweedgap_core::{id, revision, size};
use knapweedgap_timeline::{Event, Filter, Stamp};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Version of the frame layout. Instances with different versions do not exchange frames.
pub const VERSION: u8 = 1;

/// One message with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Instance that sent the frame.
    pub sender: id::Instance,
    /// Run of the sender.
    pub incarnation: id::Incarnation,
    /// Hybrid clock of the sender when it queued the frame.
    pub stamp: Stamp,
    /// Position of the frame among all frames of this run of the sender, starting at 1.
    pub sequence: revision::Sequence,
    /// Content.
    pub body: Body,
}

/// Content of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// First frame of a link in each direction.
    Hello(Hello),
    /// State of the sender, sent every 300 ms.
    Ping(Ping),
    /// Answer to a [`Ping`], sent by the link itself.
    Pong(Pong),
    /// Settings tree of one revision.
    Settings(Settings),
    /// Operator call for the owner of a partition.
    Forward(Forward),
    /// Answer to a [`Forward`].
    Reply(Reply),
    /// Events of the time line.
    Events(Events),
    /// Handover of a partition.
    Release(Release),
    /// Latencies of upstreams for the owner of the workers that host them.
    Latencies(Latencies),
}

impl Body {
    /// Returns the name of the kind of body, as written in the frame.
    pub const fn name(&self) -> &'static str {
        match self {
            Body::Hello(_) => "hello",
            Body::Ping(_) => "ping",
            Body::Pong(_) => "pong",
            Body::Settings(_) => "settings",
            Body::Forward(_) => "forward",
            Body::Reply(_) => "reply",
            Body::Events(_) => "events",
            Body::Release(_) => "release",
            Body::Latencies(_) => "latencies",
        }
    }

    /// Tells whether only the latest body of this kind matters, so that an older one is dropped.
    pub const fn is_state(&self) -> bool {
        matches!(self, Body::Ping(_) | Body::Settings(_))
    }
}

/// Greeting.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Availability zone of the sender.
    pub zone: id::Zone,
}

/// Regular report of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Time since the sender opened the link, in microseconds of its monotonic clock. The link
    /// fills it in and the receiver returns it in the [`Pong`].
    #[serde(default)]
    pub sent_us: u64,
    /// State of the sender.
    pub report: Report,
}

/// State of an instance as its peers need it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Availability zone.
    pub zone: id::Zone,
    /// Whether the last calls to the key-value service succeeded.
    pub store_reachable: bool,
    /// Whether the instance is in graceful shutdown.
    pub draining: bool,
    /// Revision of the settings in force.
    pub settings: revision::Revision,
    /// Partitions that the instance owns.
    pub owned: Vec<Owned>,
    /// Sizes that teams with a quota have committed in these partitions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<Usage>,
}

/// Committed size of one team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Team.
    pub team: id::Team,
    /// Sum of the sizes of its attempts.
    pub size: size::Resources,
}

/// One owned partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owned {
    /// Partition.
    pub partition: id::Partition,
    /// Epoch of the ownership.
    pub epoch: revision::Epoch,
}

/// Answer to a [`Ping`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// Time of the ping, in the clock of its sender.
    pub sent_us: u64,
}

/// Settings of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Revision of the tree in the key-value service.
    pub revision: revision::Revision,
    /// Tree as the JSON text that the key-value service holds.
    pub tree: String,
}

/// Number that matches a [`Reply`] to its [`Forward`] on one link.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Call(u64);

impl Call {
    /// Wraps a plain number.
    pub const fn new(number: u64) -> Call {
        Call(number)
    }

    /// Returns the plain number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Operator call for the owner of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Number of the call.
    pub call: Call,
    /// Time that the caller still waits, in milliseconds. The clocks of two instances differ, so
    /// the deadline travels as a duration.
    pub timeout_ms: u64,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: String,
    /// JSON text, empty when the call has none.
    pub body: String,
}

/// Answer to a [`Forward`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the call.
    pub call: Call,
    /// HTTP status.
    pub status: u16,
    /// JSON text.
    pub body: String,
}

/// Question for events, or part of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Events {
    /// Question for the latest events that pass a filter.
    Query {
        /// Number of the call.
        call: Call,
        /// Condition.
        filter: Filter,
        /// Largest number of events.
        limit: u32,
    },
    /// Answer to a query.
    List {
        /// Number of the call.
        call: Call,
        /// Events, oldest first.
        events: Vec<Event>,
        /// Events that the sender dropped because its buffer was full.
        dropped: u64,
    },
}

/// Latencies that one instance measured in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latencies {
    /// Length of the window, in milliseconds. It ended when the message was sent.
    pub window_ms: u64,
    /// One entry for each measured upstream.
    pub upstreams: Vec<Latency>,
}

/// Latency of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Service.
    pub service: id::Service,
    /// Worker that hosts the upstream.
    pub worker: id::Worker,
    /// Tail latency at the percentile of the service's target, in microseconds.
    pub tail_us: u64,
    /// Target of the service, in microseconds.
    pub target_us: u64,
}

/// Statement of an owner that it has stopped acting for a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Partition.
    pub partition: id::Partition,
    /// Epoch that ended.
    pub epoch: revision::Epoch,
    /// Revision of the owner record that the receiver replaces.
    pub revision: revision::Revision,
}
