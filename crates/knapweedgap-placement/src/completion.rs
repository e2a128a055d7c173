//! Which attempts completed the tasks of a job.
//!
//! A worker keeps the result of an attempt back until the owner has committed the completion. After
//! the latest end of its lease an attempt counts as lost, so a result that a worker reports later
//! belongs to a task that another attempt completes, and is discarded.

use std::collections::BTreeMap;

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

use crate::task::Outcome;

/// Attempts whose results count. Almost every task completes with its first attempt, so only the
/// other tasks have an entry, and the table of an ordinary job is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table {
    /// Attempt that completed the task, by the index of the task; `None` when none did.
    exceptions: BTreeMap<u32, Option<id::Attempt>>,
}

/// Number of the first attempt of a task.
const FIRST: id::Attempt = id::Attempt::new(1);

impl Table {
    /// Records how a task finished.
    pub(crate) fn record(&mut self, index: u32, attempt: id::Attempt, outcome: &Outcome) {
        let completed = (*outcome == Outcome::Succeeded).then_some(attempt);
        if completed == Some(FIRST) {
            return;
        }
        self.exceptions.insert(index, completed);
    }

    /// Records that no result of a task counts.
    pub(crate) fn discard(&mut self, index: u32) {
        self.exceptions.insert(index, None);
    }

    /// Tells whether the result of an attempt of a finished task counts.
    pub fn accepts(&self, index: u32, attempt: id::Attempt) -> bool {
        let completed = self.exceptions.get(&index).copied().unwrap_or(Some(FIRST));
        completed == Some(attempt)
    }

    /// Tells whether every task completed with its first attempt.
    pub fn is_empty(&self) -> bool {
        self.exceptions.is_empty()
    }
}
