//! The stored document and the record of each change.

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
    /// Node that sets the value.
    pub path: Path,
    /// Name of the value.
    pub key: Key,
    /// Value before; missing if the node did not set it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Json>,
    /// Value after; missing if the node no longer sets it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Json>,
}

/// The tree with its revision, as it is stored.
///
/// The revision counts the accepted changes. It is part of the document and not the revision of
/// the key-value service, because the history record of a change is written in the same
/// transaction and must be named before that transaction has a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Number of accepted changes.
    pub revision: Revision,
    /// The tree after them.
    pub tree: Tree,
}

/// One accepted change of the tree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Who made it, as the caller named themselves.
    pub author: String,
    /// Wall time in milliseconds since 1970, for people only.
    pub at_ms: u64,
    /// What changed.
    pub changes: Vec<Change>,
}
