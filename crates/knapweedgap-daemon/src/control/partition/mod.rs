//! Partitions owned by this instance.

mod commit;
mod convert;
mod driver;
mod heartbeat;
mod load;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use knapweedgap_core::{id, revision};
use knapweedgap_placement::command::{Command, Outcome, Request};
use knapweedgap_placement::engine::Engine;

use super::context::{Context, sleep};
use crate::notify::Notify;

pub(crate) use driver::update_workers;

/// Interval of checks for writes in flight during a handover.
const WRITE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One partition owned by this instance.
pub(crate) struct Owned {
    pub(crate) partition: id::Partition,
    pub(crate) epoch: revision::Epoch,
    /// Revision of the owner record. Every write to the log is conditional on it.
    revision: revision::Revision,
    /// `None` while the log is being read.
    engine: RefCell<Option<Engine>>,
    changed: Notify,
    closed: Cell<bool>,
    pending_writes: Cell<u32>,
    waiters: RefCell<BTreeMap<Request, Vec<Sender<Outcome>>>>,
    workers: RefCell<BTreeMap<id::Worker, Handle>>,
}

/// Handle of the heartbeat loop of one worker. Dropping it ends the loop.
struct Handle {
    address: SocketAddr,
    commands: Sender<Command>,
}

impl Owned {
    /// Runs a query on the engine. Returns `None` while the log is being read and after the
    /// ownership has ended.
    pub(crate) fn query<Query, Answer>(&self, query: Query) -> Option<Answer>
    where
        Query: FnOnce(&mut Engine) -> Answer,
    {
        if self.closed.get() {
            return None;
        }
        self.engine.borrow_mut().as_mut().map(query)
    }

    /// Passes an input to the engine and wakes the driver. Returns `None` as
    /// [`query`](Owned::query) does.
    pub(crate) fn input<Input, Answer>(&self, input: Input) -> Option<Answer>
    where
        Input: FnOnce(&mut Engine) -> Answer,
    {
        let answer = self.query(input);
        self.changed.notify();
        answer
    }

    /// Returns a channel that receives the outcome of a request once it is committed or has
    /// failed. The channel closes without a message if the ownership ends first.
    pub(crate) fn wait(&self, request: Request) -> async_channel::Receiver<Outcome> {
        let (sender, receiver) = async_channel::bounded(1);
        self.waiters.borrow_mut().entry(request).or_default().push(sender);
        receiver
    }

    fn notify_waiters(&self, request: Request, outcome: Outcome) {
        let waiters = self.waiters.borrow_mut().remove(&request).unwrap_or_default();
        for waiter in waiters {
            // Sending fails if the waiter was dropped; it no longer needs the outcome.
            let _ = waiter.try_send(outcome);
        }
    }

    fn close(&self) {
        self.closed.set(true);
        self.waiters.borrow_mut().clear();
        self.workers.borrow_mut().clear();
        self.changed.notify();
    }
}

/// All owned partitions.
#[derive(Default)]
pub(crate) struct Partitions {
    owned: RefCell<BTreeMap<id::Partition, Rc<Owned>>>,
}

impl Partitions {
    /// Starts serving a partition whose ownership was just acquired.
    pub(crate) fn open(
        &self,
        context: &Rc<Context>,
        partition: id::Partition,
        epoch: revision::Epoch,
        revision: revision::Revision,
    ) {
        let owned = Rc::new(Owned {
            partition,
            epoch,
            revision,
            engine: RefCell::new(None),
            changed: Notify::new(),
            closed: Cell::new(false),
            pending_writes: Cell::new(0),
            waiters: RefCell::default(),
            workers: RefCell::default(),
        });
        if let Some(previous) = self.owned.borrow_mut().insert(partition, owned.clone()) {
            previous.close();
        }
        context.spawn(driver::run(context.clone(), owned));
    }

    /// Returns the partition, or `None` if this instance does not own it.
    pub(crate) fn get(&self, partition: id::Partition) -> Option<Rc<Owned>> {
        self.owned.borrow().get(&partition).cloned()
    }

    /// Returns all owned partitions.
    pub(crate) fn all(&self) -> Vec<Rc<Owned>> {
        self.owned.borrow().values().cloned().collect()
    }

    /// Stops serving a partition immediately. Does nothing if its epoch differs.
    pub(crate) fn close(&self, partition: id::Partition, epoch: revision::Epoch) {
        if let Some(owned) = self.remove(partition, epoch) {
            owned.close();
        }
    }

    /// Stops serving a partition and waits for its writes in flight. Does nothing if its epoch
    /// differs.
    pub(crate) async fn finish(&self, partition: id::Partition, epoch: revision::Epoch) {
        let Some(owned) = self.remove(partition, epoch) else { return };
        owned.close();
        while owned.pending_writes.get() > 0 {
            sleep(WRITE_POLL_INTERVAL).await;
        }
    }

    fn remove(&self, partition: id::Partition, epoch: revision::Epoch) -> Option<Rc<Owned>> {
        let mut all = self.owned.borrow_mut();
        if all.get(&partition)?.epoch != epoch {
            return None;
        }
        all.remove(&partition)
    }
}
