//! Self-diagnosis of an instance.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Severity of a finding, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// For information only.
    #[display("note")]
    Note,
    /// Capacity or safety margins are reduced.
    #[display("warning")]
    Warning,
    /// An operator has to act.
    #[display("fault")]
    Fault,
}

/// Condition that an instance found in itself or in its environment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Severity, which orders the report.
    pub severity: Severity,
    /// Short name of the condition, as `store_unreachable`.
    pub code: SmolStr,
    /// Part of the system that the finding concerns.
    pub place: String,
    /// How to correct the condition.
    pub help: String,
}

/// All findings of one instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Findings, most severe first.
    pub findings: Vec<Finding>,
}
