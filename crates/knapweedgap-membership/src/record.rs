//! Records that instances keep in the key-value service, and messages of peers.

use std::net::SocketAddr;

use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};

/// Instance record in the key-value service. An instance writes it before it takes a partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Instance {
    /// Name that stays the same across restarts.
    pub id: id::Instance,
    /// Random id of the process that wrote the record.
    pub incarnation: id::Incarnation,
    /// Availability zone from the configuration of the instance.
    pub zone: id::Zone,
    /// Addresses at which the process listens.
    pub addresses: Addresses,
}

/// Addresses at which an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Addresses {
    /// Address for requests of clients.
    pub client: SocketAddr,
    /// Address for the operators' interface.
    pub operator: SocketAddr,
    /// Address for links of other instances.
    pub instance: SocketAddr,
}

/// Owner record of a partition in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Owner {
    /// Instance that owns the partition.
    pub instance: id::Instance,
    /// Incarnation that took the partition. An owner that restarted has to take it again.
    pub incarnation: id::Incarnation,
    /// Number of ownerships of the partition up to this one.
    pub epoch: revision::Epoch,
}

/// Owner record as read from the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owned {
    /// Partition from the key of the record.
    pub partition: id::Partition,
    /// Content of the record.
    pub owner: Owner,
    /// Revision of the last write to the record.
    pub revision: revision::Revision,
}

/// Ping received from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ping {
    /// Peer that sent the ping.
    pub sender: id::Instance,
    /// Incarnation of the sender.
    pub incarnation: id::Incarnation,
    /// Availability zone of the sender.
    pub zone: id::Zone,
    /// Whether the sender's last calls to the key-value service succeeded.
    pub store_reachable: bool,
    /// Whether the sender is in graceful shutdown.
    pub draining: bool,
    /// Revision of the settings in force at the sender.
    pub settings: revision::Revision,
    /// Partitions that the sender owns, with their epochs.
    pub owned: Vec<(id::Partition, revision::Epoch)>,
}

/// Message of an owner that has stopped acting for a partition and hands it over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Previous owner.
    pub sender: id::Instance,
    /// Incarnation of the previous owner.
    pub incarnation: id::Incarnation,
    /// Partition that is handed over.
    pub partition: id::Partition,
    /// Epoch that ended.
    pub epoch: revision::Epoch,
    /// Revision of the owner record to replace.
    pub revision: revision::Revision,
}

/// State of a VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Vm {
    /// The VM is listed, and its removal is not announced.
    Live,
    /// The VM is listed and will be removed.
    Leaving,
}
