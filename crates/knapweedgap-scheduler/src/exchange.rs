//! Messages between the traffic thread and the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_channel::Sender;
use knapweedgap_workload::api::{Answer, Request};

/// Calls that wait for the control thread. A full queue answers "unavailable" at once.
pub(crate) const CALLS_MAX: usize = 512;

/// Request of a client on its way to the control thread.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: Request,
    /// Time in which the answer is of use.
    pub(crate) timeout: Duration,
    pub(crate) reply: Sender<Answer>,
}

/// What the control thread publishes to the traffic thread.
#[derive(Debug, Clone, Default)]
pub(crate) struct Readiness {
    ready: Arc<AtomicBool>,
}

impl Readiness {
    pub(crate) fn set(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}
