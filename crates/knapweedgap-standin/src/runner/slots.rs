//! Slots of a runner and the queue in front of them.

use std::cell::Cell;

use async_channel::{Receiver, Sender};

/// Slots with a bounded queue that serves in order of arrival.
#[derive(Debug)]
pub(super) struct Slots {
    /// Holds one message for each free slot.
    free: Receiver<()>,
    release: Sender<()>,
    count: u32,
    waiting: Cell<u32>,
    queue: u32,
}

/// Slot in use. Dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Slot<'a> {
    slots: &'a Slots,
}

/// The queue is full.
#[derive(Debug)]
pub(super) struct Full;

/// Place in the queue.
struct Waiting<'a> {
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

    /// Takes a slot, after waiting in the queue if all are in use.
    pub(super) async fn take(&self) -> Result<Slot<'_>, Full> {
        if self.waiting.get() == 0 && self.free.try_recv().is_ok() {
            return Ok(Slot { slots: self });
        }
        if self.waiting.get() >= self.queue {
            return Err(Full);
        }
        let _waiting = Waiting::new(self);
        match self.free.recv().await {
            Ok(()) => Ok(Slot { slots: self }),
            // The sender lives as long as the slots.
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

impl Waiting<'_> {
    fn new(slots: &Slots) -> Waiting<'_> {
        slots.waiting.set(slots.waiting.get() + 1);
        Waiting { slots }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.slots.waiting.set(self.slots.waiting.get().saturating_sub(1));
    }
}
