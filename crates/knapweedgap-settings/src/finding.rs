//! Faults found in settings, collected and reported together.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Longest part of a rejected value that a finding repeats, in bytes.
pub const SHOWN_LEN: usize = 64;

/// Most findings that are reported together, so that a broken tree does not fill the answer.
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
    /// The JSON type is not the one that the place needs.
    #[display("wrong_type")]
    WrongType,
    /// A string has no unit or one of another kind.
    #[display("wrong_unit")]
    WrongUnit,
    /// The value is outside the key's range.
    #[display("out_of_range")]
    OutOfRange,
    /// No such key.
    #[display("unknown_key")]
    UnknownKey,
    /// A node has a field other than `settings` and `children`.
    #[display("unknown_field")]
    UnknownField,
    /// The key may not be set on this kind of node.
    #[display("wrong_level")]
    WrongLevel,
    /// The name or path of a node is invalid.
    #[display("bad_path")]
    BadPath,
    /// Two values contradict each other.
    #[display("contradiction")]
    Contradiction,
    /// The value cannot change any more.
    #[display("fixed")]
    Fixed,
}

/// One fault, where it is and how to mend it.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display("{place}: {code}: found {found}; {help}")]
pub struct Finding {
    /// Kind of fault.
    pub code: Code,
    /// JSON path.
    pub place: String,
    /// What was found, cut to [`SHOWN_LEN`] bytes.
    pub found: String,
    /// How to mend it.
    pub help: String,
}

impl Finding {
    /// Creates a finding that shows at most [`SHOWN_LEN`] bytes of `found`.
    pub fn new(
        code: Code,
        place: impl Into<String>,
        found: impl fmt::Display,
        help: impl Into<String>,
    ) -> Finding {
        let mut found = found.to_string();
        if found.len() > SHOWN_LEN {
            let mut end = SHOWN_LEN;
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
    /// Returns the findings in the order of the tree.
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Adds a finding, unless [`COUNT_MAX`] are already there.
    pub fn push(&mut self, finding: Finding) {
        if self.list.len() < COUNT_MAX {
            self.list.push(finding);
        }
    }

    /// Tells whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `value` if nothing was found.
    ///
    /// # Errors
    /// The findings, if there are any.
    pub fn or<T>(self, value: T) -> Result<T, Findings> {
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
