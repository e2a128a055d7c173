//! Slots of a runner and the queue of requests that wait for one.

use std::cell::Cell;

use async_channel::{Receiver, Sender};

/// Fixed number of slots with a bounded first-in, first-out queue.
#[derive(Debug)]
pub(super) struct Slots {
    /// Holds one message for each free slot.
    free: Receiver<()>,
    release: Sender<()>,
    count: u32,
    waiting: Cell<u32>,
    queue: u32,
}

/// Slot in use. Dropping it releases the slot.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    slots: &'a Slots,
}

/// Error when the queue is full.
#[derive(Debug)]
pub(super) struct Full;

/// Entry in the queue, removed when dropped.
struct Waiter<'a> {
    slots: &'a Slots,
}

impl Slots {
    pub(super) fn new(count: u32, queue: u32) -> Slots {
        let (release, free) = async_channel::bounded(count.max(1) as usize);
        for _ in 0..count {
            let _ = release.try_send(());
        }
        Slots { free, release, count, waiting: Cell::new(0), queue }
    }

    /// Acquires a slot, after waiting in the queue if all are in use.
    pub(super) async fn acquire(&self) -> Result<Slot<'_>, Full> {
        if self.waiting.get() == 0 && self.free.try_recv().is_ok() {
            return Ok(Slot { slots: self });
        }
        if self.waiting.get() >= self.queue {
            return Err(Full);
        }
        let _waiting = Waiter::new(self);
        match self.free.recv().await {
            Ok(()) => Ok(Slot { slots: self }),
            // Not reached: `self` owns a sender, so the channel stays open.
            Err(_) => Err(Full),
        }
    }

    pub(super) fn in_use(&self) -> u32 {
        let free = u32::try_from(self.free.len()).unwrap_or(u32::MAX);
        self.count.saturating_sub(free)
    }

    pub(super) fn waiting(&self) -> u32 {
        self.waiting.get()
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let _ = self.slots.release.try_send(());
    }
}

impl Waiter<'_> {
    fn new(slots: &Slots) -> Waiter<'_> {
        slots.waiting.set(slots.waiting.get() + 1);
        Waiter { slots }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.slots.waiting.set(self.slots.waiting.get().saturating_sub(1));
    }
}
