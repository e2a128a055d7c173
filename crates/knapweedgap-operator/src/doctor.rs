//! Self-examination of an instance.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// For information.
    #[display("note")]
    Note,
    /// Reduces capacity or safety margins.
    #[display("warning")]
    Warning,
    /// Needs an operator.
    #[display("fault")]
    Fault,
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// Short name, as `store_unreachable`.
    pub code: SmolStr,
    /// Part of the system that it concerns.
    pub place: String,
    /// How to mend it.
    pub help: String,
}

/// All findings of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Findings, the most severe first.
    pub findings: Vec<Finding>,
}
