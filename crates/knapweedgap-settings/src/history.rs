//! The stored document and the records of its changes.

use knapweedgap_core::revision::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use crate::path::Path;
use crate::schema::Key;
use crate::tree::Tree;

/// One value that differs between two trees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Node on which the value is set.
    pub path: Path,
    /// Key of the value.
    pub key: Key,
    /// Previous value; absent if the node did not set it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Json>,
    /// New value; absent if the node no longer sets it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Json>,
}

/// The tree with its revision, as stored in the key-value service.
///
/// The revision counts the accepted changes. It is part of the document instead of being taken from
/// the key-value service, because the key of a history record contains it and the record is written
/// in the same transaction, before that transaction has a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Number of accepted changes.
    pub revision: Revision,
    /// The tree after these changes.
    pub tree: Tree,
}

/// One accepted change of the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Author, as stated by the caller; may be empty.
    pub author: String,
    /// Wall-clock time in milliseconds since 1970; for display only.
    pub at_ms: u64,
    /// Changed values, ordered by path and key.
    pub changes: Vec<Change>,
}
