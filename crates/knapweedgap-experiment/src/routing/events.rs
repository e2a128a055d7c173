//! Queue of future events and the source of client requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::case::{ENTRIES, Event as CaseEvent, Setup, THREADS, UNEVEN_FACTOR, Work};

/// Events in order of time; events of the same time keep the order in which they were added.
#[derive(Debug)]
pub struct Events<Event> {
    heap: BinaryHeap<Reverse<(Duration, u64, Slot)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    added: u64,
}

/// Position of the event itself, so that the heap moves small values only.
type Slot = usize;

impl<Event> Events<Event> {
    /// Creates an empty queue.
    pub fn new() -> Events<Event> {
        Events { heap: BinaryHeap::new(), events: Vec::new(), free: Vec::new(), added: 0 }
    }

    /// Adds an event.
    pub fn add(&mut self, at: Duration, event: Event) {
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

    /// Takes the next event.
    pub fn take(&mut self) -> Option<(Duration, Event)> {
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

/// Exponentially distributed time.
fn exponential(rng: &mut fastrand::Rng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.f64()).ln())
}

/// One request as a client starts it.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When the client sends it.
    pub at: Duration,
    /// Traffic thread that the load balancer gives it to, counted over all entries.
    pub thread: usize,
    /// Time that a normal runner works on it.
    pub work: Duration,
}

/// Poisson source of requests. It depends on the seed and the case only, so every method meets the
/// same requests.
#[derive(Debug)]
pub struct Source {
    rng: fastrand::Rng,
    /// Repeats depend on the method, so they must not use the numbers of the requests.
    repeat_rng: fastrand::Rng,
    at: Duration,
}

impl Source {
    /// Creates the source of one run.
    pub fn new(setup: &Setup) -> Source {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let repeat_rng = rng.fork();
        Source { rng, repeat_rng, at: Duration::ZERO }
    }

    /// Draws the next request, or `None` after the end of the run.
    pub fn draw(&mut self, setup: &Setup) -> Option<Arrival> {
        let mean = Duration::from_secs_f64(1.0 / setup.rate_per_s(self.at));
        self.at += exponential(&mut self.rng, mean);
        if self.at >= setup.timeline.end {
            return None;
        }
        let thread = draw_thread(&mut self.rng, setup, self.at);
        let work = self.work(setup.case.work);
        Some(Arrival { at: self.at, thread, work })
    }

    fn work(&mut self, work: Work) -> Duration {
        match work {
            Work::Long => exponential(&mut self.rng, work.mean()),
            Work::Short => work.mean().mul_f64(0.5 + self.rng.f64()),
        }
    }

    /// Draws the traffic thread that the load balancer gives a repeat to.
    pub fn draw_repeat(&mut self, setup: &Setup, at: Duration) -> usize {
        draw_thread(&mut self.repeat_rng, setup, at)
    }
}

/// Draws a traffic thread of a live entry.
fn draw_thread(rng: &mut fastrand::Rng, setup: &Setup, at: Duration) -> usize {
    loop {
        let uneven = setup.case.event == CaseEvent::UnevenEntries;
        let extra = if uneven { UNEVEN_FACTOR - 1 } else { 0 };
        // Numbers beyond the last entry fall to the first one.
        let entry = rng.usize(..ENTRIES + extra) % ENTRIES;
        let thread = entry * THREADS + rng.usize(..THREADS);
        let zone = Setup::zone(entry);
        let lost = at >= setup.timeline.event && setup.lost_zone() == Some(zone);
        if !lost {
            return thread;
        }
    }
}
