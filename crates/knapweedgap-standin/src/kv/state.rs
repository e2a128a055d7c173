//! Content, watches, faults and counts of the key-value stand-in.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_channel::Sender;
use knapweedgap_core::revision::Revision;
use knapweedgap_store::table::Table;
use knapweedgap_store::{Error, Key};
use serde::Serialize;
use serde_json::Value;

use super::fault::{Change, Fault};
use super::feed::Feed;
use super::{Kind, encode};
use crate::signal::Signal;

/// Messages that wait for a slow watch before it is ended.
const FEED_LEN: usize = 256;

/// Interval of progress reports. They also find watches whose client is gone.
const PROGRESS: Duration = Duration::from_secs(1);

/// Counts of one kind of call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Calls.
    pub count: u64,
    /// Bytes of request bodies.
    pub received_bytes: u64,
    /// Bytes of answer bodies.
    pub sent_bytes: u64,
}

/// Counts of all calls. A watch counts as one call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Counts by kind of call.
    pub calls: BTreeMap<&'static str, Count>,
    /// Watches that wait at present.
    pub watching: usize,
    /// Revision of the last write.
    pub revision: Revision,
}

#[derive(Debug)]
struct Watcher {
    prefix: Key,
    next: Revision,
    feed: Sender<Vec<u8>>,
    progress: Instant,
}

#[derive(Debug, Default)]
pub(super) struct State {
    table: Table,
    fault: Fault,
    counts: BTreeMap<&'static str, Count>,
    watchers: Vec<Watcher>,
    changed: Signal,
}

impl State {
    pub(super) fn table(&mut self) -> &mut Table {
        &mut self.table
    }

    pub(super) fn fault(&self) -> &Fault {
        &self.fault
    }

    /// Returns a future that ends when the faults change.
    pub(super) fn changed(&self) -> impl Future<Output = ()> + use<> {
        self.changed.wait()
    }

    pub(super) fn inject(&mut self, change: &Change) -> Fault {
        change.apply(&mut self.fault);
        if self.fault.outage {
            self.watchers.clear();
        }
        self.changed.notify();
        self.push();
        self.fault.clone()
    }

    pub(super) fn stats(&mut self) -> Stats {
        self.watchers.retain(|watcher| !watcher.feed.is_closed());
        Stats {
            calls: self.counts.clone(),
            watching: self.watchers.len(),
            revision: self.table.revision(),
        }
    }

    pub(super) fn count_received(&mut self, kind: Kind, bytes: usize) {
        let count = self.counts.entry(kind.name()).or_default();
        count.count += 1;
        count.received_bytes += bytes as u64;
    }

    pub(super) fn count_sent(&mut self, kind: Kind, bytes: usize) {
        self.counts.entry(kind.name()).or_default().sent_bytes += bytes as u64;
    }

    /// Ends late leases and reports to the watches. Leases last through an outage, as a service
    /// without a leader ends none.
    pub(super) fn tick(&mut self, now: Instant) {
        if !self.fault.outage {
            self.table.expire(now);
        }
        self.push();
    }

    pub(super) fn watch(&mut self, prefix: Key, from: Revision) -> Feed {
        let (feed, messages) = async_channel::bounded(FEED_LEN);
        let revision = self.table.revision();
        let next = if from.get() == 0 { Revision::new(revision.get() + 1) } else { from };
        self.send(&feed, &encode::created(revision));
        self.watchers.push(Watcher { prefix, next, feed, progress: Instant::now() });
        self.push();
        Feed::new(messages)
    }

    /// Sends new changes to the watches; a watch that is full, gone or compacted ends.
    pub(super) fn push(&mut self) {
        if self.fault.stall {
            return;
        }
        let mut watchers = std::mem::take(&mut self.watchers);
        watchers.retain_mut(|watcher| self.push_one(watcher));
        self.watchers = watchers;
    }

    fn push_one(&mut self, watcher: &mut Watcher) -> bool {
        let revision = self.table.revision();
        let changes = match self.table.changes(&watcher.prefix, watcher.next) {
            Ok(changes) => changes,
            Err(Error::Compacted(first)) => {
                self.send(&watcher.feed, &encode::compacted(revision, first));
                return false;
            }
            Err(_) => return false,
        };
        watcher.next = watcher.next.max(Revision::new(revision.get() + 1));
        let report_due = watcher.progress.elapsed() >= PROGRESS;
        if changes.is_empty() && !report_due {
            return !watcher.feed.is_closed();
        }
        watcher.progress = Instant::now();
        self.send(&watcher.feed, &encode::changes(revision, &changes))
    }

    fn send(&mut self, feed: &Sender<Vec<u8>>, message: &Value) -> bool {
        let mut line = message.to_string().into_bytes();
        line.push(b'\n');
        self.count_sent(Kind::Watch, line.len());
        feed.try_send(line).is_ok()
    }
}
