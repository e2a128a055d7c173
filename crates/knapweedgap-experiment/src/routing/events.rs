//! Event queue of the simulation and source of client requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::case::{ENTRIES, Event as CaseEvent, Setup, THREADS, UNEVEN_FACTOR, Work};

/// Future events in order of time; events at the same time keep their insertion order.
#[derive(Debug)]
pub struct Events<Event> {
    heap: BinaryHeap<Reverse<(Duration, u64, Slot)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    added: u64,
}

/// Index into `Events::events`. The heap holds indices so that it moves only small values.
type Slot = usize;

impl<Event> Events<Event> {
    /// Creates an empty queue.
    pub fn new() -> Events<Event> {
        Events { heap: BinaryHeap::new(), events: Vec::new(), free: Vec::new(), added: 0 }
    }

    /// Adds an event at a time relative to the start of the run.
    pub fn push(&mut self, at: Duration, event: Event) {
        let slot = match self.free.pop() {
            Some(slot) => {
                self.events[slot] = Some(event);
                slot
            }
            None => {
                self.events.push(Some(event));
                self.events.len() - 1
            }
        };
        self.heap.push(Reverse((at, self.added, slot)));
        self.added += 1;
    }

    /// Removes and returns the earliest event with its time, or `None` if there are no more events.
    pub fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        self.events[slot].take().map(|event| (at, event))
    }
}

impl<Event> Default for Events<Event> {
    fn default() -> Events<Event> {
        Events::new()
    }
}

/// Draws an exponentially distributed duration.
fn exponential(rng: &mut fastrand::Rng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.f64()).ln())
}

/// Request of a client.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time at which the client sends it, relative to the start of the run.
    pub at: Duration,
    /// Index of the traffic thread that the load balancer chooses, over the threads of all entries.
    pub thread: usize,
    /// Service time on a normal runner.
    pub work: Duration,
}

/// Poisson source of requests. It depends only on the seed and the case, so every method receives
/// the same requests.
#[derive(Debug)]
pub struct Source {
    rng: fastrand::Rng,
    /// Separate generator for repeats: their number depends on the method and must not affect the
    /// requests.
    repeat_rng: fastrand::Rng,
    at: Duration,
}

impl Source {
    /// Creates the source for one run.
    pub fn new(setup: &Setup) -> Source {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let repeat_rng = rng.fork();
        Source { rng, repeat_rng, at: Duration::ZERO }
    }

    /// Returns the next request, or `None` after the end of the run.
    pub fn draw(&mut self, setup: &Setup) -> Option<Arrival> {
        let mean = Duration::from_secs_f64(1.0 / setup.rate_per_s(self.at));
        self.at += exponential(&mut self.rng, mean);
        if self.at >= setup.timeline.end {
            return None;
        }
        let thread = draw_thread(&mut self.rng, setup, self.at);
        let work = self.draw_work(setup.case.work);
        Some(Arrival { at: self.at, thread, work })
    }

    fn draw_work(&mut self, work: Work) -> Duration {
        match work {
            Work::Long => exponential(&mut self.rng, work.mean()),
            Work::Short => work.mean().mul_f64(0.5 + self.rng.f64()),
        }
    }

    /// Returns the index of the traffic thread that the load balancer chooses for a repeat at time
    /// `at`.
    pub fn draw_repeat(&mut self, setup: &Setup, at: Duration) -> usize {
        draw_thread(&mut self.repeat_rng, setup, at)
    }
}

/// Draws a traffic thread of an entry outside the failed zone.
fn draw_thread(rng: &mut fastrand::Rng, setup: &Setup, at: Duration) -> usize {
    loop {
        let uneven = setup.case.event == CaseEvent::UnevenEntries;
        let extra_shares = if uneven { UNEVEN_FACTOR - 1 } else { 0 };
        // Draws beyond the last entry select the first one.
        let entry = rng.usize(..ENTRIES + extra_shares) % ENTRIES;
        let thread = entry * THREADS + rng.usize(..THREADS);
        let zone = Setup::zone(entry);
        let failed = at >= setup.timeline.event && setup.failed_zone() == Some(zone);
        if !failed {
            return thread;
        }
    }
}
