//! Reference: one queue with immediate knowledge of every request and every slot.

use std::collections::VecDeque;
use std::time::Duration;

use super::case::{CLIENT_TIMEOUT, Event as CaseEvent, SLOTS, Setup, THREADS};
use super::events::{Arrival, Events, Source};
use super::metrics::{End, Metrics, is_useful};

/// Limit on the wait in the queue, the same as for the routers.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Event {
    Arrival(Arrival),
    ReachedEntry(Arrival, Client),
    SlotFree(usize),
    ReachedClient(Client),
    Repeat(Arrival, Client),
    OutageStarted,
}

/// Client side of a request.
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
    failed: Vec<bool>,
    queue: VecDeque<(Arrival, Client, Duration)>,
    metrics: Metrics,
}

/// Runs one setup with the shared queue and returns its metrics.
pub fn run(setup: &Setup) -> Metrics {
    let runners = setup.user.runners();
    let mut shared = Shared {
        setup,
        source: Source::new(setup),
        events: Events::new(),
        rng: fastrand::Rng::with_seed(setup.seed ^ 1),
        free: vec![SLOTS; runners],
        failed: vec![false; runners],
        queue: VecDeque::new(),
        metrics: Metrics::new(),
    };
    shared.schedule_arrival();
    if setup.failed_zone().is_some() {
        shared.events.push(setup.timeline.event, Event::OutageStarted);
    }
    while let Some((now, event)) = shared.events.pop() {
        shared.handle(now, event);
    }
    shared.metrics.connections_max = SLOTS;
    shared.metrics
}

impl Shared<'_> {
    fn schedule_arrival(&mut self) {
        if let Some(arrival) = self.source.draw(self.setup) {
            self.events.push(arrival.at, Event::Arrival(arrival));
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        let client_delay = self.setup.user.client_delay();
        match event {
            Event::Arrival(arrival) => {
                let client = Client { first_sent: now, sent: now, repeats: 0 };
                self.events.push(now + client_delay, Event::ReachedEntry(arrival, client));
                self.schedule_arrival();
            }
            Event::Repeat(mut arrival, mut client) => {
                client.sent = now;
                arrival.thread = self.source.draw_repeat(self.setup, now);
                self.events.push(now + client_delay, Event::ReachedEntry(arrival, client));
            }
            Event::ReachedEntry(arrival, client) => {
                self.queue.push_back((arrival, client, now));
                self.start_queued(now);
            }
            Event::SlotFree(runner) => {
                self.free[runner] += 1;
                self.start_queued(now);
            }
            Event::ReachedClient(client) => {
                let useful = is_useful(client.sent, now);
                let end = if useful { End::Useful } else { End::Failed };
                self.metrics.record_end(self.setup, client.first_sent, now, end);
            }
            Event::OutageStarted => {
                for runner in 0..self.failed.len() {
                    self.failed[runner] = Some(Setup::zone(runner)) == self.setup.failed_zone();
                }
            }
        }
    }

    fn start_queued(&mut self, now: Duration) {
        while let Some(&(arrival, client, queued)) = self.queue.front() {
            let expired = now > queued + QUEUE_TIMEOUT || now > client.sent + CLIENT_TIMEOUT;
            if expired {
                self.queue.pop_front();
                self.refuse(now, arrival, client);
                continue;
            }
            let zone = Setup::zone(arrival.thread / THREADS);
            let Some(runner) = self.choose_runner(zone) else { return };
            self.queue.pop_front();
            self.free[runner] -= 1;
            let delay = self.setup.user.delay(zone, Setup::zone(runner));
            // A queued request travels to the zone of the runner before the slot is free.
            let begin = now.max(queued + delay);
            let end = begin + self.setup.service_time(runner, arrival.work);
            self.metrics.record_service(
                self.setup,
                begin,
                zone == Setup::zone(runner),
                Duration::ZERO,
            );
            self.events.push(end, Event::SlotFree(runner));
            let at_client = end + delay + self.setup.user.client_delay();
            let is_interrupted = self.setup.failed_zone().is_some_and(|failed_zone| {
                let spans_outage_start =
                    begin < self.setup.timeline.event && end > self.setup.timeline.event;
                spans_outage_start && Setup::zone(runner) == failed_zone
            });
            let at_client = if is_interrupted {
                at_client.max(client.sent + CLIENT_TIMEOUT * 2)
            } else {
                at_client
            };
            self.events.push(at_client, Event::ReachedClient(client));
        }
    }

    fn refuse(&mut self, now: Duration, arrival: Arrival, client: Client) {
        let repeats = self.setup.case.event == CaseEvent::RetryStorm;
        if repeats && client.repeats < super::case::REPEATS_MAX {
            let repeat = Client { repeats: client.repeats + 1, ..client };
            let at = now + super::case::REPEAT_BACKOFF;
            self.events.push(at, Event::Repeat(arrival, repeat));
            return;
        }
        self.metrics.record_end(self.setup, client.first_sent, now, End::Refused);
    }

    /// Returns a free runner, or `None` without one. Prefers runners that are not slow, then
    /// runners in the zone.
    fn choose_runner(&mut self, zone: usize) -> Option<usize> {
        let count = self.free.len();
        let offset = self.rng.usize(..count);
        let slow = self.setup.case.event == CaseEvent::SlowRunner;
        let mut best = None;
        for number in 0..count {
            let runner = (number + offset) % count;
            if self.free[runner] == 0 || self.failed[runner] {
                continue;
            }
            let cost = (slow && runner == 0, Setup::zone(runner) != zone);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, runner));
            }
            if cost == (false, false) {
                break;
            }
        }
        best.map(|(_, runner)| runner)
    }
}
