//! Drives the routers of all traffic threads with simulated upstreams and clients.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};
use knapweedgap_routing::request::{Accepted, Answer, Dispatched, Kind, Request};
use knapweedgap_routing::share::Thread;
use knapweedgap_routing::snapshot::{Entry, Limits, Service, Snapshot, State, Upstream};
use knapweedgap_routing::{Action, Decision, Outcome, Permit, Policy, Router, Settled, Ticket};

use super::case::{
    CLIENT_TIMEOUT, CONNECT_TIMEOUT, CONNECTIONS, ENTRIES, Event as CaseEvent,
    OUTAGE_DETECTION_TIME, REPEAT_BACKOFF, REPEATS_MAX, SLOTS, Setup, THREADS, ZONES,
};
use super::events::{Arrival, Events, Source};
use super::metrics::{End, Metrics, is_useful};

/// Index of a client request in `calls`.
type Call = usize;
/// Index of an attempt in `dispatches`.
type Attempt = usize;

#[derive(Debug)]
enum Event {
    Arrival(Arrival),
    ReachedEntry(Call),
    ReachedRunner(Attempt),
    ServiceFinished { runner: usize, attempt: Attempt },
    AttemptEnded(Attempt, Outcome),
    ReachedClient(Call, u32, Reply),
    ClientTimeout(Call, u32),
    Repeat(Call),
    Wake(usize),
    OutageStarted,
    OutageDetected,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    Done,
    NotRun,
    Unknown,
}

/// Request of one client, including its repeats.
#[derive(Debug)]
struct ClientCall {
    first_sent: Duration,
    sent: Duration,
    repeats: u32,
    thread: usize,
    work: Duration,
    ended: bool,
}

/// Attempt of a client request that an entry sent to a runner.
#[derive(Debug)]
struct Dispatch {
    call: Call,
    repeat: u32,
    thread: usize,
    runner: usize,
    work: Duration,
    reached_runner: Duration,
    request: Option<Request<Dispatched>>,
}

/// One traffic thread of one entry.
#[derive(Debug)]
struct Traffic {
    router: Router,
    zone: usize,
    failed: bool,
    waiting: HashMap<Ticket, (Call, u32, Request<Accepted>)>,
    wake: Option<Duration>,
    /// Requests in flight by runner.
    in_flight: Vec<u32>,
    /// Connections by runner, the maximum of the requests in flight so far, because connections are
    /// kept open.
    connections: Vec<u32>,
}

#[derive(Debug, Default)]
struct Runner {
    busy: u32,
    queue: VecDeque<Attempt>,
    failed: bool,
}

struct Driver<'a> {
    setup: &'a Setup,
    source: Source,
    base: Instant,
    events: Events<Event>,
    calls: Vec<ClientCall>,
    dispatches: Vec<Dispatch>,
    threads: Vec<Traffic>,
    runners: Vec<Runner>,
    positions: HashMap<id::Upstream, usize>,
    service: id::Service,
    metrics: Metrics,
}

/// Runs one setup with `policy` and returns its metrics.
pub fn run(setup: &Setup, policy: Policy) -> Metrics {
    let base = Instant::now();
    let runners = setup.user.runners();
    let mut threads = Vec::new();
    for number in 0..ENTRIES * THREADS {
        let entry = number / THREADS;
        let position = u32::try_from(number % THREADS).unwrap_or_default();
        let rng = fastrand::Rng::with_seed(setup.seed.wrapping_mul(1000) + number as u64);
        let snapshot = Arc::new(snapshot(setup, entry, None));
        threads.push(Traffic {
            router: Router::new(policy, Thread::new(position), snapshot, rng, base),
            zone: Setup::zone(entry),
            failed: false,
            waiting: HashMap::new(),
            wake: None,
            in_flight: vec![0; runners],
            connections: vec![0; runners],
        });
    }
    let mut driver = Driver {
        setup,
        source: Source::new(setup),
        base,
        events: Events::new(),
        calls: Vec::new(),
        dispatches: Vec::new(),
        threads,
        runners: (0..runners).map(|_| Runner::default()).collect(),
        positions: (0..runners).map(|number| (runner_id(number), number)).collect(),
        service: service_id(),
        metrics: Metrics::new(),
    };
    driver.run();
    driver.metrics
}

fn service_id() -> id::Service {
    parse("service")
}

fn runner_id(number: usize) -> id::Upstream {
    parse(&format!("runner-{number}"))
}

fn parse<Id>(text: &str) -> Id
where
    Id: std::str::FromStr,
    Id::Err: std::fmt::Debug,
{
    text.parse().expect("ids of the experiment are valid")
}

fn zone_id(zone: usize) -> id::Zone {
    parse(&format!("zone-{zone}"))
}

fn snapshot(setup: &Setup, entry: usize, failed_zone: Option<usize>) -> Snapshot {
    let entry_at = |number: usize| Entry {
        id: parse(&format!("entry-{number}")),
        zone: zone_id(Setup::zone(number)),
    };
    let is_live = |number: &usize| Some(Setup::zone(*number)) != failed_zone;
    let entries = (0..ENTRIES).filter(is_live).map(entry_at).collect();
    let upstreams = (0..setup.user.runners()).filter(is_live).map(upstream).collect();
    let own = entry_at(entry);
    Snapshot::new(own.id, own.zone)
        .entries(entries)
        .entries_configured(ENTRIES as u32)
        .traffic_threads(THREADS as u32)
        .service(Service { id: service_id(), limits: Limits::default(), upstreams })
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        id: runner_id(number),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: zone_id(Setup::zone(number)),
        slots: size::Slot::new(SLOTS),
        connections: size::Connection::new(CONNECTIONS),
        state: State::Live,
    }
}

impl Driver<'_> {
    fn run(&mut self) {
        self.schedule_arrival();
        if self.setup.failed_zone().is_some() {
            self.events.push(self.setup.timeline.event, Event::OutageStarted);
            self.events
                .push(self.setup.timeline.event + OUTAGE_DETECTION_TIME, Event::OutageDetected);
        }
        while let Some((now, event)) = self.events.pop() {
            self.handle(now, event);
        }
        let connections_to = |runner: usize| {
            self.threads.iter().map(|thread| thread.connections[runner]).sum::<u32>()
        };
        let connections_max = (0..self.runners.len()).map(connections_to).max();
        self.metrics.connections_max = connections_max.unwrap_or(0);
    }

    fn schedule_arrival(&mut self) {
        if let Some(arrival) = self.source.draw(self.setup) {
            self.events.push(arrival.at, Event::Arrival(arrival));
        }
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrival(arrival) => {
                self.calls.push(ClientCall {
                    first_sent: now,
                    sent: now,
                    repeats: 0,
                    thread: arrival.thread,
                    work: arrival.work,
                    ended: false,
                });
                self.send(now, self.calls.len() - 1);
                self.schedule_arrival();
            }
            Event::Repeat(call) => {
                self.calls[call].sent = now;
                self.calls[call].thread = self.source.draw_repeat(self.setup, now);
                self.send(now, call);
            }
            Event::ReachedEntry(call) => {
                let client = &self.calls[call];
                let deadline = self.base + client.sent + CLIENT_TIMEOUT;
                let (thread, repeat) = (client.thread, client.repeats);
                if !self.threads[thread].failed {
                    let request = Request::new(self.service.clone(), Kind::Idempotent, deadline);
                    self.admit(now, thread, call, repeat, request);
                }
            }
            Event::ReachedRunner(attempt) => self.reach_runner(now, attempt),
            Event::ServiceFinished { runner, attempt } => self.finish_service(now, runner, attempt),
            Event::AttemptEnded(attempt, outcome) => self.end_attempt(now, attempt, outcome),
            Event::ReachedClient(call, repeat, reply) => {
                self.reach_client(now, call, repeat, reply)
            }
            Event::ClientTimeout(call, repeat) => self.client_timeout(now, call, repeat),
            Event::Wake(thread) => {
                if self.threads[thread].wake == Some(now) {
                    self.threads[thread].wake = None;
                    let actions = self.threads[thread].router.expire(self.base + now);
                    self.apply(now, thread, actions);
                }
            }
            Event::OutageStarted => self.start_outage(),
            Event::OutageDetected => self.update_snapshots(now),
        }
    }

    fn send(&mut self, now: Duration, call: Call) {
        let repeat = self.calls[call].repeats;
        self.events.push(now + self.setup.user.client_delay(), Event::ReachedEntry(call));
        self.events.push(now + CLIENT_TIMEOUT, Event::ClientTimeout(call, repeat));
    }

    fn admit(
        &mut self,
        now: Duration,
        thread: usize,
        call: Call,
        repeat: u32,
        request: Request<Accepted>,
    ) {
        match self.threads[thread].router.admit(&request, self.base + now) {
            Decision::Dispatch(permit) => {
                self.start_attempt(now, thread, call, repeat, request, permit)
            }
            Decision::Queue { ticket, .. } => {
                self.threads[thread].waiting.insert(ticket, (call, repeat, request));
            }
            Decision::Refuse(_) => self.reply(now, call, repeat, Reply::NotRun),
        }
        self.schedule_wake(now, thread);
    }

    fn start_attempt(
        &mut self,
        now: Duration,
        thread: usize,
        call: Call,
        repeat: u32,
        request: Request<Accepted>,
        permit: Permit,
    ) {
        let runner = self.positions[&permit.upstream().id];
        let traffic = &mut self.threads[thread];
        traffic.in_flight[runner] += 1;
        traffic.connections[runner] = traffic.connections[runner].max(traffic.in_flight[runner]);
        let delay = self.setup.user.delay(traffic.zone, Setup::zone(runner));
        let deadline = request.deadline().saturating_duration_since(self.base);
        let mut request = request.dispatch(permit);
        let is_failed = self.runners[runner].failed;
        if !is_failed {
            request.mark_written();
        }
        let work = self.calls[call].work;
        let request = Some(request);
        let reached_runner = now + delay;
        self.dispatches.push(Dispatch {
            call,
            repeat,
            thread,
            runner,
            work,
            reached_runner,
            request,
        });
        let attempt = self.dispatches.len() - 1;
        if is_failed {
            let ended = Event::AttemptEnded(attempt, Outcome::ConnectFailed);
            self.events.push(now + CONNECT_TIMEOUT, ended);
        } else {
            self.events.push(reached_runner, Event::ReachedRunner(attempt));
        }
        self.events.push(deadline.max(now), Event::AttemptEnded(attempt, Outcome::TimedOut));
    }

    fn reach_runner(&mut self, now: Duration, attempt: Attempt) {
        let number = self.dispatches[attempt].runner;
        let runner = &mut self.runners[number];
        if runner.failed {
            return;
        }
        if runner.busy < SLOTS {
            self.start_service(now, number, attempt);
        } else {
            runner.queue.push_back(attempt);
        }
    }

    fn start_service(&mut self, now: Duration, runner: usize, attempt: Attempt) {
        self.runners[runner].busy += 1;
        let dispatch = &self.dispatches[attempt];
        let same_zone = self.threads[dispatch.thread].zone == Setup::zone(runner);
        self.metrics.record_service(self.setup, now, same_zone, now - dispatch.reached_runner);
        let end = now + self.setup.service_time(runner, dispatch.work);
        self.events.push(end, Event::ServiceFinished { runner, attempt });
    }

    fn finish_service(&mut self, now: Duration, number: usize, attempt: Attempt) {
        let runner = &mut self.runners[number];
        if runner.failed {
            return;
        }
        runner.busy -= 1;
        if let Some(next) = runner.queue.pop_front() {
            self.start_service(now, number, next);
        }
        let slots_in_use = Some(size::Slot::new(self.runners[number].busy));
        let zone = self.threads[self.dispatches[attempt].thread].zone;
        let at_entry = now + self.setup.user.delay(zone, Setup::zone(number));
        let answered = Outcome::Answered { slots_in_use };
        self.events.push(at_entry, Event::AttemptEnded(attempt, answered));
    }

    fn end_attempt(&mut self, now: Duration, attempt: Attempt, outcome: Outcome) {
        let dispatch = &mut self.dispatches[attempt];
        let (thread, call, repeat) = (dispatch.thread, dispatch.call, dispatch.repeat);
        if self.threads[thread].failed {
            return;
        }
        let Some(request) = dispatch.request.take() else { return };
        let traffic = &mut self.threads[thread];
        traffic.in_flight[dispatch.runner] -= 1;
        let (settled, actions) = traffic.router.settle(request, outcome, self.base + now);
        self.apply(now, thread, actions);
        match settled {
            Settled::Retry(request) => self.admit(now, thread, call, repeat, request),
            Settled::Answered(request) => {
                let reply = match request.answer() {
                    Answer::Done => Reply::Done,
                    Answer::NotRun(_) => Reply::NotRun,
                    Answer::Unknown => Reply::Unknown,
                };
                self.reply(now, call, repeat, reply);
            }
        }
    }

    fn apply(&mut self, now: Duration, thread: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(dispatch) => {
                    let waiting = self.threads[thread].waiting.remove(&dispatch.ticket);
                    let (call, repeat, request) = waiting.expect("the ticket is queued");
                    self.start_attempt(now, thread, call, repeat, request, dispatch.permit);
                }
                Action::Refuse { ticket, .. } => {
                    let waiting = self.threads[thread].waiting.remove(&ticket);
                    let (call, repeat, _) = waiting.expect("the ticket is queued");
                    self.reply(now, call, repeat, Reply::NotRun);
                }
            }
        }
        self.schedule_wake(now, thread);
    }

    fn schedule_wake(&mut self, now: Duration, thread: usize) {
        let traffic = &mut self.threads[thread];
        let Some(wake) = traffic.router.next_wake() else { return };
        let wake = wake.saturating_duration_since(self.base).max(now);
        if traffic.wake.is_none_or(|scheduled| wake < scheduled) {
            traffic.wake = Some(wake);
            self.events.push(wake, Event::Wake(thread));
        }
    }

    fn reply(&mut self, now: Duration, call: Call, repeat: u32, reply: Reply) {
        let at = now + self.setup.user.client_delay();
        self.events.push(at, Event::ReachedClient(call, repeat, reply));
    }

    fn reach_client(&mut self, now: Duration, call: Call, repeat: u32, reply: Reply) {
        let client = &self.calls[call];
        if client.ended || client.repeats != repeat || !is_useful(client.sent, now) {
            return;
        }
        match reply {
            Reply::Done => self.end(now, call, End::Useful),
            Reply::NotRun if self.schedule_repeat(now + REPEAT_BACKOFF, call) => {}
            Reply::NotRun => self.end(now, call, End::Refused),
            Reply::Unknown => self.end(now, call, End::Failed),
        }
    }

    fn client_timeout(&mut self, now: Duration, call: Call, repeat: u32) {
        let client = &self.calls[call];
        if client.ended || client.repeats != repeat {
            return;
        }
        if !self.schedule_repeat(now, call) {
            self.end(now, call, End::Failed);
        }
    }

    fn schedule_repeat(&mut self, at: Duration, call: Call) -> bool {
        let client = &mut self.calls[call];
        if self.setup.case.event != CaseEvent::RetryStorm || client.repeats >= REPEATS_MAX {
            return false;
        }
        client.repeats += 1;
        self.events.push(at, Event::Repeat(call));
        true
    }

    fn end(&mut self, now: Duration, call: Call, end: End) {
        let client = &mut self.calls[call];
        client.ended = true;
        self.metrics.record_end(self.setup, client.first_sent, now, end);
    }

    fn start_outage(&mut self) {
        let failed_zone = self.setup.failed_zone();
        for (number, runner) in self.runners.iter_mut().enumerate() {
            runner.failed = Some(Setup::zone(number)) == failed_zone;
        }
        for thread in &mut self.threads {
            thread.failed = Some(thread.zone) == failed_zone;
        }
    }

    fn update_snapshots(&mut self, now: Duration) {
        debug_assert!(self.setup.failed_zone().is_some_and(|zone| zone < ZONES));
        for thread in 0..self.threads.len() {
            if self.threads[thread].failed {
                continue;
            }
            let snapshot = snapshot(self.setup, thread / THREADS, self.setup.failed_zone());
            let router = &mut self.threads[thread].router;
            let actions = router.update(Arc::new(snapshot), self.base + now);
            self.apply(now, thread, actions);
        }
    }
}
