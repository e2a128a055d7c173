//! Batch work while owners, workers and the key-value service fail.
//!
//! Every test ends with the checker, which reads only the records of the workers and what the
//! submitters were told.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use knapweedgap_system_tests::checker::batch::{Answer, Kind, Told};
use knapweedgap_system_tests::cluster::{Cluster, Link, Signal};
use knapweedgap_system_tests::ledger::{
    Job, Ledger, PARTITIONS, key_in, largest_partition, owner_of,
};
use serde_json::json;

/// Lease of an attempt plus the drift bound, and a second for the calls.
const PAST_LEASE: Duration = Duration::from_millis(11_500);

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Guards against a former owner whose commands, delayed on the way or sent after its pause, start
/// or keep tasks beside those of the next owner, and against a submitter who is told "not run"
/// about a job that the paused owner had received.
#[test]
fn a_paused_owner_does_no_harm_after_its_partition_was_taken() {
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
        cluster.fault(Link::Worker(worker), json!({ "delay_ms": 150 }));
    }
    let long = Job::new(&key_in(partition, PARTITIONS, "long")).tasks(workers * 3).run("18s");
    ledger.accept(&cluster, other, &long);
    sleep_ms(2500);
    // The starts of these tasks are still on their way when the owner is paused.
    let crossing = Job::new(&key_in(partition, PARTITIONS, "crossing")).tasks(workers * 4);
    ledger.accept(&cluster, other, &crossing);
    cluster.signal_entry(owner, Signal::Stop);
    // This call waits at the paused owner.
    let held = Job::new(&key_in(partition, PARTITIONS, "held"));
    ledger.submit(&cluster, other, &held);
    std::thread::sleep(PAST_LEASE.saturating_sub(Duration::from_secs(8)));
    assert_ne!(owner_of(&cluster, other, partition), owner, "nobody took the partition");
    cluster.signal_entry(owner, Signal::Continue);
    let after = Job::new(&key_in(partition, PARTITIONS, "after")).tasks(workers);
    ledger.accept(&cluster, other, &after);
    ledger.wait_finished(&cluster, other, Duration::from_secs(40));
    ledger.judge(&cluster);
}

/// Guards against a replacement that starts while the cut off worker still runs the task, and
/// against tasks that are lost or doubled when a worker returns under its name, also at another
/// address.
#[test]
fn a_cut_off_and_a_restarted_worker_run_no_task_twice() {
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
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(12).processor("2").run("14s"));
    }
    sleep_ms(1500);
    cluster.fault(Link::Worker(0), json!({ "stall": true }));
    let lines = ledger.evidence(&cluster).lines.clone();
    let busy = |index: &usize| {
        let name = &cluster.workers[*index].name;
        lines.iter().any(|line| line.worker.as_str() == name)
    };
    assert!(busy(&0), "the worker that is cut off runs no task");
    // The first two other workers that run tasks are replaced, the second at another address.
    let busy: Vec<usize> = (1..12).filter(busy).take(2).collect();
    for worker in &busy {
        ledger.kill_worker(&mut cluster, *worker);
    }
    cluster.start_worker(busy[0]);
    cluster.workers[busy[1]].address.set_port(0);
    cluster.start_worker(busy[1]);
    let moved = cluster.workers[busy[1]].name.clone();
    let address = cluster.workers[busy[1]].address;
    cluster.inventory_change(json!({ "patch": { &moved: { "address": address } } }));
    std::thread::sleep(PAST_LEASE + Duration::from_secs(2));
    cluster.fault(Link::Worker(0), json!({ "stall": false }));
    ledger.wait_finished(&cluster, 0, Duration::from_secs(40));
    ledger.judge(&cluster);
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "after");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(200).run("200ms"));
    }
    ledger.wait_finished(&cluster, 0, Duration::from_secs(15));
    ledger.judge(&cluster);
    let lines = &ledger.evidence(&cluster).lines;
    let runs = lines.iter().filter(|line| line.worker.as_str() == moved);
    let runs: BTreeSet<_> = runs.map(|line| line.incarnation).collect();
    assert_eq!(runs.len(), 2, "{moved} got no task at its new address");
}

/// Guards against a second run of a task that completed within its lease while its worker was cut
/// off, so that nobody heard of the completion in time.
#[test]
fn a_task_that_completes_on_a_cut_off_worker_completes_once() {
    let cluster = Cluster::builder()
        .workers(12)
        .worker_proxies()
        .worker_arg("--checkpoint-ms=1000")
        .seed(12)
        .start();
    let mut ledger = Ledger::default();
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "long");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(12).processor("2").run("9s"));
    }
    sleep_ms(1500);
    cluster.fault(Link::Worker(0), json!({ "stall": true }));
    std::thread::sleep(PAST_LEASE + Duration::from_secs(2));
    cluster.fault(Link::Worker(0), json!({ "stall": false }));
    ledger.wait_finished(&cluster, 0, Duration::from_secs(40));
    ledger.judge(&cluster);
}

/// Guards against an evicted task that is also completed, resumed twice, or resumed after its job
/// was cancelled, when the eviction crosses the completion and the cancellation.
#[test]
fn an_eviction_crosses_a_completion_and_a_cancellation() {
    const ROUNDS: u64 = 5;
    let mut random = fastrand::Rng::with_seed(13);
    let cluster = Cluster::builder().workers(12).worker_proxies().seed(13).start();
    let mut ledger = Ledger::default();
    ledger.reserve(&cluster, 0, 0, 1);
    for worker in 0..12 {
        cluster.fault(Link::Worker(worker), json!({ "jitter_ms": 60 }));
    }
    sleep_ms(1500);
    let (partition, workers) = largest_partition(&cluster);
    for round in 0..ROUNDS {
        let name = |text: &str| key_in(partition, PARTITIONS, &format!("{text}-{round}"));
        let low = |text: &str| Job::new(&name(text)).processor("7").run("1500ms").priority("low");
        let kept = low("kept").tasks(workers);
        let dropped = low("dropped").tasks(workers);
        ledger.accept(&cluster, 0, &kept);
        ledger.accept(&cluster, 1, &dropped);
        // Eviction, completion and cancellation meet within these 300 ms.
        sleep_ms(1100 + random.u64(..300));
        let urgent = Job::new(&name("urgent")).tasks(workers).processor("6").priority("urgent");
        ledger.accept(&cluster, 2, &urgent);
        sleep_ms(random.u64(..120));
        ledger.cancel(&cluster, 1, &dropped);
        ledger.wait_finished(&cluster, 0, Duration::from_secs(20));
    }
    let lines = &ledger.evidence(&cluster).lines;
    let resumed = lines.iter().filter(|line| line.event == Kind::Start && line.attempt.get() > 1);
    let resumed = resumed.count();
    println!("{resumed} resumes");
    assert!(resumed > 0, "no eviction took place, so nothing was crossed");
    ledger.judge(&cluster);
}

/// Guards against jobs that are accepted and lost, refused and run, or run twice, while the
/// key-value service is down, slow, or loses answers of writes that took effect.
#[test]
fn submissions_during_faults_of_the_store_run_once_or_not_at_all() {
    let cluster = Cluster::builder().workers(12).seed(14).start();
    let mut ledger = Ledger::default();
    let operators: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.operator).collect();
    let stop = AtomicBool::new(false);
    let told: Vec<(Job, Told)> = std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for thread in 0..6 {
            let operator = operators[thread % operators.len()];
            let stop = &stop;
            threads.push(scope.spawn(move || submit_until(stop, operator, thread)));
        }
        sleep_ms(1000);
        cluster.store_fault(json!({ "outage": true }));
        sleep_ms(30_000);
        cluster.store_fault(json!({ "outage": false, "delay_ms": 700 }));
        sleep_ms(6000);
        cluster.store_fault(json!({ "delay_ms": 0, "lose_answers": 0.4 }));
        sleep_ms(6000);
        // A stall longer than the time for a call leaves outcomes unknown.
        cluster.store_fault(json!({ "lose_answers": 0.0, "stall": true }));
        sleep_ms(9500);
        cluster.store_fault(json!({ "stall": false }));
        stop.store(true, Ordering::Relaxed);
        threads.into_iter().flat_map(|thread| thread.join().expect("a submitter ends")).collect()
    });
    let count = |answer| told.iter().filter(|(_, told)| told.answer == answer).count();
    let (accepted, unknown) = (count(Answer::Accepted), count(Answer::Unknown));
    println!("accepted {accepted}, unknown {unknown}, not run {}", count(Answer::NotRun));
    assert!(accepted > 0 && count(Answer::NotRun) > 0 && unknown > 0, "a fault had no effect");
    for (job, told) in told {
        ledger.note(told);
        if told.answer == Answer::Unknown {
            ledger.accept(&cluster, 0, &job);
        }
    }
    ledger.wait_finished(&cluster, 0, Duration::from_secs(30));
    // What was refused gets time to run after all.
    sleep_ms(2000);
    ledger.judge(&cluster);
}

fn submit_until(stop: &AtomicBool, operator: SocketAddr, thread: usize) -> Vec<(Job, Told)> {
    const COUNT_MAX: usize = 200;
    let mut told = Vec::new();
    while !stop.load(Ordering::Relaxed) && told.len() < COUNT_MAX {
        let job = Job::new(&format!("job-{thread}-{}", told.len())).run("100ms");
        let answer = job.submit(operator);
        told.push((job, answer));
        sleep_ms(250);
    }
    told
}

/// Guards against tasks of a lost rack that are lost, or replaced while they may still run.
#[test]
fn a_rack_of_workers_dies_at_once() {
    let mut cluster =
        Cluster::builder().workers(12).worker_arg("--checkpoint-ms=1000").seed(15).start();
    let mut ledger = Ledger::default();
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "long");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(8).run("6s"));
    }
    sleep_ms(2500);
    for worker in 0..6 {
        ledger.kill_worker(&mut cluster, worker);
    }
    std::thread::sleep(PAST_LEASE);
    // A partition may have had all its workers in the rack.
    for worker in 0..6 {
        cluster.start_worker(worker);
    }
    ledger.wait_finished(&cluster, 0, Duration::from_secs(30));
    ledger.judge(&cluster);
}

/// Guards against partitions without an owner, and jobs that are lost or doubled, when several
/// owners die at the same time.
#[test]
fn half_of_the_entries_die_at_once() {
    let mut cluster = Cluster::builder()
        .entries(4)
        .workers(12)
        .worker_arg("--checkpoint-ms=1000")
        .seed(16)
        .start();
    let mut ledger = Ledger::default();
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "long");
        ledger.accept(&cluster, 0, &Job::new(&key).tasks(8).run("5s"));
        let key = key_in(partition, PARTITIONS, "short");
        ledger.accept(&cluster, 1, &Job::new(&key).tasks(20).run("100ms"));
    }
    cluster.signal_entry(2, Signal::Kill);
    cluster.signal_entry(3, Signal::Kill);
    for partition in 0..PARTITIONS {
        let key = key_in(partition, PARTITIONS, "after");
        let job = Job::new(&key).tasks(4);
        if ledger.submit(&cluster, 0, &job) != Answer::Accepted {
            ledger.accept(&cluster, 1, &job);
        }
    }
    ledger.wait_finished(&cluster, 1, Duration::from_secs(30));
    ledger.judge(&cluster);
}
