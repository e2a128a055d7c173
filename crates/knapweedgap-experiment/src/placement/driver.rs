//! Drives the engines of all partitions on a virtual clock.

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
use super::metrics::Metrics;

/// Partitions, the default of a new installation. The workers are distributed evenly.
const PARTITIONS: usize = 4;
/// Time from an appended log entry to the confirmation of its commit.
const COMMIT_DELAY: Duration = Duration::from_millis(5);
/// Latency target of every service. Only the ratio of latency to target affects the results.
const TARGET: Duration = Duration::from_millis(100);
/// A burst of cancellations cancels one in this number of live jobs.
const CANCELLED_ONE_IN: usize = 3;

/// One partition: its engine, the simulated hosts and the metrics in progress.
#[derive(Debug)]
struct Partition {
    engine: Engine,
    start: Instant,
    now: Instant,
    pending_commit: Option<(Instant, revision::Sequence)>,
    hosts: Vec<Host>,
    pending_latencies: Vec<(Instant, Latency)>,
    urgent_submitted: BTreeMap<id::Job, Instant>,
    live_jobs: Vec<id::Job>,
    evictions: BTreeMap<(id::Task, id::Attempt), Stop>,
    lost_s: f64,
    counted_losses: BTreeSet<(id::Task, id::Attempt)>,
    latency_reports: u64,
}

/// Runs one setup and returns the metrics of its measured seconds.
pub fn run(setup: &Setup) -> Metrics {
    let load = Load::new(setup);
    let mut rng = Rng::with_seed(setup.seed ^ 0x5eed);
    let start = Instant::now();
    let mut partitions: Vec<Partition> =
        (0..PARTITIONS).map(|number| Partition::new(setup, number, start, &mut rng)).collect();
    let mut metrics = Metrics::default();
    let mut arrivals = load.arrivals.iter().peekable();
    for second in 0..setup.seconds {
        let measured = second >= setup.warm_up();
        let mut due: Vec<Vec<&Arrival>> = vec![Vec::new(); PARTITIONS];
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.second <= second) {
            if setup.method == Method::Isolated {
                continue;
            }
            let job = arrival.spec.id();
            due[job.get() as usize % PARTITIONS].push(arrival);
        }
        for (partition, due) in partitions.iter_mut().zip(&due) {
            let mut step = Metrics::default();
            partition.run_second(setup, second, &load, due, &mut step);
            if measured {
                metrics.add(&step);
            }
        }
    }
    for partition in &partitions {
        metrics.urgent_waiting += partition.urgent_submitted.len() as u64;
    }
    metrics
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
            pending_commit: None,
            hosts,
            pending_latencies: Vec::new(),
            urgent_submitted: BTreeMap::new(),
            live_jobs: Vec::new(),
            evictions: BTreeMap::new(),
            lost_s: 0.0,
            counted_losses: BTreeSet::new(),
            latency_reports: 0,
        }
    }

    fn run_second(
        &mut self,
        setup: &Setup,
        second: u32,
        load: &Load,
        due: &[&Arrival],
        metrics: &mut Metrics,
    ) {
        let begin = self.start + Duration::from_secs(u64::from(second));
        self.engine.ownership_validated(begin);
        let in_middle_third = (setup.seconds / 3..setup.seconds * 2 / 3).contains(&second);
        // One worker of each partition fails all its tasks in the middle third of the run.
        if let Some(host) = self.hosts.first_mut() {
            host.failing = in_middle_third;
        }
        if second == setup.seconds / 4 || second == setup.seconds * 3 / 4 {
            self.cancel_jobs();
        }
        let count = self.hosts.len();
        let mut due = due.iter().peekable();
        for index in 0..count {
            let at = begin + Duration::from_millis((index * 1000 / count) as u64);
            while let Some(arrival) =
                due.next_if(|arrival| begin + Duration::from_millis(arrival.offset_ms) <= at)
            {
                let at = begin + Duration::from_millis(arrival.offset_ms);
                self.submit(arrival, at, load, metrics);
            }
            self.advance(at, load, metrics);
            let clock = at - self.start + Duration::from_millis(1);
            let usage_measured = setup.method == Method::Engine;
            let report = self.hosts[index].report(clock, &load.classes, usage_measured);
            self.engine.observe(&report, at);
            self.apply_actions(load, metrics);
        }
        for arrival in due {
            let at = begin + Duration::from_millis(arrival.offset_ms);
            self.submit(arrival, at, load, metrics);
        }
        let end = begin + Duration::from_secs(1);
        self.advance(end, load, metrics);
        self.deliver_latencies(load, metrics);
        self.step_hosts(setup, second, load, metrics);
        metrics.lost_s += std::mem::take(&mut self.lost_s);
    }

    fn submit(&mut self, arrival: &Arrival, at: Instant, load: &Load, metrics: &mut Metrics) {
        self.advance(at, load, metrics);
        let body = BodyHash::of(arrival.spec.key.as_str().as_bytes());
        let job = arrival.spec.id();
        match self.engine.submit(arrival.spec.clone(), body, at) {
            Ok(_) if arrival.spec.priority == Priority::Urgent => {
                self.urgent_submitted.insert(job, at);
            }
            Ok(_) => self.live_jobs.push(job),
            Err(Refusal::TooLarge { .. }) => metrics.refused += 1,
            Err(_) => metrics.refused_other += 1,
        }
        self.apply_actions(load, metrics);
    }

    fn cancel_jobs(&mut self) {
        let engine = &self.engine;
        self.live_jobs.retain(|job| engine.state().job(job).is_some());
        let cancelled: Vec<id::Job> =
            self.live_jobs.iter().step_by(CANCELLED_ONE_IN).copied().collect();
        self.engine.cancel(&cancelled, self.now);
    }

    /// Advances the virtual clock to `end`, with the ticks and commits of the engine that are due.
    fn advance(&mut self, end: Instant, load: &Load, metrics: &mut Metrics) {
        self.apply_actions(load, metrics);
        loop {
            let commit = self.pending_commit.map(|(at, _)| at);
            let next = commit.into_iter().chain(self.engine.next_wake()).min();
            let Some(next) = next.filter(|next| *next <= end) else { break };
            self.now = self.now.max(next);
            if let Some((_, sequence)) = self.pending_commit.take_if(|(at, _)| *at <= next) {
                self.engine.committed(sequence, self.now);
            } else {
                self.engine.tick(self.now);
            }
            self.apply_actions(load, metrics);
        }
        self.now = self.now.max(end);
    }

    fn apply_actions(&mut self, load: &Load, metrics: &mut Metrics) {
        for action in self.engine.actions() {
            match action {
                Action::Append(entry) => {
                    self.pending_commit = Some((self.now + COMMIT_DELAY, entry.sequence));
                    for record in &entry.records {
                        self.record_eviction(record, metrics);
                    }
                }
                Action::Send(command) => self.send(&command, load, metrics),
                Action::Store(_) | Action::Answer(_) => {}
            }
        }
    }

    /// Counts an eviction. Records count when they are appended, because every commit succeeds
    /// here.
    fn record_eviction(&mut self, record: &Record, metrics: &mut Metrics) {
        let Record::TaskStopping { task, attempt, why } = record else { return };
        match why {
            Stop::Cancelled => return,
            Stop::Interference => metrics.evicted_interference += 1,
            Stop::Urgent | Stop::Capacity => metrics.evicted_other += 1,
        }
        self.evictions.insert((*task, *attempt), *why);
    }

    fn send(&mut self, command: &Command, load: &Load, metrics: &mut Metrics) {
        let host = self.hosts.iter_mut().find(|host| host.id == command.worker);
        let Some(host) = host else { return };
        host.checkpoint(command, &load.classes);
        let lost = host.receive(command);
        let key = (command.task, command.attempt);
        if let Some(lost) = lost
            && self.evictions.contains_key(&key)
            && self.counted_losses.insert(key)
        {
            self.lost_s += lost;
        }
        if let Body::Start(_) = command.body
            && let Some(at) = self.urgent_submitted.remove(&command.task.job)
        {
            let delay = self.now.saturating_duration_since(at);
            metrics.urgent_ms.push(u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
        }
    }

    fn deliver_latencies(&mut self, load: &Load, metrics: &mut Metrics) {
        let now = self.now;
        let due: Vec<(Instant, Latency)> =
            self.pending_latencies.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, latency) in due {
            self.engine.observe_latency(&latency, now);
            self.apply_actions(load, metrics);
        }
    }

    fn step_hosts(&mut self, setup: &Setup, second: u32, load: &Load, metrics: &mut Metrics) {
        for host in &mut self.hosts {
            let step = host.step(second, &load.classes);
            metrics.service_s += 1;
            metrics.missed_s += u64::from(step.ratio > 1.0);
            metrics.completed += step.completed;
            metrics.finished += step.finished;
            if !(second + 1).is_multiple_of(WINDOW_S) {
                continue;
            }
            let lag = Duration::from_secs(u64::from(host.draw_lag_s()));
            let service_id = match setup.method {
                Method::Isolated | Method::Blind => continue,
                Method::Engine => service(host.service),
                Method::Reactive => {
                    self.latency_reports += 1;
                    format!("unlearned-{}", self.latency_reports).parse().expect("a valid service")
                }
            };
            let latency = Latency {
                service: service_id,
                worker: host.id.clone(),
                latency: TARGET.mul_f64(step.ratio),
                target: TARGET,
                since: self.now - Duration::from_secs(u64::from(WINDOW_S)),
            };
            self.pending_latencies.push((self.now + lag, latency));
        }
    }
}

fn service(number: usize) -> id::Service {
    format!("service-{number}").parse().expect("a valid service")
}

/// Returns the services of a worker as reported to the engine. The baselines get none, so that they
/// place by size only.
fn services(method: Method, number: usize) -> Vec<id::Service> {
    match method {
        Method::Engine => vec![service(number)],
        Method::Isolated | Method::Blind | Method::Reactive => Vec::new(),
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
