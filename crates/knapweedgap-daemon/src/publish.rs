//! Publication of immutable views by the control thread to the traffic threads.

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use knapweedgap_core::id;
use knapweedgap_routing::Snapshot;
use knapweedgap_settings::effective;

/// Immutable view of the control state used by traffic threads.
#[derive(Debug)]
pub(crate) struct View {
    /// Snapshot for the routers.
    pub(crate) routing: Arc<Snapshot>,
    /// Settings of each service.
    pub(crate) services: BTreeMap<id::Service, effective::Service>,
    /// Whether the settings are known and the instance is serving. Until then no request is served,
    /// because the defaults may differ from the stored settings.
    pub(crate) ready: bool,
    /// Whether the instance is shutting down.
    pub(crate) draining: bool,
}

/// Publisher of views, owned by the control thread.
#[derive(Debug)]
pub(crate) struct Publisher {
    current: Arc<ArcSwap<View>>,
    changed: Vec<Sender<()>>,
}

/// Reader of the current view, owned by one traffic thread.
#[derive(Debug)]
pub(crate) struct Reader {
    current: Arc<ArcSwap<View>>,
    changed: Receiver<()>,
}

impl Publisher {
    /// Creates the publisher and one reader for each traffic thread.
    pub(crate) fn new(view: View, threads: u32) -> (Publisher, Vec<Reader>) {
        let current = Arc::new(ArcSwap::from_pointee(view));
        let mut changed = Vec::new();
        let mut readers = Vec::new();
        for _ in 0..threads {
            let (sender, receiver) = async_channel::bounded(1);
            changed.push(sender);
            readers.push(Reader { current: current.clone(), changed: receiver });
        }
        (Publisher { current, changed }, readers)
    }

    /// Replaces the view and wakes the traffic threads.
    pub(crate) fn publish(&self, view: View) {
        self.current.store(Arc::new(view));
        for changed in &self.changed {
            // A full channel means that an earlier signal has not been received yet.
            let _ = changed.try_send(());
        }
    }
}

impl Reader {
    /// Returns the current view without blocking.
    pub(crate) fn view(&self) -> Arc<View> {
        self.current.load_full()
    }

    /// Waits for the next published view. Never returns once the publisher was dropped.
    pub(crate) async fn changed(&self) {
        if self.changed.recv().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
