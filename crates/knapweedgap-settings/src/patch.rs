//! Patches from operators, and their merge with concurrent changes.

use std::collections::BTreeSet;

use knapweedgap_core::revision::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value as Json;

use crate::finding::{Code, Finding, Findings};
use crate::history::{Change, Document, Record};
use crate::path::Path;
use crate::schema::Key;
use crate::tree::{Draft, Tree, parse_key};
use crate::value::Value;

/// Longest name of an author, in bytes.
pub const AUTHOR_LEN_MAX: usize = 128;

/// Most operations in one patch.
pub const OPERATIONS_MAX: usize = 10_000;

/// One operation of a patch. Path and key are unparsed text, so that all faults of a patch can be
/// reported together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case", deny_unknown_fields)]
pub enum Operation {
    /// Sets a value on a node.
    Set {
        /// Node.
        path: String,
        /// Name of the value.
        key: String,
        /// JSON form of the value.
        value: Json,
    },
    /// Removes a value from a node, so that it is inherited again.
    Unset {
        /// Node.
        path: String,
        /// Name of the value.
        key: String,
    },
}

/// Operations that are applied atomically, based on a revision that the author has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Revision that the author has seen.
    pub base: Revision,
    /// Name of the author, for the history; may be empty.
    #[serde(default)]
    pub author: String,
    /// Operations, in the order in which they are applied.
    pub operations: Vec<Operation>,
}

/// Builder of a [`Patch`].
#[derive(Debug, Clone)]
pub struct Builder {
    patch: Patch,
}

impl Builder {
    /// Sets the author's name, for the history.
    #[must_use]
    pub fn author(mut self, author: impl Into<String>) -> Builder {
        self.patch.author = author.into();
        self
    }

    /// Adds an operation that sets a value on a node.
    #[must_use]
    pub fn set(mut self, path: &Path, key: Key, value: impl Into<Json>) -> Builder {
        let operation =
            Operation::Set { path: path.to_string(), key: key.to_string(), value: value.into() };
        self.patch.operations.push(operation);
        self
    }

    /// Adds an operation that removes a value from a node.
    #[must_use]
    pub fn unset(mut self, path: &Path, key: Key) -> Builder {
        let operation = Operation::Unset { path: path.to_string(), key: key.to_string() };
        self.patch.operations.push(operation);
        self
    }

    /// Returns the patch.
    pub fn build(self) -> Patch {
        self.patch
    }
}

/// Changes after the base revision that prevent a patch from being merged.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display("settings changed from revision {base} to {current}")]
#[serde(deny_unknown_fields)]
pub struct Conflict {
    /// Revision that the patch is based on.
    pub base: Revision,
    /// Revision now in force.
    pub current: Revision,
    /// Changes since the base that the patch would overwrite. May be empty if the history does not
    /// reach back to the base, or if the base is newer than the current revision.
    pub overlapping: Vec<Change>,
    /// All changes since the base, as far back as the history reaches.
    pub changed: Vec<Change>,
}

/// Why a patch was not applied.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The patch or the resulting tree is invalid.
    #[display("{_0}")]
    Invalid(#[error(not(source))] Findings),
    /// A concurrent change conflicts with the patch.
    #[display("{_0}")]
    Conflict(#[error(not(source))] Conflict),
}

/// Result of a merge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// Document to store, with the next revision if anything changed.
    pub document: Document,
    /// Differences from the current document; empty if the patch changes nothing.
    pub changes: Vec<Change>,
}

impl Patch {
    /// Creates a builder of a patch that is based on a revision.
    pub fn builder(base: Revision) -> Builder {
        Builder { patch: Patch { base, author: String::new(), operations: Vec::new() } }
    }

    /// Applies the operations to the current document.
    ///
    /// A patch whose base is older than the current revision still applies if none of the values
    /// that it sets or removes has changed since the base. `history` holds the latest records in
    /// any order.
    ///
    /// # Errors
    /// [`Error::Invalid`] with the faults of the patch or of the new tree, or [`Error::Conflict`]
    /// with the concurrent changes.
    pub fn merge(&self, current: &Document, history: &[Record]) -> Result<Merged, Error> {
        let mut findings = Findings::default();
        let steps = self.steps(&mut findings);
        if !findings.is_empty() {
            return Err(Error::Invalid(findings));
        }
        self.check_base(&steps, current, history).map_err(Error::Conflict)?;
        let mut draft = Draft::new(current.tree.clone());
        for step in &steps {
            match step.value {
                Some(value) => {
                    let place = format!("$.operations[{}].value", step.index);
                    draft.put(&step.path, step.key, value, &place);
                }
                None => draft.remove(&step.path, step.key),
            }
        }
        let tree = draft.finish().map_err(Error::Invalid)?;
        check_fixed(current, &tree).map_err(Error::Invalid)?;
        let changes = current.tree.diff(&tree);
        let mut revision = current.revision;
        if !changes.is_empty() {
            revision = Revision::new(revision.get() + 1);
        }
        Ok(Merged { document: Document { revision, tree }, changes })
    }

    fn check_base(
        &self,
        steps: &[Step<'_>],
        current: &Document,
        history: &[Record],
    ) -> Result<(), Conflict> {
        if self.base == current.revision {
            return Ok(());
        }
        let mut records: Vec<&Record> = history
            .iter()
            .filter(|record| record.revision > self.base && record.revision <= current.revision)
            .collect();
        records.sort_by_key(|record| record.revision);
        records.dedup_by_key(|record| record.revision);
        let expected = current.revision.get().checked_sub(self.base.get());
        let complete = expected == u64::try_from(records.len()).ok();
        let changed: Vec<Change> =
            records.iter().flat_map(|record| record.changes.iter().cloned()).collect();
        let targets: BTreeSet<(&Path, Key)> =
            steps.iter().map(|step| (&step.path, step.key)).collect();
        let overlapping: Vec<Change> = changed
            .iter()
            .filter(|change| targets.contains(&(&change.path, change.key)))
            .cloned()
            .collect();
        if complete && overlapping.is_empty() {
            return Ok(());
        }
        Err(Conflict { base: self.base, current: current.revision, overlapping, changed })
    }

    /// Parses the paths and keys of all operations; faults are added to `findings`.
    fn steps(&self, findings: &mut Findings) -> Vec<Step<'_>> {
        if self.author.len() > AUTHOR_LEN_MAX {
            let help = format!("use an author's name of at most {AUTHOR_LEN_MAX} bytes");
            findings.push(Finding::new(Code::OutOfRange, "$.author", &self.author, help));
        }
        if self.operations.len() > OPERATIONS_MAX {
            let help =
                format!("split the patch into patches of at most {OPERATIONS_MAX} operations");
            let found = self.operations.len();
            findings.push(Finding::new(Code::TooLarge, "$.operations", found, help));
            return Vec::new();
        }
        let mut steps = Vec::with_capacity(self.operations.len());
        for (index, operation) in self.operations.iter().enumerate() {
            let (path, key, value) = match operation {
                Operation::Set { path, key, value } => (path, key, Some(value)),
                Operation::Unset { path, key } => (path, key, None),
            };
            let parsed_path = path.parse::<Path>();
            if let Err(error) = &parsed_path {
                let place = format!("$.operations[{index}].path");
                findings.push(Finding::new(Code::BadPath, place, path, error.help));
            }
            let parsed_key = parse_key(key);
            if let Err(help) = &parsed_key {
                let place = format!("$.operations[{index}].key");
                findings.push(Finding::new(Code::UnknownKey, place, key, help.as_str()));
            }
            if let (Ok(path), Ok(key)) = (parsed_path, parsed_key) {
                steps.push(Step { index, path, key, value });
            }
        }
        steps
    }
}

/// Rejects a change of the number of partitions after the first revision, because there may be jobs
/// from then on.
fn check_fixed(current: &Document, tree: &Tree) -> Result<(), Findings> {
    let root = Path::root();
    let before = current.tree.effective(&root, Key::Partitions).value;
    let after = tree.effective(&root, Key::Partitions).value;
    if current.revision == Revision::default() || before == after {
        return Ok(());
    }
    let shown = |value: Option<Value>| value.map_or("unset".to_owned(), |value| value.to_string());
    let found = format!("{} instead of {}", shown(after), shown(before));
    let help =
        "do not change partitions; it can be set only by the first change of an installation";
    Err(Finding::new(Code::Fixed, "$.settings.partitions", found, help).into())
}

struct Step<'a> {
    index: usize,
    path: Path,
    key: Key,
    value: Option<&'a Json>,
}
