//! Randomized soak: real processes, clients that go on, and troubles that overlap.
//!
//! One seed gives one schedule. Every trouble ends before the clients stop; then everything that
//! was accepted must finish, and the independent checkers judge what clients and machines recorded.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use derive_more::Display;
use fastrand::Rng;
use serde_json::{Value, json};

use crate::checker::batch::{Answer, Cancelled, Told};
use crate::cluster::{Cluster, Link, Signal};
use crate::ledger::{Job, Ledger};

/// Size of an installation: entries, workers and runners.
const SIZE: (usize, usize, usize) = (4, 8, 4);
/// Troubles of one schedule.
const TROUBLES: usize = 14;
/// Time in which troubles begin.
const BEGIN_TIME: Duration = Duration::from_secs(9);
/// Shortest and longest trouble, in milliseconds. The longest exceeds a lease and its drift.
const LENGTH_MS: std::ops::Range<u64> = 200..12_000;
/// Time of the clients; every trouble ends before.
const CLIENT_TIME: Duration = Duration::from_secs(22);
/// Threads that submit jobs.
const SUBMITTERS: usize = 3;
/// Pause of a submitter.
const SUBMIT_PAUSE: Duration = Duration::from_millis(300);
/// Longest graceful shutdown: notice, longest request and handover.
const STOP_TIME: Duration = Duration::from_secs(20);
/// Time in which all accepted work must finish after the last trouble: leases of lost workers,
/// takeovers, and the queue that has built up.
const FINISH_TIME: Duration = Duration::from_secs(90);

/// What goes wrong.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Trouble {
    /// An entry is killed and started again.
    #[display("entry {_0} is killed")]
    EntryKilled(usize),
    /// An entry is told to stop and started again after it has ended.
    #[display("entry {_0} is told to stop")]
    EntryStopped(usize),
    /// An entry is paused.
    #[display("entry {_0} is paused")]
    EntryPaused(usize),
    /// A worker is killed and started again.
    #[display("worker {_0} is killed")]
    WorkerKilled(usize),
    /// A worker is paused.
    #[display("worker {_0} is paused")]
    WorkerPaused(usize),
    /// A runner is killed and started again.
    #[display("runner {_0} is killed")]
    RunnerKilled(usize),
    /// A link has a fault.
    #[display("{_0:?} has {_1}")]
    Link(Link, Value),
    /// The key-value service has a fault.
    #[display("the store has {_0}")]
    Store(Value),
    /// The VM list is not served.
    #[display("the VM list is away")]
    Inventory,
}

/// Trouble with its time from the start of the clients.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Begin.
    pub begin: Duration,
    /// End.
    pub end: Duration,
    /// What goes wrong.
    pub trouble: Trouble,
}

/// Schedule of one seed.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Seed.
    pub seed: u64,
    /// Troubles.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws the schedule of a seed. No two troubles of one process or link overlap.
    pub fn new(seed: u64) -> Plan {
        let mut random = Rng::with_seed(seed);
        let mut steps: Vec<Step> = Vec::new();
        while steps.len() < TROUBLES {
            let begin = BEGIN_TIME.mul_f64(random.f64());
            let length = Duration::from_millis(random.u64(LENGTH_MS));
            let trouble = draw(&mut random);
            let end = (begin + length).min(CLIENT_TIME - Duration::from_secs(1));
            let target = target(&trouble);
            let clash = |step: &Step| {
                self::target(&step.trouble) == target && step.begin < end && begin < step.end
            };
            if !steps.iter().any(clash) {
                steps.push(Step { begin, end, trouble });
            }
        }
        Plan { seed, steps }
    }

    /// Returns begins and ends in the order of their times.
    fn events(&self) -> Vec<(Duration, bool, &Trouble)> {
        let both = |step: &'_ Step| [(step.begin, true), (step.end, false)];
        let mut events: Vec<(Duration, bool, &Trouble)> = Vec::new();
        for step in &self.steps {
            events.extend(both(step).map(|(at, begins)| (at, begins, &step.trouble)));
        }
        events.sort_by_key(|(at, _, _)| *at);
        events
    }
}

fn draw(random: &mut Rng) -> Trouble {
    let (entries, workers, runners) = SIZE;
    match random.u32(..16) {
        0..2 => Trouble::EntryKilled(random.usize(..entries)),
        2 => Trouble::EntryStopped(random.usize(..entries)),
        3..5 => Trouble::EntryPaused(random.usize(..entries)),
        5 => Trouble::WorkerKilled(random.usize(..workers)),
        6 => Trouble::WorkerPaused(random.usize(..workers)),
        7 => Trouble::RunnerKilled(random.usize(..runners)),
        8..10 => Trouble::Link(Link::Worker(random.usize(..workers)), link_fault(random)),
        10 => Trouble::Link(Link::Runner(random.usize(..runners)), link_fault(random)),
        11..13 => Trouble::Link(Link::Store(random.usize(..entries)), link_fault(random)),
        13 => Trouble::Link(Link::Inventory(random.usize(..entries)), link_fault(random)),
        14 => Trouble::Store(store_fault(random)),
        _ => Trouble::Inventory,
    }
}

fn link_fault(random: &mut Rng) -> Value {
    match random.u32(..5) {
        0 => json!({ "delay_ms": random.u64(50..400), "jitter_ms": 100 }),
        1 => json!({ "stall": true }),
        2 => json!({ "reset": true }),
        3 => json!({ "cut": "to_target" }),
        _ => json!({ "cut": "to_client" }),
    }
}

fn store_fault(random: &mut Rng) -> Value {
    match random.u32(..4) {
        0 => json!({ "outage": true }),
        1 => json!({ "delay_ms": random.u64(100..900) }),
        2 => json!({ "lose_answers": 0.3 }),
        _ => json!({ "stall": true }),
    }
}

/// Returns what a trouble is about; two troubles about the same exclude each other.
fn target(trouble: &Trouble) -> String {
    match trouble {
        Trouble::EntryKilled(index)
        | Trouble::EntryStopped(index)
        | Trouble::EntryPaused(index) => format!("entry {index}"),
        Trouble::WorkerKilled(index) | Trouble::WorkerPaused(index) => format!("worker {index}"),
        Trouble::RunnerKilled(index) => format!("runner {index}"),
        Trouble::Link(link, _) => format!("{link:?}"),
        Trouble::Store(_) => "store".to_owned(),
        Trouble::Inventory => "inventory".to_owned(),
    }
}

fn begin(cluster: &mut Cluster, ledger: &mut Ledger, trouble: &Trouble) {
    match trouble {
        Trouble::EntryKilled(index) => cluster.signal_entry(*index, Signal::Kill),
        Trouble::EntryStopped(index) => cluster.signal_entry(*index, Signal::Terminate),
        Trouble::EntryPaused(index) => cluster.signal_entry(*index, Signal::Stop),
        Trouble::WorkerKilled(index) => ledger.kill_worker(cluster, *index),
        Trouble::WorkerPaused(index) => cluster.signal_worker(*index, Signal::Stop),
        Trouble::RunnerKilled(index) => cluster.signal_runner(*index, Signal::Kill),
        Trouble::Link(link, fault) => cluster.fault(*link, fault.clone()),
        Trouble::Store(fault) => cluster.store_fault(fault.clone()),
        Trouble::Inventory => cluster.inventory_outage(true),
    }
}

fn end(cluster: &mut Cluster, trouble: &Trouble) {
    let no_link_fault =
        json!({ "delay_ms": 0, "jitter_ms": 0, "stall": false, "reset": false, "cut": "none" });
    let no_store_fault =
        json!({ "outage": false, "delay_ms": 0, "lose_answers": 0.0, "stall": false });
    match trouble {
        Trouble::EntryKilled(index) => cluster.start_entry(*index),
        Trouble::EntryStopped(index) => {
            assert!(cluster.wait_entry(*index, STOP_TIME), "entry {index} failed to stop");
            cluster.start_entry(*index);
        }
        Trouble::EntryPaused(index) => cluster.signal_entry(*index, Signal::Continue),
        Trouble::WorkerKilled(index) => cluster.start_worker(*index),
        Trouble::WorkerPaused(index) => cluster.signal_worker(*index, Signal::Continue),
        Trouble::RunnerKilled(index) => cluster.start_runner(*index),
        Trouble::Link(link, _) => cluster.fault(*link, no_link_fault),
        Trouble::Store(_) => cluster.store_fault(no_store_fault),
        Trouble::Inventory => cluster.inventory_outage(false),
    }
}

/// Plays the schedule of a seed.
///
/// # Panics
///
/// When a promise is broken. The schedule is printed before.
pub fn play(seed: u64) {
    let plan = Plan::new(seed);
    for step in &plan.steps {
        println!("seed {seed}: {:?} to {:?}: {}", step.begin, step.end, step.trouble);
    }
    let (entries, workers, runners) = SIZE;
    let mut cluster = Cluster::builder()
        .entries(entries)
        .workers(workers)
        .runners(runners)
        .store_proxies()
        .inventory_proxies()
        .runner_proxies()
        .worker_proxies()
        .worker_arg("--checkpoint-ms=500")
        .seed(seed)
        .start();
    let mut ledger = Ledger::default();
    let load = cluster.load(&[
        "--rate=60",
        &format!("--seconds={}", CLIENT_TIME.as_secs()),
        "--count=100000",
        "--connections=12",
        "--non-idempotent=0.3",
        "--repeats=6",
        "--work-ms=40",
        &format!("--seed={seed}"),
    ]);
    let operators: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.operator).collect();
    let stop = AtomicBool::new(false);
    let submitted = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..SUBMITTERS)
            .map(|thread| {
                let (stop, operators) = (&stop, &operators);
                scope.spawn(move || submit(stop, operators, seed, thread))
            })
            .collect();
        let start = Instant::now();
        for (at, begins, trouble) in plan.events() {
            std::thread::sleep(at.saturating_sub(start.elapsed()));
            if begins {
                begin(&mut cluster, &mut ledger, trouble);
            } else {
                end(&mut cluster, trouble);
            }
        }
        std::thread::sleep(CLIENT_TIME.saturating_sub(start.elapsed()));
        stop.store(true, Ordering::Relaxed);
        let ended = threads.into_iter().map(|thread| thread.join().expect("a submitter ends"));
        ended.collect::<Vec<Submitted>>()
    });
    cluster.wait_ready();
    let record = load.finish(FINISH_TIME);
    for Submitted { told, cancelled } in submitted {
        for (job, told) in told {
            ledger.note(told);
            if told.answer == Answer::Unknown {
                repeat(&cluster, &mut ledger, &job);
            }
        }
        cancelled.into_iter().for_each(|cancelled| ledger.note_cancelled(cancelled));
    }
    ledger.wait_finished(&cluster, 0, FINISH_TIME);
    // What was refused gets time to run after all.
    std::thread::sleep(Duration::from_secs(2));
    ledger.judge(&cluster);
    let records = cluster.records(&[record]);
    println!("seed {seed}: callers were told {:?}", records.counts());
    let findings = records.judge();
    assert!(findings.is_empty(), "{} findings, first: {}", findings.len(), findings[0]);
}

/// Submits a job of unknown outcome until it is accepted: partitions may still change hands.
fn repeat(cluster: &Cluster, ledger: &mut Ledger, job: &Job) {
    let end = Instant::now() + FINISH_TIME;
    while ledger.submit(cluster, 0, job) != Answer::Accepted {
        assert!(Instant::now() < end, "{job:?} is not accepted after the troubles");
        std::thread::sleep(SUBMIT_PAUSE);
    }
}

/// What one submitter was told.
#[derive(Debug, Default)]
struct Submitted {
    told: Vec<(Job, Told)>,
    cancelled: Vec<Cancelled>,
}

/// Submits jobs to any entry, and cancels some through another.
fn submit(stop: &AtomicBool, operators: &[SocketAddr], seed: u64, thread: usize) -> Submitted {
    let mut random = Rng::with_seed(seed ^ ((thread as u64 + 1) << 32));
    let mut submitted = Submitted::default();
    while !stop.load(Ordering::Relaxed) {
        let job = Job::new(&format!("soak-{seed}-{thread}-{}", submitted.told.len()))
            .tasks(random.u32(1..5))
            .run(&format!("{}ms", random.u64(100..4_000)));
        let any = |random: &mut Rng| operators[random.usize(..operators.len())];
        let told = job.submit(any(&mut random));
        if told.answer == Answer::Accepted && random.u32(..8) == 0 {
            let cancelled = match job.cancel(any(&mut random)) {
                Some((_, confirmed)) => confirmed,
                // It may have been carried out, at an unknown time.
                None => Some(Cancelled { job: job.id(), wall_us: u64::MAX }),
            };
            submitted.cancelled.extend(cancelled);
        }
        submitted.told.push((job, told));
        std::thread::sleep(SUBMIT_PAUSE);
    }
    submitted
}
