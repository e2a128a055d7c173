//! Notification of tasks on the same thread.

use std::cell::Cell;
use std::time::Duration;

use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;

/// Change counter that tasks can wait on. A wait that ends or is dropped leaves nothing behind, so
/// that a signal which is notified seldom may be waited on any number of times.
#[derive(Debug, Default)]
pub struct Signal {
    count: Cell<u64>,
    changed: Event,
}

impl Signal {
    /// Returns the number of changes so far.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Returns the number of waiting tasks.
    pub fn waiting(&self) -> usize {
        self.changed.total_listeners()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.count.set(self.count.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the count differs from `seen`, at most for `timeout`.
    pub async fn wait(&self, seen: u64, timeout: Duration) {
        let changed = async {
            while self.count.get() == seen {
                self.changed.listen().await;
            }
        };
        let timed_out = async {
            Timer::after(timeout).await;
        };
        changed.or(timed_out).await;
    }
}
