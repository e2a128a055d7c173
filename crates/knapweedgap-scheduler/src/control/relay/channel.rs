//! Orders to one relay: batches, calls that wait for their outcome, and the life cycle.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::{id, revision};
use knapweedgap_instance::relay::{self, Kind};
use knapweedgap_instance::sender::Sender;
use knapweedgap_instance::wire::{Body, Call};
use knapweedgap_membership::share::Capacity;

use super::message::Draft;

/// Time for which orders to one relay are collected into one message.
pub(super) const BATCH_DELAY: Duration = Duration::from_millis(4);
/// Largest number of orders or outcomes in one message.
pub(super) const BATCH_MAX: usize = 256;

/// Relay that takes orders.
pub(super) struct Serving {
    pub(super) channel: Rc<Channel>,
    pub(super) zone: id::Zone,
    pub(super) capacity: Capacity,
}

/// Relay that shuts down: it takes no new orders but still sends outcomes.
pub(super) struct Leaving {
    pub(super) channel: Rc<Channel>,
}

impl Serving {
    pub(super) fn leave(self) -> Leaving {
        Leaving { channel: self.channel }
    }
}

/// Connection to a relay. Calls that wait for an outcome end when the channel is closed.
pub(super) struct Channel {
    pub(super) instance: id::Instance,
    pub(super) sender: Sender,
    epoch: revision::Epoch,
    /// When the last frame of the relay arrived.
    pub(super) last_contact: Cell<Instant>,
    queue: RefCell<Vec<Draft>>,
    waiting: RefCell<HashMap<Call, async_channel::Sender<relay::Result>>>,
    last_call: Cell<u64>,
}

impl Channel {
    pub(super) fn new(
        instance: id::Instance,
        sender: Sender,
        epoch: revision::Epoch,
        now: Instant,
    ) -> Channel {
        Channel {
            instance,
            sender,
            epoch,
            last_contact: Cell::new(now),
            queue: RefCell::default(),
            waiting: RefCell::default(),
            last_call: Cell::new(0),
        }
    }

    /// Queues an order. Returns `true` if the caller has to call [`Channel::flush`] after
    /// [`BATCH_DELAY`].
    pub(super) fn push(&self, draft: Draft) -> bool {
        let mut queue = self.queue.borrow_mut();
        queue.push(draft);
        queue.len() == 1
    }

    /// Registers a call and returns its number and the receiver of its result.
    pub(super) fn register(&self) -> (Call, async_channel::Receiver<relay::Result>) {
        let call = Call::new(self.last_call.get() + 1);
        self.last_call.set(call.get());
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting.borrow_mut().insert(call, sender);
        (call, receiver)
    }

    /// Waits for the result of a call. Returns `None` if the channel closes or `timeout` passes.
    pub(super) async fn result(
        &self,
        call: Call,
        receiver: async_channel::Receiver<relay::Result>,
        timeout: Duration,
    ) -> Option<relay::Result> {
        let receive = async { receiver.recv().await.ok() };
        let expire = async {
            Timer::after(timeout).await;
            None
        };
        let result = receive.or(expire).await;
        self.waiting.borrow_mut().remove(&call);
        result
    }

    /// Sends the queued orders. The calls of a message that is not sent end at once.
    pub(super) fn flush(&self) {
        let mut drafts = std::mem::take(&mut *self.queue.borrow_mut());
        while !drafts.is_empty() {
            let rest = drafts.split_off(drafts.len().min(BATCH_MAX));
            self.send(drafts);
            drafts = rest;
        }
    }

    fn send(&self, drafts: Vec<Draft>) {
        let calls: Vec<Call> = drafts.iter().map(|draft| draft.order.call).collect();
        let orders = batch(self.epoch, drafts);
        if let Err(refusal) = self.sender.send(Body::Orders(orders)) {
            log::info!(
                "[relay] relay={} orders={} not sent: {refusal}",
                self.instance,
                calls.len()
            );
            let mut waiting = self.waiting.borrow_mut();
            for call in calls {
                waiting.remove(&call);
            }
        }
    }

    /// Passes the outcomes of orders to their callers. Late ones are dropped.
    pub(super) fn deliver(&self, outcomes: relay::Outcomes) {
        for outcome in outcomes.outcomes {
            let waiter = self.waiting.borrow_mut().remove(&outcome.call);
            let Some(waiter) = waiter else { continue };
            // The send fails if the caller no longer waits.
            let _ = waiter.try_send(outcome.result);
        }
    }

    /// Ends all calls that wait for an outcome.
    pub(super) fn close(&self) {
        self.queue.borrow_mut().clear();
        self.waiting.borrow_mut().clear();
    }
}

/// Returns the message of several orders, in which equal payloads stand once.
fn batch(epoch: revision::Epoch, drafts: Vec<Draft>) -> relay::Orders {
    let mut payloads: Vec<String> = Vec::new();
    let mut orders = Vec::with_capacity(drafts.len());
    for Draft { mut order, payload } in drafts {
        if let (Kind::Start(start), Some(payload)) = (&mut order.kind, payload) {
            let known = payloads.iter().rposition(|known| *known == payload);
            let position = known.unwrap_or_else(|| {
                payloads.push(payload);
                payloads.len() - 1
            });
            start.payload = u32::try_from(position).unwrap_or(u32::MAX);
        }
        orders.push(order);
    }
    relay::Orders { epoch, payloads, orders }
}
