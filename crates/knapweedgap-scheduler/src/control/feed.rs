//! What operators and workers write to the store, as the owner follows it.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use knapweedgap_core::revision;
use knapweedgap_store::{Entry, Error, Key, Store, watch};

use super::term::{self, Term};
use super::{Node, orders};
use crate::peer::{Operators, Platform};

/// Pause after a failed call to the store.
const RETRY: Duration = Duration::from_millis(200);
/// Pause between two questions for changes of workers. Each worker writes every second, so that
/// without it one call would be made for each write.
const WORKER_PAUSE: Duration = Duration::from_millis(250);

/// Receiver of the entries under a prefix.
pub(super) trait Sink {
    /// Takes in all entries.
    fn reset(&self, entries: Vec<Entry>);
    /// Takes in one change.
    fn change(&self, change: watch::Change);
}

/// Follows the configuration and the waves of maintenance.
pub(super) async fn operators<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    let prefix = node.platform.operators().operator_prefix();
    let sink = Operator { node: node.clone(), term };
    follow(&node, &prefix, Duration::ZERO, &sink).await;
}

/// Follows the entries of workers.
pub(super) async fn workers<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    let prefix = node.platform.operators().worker_prefix();
    let sink = Worker { node: node.clone(), term };
    follow(&node, &prefix, WORKER_PAUSE, &sink).await;
}

/// Reads all entries, then their changes; reads all again when the store has dropped changes.
pub(super) async fn follow<P, S>(node: &Rc<Node<P>>, prefix: &Key, pause: Duration, sink: &S)
where
    P: Platform,
    S: Sink,
{
    loop {
        let listing = term::read_all(node, prefix).await;
        sink.reset(listing.entries);
        let mut from = revision::Revision::new(listing.revision.get() + 1);
        while let Some(next) = follow_from(node, prefix, from, pause, sink).await {
            from = next;
            Timer::after(RETRY).await;
        }
        log::info!("[store] prefix={prefix} history dropped, reading all entries");
    }
}

/// Follows the changes until the watch is cut; returns where to go on, or nothing when the
/// history is gone.
async fn follow_from<P, S>(
    node: &Rc<Node<P>>,
    prefix: &Key,
    from: revision::Revision,
    pause: Duration,
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
        match watch.next().await {
            Ok(changes) => {
                for change in changes {
                    sink.change(change);
                }
            }
            Err(Error::Compacted(_)) => return None,
            Err(error) => {
                if node.limiter.admit("watch_cut", node.now()) {
                    log::info!("[store] prefix={prefix} watch cut: {error}");
                }
                return Some(watch.resume());
            }
        }
        if !pause.is_zero() {
            Timer::after(pause).await;
        }
    }
}

struct Operator<P> {
    node: Rc<Node<P>>,
    term: Rc<Term>,
}

impl<P> Operator<P>
where
    P: Platform,
{
    fn take(&self, entry: &Entry) {
        let operators = self.node.platform.operators();
        if entry.key == operators.configuration_key() {
            match operators.configuration(entry) {
                Ok(configuration) => {
                    self.term.with_engine(|engine| engine.set_configuration(configuration));
                    orders::carry_out(&self.node, &self.term);
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
            Err(finding) => log::warn!("[operator] key={} not used: {finding}", entry.key),
        }
    }
}

impl<P> Sink for Operator<P>
where
    P: Platform,
{
    fn reset(&self, entries: Vec<Entry>) {
        for entry in entries {
            self.take(&entry);
        }
    }

    fn change(&self, change: watch::Change) {
        if let watch::Change::Put(entry) = change {
            self.take(&entry);
        }
    }
}

struct Worker<P> {
    node: Rc<Node<P>>,
    term: Rc<Term>,
}

impl<P> Worker<P>
where
    P: Platform,
{
    fn decode(&self, entry: &Entry) -> Option<knapweedgap_workload::worker::Listed> {
        match self.node.platform.operators().worker(entry) {
            Ok(listed) => Some(listed),
            Err(finding) => {
                if self.node.limiter.admit("worker_entry", self.node.now()) {
                    log::warn!("[fleet] key={} not used: {finding}", entry.key);
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
        orders::carry_out(&self.node, &self.term);
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
        orders::carry_out(&self.node, &self.term);
    }
}
