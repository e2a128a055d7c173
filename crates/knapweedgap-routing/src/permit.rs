//! Permission to send one request to one upstream.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use crate::snapshot;

/// Position of the counted slot in the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Key {
    pub(crate) service: usize,
    pub(crate) upstream: usize,
    pub(crate) started: Instant,
    /// The slot was borrowed without a report of free slots.
    pub(crate) unreported: bool,
}

/// Permits that were dropped without completion.
pub(crate) type Lost = Rc<RefCell<Vec<Key>>>;

/// Permission to send one request to one upstream; it occupies one slot until it is given back.
///
/// A permit that is dropped goes back to its router, which frees the slot at its next call and
/// counts the loss in [`crate::Stats::permits_dropped`].
#[derive(Debug)]
#[must_use]
pub struct Permit {
    upstream: Rc<snapshot::Upstream>,
    key: Key,
    lost: Option<Lost>,
}

impl Permit {
    pub(crate) fn new(upstream: Rc<snapshot::Upstream>, key: Key, lost: Lost) -> Permit {
        Permit { upstream, key, lost: Some(lost) }
    }

    /// Returns the upstream to send to.
    pub fn upstream(&self) -> &snapshot::Upstream {
        &self.upstream
    }

    /// Takes the permit apart without counting it as dropped.
    ///
    /// Returns `None` if the permit belongs to another router; dropping it then returns the slot
    /// there.
    pub(crate) fn finish(mut self, owner: &Lost) -> Option<Key> {
        let own = self.lost.as_ref().is_some_and(|lost| Rc::ptr_eq(lost, owner));
        if !own {
            return None;
        }
        self.lost = None;
        Some(self.key)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(lost) = self.lost.take() {
            lost.borrow_mut().push(self.key);
        }
    }
}
