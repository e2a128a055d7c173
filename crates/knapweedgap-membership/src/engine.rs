//! Decisions of one instance about its peers and partition ownership.

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
    CONTACT_TIMEOUT, DEAD_PEER_RETENTION, POLL_INTERVAL_CHANGING, POLL_INTERVAL_STEADY,
    PROBE_TIMEOUT, START_DELAY,
};

pub use input::Outcome;

/// Ownership of one partition in any state.
#[derive(Debug)]
enum State {
    Candidate(Ownership<Candidate>),
    Owner(Ownership<Owner>),
    Released(Ownership<Released>),
}

/// Last known owner of a partition.
#[derive(Debug)]
struct Known {
    owner: record::Owner,
    /// Revision of the owner record; absent if the owner is known only from its ping.
    revision: Option<revision::Revision>,
    /// Time of the last read or ping that named this owner.
    observed_at: Instant,
}

/// Constant properties of an [`Engine`].
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of this instance from its configuration.
    pub id: id::Instance,
    /// Random id of this process.
    pub incarnation: id::Incarnation,
    /// Number of partitions of the installation; 0 until the settings are known.
    pub partitions: u32,
    /// Validity of a worker grant.
    pub lease: Duration,
}

/// Membership state and decisions of one instance.
#[derive(Debug)]
pub struct Engine {
    identity: Identity,
    started_at: Instant,
    last_call_at: Instant,
    store_reachable: bool,
    draining: bool,
    vm: Option<record::Vm>,
    peers: BTreeMap<id::Instance, Peer>,
    listed: BTreeSet<id::Instance>,
    list_revision: Option<revision::Revision>,
    known: BTreeMap<id::Partition, Known>,
    owners_revision: Option<revision::Revision>,
    ownerships: BTreeMap<id::Partition, State>,
    orphaned_since: BTreeMap<id::Partition, Instant>,
    retry_at: BTreeMap<id::Partition, Instant>,
    releases: BTreeMap<id::Partition, record::Release>,
    actions: Vec<Action>,
    wake: Option<Instant>,
}

impl Engine {
    /// Creates an engine without peers and partitions.
    pub fn new(identity: Identity, now: Instant) -> Engine {
        Engine {
            identity,
            started_at: now,
            last_call_at: now,
            store_reachable: false,
            draining: false,
            vm: None,
            peers: BTreeMap::new(),
            listed: BTreeSet::new(),
            list_revision: None,
            known: BTreeMap::new(),
            owners_revision: None,
            ownerships: BTreeMap::new(),
            orphaned_since: BTreeMap::new(),
            retry_at: BTreeMap::new(),
            releases: BTreeMap::new(),
            actions: Vec::new(),
            wake: Some(now),
        }
    }

    /// Returns the actions that are due. Call it after each input and at [`Engine::wake`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        self.refresh_grants(now);
        self.wake = None;
        self.check_peers(now);
        for number in 0..self.identity.partitions {
            self.step(id::Partition::new(number), now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when [`Engine::tick`] must be called next, or `None` if only an input requires it.
    pub fn wake(&self) -> Option<Instant> {
        self.wake
    }

    /// Returns the interval at which the caller reads the owner records.
    pub fn poll_interval(&self) -> Duration {
        let is_steady = |number| {
            let partition = id::Partition::new(number);
            match self.ownerships.get(&partition) {
                Some(State::Owner(_)) => return true,
                Some(_) => return false,
                None => {}
            }
            let known = self.known.get(&partition);
            known.is_some_and(|known| known.revision.is_some() && !self.is_orphan(known))
        };
        match (0..self.identity.partitions).all(is_steady) {
            true => POLL_INTERVAL_STEADY,
            false => POLL_INTERVAL_CHANGING,
        }
    }

    /// Returns the partitions that this instance owns, with their epochs. Its pings report them.
    pub fn owned(&self) -> Vec<(id::Partition, revision::Epoch)> {
        let mut owned = Vec::new();
        for (partition, state) in &self.ownerships {
            let State::Owner(owner) = state else { continue };
            owned.push((*partition, owner.epoch()));
        }
        owned
    }

    /// Returns the revision of the owner record of a partition, or `None` if this instance does not
    /// own it. Each write to the partition's log is conditional on this revision.
    pub fn owner_revision(&self, partition: id::Partition) -> Option<revision::Revision> {
        match self.ownerships.get(&partition)? {
            State::Owner(owner) => Some(owner.revision()),
            State::Candidate(_) | State::Released(_) => None,
        }
    }

    /// Returns the last known owner of a partition, to which calls are forwarded.
    pub fn owner(&self, partition: id::Partition) -> Option<&record::Owner> {
        self.known.get(&partition).map(|known| &known.owner)
    }

    /// Returns the liveness of a peer, or `None` if it is unknown or was removed.
    pub fn liveness(&self, peer: &id::Instance) -> Option<Liveness> {
        self.peers.get(peer).map(|peer| peer.liveness)
    }

    /// Returns the known peers, dead ones included until they are removed.
    pub fn peers(&self) -> impl Iterator<Item = Summary<'_>> {
        self.peers.iter().map(|(id, peer)| Summary {
            id,
            incarnation: peer.incarnation,
            liveness: peer.liveness,
            zone: peer.zone.as_ref(),
            settings: peer.settings,
            draining: peer.draining,
            store_reachable: peer.reachability.map(|reported| reported.store_reachable),
        })
    }

    /// Returns `true` if this instance owns the partition and may renew worker grants now.
    ///
    /// It may while its ownership was validated in the key-value service within 20 s. After that it
    /// may while a majority of the instances in the last list has reported, within 5 s, that they
    /// cannot reach the service either.
    pub fn permits_grant(&mut self, partition: id::Partition, now: Instant) -> bool {
        self.refresh_grants(now);
        let outage = self.is_outage(now);
        match self.ownerships.get_mut(&partition) {
            Some(State::Owner(owner)) => owner.permits_grant(outage, now),
            Some(State::Candidate(_) | State::Released(_)) | None => false,
        }
    }

    /// Returns the time from which this instance may replace a task whose worker is unreachable and
    /// whose grants were given by an earlier owner. Returns `None` if it does not own the
    /// partition. A time that has not passed may be postponed by a later call.
    pub fn replacement_at(&mut self, partition: id::Partition, now: Instant) -> Option<Instant> {
        self.refresh_grants(now);
        match self.ownerships.get(&partition)? {
            State::Owner(owner) => Some(owner.replacement_at(self.identity.lease)),
            State::Candidate(_) | State::Released(_) => None,
        }
    }

    /// Updates the grants and requests a tick. Called at the start and at the end of an input.
    fn register_input(&mut self, now: Instant) {
        self.refresh_grants(now);
        self.wake = Some(now);
    }

    /// Updates grants and replacement delays for the time that has passed since the last call,
    /// before an input changes more.
    fn refresh_grants(&mut self, now: Instant) {
        let last_call_at = self.last_call_at;
        self.last_call_at = last_call_at.max(now);
        // After a pause of this process, reports that wait in a socket are not yet applied, and
        // those from before the pause are too old.
        let outage = self.is_outage(now);
        let may_be_outage = self.may_be_outage(now);
        let lease = self.identity.lease;
        for state in self.ownerships.values_mut() {
            let State::Owner(owner) = state else { continue };
            owner.permits_grant(outage, now);
            if may_be_outage {
                owner.extend_replacement_delay(lease, last_call_at, now);
            }
        }
    }

    /// Returns `true` if a majority of the listed instances reports that it cannot reach the
    /// key-value service.
    ///
    /// At least one peer has to report it. An instance that was alone when it read the list would
    /// otherwise remain a majority of one while a new instance takes over its partitions.
    fn is_outage(&self, now: Instant) -> bool {
        let cut_off = |id: &&id::Instance| {
            let reachable = self.peers.get(*id).and_then(|peer| peer.recent_store_reachable(now));
            reachable == Some(false)
        };
        let peers = self.listed.iter().filter(cut_off).count();
        let own = !self.store_reachable && self.listed.contains(&self.identity.id);
        peers > 0 && is_majority(peers + usize::from(own), self.listed.len())
    }

    /// Returns `true` if a majority of the known instances may have reported to another instance
    /// that it cannot reach the key-value service.
    ///
    /// All known peers count, because the records of instances that cannot reach the service
    /// expire.
    fn may_be_outage(&self, now: Instant) -> bool {
        let without_proof = self.peers.values().filter(|peer| !peer.reports_no_outage(now)).count();
        let own = usize::from(!self.store_reachable);
        is_majority(without_proof + own, self.peers.len() + 1)
    }

    /// Returns `true` if this instance may be the isolated one, because most listed peers stopped
    /// answering and their machines refused no connection.
    fn is_isolated(&self) -> bool {
        const PEERS_MIN: usize = 2;
        let peers: Vec<&Peer> =
            self.peers.values().filter(|peer| peer.listed || peer.dead_at.is_some()).collect();
        let unresponsive =
            peers.iter().filter(|peer| peer.listed && peer.is_unresponsive()).count();
        peers.len() >= PEERS_MIN && is_majority(unresponsive, peers.len())
    }

    fn check_peers(&mut self, now: Instant) {
        let mut wake = None;
        let mut actions = Vec::new();
        for (id, peer) in &mut self.peers {
            if peer.liveness == Liveness::Alive {
                let suspect_at = peer.last_contact_at + CONTACT_TIMEOUT;
                if now < suspect_at {
                    set_earliest(&mut wake, suspect_at);
                    continue;
                }
                peer.liveness = Liveness::Suspect;
                peer.probed_at = Some(now);
                actions.push(liveness_report(id, peer));
                let Some(address) = peer.address else {
                    peer.record_probe_failure(Failure::Timeout, now);
                    actions.push(liveness_report(id, peer));
                    continue;
                };
                let incarnation = peer.incarnation;
                actions.push(Action::Probe { peer: id.clone(), incarnation, address });
            }
            let Some(probed_at) = peer.probed_at else { continue };
            let failed_at = probed_at + PROBE_TIMEOUT;
            if now < failed_at {
                set_earliest(&mut wake, failed_at);
                continue;
            }
            peer.record_probe_failure(Failure::Timeout, now);
            actions.push(liveness_report(id, peer));
        }
        self.actions.extend(actions);
        if let Some(wake) = wake {
            self.schedule_wake(wake);
        }
        self.remove_dead_peers(now);
    }

    fn remove_dead_peers(&mut self, now: Instant) {
        let named: BTreeSet<&id::Instance> =
            self.known.values().map(|known| &known.owner.instance).collect();
        let mut wake = None;
        self.peers.retain(|id, peer| {
            let Some(dead_at) = peer.dead_at else { return true };
            if peer.listed || named.contains(id) {
                return true;
            }
            let remove_at = dead_at + DEAD_PEER_RETENTION;
            if now < remove_at {
                set_earliest(&mut wake, remove_at);
            }
            now < remove_at
        });
        if let Some(wake) = wake {
            self.schedule_wake(wake);
        }
    }

    fn is_eligible(&self) -> bool {
        !self.draining && self.vm != Some(record::Vm::Leaving)
    }

    /// Returns the end of the start delay, or `None` if it has passed.
    fn start_delay_end(&self, now: Instant) -> Option<Instant> {
        let ready_at = self.started_at + START_DELAY;
        (now < ready_at).then_some(ready_at)
    }

    fn schedule_wake(&mut self, at: Instant) {
        set_earliest(&mut self.wake, at);
    }
}

/// One peer in the result of [`Engine::peers`].
#[derive(Debug)]
pub struct Summary<'a> {
    /// Name of the peer, which stays the same across restarts.
    pub id: &'a id::Instance,
    /// Last known incarnation.
    pub incarnation: id::Incarnation,
    /// Liveness from pings, probes and the instance list.
    pub liveness: Liveness,
    /// Availability zone; absent until a record or ping reports it.
    pub zone: Option<&'a id::Zone>,
    /// Revision of the settings in force at the peer; absent until a ping reports it.
    pub settings: Option<revision::Revision>,
    /// Whether the last ping reported a graceful shutdown.
    pub draining: bool,
    /// Whether the peer reaches the key-value service; absent until a ping reports it.
    pub store_reachable: Option<bool>,
}

fn set_earliest(wake: &mut Option<Instant>, at: Instant) {
    *wake = Some(wake.map_or(at, |wake| wake.min(at)));
}

fn liveness_report(id: &id::Instance, peer: &Peer) -> Action {
    Action::Report { peer: id.clone(), liveness: peer.liveness }
}
