//! Tests of batch work under faults of owners, workers and the key-value service.
//!
//! Every test ends with the checker, which reads only the records of the workers and the outcomes
//! reported to submitters.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use knapweedgap_system_tests::checker::batch::{Kind, Outcome, Submission};
use knapweedgap_system_tests::cluster::{Cluster, Link, Signal};
use knapweedgap_system_tests::ledger::{
    Job, Ledger, PARTITIONS, key_in, largest_partition, owner_of,
};
use serde_json::json;

/// Lease of an attempt plus the drift bound and one second for the calls.
const LEASE_EXPIRY: Duration = Duration::from_millis(11_500);

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Guards against a former owner whose commands, delayed in transit or sent after its pause, start
/// or continue tasks that the next owner also runs, and against a submitter to whom "not run" is
/// reported for a job that the paused owner had received.
#[test]
fn a_paused_owner_causes_no_violation_after_a_takeover() {
    let mut cluster = Cluster::builder()
        .workers(12)
        .worker_proxies()
        .worker_arg("--checkpoint-ms=1000")
        .seed(11)
        .start();
    let mut ledger = Ledger::default();
    let (partition, workers) = largest_partition(&cluster);
    let owner = owner_of(&cluster, 0, partition);
    let other = (owner + 1) % 3;
    for worker in 0..12 {
        cluster.set_link_fault(Link::Worker(worker), json!({ "delay_ms": 150 }));
    }
    let long = Job::new(&key_in(partition, PARTITIONS, "long")).tasks(workers * 3).run_time("18s");
    ledger.accept(&cluster, other, &long);
    sleep_ms(2500);
    // The start commands of these tasks are still in transit when the owner is paused.
    let in_transit = Job::new(&key_in(partition, PARTITIONS, "crossing")).tasks(workers * 4);
    ledger.accept(&cluster, other, &in_transit);
    cluster.signal_entry(owner, Signal::Stop);
    // This submission is forwarded to the paused owner.
    let pending = Job::new(&key_in(partition, PARTITIONS, "held"));
    ledger.submit(&cluster, other, &pending);
    std::thread::sleep(LEASE_EXPIRY.saturating_sub(Duration::from_secs(8)));
    assert_ne!(owner_of(&cluster, other, partition), owner, "no entry took over the partition");
    cluster.signal_entry(owner, Signal::Continue);
    let after = Job::new(&key_in(partition, PARTITIONS, "after")).tasks(workers);
    ledger.accept(&cluster, other, &after);
    ledger.wait_finished(&cluster, other, Duration::from_secs(40));
    ledger.check(&cluster);
}

/// Guards against a replacement that starts while a disconnected worker still runs the task, and
/// against tasks that are lost or run twice when a worker restarts under its name at the same or
/// another address.
#[test]
fn disconnected_and_restarted_workers_run_no_task_twice() {
    let mut cluster = Cluster::builder()
        .workers(12)
        .worker_proxies()
        .worker_arg("--checkpoint-ms=1000")
        .seed(12)
        .start();
    let mut ledger = Ledger::default();
    ledger.reserve(&cluster, 0, 0, 4);
    sleep_ms(1500);
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "long");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(12).processor("2").run_time("14s"));
    }
    sleep_ms(1500);
    cluster.set_link_fault(Link::Worker(0), json!({ "stall": true }));
    let lines = ledger.history(&cluster).lines.clone();
    let busy = |index: &usize| {
        let name = &cluster.workers[*index].name;
        lines.iter().any(|line| line.worker.as_str() == name)
    };
    assert!(busy(&0), "the disconnected worker runs no task");
    // The first two other workers that run tasks are restarted, the second at another address.
    let busy: Vec<usize> = (1..12).filter(busy).take(2).collect();
    for worker in &busy {
        ledger.kill_worker(&mut cluster, *worker);
    }
    cluster.start_worker(busy[0]);
    cluster.workers[busy[1]].address.set_port(0);
    cluster.start_worker(busy[1]);
    let moved = cluster.workers[busy[1]].name.clone();
    let address = cluster.workers[busy[1]].address;
    cluster.change_inventory(json!({ "patch": { &moved: { "address": address } } }));
    std::thread::sleep(LEASE_EXPIRY + Duration::from_secs(2));
    cluster.set_link_fault(Link::Worker(0), json!({ "stall": false }));
    ledger.wait_finished(&cluster, 0, Duration::from_secs(40));
    ledger.check(&cluster);
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "after");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(200).run_time("200ms"));
    }
    ledger.wait_finished(&cluster, 0, Duration::from_secs(15));
    ledger.check(&cluster);
    let lines = &ledger.history(&cluster).lines;
    let runs = lines.iter().filter(|line| line.worker.as_str() == moved);
    let runs: BTreeSet<_> = runs.map(|line| line.incarnation).collect();
    assert_eq!(runs.len(), 2, "{moved} got no task at its new address");
}

/// Guards against a second completion of a task that completed within its lease while its worker was
/// disconnected, so that the owner did not receive the completion in time.
#[test]
fn a_task_that_completes_on_a_disconnected_worker_completes_once() {
    let cluster = Cluster::builder()
        .workers(12)
        .worker_proxies()
        .worker_arg("--checkpoint-ms=1000")
        .seed(12)
        .start();
    let mut ledger = Ledger::default();
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "long");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(12).processor("2").run_time("9s"));
    }
    sleep_ms(1500);
    cluster.set_link_fault(Link::Worker(0), json!({ "stall": true }));
    std::thread::sleep(LEASE_EXPIRY + Duration::from_secs(2));
    cluster.set_link_fault(Link::Worker(0), json!({ "stall": false }));
    ledger.wait_finished(&cluster, 0, Duration::from_secs(40));
    ledger.check(&cluster);
}

/// Guards against an evicted task that also completes, resumes twice, or resumes after its job was
/// cancelled, when the eviction is concurrent with the completion and the cancellation.
#[test]
fn an_eviction_is_concurrent_with_completion_and_cancellation() {
    const ROUNDS: u64 = 5;
    let mut random = fastrand::Rng::with_seed(13);
    let cluster = Cluster::builder().workers(12).worker_proxies().seed(13).start();
    let mut ledger = Ledger::default();
    ledger.reserve(&cluster, 0, 0, 1);
    for worker in 0..12 {
        cluster.set_link_fault(Link::Worker(worker), json!({ "jitter_ms": 60 }));
    }
    sleep_ms(1500);
    let (partition, workers) = largest_partition(&cluster);
    for round in 0..ROUNDS {
        let name = |text: &str| key_in(partition, PARTITIONS, &format!("{text}-{round}"));
        let low =
            |text: &str| Job::new(&name(text)).processor("7").run_time("1500ms").priority("low");
        let kept = low("kept").tasks(workers);
        let dropped = low("dropped").tasks(workers);
        ledger.accept(&cluster, 0, &kept);
        ledger.accept(&cluster, 1, &dropped);
        // Eviction, completion and cancellation fall within the same 300 ms.
        sleep_ms(1100 + random.u64(..300));
        let urgent = Job::new(&name("urgent")).tasks(workers).processor("6").priority("urgent");
        ledger.accept(&cluster, 2, &urgent);
        sleep_ms(random.u64(..120));
        ledger.cancel(&cluster, 1, &dropped);
        ledger.wait_finished(&cluster, 0, Duration::from_secs(20));
    }
    let lines = &ledger.history(&cluster).lines;
    let resumed = lines.iter().filter(|line| line.event == Kind::Start && line.attempt.get() > 1);
    let resumed = resumed.count();
    println!("{resumed} resumes");
    assert!(resumed > 0, "no evicted task resumed, so the resume was not tested");
    ledger.check(&cluster);
}

/// Guards against jobs that are accepted and lost, refused and run, or run twice, while the
/// key-value service is unavailable, slow, or loses answers to writes that took effect.
#[test]
fn submissions_during_store_faults_run_at_most_once() {
    let cluster = Cluster::builder().workers(12).seed(14).start();
    let mut ledger = Ledger::default();
    let operators: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.operator).collect();
    let stop = AtomicBool::new(false);
    let submissions: Vec<(Job, Submission)> = std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for thread in 0..6 {
            let operator = operators[thread % operators.len()];
            let stop = &stop;
            threads.push(scope.spawn(move || submit_until(stop, operator, thread)));
        }
        sleep_ms(1000);
        cluster.set_store_fault(json!({ "outage": true }));
        sleep_ms(30_000);
        cluster.set_store_fault(json!({ "outage": false, "delay_ms": 700 }));
        sleep_ms(6000);
        cluster.set_store_fault(json!({ "delay_ms": 0, "lose_answers": 0.4 }));
        sleep_ms(6000);
        // A stall that is longer than the call timeout leaves outcomes unknown.
        cluster.set_store_fault(json!({ "lose_answers": 0.0, "stall": true }));
        sleep_ms(9500);
        cluster.set_store_fault(json!({ "stall": false }));
        stop.store(true, Ordering::Relaxed);
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a submitter should not panic"))
            .collect()
    });
    let count = |outcome| submissions.iter().filter(|(_, one)| one.outcome == outcome).count();
    let (accepted, unknown) = (count(Outcome::Accepted), count(Outcome::Unknown));
    println!("accepted {accepted}, unknown {unknown}, not run {}", count(Outcome::NotRun));
    assert!(accepted > 0 && count(Outcome::NotRun) > 0 && unknown > 0, "a fault had no effect");
    for (job, submission) in submissions {
        ledger.record(submission);
        if submission.outcome == Outcome::Unknown {
            ledger.accept(&cluster, 0, &job);
        }
    }
    ledger.wait_finished(&cluster, 0, Duration::from_secs(30));
    // A job that was reported as not run may still start if the guarantee is violated.
    sleep_ms(2000);
    ledger.check(&cluster);
}

/// Submits jobs until `stop` is set and returns them with their outcomes.
fn submit_until(stop: &AtomicBool, operator: SocketAddr, thread: usize) -> Vec<(Job, Submission)> {
    const COUNT_MAX: usize = 200;
    let mut submissions = Vec::new();
    while !stop.load(Ordering::Relaxed) && submissions.len() < COUNT_MAX {
        let job = Job::new(&format!("job-{thread}-{}", submissions.len())).run_time("100ms");
        let submission = job.submit(operator);
        submissions.push((job, submission));
        sleep_ms(250);
    }
    submissions
}

/// Guards against tasks on the workers of a failed rack that are lost, or replaced while they may
/// still run.
#[test]
fn a_rack_of_workers_fails_at_once() {
    let mut cluster =
        Cluster::builder().workers(12).worker_arg("--checkpoint-ms=1000").seed(15).start();
    let mut ledger = Ledger::default();
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "long");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(8).run_time("6s"));
    }
    sleep_ms(2500);
    for worker in 0..6 {
        ledger.kill_worker(&mut cluster, worker);
    }
    std::thread::sleep(LEASE_EXPIRY);
    // All workers of a partition may be in the failed rack.
    for worker in 0..6 {
        cluster.start_worker(worker);
    }
    ledger.wait_finished(&cluster, 0, Duration::from_secs(30));
    ledger.check(&cluster);
}

/// Guards against partitions that remain without an owner, and jobs that are lost or run twice, when
/// several owners are killed at the same time.
#[test]
fn half_of_the_entries_fail_at_once() {
    let mut cluster = Cluster::builder()
        .entries(4)
        .workers(12)
        .worker_arg("--checkpoint-ms=1000")
        .seed(16)
        .start();
    let mut ledger = Ledger::default();
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "long");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(8).run_time("5s"));
        let key = key_in(partition, PARTITIONS, "short");
        ledger.accept(&cluster, 1, &Job::new(&key).tasks(20).run_time("100ms"));
    }
    cluster.signal_entry(2, Signal::Kill);
    cluster.signal_entry(3, Signal::Kill);
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "after");
        let job = Job::new(&key).tasks(4);
        if ledger.submit(&cluster, 0, &job) != Outcome::Accepted {
            ledger.accept(&cluster, 1, &job);
        }
    }
    ledger.wait_finished(&cluster, 1, Duration::from_secs(30));
    ledger.check(&cluster);
}
