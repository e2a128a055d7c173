//! Instances of the daemon, as listed by the administration API.

use derive_more::Display;
use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};

/// State of an instance, as known to the instance that sends the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance is not ready yet.
    #[display("starting")]
    Starting,
    /// The instance serves requests.
    #[display("serving")]
    Serving,
    /// The instance finishes the requests in flight and then stops.
    #[display("draining")]
    Draining,
    /// The instance does not answer pings.
    #[display("suspect")]
    Suspect,
}

/// State of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id from its settings file.
    pub instance: id::Instance,
    /// Random id of the running process; changes with every start.
    pub incarnation: id::Incarnation,
    /// Availability zone in which the instance runs.
    pub zone: id::Zone,
    /// State of the process, as far as known.
    pub state: State,
    /// Address of its administration API, as `10.0.0.1:7600`.
    pub address: String,
    /// Revision of the settings in force in the instance.
    pub settings_revision: revision::Revision,
    /// Whether the instance can reach the key-value service.
    pub store_reachable: bool,
    /// Partitions that the instance owns.
    #[serde(default)]
    pub partitions: Vec<id::Partition>,
}

/// All known instances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Instances, ordered by id.
    pub instances: Vec<Record>,
}
