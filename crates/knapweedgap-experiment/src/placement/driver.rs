//! Drives the engines of all partitions with a virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fastrand::Rng;
use knapweedgap_core::{id, revision};
use knapweedgap_placement::command::{Action, Body, Command};
use knapweedgap_placement::engine::{Engine, Owner, Refusal};
use knapweedgap_placement::job::{BodyHash, Priority};
use knapweedgap_placement::log::Record;
use knapweedgap_placement::report::Latency;
use knapweedgap_placement::settings::Settings;
use knapweedgap_placement::task::Stop;
use knapweedgap_placement::worker;

use super::case::{Method, Setup};
use super::host::{Host, WINDOW_S};
use super::load::{Arrival, Load, SERVICES};
use super::measure::Measure;

/// Partitions, as by default. Each is given the same number of workers.
const PARTITIONS: usize = 4;
/// Time of one commit.
const COMMIT: Duration = Duration::from_millis(5);
/// Latency target of every service. Only the ratio matters.
const TARGET: Duration = Duration::from_millis(100);
/// Share of the live jobs that a burst cancels is one of this number.
const CANCELLED_ONE_IN: usize = 3;

/// One partition: its engine and what surrounds it.
#[derive(Debug)]
struct Partition {
    engine: Engine,
    start: Instant,
    now: Instant,
    commit: Option<(Instant, revision::Sequence)>,
    hosts: Vec<Host>,
    latencies: Vec<(Instant, Latency)>,
    submitted: BTreeMap<id::Job, Instant>,
    live: Vec<id::Job>,
    stops: BTreeMap<(id::Task, id::Attempt), Stop>,
    lost_s: f64,
    evicted: BTreeSet<(id::Task, id::Attempt)>,
    reports: u64,
}

/// Runs one setup.
pub fn run(setup: &Setup) -> Measure {
    let load = Load::new(setup);
    let mut rng = Rng::with_seed(setup.seed ^ 0x5eed);
    let start = Instant::now();
    let mut partitions: Vec<Partition> =
        (0..PARTITIONS).map(|number| Partition::new(setup, number, start, &mut rng)).collect();
    let mut measure = Measure::default();
    let mut arrivals = load.arrivals.iter().peekable();
    for second in 0..setup.seconds {
        let measured = second >= setup.warm_up();
        let mut due: Vec<Vec<&Arrival>> = vec![Vec::new(); PARTITIONS];
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.second <= second) {
            if setup.method == Method::Apart {
                continue;
            }
            let job = arrival.spec.id();
            due[job.get() as usize % PARTITIONS].push(arrival);
        }
        for (partition, due) in partitions.iter_mut().zip(&due) {
            let mut step = Measure::default();
            partition.second(setup, second, &load, due, &mut step);
            if measured {
                measure.add(&step);
            }
        }
    }
    for partition in &partitions {
        measure.urgent_waiting += partition.submitted.len() as u64;
    }
    measure
}

impl Partition {
    fn new(setup: &Setup, number: usize, start: Instant, rng: &mut Rng) -> Partition {
        let owner =
            Owner { partition: id::Partition::new(number as u32), epoch: revision::Epoch::new(1) };
        let settings = Settings { weights: setup.weighting.weights(), ..Settings::default() };
        let mut engine = Engine::new(owner, settings, start);
        let numbers = (number..setup.user.workers()).step_by(PARTITIONS);
        let specs: Vec<worker::Spec> = numbers.map(|number| spec(setup, number)).collect();
        let mut hosts = Vec::new();
        for (index, spec) in specs.iter().enumerate() {
            let service = (index + number) % SERVICES;
            hosts.push(Host::new(spec.id.clone(), service, setup.user, rng.fork()));
        }
        let specs = specs.into_iter().zip(&hosts).map(|(spec, host)| worker::Spec {
            services: services(setup.method, host.service),
            ..spec
        });
        engine.set_workers(specs.collect(), start);
        Partition {
            engine,
            start,
            now: start,
            commit: None,
            hosts,
            latencies: Vec::new(),
            submitted: BTreeMap::new(),
            live: Vec::new(),
            stops: BTreeMap::new(),
            lost_s: 0.0,
            evicted: BTreeSet::new(),
            reports: 0,
        }
    }

    fn second(
        &mut self,
        setup: &Setup,
        second: u32,
        load: &Load,
        due: &[&Arrival],
        measure: &mut Measure,
    ) {
        let begin = self.start + Duration::from_secs(u64::from(second));
        self.engine.ownership_validated(begin);
        let middle = (setup.seconds / 3..setup.seconds * 2 / 3).contains(&second);
        // One worker of each partition fails everything in the middle third.
        if let Some(host) = self.hosts.first_mut() {
            host.failing = middle;
        }
        if second == setup.seconds / 4 || second == setup.seconds * 3 / 4 {
            self.cancel_burst();
        }
        let count = self.hosts.len();
        let mut due = due.iter().peekable();
        for index in 0..count {
            let at = begin + Duration::from_millis((index * 1000 / count) as u64);
            while let Some(arrival) =
                due.next_if(|arrival| begin + Duration::from_millis(arrival.offset_ms) <= at)
            {
                let at = begin + Duration::from_millis(arrival.offset_ms);
                self.submit(arrival, at, load, measure);
            }
            self.advance(at, load, measure);
            let clock = at - self.start + Duration::from_millis(1);
            let use_known = setup.method == Method::Learned;
            let report = self.hosts[index].report(clock, &load.classes, use_known);
            self.engine.observe(&report, at);
            self.settle(load, measure);
        }
        for arrival in due {
            let at = begin + Duration::from_millis(arrival.offset_ms);
            self.submit(arrival, at, load, measure);
        }
        let end = begin + Duration::from_secs(1);
        self.advance(end, load, measure);
        self.deliver_latencies(load, measure);
        self.step_hosts(setup, second, load, measure);
        measure.lost_s += std::mem::take(&mut self.lost_s);
    }

    fn submit(&mut self, arrival: &Arrival, at: Instant, load: &Load, measure: &mut Measure) {
        self.advance(at, load, measure);
        let body = BodyHash::of(arrival.spec.key.as_str().as_bytes());
        let job = arrival.spec.id();
        match self.engine.submit(arrival.spec.clone(), body, at) {
            Ok(_) if arrival.spec.priority == Priority::Urgent => {
                self.submitted.insert(job, at);
            }
            Ok(_) => self.live.push(job),
            Err(Refusal::TooLarge { .. }) => measure.refused += 1,
            Err(_) => measure.refused_other += 1,
        }
        self.settle(load, measure);
    }

    fn cancel_burst(&mut self) {
        let engine = &self.engine;
        self.live.retain(|job| engine.state().job(job).is_some());
        let chosen: Vec<id::Job> = self.live.iter().step_by(CANCELLED_ONE_IN).copied().collect();
        self.engine.cancel(&chosen, self.now);
    }

    /// Ticks the engine and confirms its commits until `end`.
    fn advance(&mut self, end: Instant, load: &Load, measure: &mut Measure) {
        self.settle(load, measure);
        loop {
            let commit = self.commit.map(|(at, _)| at);
            let next = commit.into_iter().chain(self.engine.next_wake()).min();
            let Some(next) = next.filter(|next| *next <= end) else { break };
            self.now = self.now.max(next);
            if let Some((_, sequence)) = self.commit.take_if(|(at, _)| *at <= next) {
                self.engine.committed(sequence, self.now);
            } else {
                self.engine.tick(self.now);
            }
            self.settle(load, measure);
        }
        self.now = self.now.max(end);
    }

    fn settle(&mut self, load: &Load, measure: &mut Measure) {
        for action in self.engine.actions() {
            match action {
                Action::Append(entry) => {
                    self.commit = Some((self.now + COMMIT, entry.sequence));
                    for record in &entry.records {
                        self.note(record, measure);
                    }
                }
                Action::Send(command) => self.send(&command, load, measure),
                Action::Store(_) | Action::Answer(_) => {}
            }
        }
    }

    /// Counts evictions. Every entry that is emitted is committed here.
    fn note(&mut self, record: &Record, measure: &mut Measure) {
        let Record::TaskStopping { task, attempt, why } = record else { return };
        match why {
            Stop::Cancelled => return,
            Stop::Interference => measure.evicted_interference += 1,
            Stop::Urgent | Stop::Capacity => measure.evicted_other += 1,
        }
        self.stops.insert((*task, *attempt), *why);
    }

    fn send(&mut self, command: &Command, load: &Load, measure: &mut Measure) {
        let host = self.hosts.iter_mut().find(|host| host.id == command.worker);
        let Some(host) = host else { return };
        host.checkpoint(command, &load.classes);
        let lost = host.receive(command);
        let key = (command.task, command.attempt);
        if let Some(lost) = lost
            && self.stops.contains_key(&key)
            && self.evicted.insert(key)
        {
            self.lost_s += lost;
        }
        if let Body::Start(_) = command.body
            && let Some(at) = self.submitted.remove(&command.task.job)
        {
            let delay = self.now.saturating_duration_since(at);
            measure.urgent_ms.push(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        }
    }

    fn deliver_latencies(&mut self, load: &Load, measure: &mut Measure) {
        let now = self.now;
        let due: Vec<(Instant, Latency)> =
            self.latencies.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, latency) in due {
            self.engine.observe_latency(&latency, now);
            self.settle(load, measure);
        }
    }

    fn step_hosts(&mut self, setup: &Setup, second: u32, load: &Load, measure: &mut Measure) {
        for host in &mut self.hosts {
            let step = host.step(second, &load.classes);
            measure.service_s += 1;
            measure.missed_s += u64::from(step.ratio > 1.0);
            measure.completed += step.completed;
            measure.finished += step.finished;
            if !(second + 1).is_multiple_of(WINDOW_S) {
                continue;
            }
            let lag = Duration::from_secs(u64::from(host.draw_lag_s()));
            let name = match setup.method {
                Method::Apart | Method::Blind => continue,
                Method::Learned => service(host.service),
                Method::Unlearned => {
                    self.reports += 1;
                    format!("unlearned-{}", self.reports).parse().expect("a valid service")
                }
            };
            let latency = Latency {
                service: name,
                worker: host.id.clone(),
                latency: TARGET.mul_f64(step.ratio),
                target: TARGET,
                since: self.now - Duration::from_secs(u64::from(WINDOW_S)),
            };
            self.latencies.push((self.now + lag, latency));
        }
    }
}

fn service(number: usize) -> id::Service {
    format!("service-{number}").parse().expect("a valid service")
}

/// Returns the services that placement sees on a worker. The baselines see none, so that they
/// place by size only.
fn services(method: Method, number: usize) -> Vec<id::Service> {
    match method {
        Method::Learned => vec![service(number)],
        Method::Apart | Method::Blind | Method::Unlearned => Vec::new(),
    }
}

fn spec(setup: &Setup, number: usize) -> worker::Spec {
    let user = setup.user;
    worker::Spec {
        id: format!("w{number}").parse().expect("a valid worker"),
        zone: format!("z{}", number % 3).parse().expect("a valid zone"),
        rack: format!("r{}", number / user.rack_len()).parse().expect("a valid rack"),
        capacity: user.capacity(),
        reserved: user.reserved(),
        services: Vec::new(),
        leaving: false,
    }
}
