//! What the caller is to do.

use std::net::SocketAddr;

use knapweedgap_core::{id, revision};

use crate::peer::Liveness;

/// Step for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a new connection to a suspect peer, wait for its greeting, and report the result with
    /// [`Engine::probe_succeeded`](crate::Engine::probe_succeeded) or
    /// [`Engine::probe_failed`](crate::Engine::probe_failed). The greeting is part of the probe because
    /// the system accepts connections for a process that hangs.
    Probe {
        /// Peer.
        peer: id::Instance,
        /// Run of the peer.
        incarnation: id::Incarnation,
        /// Address for other instances.
        address: SocketAddr,
    },
    /// Write the owner record by compare-and-swap and report the result with
    /// [`Engine::take_completed`](crate::Engine::take_completed).
    Take {
        /// Partition.
        partition: id::Partition,
        /// Revision that the record must still have; `None` when it must not exist.
        expect: Option<revision::Revision>,
        /// Epoch to write.
        epoch: revision::Epoch,
    },
    /// Stop acting for the partition, wait for the writes in flight, and then send a release to
    /// the peer. The action repeats until the owner record changes.
    Release {
        /// Partition.
        partition: id::Partition,
        /// Next owner.
        to: id::Instance,
        /// Epoch that ended.
        epoch: revision::Epoch,
        /// Revision of the owner record.
        revision: revision::Revision,
    },
    /// Stop acting for the partition at once: another instance owns it.
    Drop {
        /// Partition.
        partition: id::Partition,
        /// Epoch that ended.
        epoch: revision::Epoch,
    },
    /// Record that the liveness of a peer changed.
    Report {
        /// Peer.
        peer: id::Instance,
        /// Liveness from now on.
        liveness: Liveness,
    },
}
