//! Reference limit: one queue that sees every request and every slot without delay.

use std::collections::VecDeque;
use std::time::Duration;

use super::case::{CLIENT_TIMEOUT, Event as CaseEvent, SLOTS, Setup, THREADS};
use super::events::{Arrival, Events, Source};
use super::metrics::{End, Metrics, is_useful};

/// Longest wait in the queue, as for the routers.
const WAIT_MAX: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Event {
    Arrive(Arrival),
    AtEntry(Arrival, Client),
    SlotFree(usize),
    AtClient(Client),
    Repeat(Arrival, Client),
    ZoneLost,
}

/// The client of a request.
#[derive(Debug, Clone, Copy)]
struct Client {
    first_sent: Duration,
    sent: Duration,
    repeats: u32,
}

struct Shared<'a> {
    setup: &'a Setup,
    source: Source,
    events: Events<Event>,
    rng: fastrand::Rng,
    free: Vec<u32>,
    lost: Vec<bool>,
    queue: VecDeque<(Arrival, Client, Duration)>,
    metrics: Metrics,
}

/// Measures the shared queue.
pub fn run(setup: &Setup) -> Metrics {
    let runners = setup.user.runners();
    let mut shared = Shared {
        setup,
        source: Source::new(setup),
        events: Events::new(),
        rng: fastrand::Rng::with_seed(setup.seed ^ 1),
        free: vec![SLOTS; runners],
        lost: vec![false; runners],
        queue: VecDeque::new(),
        metrics: Metrics::new(),
    };
    shared.arrive();
    if setup.lost_zone().is_some() {
        shared.events.add(setup.timeline.event, Event::ZoneLost);
    }
    while let Some((now, event)) = shared.events.take() {
        shared.handle(now, event);
    }
    shared.metrics.connections_max = SLOTS;
    shared.metrics
}

impl Shared<'_> {
    fn arrive(&mut self) {
        if let Some(arrival) = self.source.draw(self.setup) {
            self.events.add(arrival.at, Event::Arrive(arrival));
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        let client_delay = self.setup.user.client_delay();
        match event {
            Event::Arrive(arrival) => {
                let client = Client { first_sent: now, sent: now, repeats: 0 };
                self.events.add(now + client_delay, Event::AtEntry(arrival, client));
                self.arrive();
            }
            Event::Repeat(mut arrival, mut client) => {
                client.sent = now;
                arrival.thread = self.source.draw_repeat(self.setup, now);
                self.events.add(now + client_delay, Event::AtEntry(arrival, client));
            }
            Event::AtEntry(arrival, client) => {
                self.queue.push_back((arrival, client, now));
                self.start(now);
            }
            Event::SlotFree(runner) => {
                self.free[runner] += 1;
                self.start(now);
            }
            Event::AtClient(client) => {
                let useful = is_useful(client.sent, now);
                let end = if useful { End::Useful } else { End::Failed };
                self.metrics.end(self.setup, client.first_sent, now, end);
            }
            Event::ZoneLost => {
                for runner in 0..self.lost.len() {
                    self.lost[runner] = Some(Setup::zone(runner)) == self.setup.lost_zone();
                }
            }
        }
    }

    fn start(&mut self, now: Duration) {
        while let Some(&(arrival, client, since)) = self.queue.front() {
            let late = now > since + WAIT_MAX || now > client.sent + CLIENT_TIMEOUT;
            if late {
                self.queue.pop_front();
                self.give_up(now, arrival, client);
                continue;
            }
            let zone = Setup::zone(arrival.thread / THREADS);
            let Some(runner) = self.choose(zone) else { return };
            self.queue.pop_front();
            self.free[runner] -= 1;
            let delay = self.setup.user.delay(zone, Setup::zone(runner));
            // The request of a waiting client travels before the slot is free.
            let begin = now.max(since + delay);
            let end = begin + self.setup.service_time(runner, arrival.work);
            self.metrics.serve(self.setup, begin, zone == Setup::zone(runner), Duration::ZERO);
            self.events.add(end, Event::SlotFree(runner));
            let at_client = end + delay + self.setup.user.client_delay();
            let is_lost = self.setup.lost_zone().is_some_and(|lost| {
                let at_event = begin < self.setup.timeline.event && end > self.setup.timeline.event;
                at_event && Setup::zone(runner) == lost
            });
            let at_client =
                if is_lost { at_client.max(client.sent + CLIENT_TIMEOUT * 2) } else { at_client };
            self.events.add(at_client, Event::AtClient(client));
        }
    }

    fn give_up(&mut self, now: Duration, arrival: Arrival, client: Client) {
        let repeats = self.setup.case.event == CaseEvent::RetryStorm;
        if repeats && client.repeats < super::case::REPEATS {
            let again = Client { repeats: client.repeats + 1, ..client };
            let at = now + super::case::REPEAT_DELAY;
            self.events.add(at, Event::Repeat(arrival, again));
            return;
        }
        self.metrics.end(self.setup, client.first_sent, now, End::Refused);
    }

    /// Chooses a free runner: one that is not slow if possible, then one in the zone.
    fn choose(&mut self, zone: usize) -> Option<usize> {
        let count = self.free.len();
        let offset = self.rng.usize(..count);
        let slow = self.setup.case.event == CaseEvent::SlowRunner;
        let mut best = None;
        for number in 0..count {
            let runner = (number + offset) % count;
            if self.free[runner] == 0 || self.lost[runner] {
                continue;
            }
            let cost = (slow && runner == 0, Setup::zone(runner) != zone);
            if best.is_none_or(|(other, _)| cost < other) {
                best = Some((cost, runner));
            }
            if cost == (false, false) {
                break;
            }
        }
        best.map(|(_, runner)| runner)
    }
}
