//! Builders shared by the tests.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, rate, revision, size};
use knapweedgap_placement::command::{Action, Answer, Body, Command};
use knapweedgap_placement::engine::{Engine, Owner, Receipt};
use knapweedgap_placement::job::{BodyHash, Constraint, Priority, Spec};
use knapweedgap_placement::log::{Checkpoint, Entry};
use knapweedgap_placement::report::{Report, State, Task};
use knapweedgap_placement::settings::Settings;
use knapweedgap_placement::worker;

pub const GIB: u64 = 1 << 30;
pub const STEP: Duration = Duration::from_millis(200);

pub fn resources(cores: u32, gib: u64) -> size::Resources {
    size::Resources {
        processor: size::Processor::from_cores(cores),
        memory: size::Bytes::new(gib * GIB),
        accelerator: size::Accelerator::new(0),
    }
}

pub fn owner(epoch: u64) -> Owner {
    Owner { partition: id::Partition::new(3), epoch: revision::Epoch::new(epoch) }
}

pub fn spec(key: &str) -> Spec {
    Spec {
        team: "plans".parse().expect("valid"),
        key: key.parse().expect("valid"),
        class: "grind".parse().expect("valid"),
        priority: Priority::Normal,
        tasks: 1,
        size: resources(4, 8),
        run_time: Duration::from_secs(60),
        retry_limit: 0,
        constraint: Constraint::default(),
        payload: "plan".to_owned(),
    }
}

pub fn worker_id(number: u32) -> id::Worker {
    format!("w{number}").parse().expect("valid")
}

pub fn worker(number: u32) -> worker::Spec {
    worker::Spec {
        id: worker_id(number),
        zone: format!("z{}", number % 3).parse().expect("valid"),
        rack: format!("r{}", number % 6).parse().expect("valid"),
        capacity: resources(16, 60),
        reserved: resources(0, 0),
        services: Vec::new(),
        leaving: false,
    }
}

/// Drives an engine: commits every entry immediately and records the other actions.
pub struct Driver {
    pub engine: Engine,
    pub now: Instant,
    pub start: Instant,
    pub entries: Vec<Entry>,
    pub checkpoints: Vec<Checkpoint>,
    pub commands: Vec<Command>,
    pub answers: Vec<Answer>,
    pub epoch: u64,
    started: BTreeSet<(id::Task, id::Attempt)>,
}

impl Driver {
    pub fn new(workers: u32) -> Driver {
        Driver::with_settings(workers, Settings::default())
    }

    pub fn with_settings(workers: u32, settings: Settings) -> Driver {
        let now = Instant::now();
        let mut driver = Driver {
            engine: Engine::new(owner(1), settings, now),
            now,
            start: now,
            entries: Vec::new(),
            checkpoints: Vec::new(),
            commands: Vec::new(),
            answers: Vec::new(),
            epoch: 1,
            started: BTreeSet::new(),
        };
        driver.engine.set_workers((0..workers).map(worker).collect(), now);
        for number in 0..workers {
            driver.report(number, &[]);
        }
        driver
    }

    /// Advances the time by `step`, and carries out every action that becomes due.
    pub fn advance(&mut self, step: Duration) {
        let end = self.now + step;
        self.run_until_idle();
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.engine.ownership_validated(self.now);
            self.run_until_idle();
        }
        self.now = end;
        self.engine.ownership_validated(self.now);
        self.run_until_idle();
    }

    pub fn run_until_idle(&mut self) {
        for _ in 0..10_000 {
            let due = self.engine.next_wake().is_some_and(|at| at <= self.now);
            if due {
                self.engine.tick(self.now);
            }
            let actions = self.engine.actions();
            if actions.is_empty() && !due {
                return;
            }
            for action in actions {
                self.carry_out(action);
            }
        }
        panic!("the engine is not idle after 10000 rounds");
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Append(entry) => {
                let sequence = entry.sequence;
                self.entries.push(entry);
                self.engine.committed(sequence, self.now);
            }
            Action::Store(checkpoint) => self.checkpoints.push(*checkpoint),
            Action::Send(command) => self.commands.push(command),
            Action::Answer(answer) => self.answers.push(answer),
        }
    }

    pub fn submit(&mut self, spec: Spec) -> id::Job {
        let body = BodyHash::of(format!("{spec:?}").as_bytes());
        let receipt = self.engine.submit(spec, body, self.now).expect("accepted");
        self.advance(STEP);
        match receipt {
            Receipt::Recorded(job) | Receipt::Waiting(job) => job,
            Receipt::Delegated(to) => panic!("the job is delegated to partition {to}"),
        }
    }

    pub fn report_as(&mut self, number: u32, incarnation: u64, tasks: &[(id::Task, u32, State)]) {
        let report = self.build_report(number, incarnation, tasks);
        self.engine.observe(&report, self.now);
        self.run_until_idle();
    }

    pub fn report(&mut self, number: u32, tasks: &[(id::Task, u32, State)]) {
        self.report_as(number, 1, tasks);
    }

    pub fn build_report(
        &mut self,
        number: u32,
        incarnation: u64,
        tasks: &[(id::Task, u32, State)],
    ) -> Report {
        self.now += Duration::from_micros(10);
        let tasks = tasks.iter().map(|(task, attempt, state)| Task {
            task: *task,
            attempt: id::Attempt::new(*attempt),
            state: *state,
            checkpoint: None,
            usage: resources(1, 1),
            share: rate::Share::FULL,
        });
        Report {
            worker: worker_id(number),
            incarnation: id::Incarnation::new(incarnation),
            epoch: revision::Epoch::new(self.epoch),
            clock: self.now - self.start,
            capacity: resources(16, 60),
            tasks: tasks.collect(),
        }
    }

    /// Returns and clears the commands sent since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Clears the commands sent since the last call and returns the first start of each attempt.
    pub fn starts(&mut self) -> Vec<Command> {
        let mut starts = Vec::new();
        for command in self.take_commands() {
            if !matches!(command.body, Body::Start(_)) {
                continue;
            }
            if self.started.insert((command.task, command.attempt)) {
                starts.push(command);
            }
        }
        starts
    }
}

/// Returns the number in the id of a worker built by [`worker`].
pub fn number(worker: &id::Worker) -> u32 {
    worker.as_str()[1..].parse().expect("a test worker")
}
