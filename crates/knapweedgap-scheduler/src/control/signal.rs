//! Wakes the tasks of one thread that wait for a change.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;

/// Counter of changes that tasks can wait for.
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

    /// Counts a change and wakes all who wait.
    pub(super) fn notify(&self) {
        self.count.set(self.count.get() + 1);
        for waker in std::mem::take(&mut *self.wakers.borrow_mut()) {
            waker.wake();
        }
    }

    /// Waits for a change after the first `seen`, at most for `time`.
    pub(super) async fn after(&self, seen: u64, time: Duration) {
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
        let late = async {
            Timer::after(time).await;
        };
        changed.or(late).await;
    }
}
