//! Actions for the caller of the engine.

use std::net::SocketAddr;

use knapweedgap_core::{id, revision};

use crate::peer::Liveness;

/// Action that the caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Open a new connection to a suspect peer, complete the handshake, and report the result with
    /// [`Engine::probe_succeeded`](crate::Engine::probe_succeeded) or
    /// [`Engine::probe_failed`](crate::Engine::probe_failed). The probe includes the handshake
    /// because the operating system accepts connections for a process that hangs.
    Probe {
        /// Suspect peer.
        peer: id::Instance,
        /// Incarnation that the probe is for. The peer may have restarted since.
        incarnation: id::Incarnation,
        /// Address at which the peer accepts connections of other instances.
        address: SocketAddr,
    },
    /// Write the owner record by compare-and-swap and report the result with
    /// [`Engine::take_completed`](crate::Engine::take_completed).
    Take {
        /// Partition to take.
        partition: id::Partition,
        /// Revision that the record must still have; `None` if the record must not exist.
        expect: Option<revision::Revision>,
        /// Epoch to write.
        epoch: revision::Epoch,
    },
    /// Stop acting for the partition, wait for the writes in flight, and then send a release to
    /// the peer. The action repeats until the owner record changes.
    Release {
        /// Partition to hand over.
        partition: id::Partition,
        /// Peer that is to become the owner.
        to: id::Instance,
        /// Epoch that ended.
        epoch: revision::Epoch,
        /// Revision of the owner record that the peer is to replace.
        revision: revision::Revision,
    },
    /// Stop acting for the partition at once, because another instance owns it.
    Drop {
        /// Partition that was lost.
        partition: id::Partition,
        /// Epoch that ended.
        epoch: revision::Epoch,
    },
    /// Record that the liveness of a peer changed.
    Report {
        /// Peer whose liveness changed.
        peer: id::Instance,
        /// Liveness after the change.
        liveness: Liveness,
    },
}
