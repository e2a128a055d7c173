//! Messages between the traffic thread and the control thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Sender;
use knapweedgap_workload::api::{Answer, Request};
use knapweedgap_workload::configuration::Limits;

/// Maximum number of calls that wait for the control thread. Further calls are answered as
/// unavailable.
pub(crate) const CALLS_MAX: usize = 512;

/// Client request, passed from the traffic thread to the control thread.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) request: Request,
    /// Time that the client waits for the answer.
    pub(crate) timeout: Duration,
    pub(crate) reply: Sender<Answer>,
}

/// Readiness of this instance, set by the control thread and read by the traffic thread.
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

/// Limits on the requests of clients, published by the control thread and read by the traffic thread
/// without waiting.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClientLimits {
    limits: Arc<ArcSwap<Limits>>,
}

impl ClientLimits {
    /// Publishes limits, unless those of a later or the same configuration are known. Returns whether
    /// it did.
    pub(crate) fn publish(&self, limits: Limits) -> bool {
        let is_newer = limits.version > self.get().version;
        if is_newer {
            self.limits.store(Arc::new(limits));
        }
        is_newer
    }

    pub(crate) fn get(&self) -> Limits {
        **self.limits.load()
    }
}
