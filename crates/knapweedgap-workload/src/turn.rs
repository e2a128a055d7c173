//! Turns of refused callers: when each of them should come back.
//!
//! Answers a burst in which many callers are refused at the same time. Told the same time, they would
//! return together and be refused together. Each gets the next place in the time in which room is
//! expected, in the order of their refusal. A place is no reservation: a caller is admitted by the load
//! that it finds, whenever it comes, and one that is refused again goes to the end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Length of a turn. Callers are told whole seconds.
pub const TURN: Duration = Duration::from_secs(1);
/// Number of turns that callers are spread over at most. Later callers share the last one, as nearly
/// all clients have given up by then.
pub const TURNS_MAX: u32 = 10;

/// Refused caller.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// Time after which room for its job is expected.
    pub room: Duration,
    /// Time by which its job can be started later and still meet its objective.
    pub slack: Duration,
    /// Work of its job, in thousandths of a core times milliseconds.
    pub work: u64,
}

/// Refused callers of one queue.
#[derive(Debug, Clone)]
pub struct Turns {
    /// Time from which the turns are counted.
    start: Instant,
    /// Work that is told to return in each turn that has not passed, in thousandths of a core times
    /// milliseconds.
    taken: BTreeMap<u32, u64>,
}

impl Turns {
    /// Creates the turns of a queue of which no caller was refused.
    pub fn new(now: Instant) -> Turns {
        Turns { start: now, taken: BTreeMap::new() }
    }

    /// Takes the next place for a caller that is refused at `now` and returns the time until it, in
    /// whole seconds.
    ///
    /// `processors` are those that are free once there is room, in thousandths of a core.
    pub fn take(&mut self, now: Instant, caller: &Caller, processors: u64) -> Duration {
        let current = self.turn_at(now);
        self.taken = self.taken.split_off(&current);
        let latest = current.saturating_add(TURNS_MAX);
        let wait =
            u32::try_from(caller.room.as_millis().div_ceil(TURN.as_millis())).unwrap_or(u32::MAX);
        let earliest = current.saturating_add(wait.max(1));
        let mut turn = earliest.min(latest);
        let capacity = processors.saturating_mul(TURN.as_millis() as u64);
        // A later turn would make the job late for certain.
        let is_urgent = TURN * (turn - current) <= caller.slack;
        while !is_urgent
            && turn < latest
            && self.taken.get(&turn).is_some_and(|taken| *taken >= capacity)
        {
            turn += 1;
        }
        let taken = self.taken.entry(turn).or_default();
        *taken = taken.saturating_add(caller.work);
        TURN * (turn - current)
    }

    /// Returns `true` if no caller is to return any more.
    pub fn is_over(&self, now: Instant) -> bool {
        self.taken.last_key_value().is_none_or(|(&last, _)| last < self.turn_at(now))
    }

    fn turn_at(&self, now: Instant) -> u32 {
        let passed = now.saturating_duration_since(self.start).as_secs() / TURN.as_secs();
        u32::try_from(passed).unwrap_or(u32::MAX)
    }
}
