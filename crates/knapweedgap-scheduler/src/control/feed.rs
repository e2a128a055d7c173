//! Watches of the entries that operators, workers and instances write to the store.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use knapweedgap_core::{id, revision};
use knapweedgap_store::{Entry, Error, Key, Store, watch};

use super::cost::Part;
use super::term::{self, Term};
use super::{Node, orders};
use crate::peer::{Operators, Platform};

/// Pause after a failed call to the store.
const WATCH_BACKOFF: Duration = Duration::from_millis(200);
/// Pause between two reads of worker changes. Each worker writes every second, so without the
/// pause there would be one call for each write.
const WORKER_INTERVAL: Duration = Duration::from_millis(250);

/// Receiver of the entries under a prefix.
pub(super) trait Sink {
    /// Applies a full list of the entries.
    fn reset(&self, entries: Vec<Entry>);
    /// Applies one change.
    fn change(&self, change: watch::Change);
    /// Notes that all changes up to `at` have been applied.
    fn confirm(&self, at: Instant);
}

/// Watches the configuration, the evacuated zones and the maintenance waves.
pub(super) async fn watch_operators<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    let prefix = node.platform.operators().operator_prefix();
    let sink = Operator { node: node.clone(), term };
    watch_prefix(&node, &prefix, Duration::ZERO, &sink).await;
}

/// Watches the entries of workers.
pub(super) async fn watch_workers<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    let prefix = node.platform.operators().worker_prefix();
    let sink = Worker { node: node.clone(), term };
    watch_prefix(&node, &prefix, WORKER_INTERVAL, &sink).await;
}

/// Reads all entries under a prefix, then watches their changes with a pause of `interval` between
/// reads. Reads all entries again when the store has compacted changes that were not read.
pub(super) async fn watch_prefix<P, S>(
    node: &Rc<Node<P>>,
    prefix: &Key,
    interval: Duration,
    sink: &S,
) where
    P: Platform,
    S: Sink,
{
    loop {
        let listing = term::read_all(node, prefix).await;
        sink.reset(listing.entries);
        sink.confirm(listing.asked_at);
        let mut from = revision::Revision::new(listing.revision.get() + 1);
        while let Some(next) = watch_from(node, prefix, from, interval, sink).await {
            from = next;
            Timer::after(WATCH_BACKOFF).await;
        }
        log::info!("[store] prefix={prefix} history compacted, reading all entries");
    }
}

/// Watches changes from a revision until the watch fails. Returns the revision from which to
/// resume, or `None` if the store has compacted it.
async fn watch_from<P, S>(
    node: &Rc<Node<P>>,
    prefix: &Key,
    from: revision::Revision,
    interval: Duration,
    sink: &S,
) -> Option<revision::Revision>
where
    P: Platform,
    S: Sink,
{
    let mut watch = match node.platform.store().watch(prefix.clone(), from).await {
        Ok(watch) => watch,
        Err(Error::Compacted(_)) => return None,
        Err(error) => {
            log::info!("[store] prefix={prefix} watch failed: {error}");
            return Some(from);
        }
    };
    loop {
        let asked_at = node.now();
        let is_empty = match watch.next_batch().await {
            Ok(batch) => node.meter.measure(Part::Entries, || {
                let is_empty = batch.changes.is_empty();
                for change in batch.changes {
                    sink.change(change);
                }
                sink.confirm(asked_at + batch.waited);
                is_empty
            }),
            Err(Error::Compacted(_)) => return None,
            Err(error) => {
                let line = format!("[store] prefix={prefix} watch interrupted: {error}");
                if node.limiter.admit("watch_cut", &line, node.now()) {
                    log::info!("{line}");
                }
                return Some(watch.resume_revision());
            }
        };
        if !interval.is_zero() && !is_empty {
            Timer::after(interval).await;
        }
    }
}

/// Applies entries of operators to the engine.
struct Operator<P> {
    node: Rc<Node<P>>,
    term: Rc<Term>,
}

impl<P> Operator<P>
where
    P: Platform,
{
    fn apply(&self, entry: &Entry) {
        let operators = self.node.platform.operators();
        if let Some(zone) = operators.evacuated_zone(&entry.key) {
            let now = self.node.now();
            self.term.with_engine(|engine| engine.evacuate_zone(zone, now));
            orders::execute_actions(&self.node, &self.term);
            return;
        }
        if entry.key == operators.configuration_key() {
            match operators.client_limits(entry) {
                Ok(Some(limits)) => self.node.set_client_limits(limits),
                Ok(None) => {}
                Err(finding) => log::error!("[operator] limits not applied: {finding}"),
            }
            match operators.configuration(entry) {
                Ok(configuration) => {
                    self.term.with_engine(|engine| engine.set_configuration(configuration));
                    orders::execute_actions(&self.node, &self.term);
                }
                Err(finding) => log::error!("[operator] configuration not applied: {finding}"),
            }
            return;
        }
        match operators.wave(entry) {
            Ok(Some(wave)) => {
                self.term.with_engine(|engine| engine.wave_listed(wave));
            }
            Ok(None) => {}
            Err(finding) => log::warn!("[operator] key={} ignored: {finding}", entry.key),
        }
    }
}

impl<P> Sink for Operator<P>
where
    P: Platform,
{
    fn reset(&self, entries: Vec<Entry>) {
        // Nothing is placed before the first configuration, so the zones come before it.
        let operators = self.node.platform.operators();
        let zones = entries.iter().filter_map(|entry| operators.evacuated_zone(&entry.key));
        let zones: BTreeSet<id::Zone> = zones.collect();
        let now = self.node.now();
        self.term.with_engine(|engine| engine.set_evacuated_zones(&zones, now));
        orders::execute_actions(&self.node, &self.term);
        for entry in entries {
            self.apply(&entry);
        }
        // Requests that wait for a configuration are answered now.
        self.term.lacks_configuration.set(!self.term.is_serving());
        self.node.changed.notify();
    }

    fn change(&self, change: watch::Change) {
        let key = match change {
            watch::Change::Put(entry) => return self.apply(&entry),
            watch::Change::Delete { key, .. } => key,
        };
        let Some(zone) = self.node.platform.operators().evacuated_zone(&key) else { return };
        let now = self.node.now();
        self.term.with_engine(|engine| engine.return_zone(&zone, now));
        orders::execute_actions(&self.node, &self.term);
    }

    fn confirm(&self, at: Instant) {
        self.term.with_engine(|engine| engine.zones_confirmed(at));
    }
}

/// Applies entries of workers to the engine.
struct Worker<P> {
    node: Rc<Node<P>>,
    term: Rc<Term>,
}

impl<P> Worker<P>
where
    P: Platform,
{
    /// Decodes the entry of a worker. Returns `None` if it is invalid.
    fn decode(&self, entry: &Entry) -> Option<knapweedgap_workload::worker::Listed> {
        match self.node.platform.operators().worker(entry) {
            Ok(listed) => Some(listed),
            Err(finding) => {
                let line = format!("[fleet] key={} ignored: {finding}", entry.key);
                if self.node.limiter.admit("worker_entry", &line, self.node.now()) {
                    log::warn!("{line}");
                }
                None
            }
        }
    }
}

impl<P> Sink for Worker<P>
where
    P: Platform,
{
    fn reset(&self, entries: Vec<Entry>) {
        let listed = entries.iter().filter_map(|entry| self.decode(entry)).collect();
        let now = self.node.now();
        self.term.with_engine(|engine| engine.workers_listed(listed, now));
        orders::execute_actions(&self.node, &self.term);
    }

    fn change(&self, change: watch::Change) {
        let now = self.node.now();
        let listed = match &change {
            watch::Change::Put(entry) => self.decode(entry),
            watch::Change::Delete { .. } => None,
        };
        let id = self.node.platform.operators().worker_of(change.key());
        self.term.with_engine(|engine| match (listed, id) {
            (Some(listed), _) => engine.worker_listed(listed, now),
            (None, Some(id)) => engine.worker_unlisted(&id, now),
            (None, None) => {}
        });
        orders::execute_actions(&self.node, &self.term);
    }

    fn confirm(&self, at: Instant) {
        self.term.with_engine(|engine| engine.list_confirmed(at));
    }
}
