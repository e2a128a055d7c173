//! Entries and pages of entries.

use knapweedgap_core::revision::Revision;

use crate::Key;
use crate::lease;

/// Key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: Key,
    /// Value.
    pub value: Vec<u8>,
    /// Count of writes since the key was created, starting at 1.
    pub version: u64,
    /// Revision that created the key.
    pub create_revision: Revision,
    /// Revision of the last write.
    pub mod_revision: Revision,
    /// Lease that the key ends with.
    pub lease: Option<lease::Id>,
}

/// Answer of a range call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Revision of the service at which the page was read.
    pub revision: Revision,
    /// Entries in key order.
    pub entries: Vec<Entry>,
    /// Whether more entries lie behind the last one.
    pub more: bool,
}
