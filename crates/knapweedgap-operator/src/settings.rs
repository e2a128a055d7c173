//! Settings: the tree, patches, checks and the history.
//!
//! A patch and a record of the history are [`knapweedgap_settings::Patch`] and
//! [`knapweedgap_settings::Record`], whose JSON form belongs to the settings themselves. The body
//! of a check is a whole tree.

use std::fmt;

use knapweedgap_core::revision::Revision;
use knapweedgap_settings::{Change, Findings, Record};
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use crate::error::Body;
use crate::query::{Fields, Writer};

/// The tree in force. It is kept as plain JSON, so that a tool of an earlier version can show a
/// tree with keys that it does not know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the tree.
    pub revision: Revision,
    /// The tree.
    pub tree: Json,
}

/// Answer to a patch that is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patched {
    /// Revision now in force.
    pub revision: Revision,
    /// What the patch changed; empty if it changed nothing.
    pub changes: Vec<Change>,
}

/// Answer to a check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checked {
    /// All faults of the tree; empty if it is valid.
    pub findings: Findings,
    /// What the tree would change; empty if it has faults.
    #[serde(default)]
    pub changes: Vec<Change>,
}

/// The latest changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Records, the latest first.
    pub records: Vec<Record>,
}

/// Which part of the history to read; written as a query string.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Range {
    /// Only records with a larger revision.
    pub after: Option<Revision>,
    /// Most records in the answer.
    pub limit: Option<u32>,
}

impl Range {
    pub(crate) fn parse(query: &str) -> Result<Range, Body> {
        let mut fields = Fields::parse(query)?;
        let range = Range { after: fields.take("after")?, limit: fields.take("limit")? };
        fields.finish("after, limit")?;
        Ok(range)
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut writer = Writer::new(f);
        writer.field("after", &self.after)?;
        writer.field("limit", &self.limit)
    }
}
