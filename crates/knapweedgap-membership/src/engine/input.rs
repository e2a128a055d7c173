//! Inputs of the engine: reads of the key-value service, messages of peers and results of actions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use knapweedgap_core::{id, revision};

use super::{Engine, Known, State, liveness_report};
use crate::action::Action;
use crate::peer::{Failure, Liveness, Peer, Reachability};
use crate::record;
use crate::timing::{RELEASE_BACKOFF, TAKE_BACKOFF};

/// Result of an [`Action::Take`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record was written with this revision.
    Won(revision::Revision),
    /// The record had another revision, so it was not written.
    Lost,
    /// The key-value service was not reached, so the record was not written.
    Unavailable,
    /// No result was received, so the record may have been written.
    Unknown,
}

impl Engine {
    /// Sets whether the last calls to the key-value service succeeded.
    pub fn set_store_reachable(&mut self, reachable: bool, now: Instant) {
        self.register_input(now);
        self.store_reachable = reachable;
        self.register_input(now);
    }

    /// Applies a list of the instance records, requested at `requested_at`. A list with an older
    /// revision than the last one is ignored.
    pub fn update_instances(
        &mut self,
        records: &[record::Instance],
        revision: revision::Revision,
        requested_at: Instant,
        now: Instant,
    ) {
        self.register_input(now);
        if self.list_revision.is_some_and(|last| revision < last) {
            return;
        }
        self.list_revision = Some(revision);
        self.listed = records.iter().map(|record| record.id.clone()).collect();
        for record in records {
            if record.id == self.identity.id {
                continue;
            }
            let new = || Peer::new(record.incarnation, now);
            let peer = self.peers.entry(record.id.clone()).or_insert_with(new);
            if peer.observe_incarnation(record.incarnation, now) {
                peer.address = Some(record.addresses.instance);
                peer.zone = Some(record.zone.clone());
            }
            if peer.liveness == Liveness::Dead && peer.has_renewed_lease(requested_at) {
                peer.liveness = Liveness::Unreachable;
                self.actions.push(liveness_report(&record.id, peer));
            }
        }
        for (id, peer) in &mut self.peers {
            peer.listed = self.listed.contains(id);
            if peer.liveness == Liveness::Unreachable && !peer.listed {
                peer.liveness = Liveness::Dead;
                self.actions.push(liveness_report(id, peer));
            }
        }
        self.register_input(now);
    }

    /// Applies a list of the owner records of all partitions, requested at `requested_at`. A list
    /// with an older revision than the last one is ignored.
    pub fn update_owners(
        &mut self,
        records: &[record::Owned],
        revision: revision::Revision,
        requested_at: Instant,
        now: Instant,
    ) {
        self.register_input(now);
        if self.owners_revision.is_some_and(|last| revision < last) {
            return;
        }
        self.owners_revision = Some(revision);
        let read: BTreeMap<id::Partition, &record::Owned> =
            records.iter().map(|record| (record.partition, record)).collect();
        self.known.retain(|partition, known| {
            read.contains_key(partition) || known.observed_at > requested_at
        });
        for record in records {
            let owner = &record.owner;
            if owner.instance != self.identity.id && !self.peers.contains_key(&owner.instance) {
                self.peers.insert(owner.instance.clone(), Peer::new(owner.incarnation, now));
            }
            let newer = self.known.get(&record.partition).is_some_and(|known| {
                known.owner.epoch > owner.epoch && known.observed_at > requested_at
            });
            if newer {
                continue;
            }
            let known =
                Known { owner: owner.clone(), revision: Some(record.revision), observed_at: now };
            self.known.insert(record.partition, known);
        }
        let partitions: Vec<id::Partition> = self.ownerships.keys().copied().collect();
        for partition in partitions {
            self.reconcile(partition, read.get(&partition).copied(), revision, requested_at, now);
        }
        self.register_input(now);
    }

    /// Compares this instance's ownership of a partition with the owner record, and validates or
    /// ends it.
    fn reconcile(
        &mut self,
        partition: id::Partition,
        read: Option<&record::Owned>,
        revision: revision::Revision,
        requested_at: Instant,
        now: Instant,
    ) {
        let (own_revision, epoch) = match self.ownerships.get(&partition) {
            Some(State::Owner(owner)) => (owner.revision(), owner.epoch()),
            Some(State::Released(released)) => (released.revision(), released.epoch()),
            Some(State::Candidate(_)) | None => return,
        };
        // The list was read before this instance wrote the record.
        if revision < own_revision {
            return;
        }
        let unchanged = read.is_some_and(|record| record.revision == own_revision);
        if unchanged {
            if let Some(State::Owner(owner)) = self.ownerships.get_mut(&partition) {
                owner.validate(requested_at, now);
            }
            return;
        }
        if let Some(record) = read {
            self.mark_unreachable(&record.owner, partition);
        }
        self.end_ownership(partition, epoch);
    }

    /// Marks a peer as unreachable instead of dead if it replaced an owner record that this
    /// instance wrote after the peer's probe had failed.
    fn mark_unreachable(&mut self, owner: &record::Owner, partition: id::Partition) {
        let Some(State::Owner(own)) = self.ownerships.get(&partition) else { return };
        let requested_at = own.requested_at();
        let Some(peer) = self.peers.get_mut(&owner.instance) else { return };
        let died_before = peer.dead_at.is_some_and(|dead_at| dead_at <= requested_at);
        if died_before && peer.listed && peer.incarnation == owner.incarnation {
            peer.liveness = Liveness::Unreachable;
            self.actions.push(liveness_report(&owner.instance, peer));
        }
    }

    fn end_ownership(&mut self, partition: id::Partition, epoch: revision::Epoch) {
        if let Some(State::Owner(_)) = self.ownerships.remove(&partition) {
            self.actions.push(Action::Drop { partition, epoch });
        }
    }

    /// Applies a ping. A ping of an incarnation that was already replaced is ignored.
    pub fn receive_ping(&mut self, ping: &record::Ping, now: Instant) {
        self.register_input(now);
        if ping.sender == self.identity.id {
            return;
        }
        let new = || Peer::new(ping.incarnation, now);
        let peer = self.peers.entry(ping.sender.clone()).or_insert_with(new);
        if !peer.observe_incarnation(ping.incarnation, now) {
            return;
        }
        let before = peer.liveness;
        peer.record_contact(now);
        peer.zone = Some(ping.zone.clone());
        peer.draining = ping.draining;
        peer.settings = Some(ping.settings);
        peer.reachability =
            Some(Reachability { store_reachable: ping.store_reachable, reported_at: now });
        if !ping.store_reachable {
            peer.outage_reported_at = Some(now);
        }
        if before != Liveness::Alive {
            self.actions.push(liveness_report(&ping.sender, peer));
        }
        for (partition, epoch) in &ping.owned {
            self.claim(ping, *partition, *epoch, now);
        }
        self.register_input(now);
    }

    /// Applies a partition that a peer reports to own. The owner record confirms it later.
    fn claim(
        &mut self,
        ping: &record::Ping,
        partition: id::Partition,
        epoch: revision::Epoch,
        now: Instant,
    ) {
        if partition.get() >= self.identity.partitions {
            return;
        }
        if self.known.get(&partition).is_some_and(|known| known.owner.epoch >= epoch) {
            return;
        }
        let (instance, incarnation) = (ping.sender.clone(), ping.incarnation);
        let owner = record::Owner { instance, incarnation, epoch };
        self.known.insert(partition, Known { owner, revision: None, observed_at: now });
        let own_epoch = match self.ownerships.get(&partition) {
            Some(State::Owner(owner)) => owner.epoch(),
            Some(State::Released(released)) => released.epoch(),
            Some(State::Candidate(_)) | None => return,
        };
        if own_epoch < epoch {
            self.end_ownership(partition, own_epoch);
        }
    }

    /// Applies a probe whose handshake was completed by this incarnation of the peer.
    pub fn probe_succeeded(
        &mut self,
        peer: &id::Instance,
        incarnation: id::Incarnation,
        now: Instant,
    ) {
        self.register_input(now);
        let Some(state) = self.peers.get_mut(peer) else { return };
        if !state.observe_incarnation(incarnation, now) {
            return;
        }
        let before = state.liveness;
        state.record_contact(now);
        if before != Liveness::Alive {
            self.actions.push(liveness_report(peer, state));
        }
    }

    /// Applies the failure of a probe of this incarnation of the peer. It is ignored if the peer
    /// has restarted or is no longer suspect.
    pub fn probe_failed(
        &mut self,
        peer: &id::Instance,
        incarnation: id::Incarnation,
        failure: Failure,
        now: Instant,
    ) {
        self.register_input(now);
        let Some(state) = self.peers.get_mut(peer) else { return };
        if state.liveness != Liveness::Suspect || state.incarnation != incarnation {
            return;
        }
        state.record_probe_failure(failure, now);
        self.actions.push(liveness_report(peer, state));
    }

    /// Applies the states of the VMs of instances, from the VM list.
    pub fn update_vms(&mut self, vms: &BTreeMap<id::Instance, record::Vm>, now: Instant) {
        self.register_input(now);
        self.vm = vms.get(&self.identity.id).copied().or(self.vm);
        for (id, peer) in &mut self.peers {
            let state = vms.get(id).copied();
            // Only a VM that was listed before counts as removed. Local installations list none.
            peer.vm_removed = state.is_none() && (peer.vm.is_some() || peer.vm_removed);
            peer.vm = state;
        }
    }

    /// Applies a release by the owner of a partition. It is ignored if a later epoch is known.
    pub fn receive_release(&mut self, release: &record::Release, now: Instant) {
        self.register_input(now);
        let partition = release.partition;
        let newer =
            self.known.get(&partition).is_some_and(|known| known.owner.epoch > release.epoch);
        if newer || partition.get() >= self.identity.partitions {
            return;
        }
        self.releases.insert(partition, release.clone());
    }

    /// Applies the result of an [`Action::Take`]. The result for another epoch than the last one
    /// requested is ignored.
    pub fn take_completed(
        &mut self,
        partition: id::Partition,
        epoch: revision::Epoch,
        outcome: Outcome,
        now: Instant,
    ) {
        self.register_input(now);
        let candidate = match self.ownerships.remove(&partition) {
            Some(State::Candidate(candidate)) if candidate.epoch() == epoch => candidate,
            Some(other) => {
                self.ownerships.insert(partition, other);
                return;
            }
            None => return,
        };
        let Outcome::Won(revision) = outcome else {
            self.retry_at.insert(partition, now + TAKE_BACKOFF);
            if outcome == Outcome::Lost {
                self.releases.remove(&partition);
            }
            return;
        };
        self.releases.remove(&partition);
        self.orphaned_since.remove(&partition);
        let owner = candidate.confirm(revision, now);
        let newer = self.known.get(&partition).is_some_and(|known| known.owner.epoch > epoch);
        if newer {
            // A later epoch is known already. The caller wrote the record, so it gets a drop for an
            // ownership that never took effect.
            self.actions.push(Action::Drop { partition, epoch });
            return;
        }
        let id = &self.identity;
        let record = record::Owner { instance: id.id.clone(), incarnation: id.incarnation, epoch };
        let known = Known { owner: record, revision: Some(revision), observed_at: now };
        self.known.insert(partition, known);
        self.ownerships.insert(partition, State::Owner(owner));
        self.register_input(now);
    }

    /// Starts the graceful shutdown: all partitions are handed over, and no more are taken.
    pub fn drain(&mut self, now: Instant) {
        self.register_input(now);
        self.draining = true;
    }

    /// Returns the instances in the last list of records, this one included if it has a record.
    pub fn listed(&self) -> &BTreeSet<id::Instance> {
        &self.listed
    }

    /// Stops releases to a peer that did not accept one until the backoff has passed.
    pub(super) fn back_off(&mut self, peer: &id::Instance, now: Instant) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.release_backoff_until = Some(now + RELEASE_BACKOFF);
        }
    }
}
