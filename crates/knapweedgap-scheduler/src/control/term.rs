//! Term of an owner: from the claim to the loss or the release of the workload.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use knapweedgap_core::{id, revision};
use knapweedgap_store::{Entry, Error, Key, Store, Txn, key};
use knapweedgap_workload::action::Ticket;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::bounds::OWNER_GRACE;
use knapweedgap_workload::engine::{Engine, TICK};

use super::election::{Claimed, unchanged};
use super::keys;
use super::signal::Signal;
use super::{Node, feed, journal, members, orders, upkeep};
use crate::peer::Platform;

/// Pause before a read of the store is repeated.
const RETRY: Duration = Duration::from_millis(150);

/// State of a term.
pub(super) struct Term {
    pub(super) epoch: revision::Epoch,
    pub(super) owner: revision::Revision,
    /// Absent until the log was read.
    pub(super) engine: RefCell<Option<Engine>>,
    pub(super) tickets: RefCell<HashMap<Ticket, Sender<Answer>>>,
    pub(super) last_ticket: Cell<u64>,
    /// When the last call was sent that confirmed the ownership.
    pub(super) validated: Cell<Instant>,
    /// The last commit was answered.
    pub(super) store_answers: Cell<bool>,
    /// Something changed that may have to be stored.
    pub(super) work: Signal,
    /// A batch was stored.
    pub(super) stored: Signal,
    pub(super) ended: Signal,
    pub(super) looks: RefCell<HashMap<id::Worker, Task<()>>>,
}

impl Term {
    fn new(claimed: &Claimed, now: Instant) -> Term {
        Term {
            epoch: claimed.epoch,
            owner: claimed.owner,
            engine: RefCell::new(None),
            tickets: RefCell::default(),
            last_ticket: Cell::new(0),
            validated: Cell::new(now),
            store_answers: Cell::new(true),
            work: Signal::default(),
            stored: Signal::default(),
            ended: Signal::default(),
            looks: RefCell::default(),
        }
    }

    /// Ends the term: another instance owns the workload, or may.
    pub(super) fn end(&self, reason: &str) {
        if self.ended.count() == 0 {
            log::info!("[term] epoch={} decision=end reason={reason:?}", self.epoch);
        }
        self.ended.notify();
    }

    /// Tells whether leases may still be renewed.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        self.ended.count() == 0 && now.saturating_duration_since(self.validated.get()) < OWNER_GRACE
    }

    /// Runs `work` on the engine, if the log was read.
    pub(super) fn with_engine<Work, Value>(&self, work: Work) -> Option<Value>
    where
        Work: FnOnce(&mut Engine) -> Value,
    {
        self.engine.borrow_mut().as_mut().map(work)
    }
}

/// Runs a term to its end.
pub(super) async fn run<P>(node: Rc<Node<P>>, claimed: Claimed)
where
    P: Platform,
{
    let term = Rc::new(Term::new(&claimed, node.now()));
    node.leader.replace(None);
    node.term.replace(Some(term.clone()));
    let tasks = [
        node.executor.spawn(journal::run(node.clone(), term.clone(), claimed)),
        node.executor.spawn(members::follow(node.clone(), term.clone())),
        node.executor.spawn(serve(node.clone(), term.clone())),
    ];
    loop {
        let seen = node.changed.count();
        if term.ended.count() > 0 {
            break;
        }
        if node.draining.get() {
            release(&node, &term).await;
            break;
        }
        let changed = node.changed.after(seen, Duration::from_millis(200));
        futures_lite::FutureExt::or(term.ended.after(0, Duration::from_secs(1)), changed).await;
    }
    node.readiness.set(false);
    term.looks.borrow_mut().clear();
    drop(tasks);
    // Whoever waits for an answer asks the next leader.
    term.tickets.borrow_mut().clear();
    node.term.replace(None);
    node.changed.notify();
}

/// Reads the state, then drives the engine.
async fn serve<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    let started = node.now();
    let Some(engine) = replay(&node, &term).await else {
        return term.end("the log can't be read");
    };
    *term.engine.borrow_mut() = Some(engine);
    let operators = node.executor.spawn(feed::operators(node.clone(), term.clone()));
    let workers = node.executor.spawn(feed::workers(node.clone(), term.clone()));
    let upkeep = node.executor.spawn(upkeep::run(node.clone(), term.clone()));
    while term.with_engine(|engine| engine.configuration_version()).flatten().is_none() {
        Timer::after(Duration::from_millis(5)).await;
    }
    let took = node.now().saturating_duration_since(started);
    log::info!("[term] epoch={} state=serving read_ms={}", term.epoch, took.as_millis());
    node.readiness.set(!node.draining.get());
    node.changed.notify();
    loop {
        let (now, wall_ms) = (node.now(), node.wall_ms());
        term.with_engine(|engine| engine.tick(now, wall_ms));
        orders::carry_out(&node, &term);
        Timer::after(TICK).await;
        if term.ended.count() > 0 {
            break;
        }
    }
    drop((operators, workers, upkeep));
}

/// Reads the log into a new engine.
async fn replay<P>(node: &Rc<Node<P>>, term: &Rc<Term>) -> Option<Engine>
where
    P: Platform,
{
    let entries = read_all(node, &keys::key(keys::LOG)).await.entries;
    let now = node.now();
    let mut engine = Engine::new(term.epoch, node.settings.bounds.clone(), now);
    let count = entries.len();
    for entry in entries {
        let Some(sequence) = keys::log_sequence(&entry.key) else {
            log::error!("[term] key={} is no log entry", entry.key);
            return None;
        };
        if let Err(error) = engine.replay(sequence, &entry.value, now) {
            log::error!("[term] {error}");
            return None;
        }
    }
    engine.begin(now, node.wall_ms());
    log::info!("[term] epoch={} log_entries={count}", term.epoch);
    Some(engine)
}

/// All entries under a prefix.
pub(super) struct Listing {
    pub(super) entries: Vec<Entry>,
    /// Revision from which a watch misses nothing.
    pub(super) revision: revision::Revision,
}

/// Reads all entries under a prefix, and tries until it succeeds.
pub(super) async fn read_all<P>(node: &Node<P>, prefix: &Key) -> Listing
where
    P: Platform,
{
    loop {
        match read_pages(node, prefix).await {
            Ok(listing) => return listing,
            Err(error) => log::info!("[store] prefix={prefix} read failed: {error}"),
        }
        Timer::after(RETRY).await;
    }
}

async fn read_pages<P>(node: &Node<P>, prefix: &Key) -> Result<Listing, Error>
where
    P: Platform,
{
    let mut entries: Vec<Entry> = Vec::new();
    let mut revision = None;
    loop {
        let mut range = key::Range::prefix(prefix.clone());
        if let Some(last) = entries.last() {
            range = range.after(last.key.clone());
        }
        let page = node.platform.store().range(range).await?;
        // Pages are no snapshot: a watch from the first page on reports what changed meanwhile.
        let revision = *revision.get_or_insert(page.revision);
        let empty = page.entries.is_empty();
        entries.extend(page.entries);
        if !page.more || empty {
            return Ok(Listing { entries, revision });
        }
    }
}

/// Hands the workload over: marks the owner record, so that another instance claims it at once.
async fn release<P>(node: &Rc<Node<P>>, term: &Rc<Term>)
where
    P: Platform,
{
    term.ended.notify();
    let owner = node.owner(term.epoch, true);
    let value = serde_json::to_vec(&owner).unwrap_or_default();
    let txn =
        Txn::new().when(unchanged(keys::OWNER, term.owner)).put(keys::key(keys::OWNER), value);
    let outcome = node.platform.store().commit(txn).await;
    log::info!("[term] epoch={} decision=release outcome={outcome:?}", term.epoch);
}
