//! Wakes all waiting futures of one thread at once.

use std::future::Future;

use async_channel::{Receiver, Sender};

/// Event that many futures may wait for.
#[derive(Debug)]
pub struct Signal {
    /// Closed and replaced at each event; it carries no message.
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
    /// Ends all futures of [`Signal::wait`] that exist.
    pub fn notify(&mut self) {
        self.sender.close();
        *self = Signal::default();
    }

    /// Returns a future that ends at the next event after this call.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        let receiver = self.receiver.clone();
        async move {
            let _ = receiver.recv().await;
        }
    }
}
