//! Notification of all waiting futures of a thread.

use std::future::Future;

use async_channel::{Receiver, Sender};

/// Repeatable event that any number of futures can wait for.
#[derive(Debug)]
pub struct Signal {
    /// Sender of a channel without messages, which is closed and replaced at each event.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Signal {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }
}

impl Signal {
    /// Completes all existing futures of [`Signal::wait`].
    pub fn notify(&mut self) {
        self.sender.close();
        *self = Signal::default();
    }

    /// Returns a future that completes at the first event after this call.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        let receiver = self.receiver.clone();
        async move {
            let _ = receiver.recv().await;
        }
    }
}
