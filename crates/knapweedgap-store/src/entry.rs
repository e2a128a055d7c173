//! Entries and the pages that a range call returns.

use knapweedgap_core::revision::Revision;

use crate::Key;
use crate::lease;

/// Key with its value and version data.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Full key, including the prefix under which it was read.
    pub key: Key,
    /// Raw bytes, at most [`VALUE_LEN_MAX`](crate::VALUE_LEN_MAX).
    pub value: Vec<u8>,
    /// Number of writes since the key was created, starting at 1.
    pub version: u64,
    /// Revision that created the key.
    pub create_revision: Revision,
    /// Revision of the last write.
    pub mod_revision: Revision,
    /// Lease whose end deletes the key; `None` for a key without a lease.
    pub lease: Option<lease::Id>,
}

/// Answer of a range call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Revision of the store at which the page was read.
    pub revision: Revision,
    /// Entries in key order.
    pub entries: Vec<Entry>,
    /// Whether the range has more entries after the last one.
    pub more: bool,
}
