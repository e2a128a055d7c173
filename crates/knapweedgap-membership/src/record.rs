//! Records that instances keep in the key-value service, and statements of peers.

use std::net::SocketAddr;

use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};

/// Instance record. An instance writes it before it takes a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Instance.
    pub id: id::Instance,
    /// Run of the instance.
    pub incarnation: id::Incarnation,
    /// Availability zone.
    pub zone: id::Zone,
    /// Listening addresses.
    pub addresses: Addresses,
}

/// Listening addresses of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// Address for clients.
    pub client: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for other instances.
    pub instance: SocketAddr,
}

/// Owner record of a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Owning instance.
    pub instance: id::Instance,
    /// Run of the owning instance.
    pub incarnation: id::Incarnation,
    /// Count of owners up to this one.
    pub epoch: revision::Epoch,
}

/// Owner record as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owned {
    /// Partition.
    pub partition: id::Partition,
    /// Owner.
    pub owner: Owner,
    /// Revision of the last write of the record.
    pub revision: revision::Revision,
}

/// Ping of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ping {
    /// Peer.
    pub sender: id::Instance,
    /// Run of the peer.
    pub incarnation: id::Incarnation,
    /// Availability zone of the peer.
    pub zone: id::Zone,
    /// Whether the peer reaches the key-value service.
    pub store_reachable: bool,
    /// Whether the peer is in graceful shutdown.
    pub draining: bool,
    /// Revision of the settings in force at the peer.
    pub settings: revision::Revision,
    /// Partitions that the peer owns, with their epochs.
    pub owned: Vec<(id::Partition, revision::Epoch)>,
}

/// Statement of an owner that it has stopped acting for a partition and hands it over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Owner so far.
    pub sender: id::Instance,
    /// Run of the owner so far.
    pub incarnation: id::Incarnation,
    /// Partition.
    pub partition: id::Partition,
    /// Epoch that ended.
    pub epoch: revision::Epoch,
    /// Revision of the owner record to replace.
    pub revision: revision::Revision,
}

/// State of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Vm {
    /// The VM is listed and stays.
    Live,
    /// The VM is listed and will be removed.
    Leaving,
}
