//! Transactions: writes that are applied atomically if a set of compares holds.

use knapweedgap_core::revision::Revision;

use crate::Key;
use crate::lease;

/// Condition on one key. All compares test for equality; an absent key has version 0 and
/// revisions 0.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key has been written this many times since it was created.
    Version(Key, u64),
    /// The key was created by this revision.
    Created(Key, Revision),
    /// The key was last written by this revision.
    Modified(Key, Revision),
    /// The key holds this value.
    Value(Key, Vec<u8>),
}

impl Compare {
    /// Creates a condition that `key` does not exist.
    pub fn absent(key: Key) -> Compare {
        Compare::Version(key, 0)
    }
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets the value of a key.
    Put {
        /// Key that is created or overwritten.
        key: Key,
        /// Raw bytes, at most [`VALUE_LEN_MAX`](crate::VALUE_LEN_MAX).
        value: Vec<u8>,
        /// Lease whose end deletes the key; `None` for a key that stays until it is deleted.
        lease: Option<lease::Id>,
    },
    /// Deletes one key.
    Delete(Key),
    /// Deletes all keys that start with a prefix.
    DeletePrefix(Key),
}

/// Transaction builder. The service refuses a transaction that puts a key twice, or that puts a
/// key that it also deletes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    pub(crate) compares: Vec<Compare>,
    pub(crate) writes: Vec<Write>,
}

impl Txn {
    /// Creates an empty transaction.
    pub fn new() -> Txn {
        Txn::default()
    }

    /// Adds a condition; all conditions must hold for the writes to be applied.
    pub fn when(mut self, compare: Compare) -> Txn {
        self.compares.push(compare);
        self
    }

    /// Adds a put without a lease.
    pub fn put(mut self, key: Key, value: impl Into<Vec<u8>>) -> Txn {
        self.writes.push(Write::Put { key, value: value.into(), lease: None });
        self
    }

    /// Adds a put of a key that is deleted when `lease` ends.
    pub fn put_leased(mut self, key: Key, value: impl Into<Vec<u8>>, lease: lease::Id) -> Txn {
        self.writes.push(Write::Put { key, value: value.into(), lease: Some(lease) });
        self
    }

    /// Adds the deletion of one key; no effect if the key is absent.
    pub fn delete(mut self, key: Key) -> Txn {
        self.writes.push(Write::Delete(key));
        self
    }

    /// Adds the deletion of all keys that start with `prefix`.
    pub fn delete_prefix(mut self, prefix: Key) -> Txn {
        self.writes.push(Write::DeletePrefix(prefix));
        self
    }

    /// Returns the conditions in the order they were added.
    pub fn compares(&self) -> &[Compare] {
        &self.compares
    }

    /// Returns the writes in the order they were added.
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
    /// All compares held; the writes were applied at this revision.
    Succeeded(Revision),
    /// At least one compare did not hold; nothing was written.
    Failed,
}
