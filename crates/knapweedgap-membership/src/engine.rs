//! Decisions of one instance about its peers and the partitions.

mod input;
mod partitions;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use crate::action::Action;
use crate::grant::is_majority;
use crate::ownership::{Candidate, Owner, Ownership, Released};
use crate::peer::{Failure, Liveness, Peer};
use crate::record;
use crate::timing::{
    FORGET_AFTER, POLL_CHANGING, POLL_STEADY, PROBE_TIMEOUT, START_GRACE, SUSPECT_AFTER,
};

pub use input::Outcome;

/// Ownership of one partition in any state.
#[derive(Debug)]
enum Slot {
    Candidate(Ownership<Candidate>),
    Owner(Ownership<Owner>),
    Released(Ownership<Released>),
}

/// Owner of a partition as far as it is known.
#[derive(Debug)]
struct Known {
    owner: record::Owner,
    /// Absent when only a ping of the owner told it.
    revision: Option<revision::Revision>,
    at: Instant,
}

/// Constant properties of an [`Engine`].
#[derive(Debug, Clone)]
pub struct Identity {
    /// This instance.
    pub id: id::Instance,
    /// This run.
    pub incarnation: id::Incarnation,
    /// Number of partitions.
    pub partitions: u32,
    /// Length of a worker grant.
    pub lease: Duration,
}

/// What one instance knows of its peers and the partitions, and what it does about it.
#[derive(Debug)]
pub struct Engine {
    identity: Identity,
    started_at: Instant,
    seen_at: Instant,
    store_reachable: bool,
    draining: bool,
    vm: Option<record::Vm>,
    peers: BTreeMap<id::Instance, Peer>,
    listed: BTreeSet<id::Instance>,
    list_revision: Option<revision::Revision>,
    known: BTreeMap<id::Partition, Known>,
    known_revision: Option<revision::Revision>,
    slots: BTreeMap<id::Partition, Slot>,
    orphaned: BTreeMap<id::Partition, Instant>,
    retry: BTreeMap<id::Partition, Instant>,
    offers: BTreeMap<id::Partition, record::Release>,
    actions: Vec<Action>,
    wake: Option<Instant>,
}

impl Engine {
    /// Creates an engine that knows no peer and owns nothing.
    pub fn new(identity: Identity, now: Instant) -> Engine {
        Engine {
            identity,
            started_at: now,
            seen_at: now,
            store_reachable: false,
            draining: false,
            vm: None,
            peers: BTreeMap::new(),
            listed: BTreeSet::new(),
            list_revision: None,
            known: BTreeMap::new(),
            known_revision: None,
            slots: BTreeMap::new(),
            orphaned: BTreeMap::new(),
            retry: BTreeMap::new(),
            offers: BTreeMap::new(),
            actions: Vec::new(),
            wake: Some(now),
        }
    }

    /// Decides what to do now. To be called after each input and at [`Engine::wake`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.settle(now);
        self.wake = None;
        self.check_peers(now);
        for number in 0..self.identity.partitions {
            self.step(id::Partition::new(number), now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the time of the next [`Engine::tick`], or `None` to wait for an input.
    pub fn wake(&self) -> Option<Instant> {
        self.wake
    }

    /// Returns the interval at which the owner records are to be read.
    pub fn poll_interval(&self) -> Duration {
        let settled = |number| {
            let partition = id::Partition::new(number);
            match self.slots.get(&partition) {
                Some(Slot::Owner(_)) => return true,
                Some(_) => return false,
                None => {}
            }
            let known = self.known.get(&partition);
            known.is_some_and(|known| known.revision.is_some() && !self.is_orphan(known))
        };
        match (0..self.identity.partitions).all(settled) {
            true => POLL_STEADY,
            false => POLL_CHANGING,
        }
    }

    /// Returns the partitions that this instance owns, with their epochs, for its pings.
    pub fn owned(&self) -> Vec<(id::Partition, revision::Epoch)> {
        let mut owned = Vec::new();
        for (partition, slot) in &self.slots {
            let Slot::Owner(owner) = slot else { continue };
            owned.push((*partition, owner.epoch()));
        }
        owned
    }

    /// Returns the revision of the owner record of a partition that this instance owns. Each write
    /// to the partition's log is compared against it.
    pub fn owner_revision(&self, partition: id::Partition) -> Option<revision::Revision> {
        match self.slots.get(&partition)? {
            Slot::Owner(owner) => Some(owner.revision()),
            Slot::Candidate(_) | Slot::Released(_) => None,
        }
    }

    /// Returns the owner of a partition as far as it is known, to forward calls to it.
    pub fn owner(&self, partition: id::Partition) -> Option<&record::Owner> {
        self.known.get(&partition).map(|known| &known.owner)
    }

    /// Returns the liveness of a peer.
    pub fn liveness(&self, peer: &id::Instance) -> Option<Liveness> {
        self.peers.get(peer).map(|peer| peer.liveness)
    }

    /// Returns the known peers with their liveness, availability zone and settings revision.
    pub fn peers(&self) -> impl Iterator<Item = Summary<'_>> {
        self.peers.iter().map(|(id, peer)| Summary {
            id,
            incarnation: peer.incarnation,
            liveness: peer.liveness,
            zone: peer.zone.as_ref(),
            settings: peer.settings,
            draining: peer.draining,
            store_reachable: peer.statement.map(|statement| statement.store_reachable),
        })
    }

    /// Tells whether the owner of this partition may renew worker grants now.
    ///
    /// It may while its ownership was validated in the key-value service within 20 s, or, from
    /// then on, while a majority of the instances in the last list read state within 5 s that they
    /// cannot reach the service either.
    pub fn permits_grant(&mut self, partition: id::Partition, now: Instant) -> bool {
        self.settle(now);
        let outage = self.is_outage(now);
        match self.slots.get_mut(&partition) {
            Some(Slot::Owner(owner)) => owner.permits_grant(outage, now),
            Some(Slot::Candidate(_) | Slot::Released(_)) | None => false,
        }
    }

    /// Returns the time from which the owner of this partition may replace a task whose worker is
    /// unreachable and whose grants were given by an earlier owner. The time may move later while
    /// it has not passed.
    pub fn replacement_at(&mut self, partition: id::Partition, now: Instant) -> Option<Instant> {
        self.settle(now);
        match self.slots.get(&partition)? {
            Slot::Owner(owner) => Some(owner.replacement_at(self.identity.lease)),
            Slot::Candidate(_) | Slot::Released(_) => None,
        }
    }

    /// Begins and ends an input.
    fn enter(&mut self, now: Instant) {
        self.settle(now);
        self.wake = Some(now);
    }

    /// Notes what time alone has changed since the last call, before an input changes more.
    fn settle(&mut self, now: Instant) {
        let seen_at = self.seen_at;
        self.seen_at = seen_at.max(now);
        // Statements that waited in a socket during a pause of this process are not yet taken in,
        // and those from before the pause are too old.
        let outage = self.is_outage(now);
        let unclear = self.is_unclear(now);
        let lease = self.identity.lease;
        for slot in self.slots.values_mut() {
            let Slot::Owner(owner) = slot else { continue };
            owner.permits_grant(outage, now);
            if unclear {
                owner.extend_hold(lease, seen_at, now);
            }
        }
    }

    /// Tells whether a majority of the listed instances states that it cannot reach the key-value
    /// service.
    ///
    /// At least one peer has to state it: an instance that was alone when it read the list would
    /// otherwise be a majority of itself for ever, while a new instance takes over.
    fn is_outage(&self, now: Instant) -> bool {
        let cut_off = |id: &&id::Instance| {
            let statement = self.peers.get(*id).and_then(|peer| peer.fresh_statement(now));
            statement == Some(false)
        };
        let peers = self.listed.iter().filter(cut_off).count();
        let own = !self.store_reachable && self.listed.contains(&self.identity.id);
        peers > 0 && is_majority(peers + usize::from(own), self.listed.len())
    }

    /// Tells whether a majority of the known instances may have stated to another instance that
    /// it cannot reach the key-value service.
    ///
    /// Instances that lost the service also lost their records, so all known peers count.
    fn is_unclear(&self, now: Instant) -> bool {
        let doubtful = self.peers.values().filter(|peer| !peer.clearly_reachable(now)).count();
        let own = usize::from(!self.store_reachable);
        is_majority(doubtful + own, self.peers.len() + 1)
    }

    /// Tells whether this instance may be the one that is cut off: most listed peers stopped
    /// answering at once, and no machine refused a connection.
    fn is_isolated(&self) -> bool {
        const PEERS_MIN: usize = 2;
        let listed: Vec<&Peer> =
            self.peers.values().filter(|peer| peer.listed || peer.dead_at.is_some()).collect();
        let silent = listed.iter().filter(|peer| peer.listed && peer.is_silent()).count();
        listed.len() >= PEERS_MIN && is_majority(silent, listed.len())
    }

    fn check_peers(&mut self, now: Instant) {
        let mut wake = None;
        let mut actions = Vec::new();
        for (id, peer) in &mut self.peers {
            if peer.liveness == Liveness::Alive {
                let suspect_at = peer.heard_at + SUSPECT_AFTER;
                if now < suspect_at {
                    note(&mut wake, suspect_at);
                    continue;
                }
                peer.liveness = Liveness::Suspect;
                peer.probed_at = Some(now);
                actions.push(report(id, peer));
                let Some(address) = peer.address else {
                    peer.fail(Failure::Timeout, now);
                    actions.push(report(id, peer));
                    continue;
                };
                let incarnation = peer.incarnation;
                actions.push(Action::Probe { peer: id.clone(), incarnation, address });
            }
            let Some(probed_at) = peer.probed_at else { continue };
            let failed_at = probed_at + PROBE_TIMEOUT;
            if now < failed_at {
                note(&mut wake, failed_at);
                continue;
            }
            peer.fail(Failure::Timeout, now);
            actions.push(report(id, peer));
        }
        self.actions.extend(actions);
        if let Some(wake) = wake {
            self.note(wake);
        }
        self.forget(now);
    }

    fn forget(&mut self, now: Instant) {
        let named: BTreeSet<&id::Instance> =
            self.known.values().map(|known| &known.owner.instance).collect();
        let mut wake = None;
        self.peers.retain(|id, peer| {
            let Some(dead_at) = peer.dead_at else { return true };
            if peer.listed || named.contains(id) {
                return true;
            }
            let forget_at = dead_at + FORGET_AFTER;
            if now < forget_at {
                note(&mut wake, forget_at);
            }
            now < forget_at
        });
        if let Some(wake) = wake {
            self.note(wake);
        }
    }

    fn is_eligible(&self) -> bool {
        !self.draining && self.vm != Some(record::Vm::Leaving)
    }

    fn is_starting(&self, now: Instant) -> Option<Instant> {
        let ready_at = self.started_at + START_GRACE;
        (now < ready_at).then_some(ready_at)
    }

    fn note(&mut self, at: Instant) {
        note(&mut self.wake, at);
    }
}

/// One peer as [`Engine::peers`] lists it.
#[derive(Debug)]
pub struct Summary<'a> {
    /// Peer.
    pub id: &'a id::Instance,
    /// Run of the peer.
    pub incarnation: id::Incarnation,
    /// Liveness.
    pub liveness: Liveness,
    /// Availability zone, when a record or ping told it.
    pub zone: Option<&'a id::Zone>,
    /// Revision of the settings in force at the peer, when a ping told it.
    pub settings: Option<revision::Revision>,
    /// Whether the peer is in graceful shutdown.
    pub draining: bool,
    /// Whether the peer reaches the key-value service, when a ping told it.
    pub store_reachable: Option<bool>,
}

fn note(wake: &mut Option<Instant>, at: Instant) {
    *wake = Some(wake.map_or(at, |wake| wake.min(at)));
}

fn report(id: &id::Instance, peer: &Peer) -> Action {
    Action::Report { peer: id.clone(), liveness: peer.liveness }
}
