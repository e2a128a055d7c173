//! Engine with a log in memory and simulated workers that follow the platform's rules.

#![allow(dead_code, reason = "each test file uses only some items")]

pub mod gang;
pub mod serving;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision, size};
use knapweedgap_workload::action::{Action, Ticket};
use knapweedgap_workload::api::{Answer, Request, Verb};
use knapweedgap_workload::bounds::{self, Bounds, OWNER_GRACE, VALUE_MAX};
use knapweedgap_workload::configuration::{Configuration, Policy, Queue};
use knapweedgap_workload::engine::{Batch, Engine};
use knapweedgap_workload::event::Event;
use knapweedgap_workload::job::{Schedule, Spec, Step};
use knapweedgap_workload::lease;
use knapweedgap_workload::order::{Failure, Speed, Start, Stop, Target};
use knapweedgap_workload::worker::Listed;

pub use worker::Worker;

/// Host of the queues.
pub const HOST: &str = "jobs.example";

/// Number of failed runs of one task after which its job fails.
pub const ATTEMPTS_MAX: u32 = 2;

/// Time after which the task of [`Harness::with_a_long_running_task`] would end by itself.
const LONG_RUN_TIME: Duration = Duration::from_secs(600);

/// Time for which ended and withdrawn jobs are kept.
pub const RETENTION: Duration = Duration::from_secs(5);

/// Number of commits in a row after which a test fails, because their effects lead to each other.
const COMMITS_MAX: usize = 10_000;

/// Queues of the tests: name, priority.
const QUEUES: [(&str, u32); 2] = [("urgent", 0), ("batch", 2)];

/// Returns a step of `count` tasks with 1 GiB of memory each.
pub fn step(count: u32, cores: u32, run_time: Duration) -> Step {
    let size = size::Resources {
        processor: size::Processor::from_cores(cores),
        memory: size::Bytes::new(1 << 30),
        accelerator: size::Accelerator::new(0),
    };
    Step { count, size, estimate: run_time, ..Step::default() }
}

/// Returns a job that runs once.
pub fn spec(steps: Vec<Step>) -> Spec {
    Spec { payload: "text".to_owned(), steps, schedule: None }
}

/// Returns a timed job.
pub fn timed(steps: Vec<Step>, schedule: Schedule) -> Spec {
    Spec { payload: "text".to_owned(), steps, schedule: Some(schedule) }
}

pub fn configuration(version: u64) -> Configuration {
    let queue = |(name, priority): (&str, u32)| Queue {
        name: name.into(),
        host: HOST.into(),
        prefix: format!("/{name}/").into(),
        timeout: Duration::from_secs(3),
        policy: Policy {
            service: "dispatch".parse().expect("valid"),
            priority,
            attempts_max: Some(ATTEMPTS_MAX),
            slowdown: 2.0,
            latency_target: Duration::from_millis(500),
            advice: None,
        },
    };
    Configuration {
        version,
        queues: QUEUES.into_iter().map(queue).collect(),
        services: BTreeMap::new(),
    }
}

/// Returns a configuration in which a queue is missing.
pub fn configuration_without(version: u64, queue: &str) -> Configuration {
    let mut removed = configuration(version);
    removed.queues.retain(|known| known.name != queue);
    removed
}

pub fn listed(name: &str, cores: u32, incarnation: u64) -> Listed {
    Listed {
        id: name.parse().expect("valid"),
        incarnation: revision::Incarnation::new(incarnation),
        service: "dispatch".parse().expect("valid"),
        address: "127.0.0.1:7000".parse().expect("valid"),
        zone: "zone-1".parse().expect("valid"),
        labels: vec!["kind-a".into(), "rack-1".into()],
        rack: Some("rack-1".into()),
        capacity: size::Resources {
            processor: size::Processor::from_cores(cores),
            memory: size::Bytes::new(64 << 30),
            accelerator: size::Accelerator::new(0),
        },
        draining: false,
        slow_for: Duration::ZERO,
    }
}

/// Owner of the workload with its log, its clients and its workers.
pub struct Harness {
    pub now: Instant,
    pub wall_ms: u64,
    pub engine: Engine,
    pub epoch: u64,
    /// What the present owner took over.
    pub handover: lease::Handover,
    /// Time of the lease clock that the last commit stored.
    stored_time: lease::Time,
    pub log: BTreeMap<revision::Sequence, Vec<u8>>,
    pub workers: BTreeMap<id::Worker, Worker>,
    pub answers: BTreeMap<Ticket, Answer>,
    pub starts: Vec<(Target, Start)>,
    pub stops: Vec<(Target, Stop)>,
    pub speeds: Vec<(Target, Speed)>,
    /// Workers that the engine asked to poll beside their poll loop.
    pub extra_polls: BTreeSet<id::Worker>,
    /// Logged events of all owners, in order.
    pub events: Vec<Event>,
    pub advice_requests: Vec<(knapweedgap_workload::task::Step, Vec<id::Worker>)>,
    /// Timeouts of the requests for advice.
    pub advice_timeouts: Vec<Duration>,
    /// The owner follows the changes of the list of workers.
    pub is_list_followed: bool,
    /// The owner follows the entries of operators.
    pub are_zones_followed: bool,
    last_ticket: u64,
    /// Limits of the installation.
    bounds: Bounds,
    /// Zones that operators evacuate.
    pub evacuated: BTreeSet<id::Zone>,
}

impl Harness {
    /// Creates an owner with workers of the given numbers of cores.
    pub fn new(cores: &[u32]) -> Harness {
        Harness::with_value_max(cores, VALUE_MAX)
    }

    /// Creates an owner whose store takes values of at most `value_max`, with workers of the given
    /// numbers of cores.
    pub fn with_value_max(cores: &[u32], value_max: size::Bytes) -> Harness {
        Harness::with_bounds(cores, bounds().value_max(value_max).build())
    }

    /// Creates an owner with workers of the given numbers of cores, in an installation with the given
    /// limits.
    pub fn with_bounds(cores: &[u32], bounds: Bounds) -> Harness {
        let now = Instant::now();
        let mut harness = Harness {
            now,
            wall_ms: 1_000_000,
            engine: Engine::new(
                revision::Epoch::new(1),
                bounds.clone(),
                lease::Handover::first(now),
                now,
            ),
            epoch: 1,
            handover: lease::Handover::first(now),
            stored_time: lease::Time::default(),
            log: BTreeMap::new(),
            workers: BTreeMap::new(),
            answers: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            speeds: Vec::new(),
            extra_polls: BTreeSet::new(),
            events: Vec::new(),
            advice_requests: Vec::new(),
            advice_timeouts: Vec::new(),
            is_list_followed: true,
            are_zones_followed: true,
            last_ticket: 0,
            bounds,
            evacuated: BTreeSet::new(),
        };
        for (index, &cores) in cores.iter().enumerate() {
            let worker = Worker::new(listed(&format!("worker-{index}"), cores, 1));
            harness.workers.insert(worker.listed.id.clone(), worker);
        }
        harness.read_zones();
        harness.engine.set_configuration(configuration(1));
        harness.list_workers();
        harness
    }

    /// Creates an owner of two workers with one long-running task, whose worker has just answered a
    /// poll. Returns it with that worker.
    pub fn with_a_long_running_task() -> (Harness, id::Worker) {
        let mut harness = Harness::new(&[8, 8]);
        harness.poll_all();
        let step = Step { long_running: true, ..step(1, 2, LONG_RUN_TIME) };
        harness.submit("batch", "00000000000000a1", spec(vec![step]));
        harness.run(Duration::from_millis(500));
        let (worker, task) = harness.running().first().cloned().expect("the task runs");
        for worker in harness.workers.values_mut() {
            worker.work.insert(task.step, LONG_RUN_TIME);
        }
        harness.run(Duration::from_secs(1));
        (harness, worker)
    }

    /// Replaces the owner, which may still renew leases, by one that starts from the log. Returns
    /// the engine of the former owner.
    pub fn take_over(&mut self) -> Engine {
        self.replace_owner(OWNER_GRACE)
    }

    /// Replaces the owner, after it has released the workload, by one that starts from the log.
    pub fn hand_over(&mut self) {
        self.engine.prepare_release(self.now);
        self.commit();
        assert!(self.engine.are_leases_stored());
        self.replace_owner(Duration::ZERO);
    }

    /// Replaces the owner, which renews leases for `grace` at most, by one that starts from the log.
    /// Returns the engine of the former owner.
    pub fn replace_owner(&mut self, grace: Duration) -> Engine {
        let former = self.replace_owner_unconfigured(grace);
        self.read_zones();
        self.engine.set_configuration(configuration(1));
        self.list_workers();
        former
    }

    /// Replaces the owner, which may still renew leases, by one that starts from the log and has
    /// read neither the configuration nor the list of workers.
    pub fn take_over_unconfigured(&mut self) {
        self.replace_owner_unconfigured(OWNER_GRACE);
    }

    fn replace_owner_unconfigured(&mut self, grace: Duration) -> Engine {
        self.epoch += 1;
        let clock = lease::Clock::new(self.stored_time, self.now);
        let renewals_end = self.handover.renewals_end.max(self.stored_time.after(grace));
        self.handover = lease::Handover { clock, renewals_end };
        let epoch = revision::Epoch::new(self.epoch);
        let mut engine = Engine::new(epoch, self.bounds.clone(), self.handover, self.now);
        for (&sequence, value) in &self.log {
            engine.replay(sequence, value, self.now).expect("the log is valid");
        }
        engine.begin(self.now, self.wall_ms);
        let former = std::mem::replace(&mut self.engine, engine);
        self.starts.clear();
        self.stops.clear();
        self.speeds.clear();
        former
    }

    /// Passes the evacuated zones to the owner, as after a read of all entries of operators.
    pub fn read_zones(&mut self) {
        self.engine.set_evacuated_zones(&self.evacuated, self.now);
        self.engine.zones_confirmed(self.now);
    }

    /// Evacuates a zone.
    pub fn evacuate(&mut self, zone: &str) {
        let zone: id::Zone = zone.parse().expect("valid");
        self.evacuated.insert(zone.clone());
        self.engine.evacuate_zone(zone, self.now);
        self.collect();
    }

    /// Ends the evacuation of a zone.
    pub fn take_back(&mut self, zone: &str) {
        let zone: id::Zone = zone.parse().expect("valid");
        self.evacuated.remove(&zone);
        self.engine.return_zone(&zone, self.now);
        self.collect();
    }

    pub fn list_workers(&mut self) {
        let listed = self.workers.values().filter(|worker| worker.is_up);
        let listed = listed.map(|worker| worker.listed.clone()).collect();
        self.engine.workers_listed(listed, self.now);
        self.engine.list_confirmed(self.now);
        self.collect();
    }

    /// Sends a request. The answer appears in [`Harness::answers`].
    pub fn request(&mut self, queue: &str, job: &str, verb: Verb) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let path = format!("/{queue}/{job}").into();
        let request = Request::new(HOST.into(), path, verb);
        if let Some(answer) = self.engine.request(ticket, request, self.now, self.wall_ms) {
            self.answers.insert(ticket, answer);
        }
        self.collect();
        ticket
    }

    pub fn submit(&mut self, queue: &str, job: &str, spec: Spec) -> Ticket {
        self.request(queue, job, Verb::Submit(Box::new(spec)))
    }

    /// Returns the answer to a request that needs no commit.
    pub fn show(&mut self, queue: &str, job: &str) -> Answer {
        let ticket = self.request(queue, job, Verb::Show);
        self.answers.remove(&ticket).expect("answered at once")
    }

    /// Advances the clocks of the owner and the workers.
    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.wall_ms += time.as_millis() as u64;
        if self.is_list_followed {
            self.engine.list_confirmed(self.now);
        }
        if self.are_zones_followed {
            self.engine.zones_confirmed(self.now);
        }
        for worker in self.workers.values_mut() {
            worker.advance(time);
        }
    }

    /// Ticks the engine and returns the next batch without storing it.
    pub fn take_batch(&mut self) -> Option<Batch> {
        self.engine.tick(self.now, self.wall_ms);
        let batch = self.engine.take_batch(self.now);
        self.collect();
        batch
    }

    /// Stores a batch.
    pub fn store(&mut self, batch: &Batch) {
        let bytes = batch.value.len() as u64;
        assert!(bytes <= self.bounds.value_max().get(), "the store refuses {bytes} bytes");
        if !batch.value.is_empty() {
            self.log.insert(batch.sequence, batch.value.clone());
        }
        for sequence in &batch.deletes {
            self.log.remove(sequence);
        }
        self.engine.committed(batch, self.now);
        self.collect();
    }

    /// Stores all batches that are due.
    pub fn commit(&mut self) {
        self.stored_time = self.handover.clock.time(self.now);
        for _ in 0..COMMITS_MAX {
            let Some(batch) = self.take_batch() else { return };
            self.store(&batch);
        }
        panic!("each commit leads to another one");
    }

    /// Fetches the actions of the engine.
    pub fn collect(&mut self) {
        for action in self.engine.actions() {
            match action {
                Action::Answer(ticket, answer) => {
                    self.answers.insert(ticket, answer);
                }
                Action::Start(target, start) => self.starts.push((target, start)),
                Action::Stop(target, stop) => self.stops.push((target, stop)),
                Action::Advise(step, workers, timeout) => {
                    self.advice_requests.push((step, workers));
                    self.advice_timeouts.push(timeout);
                }
                Action::Log(event) => self.events.push(event),
                Action::SetSpeed(target, speed) => self.speeds.push((target, speed)),
                Action::Poll(id) => {
                    self.extra_polls.insert(id);
                }
                Action::StartPolling(_) | Action::CheckOwnership(..) => {}
            }
        }
    }

    /// Polls one worker.
    pub fn poll(&mut self, id: &id::Worker) {
        let Some((target, poll)) = self.engine.poll(id, self.now) else { return };
        let result = match self.workers.get_mut(id) {
            Some(worker) if worker.is_refused => Err(Failure::NoListener),
            Some(worker) if worker.is_up && !worker.is_isolated => worker.poll(&target, &poll),
            _ => Err(Failure::Unanswered("no answer".into())),
        };
        self.engine.poll_answered(&target, &poll, self.now, result, self.now);
        self.collect();
    }

    pub fn poll_all(&mut self) {
        let ids: Vec<id::Worker> = self.workers.keys().cloned().collect();
        for id in ids {
            self.poll(&id);
        }
    }

    /// Delivers all pending orders.
    pub fn deliver(&mut self) {
        while !self.starts.is_empty() || !self.stops.is_empty() || !self.speeds.is_empty() {
            for (target, start) in std::mem::take(&mut self.starts) {
                let result = self.call(&target, |worker| worker.start(&target, &start));
                self.engine.start_answered(&target, &start, result, self.now);
            }
            for (target, stop) in std::mem::take(&mut self.stops) {
                let result = self.call(&target, |worker| worker.stop(&target, &stop));
                self.engine.stop_answered(&target, &stop, result, self.now);
            }
            for (target, speed) in std::mem::take(&mut self.speeds) {
                if self.call(&target, |worker| worker.set_speed(&target, &speed)).is_err() {
                    self.engine.speed_failed(&target, speed.task);
                }
            }
            self.collect();
        }
    }

    fn call<Call>(&mut self, target: &Target, call: Call) -> Result<(), Failure>
    where
        Call: FnOnce(&mut Worker) -> Result<(), Failure>,
    {
        match self.workers.get_mut(&target.worker) {
            Some(worker) if worker.is_refused => Err(Failure::NoListener),
            Some(worker) if worker.is_up && !worker.is_isolated => call(worker),
            _ => Err(Failure::Unanswered("no answer".into())),
        }
    }

    /// Runs one round: commits, delivers orders and polls all workers.
    pub fn round(&mut self) {
        self.commit();
        self.deliver();
        self.poll_all();
        self.commit();
        self.deliver();
    }

    /// Runs rounds of 100 ms for `time`.
    pub fn run(&mut self, time: Duration) {
        let round = Duration::from_millis(100);
        let mut remaining = time;
        while !remaining.is_zero() {
            self.advance(round);
            self.round();
            remaining = remaining.saturating_sub(round);
        }
    }

    pub fn worker(&mut self, index: usize) -> &mut Worker {
        let id: id::Worker = format!("worker-{index}").parse().expect("valid");
        self.workers.get_mut(&id).expect("known")
    }

    /// Returns the tasks that run on any worker.
    pub fn running(&self) -> Vec<(id::Worker, knapweedgap_workload::task::Id)> {
        let mut running = Vec::new();
        for (id, worker) in &self.workers {
            running.extend(worker.runs.keys().map(|task| (id.clone(), *task)));
        }
        running
    }
}

/// Returns the limits of the tests.
pub fn bounds() -> bounds::Builder {
    Bounds::builder().retention(RETENTION).lease_max(worker::LEASE_MAX)
}
