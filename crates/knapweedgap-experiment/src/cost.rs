//! `cost`: measures memory, log size, replay time and report time of one engine.
//!
//! Memory is measured as the growth of the resident memory of the process, so each size needs a
//! separate process.

use std::time::{Duration, Instant};

use bpaf::{Parser, construct, long};
use knapweedgap_core::{id, rate, revision};
use knapweedgap_placement::command::Action;
use knapweedgap_placement::engine::{Engine, Owner};
use knapweedgap_placement::job::{BodyHash, Constraint, Priority, Spec};
use knapweedgap_placement::log::{Checkpoint, Entry};
use knapweedgap_placement::report::{Report, State, Task};
use knapweedgap_placement::settings::Settings;
use knapweedgap_placement::worker;
use serde::Serialize;

use crate::placement::case::resources;

/// Rounds of reports over which the time of one report is averaged.
const ROUNDS: u32 = 10;
/// Interval between rounds of reports, in virtual time.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Options of the command.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    workers: u32,
    tasks: u32,
    tasks_per_job: u32,
}

/// Returns the parser of the options.
pub fn options() -> impl Parser<Options> {
    let workers = long("workers").help("Workers of the partition").argument("N").fallback(200);
    let tasks = long("tasks").help("Running tasks of the partition").argument("N").fallback(1300);
    let tasks_per_job = long("tasks-per-job").help("Tasks of one job").argument("N").fallback(10);
    construct!(Options { workers, tasks, tasks_per_job })
}

/// Figures of one size. The field names are those of the JSON output.
#[derive(Debug, Serialize)]
struct Figures {
    workers: u32,
    tasks: u32,
    jobs: usize,
    running: usize,
    engine_kib: i64,
    entries: usize,
    log_bytes: usize,
    checkpoint_bytes: usize,
    replay_log_us: u128,
    replay_checkpoint_us: u128,
    report_ns: u128,
}

/// Runs the measurement and prints the figures as one line of JSON.
///
/// # Errors
///
/// Returns the error of encoding the log or the checkpoint, or of replaying it.
pub fn run(options: &Options) -> std::io::Result<()> {
    let before = resident_kib();
    let mut simulation = Simulation::new(options, false);
    let engine_kib = resident_kib() - before;
    let report_ns = simulation.time_reports();
    let (checkpoint, running) = (simulation.engine.checkpoint(), simulation.running());
    let jobs = checkpoint.state.jobs().len();
    drop(simulation);
    let simulation = Simulation::new(options, true);
    let mut log_bytes = 0;
    for entry in &simulation.entries {
        log_bytes += serde_json::to_vec(entry)?.len();
    }
    let text = serde_json::to_vec(&checkpoint)?;
    let begin = Instant::now();
    let replayed = Engine::replay(owner(), settings(), None, &simulation.entries, simulation.now);
    let replay_log_us = begin.elapsed().as_micros();
    replayed.map_err(std::io::Error::other)?;
    let begin = Instant::now();
    let decoded: Checkpoint = serde_json::from_slice(&text)?;
    let replayed = Engine::replay(owner(), settings(), Some(decoded), &[], simulation.now);
    let replay_checkpoint_us = begin.elapsed().as_micros();
    replayed.map_err(std::io::Error::other)?;
    let figures = Figures {
        workers: options.workers,
        tasks: options.tasks,
        jobs,
        running,
        engine_kib,
        entries: simulation.entries.len(),
        log_bytes,
        checkpoint_bytes: text.len(),
        replay_log_us,
        replay_checkpoint_us,
        report_ns,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

/// Engine with running tasks on a virtual clock.
#[derive(Debug)]
pub struct Simulation {
    /// Engine of the only partition.
    pub engine: Engine,
    /// Current virtual time.
    pub now: Instant,
    workers: Vec<worker::Spec>,
    entries: Vec<Entry>,
    keep_log: bool,
    clock: Duration,
}

impl Simulation {
    /// Creates an engine with workers and running tasks. `keep_log` keeps the entries of its log in
    /// memory.
    fn new(options: &Options, keep_log: bool) -> Simulation {
        let now = Instant::now();
        let workers: Vec<worker::Spec> = (0..options.workers).map(worker_spec).collect();
        let mut engine = Engine::new(owner(), settings(), now);
        engine.set_workers(workers.clone(), now);
        let (entries, clock) = (Vec::new(), Duration::ZERO);
        let mut simulation = Simulation { engine, now, workers, entries, keep_log, clock };
        simulation.report_all();
        let mut remaining = options.tasks;
        while remaining > 0 {
            let tasks = remaining.min(options.tasks_per_job.max(1));
            remaining -= tasks;
            let body = BodyHash::of(&remaining.to_le_bytes());
            // Refused jobs are visible as missing running tasks in the figures.
            let _ = simulation.engine.submit(job_spec(remaining, tasks), body, simulation.now);
            simulation.advance(Duration::from_millis(20));
            if remaining.is_multiple_of(1000) {
                simulation.report_all();
            }
        }
        for _ in 0..ROUNDS {
            simulation.report_all();
        }
        simulation
    }

    /// Creates an engine with workers and running tasks, in jobs of 10 tasks.
    pub fn with(workers: u32, tasks: u32) -> Simulation {
        Simulation::new(&Options { workers, tasks, tasks_per_job: 10 }, false)
    }

    /// Advances the virtual clock by `step`, with the ticks that are due. Commits are confirmed at
    /// once.
    pub fn advance(&mut self, step: Duration) {
        let end = self.now + step;
        self.apply_actions();
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.engine.tick(self.now);
            self.apply_actions();
        }
        self.now = end;
        self.engine.ownership_validated(end);
    }

    fn apply_actions(&mut self) {
        loop {
            let actions = self.engine.actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                let Action::Append(entry) = action else { continue };
                let sequence = entry.sequence;
                if self.keep_log {
                    self.entries.push(entry);
                }
                self.engine.committed(sequence, self.now);
            }
        }
    }

    /// Delivers one report of every worker and advances the virtual clock by one second.
    pub fn report_all(&mut self) {
        for report in self.reports() {
            self.engine.observe(&report, self.now);
            self.apply_actions();
        }
        self.advance(REPORT_INTERVAL);
    }

    /// Creates the reports of all workers, with every attempt running.
    fn reports(&mut self) -> Vec<Report> {
        self.clock += REPORT_INTERVAL;
        let state = self.engine.state();
        let reports = self.workers.iter().map(|worker| {
            let attempts = state.attempts(&worker.id).into_iter().flatten();
            let tasks = attempts.map(|(task, size)| Task {
                task: *task,
                attempt: id::Attempt::new(1),
                state: State::Running,
                checkpoint: None,
                usage: *size,
                share: rate::Share::FULL,
            });
            Report {
                worker: worker.id.clone(),
                incarnation: id::Incarnation::new(1),
                epoch: revision::Epoch::new(1),
                clock: self.clock,
                capacity: worker.capacity,
                tasks: tasks.collect(),
            }
        });
        reports.collect()
    }

    /// Returns the mean time in which the engine processes one report, in nanoseconds.
    fn time_reports(&mut self) -> u128 {
        let mut spent = Duration::ZERO;
        let mut count = 0_u128;
        for _ in 0..ROUNDS {
            let reports = self.reports();
            let begin = Instant::now();
            for report in &reports {
                self.engine.observe(report, self.now);
            }
            spent += begin.elapsed();
            count += reports.len() as u128;
            self.apply_actions();
            self.advance(REPORT_INTERVAL);
        }
        spent.as_nanos() / count.max(1)
    }

    fn running(&self) -> usize {
        let state = self.engine.state();
        let attempts = self.workers.iter().filter_map(|worker| state.attempts(&worker.id));
        attempts.map(std::collections::BTreeMap::len).sum()
    }
}

/// Creates a job of small tasks. `number` makes its key unique.
pub fn job_spec(number: u32, tasks: u32) -> Spec {
    Spec {
        team: "batch".parse().expect("a valid team"),
        key: format!("job-{number}").parse().expect("a valid key"),
        class: format!("class-{}", number % 10).parse().expect("a valid class"),
        priority: Priority::Normal,
        tasks,
        size: resources(1, 1),
        run_time: Duration::from_secs(600),
        retry_limit: 3,
        constraint: Constraint::default(),
        payload: "plan".to_owned(),
    }
}

fn worker_spec(number: u32) -> worker::Spec {
    worker::Spec {
        id: format!("w{number}").parse().expect("a valid worker"),
        zone: format!("z{}", number % 13).parse().expect("a valid zone"),
        rack: format!("r{}", number / 10).parse().expect("a valid rack"),
        capacity: resources(16, 60),
        reserved: resources(4, 15),
        // Workers with services accept few tasks without latency reports, so these have none.
        services: Vec::new(),
        leaving: false,
    }
}

fn owner() -> Owner {
    Owner { partition: id::Partition::new(0), epoch: revision::Epoch::new(1) }
}

fn settings() -> Settings {
    Settings::default()
}

fn resident_kib() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or_default()
}
