//! Order of the steps that a placement pass does not reach by their urgency.

use std::collections::BTreeSet;

use crate::task;

/// Round in which each waiting step is tried once. A step that joins during a round is tried in the
/// next one, so no flow of new steps keeps an old one from its turn.
#[derive(Debug, Default)]
pub(super) struct Rotation {
    /// Steps of the round that have not been tried.
    pending: BTreeSet<task::Step>,
    /// The fleet or the steps have changed since the round began, so another round follows.
    is_repeated: bool,
}

impl Rotation {
    /// Returns `true` if steps of the current round wait for their turn.
    pub(super) fn is_open(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns `true` if a step waits for its turn.
    pub(super) fn contains(&self, step: task::Step) -> bool {
        self.pending.contains(&step)
    }

    /// Returns the number of steps that wait for their turn.
    pub(super) fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Prepares a pass, with the steps that it has not tried by their urgency.
    pub(super) fn begin_pass(&mut self, untried: &[task::Step], is_changed: bool) {
        if !is_changed {
            return;
        }
        if self.pending.is_empty() {
            self.pending.extend(untried);
            return;
        }
        self.is_repeated = true;
        let untried: BTreeSet<task::Step> = untried.iter().copied().collect();
        self.pending.retain(|step| untried.contains(step));
    }

    /// Returns `true` if it is the turn of a step, and ends its turn.
    pub(super) fn take(&mut self, step: task::Step) -> bool {
        self.pending.remove(&step)
    }

    /// Returns `true` if the round has ended and another one must follow.
    pub(super) fn end_pass(&mut self) -> bool {
        self.pending.is_empty() && std::mem::take(&mut self.is_repeated)
    }
}
