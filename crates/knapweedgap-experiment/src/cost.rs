//! `cost`: measures the memory, the log and the reports of one engine at one size.
//!
//! Memory is the growth of the resident memory of the process, so each size needs a run of its own.

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

/// Rounds of reports over which the time of one is averaged.
const ROUNDS: u32 = 10;
/// Pause between rounds in virtual time.
const ROUND: Duration = Duration::from_secs(1);

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

/// Figures of one size.
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

/// Runs the measurement and prints one line of JSON.
///
/// # Errors
///
/// Returns the error of encoding or of writing.
pub fn run(options: &Options) -> std::io::Result<()> {
    let before = resident_kib();
    let mut filled = Filled::new(options, false);
    let engine_kib = resident_kib() - before;
    let report_ns = filled.time_reports();
    let (checkpoint, running) = (filled.engine.checkpoint(), filled.running());
    let jobs = checkpoint.state.jobs().len();
    drop(filled);
    let filled = Filled::new(options, true);
    let mut log_bytes = 0;
    for entry in &filled.entries {
        log_bytes += serde_json::to_vec(entry)?.len();
    }
    let text = serde_json::to_vec(&checkpoint)?;
    let begin = Instant::now();
    let replayed = Engine::replay(owner(), settings(), None, &filled.entries, filled.now);
    let replay_log_us = begin.elapsed().as_micros();
    replayed.map_err(std::io::Error::other)?;
    let begin = Instant::now();
    let decoded: Checkpoint = serde_json::from_slice(&text)?;
    let replayed = Engine::replay(owner(), settings(), Some(decoded), &[], filled.now);
    let replay_checkpoint_us = begin.elapsed().as_micros();
    replayed.map_err(std::io::Error::other)?;
    let figures = Figures {
        workers: options.workers,
        tasks: options.tasks,
        jobs,
        running,
        engine_kib,
        entries: filled.entries.len(),
        log_bytes,
        checkpoint_bytes: text.len(),
        replay_log_us,
        replay_checkpoint_us,
        report_ns,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(())
}

/// Engine whose tasks run.
#[derive(Debug)]
pub struct Filled {
    /// Engine.
    pub engine: Engine,
    /// Virtual time.
    pub now: Instant,
    workers: Vec<worker::Spec>,
    entries: Vec<Entry>,
    keep: bool,
    clock: Duration,
}

impl Filled {
    /// Fills an engine; `keep` tells whether its log is kept.
    fn new(options: &Options, keep: bool) -> Filled {
        let now = Instant::now();
        let workers: Vec<worker::Spec> = (0..options.workers).map(spec_of_worker).collect();
        let mut engine = Engine::new(owner(), settings(), now);
        engine.set_workers(workers.clone(), now);
        let (entries, clock) = (Vec::new(), Duration::ZERO);
        let mut filled = Filled { engine, now, workers, entries, keep, clock };
        filled.report_all();
        let mut left = options.tasks;
        while left > 0 {
            let tasks = left.min(options.tasks_per_job.max(1));
            left -= tasks;
            let body = BodyHash::of(&left.to_le_bytes());
            // A refusal shows as missing tasks in the figures.
            let _ = filled.engine.submit(spec_of_job(left, tasks), body, filled.now);
            filled.advance(Duration::from_millis(20));
            if left.is_multiple_of(1000) {
                filled.report_all();
            }
        }
        for _ in 0..ROUNDS {
            filled.report_all();
        }
        filled
    }

    /// Returns an engine with workers and running tasks.
    pub fn with(workers: u32, tasks: u32) -> Filled {
        Filled::new(&Options { workers, tasks, tasks_per_job: 10 }, false)
    }

    /// Ticks the engine and confirms its commits for `step`.
    pub fn advance(&mut self, step: Duration) {
        let end = self.now + step;
        self.settle();
        while let Some(at) = self.engine.next_wake().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.engine.tick(self.now);
            self.settle();
        }
        self.now = end;
        self.engine.ownership_validated(end);
    }

    fn settle(&mut self) {
        loop {
            let actions = self.engine.actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                let Action::Append(entry) = action else { continue };
                let sequence = entry.sequence;
                if self.keep {
                    self.entries.push(entry);
                }
                self.engine.committed(sequence, self.now);
            }
        }
    }

    /// Lets every worker report and a second pass.
    pub fn report_all(&mut self) {
        for report in self.reports() {
            self.engine.observe(&report, self.now);
            self.settle();
        }
        self.advance(ROUND);
    }

    /// Builds the reports of all workers, with every attempt running.
    fn reports(&mut self) -> Vec<Report> {
        self.clock += ROUND;
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

    /// Returns the mean time of taking in one report, in nanoseconds.
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
            self.settle();
            self.advance(ROUND);
        }
        spent.as_nanos() / count.max(1)
    }

    fn running(&self) -> usize {
        let state = self.engine.state();
        let attempts = self.workers.iter().filter_map(|worker| state.attempts(&worker.id));
        attempts.map(std::collections::BTreeMap::len).sum()
    }
}

/// Returns a job of small tasks.
pub fn spec_of_job(number: u32, tasks: u32) -> Spec {
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

fn spec_of_worker(number: u32) -> worker::Spec {
    worker::Spec {
        id: format!("w{number}").parse().expect("a valid worker"),
        zone: format!("z{}", number % 13).parse().expect("a valid zone"),
        rack: format!("r{}", number / 10).parse().expect("a valid rack"),
        capacity: resources(16, 60),
        reserved: resources(4, 15),
        // Without latency reports, workers with services would take few tasks.
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
