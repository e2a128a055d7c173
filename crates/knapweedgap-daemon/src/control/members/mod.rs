//! Membership: runs the membership engine on the records of the key-value service and the reports
//! of peers.

mod record;
mod view;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};
use knapweedgap_instance::wire::{Body, Release};
use knapweedgap_membership::engine::{Identity, Outcome};
use knapweedgap_membership::{Action, Engine, Failure, Liveness, record as stored};
use knapweedgap_store::{self as store, Compare, Key, Store, Txn, key};
use knapweedgap_timeline::event::Kind;

use super::context::{Context, sleep};
use super::{keyspace, links, snapshot, value};
use crate::metric;
use crate::notify::Notify;

pub(crate) use record::{poll, register};

/// Delay after a failed call to the key-value service.
const STORE_BACKOFF: Duration = Duration::from_millis(500);

/// Membership engine, the records read last, and the signals that wake its loops.
pub(crate) struct Members {
    identity: RefCell<Identity>,
    engine: RefCell<Engine>,
    records: RefCell<BTreeMap<id::Instance, stored::Instance>>,
    changed: Notify,
    poll: Notify,
}

impl Members {
    /// Creates the engine without partitions. Their number is set when the settings are known.
    pub(crate) fn new(identity: Identity, now: Instant) -> Members {
        Members {
            engine: RefCell::new(Engine::new(identity.clone(), now)),
            identity: RefCell::new(identity),
            records: RefCell::default(),
            changed: Notify::new(),
            poll: Notify::new(),
        }
    }

    /// Passes an input to the engine and wakes its loop.
    pub(crate) fn input<Input>(&self, input: Input)
    where
        Input: FnOnce(&mut Engine),
    {
        input(&mut self.engine.borrow_mut());
        self.changed.notify();
    }

    /// Sets the number of partitions when the settings become known. Later calls have no effect:
    /// the number determines the partition of every job, so it is fixed for the installation.
    pub(crate) fn set_partitions(&self, count: u32, now: Instant) {
        let mut identity = self.identity.borrow_mut();
        if identity.partitions != 0 {
            return;
        }
        identity.partitions = count;
        *self.engine.borrow_mut() = Engine::new(identity.clone(), now);
        self.poll.notify();
        self.changed.notify();
    }

    /// Runs a query on the engine.
    pub(crate) fn query<Query, Answer>(&self, query: Query) -> Answer
    where
        Query: FnOnce(&mut Engine) -> Answer,
    {
        query(&mut self.engine.borrow_mut())
    }

    pub(crate) fn owned(&self) -> Vec<(id::Partition, revision::Epoch)> {
        self.engine.borrow().owned()
    }

    /// Returns the record of a peer as last read from the key-value service.
    pub(crate) fn record(&self, peer: &id::Instance) -> Option<stored::Instance> {
        self.records.borrow().get(peer).cloned()
    }

    /// Returns the link addresses of all known peers. The VM list supplies the addresses of peers
    /// without a record, for example while the key-value service is unreachable.
    pub(crate) fn addresses(&self, context: &Context) -> BTreeMap<id::Instance, SocketAddr> {
        let mut addresses = context.fleet.entries();
        for (peer, record) in self.records.borrow().iter() {
            addresses.insert(peer.clone(), record.addresses.instance);
        }
        addresses.remove(&context.config.instance);
        addresses
    }

    /// Returns the live peers with their availability zones.
    pub(crate) fn live(&self) -> Vec<(id::Instance, id::Zone)> {
        let engine = self.engine.borrow();
        let mut live = Vec::new();
        for peer in engine.peers() {
            if peer.liveness != Liveness::Alive {
                continue;
            }
            let Some(zone) = peer.zone else { continue };
            live.push((peer.id.clone(), zone.clone()));
        }
        live
    }

    pub(crate) fn is_draining(&self, peer: &id::Instance) -> bool {
        self.engine.borrow().peers().any(|known| known.id == peer && known.draining)
    }

    /// Triggers a read of the owner records. Called when one of them was found to be out of date.
    pub(crate) fn poll_soon(&self) {
        self.poll.notify();
    }
}

/// Maps a link error to the kind of failure that the engine distinguishes.
pub(crate) fn classify_failure(error: &knapweedgap_instance::link::Error) -> Failure {
    if error.is_refused() { Failure::Refused } else { Failure::Timeout }
}

/// Executes the actions of the engine.
pub(crate) async fn run(context: Rc<Context>) {
    loop {
        let now = context.now();
        let actions = context.members.query(|engine| engine.tick(now));
        for action in actions {
            perform(&context, action);
        }
        let owned = context.members.owned().len();
        metrics::gauge!(metric::PARTITIONS_OWNED).set(owned as f64);
        let wake = context.members.query(|engine| engine.wake());
        context.members.changed.wait_until(wake).await;
    }
}

fn perform(context: &Rc<Context>, action: Action) {
    match action {
        Action::Probe { peer, incarnation, address } => {
            context.spawn(links::probe(context.clone(), peer, incarnation, address));
        }
        Action::Take { partition, expect, epoch } => {
            context.spawn(take(context.clone(), partition, expect, epoch));
        }
        Action::Release { partition, to, epoch, revision } => {
            context.spawn(release(context.clone(), partition, to, epoch, revision));
        }
        Action::Drop { partition, epoch } => {
            context.partitions.close(partition, epoch);
            log::warn!(
                "[members] partition {partition} lost to another owner; epoch {epoch} ended"
            );
            context.journal.record(Kind::PartitionLost, |event| event.partition(partition));
        }
        Action::Report { peer, liveness } => report_liveness(context, &peer, liveness),
    }
}

fn report_liveness(context: &Context, peer: &id::Instance, liveness: Liveness) {
    if context.members.is_draining(peer) && liveness != Liveness::Alive {
        // An instance that announced its shutdown is expected to become unreachable.
        if liveness == Liveness::Dead {
            log::info!("[members] instance {peer} ended after its shutdown");
        }
        snapshot::publish(context);
        return;
    }
    log::info!("[members] instance {peer} is {liveness}");
    let kind = match liveness {
        Liveness::Alive => Kind::PeerAlive,
        Liveness::Suspect => Kind::PeerSuspect,
        _ => Kind::PeerDead,
    };
    context.journal.record(kind, |event| event.detail(peer.as_str()));
    snapshot::publish(context);
}

/// Acquires the ownership of a partition by compare-and-swap on its owner record.
async fn take(
    context: Rc<Context>,
    partition: id::Partition,
    expect: Option<revision::Revision>,
    epoch: revision::Epoch,
) {
    let instance = context.config.instance.clone();
    let owner = stored::Owner { instance, incarnation: context.incarnation, epoch };
    let key = keyspace::owner(partition);
    let unchanged = match expect {
        Some(revision) => Compare::Modified(key.clone(), revision),
        None => Compare::absent(key.clone()),
    };
    let txn = Txn::new().when(unchanged).put(key.clone(), value::encode(&owner));
    let outcome = match context.store.commit(txn).await {
        Ok(store::Outcome::Succeeded(revision)) => Outcome::Won(revision),
        Ok(store::Outcome::Failed) => Outcome::Lost,
        Err(error) if error.may_be_applied() => read_back(&context, &key, &owner).await,
        Err(_) => Outcome::Unavailable,
    };
    let now = context.now();
    context.members.input(|engine| engine.take_completed(partition, epoch, outcome, now));
    let revision = context.members.query(|engine| engine.owner_revision(partition));
    let Some(revision) = revision.filter(|_| matches!(outcome, Outcome::Won(_))) else { return };
    log::info!("[members] took partition {partition} with epoch {epoch}");
    context.journal.record(Kind::PartitionTaken, |event| {
        event.partition(partition).detail(&format!("epoch {epoch}"))
    });
    context.partitions.open(&context, partition, epoch, revision);
}

/// Determines whether a write whose answer was lost took effect. The record contains the
/// incarnation and the epoch, so no other write produces an equal record.
async fn read_back(context: &Context, key: &Key, owner: &stored::Owner) -> Outcome {
    loop {
        let Ok(page) = context.store.range(key::Range::key(key.clone())).await else {
            sleep(STORE_BACKOFF).await;
            continue;
        };
        let Some(entry) = page.entries.first() else { return Outcome::Lost };
        let found: Option<stored::Owner> = value::decode(&entry.value).ok();
        return match found {
            Some(found) if found == *owner => Outcome::Won(entry.mod_revision),
            _ => Outcome::Lost,
        };
    }
}

/// Hands a partition over: stops serving it, waits for the writes in flight and notifies the next
/// owner.
async fn release(
    context: Rc<Context>,
    partition: id::Partition,
    to: id::Instance,
    epoch: revision::Epoch,
    revision: revision::Revision,
) {
    context.partitions.finish(partition, epoch).await;
    let Some(sender) = context.links.sender(&to) else { return };
    if sender.send(Body::Release(Release { partition, epoch, revision })).is_err() {
        return;
    }
    log::info!("[members] released partition {partition} to {to}");
    context
        .journal
        .record(Kind::PartitionReleased, |event| event.partition(partition).detail(to.as_str()));
}
