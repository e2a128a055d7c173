//! In-memory store with fault injection, for tests of control code.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use knapweedgap_core::revision::Revision;

use crate::table::Table;
use crate::watch::{Batch, Batches};
use crate::{Error, Key, Outcome, Page, Store, Txn, Watch, key, lease};

#[derive(Debug)]
struct State {
    table: Table,
    outage: bool,
    /// Number of writes whose answers are still to be lost.
    losses: u32,
    calls: u64,
    /// Closed and replaced at each write, which wakes the watches that wait on `wake`.
    waker: Sender<()>,
    wake: Receiver<()>,
    /// Number of outages so far; a watch ends when it changes.
    outages: u64,
}

/// In-memory store. Clones share their content.
#[derive(Debug, Clone)]
pub struct Fake {
    state: Rc<RefCell<State>>,
}

impl Default for Fake {
    fn default() -> Fake {
        let (waker, wake) = async_channel::bounded(1);
        let table = Table::new();
        let state = State { table, outage: false, losses: 0, calls: 0, waker, wake, outages: 0 };
        Fake { state: Rc::new(RefCell::new(state)) }
    }
}

impl Fake {
    /// Creates an empty store without faults.
    pub fn new() -> Fake {
        Fake::default()
    }

    /// Starts or ends an outage. During an outage every call fails with [`Error::Unavailable`]; its
    /// start also ends all watches.
    pub fn set_outage(&self, outage: bool) {
        let mut state = self.state.borrow_mut();
        state.outage = outage;
        state.outages += u64::from(outage);
        state.wake_watches();
    }

    /// Makes the next `count` successful writes return [`Error::Unknown`] after they were applied;
    /// 0 stops this.
    pub fn lose_answers(&self, count: u32) {
        self.state.borrow_mut().losses = count;
    }

    /// Removes the change history, so that a watch from an earlier revision fails with
    /// [`Error::Compacted`].
    pub fn compact(&self) {
        self.state.borrow_mut().table.compact();
    }

    /// Revokes the leases that have expired at `now`. Without this call leases never expire.
    pub fn expire_leases(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        state.table.expire(now);
        state.wake_watches();
    }

    /// Returns the number of calls so far, including failed ones.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    fn call<Answer>(
        &self,
        call: impl FnOnce(&mut Table) -> Result<Answer, Error>,
    ) -> Result<Answer, Error> {
        let mut state = self.state.borrow_mut();
        state.calls += 1;
        if state.outage {
            return Err(Error::Unavailable("injected outage".into()));
        }
        call(&mut state.table)
    }

    fn write<Answer>(
        &self,
        call: impl FnOnce(&mut Table) -> Result<Answer, Error>,
    ) -> Result<Answer, Error> {
        let answer = self.call(call)?;
        let mut state = self.state.borrow_mut();
        state.wake_watches();
        if state.losses > 0 {
            state.losses -= 1;
            return Err(Error::Unknown("answer lost by fault injection".into()));
        }
        Ok(answer)
    }
}

impl State {
    fn wake_watches(&mut self) {
        let (waker, wake) = async_channel::bounded(1);
        self.waker.close();
        self.waker = waker;
        self.wake = wake;
    }
}

impl Store for Fake {
    async fn range(&self, range: key::Range) -> Result<Page, Error> {
        self.call(|table| Ok(table.range(&range)))
    }

    async fn commit(&self, txn: Txn) -> Result<Outcome, Error> {
        self.write(|table| table.commit(&txn))
    }

    async fn grant(&self, ttl: Duration) -> Result<lease::Id, Error> {
        self.write(|table| Ok(table.grant(ttl, Instant::now())))
    }

    async fn keep_alive(&self, lease: lease::Id) -> Result<Duration, Error> {
        self.write(|table| table.keep_alive(lease, Instant::now()))
    }

    async fn revoke(&self, lease: lease::Id) -> Result<(), Error> {
        self.write(|table| table.revoke(lease))
    }

    async fn watch(&self, prefix: Key, from: Revision) -> Result<Watch, Error> {
        let start = self.call(|table| {
            let start = if from.get() == 0 { successor(table.revision()) } else { from };
            table.changes(&prefix, start).map(|_| start)
        })?;
        let outages = self.state.borrow().outages;
        let cursor = Cursor { state: self.state.clone(), prefix, next: start, outages };
        Ok(Watch::new(start, cursor.batches()))
    }
}

/// Position of one watch in the change history.
struct Cursor {
    state: Rc<RefCell<State>>,
    prefix: Key,
    next: Revision,
    outages: u64,
}

impl Cursor {
    fn batches(self) -> Batches {
        Box::pin(futures_lite::stream::unfold(Some(self), |cursor| async {
            let mut cursor = cursor?;
            match cursor.next_batch().await {
                Ok(batch) => Some((Ok(batch), Some(cursor))),
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    async fn next_batch(&mut self) -> Result<Batch, Error> {
        loop {
            let polled = self.poll()?;
            let wake = match polled {
                Ok(batch) => return Ok(batch),
                Err(wake) => wake,
            };
            // The channel never carries a message; it is closed at the next write.
            let _ = wake.recv().await;
        }
    }

    /// Returns the pending changes, or the channel to wait on if there are none.
    fn poll(&mut self) -> Result<Result<Batch, Receiver<()>>, Error> {
        let state = self.state.borrow();
        if state.outages != self.outages {
            return Err(Error::Unavailable("injected outage".into()));
        }
        let changes = state.table.changes(&self.prefix, self.next)?;
        self.next = self.next.max(successor(state.table.revision()));
        if changes.is_empty() {
            return Ok(Err(state.wake.clone()));
        }
        Ok(Ok(Batch { changes, next: self.next, waited: Duration::ZERO }))
    }
}

fn successor(revision: Revision) -> Revision {
    Revision::new(revision.get() + 1)
}
