//! Wake-up signal for one waiting task.

use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;

/// Signal with one waiter. Signals sent before the waiter receives them are merged into one.
#[derive(Debug)]
pub(crate) struct Notify {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Notify {
    pub(crate) fn new() -> Notify {
        let (sender, receiver) = async_channel::bounded(1);
        Notify { sender, receiver }
    }

    /// Wakes the waiter.
    pub(crate) fn notify(&self) {
        // A full channel means that a signal is already pending.
        let _ = self.sender.try_send(());
    }

    /// Waits for a signal, at most until `deadline`; without a deadline, indefinitely.
    pub(crate) async fn wait_until(&self, deadline: Option<Instant>) {
        let signal = async {
            let _ = self.receiver.recv().await;
        };
        let timeout = async {
            match deadline {
                Some(deadline) => {
                    Timer::at(deadline).await;
                }
                None => std::future::pending().await,
            }
        };
        signal.or(timeout).await;
    }
}
