//! Attempts that completed the tasks of a job.
//!
//! A worker withholds the result of an attempt until the owner has committed the completion. After
//! the latest end of its lease an attempt counts as lost and another attempt completes the task, so
//! a result that the worker reports later is discarded.

use std::collections::BTreeMap;

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

use crate::task::Outcome;

/// Attempts whose results are published. Almost every task completes with its first attempt, so
/// only the other tasks have an entry, and the table of most jobs is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table {
    /// Attempt that completed the task, by the index of the task; `None` when none did.
    exceptions: BTreeMap<u32, Option<id::Attempt>>,
}

/// Number of the first attempt of a task.
const FIRST: id::Attempt = id::Attempt::new(1);

impl Table {
    /// Records the outcome of the last attempt of a task.
    pub(crate) fn record(&mut self, index: u32, attempt: id::Attempt, outcome: &Outcome) {
        let completed = (*outcome == Outcome::Succeeded).then_some(attempt);
        if completed == Some(FIRST) {
            return;
        }
        self.exceptions.insert(index, completed);
    }

    /// Records that every result of a task is discarded.
    pub(crate) fn discard(&mut self, index: u32) {
        self.exceptions.insert(index, None);
    }

    /// Returns `true` if this attempt completed the finished task.
    pub fn accepts(&self, index: u32, attempt: id::Attempt) -> bool {
        let completed = self.exceptions.get(&index).copied().unwrap_or(Some(FIRST));
        completed == Some(attempt)
    }

    /// Returns `true` if every task completed with its first attempt.
    pub fn is_empty(&self) -> bool {
        self.exceptions.is_empty()
    }
}
