//! Partitions and their owners.

use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};

/// One partition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number.
    pub partition: id::Partition,
    /// Owner; missing while the partition changes hands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<id::Instance>,
    /// Count of owners so far.
    pub epoch: revision::Epoch,
    /// Workers that belong to it.
    #[serde(default)]
    pub workers: u32,
    /// Tasks that wait for a worker.
    #[serde(default)]
    pub pending_tasks: u32,
    /// Tasks on workers.
    #[serde(default)]
    pub running_tasks: u32,
}

/// All partitions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Partitions by number.
    pub partitions: Vec<Record>,
}
