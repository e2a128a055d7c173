//! Settings: the tree, patches, checks and the history.
//!
//! A patch and a record of the history are [`knapweedgap_settings::Patch`] and
//! [`knapweedgap_settings::Record`], whose JSON form is defined by the settings crate. The body of a
//! check is a whole tree.

use std::fmt;

use knapweedgap_core::revision::Revision;
use knapweedgap_settings::{Change, Findings, Record};
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use crate::error::Body;
use crate::query::{Fields, Writer};

/// The tree in force. It is kept as untyped JSON, so that a tool of an earlier version can show a
/// tree with keys that it does not know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the tree.
    pub revision: Revision,
    /// Canonical JSON form.
    pub tree: Json,
}

/// Response to a patch that is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patched {
    /// Revision in force after the patch.
    pub revision: Revision,
    /// Changes made by the patch; empty if it changed nothing.
    pub changes: Vec<Change>,
}

/// Response to a check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checked {
    /// All faults of the tree; empty if it is valid.
    pub findings: Findings,
    /// Changes from the tree in force to this one; empty if it has faults.
    #[serde(default)]
    pub changes: Vec<Change>,
}

/// The latest changes of the settings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Records of changes, latest first.
    pub records: Vec<Record>,
}

/// Selects the part of the history to read; formatted as a query string.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Range {
    /// Only records with a larger revision.
    pub after: Option<Revision>,
    /// Most records in the response.
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
