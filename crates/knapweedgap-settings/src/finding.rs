//! Faults found in settings, collected to be reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest quotation of a rejected value in a finding, in bytes.
pub const QUOTE_LEN_MAX: usize = 64;

/// Most findings in one report, so that a broken tree does not produce an oversized response.
pub const COUNT_MAX: usize = 100;

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The text is not JSON.
    #[display("syntax")]
    Syntax,
    /// The tree exceeds a limit on its size or number of nodes.
    #[display("too_large")]
    TooLarge,
    /// The value has the wrong JSON type.
    #[display("wrong_type")]
    WrongType,
    /// A string has no unit or a unit of another kind.
    #[display("wrong_unit")]
    WrongUnit,
    /// The value is outside the key's range.
    #[display("out_of_range")]
    OutOfRange,
    /// The schema has no such key.
    #[display("unknown_key")]
    UnknownKey,
    /// A node has a field other than `settings` and `children`.
    #[display("unknown_field")]
    UnknownField,
    /// The key must not be set on this kind of node.
    #[display("wrong_level")]
    WrongLevel,
    /// The name or path of a node is invalid.
    #[display("bad_path")]
    BadPath,
    /// Two values contradict each other.
    #[display("contradiction")]
    Contradiction,
    /// The value can no longer be changed.
    #[display("fixed")]
    Fixed,
}

/// One fault, its position and how to correct it.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display("{place}: {code}: found {found}; {help}")]
pub struct Finding {
    /// Kind of fault.
    pub code: Code,
    /// JSON path of the fault.
    pub place: String,
    /// Rejected input, truncated to [`QUOTE_LEN_MAX`] bytes.
    pub found: String,
    /// How to correct it.
    pub help: String,
}

impl Finding {
    /// Creates a finding that quotes at most [`QUOTE_LEN_MAX`] bytes of `found`.
    pub fn new(
        code: Code,
        place: impl Into<String>,
        found: impl fmt::Display,
        help: impl Into<String>,
    ) -> Finding {
        let mut found = found.to_string();
        if found.len() > QUOTE_LEN_MAX {
            let mut end = QUOTE_LEN_MAX;
            while !found.is_char_boundary(end) {
                end -= 1;
            }
            found.truncate(end);
            found.push_str("...");
        }
        Finding { code, place: place.into(), found, help: help.into() }
    }
}

/// All faults of one check; never empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings {
    list: Vec<Finding>,
}

impl Findings {
    /// Returns the findings in the order in which they were added.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Adds a finding; ignored if there are already [`COUNT_MAX`].
    pub fn push(&mut self, finding: Finding) {
        if self.list.len() < COUNT_MAX {
            self.list.push(finding);
        }
    }

    /// Returns `true` if there are no findings.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    /// Returns the findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl From<Finding> for Findings {
    fn from(finding: Finding) -> Findings {
        Findings { list: vec![finding] }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.list.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
