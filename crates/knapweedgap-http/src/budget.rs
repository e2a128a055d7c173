//! Bound on the memory and the number of the client connections of a process. It decides without I/O
//! which connection gives way when a bound is reached.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use knapweedgap_core::size;

/// Memory of a connection beside the bytes of its request: buffers of the process, and bytes that the
/// kernel has received and the process has not read.
pub const CONNECTION_COST: size::Bytes = size::Bytes::new(48 * 1024);
/// Memory for each byte of a request: a buffer that grows has up to twice the length of its content.
const BYTE_COST: u64 = 2;
/// Time after which a request without enough progress gives way.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that count as progress. A client that sends a byte now and then makes none.
const PROGRESS_MIN: u64 = 1024;
/// Time for which a connection has been idle before it gives way. A client sends its first request
/// within that time.
const IDLE_MIN: Duration = Duration::from_millis(100);
/// Longest request that may use the last part of the budget, in bytes. Large bodies leave that part to
/// ordinary requests.
const SMALL_LEN: u64 = 16 * 1024;
/// Part of the budget that is left to small requests: one in this number.
const SMALL_SHARE: u64 = 8;

/// Connection of a process.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(u64);

/// Bound that was reached.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Bound {
    /// Memory of unfinished requests and of connections.
    #[display("memory")]
    Memory,
    /// Number of connections.
    #[display("connections")]
    Connections,
    /// Time of a body. It is observed outside the budget.
    #[display("body_time")]
    BodyTime,
}

/// How a connection gives way.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It waits for a request, and is closed.
    #[display("close")]
    Close,
    /// Its request was not passed on, is answered with 503, and the connection is closed.
    #[display("refuse")]
    Refuse,
}

/// Connection that gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub id: Id,
    /// How it gives way.
    pub decision: Decision,
    /// Bound that was reached.
    pub bound: Bound,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for a request.
    Idle,
    /// Receives a request that is not passed on.
    Reading,
    /// The request is complete and may have been passed on.
    Complete,
    /// Gives way. Its memory no longer counts.
    Leaving(Decision),
}

#[derive(Debug)]
struct Connection {
    phase: Phase,
    held: u64,
    /// Time of the last progress, or of the start of the phase.
    progressed: Instant,
    /// Bytes since the last progress.
    unmarked: u64,
}

/// Connections of a process and what they hold.
#[derive(Debug)]
pub struct Budget {
    memory_max: u64,
    connections_max: usize,
    connections: HashMap<Id, Connection>,
    next: u64,
    /// Memory of all connections that don't leave, in bytes.
    charged: u64,
    open: usize,
    evictions: Vec<Eviction>,
}

impl Budget {
    /// Creates a budget for the memory of connections and unfinished requests, and for the number of
    /// connections.
    pub fn new(memory_max: size::Bytes, connections_max: usize) -> Budget {
        Budget {
            memory_max: memory_max.get(),
            connections_max,
            connections: HashMap::new(),
            next: 0,
            charged: 0,
            open: 0,
            evictions: Vec::new(),
        }
    }

    /// Memory that is charged, in bytes.
    pub fn charged(&self) -> size::Bytes {
        size::Bytes::new(self.charged)
    }

    /// Number of connections that don't leave.
    pub fn connections(&self) -> usize {
        self.open
    }

    /// Returns the connections that give way because of the events since the last call.
    pub fn take_evictions(&mut self) -> Vec<Eviction> {
        std::mem::take(&mut self.evictions)
    }

    /// A client has connected. Returns the bound that rules the connection out.
    ///
    /// # Errors
    ///
    /// The bound that is reached, if no other connection gives way.
    pub fn accept(&mut self, now: Instant) -> Result<Id, Bound> {
        while self.open >= self.connections_max {
            if !self.evict(Bound::Connections, None, now) {
                return Err(Bound::Connections);
            }
        }
        while self.charged + CONNECTION_COST.get() > self.memory_max {
            if !self.evict(Bound::Memory, None, now) {
                return Err(Bound::Memory);
            }
        }
        let id = Id(self.next);
        self.next += 1;
        let phase = Phase::Idle;
        let connection = Connection { phase, held: 0, progressed: now, unmarked: 0 };
        self.connections.insert(id, connection);
        self.charge(0, true);
        Ok(id)
    }

    /// The first byte of a request has arrived. A connection that was to be closed stays.
    pub fn begin(&mut self, id: Id, now: Instant) {
        self.enter(id, Phase::Reading, now);
    }

    /// Bytes of a request were received.
    ///
    /// # Errors
    ///
    /// [`Bound::Memory`] if they exceed the budget and no other connection gives way. The request is
    /// then no longer charged and has to be refused.
    pub fn receive(&mut self, id: Id, count: usize, now: Instant) -> Result<(), Bound> {
        let Some(connection) = self.connections.get_mut(&id) else { return Ok(()) };
        connection.unmarked += count as u64;
        if connection.unmarked >= PROGRESS_MIN {
            connection.unmarked = 0;
            connection.progressed = now;
        }
        connection.held += count as u64;
        if let Phase::Leaving(_) = connection.phase {
            return Ok(());
        }
        self.charged += count as u64 * BYTE_COST;
        let is_small = connection.held <= SMALL_LEN;
        let reserved = if is_small { 0 } else { self.memory_max / SMALL_SHARE };
        while self.charged > self.memory_max - reserved {
            if !self.evict(Bound::Memory, Some(id), now) {
                self.release(id);
                return Err(Bound::Memory);
            }
        }
        Ok(())
    }

    /// Bytes that were received with the head of a request do not belong to the head. They are received
    /// again when they are read as a part of the body.
    pub fn put_back(&mut self, id: Id, count: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let count = connection.held.min(count as u64);
        connection.held -= count;
        if !matches!(connection.phase, Phase::Leaving(_)) {
            self.charged -= count * BYTE_COST;
        }
    }

    /// A request was received completely. From now on it can't be refused.
    pub fn complete(&mut self, id: Id, now: Instant) {
        self.enter(id, Phase::Complete, now);
    }

    /// A request was answered.
    pub fn answer(&mut self, id: Id, now: Instant) {
        self.release(id);
        self.enter(id, Phase::Idle, now);
    }

    /// A connection is closed.
    pub fn close(&mut self, id: Id) {
        self.release(id);
        let Some(connection) = self.connections.remove(&id) else { return };
        if !matches!(connection.phase, Phase::Leaving(_)) {
            self.discharge(0);
        }
    }

    /// Returns how a connection has to give way.
    pub fn decision(&self, id: Id) -> Option<Decision> {
        match self.connections.get(&id)?.phase {
            Phase::Leaving(decision) => Some(decision),
            Phase::Idle | Phase::Reading | Phase::Complete => None,
        }
    }

    fn enter(&mut self, id: Id, phase: Phase, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let left = matches!(connection.phase, Phase::Leaving(_));
        connection.phase = phase;
        connection.progressed = now;
        connection.unmarked = 0;
        let held = connection.held;
        if left {
            self.charge(held, true);
        }
    }

    fn charge(&mut self, held: u64, connects: bool) {
        self.charged += held * BYTE_COST;
        if connects {
            self.charged += CONNECTION_COST.get();
            self.open += 1;
        }
    }

    fn discharge(&mut self, held: u64) {
        self.charged -= held * BYTE_COST + CONNECTION_COST.get();
        self.open -= 1;
    }

    /// Gives back the memory of a request.
    fn release(&mut self, id: Id) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let held = std::mem::take(&mut connection.held);
        if !matches!(connection.phase, Phase::Leaving(_)) {
            self.charged -= held * BYTE_COST;
        }
    }

    /// Selects the connection that gives way. Returns `false` if none does.
    fn evict(&mut self, bound: Bound, except: Option<Id>, now: Instant) -> bool {
        let mut victim: Option<(Decision, Instant, Id)> = None;
        for (id, connection) in &self.connections {
            if except == Some(*id) {
                continue;
            }
            let waited = now.saturating_duration_since(connection.progressed);
            let decision = match connection.phase {
                Phase::Idle if waited >= IDLE_MIN => Decision::Close,
                Phase::Reading if waited >= STALL_TIMEOUT => Decision::Refuse,
                _ => continue,
            };
            let rank = |decision, since, id| (decision == Decision::Refuse, since, id);
            let this = rank(decision, connection.progressed, *id);
            if victim.is_none_or(|(decision, since, id)| this < rank(decision, since, id)) {
                victim = Some((decision, connection.progressed, *id));
            }
        }
        let Some((decision, _, id)) = victim else { return false };
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.phase = Phase::Leaving(decision);
        let held = connection.held;
        self.discharge(held);
        self.evictions.push(Eviction { id, decision, bound });
        true
    }
}
