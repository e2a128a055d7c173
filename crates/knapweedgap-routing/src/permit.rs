//! Permission to send one request to one upstream.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use crate::snapshot;

/// Position in the router of the slot that a permit occupies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Key {
    pub(crate) service: usize,
    pub(crate) upstream: usize,
    pub(crate) started: Instant,
    /// Whether the slot was borrowed without a report of free slots.
    pub(crate) unreported: bool,
}

/// Keys of permits that were dropped without completion.
pub(crate) type Dropped = Rc<RefCell<Vec<Key>>>;

/// Permission to send one request to one upstream. It occupies one slot until the attempt is
/// completed.
///
/// If a permit is dropped instead, its router frees the slot at the next call and counts it in
/// [`crate::Stats::permits_dropped`].
#[derive(Debug)]
#[must_use]
pub struct Permit {
    upstream: Rc<snapshot::Upstream>,
    key: Key,
    dropped: Option<Dropped>,
}

impl Permit {
    pub(crate) fn new(upstream: Rc<snapshot::Upstream>, key: Key, dropped: Dropped) -> Permit {
        Permit { upstream, key, dropped: Some(dropped) }
    }

    /// Returns the upstream to which the request may be sent.
    pub fn upstream(&self) -> &snapshot::Upstream {
        &self.upstream
    }

    /// Consumes the permit without counting it as dropped, and returns its key.
    ///
    /// Returns `None` if the permit belongs to another router. The drop then frees the slot in that
    /// router.
    pub(crate) fn into_key(mut self, owner: &Dropped) -> Option<Key> {
        let own = self.dropped.as_ref().is_some_and(|dropped| Rc::ptr_eq(dropped, owner));
        if !own {
            return None;
        }
        self.dropped = None;
        Some(self.key)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(dropped) = self.dropped.take() {
            dropped.borrow_mut().push(self.key);
        }
    }
}
