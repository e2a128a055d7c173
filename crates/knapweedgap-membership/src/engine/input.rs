//! Inputs of the engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use knapweedgap_core::{id, revision};

use super::{Engine, Known, Slot, report};
use crate::action::Action;
use crate::peer::{Failure, Liveness, Peer, Statement};
use crate::record;
use crate::timing::{RELEASE_BACKOFF, TAKE_RETRY};

/// Result of an [`Action::Take`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record was written with this revision.
    Won(revision::Revision),
    /// The record had another revision.
    Lost,
    /// The key-value service was not reached, and the record was not written.
    Unavailable,
    /// The record may have been written.
    Unknown,
}

impl Engine {
    /// Takes in whether the last calls to the key-value service succeeded.
    pub fn set_store_reachable(&mut self, reachable: bool, now: Instant) {
        self.enter(now);
        self.store_reachable = reachable;
        self.enter(now);
    }

    /// Takes in the list of instance records, which was asked for at `asked_at` and had this
    /// revision. An older list than the last one is ignored.
    pub fn update_instances(
        &mut self,
        records: &[record::Instance],
        revision: revision::Revision,
        asked_at: Instant,
        now: Instant,
    ) {
        self.enter(now);
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
            if peer.observe(record.incarnation, now) {
                peer.address = Some(record.addresses.instance);
                peer.zone = Some(record.zone.clone());
            }
            if peer.liveness == Liveness::Dead && peer.outlived_lease(asked_at) {
                peer.liveness = Liveness::Unreachable;
                self.actions.push(report(&record.id, peer));
            }
        }
        for (id, peer) in &mut self.peers {
            peer.listed = self.listed.contains(id);
            if peer.liveness == Liveness::Unreachable && !peer.listed {
                peer.liveness = Liveness::Dead;
                self.actions.push(report(id, peer));
            }
        }
        self.enter(now);
    }

    /// Takes in the owner records of all partitions, which were asked for at `asked_at` and had
    /// this revision. An older list than the last one is ignored.
    pub fn update_owners(
        &mut self,
        records: &[record::Owned],
        revision: revision::Revision,
        asked_at: Instant,
        now: Instant,
    ) {
        self.enter(now);
        if self.known_revision.is_some_and(|last| revision < last) {
            return;
        }
        self.known_revision = Some(revision);
        let read: BTreeMap<id::Partition, &record::Owned> =
            records.iter().map(|record| (record.partition, record)).collect();
        self.known.retain(|partition, known| read.contains_key(partition) || known.at > asked_at);
        for record in records {
            let owner = &record.owner;
            if owner.instance != self.identity.id && !self.peers.contains_key(&owner.instance) {
                self.peers.insert(owner.instance.clone(), Peer::new(owner.incarnation, now));
            }
            let newer = self
                .known
                .get(&record.partition)
                .is_some_and(|known| known.owner.epoch > owner.epoch && known.at > asked_at);
            if newer {
                continue;
            }
            let known = Known { owner: owner.clone(), revision: Some(record.revision), at: now };
            self.known.insert(record.partition, known);
        }
        let partitions: Vec<id::Partition> = self.slots.keys().copied().collect();
        for partition in partitions {
            self.compare(partition, read.get(&partition).copied(), revision, asked_at, now);
        }
        self.enter(now);
    }

    /// Compares the own state of a partition with its owner record.
    fn compare(
        &mut self,
        partition: id::Partition,
        read: Option<&record::Owned>,
        revision: revision::Revision,
        asked_at: Instant,
        now: Instant,
    ) {
        let (own_revision, epoch) = match self.slots.get(&partition) {
            Some(Slot::Owner(owner)) => (owner.revision(), owner.epoch()),
            Some(Slot::Released(released)) => (released.revision(), released.epoch()),
            Some(Slot::Candidate(_)) | None => return,
        };
        // The read was answered before the own write.
        if revision < own_revision {
            return;
        }
        let unchanged = read.is_some_and(|record| record.revision == own_revision);
        if unchanged {
            if let Some(Slot::Owner(owner)) = self.slots.get_mut(&partition) {
                owner.validate(asked_at, now);
            }
            return;
        }
        if let Some(record) = read {
            self.prove_alive(&record.owner, partition);
        }
        self.lose(partition, epoch);
    }

    /// A peer that replaced an owner record of this instance, written after the peer seemed dead,
    /// is alive.
    fn prove_alive(&mut self, owner: &record::Owner, partition: id::Partition) {
        let Some(Slot::Owner(own)) = self.slots.get(&partition) else { return };
        let asked_at = own.asked_at();
        let Some(peer) = self.peers.get_mut(&owner.instance) else { return };
        let died_before = peer.dead_at.is_some_and(|dead_at| dead_at <= asked_at);
        if died_before && peer.listed && peer.incarnation == owner.incarnation {
            peer.liveness = Liveness::Unreachable;
            self.actions.push(report(&owner.instance, peer));
        }
    }

    fn lose(&mut self, partition: id::Partition, epoch: revision::Epoch) {
        if let Some(Slot::Owner(_)) = self.slots.remove(&partition) {
            self.actions.push(Action::Drop { partition, epoch });
        }
    }

    /// Takes in a ping.
    pub fn receive_ping(&mut self, ping: &record::Ping, now: Instant) {
        self.enter(now);
        if ping.sender == self.identity.id {
            return;
        }
        let new = || Peer::new(ping.incarnation, now);
        let peer = self.peers.entry(ping.sender.clone()).or_insert_with(new);
        if !peer.observe(ping.incarnation, now) {
            return;
        }
        let before = peer.liveness;
        peer.heard(now);
        peer.zone = Some(ping.zone.clone());
        peer.draining = ping.draining;
        peer.settings = Some(ping.settings);
        peer.statement = Some(Statement { store_reachable: ping.store_reachable, at: now });
        if !ping.store_reachable {
            peer.outage_stated_at = Some(now);
        }
        if before != Liveness::Alive {
            self.actions.push(report(&ping.sender, peer));
        }
        for (partition, epoch) in &ping.owned {
            self.claim(ping, *partition, *epoch, now);
        }
        self.enter(now);
    }

    /// Takes in that a peer states to own a partition. The owner record confirms it later.
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
        self.known.insert(partition, Known { owner, revision: None, at: now });
        let own_epoch = match self.slots.get(&partition) {
            Some(Slot::Owner(owner)) => owner.epoch(),
            Some(Slot::Released(released)) => released.epoch(),
            Some(Slot::Candidate(_)) | None => return,
        };
        if own_epoch < epoch {
            self.lose(partition, own_epoch);
        }
    }

    /// Takes in that a probe reached the peer and was greeted by this run.
    pub fn probe_succeeded(&mut self, peer: &id::Instance, incarnation: id::Incarnation, now: Instant) {
        self.enter(now);
        let Some(state) = self.peers.get_mut(peer) else { return };
        if !state.observe(incarnation, now) {
            return;
        }
        let before = state.liveness;
        state.heard(now);
        if before != Liveness::Alive {
            self.actions.push(report(peer, state));
        }
    }

    /// Takes in that a probe of this run of the peer failed.
    pub fn probe_failed(
        &mut self,
        peer: &id::Instance,
        incarnation: id::Incarnation,
        failure: Failure,
        now: Instant,
    ) {
        self.enter(now);
        let Some(state) = self.peers.get_mut(peer) else { return };
        if state.liveness != Liveness::Suspect || state.incarnation != incarnation {
            return;
        }
        state.fail(failure, now);
        self.actions.push(report(peer, state));
    }

    /// Takes in the states of the VMs that instances run on, from the VM list.
    pub fn update_vms(&mut self, vms: &BTreeMap<id::Instance, record::Vm>, now: Instant) {
        self.enter(now);
        self.vm = vms.get(&self.identity.id).copied().or(self.vm);
        for (id, peer) in &mut self.peers {
            let state = vms.get(id).copied();
            // A VM that was never listed, as in a local setup, is not evidence of anything.
            peer.vm_removed = state.is_none() && (peer.vm.is_some() || peer.vm_removed);
            peer.vm = state;
        }
    }

    /// Takes in a release by the owner of a partition.
    pub fn receive_release(&mut self, release: &record::Release, now: Instant) {
        self.enter(now);
        let partition = release.partition;
        let newer =
            self.known.get(&partition).is_some_and(|known| known.owner.epoch > release.epoch);
        if newer || partition.get() >= self.identity.partitions {
            return;
        }
        self.offers.insert(partition, release.clone());
    }

    /// Takes in the result of an [`Action::Take`]. The result of another epoch than the last one
    /// asked for is ignored.
    pub fn take_completed(
        &mut self,
        partition: id::Partition,
        epoch: revision::Epoch,
        outcome: Outcome,
        now: Instant,
    ) {
        self.enter(now);
        let candidate = match self.slots.remove(&partition) {
            Some(Slot::Candidate(candidate)) if candidate.epoch() == epoch => candidate,
            Some(other) => {
                self.slots.insert(partition, other);
                return;
            }
            None => return,
        };
        let Outcome::Won(revision) = outcome else {
            self.retry.insert(partition, now + TAKE_RETRY);
            if outcome == Outcome::Lost {
                self.offers.remove(&partition);
            }
            return;
        };
        self.offers.remove(&partition);
        self.orphaned.remove(&partition);
        let owner = candidate.won(revision, now);
        let newer = self.known.get(&partition).is_some_and(|known| known.owner.epoch > epoch);
        if newer {
            // The caller has not seen this instance as the owner, but it reported the write.
            self.actions.push(Action::Drop { partition, epoch });
            return;
        }
        let id = &self.identity;
        let record = record::Owner { instance: id.id.clone(), incarnation: id.incarnation, epoch };
        let known = Known { owner: record, revision: Some(revision), at: now };
        self.known.insert(partition, known);
        self.slots.insert(partition, Slot::Owner(owner));
        self.enter(now);
    }

    /// Starts to hand over all partitions and to take no more.
    pub fn drain(&mut self, now: Instant) {
        self.enter(now);
        self.draining = true;
    }

    /// Returns the instances of the last list, to which links are to be kept.
    pub fn listed(&self) -> &BTreeSet<id::Instance> {
        &self.listed
    }

    pub(super) fn back_off(&mut self, peer: &id::Instance, now: Instant) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.no_release_before = Some(now + RELEASE_BACKOFF);
        }
    }
}
