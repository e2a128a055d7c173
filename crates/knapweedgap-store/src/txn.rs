//! Transactions: compares, then writes, all or nothing.

use knapweedgap_core::revision::Revision;

use crate::Key;
use crate::lease;

/// Condition on one key. All compares are for equality; a key that is absent has version 0 and
/// revisions 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key was written this often since it was created.
    Version(Key, u64),
    /// The key was created by this revision.
    Created(Key, Revision),
    /// The key was last written by this revision.
    Modified(Key, Revision),
    /// The key holds this value.
    Value(Key, Vec<u8>),
}

impl Compare {
    /// The key does not exist.
    pub fn absent(key: Key) -> Compare {
        Compare::Version(key, 0)
    }
}

/// Write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a value, under a lease if one is given.
    Put {
        /// Key.
        key: Key,
        /// Value.
        value: Vec<u8>,
        /// Lease that the key ends with.
        lease: Option<lease::Id>,
    },
    /// Deletes one key.
    Delete(Key),
    /// Deletes all keys that start with a prefix.
    DeletePrefix(Key),
}

/// Transaction, built step by step. The service refuses one that writes a key twice, and one that
/// puts a key that it also deletes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    pub(crate) compares: Vec<Compare>,
    pub(crate) writes: Vec<Write>,
}

impl Txn {
    /// Starts an empty transaction.
    pub fn new() -> Txn {
        Txn::default()
    }

    /// Adds a condition.
    pub fn when(mut self, compare: Compare) -> Txn {
        self.compares.push(compare);
        self
    }

    /// Sets a value that stays until it is deleted.
    pub fn put(mut self, key: Key, value: impl Into<Vec<u8>>) -> Txn {
        self.writes.push(Write::Put { key, value: value.into(), lease: None });
        self
    }

    /// Sets a value that is deleted when `lease` ends.
    pub fn put_leased(mut self, key: Key, value: impl Into<Vec<u8>>, lease: lease::Id) -> Txn {
        self.writes.push(Write::Put { key, value: value.into(), lease: Some(lease) });
        self
    }

    /// Deletes one key.
    pub fn delete(mut self, key: Key) -> Txn {
        self.writes.push(Write::Delete(key));
        self
    }

    /// Deletes all keys that start with `prefix`.
    pub fn delete_prefix(mut self, prefix: Key) -> Txn {
        self.writes.push(Write::DeletePrefix(prefix));
        self
    }

    /// Returns the conditions.
    pub fn compares(&self) -> &[Compare] {
        &self.compares
    }

    /// Returns the writes.
    pub fn writes(&self) -> &[Write] {
        &self.writes
    }

    /// Returns the number of writes.
    pub fn write_count(&self) -> usize {
        self.writes.len()
    }
}

/// Answer to a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All compares held; the writes have this revision.
    Succeeded(Revision),
    /// A compare did not hold; nothing was written.
    Failed,
}
