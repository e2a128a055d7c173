//! Partitions and their owners.

use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};

/// State of one partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the partition.
    pub partition: id::Partition,
    /// Instance that owns the partition; absent while ownership is being transferred.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<id::Instance>,
    /// Ownership epoch; counts the owners so far.
    pub epoch: revision::Epoch,
    /// Number of workers assigned to the partition.
    #[serde(default)]
    pub workers: u32,
    /// Number of tasks that wait for a worker.
    #[serde(default)]
    pub pending_tasks: u32,
    /// Number of tasks on workers.
    #[serde(default)]
    pub running_tasks: u32,
}

/// All partitions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Partitions, ordered by number.
    pub partitions: Vec<Record>,
}
