//! In-memory table with the semantics of the service, for the fake and the stand-in.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use knapweedgap_core::revision::Revision;

use crate::error::NOT_FOUND;
use crate::key::{Range, Span};
use crate::txn::Write;
use crate::{
    Change, Compare, Entry, Error, Key, OP_COUNT_MAX, Outcome, Page, Txn, VALUE_LEN_MAX, lease,
};

/// Changes kept for watches that start in the past. Older ones are compacted away.
const HISTORY_LEN: usize = 10_000;

/// Bytes of values kept in the history; a few values of the largest size must fit.
const HISTORY_BYTES: usize = 64 * 1024 * 1024;

/// Code of a rejected argument (gRPC `INVALID_ARGUMENT`).
const INVALID_ARGUMENT: u32 = 3;

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
    /// Creates an empty table at revision 1, as a new service has.
    pub fn new() -> Table {
        Table::default()
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> Revision {
        Revision::new(self.revision)
    }

    /// Reads a range.
    pub fn range(&self, range: &Range) -> Page {
        let (prefix, whole) = match &range.span {
            Span::Key(key) => (key, true),
            Span::Prefix(prefix) => (prefix, false),
        };
        let mut page = Page { revision: self.revision(), ..Page::default() };
        let start = range.after.as_ref().filter(|after| *after > prefix).unwrap_or(prefix);
        for (key, entry) in self.entries.range(start.clone()..) {
            if !key.is_under(prefix) || whole && key != prefix {
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

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] for a value that is too long, a key that is written twice or a lease that
    /// does not exist. Nothing is applied then.
    pub fn commit(&mut self, txn: &Txn) -> Result<Outcome, Error> {
        self.check(&txn.writes)?;
        if !txn.compares.iter().all(|compare| self.holds(compare)) {
            return Ok(Outcome::Failed);
        }
        let revision = self.revision + 1;
        let mut changed = false;
        for write in &txn.writes {
            changed |= self.write(write, Revision::new(revision));
        }
        if changed {
            self.revision = revision;
        }
        Ok(Outcome::Succeeded(self.revision()))
    }

    fn check(&self, writes: &[Write]) -> Result<(), Error> {
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

    fn holds(&self, compare: &Compare) -> bool {
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

    fn write(&mut self, write: &Write, revision: Revision) -> bool {
        match write {
            Write::Put { key, value, lease } => {
                self.put(key, value, *lease, revision);
                true
            }
            Write::Delete(key) => self.delete(key, revision),
            Write::DeletePrefix(prefix) => {
                let under = self.entries.range(prefix.clone()..).map(|(key, _)| key.clone());
                let keys: Vec<Key> = under.take_while(|key| key.is_under(prefix)).collect();
                for key in &keys {
                    self.delete(key, revision);
                }
                !keys.is_empty()
            }
        }
    }

    fn put(&mut self, key: &Key, value: &[u8], lease: Option<lease::Id>, revision: Revision) {
        let before = self.entries.get(key);
        let version = before.map_or(0, |entry| entry.version) + 1;
        let create_revision = before.map_or(revision, |entry| entry.create_revision);
        let old_lease = before.and_then(|entry| entry.lease);
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
        self.remember(Change::Put(entry));
    }

    fn delete(&mut self, key: &Key, revision: Revision) -> bool {
        let Some(entry) = self.entries.remove(key) else { return false };
        if let Some(term) = entry.lease.and_then(|lease| self.leases.get_mut(&lease)) {
            term.keys.remove(key);
        }
        self.remember(Change::Delete { key: key.clone(), revision });
        true
    }

    fn remember(&mut self, change: Change) {
        self.history_bytes += weight(&change);
        self.history.push_back(change);
        while self.history.len() > HISTORY_LEN || self.history_bytes > HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else { break };
            self.history_bytes -= weight(&oldest);
            self.compacted = oldest.revision().get();
        }
    }

    /// Forgets all changes up to the present revision.
    pub fn compact(&mut self) {
        self.history.clear();
        self.history_bytes = 0;
        self.compacted = self.revision;
    }

    /// Returns the changes of the keys under `prefix` from revision `from` on.
    ///
    /// # Errors
    ///
    /// [`Error::Compacted`] when the history no longer reaches back to `from`.
    pub fn changes(&self, prefix: &Key, from: Revision) -> Result<Vec<Change>, Error> {
        if from.get() <= self.compacted {
            return Err(Error::Compacted(Revision::new(self.compacted + 1)));
        }
        let start = self.history.partition_point(|change| change.revision() < from);
        let later = self.history.range(start..);
        Ok(later.filter(|change| change.key().is_under(prefix)).cloned().collect())
    }

    /// Creates a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> lease::Id {
        loop {
            self.last_lease = self.last_lease.wrapping_add(1);
            let Some(id) = lease::Id::new(self.last_lease) else { continue };
            self.leases.insert(id, Term { ttl, end: now + ttl, keys: BTreeSet::new() });
            return id;
        }
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the lease has ended.
    pub fn keep_alive(&mut self, lease: lease::Id, now: Instant) -> Result<Duration, Error> {
        let term = self.leases.get_mut(&lease).ok_or_else(lease_not_found)?;
        term.end = now + term.ttl;
        Ok(term.ttl)
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] when the lease has already ended.
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

    /// Ends the leases that were not renewed in time and tells whether a key was deleted.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.revision;
        let late = self.leases.iter().filter(|(_, term)| term.end <= now);
        let late: Vec<lease::Id> = late.map(|(id, _)| *id).collect();
        for id in late {
            // The id was just read from the table, so the lease exists.
            let _ = self.revoke(id);
        }
        self.revision != before
    }
}

/// Tells whether `write` deletes `key`. The service rejects a put and a delete of one key in one
/// transaction.
fn deletes(write: &Write, key: &Key) -> bool {
    match write {
        Write::Put { .. } => false,
        Write::Delete(deleted) => deleted == key,
        Write::DeletePrefix(prefix) => key.is_under(prefix),
    }
}

fn weight(change: &Change) -> usize {
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
