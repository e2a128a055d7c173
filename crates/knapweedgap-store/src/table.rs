//! In-memory key-value table with the semantics of etcd, used by the fake and the stand-in.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use knapweedgap_core::revision::Revision;

use crate::error::NOT_FOUND;
use crate::key::{Range, Span};
use crate::txn::Write;
use crate::{
    Change, Compare, Entry, Error, Key, OP_COUNT_MAX, Outcome, Page, Txn, VALUE_LEN_MAX, lease,
};

/// Maximum number of changes kept for watches that start at a past revision. Older changes are
/// compacted.
const HISTORY_LEN: usize = 10_000;

/// Maximum total length of the values in the history, in bytes. Holds at least a few values of the
/// maximum length.
const HISTORY_BYTES: usize = 64 * 1024 * 1024;

/// gRPC code `INVALID_ARGUMENT`.
const INVALID_ARGUMENT: u32 = 3;

/// State of one lease.
#[derive(Debug)]
struct Term {
    ttl: Duration,
    end: Instant,
    keys: BTreeSet<Key>,
}

/// Table of entries with revisions, leases and a bounded history of changes.
#[derive(Debug)]
pub struct Table {
    revision: u64,
    entries: BTreeMap<Key, Entry>,
    leases: BTreeMap<lease::Id, Term>,
    last_lease: i64,
    history: VecDeque<Change>,
    history_bytes: usize,
    /// Highest revision whose changes are no longer in the history.
    compacted: u64,
}

impl Default for Table {
    fn default() -> Table {
        Table {
            revision: 1,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
            history: VecDeque::new(),
            history_bytes: 0,
            compacted: 0,
        }
    }
}

impl Table {
    /// Creates an empty table at revision 1, the initial revision of etcd.
    pub fn new() -> Table {
        Table::default()
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> Revision {
        Revision::new(self.revision)
    }

    /// Reads one key or one page of the keys under a prefix.
    pub fn range(&self, range: &Range) -> Page {
        let (prefix, is_single) = match &range.span {
            Span::Key(key) => (key, true),
            Span::Prefix(prefix) => (prefix, false),
        };
        let mut page = Page { revision: self.revision(), ..Page::default() };
        let start = range.after.as_ref().filter(|after| *after > prefix).unwrap_or(prefix);
        for (key, entry) in self.entries.range(start.clone()..) {
            if !key.is_under(prefix) || is_single && key != prefix {
                break;
            }
            if range.after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if page.entries.len() >= range.limit as usize {
                page.more = true;
                break;
            }
            page.entries.push(entry.clone());
        }
        page
    }

    /// Applies a transaction atomically.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] for too many writes, a value that is too long, a key that is put twice or
    /// put and deleted, or a lease that does not exist. Nothing is applied then.
    pub fn commit(&mut self, txn: &Txn) -> Result<Outcome, Error> {
        self.validate(&txn.writes)?;
        if !txn.compares.iter().all(|compare| self.is_satisfied(compare)) {
            return Ok(Outcome::Failed);
        }
        let revision = self.revision + 1;
        let mut changed = false;
        for write in &txn.writes {
            changed |= self.apply(write, Revision::new(revision));
        }
        if changed {
            self.revision = revision;
        }
        Ok(Outcome::Succeeded(self.revision()))
    }

    fn validate(&self, writes: &[Write]) -> Result<(), Error> {
        if writes.len() > OP_COUNT_MAX {
            let text = "etcdserver: too many operations in txn request";
            return Err(refused(INVALID_ARGUMENT, text));
        }
        let mut keys = BTreeSet::new();
        for write in writes {
            let Write::Put { key, value, lease } = write else { continue };
            if value.len() > VALUE_LEN_MAX {
                return Err(refused(INVALID_ARGUMENT, "etcdserver: request is too large"));
            }
            let deleted = writes.iter().any(|write| deletes(write, key));
            if deleted || !keys.insert(key) {
                let text = "etcdserver: duplicate key given in txn request";
                return Err(refused(INVALID_ARGUMENT, text));
            }
            if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
                return Err(lease_not_found());
            }
        }
        Ok(())
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        let zero = Revision::new(0);
        match compare {
            Compare::Version(key, version) => {
                self.entries.get(key).map_or(0, |entry| entry.version) == *version
            }
            Compare::Created(key, revision) => {
                self.entries.get(key).map_or(zero, |entry| entry.create_revision) == *revision
            }
            Compare::Modified(key, revision) => {
                self.entries.get(key).map_or(zero, |entry| entry.mod_revision) == *revision
            }
            Compare::Value(key, value) => {
                self.entries.get(key).is_some_and(|entry| entry.value == *value)
            }
        }
    }

    /// Returns `true` if the write changed a key.
    fn apply(&mut self, write: &Write, revision: Revision) -> bool {
        match write {
            Write::Put { key, value, lease } => {
                self.put(key, value, *lease, revision);
                true
            }
            Write::Delete(key) => self.delete(key, revision),
            Write::DeletePrefix(prefix) => {
                let keys = self.entries.range(prefix.clone()..).map(|(key, _)| key.clone());
                let keys: Vec<Key> = keys.take_while(|key| key.is_under(prefix)).collect();
                for key in &keys {
                    self.delete(key, revision);
                }
                !keys.is_empty()
            }
        }
    }

    fn put(&mut self, key: &Key, value: &[u8], lease: Option<lease::Id>, revision: Revision) {
        let previous = self.entries.get(key);
        let version = previous.map_or(0, |entry| entry.version) + 1;
        let create_revision = previous.map_or(revision, |entry| entry.create_revision);
        let old_lease = previous.and_then(|entry| entry.lease);
        if let Some(term) = old_lease.and_then(|lease| self.leases.get_mut(&lease)) {
            term.keys.remove(key);
        }
        if let Some(term) = lease.and_then(|lease| self.leases.get_mut(&lease)) {
            term.keys.insert(key.clone());
        }
        let entry = Entry {
            key: key.clone(),
            value: value.to_vec(),
            version,
            create_revision,
            mod_revision: revision,
            lease,
        };
        self.entries.insert(key.clone(), entry.clone());
        self.record(Change::Put(entry));
    }

    fn delete(&mut self, key: &Key, revision: Revision) -> bool {
        let Some(entry) = self.entries.remove(key) else { return false };
        if let Some(term) = entry.lease.and_then(|lease| self.leases.get_mut(&lease)) {
            term.keys.remove(key);
        }
        self.record(Change::Delete { key: key.clone(), revision });
        true
    }

    fn record(&mut self, change: Change) {
        self.history_bytes += value_len(&change);
        self.history.push_back(change);
        while self.history.len() > HISTORY_LEN || self.history_bytes > HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else { break };
            self.history_bytes -= value_len(&oldest);
            self.compacted = oldest.revision().get();
        }
    }

    /// Removes all changes up to the current revision from the history.
    pub fn compact(&mut self) {
        self.history.clear();
        self.history_bytes = 0;
        self.compacted = self.revision;
    }

    /// Returns the changes of the keys under `prefix` from revision `from` on, in order.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] if the history no longer holds the changes since `from`.
    pub fn changes(&self, prefix: &Key, from: Revision) -> Result<Vec<Change>, Error> {
        if from.get() <= self.compacted {
            return Err(Error::Compacted(Revision::new(self.compacted + 1)));
        }
        let start = self.history.partition_point(|change| change.revision() < from);
        let changes = self.history.range(start..);
        Ok(changes.filter(|change| change.key().is_under(prefix)).cloned().collect())
    }

    /// Creates a lease that expires at `now` plus `ttl` unless it is renewed.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> lease::Id {
        loop {
            self.last_lease = self.last_lease.wrapping_add(1);
            let Some(id) = lease::Id::new(self.last_lease) else { continue };
            self.leases.insert(id, Term { ttl, end: now + ttl, keys: BTreeSet::new() });
            return id;
        }
    }

    /// Renews a lease and returns its time to live.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the lease has ended.
    pub fn keep_alive(&mut self, lease: lease::Id, now: Instant) -> Result<Duration, Error> {
        let term = self.leases.get_mut(&lease).ok_or_else(lease_not_found)?;
        term.end = now + term.ttl;
        Ok(term.ttl)
    }

    /// Removes a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] if the lease has already ended.
    pub fn revoke(&mut self, lease: lease::Id) -> Result<(), Error> {
        let term = self.leases.remove(&lease).ok_or_else(lease_not_found)?;
        if term.keys.is_empty() {
            return Ok(());
        }
        let revision = Revision::new(self.revision + 1);
        for key in &term.keys {
            self.delete(key, revision);
        }
        self.revision = revision.get();
        Ok(())
    }

    /// Revokes the leases that have expired at `now`. Returns `true` if a key was deleted.
    pub fn expire(&mut self, now: Instant) -> bool {
        let previous = self.revision;
        let expired = self.leases.iter().filter(|(_, term)| term.end <= now);
        let expired: Vec<lease::Id> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            // The id was just read from the table, so the lease exists.
            let _ = self.revoke(id);
        }
        self.revision != previous
    }
}

/// Returns `true` if `write` deletes `key`. The service rejects a put and a delete of the same key
/// in one transaction.
fn deletes(write: &Write, key: &Key) -> bool {
    match write {
        Write::Put { .. } => false,
        Write::Delete(deleted) => deleted == key,
        Write::DeletePrefix(prefix) => key.is_under(prefix),
    }
}

fn value_len(change: &Change) -> usize {
    match change {
        Change::Put(entry) => entry.value.len(),
        Change::Delete { .. } => 0,
    }
}

fn refused(code: u32, message: &'static str) -> Error {
    Error::Refused { code, message: message.into() }
}

fn lease_not_found() -> Error {
    refused(NOT_FOUND, "etcdserver: requested lease not found")
}
