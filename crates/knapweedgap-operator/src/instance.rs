//! Instances of the daemon.

use derive_more::Display;
use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};

/// What the answering instance knows of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Not ready yet.
    #[display("starting")]
    Starting,
    /// Serves requests.
    #[display("serving")]
    Serving,
    /// Stops after the requests in flight.
    #[display("draining")]
    Draining,
    /// Missed its pings.
    #[display("suspect")]
    Suspect,
}

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Id from its settings file.
    pub instance: id::Instance,
    /// Run of the process.
    pub incarnation: id::Incarnation,
    /// Availability zone.
    pub zone: id::Zone,
    /// State.
    pub state: State,
    /// Address of its administration API, as `10.0.0.1:7600`.
    pub address: String,
    /// Revision of the settings in force there.
    pub settings_revision: revision::Revision,
    /// Whether it reaches the key-value service.
    pub store_reachable: bool,
    /// Partitions that it owns.
    #[serde(default)]
    pub partitions: Vec<id::Partition>,
}

/// All instances that are known.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Instances by id.
    pub instances: Vec<Record>,
}
