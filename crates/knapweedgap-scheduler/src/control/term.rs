//! Term of an owner: from the claim to the loss or the release of the ownership.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::{id, revision};
use knapweedgap_membership::share::{Capacity, Fleet};
use knapweedgap_membership::steadiness;
use knapweedgap_store::{Entry, Error, Key, Store, Txn, key};
use knapweedgap_workload::action::Ticket;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::bounds::OWNER_GRACE;
use knapweedgap_workload::engine::{Engine, TICK};
use knapweedgap_workload::speeds::Speeds;
use knapweedgap_workload::{lease, observer};

use super::cost::Part;
use super::election::{Claimed, Predecessor, unchanged};
use super::keys;
use super::relay::Relays;
use super::{Node, feed, journal, maintenance, members, orders};
use crate::metric;
use crate::peer::Platform;
use crate::signal::Signal;

/// Pause before a failed read of the store is repeated.
const READ_BACKOFF: Duration = Duration::from_millis(150);

/// Interval at which the processor time of the control thread is logged.
const COST_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the last commit before the ownership is released; a slow store takes 0.3 s to
/// answer.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which submissions to a new owner wait for the first report of a worker. The list of
/// workers and a poll of each take several round trips; after it the fleet has no worker that takes
/// tasks.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// State of a term.
pub(super) struct Term {
    pub(super) epoch: revision::Epoch,
    /// Revision of the owner record, on which every commit is conditional.
    pub(super) owner: revision::Revision,
    handover: Cell<lease::Handover>,
    /// Absent if the previous owner can't renew leases any more.
    predecessor: RefCell<Option<Predecessor>>,
    /// Absent until the log has been read.
    pub(super) engine: RefCell<Option<Engine>>,
    /// Requests that wait for an answer of the engine.
    pub(super) tickets: RefCell<HashMap<Ticket, Sender<Answer>>>,
    pub(super) last_ticket: Cell<u64>,
    /// When the last commit that confirmed the ownership was sent.
    pub(super) confirmed_at: Cell<Instant>,
    /// Notified when a commit has confirmed the ownership.
    confirmed: Signal,
    /// Whether the last commit succeeded at its latest attempt.
    pub(super) store_reachable: Cell<bool>,
    /// The store was read in this term and has no configuration that can be used.
    pub(super) lacks_configuration: Cell<bool>,
    /// Notified when a commit may be needed.
    pub(super) commit_requested: Signal,
    /// Notified when a batch was stored.
    pub(super) stored: Signal,
    /// Notified when the term ends.
    pub(super) ended: Signal,
    /// Poll loops of workers.
    pub(super) polls: RefCell<HashMap<id::Worker, Task<()>>>,
    /// Workers that an extra poll is about to be sent to.
    pub(super) extra_polls: RefCell<HashSet<id::Worker>>,
    /// Orders of speed that are in flight or follow one that is.
    pub(super) speeds: RefCell<Speeds>,
    /// Round trips on the links to the other instances.
    pub(super) link_delay: RefCell<observer::Links>,
    /// When the term began to serve requests.
    serving_since: Cell<Option<Instant>>,
    /// Disturbances of this owner, which the stated commit timeout follows.
    pub(super) steadiness: RefCell<steadiness::Monitor>,
    /// Number of instances in the store, with this one.
    pub(super) members: Cell<usize>,
    /// Instances that talk to workers for this owner.
    pub(super) relays: Relays,
}

impl Term {
    fn new(claimed: &Claimed, own: Capacity) -> Term {
        Term {
            epoch: claimed.epoch,
            owner: claimed.owner,
            handover: Cell::new(claimed.handover),
            predecessor: RefCell::new(claimed.predecessor.clone()),
            engine: RefCell::new(None),
            tickets: RefCell::default(),
            last_ticket: Cell::new(0),
            confirmed_at: Cell::new(claimed.sent_at),
            confirmed: Signal::default(),
            store_reachable: Cell::new(true),
            lacks_configuration: Cell::new(false),
            commit_requested: Signal::default(),
            stored: Signal::default(),
            ended: Signal::default(),
            polls: RefCell::default(),
            extra_polls: RefCell::default(),
            speeds: RefCell::default(),
            link_delay: RefCell::default(),
            serving_since: Cell::new(None),
            steadiness: RefCell::new(steadiness::Monitor::new(claimed.sent_at)),
            members: Cell::new(1),
            relays: Relays::new(claimed.epoch, own),
        }
    }

    /// Ends the term. Another instance owns the workload or may claim it.
    pub(super) fn end(&self, reason: &str) {
        if self.ended.count() == 0 {
            log::info!("[term] epoch={} decision=end reason={reason:?}", self.epoch);
        }
        self.ended.notify();
    }

    /// Returns `true` if the log and the configuration have been read. Requests wait until then,
    /// unless the term lacks a configuration.
    pub(super) fn is_serving(&self) -> bool {
        self.with_engine(|engine| engine.configuration_version()).flatten().is_some()
    }

    /// Returns `true` while submissions wait, because the term has begun to serve less than
    /// [`FIRST_REPORT_TIMEOUT`] ago and no worker takes tasks yet.
    pub(super) fn awaits_workers(&self, now: Instant) -> bool {
        let is_new = self
            .serving_since
            .get()
            .is_none_or(|since| now.saturating_duration_since(since) < FIRST_REPORT_TIMEOUT);
        is_new && self.with_engine(|engine| !engine.has_open_worker(now)).unwrap_or(true)
    }

    /// Records that a commit which was sent at `sent` has confirmed the ownership.
    pub(super) fn confirm(&self, sent: Instant) {
        self.confirmed_at.set(sent);
        self.confirmed.notify();
    }

    /// Waits until a commit that was sent after `at` confirms the ownership, at most for `timeout`.
    /// Returns `false` if none did, or if the term ended before.
    pub(super) async fn is_confirmed_since(&self, at: Instant, timeout: Duration) -> bool {
        let confirmed = async {
            while self.confirmed_at.get() <= at {
                self.confirmed.wait(self.confirmed.count(), timeout).await;
            }
        };
        confirmed.or(self.ended.wait(0, timeout)).await;
        self.ended.count() == 0 && self.confirmed_at.get() > at
    }

    /// Returns `true` if the ownership was confirmed recently enough to renew leases.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        self.ended.count() == 0
            && now.saturating_duration_since(self.confirmed_at.get()) < OWNER_GRACE
    }

    /// Returns the lease times for a commit that is prepared at `now`.
    pub(super) fn lease_times(&self, now: Instant) -> keys::LeaseTimes {
        let handover = self.handover.get();
        let time = handover.clock.time(now);
        keys::LeaseTimes { time, renewals_end: handover.renewals_end }
    }

    /// Lowers the bound on the leases of earlier owners when `is_ended` returns `true` for the
    /// previous owner. `now` is the time of the evidence or later.
    pub(super) fn check_predecessor<Check>(&self, is_ended: Check, now: Instant)
    where
        Check: FnOnce(&keys::Owner) -> bool,
    {
        let ended =
            self.predecessor.borrow_mut().take_if(|predecessor| is_ended(&predecessor.owner));
        let Some(Predecessor { owner, renewals_end }) = ended else { return };
        let mut handover = self.handover.get();
        let renewals_end = renewals_end.max(handover.clock.time_after(now));
        handover.renewals_end = handover.renewals_end.min(renewals_end);
        self.handover.set(handover);
        log::info!(
            "[term] epoch={} predecessor={} decision=shorten_hold renewals_end={renewals_end}",
            self.epoch,
            owner.instance
        );
        self.with_engine(|engine| engine.renewals_ended(renewals_end));
    }

    /// Applies `operation` to the engine. Returns `None` until the log has been read.
    pub(super) fn with_engine<Operation, Value>(&self, operation: Operation) -> Option<Value>
    where
        Operation: FnOnce(&mut Engine) -> Value,
    {
        self.engine.borrow_mut().as_mut().map(operation)
    }
}

/// Runs a term until the ownership is lost or released.
pub(super) async fn run<P>(node: Rc<Node<P>>, claimed: Claimed)
where
    P: Platform,
{
    let term = Rc::new(Term::new(&claimed, node.capacity()));
    node.leader.replace(None);
    node.term.replace(Some(term.clone()));
    let tasks = [
        node.executor.spawn(journal::run(node.clone(), term.clone(), claimed)),
        node.executor.spawn(members::run(node.clone(), term.clone())),
        node.executor.spawn(run_engine(node.clone(), term.clone())),
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
        let changed = node.changed.wait(seen, Duration::from_millis(200));
        term.ended.wait(0, Duration::from_secs(1)).or(changed).await;
    }
    node.readiness.set(false);
    metrics::gauge!(metric::HELD_RUNS).set(0.0);
    metrics::gauge!(metric::RELAYS).set(0.0);
    metrics::gauge!(metric::OWN_DELAY).set(0.0);
    metrics::gauge!(metric::LIST_AGE).set(0.0);
    metrics::gauge!(metric::EVACUATED_ZONES).set(0.0);
    for queue in term.with_engine(|engine| engine.queues_with_idle_jobs()).unwrap_or_default() {
        metrics::gauge!(metric::IDLE_JOB_SECONDS, "queue" => queue.to_string()).set(0.0);
    }
    term.polls.borrow_mut().clear();
    drop(tasks);
    // Requests that still wait are retried with the next leader.
    term.tickets.borrow_mut().clear();
    node.term.replace(None);
    node.changed.notify();
}

/// Replays the log, then runs the engine until the term ends.
async fn run_engine<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    let started = node.now();
    let Some(engine) = replay(&node, &term).await else {
        return term.end("invalid log");
    };
    *term.engine.borrow_mut() = Some(engine);
    let operators = node.executor.spawn(feed::watch_operators(node.clone(), term.clone()));
    let workers = node.executor.spawn(feed::watch_workers(node.clone(), term.clone()));
    let maintenance = node.executor.spawn(maintenance::run(node.clone(), term.clone()));
    while !term.is_serving() {
        Timer::after(Duration::from_millis(5)).await;
    }
    let elapsed = node.now().saturating_duration_since(started);
    log::info!("[term] epoch={} state=serving read_ms={}", term.epoch, elapsed.as_millis());
    node.readiness.set(!node.draining.get());
    node.changed.notify();
    term.serving_since.set(Some(node.now()));
    // The first reports of all workers keep the owner busy.
    term.steadiness.borrow_mut().disturb(node.now());
    let mut due = node.now();
    let mut cost_logged_at = due;
    loop {
        let (now, wall_ms) = (node.now(), node.wall_ms());
        let delay = now.saturating_duration_since(due).max(term.link_delay.borrow().fastest(now));
        metrics::gauge!(metric::OWN_DELAY).set(delay.as_secs_f64());
        if term.steadiness.borrow_mut().record_delay(delay, now) {
            term.commit_requested.notify();
        }
        due = now + TICK;
        node.meter.measure(Part::Tick, || {
            term.with_engine(|engine| {
                engine.record_delay(delay, now);
                engine.tick(now, wall_ms);
            });
        });
        if now.saturating_duration_since(cost_logged_at) >= COST_INTERVAL {
            cost_logged_at = now;
            log::info!("[term] epoch={}{}", term.epoch, node.meter.take());
        }
        let fleet = term.with_engine(|engine| engine.worker_zones().collect::<Fleet>());
        term.relays.set_fleet(fleet.unwrap_or_default());
        orders::execute_actions(&node, &term);
        Timer::after(TICK).await;
        if term.ended.count() > 0 {
            break;
        }
    }
    drop((operators, workers, maintenance));
}

/// Replays the log into a new engine. Returns `None` if an entry is invalid.
async fn replay<P>(node: &Rc<Node<P>>, term: &Rc<Term>) -> Option<Engine>
where
    P: Platform,
{
    let entries = read_all(node, &keys::key(keys::LOG)).await.entries;
    let now = node.now();
    let mut bounds = node.settings.bounds.clone();
    bounds.lower_value_max(node.value_max.get());
    let mut engine = Engine::new(term.epoch, bounds, term.handover.get(), now);
    let count = entries.len();
    for entry in entries {
        let Some(sequence) = keys::log_sequence(&entry.key) else {
            log::error!("[term] key={} is not the key of a log entry", entry.key);
            return None;
        };
        if let Err(error) = engine.replay(sequence, &entry.value, now) {
            log::error!("[term] key={} replay failed: {error}", entry.key);
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
    /// Revision of the store at the first page. A watch from the next revision misses no change.
    pub(super) revision: revision::Revision,
    /// When the first page was asked for. The listing has all earlier changes.
    pub(super) asked_at: Instant,
}

/// Reads all entries under a prefix, with retries until it succeeds.
pub(super) async fn read_all<P>(node: &Node<P>, prefix: &Key) -> Listing
where
    P: Platform,
{
    loop {
        match read_pages(node, prefix).await {
            Ok(listing) => return listing,
            Err(error) => log::info!("[store] prefix={prefix} read failed: {error}"),
        }
        Timer::after(READ_BACKOFF).await;
    }
}

async fn read_pages<P>(node: &Node<P>, prefix: &Key) -> Result<Listing, Error>
where
    P: Platform,
{
    let asked_at = node.now();
    let mut entries: Vec<Entry> = Vec::new();
    let mut revision = None;
    loop {
        let mut range = key::Range::prefix(prefix.clone());
        if let Some(last) = entries.last() {
            range = range.after(last.key.clone());
        }
        let page = node.platform.store().range(range).await?;
        // Pages are read at different revisions; a watch from the first page's revision reports
        // the changes in between.
        let revision = *revision.get_or_insert(page.revision);
        let empty = page.entries.is_empty();
        entries.extend(page.entries);
        if !page.more || empty {
            return Ok(Listing { entries, revision, asked_at });
        }
    }
}

/// Stores what the next owner has to know of the leases, ends the term and marks the owner record
/// as released, so that another instance can claim the ownership immediately.
async fn release<P>(node: &Rc<Node<P>>, term: &Rc<Term>)
where
    P: Platform,
{
    let started = node.now();
    term.with_engine(|engine| engine.prepare_release(started));
    orders::execute_actions(node, term);
    while !term.with_engine(|engine| engine.are_leases_stored()).unwrap_or(true) {
        let elapsed = node.now().saturating_duration_since(started);
        if elapsed >= RELEASE_TIMEOUT || term.ended.count() > 0 {
            break;
        }
        term.stored.wait(term.stored.count(), RELEASE_TIMEOUT - elapsed).await;
    }
    term.ended.notify();
    let owner = node.owner(term.epoch, true);
    let value = serde_json::to_vec(&owner).unwrap_or_default();
    let txn =
        Txn::new().when(unchanged(keys::OWNER, term.owner)).put(keys::key(keys::OWNER), value);
    let outcome = node.platform.store().commit(txn).await;
    log::info!("[term] epoch={} decision=release outcome={outcome:?}", term.epoch);
}
