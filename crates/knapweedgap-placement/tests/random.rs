//! Guards against violations of G1, G2 and G3 and against a replay that differs from the live state,
//! under random interleavings of reports, losses, restarts, cancellations, failed commits and
//! takeovers.
//!
//! The simulated workers only track which attempts run. They validate commands by the rules of the
//! worker protocol: epoch, incarnation, expiry and tombstones.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use knapweedgap_core::{id, rate, revision, size};
use knapweedgap_placement::command::{Action, Body, Command, Heartbeat, Outcome, Request};
use knapweedgap_placement::engine::{Engine, Phase};
use knapweedgap_placement::job::{BodyHash, Priority};
use knapweedgap_placement::log::{Checkpoint, Entry, Record};
use knapweedgap_placement::report::{Report, State, Task};
use knapweedgap_placement::settings::Settings;
use knapweedgap_placement::task::{self, Cause};
use proptest::prelude::*;
use support::{owner, resources, spec, worker, worker_id};

const WORKERS: u32 = 4;
const STEPS: usize = 400;

/// Protocol state of one worker.
struct Peer {
    incarnation: u64,
    disconnected: bool,
    epoch: u64,
    lease_until: Duration,
    clock_offset: Duration,
    /// Rate of the clock, in thousandths. The protocol allows a drift of 5 %.
    clock_rate_milli: u32,
    attempts: BTreeMap<(id::Task, u32), State>,
    refused: BTreeSet<(id::Task, u32)>,
}

impl Peer {
    fn clock(&self, elapsed: Duration) -> Duration {
        self.clock_offset + elapsed * self.clock_rate_milli / 1000
    }

    /// Stops running attempts after the lease has ended.
    fn expire(&mut self, elapsed: Duration) {
        if self.clock(elapsed) < self.lease_until {
            return;
        }
        for state in self.attempts.values_mut() {
            if *state == State::Running {
                *state = State::Stopped;
            }
        }
    }
}

struct Simulation {
    engine: Engine,
    /// Earlier owner that has not noticed the takeover.
    former_owner: Option<Engine>,
    settings: Settings,
    epoch: u64,
    start: std::time::Instant,
    now: std::time::Instant,
    rng: fastrand::Rng,
    peers: Vec<Peer>,
    entries: Vec<Entry>,
    stored: Option<Checkpoint>,
    delayed: Vec<Command>,
    jobs: Vec<id::Job>,
    completed: BTreeSet<id::Task>,
    /// Tasks with a published result.
    published: BTreeSet<id::Task>,
    store_available: bool,
    waiting: BTreeSet<Request>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let now = std::time::Instant::now();
        let settings = Settings::default();
        let mut engine = Engine::new(owner(1), settings.clone(), now);
        engine.set_workers((0..WORKERS).map(worker).collect(), now);
        let peer = |number: u32| Peer {
            incarnation: u64::from(number) + 100,
            disconnected: false,
            epoch: 0,
            lease_until: Duration::ZERO,
            clock_offset: Duration::from_secs(u64::from(number) * 1000),
            clock_rate_milli: 960 + 30 * number,
            attempts: BTreeMap::new(),
            refused: BTreeSet::new(),
        };
        Simulation {
            engine,
            former_owner: None,
            settings,
            epoch: 1,
            start: now,
            now,
            rng: fastrand::Rng::with_seed(seed),
            peers: (0..WORKERS).map(peer).collect(),
            entries: Vec::new(),
            stored: None,
            delayed: Vec::new(),
            jobs: Vec::new(),
            completed: BTreeSet::new(),
            published: BTreeSet::new(),
            store_available: true,
            waiting: BTreeSet::new(),
        }
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(1..400));
        let elapsed = self.elapsed();
        for peer in &mut self.peers {
            peer.expire(elapsed);
        }
        match self.rng.u32(0..100) {
            0..10 => self.submit(),
            10..13 => self.cancel(),
            13..16 => {
                let index = self.rng.usize(0..self.peers.len());
                self.peers[index].disconnected = !self.peers[index].disconnected;
            }
            16..18 => self.restart(),
            18..20 => self.store_available = !self.store_available,
            20 => self.take_over(),
            45..47 => self.stored = Some(self.engine.checkpoint()),
            21..25 => self.deliver_delayed(),
            25..45 => self.end_one_attempt(),
            _ => {}
        }
        for number in 0..WORKERS {
            if self.rng.u32(0..3) > 0 {
                self.heartbeat(number);
            }
        }
        if self.engine.next_wake().is_some_and(|at| at <= self.now) {
            self.engine.tick(self.now);
        }
        self.carry_out();
        self.run_former_owner();
        self.check_attempts();
    }

    fn submit(&mut self) {
        let number = self.jobs.len();
        let mut spec = spec(&format!("job-{number}"));
        spec.tasks = self.rng.u32(1..4);
        spec.size = resources(self.rng.u32(1..9), self.rng.u64(1..30));
        spec.retry_limit = self.rng.u32(0..3);
        spec.priority = match self.rng.u32(0..4) {
            0 => Priority::Urgent,
            1 => Priority::Normal,
            _ => Priority::Low,
        };
        let body = BodyHash::of(format!("{spec:?}").as_bytes());
        let job = spec.id();
        self.engine.submit(spec, body, self.now).expect("fits a worker");
        self.waiting.insert(Request::Submit(job));
        self.jobs.push(job);
    }

    fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let jobs: Vec<id::Job> =
            (0..3).map(|_| self.jobs[self.rng.usize(..self.jobs.len())]).collect();
        for job in self.engine.cancel(&jobs, self.now) {
            self.waiting.insert(Request::Cancel(job));
        }
    }

    fn restart(&mut self) {
        let index = self.rng.usize(0..self.peers.len());
        let peer = &mut self.peers[index];
        peer.incarnation += 1000;
        peer.attempts.clear();
        peer.refused.clear();
        peer.lease_until = Duration::ZERO;
    }

    /// Ends one running attempt with a random result.
    fn end_one_attempt(&mut self) {
        let index = self.rng.usize(0..self.peers.len());
        let choice = self.rng.u32(0..10);
        let peer = &mut self.peers[index];
        let running = peer.attempts.iter_mut().filter(|(_, state)| **state == State::Running);
        let mut running: Vec<_> = running.collect();
        if running.is_empty() {
            return;
        }
        let pick = self.rng.usize(0..running.len());
        let (key, state) = &mut running[pick];
        **state = match choice {
            0 => State::Failed(1),
            // The first worker fails about half of its tasks.
            2..6 if index == 0 => State::Failed(1),
            1 => State::OverMemory,
            _ => {
                self.completed.insert(key.0);
                State::Succeeded
            }
        };
    }

    fn heartbeat(&mut self, number: u32) {
        let index = usize::try_from(number).expect("small");
        if self.peers[index].disconnected {
            self.engine.worker_unreachable(&worker_id(number));
            return;
        }
        let heartbeat = self.engine.heartbeat(&worker_id(number), self.now);
        let Some(report) = self.answer(number, &heartbeat) else { return };
        self.engine.observe(&report, self.now);
    }

    /// Runs the earlier owner. It reaches every worker, but not the key-value service.
    fn run_former_owner(&mut self) {
        let Some(mut former_owner) = self.former_owner.take() else { return };
        for number in 0..WORKERS {
            let heartbeat = former_owner.heartbeat(&worker_id(number), self.now);
            let Some(report) = self.answer(number, &heartbeat) else { continue };
            former_owner.observe(&report, self.now);
        }
        former_owner.tick(self.now);
        for action in former_owner.actions() {
            match action {
                Action::Append(entry) => former_owner.commit_failed(entry.sequence, self.now),
                Action::Send(command) => self.deliver(&command, true),
                Action::Store(_) | Action::Answer(_) => {}
            }
        }
        self.former_owner = Some(former_owner);
    }

    /// Answers a heartbeat as a worker does; `None` if the worker refuses the epoch.
    fn answer(&mut self, number: u32, heartbeat: &Heartbeat) -> Option<Report> {
        let id = worker_id(number);
        let elapsed = self.elapsed();
        let peer = &mut self.peers[usize::try_from(number).expect("small")];
        if heartbeat.epoch.get() < peer.epoch {
            return None;
        }
        peer.epoch = heartbeat.epoch.get();
        if let Some(grant) = heartbeat.grant {
            peer.lease_until = peer.lease_until.max(grant.based_on + grant.lease);
        }
        let tasks = peer.attempts.iter().map(|((task, attempt), state)| Task {
            task: *task,
            attempt: id::Attempt::new(*attempt),
            state: *state,
            checkpoint: None,
            usage: resources(1, 1),
            share: rate::Share::FULL,
        });
        Some(Report {
            worker: id,
            incarnation: id::Incarnation::new(peer.incarnation),
            epoch: revision::Epoch::new(peer.epoch),
            clock: peer.clock(elapsed),
            capacity: resources(16, 60),
            tasks: tasks.collect(),
        })
    }

    fn deliver(&mut self, command: &Command, from_former_owner: bool) {
        let elapsed = self.elapsed();
        let number = usize::try_from(support::number(&command.worker)).expect("small");
        let peer = &mut self.peers[number];
        let refused = (peer.disconnected && !from_former_owner)
            || command.epoch.get() < peer.epoch
            || command.incarnation.get() != peer.incarnation;
        if refused {
            return;
        }
        peer.epoch = command.epoch.get();
        let clock = peer.clock(elapsed);
        let key = (command.task, command.attempt.get());
        match &command.body {
            Body::Start(start) => {
                let known = peer.attempts.contains_key(&key) || peer.refused.contains(&key);
                if known || clock >= start.expires {
                    return;
                }
                peer.lease_until = peer.lease_until.max(start.expires);
                peer.attempts.insert(key, State::Running);
            }
            Body::Stop { .. } => {
                peer.refused.insert(key);
                let state = peer.attempts.entry(key).or_insert(State::Stopped);
                if *state == State::Running {
                    *state = State::Stopped;
                }
            }
            Body::Publish => {
                peer.refused.insert(key);
                if peer.attempts.remove(&key) == Some(State::Succeeded) {
                    assert!(self.published.insert(key.0), "{} was published twice", key.0);
                }
            }
            Body::Forget => {
                peer.refused.insert(key);
                peer.attempts.remove(&key);
            }
            Body::Checkpoint | Body::Throttle(_) => {}
        }
    }

    fn deliver_delayed(&mut self) {
        for command in std::mem::take(&mut self.delayed) {
            self.deliver(&command, false);
        }
    }

    fn carry_out(&mut self) {
        if self.store_available {
            self.engine.ownership_validated(self.now);
        }
        loop {
            let actions = self.engine.actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Append(entry) if self.store_available => {
                        let sequence = entry.sequence;
                        self.entries.push(entry);
                        self.engine.committed(sequence, self.now);
                    }
                    Action::Append(entry) => self.engine.commit_failed(entry.sequence, self.now),
                    Action::Store(checkpoint) => self.stored = Some(*checkpoint),
                    Action::Answer(answer) => {
                        assert!(
                            self.waiting.remove(&answer.request),
                            "an answer without a waiting request"
                        );
                        if answer.outcome == Outcome::NotRun
                            && let Request::Submit(job) = answer.request
                        {
                            assert!(
                                self.engine.status(&job).is_none(),
                                "answered as not run, but recorded"
                            );
                        }
                    }
                    // One command in eight is lost, and one in eight arrives late.
                    Action::Send(command) => match self.rng.u32(0..8) {
                        0 => {}
                        1 => self.delayed.push(command),
                        _ => self.deliver(&command, false),
                    },
                }
            }
        }
    }

    /// Replaces the owner by one that replays the log.
    fn take_over(&mut self) {
        self.epoch += 1;
        let old = self.engine.state().clone();
        let engine = Engine::replay(
            owner(self.epoch),
            self.settings.clone(),
            round_trip(&self.stored),
            &round_trip(&self.entries),
            self.now,
        );
        self.former_owner =
            Some(std::mem::replace(&mut self.engine, engine.expect("the log replays")));
        for peer in &mut self.peers {
            peer.disconnected = self.rng.bool();
        }
        assert_eq!(*self.engine.state(), old, "the replay differs from the live state");
        self.engine.set_workers((0..WORKERS).map(worker).collect(), self.now);
        self.waiting.clear();
    }

    /// Checks G1 and G2 on the workers.
    fn check_attempts(&self) {
        let mut running: BTreeMap<id::Task, u32> = BTreeMap::new();
        for (number, peer) in self.peers.iter().enumerate() {
            for ((task, attempt), state) in &peer.attempts {
                if *state != State::Running {
                    continue;
                }
                let other = running.insert(*task, *attempt);
                assert!(other.is_none(), "G2: {task} runs twice: {attempt} and {other:?}");
            }
            let id = worker_id(u32::try_from(number).expect("small"));
            let committed = self.engine.state().committed(&id);
            assert!(resources(16, 60).fits(&committed), "G1: {committed} on {id}");
        }
    }

    /// Checks the guarantees on the log alone.
    fn check_log(&self) {
        let mut evictions: BTreeMap<id::Task, u32> = BTreeMap::new();
        let mut resumptions: BTreeMap<id::Task, u32> = BTreeMap::new();
        let mut finished: BTreeSet<id::Task> = BTreeSet::new();
        let mut last: BTreeMap<id::Task, u32> = BTreeMap::new();
        let mut committed: BTreeMap<id::Worker, BTreeMap<id::Task, size::Resources>> =
            BTreeMap::new();
        let mut sizes: BTreeMap<id::Job, size::Resources> = BTreeMap::new();
        for record in self.entries.iter().flat_map(|entry| &entry.records) {
            match record {
                Record::JobSubmitted { job, spec, .. } => {
                    assert!(sizes.insert(*job, spec.size).is_none(), "submitted twice");
                }
                Record::TaskPlaced { task, attempt, assignment } => {
                    let before = last.insert(*task, attempt.get()).unwrap_or_default();
                    assert_eq!(attempt.get(), before + 1, "G2: attempt of {task}");
                    assert!(!finished.contains(task), "placed after it finished");
                    let on = committed.entry(assignment.worker.clone()).or_default();
                    on.insert(*task, sizes[&task.job]);
                    let sum = on.values().fold(size::Resources::default(), |sum, one| sum + *one);
                    assert!(resources(16, 60).fits(&sum), "G1 in the log: {sum}");
                }
                Record::AttemptEnded { task, cause, .. } => {
                    committed.values_mut().for_each(|on| {
                        on.remove(task);
                    });
                    if *cause == Cause::Evicted {
                        *evictions.entry(*task).or_default() += 1;
                    }
                }
                Record::Resumed { task, .. } => *resumptions.entry(*task).or_default() += 1,
                Record::TaskFinished { task, outcome, .. } => {
                    let ran = self.completed.contains(task);
                    assert!(*outcome != task::Outcome::Succeeded || ran, "{task} never completed");
                    committed.values_mut().for_each(|on| {
                        on.remove(task);
                    });
                    assert!(finished.insert(*task), "G3: {task} finished twice");
                }
                _ => {}
            }
        }
        assert_eq!(evictions, resumptions, "G3: one resumption per eviction");
    }

    /// Removes every fault and runs until the tasks can finish.
    fn recover(&mut self) {
        self.store_available = true;
        self.former_owner = None;
        for peer in &mut self.peers {
            peer.disconnected = false;
        }
        for _ in 0..600 {
            self.now += Duration::from_millis(500);
            let elapsed = self.elapsed();
            for peer in &mut self.peers {
                peer.expire(elapsed);
                for ((task, _), state) in &mut peer.attempts {
                    if *state == State::Running && self.rng.bool() {
                        self.completed.insert(*task);
                        *state = State::Succeeded;
                    }
                }
            }
            for number in 0..WORKERS {
                self.heartbeat(number);
            }
            self.engine.tick(self.now);
            self.carry_out();
            self.deliver_delayed();
            self.check_attempts();
        }
    }

    fn check_all_finished(&self) {
        let explained = self.engine.explain(10, self.now);
        assert!(explained.is_empty(), "still waiting: {explained:?}");
        for status in self.engine.list(None, 10_000) {
            assert!(matches!(status.phase, Phase::Finished(_)), "{status:?}");
        }
        assert!(self.waiting.is_empty(), "never answered: {:?}", self.waiting);
        for (number, _) in self.peers.iter().enumerate() {
            let id = worker_id(u32::try_from(number).expect("small"));
            assert_eq!(self.engine.state().committed(&id), size::Resources::default());
        }
    }
}

/// Encodes and decodes a value in the stored format.
fn round_trip<Value>(value: &Value) -> Value
where
    Value: serde::Serialize + serde::de::DeserializeOwned,
{
    let text = serde_json::to_string(value).expect("encodes");
    serde_json::from_str(&text).expect("decodes")
}

fn run(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed);
    for _ in 0..STEPS {
        simulation.step();
    }
    simulation.recover();
    simulation.check_log();
    simulation.check_all_finished();
    simulation.take_over();
    simulation
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn no_interleaving_breaks_capacity_single_run_or_single_resumption(seed in any::<u64>()) {
        run(seed);
    }
}

#[test]
fn fixed_seeds_keep_invariants_and_cover_every_attempt_end() {
    let mut causes: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 0..64 {
        let simulation = run(seed);
        for record in simulation.entries.iter().flat_map(|entry| &entry.records) {
            if let Record::AttemptEnded { cause, .. } = record {
                *causes.entry(cause.to_string()).or_default() += 1;
            }
            if let Record::WorkerQuarantined { .. } = record {
                *causes.entry("quarantined".to_owned()).or_default() += 1;
            }
        }
    }
    println!("{causes:?}");
    // Evicted, failed, memory, stopped, restarted, lost, and quarantines.
    assert_eq!(causes.len(), 7, "{causes:?}");
}
