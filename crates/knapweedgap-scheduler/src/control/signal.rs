//! Notification of tasks on the same thread.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// Change counter that tasks can wait on.
#[derive(Debug, Default)]
pub(super) struct Signal {
    count: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Signal {
    /// Returns the number of changes so far.
    pub(super) fn count(&self) -> u64 {
        self.count.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub(super) fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in std::mem::take(&mut *self.wakers.borrow_mut()) {
            waker.wake();
        }
    }

    /// Waits until the count differs from `seen`, at most for `timeout`.
    pub(super) async fn wait(&self, seen: u64, timeout: Duration) {
        let changed = poll_fn(|context| {
            if self.count.get() != seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        });
        let timed_out = async {
            Timer::after(timeout).await;
        };
        changed.or(timed_out).await;
    }
}
