//! Messages between instances.

use knapweedgap_core::{id, revision, size};
use knapweedgap_timeline::{Event, Filter, Stamp};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::relay;

/// Version of the frame layout. A link closes when it receives a frame of another version.
pub const VERSION: u8 = 1;

/// One message with its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Instance that sent the frame.
    pub sender: id::Instance,
    /// Incarnation of the sender.
    pub incarnation: id::Incarnation,
    /// Time of the sender's hybrid clock when it queued the frame.
    pub stamp: Stamp,
    /// Position of the frame among all frames of this incarnation of the sender, starting at 1.
    pub sequence: revision::Sequence,
    /// Content; its kind is written into the head of the frame.
    pub body: Body,
}

/// Content of a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// First frame of a link in each direction; it completes the handshake.
    Hello(Hello),
    /// State of the sender, sent every 300 ms to each peer.
    Ping(Ping),
    /// Reply to a [`Ping`], sent by the link itself.
    Pong(Pong),
    /// Settings tree of one revision in the key-value service.
    Settings(Settings),
    /// Operator call for the owner of a partition.
    Forward(Forward),
    /// Reply to a [`Forward`].
    Reply(Reply),
    /// Query for events of the time line, or its reply.
    Events(Events),
    /// Release of a partition by its owner.
    Release(Release),
    /// Latencies of upstreams, sent to the owner of the workers that host them.
    Latencies(Latencies),
    /// Orders to workers, sent by the owner of the workload to a relay.
    Orders(relay::Orders),
    /// Outcomes of [`Body::Orders`].
    Outcomes(relay::Outcomes),
}

impl Body {
    /// Returns the kind of body, as written in the head of the frame.
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
            Body::Orders(_) => "orders",
            Body::Outcomes(_) => "outcomes",
        }
    }

    /// Returns `true` if only the latest body of this kind matters, so that older ones are dropped.
    pub const fn is_state(&self) -> bool {
        matches!(self, Body::Ping(_) | Body::Settings(_))
    }
}

/// First frame of a link in each direction. The head of the frame identifies the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Availability zone of the sender.
    pub zone: id::Zone,
}

/// Periodic report of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ping {
    /// Time since the sender opened the link, in microseconds of its monotonic clock. The link sets
    /// it, and the receiver returns it in the [`Pong`].
    #[serde(default)]
    pub sent_us: u64,
    /// State of the sender when the ping was queued.
    pub report: Report,
}

/// State of an instance that its peers use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// Whether the last calls to the key-value service succeeded.
    pub store_reachable: bool,
    /// Whether the instance is in graceful shutdown.
    pub draining: bool,
    /// Revision of the settings that the instance applies.
    pub settings: revision::Revision,
    /// Partitions that the instance owns.
    pub owned: Vec<Owned>,
    /// Resources committed for teams with a quota in these partitions. An empty list is not
    /// encoded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<Usage>,
}

/// Resources committed for one team in the partitions of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Team with a quota.
    pub team: id::Team,
    /// Sum of the sizes of its attempts.
    pub size: size::Resources,
}

/// Partition that the sender owns.
#[expect(missing_docs, reason = "the fields are named after their types")]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owned {
    pub partition: id::Partition,
    pub epoch: revision::Epoch,
}

/// Reply to a [`Ping`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pong {
    /// [`Ping::sent_us`] of the ping.
    pub sent_us: u64,
}

/// Settings tree of one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Revision of the tree in the key-value service.
    pub revision: revision::Revision,
    /// JSON text of the tree, as stored in the key-value service.
    pub tree: String,
}

/// Number that matches a reply to its call. It is unique for each direction of a link.
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
    /// Creates a call number; a link starts at 1.
    pub const fn new(number: u64) -> Call {
        Call(number)
    }

    /// Returns the number as it is encoded in frames.
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Operator call for the owner of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Number that the [`Reply`] repeats.
    pub call: Call,
    /// Time that the caller still waits, in milliseconds. The clocks of two instances differ, so
    /// the deadline is sent as a duration.
    pub timeout_ms: u64,
    /// HTTP method of the operator's request.
    pub method: SmolStr,
    /// Path and query of the operator's request.
    pub path: String,
    /// JSON text, empty if the call has no body.
    pub body: String,
}

/// Reply to a [`Forward`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the [`Forward`].
    pub call: Call,
    /// HTTP status of the response.
    pub status: u16,
    /// JSON text of the response.
    pub body: String,
}

/// Query for events of the time line, or its reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Events {
    /// Query for the latest events that match a filter.
    Query {
        /// Number that the reply repeats.
        call: Call,
        /// Condition that each returned event matches.
        filter: Filter,
        /// Largest number of events in the reply.
        limit: u32,
    },
    /// Reply to a query.
    List {
        /// Number of the query.
        call: Call,
        /// Events, oldest first.
        events: Vec<Event>,
        /// Number of events that the sender has dropped because its buffer was full.
        dropped: u64,
    },
}

/// Latencies that one instance measured in one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latencies {
    /// Length of the window, in milliseconds. The window ended when the message was sent.
    pub window_ms: u64,
    /// One entry for each upstream with measurements in the window.
    pub upstreams: Vec<Latency>,
}

/// Tail latency of one upstream in the window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latency {
    /// Service that the upstream belongs to.
    pub service: id::Service,
    /// Worker that hosts the upstream.
    pub worker: id::Worker,
    /// Tail latency at the percentile of the service's target, in microseconds.
    pub tail_us: u64,
    /// Latency target of the service, in microseconds.
    pub target_us: u64,
}

/// Report of an owner that it no longer acts for a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Partition that is released.
    pub partition: id::Partition,
    /// Epoch of the ownership that ended.
    pub epoch: revision::Epoch,
    /// Revision of the owner record that the receiver replaces.
    pub revision: revision::Revision,
}
