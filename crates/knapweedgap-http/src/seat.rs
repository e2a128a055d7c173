//! Places of connections in the budget of a process.

use std::collections::HashMap;
use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use knapweedgap_core::size;

use crate::budget::{Bound, Budget, Decision, Id};

/// Time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Budget that the connections of a process share. Clones share it.
#[derive(Debug, Clone)]
pub struct Pool {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    budget: Budget,
    /// Tasks of connections that wait for their eviction.
    wakers: HashMap<Id, Waker>,
    counts: Counts,
    logged: Option<Instant>,
    unlogged: u64,
}

/// What the clients hold, and how often a bound was reached.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Counts {
    /// Memory that is charged to connections and requests.
    pub held: size::Bytes,
    /// Open connections.
    pub connections: usize,
    /// Connections that gave way to the memory of others, or were refused for lack of it.
    pub by_memory: u64,
    /// Connections that gave way to other connections, or were refused for lack of a place.
    pub by_connections: u64,
    /// Requests that were refused because their body took too long.
    pub by_body_time: u64,
}

/// Place of a connection, which is given back when it is dropped.
#[derive(Debug)]
pub struct Seat {
    pool: Pool,
    id: Id,
}

impl Pool {
    /// Creates a pool with a budget.
    pub fn new(budget: Budget) -> Pool {
        let shared = Shared {
            budget,
            wakers: HashMap::new(),
            counts: Counts::default(),
            logged: None,
            unlogged: 0,
        };
        Pool { shared: Arc::new(Mutex::new(shared)) }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a place for a new connection, or `None` if it has to be closed.
    pub fn accept(&self) -> Option<Seat> {
        let now = Instant::now();
        let mut shared = self.lock();
        let accepted = shared.budget.accept(now);
        shared.evict(now);
        match accepted {
            Ok(id) => Some(Seat { pool: self.clone(), id }),
            Err(bound) => {
                shared.record(Decision::Close, bound, "no other connection gives way", now);
                None
            }
        }
    }

    /// Returns what the clients hold, and how often a bound was reached.
    pub fn counts(&self) -> Counts {
        let shared = self.lock();
        let (held, connections) = (shared.budget.charged(), shared.budget.connections());
        Counts { held, connections, ..shared.counts }
    }
}

impl Shared {
    fn evict(&mut self, now: Instant) {
        for eviction in self.budget.take_evictions() {
            if let Some(waker) = self.wakers.remove(&eviction.id) {
                waker.wake();
            }
            let reason = match eviction.decision {
                Decision::Close => "idle for the longest time",
                Decision::Refuse => "without progress for the longest time",
            };
            self.record(eviction.decision, eviction.bound, reason, now);
        }
    }

    fn record(&mut self, decision: Decision, bound: Bound, reason: &str, now: Instant) {
        match bound {
            Bound::Memory => self.counts.by_memory += 1,
            Bound::Connections => self.counts.by_connections += 1,
            Bound::BodyTime => self.counts.by_body_time += 1,
        }
        if self.logged.is_some_and(|logged| now - logged < LOG_INTERVAL) {
            self.unlogged += 1;
            return;
        }
        self.logged = Some(now);
        let unlogged = std::mem::take(&mut self.unlogged);
        log::info!(
            "[traffic] decision={decision} reason=\"{reason}\" bound={bound} held_bytes={} \
             connections={} unlogged={unlogged}",
            self.budget.charged().get(),
            self.budget.connections(),
        );
    }
}

impl Seat {
    /// The first byte of a request has arrived.
    pub(crate) fn begin(&self) {
        self.pool.lock().budget.begin(self.id, Instant::now());
    }

    /// Bytes of a request were received. Returns an error if the request has to be refused.
    pub(crate) fn receive(&self, count: usize) -> Result<(), Bound> {
        let now = Instant::now();
        let mut shared = self.pool.lock();
        let received = shared.budget.receive(self.id, count, now);
        shared.evict(now);
        if let Err(bound) = received {
            shared.record(Decision::Refuse, bound, "no other connection gives way", now);
        }
        received
    }

    /// Received bytes do not belong to the head, and are received again with the body.
    pub(crate) fn put_back(&self, count: usize) {
        self.pool.lock().budget.put_back(self.id, count);
    }

    /// The request was received completely.
    pub(crate) fn complete(&self) {
        self.pool.lock().budget.complete(self.id, Instant::now());
    }

    /// The request was answered.
    pub(crate) fn answer(&self) {
        self.pool.lock().budget.answer(self.id, Instant::now());
    }

    /// The body of the request took too long.
    pub(crate) fn expire(&self) {
        let mut shared = self.pool.lock();
        shared.record(Decision::Refuse, Bound::BodyTime, "body incomplete", Instant::now());
    }

    /// Waits until the connection has to give way.
    pub(crate) async fn evicted(&self) -> Decision {
        poll_fn(|context| {
            let mut shared = self.pool.lock();
            if let Some(decision) = shared.budget.decision(self.id) {
                return Poll::Ready(decision);
            }
            shared.wakers.insert(self.id, context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut shared = self.pool.lock();
        shared.budget.close(self.id);
        shared.wakers.remove(&self.id);
    }
}
