//! Measures the recovery times of batch work and the propagation time of settings for several seeds
//! and prints a table. The arguments are the seeds; the default is 1 to 5.

use std::time::{Duration, Instant};

use knapweedgap_system_tests::checker::batch::{self, Kind, Line};
use knapweedgap_system_tests::cluster::Signal;
use knapweedgap_system_tests::cluster::{Cluster, wall_us};
use knapweedgap_system_tests::ledger::{
    Job, Ledger, PARTITIONS, key_in, largest_partition, owner_of,
};

/// Longest wait for each measured event.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which the calls of an idle installation are counted.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// Total calls and bytes at the key-value service.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    calls: u64,
    bytes: u64,
}

fn usage(cluster: &Cluster) -> Usage {
    let stats = cluster.store_stats();
    let mut usage = Usage::default();
    for count in stats["calls"].as_object().into_iter().flat_map(|calls| calls.values()) {
        let number = |name: &str| count[name].as_u64().unwrap_or_default();
        usage.calls += number("count");
        usage.bytes += number("received_bytes") + number("sent_bytes");
    }
    usage
}

fn print_row(seed: u64, measure: &str, elapsed_ms: u64, cluster: &Cluster, before: Usage) {
    let after = usage(cluster);
    let (calls, bytes) = (after.calls - before.calls, after.bytes - before.bytes);
    println!("| {seed} | {measure} | {elapsed_ms} | {calls} | {bytes} |");
}

fn read_lines(cluster: &Cluster) -> Vec<Line> {
    batch::read(cluster.worker_records()).unwrap_or_default()
}

/// Waits until an attempt for which `matches` returns `true` has started. Returns the time from
/// `since_us` to the first such start, in milliseconds.
fn wait_start(cluster: &Cluster, since_us: u64, matches: impl Fn(&Line) -> bool) -> u64 {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let lines = read_lines(cluster);
        let starts = lines.iter().filter(|line| line.event == Kind::Start && matches(line));
        if let Some(first) = starts.map(|line| line.wall_us).min() {
            return first.saturating_sub(since_us) / 1000;
        }
        assert!(Instant::now() < deadline, "no start within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn measure_settings(seed: u64, cluster: &Cluster) {
    let before = usage(cluster);
    let value = format!("{}s", 3 + seed).into();
    let answer = cluster.change_setting(0, "services/dispatch", "request_deadline", value);
    let answer = answer.expect("entry 0 should answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    let accepted = Instant::now();
    for entry in 0..cluster.entries.len() {
        cluster.wait_until("the change is in force", TIMEOUT, || {
            let shown = cluster.call_operator(entry, "GET", "/v1/settings", None);
            shown.is_ok_and(|shown| shown.body["revision"] == answer.body["revision"])
        });
    }
    let elapsed_ms = u64::try_from(accepted.elapsed().as_millis()).unwrap_or(u64::MAX);
    print_row(seed, "settings change in force everywhere", elapsed_ms, cluster, before);
}

fn measure_urgent_start(seed: u64, cluster: &Cluster, ledger: &mut Ledger, partition: u32) {
    let before = usage(cluster);
    let key = key_in(partition, PARTITIONS, "urgent");
    let job = Job::new(&key).priority("urgent");
    let since_us = wall_us();
    ledger.accept(cluster, 1, &job);
    let elapsed_ms = wait_start(cluster, since_us, |line| line.task.job == job.id());
    print_row(seed, "urgent work, ordinary case", elapsed_ms, cluster, before);
}

fn measure_worker_loss(seed: u64, cluster: &mut Cluster, ledger: &mut Ledger, partition: u32) {
    let job = Job::new(&key_in(partition, PARTITIONS, "long")).tasks(4).run_time("4s");
    ledger.accept(cluster, 0, &job);
    wait_start(cluster, 0, |line| line.task.job == job.id());
    std::thread::sleep(Duration::from_millis(1500));
    let lost = read_lines(cluster).into_iter().find(|line| line.task.job == job.id());
    let lost = lost.expect("the job should have started");
    let index = cluster.workers.iter().position(|worker| worker.name == lost.worker.as_str());
    let before = usage(cluster);
    let since_us = wall_us();
    ledger.kill_worker(cluster, index.expect("the worker should belong to the installation"));
    let elapsed_ms =
        wait_start(cluster, since_us, |line| line.task == lost.task && line.attempt > lost.attempt);
    print_row(seed, "worker lost, task resumed elsewhere", elapsed_ms, cluster, before);
}

fn measure_owner_loss(seed: u64, cluster: &mut Cluster, ledger: &mut Ledger, partition: u32) {
    // The job exceeds the capacity, so that tasks are always waiting to start.
    let backlog = Job::new(&key_in(partition, PARTITIONS, "backlog")).tasks(600).run_time("400ms");
    ledger.accept(cluster, 0, &backlog);
    wait_start(cluster, 0, |line| line.task.job == backlog.id());
    let owner = owner_of(cluster, 0, partition);
    let other = (owner + 1) % cluster.entries.len();
    let in_partition =
        |line: &&Line| line.task.job.primary_partition(PARTITIONS).get() == partition;
    let epoch = read_lines(cluster).iter().filter(in_partition).map(|line| line.epoch).max();
    let epoch = epoch.expect("the partition should have started tasks");
    let before = usage(cluster);
    let since_us = wall_us();
    cluster.signal_entry(owner, Signal::Kill);
    let urgent = Job::new(&key_in(partition, PARTITIONS, "after")).priority("urgent");
    ledger.accept(cluster, other, &urgent);
    let urgent_ms = wait_start(cluster, since_us, |line| line.task.job == urgent.id());
    let next_ms = wait_start(cluster, since_us, |line| {
        line.task.job.primary_partition(PARTITIONS).get() == partition && line.epoch > epoch
    });
    print_row(seed, "owner killed, next start in its partition", next_ms, cluster, before);
    print_row(seed, "owner killed, urgent work started", urgent_ms, cluster, before);
}

fn main() {
    let mut seeds: Vec<u64> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    if seeds.is_empty() {
        seeds = (1..=5).collect();
    }
    println!("| seed | measure | time (ms) | KV calls | KV bytes |");
    println!("|---|---|---|---|---|");
    for seed in seeds {
        let builder = Cluster::builder().workers(12).worker_arg("--checkpoint-ms=1000");
        let mut cluster = builder.seed(seed).start();
        let mut ledger = Ledger::default();
        let (partition, _) = largest_partition(&cluster);
        let before = usage(&cluster);
        std::thread::sleep(IDLE_TIME);
        print_row(seed, "nothing (idle)", 5000, &cluster, before);
        measure_settings(seed, &cluster);
        measure_urgent_start(seed, &cluster, &mut ledger, partition);
        measure_worker_loss(seed, &mut cluster, &mut ledger, partition);
        measure_owner_loss(seed, &mut cluster, &mut ledger, partition);
        // One entry was killed; another one is polled.
        let reader = usize::from(is_unreachable(&cluster, 0));
        ledger.wait_finished(&cluster, reader, TIMEOUT);
        ledger.check(&cluster);
    }
}

/// Returns `true` if an entry does not answer.
fn is_unreachable(cluster: &Cluster, entry: usize) -> bool {
    cluster.partitions(entry).is_err()
}
