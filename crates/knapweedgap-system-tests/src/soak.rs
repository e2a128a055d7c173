//! Randomized soak test: real processes under continuous load with overlapping faults.
//!
//! The schedule is a function of the seed. Every fault ends before the clients stop; then all
//! accepted work must finish, and the independent checkers verify the records.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use derive_more::Display;
use fastrand::Rng;
use serde_json::{Value, json};

use crate::checker::batch::{Cancellation, Outcome, Submission};
use crate::cluster::{Cluster, Link, Signal};
use crate::ledger::{Job, Ledger};

/// Numbers of entries, workers and runners of the installation.
const SIZE: (usize, usize, usize) = (4, 8, 4);
/// Number of faults of a schedule.
const FAULT_COUNT: usize = 14;
/// Time from the start of the clients within which all faults begin.
const BEGIN_WINDOW: Duration = Duration::from_secs(9);
/// Range of the duration of a fault, in milliseconds. The longest exceeds a lease and its drift.
const DURATION_MS: std::ops::Range<u64> = 200..12_000;
/// Time for which the clients run; every fault ends at least one second before.
const CLIENT_TIME: Duration = Duration::from_secs(22);
/// Number of threads that submit jobs.
const SUBMITTERS: usize = 3;
/// Pause of a submitter between two submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(300);
/// Longest graceful shutdown: drain notice, longest request and handover.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which all accepted work must finish after the last fault: leases of lost workers,
/// takeovers and the accumulated queue.
const FINISH_TIMEOUT: Duration = Duration::from_secs(90);

/// Fault that the schedule injects.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Fault {
    /// An entry is killed and restarted at the end of the fault.
    #[display("entry {_0} is killed")]
    EntryKilled(usize),
    /// An entry is shut down gracefully and restarted at the end of the fault.
    #[display("entry {_0} is shut down")]
    EntryStopped(usize),
    /// An entry is paused by a stop signal.
    #[display("entry {_0} is paused")]
    EntryPaused(usize),
    /// A worker is killed and restarted at the end of the fault.
    #[display("worker {_0} is killed")]
    WorkerKilled(usize),
    /// A worker is paused by a stop signal.
    #[display("worker {_0} is paused")]
    WorkerPaused(usize),
    /// A runner is killed and restarted at the end of the fault.
    #[display("runner {_0} is killed")]
    RunnerKilled(usize),
    /// The proxy of a link injects a fault.
    #[display("{_0:?} has {_1}")]
    Link(Link, Value),
    /// The key-value service injects a fault.
    #[display("the store has {_0}")]
    Store(Value),
    /// The VM list is unavailable.
    #[display("the VM list is unavailable")]
    Inventory,
}

/// Fault with its start and end as times since the start of the clients.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the type says what the fields are")]
pub struct Step {
    pub begin: Duration,
    pub end: Duration,
    pub fault: Fault,
}

/// Schedule of faults.
#[derive(Debug, Clone, PartialEq)]
#[expect(missing_docs, reason = "the seed needs no comment")]
pub struct Plan {
    pub seed: u64,
    /// Steps in the order in which they were drawn, not sorted by time.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Generates the schedule of a seed. Faults with the same target do not overlap.
    pub fn new(seed: u64) -> Plan {
        let mut random = Rng::with_seed(seed);
        let mut steps: Vec<Step> = Vec::new();
        while steps.len() < FAULT_COUNT {
            let begin = BEGIN_WINDOW.mul_f64(random.f64());
            let duration = Duration::from_millis(random.u64(DURATION_MS));
            let fault = random_fault(&mut random);
            let end = (begin + duration).min(CLIENT_TIME - Duration::from_secs(1));
            let target = target(&fault);
            let clash = |step: &Step| {
                self::target(&step.fault) == target && step.begin < end && begin < step.end
            };
            if !steps.iter().any(clash) {
                steps.push(Step { begin, end, fault });
            }
        }
        Plan { seed, steps }
    }

    /// Returns the starts (`true`) and ends (`false`) of all faults, ordered by time.
    fn events(&self) -> Vec<(Duration, bool, &Fault)> {
        let both = |step: &'_ Step| [(step.begin, true), (step.end, false)];
        let mut events: Vec<(Duration, bool, &Fault)> = Vec::new();
        for step in &self.steps {
            events.extend(both(step).map(|(at, begins)| (at, begins, &step.fault)));
        }
        events.sort_by_key(|(at, _, _)| *at);
        events
    }
}

fn random_fault(random: &mut Rng) -> Fault {
    let (entries, workers, runners) = SIZE;
    match random.u32(..16) {
        0..2 => Fault::EntryKilled(random.usize(..entries)),
        2 => Fault::EntryStopped(random.usize(..entries)),
        3..5 => Fault::EntryPaused(random.usize(..entries)),
        5 => Fault::WorkerKilled(random.usize(..workers)),
        6 => Fault::WorkerPaused(random.usize(..workers)),
        7 => Fault::RunnerKilled(random.usize(..runners)),
        8..10 => Fault::Link(Link::Worker(random.usize(..workers)), random_link_fault(random)),
        10 => Fault::Link(Link::Runner(random.usize(..runners)), random_link_fault(random)),
        11..13 => Fault::Link(Link::Store(random.usize(..entries)), random_link_fault(random)),
        13 => Fault::Link(Link::Inventory(random.usize(..entries)), random_link_fault(random)),
        14 => Fault::Store(random_store_fault(random)),
        _ => Fault::Inventory,
    }
}

fn random_link_fault(random: &mut Rng) -> Value {
    match random.u32(..5) {
        0 => json!({ "delay_ms": random.u64(50..400), "jitter_ms": 100 }),
        1 => json!({ "stall": true }),
        2 => json!({ "reset": true }),
        3 => json!({ "cut": "to_target" }),
        _ => json!({ "cut": "to_client" }),
    }
}

fn random_store_fault(random: &mut Rng) -> Value {
    match random.u32(..4) {
        0 => json!({ "outage": true }),
        1 => json!({ "delay_ms": random.u64(100..900) }),
        2 => json!({ "lose_answers": 0.3 }),
        _ => json!({ "stall": true }),
    }
}

/// Returns the process, link or service that a fault affects. Faults with the same target do not
/// overlap.
fn target(fault: &Fault) -> String {
    match fault {
        Fault::EntryKilled(index) | Fault::EntryStopped(index) | Fault::EntryPaused(index) => {
            format!("entry {index}")
        }
        Fault::WorkerKilled(index) | Fault::WorkerPaused(index) => format!("worker {index}"),
        Fault::RunnerKilled(index) => format!("runner {index}"),
        Fault::Link(link, _) => format!("{link:?}"),
        Fault::Store(_) => "store".to_owned(),
        Fault::Inventory => "inventory".to_owned(),
    }
}

fn inject(cluster: &mut Cluster, ledger: &mut Ledger, fault: &Fault) {
    match fault {
        Fault::EntryKilled(index) => cluster.signal_entry(*index, Signal::Kill),
        Fault::EntryStopped(index) => cluster.signal_entry(*index, Signal::Terminate),
        Fault::EntryPaused(index) => cluster.signal_entry(*index, Signal::Stop),
        Fault::WorkerKilled(index) => ledger.kill_worker(cluster, *index),
        Fault::WorkerPaused(index) => cluster.signal_worker(*index, Signal::Stop),
        Fault::RunnerKilled(index) => cluster.signal_runner(*index, Signal::Kill),
        Fault::Link(link, change) => cluster.set_link_fault(*link, change.clone()),
        Fault::Store(change) => cluster.set_store_fault(change.clone()),
        Fault::Inventory => cluster.set_inventory_outage(true),
    }
}

fn clear(cluster: &mut Cluster, fault: &Fault) {
    let no_link_fault =
        json!({ "delay_ms": 0, "jitter_ms": 0, "stall": false, "reset": false, "cut": "none" });
    let no_store_fault =
        json!({ "outage": false, "delay_ms": 0, "lose_answers": 0.0, "stall": false });
    match fault {
        Fault::EntryKilled(index) => cluster.start_entry(*index),
        Fault::EntryStopped(index) => {
            assert!(
                cluster.wait_entry(*index, STOP_TIMEOUT),
                "entry {index} reported an error at its shutdown"
            );
            cluster.start_entry(*index);
        }
        Fault::EntryPaused(index) => cluster.signal_entry(*index, Signal::Continue),
        Fault::WorkerKilled(index) => cluster.start_worker(*index),
        Fault::WorkerPaused(index) => cluster.signal_worker(*index, Signal::Continue),
        Fault::RunnerKilled(index) => cluster.start_runner(*index),
        Fault::Link(link, _) => cluster.set_link_fault(*link, no_link_fault),
        Fault::Store(_) => cluster.set_store_fault(no_store_fault),
        Fault::Inventory => cluster.set_inventory_outage(false),
    }
}

/// Runs the schedule of a seed and prints it beforehand.
///
/// # Panics
///
/// Panics if a guarantee is violated.
pub fn run(seed: u64) {
    let plan = Plan::new(seed);
    for step in &plan.steps {
        println!("seed {seed}: {:?} to {:?}: {}", step.begin, step.end, step.fault);
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
        for (at, begins, fault) in plan.events() {
            std::thread::sleep(at.saturating_sub(start.elapsed()));
            if begins {
                inject(&mut cluster, &mut ledger, fault);
            } else {
                clear(&mut cluster, fault);
            }
        }
        std::thread::sleep(CLIENT_TIME.saturating_sub(start.elapsed()));
        stop.store(true, Ordering::Relaxed);
        let ended =
            threads.into_iter().map(|thread| thread.join().expect("a submitter should not panic"));
        ended.collect::<Vec<Submitted>>()
    });
    cluster.wait_ready();
    let record = load.finish(FINISH_TIMEOUT);
    for Submitted { submissions, cancellations } in submitted {
        for (job, submission) in submissions {
            ledger.record(submission);
            if submission.outcome == Outcome::Unknown {
                submit_until_accepted(&cluster, &mut ledger, &job);
            }
        }
        cancellations.into_iter().for_each(|cancellation| ledger.record_cancellation(cancellation));
    }
    ledger.wait_finished(&cluster, 0, FINISH_TIMEOUT);
    // A job that was reported as not run may still start if the guarantee is violated.
    std::thread::sleep(Duration::from_secs(2));
    ledger.check(&cluster);
    let records = cluster.records(&[record]);
    println!("seed {seed}: outcomes of requests: {:?}", records.counts());
    let findings = records.check();
    assert!(findings.is_empty(), "{} findings, first: {}", findings.len(), findings[0]);
}

/// Repeats the submission of a job of unknown outcome until it is accepted. A repetition may fail
/// too, because owners of partitions may still change.
fn submit_until_accepted(cluster: &Cluster, ledger: &mut Ledger, job: &Job) {
    let end = Instant::now() + FINISH_TIMEOUT;
    while ledger.submit(cluster, 0, job) != Outcome::Accepted {
        assert!(Instant::now() < end, "{job:?} was not accepted after the faults ended");
        std::thread::sleep(SUBMIT_INTERVAL);
    }
}

/// Submissions and cancellations of one submitter.
#[derive(Debug, Default)]
struct Submitted {
    submissions: Vec<(Job, Submission)>,
    cancellations: Vec<Cancellation>,
}

/// Submits jobs to random entries until `stop` is set and cancels some of them through another
/// random entry.
fn submit(stop: &AtomicBool, operators: &[SocketAddr], seed: u64, thread: usize) -> Submitted {
    let mut random = Rng::with_seed(seed ^ ((thread as u64 + 1) << 32));
    let mut submitted = Submitted::default();
    while !stop.load(Ordering::Relaxed) {
        let job = Job::new(&format!("soak-{seed}-{thread}-{}", submitted.submissions.len()))
            .tasks(random.u32(1..5))
            .run_time(&format!("{}ms", random.u64(100..4_000)));
        let any = |random: &mut Rng| operators[random.usize(..operators.len())];
        let submission = job.submit(any(&mut random));
        if submission.outcome == Outcome::Accepted && random.u32(..8) == 0 {
            let cancellation = match job.cancel(any(&mut random)) {
                Some((_, confirmed)) => confirmed,
                // The cancellation may have taken effect at an unknown time.
                None => Some(Cancellation { job: job.id(), wall_us: u64::MAX }),
            };
            submitted.cancellations.extend(cancellation);
        }
        submitted.submissions.push((job, submission));
        std::thread::sleep(SUBMIT_INTERVAL);
    }
    submitted
}
