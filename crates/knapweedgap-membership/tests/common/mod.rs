//! Helpers that drive engines without I/O.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};
use knapweedgap_membership::engine::{Identity, Outcome};
use knapweedgap_membership::{Action, Engine, Failure, record, rendezvous};

pub const PARTITIONS: u32 = 14;
pub const LEASE: Duration = Duration::from_secs(10);

pub fn start() -> Instant {
    Instant::now()
}

pub fn instance(name: &str) -> id::Instance {
    name.parse().expect("valid")
}

pub fn incarnation(name: &str) -> id::Incarnation {
    id::Incarnation::new(name.bytes().map(u64::from).sum())
}

pub fn engine(name: &str, now: Instant) -> Engine {
    let identity = Identity {
        id: instance(name),
        incarnation: incarnation(name),
        partitions: PARTITIONS,
        lease: LEASE,
    };
    Engine::new(identity, now)
}

pub fn ping(name: &str, store_reachable: bool) -> record::Ping {
    record::Ping {
        sender: instance(name),
        incarnation: incarnation(name),
        zone: "z1".parse().expect("valid"),
        store_reachable,
        draining: false,
        settings: revision::Revision::new(1),
        owned: Vec::new(),
    }
}

pub fn record(name: &str) -> record::Instance {
    let address = "127.0.0.1:1".parse().expect("valid");
    record::Instance {
        id: instance(name),
        incarnation: incarnation(name),
        zone: "z1".parse().expect("valid"),
        addresses: record::Addresses { client: address, operator: address, instance: address },
    }
}

pub fn owned(partition: u32, name: &str, epoch: u64, revision: u64) -> record::Owned {
    let owner = record::Owner {
        instance: instance(name),
        incarnation: incarnation(name),
        epoch: revision::Epoch::new(epoch),
    };
    let partition = id::Partition::new(partition);
    record::Owned { partition, owner, revision: revision::Revision::new(revision) }
}

pub fn store_up(engine: &mut Engine, now: Instant) {
    engine.set_store_reachable(true, now);
}

pub fn read_instances(engine: &mut Engine, names: &[&str], revision: u64, now: Instant) {
    let records: Vec<record::Instance> = names.iter().map(|name| record(name)).collect();
    engine.update_instances(&records, revision::Revision::new(revision), now, now);
}

pub fn read_owners(engine: &mut Engine, records: &[record::Owned], revision: u64, now: Instant) {
    engine.update_owners(records, revision::Revision::new(revision), now, now);
}

/// Returns an engine that took all partitions with revision 10 at 1 s after `start`, before the
/// other listed instances were known.
pub fn owner_of_all(name: &str, listed: &[&str], start: Instant) -> Engine {
    let mut engine = engine(name, start);
    store_up(&mut engine, start);
    read_instances(&mut engine, &[name], 1, start);
    read_owners(&mut engine, &[], 1, start);
    let now = start + Duration::from_secs(1);
    for action in engine.tick(now) {
        let Action::Take { partition, epoch, .. } = action else { continue };
        engine.take_completed(partition, epoch, Outcome::Won(revision::Revision::new(10)), now);
    }
    assert_eq!(engine.owned().len(), PARTITIONS as usize);
    read_instances(&mut engine, listed, 10, now);
    engine
}

/// Returns a partition for which the instance is the first in order, so that it is not released.
pub fn first_partition(name: &str, listed: &[&str]) -> id::Partition {
    let ids: BTreeSet<id::Instance> = listed.iter().map(|name| instance(name)).collect();
    let mut partitions = (0..PARTITIONS).map(id::Partition::new);
    let is_first = |p: &id::Partition| *rendezvous::order(*p, &ids)[0] == instance(name);
    partitions.find(is_first).expect("the instance is first for a partition")
}

/// Several engines with one table of owner records. Messages arrive without delay, and time
/// advances in steps of 50 ms.
pub struct Cluster {
    engines: BTreeMap<id::Instance, Engine>,
    records: BTreeMap<id::Partition, record::Owned>,
    draining: BTreeSet<id::Instance>,
    last_renewals: BTreeMap<id::Instance, Instant>,
    revision: u64,
    now: Instant,
    steps: u64,
    /// Pairs of sender and receiver between which messages are lost.
    pub blocked: BTreeSet<(id::Instance, id::Instance)>,
    /// Successful takes.
    pub takes: Vec<(id::Partition, id::Instance)>,
    /// Takes that lost the compare-and-swap.
    pub lost_takes: u64,
    /// Takes of a partition that its owner had not released.
    pub forced_takes: Vec<id::Partition>,
    released: BTreeSet<(id::Partition, revision::Epoch)>,
}

const STEP: Duration = Duration::from_millis(50);

/// Validity of the lease of an instance record.
const RECORD_LEASE: Duration = Duration::from_secs(10);

impl Cluster {
    pub fn new(names: &[&str]) -> Cluster {
        let now = start();
        let engines = names.iter().map(|name| (instance(name), engine(name, now))).collect();
        let last_renewals = names.iter().map(|name| (instance(name), now)).collect();
        Cluster {
            engines,
            records: BTreeMap::new(),
            draining: BTreeSet::new(),
            last_renewals,
            revision: 1,
            now,
            steps: 0,
            blocked: BTreeSet::new(),
            takes: Vec::new(),
            lost_takes: 0,
            forced_takes: Vec::new(),
            released: BTreeSet::new(),
        }
    }

    pub fn ids(&self) -> BTreeSet<id::Instance> {
        self.engines.keys().cloned().collect()
    }

    pub fn owners(&self) -> BTreeMap<id::Partition, id::Instance> {
        self.records.iter().map(|(p, owned)| (*p, owned.owner.instance.clone())).collect()
    }

    pub fn drain(&mut self, name: &str) {
        self.draining.insert(instance(name));
        self.engines.get_mut(&instance(name)).expect("known").drain(self.now);
    }

    /// Runs for `time` while the named instances are stopped.
    pub fn run(&mut self, time: Duration, stopped: &[&str]) {
        let stopped: BTreeSet<id::Instance> = stopped.iter().map(|name| instance(name)).collect();
        let end = self.now + time;
        while self.now < end {
            self.step(&stopped);
            self.now += STEP;
            self.steps += 1;
        }
    }

    fn step(&mut self, stopped: &BTreeSet<id::Instance>) {
        let running: Vec<id::Instance> =
            self.engines.keys().filter(|id| !stopped.contains(*id)).cloned().collect();
        for id in &running {
            self.last_renewals.insert(id.clone(), self.now);
        }
        let (now, revision) = (self.now, revision::Revision::new(self.revision));
        if self.steps.is_multiple_of(20) {
            let live = self.last_renewals.iter().filter(|(_, at)| now - **at < RECORD_LEASE);
            let list: Vec<record::Instance> = live.map(|(id, _)| record(id.as_str())).collect();
            let owned: Vec<record::Owned> = self.records.values().cloned().collect();
            for id in &running {
                let engine = self.engines.get_mut(id).expect("known");
                engine.set_store_reachable(true, now);
                engine.update_instances(&list, revision, now, now);
                engine.update_owners(&owned, revision, now, now);
            }
        }
        if self.steps.is_multiple_of(6) {
            self.send_pings(&running);
        }
        for id in &running {
            let actions = self.engines.get_mut(id).expect("known").tick(now);
            for action in actions {
                self.apply(id, action, &running);
            }
        }
    }

    fn send_pings(&mut self, running: &[id::Instance]) {
        for from in running {
            let mut sent = ping(from.as_str(), true);
            sent.draining = self.draining.contains(from);
            sent.owned = self.engines[from].owned();
            for to in running.iter().filter(|to| *to != from) {
                if !self.blocked.contains(&(from.clone(), to.clone())) {
                    self.engines.get_mut(to).expect("known").receive_ping(&sent, self.now);
                }
            }
        }
    }

    fn apply(&mut self, id: &id::Instance, action: Action, running: &[id::Instance]) {
        let now = self.now;
        match action {
            Action::Probe { peer, incarnation, .. } => {
                let is_blocked = self.blocked.contains(&(id.clone(), peer.clone()));
                let reached = running.contains(&peer) && !is_blocked;
                let engine = self.engines.get_mut(id).expect("known");
                match (reached, is_blocked) {
                    (true, _) => engine.probe_succeeded(&peer, incarnation, now),
                    (false, true) => engine.probe_failed(&peer, incarnation, Failure::Timeout, now),
                    (false, false) => {
                        engine.probe_failed(&peer, incarnation, Failure::Refused, now)
                    }
                }
            }
            Action::Take { partition, expect, epoch } => self.take(id, partition, expect, epoch),
            Action::Release { partition, to, epoch, revision } => {
                self.released.insert((partition, epoch));
                let release = record::Release {
                    sender: id.clone(),
                    incarnation: incarnation(id.as_str()),
                    partition,
                    epoch,
                    revision,
                };
                if running.contains(&to) && !self.blocked.contains(&(id.clone(), to.clone())) {
                    self.engines.get_mut(&to).expect("known").receive_release(&release, now);
                }
            }
            Action::Drop { .. } | Action::Report { .. } => {}
        }
    }

    fn take(
        &mut self,
        id: &id::Instance,
        partition: id::Partition,
        expect: Option<revision::Revision>,
        epoch: revision::Epoch,
    ) {
        let engine = self.engines.get_mut(id).expect("known");
        let current = self.records.get(&partition);
        if current.map(|owned| owned.revision) != expect {
            self.lost_takes += 1;
            engine.take_completed(partition, epoch, Outcome::Lost, self.now);
            return;
        }
        if current.is_some_and(|owned| !self.released.contains(&(partition, owned.owner.epoch))) {
            self.forced_takes.push(partition);
        }
        self.revision += 1;
        let owned = owned(partition.get(), id.as_str(), epoch.get(), self.revision);
        engine.take_completed(partition, epoch, Outcome::Won(owned.revision), self.now);
        self.records.insert(partition, owned);
        self.takes.push((partition, id.clone()));
    }
}
