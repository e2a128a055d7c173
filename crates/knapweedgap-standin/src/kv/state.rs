//! Content, watches, faults and call counts of the key-value stand-in.

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

/// Messages queued for a watch; a watch whose queue is full is ended.
const FEED_CAPACITY: usize = 256;

/// Interval of progress reports. They also detect watches whose client has disconnected.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Counts for one kind of call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Count {
    /// Number of calls received.
    pub count: u64,
    /// Bytes received in request bodies.
    pub received_bytes: u64,
    /// Bytes sent in answer bodies, including the messages of watches.
    pub sent_bytes: u64,
}

/// Counts of all calls. A watch counts as one call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Counts by kind of call.
    pub calls: BTreeMap<&'static str, Count>,
    /// Number of open watches.
    pub watching: usize,
    /// Current revision of the content.
    pub revision: Revision,
}

#[derive(Debug)]
struct Watcher {
    prefix: Key,
    next: Revision,
    sender: Sender<Vec<u8>>,
    reported_at: Instant,
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

    /// Returns a future that completes when the faults change.
    pub(super) fn changed(&self) -> impl Future<Output = ()> + use<> {
        self.changed.wait()
    }

    pub(super) fn inject(&mut self, change: &Change) -> Fault {
        change.apply(&mut self.fault);
        if self.fault.outage {
            self.watchers.clear();
        }
        self.changed.notify();
        self.send_changes();
        self.fault.clone()
    }

    pub(super) fn stats(&mut self) -> Stats {
        self.watchers.retain(|watcher| !watcher.sender.is_closed());
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

    /// Expires leases and sends due messages to the watches. No lease expires during an outage,
    /// because etcd expires none without a leader.
    pub(super) fn tick(&mut self, now: Instant) {
        if !self.fault.outage {
            self.table.expire(now);
        }
        self.send_changes();
    }

    pub(super) fn watch(&mut self, prefix: Key, from: Revision) -> Feed {
        let (sender, messages) = async_channel::bounded(FEED_CAPACITY);
        let revision = self.table.revision();
        let next = if from.get() == 0 { Revision::new(revision.get() + 1) } else { from };
        self.send(&sender, &encode::created(revision));
        self.watchers.push(Watcher { prefix, next, sender, reported_at: Instant::now() });
        self.send_changes();
        Feed::new(messages)
    }

    /// Sends new changes and due progress reports to the watches. Ends a watch whose queue is full,
    /// whose client has disconnected or whose next revision is compacted.
    pub(super) fn send_changes(&mut self) {
        if self.fault.stall {
            return;
        }
        let mut watchers = std::mem::take(&mut self.watchers);
        watchers.retain_mut(|watcher| self.send_changes_to(watcher));
        self.watchers = watchers;
    }

    fn send_changes_to(&mut self, watcher: &mut Watcher) -> bool {
        let revision = self.table.revision();
        let changes = match self.table.changes(&watcher.prefix, watcher.next) {
            Ok(changes) => changes,
            Err(Error::Compacted(first)) => {
                self.send(&watcher.sender, &encode::compacted(revision, first));
                return false;
            }
            Err(_) => return false,
        };
        watcher.next = watcher.next.max(Revision::new(revision.get() + 1));
        let report_due = watcher.reported_at.elapsed() >= PROGRESS_INTERVAL;
        if changes.is_empty() && !report_due {
            return !watcher.sender.is_closed();
        }
        watcher.reported_at = Instant::now();
        self.send(&watcher.sender, &encode::changes(revision, &changes))
    }

    fn send(&mut self, sender: &Sender<Vec<u8>>, message: &Value) -> bool {
        let mut line = message.to_string().into_bytes();
        line.push(b'\n');
        self.count_sent(Kind::Watch, line.len());
        sender.try_send(line).is_ok()
    }
}
