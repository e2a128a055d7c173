//! Several instances on one store: clients see one scheduler, whichever instance owns the workload.

mod support;

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use knapweedgap_workload::api::Answer;
use support::{Installation, Late, wait};

/// Guards against requests that succeed only at the instance that owns the workload.
#[test]
fn every_instance_accepts_and_shows_jobs() {
    let mut installation = Installation::start(3);
    for number in 0..3 {
        let job = format!("{:016x}", number + 1);
        assert_eq!(installation.submit(number, 1, &job), Some(Answer::Accepted));
        installation.wait_completed((number + 1) % 3, 1, &job);
    }
    let starts = installation.workers.state().starts.clone();
    let distinct: BTreeSet<_> = starts.iter().collect();
    assert_eq!(starts.len(), distinct.len(), "a task was started twice");
    let owner = installation.owner().expect("an owner");
    let (status, metrics) = Installation::get(installation.instances[owner].metrics, "/metrics");
    assert_eq!(status, 200);
    assert!(metrics.contains("knapweedgap_commits_total"), "{metrics}");
    installation.stop_all();
}

/// Guards against a period without an owner after a planned stop: the owner releases the workload
/// and another instance claims it.
#[test]
fn a_planned_stop_hands_the_workload_over() {
    let mut installation = Installation::start(3);
    let owner = installation.owner().expect("an owner");
    assert_eq!(installation.submit(owner, 1, "00000000000000a1"), Some(Answer::Accepted));
    installation.instances[owner].stop();
    let other = (owner + 1) % 3;
    installation.wait_completed(other, 1, "00000000000000a1");
    assert_eq!(installation.submit(other, 1, "00000000000000a2"), Some(Answer::Accepted));
    assert_ne!(installation.owner(), Some(owner));
    installation.stop_all();
}

/// Guards against an owner that can't reach the store, yet keeps deciding by an old configuration
/// because the other instances are still in contact with it (trouble-1 of klt-voice).
#[test]
fn an_owner_without_the_store_is_replaced() {
    let mut installation = Installation::start(3);
    let owner = installation.owner().expect("an owner");
    let other = (owner + 1) % 3;
    installation.instances[owner].store_closed.store(true, Ordering::Relaxed);
    installation.put("operators/configuration", "2");
    wait("another owner", || installation.owner() != Some(owner));
    wait("the new configuration is applied", || {
        installation.submit(other, 2, "00000000000000b1") == Some(Answer::Accepted)
    });
    assert_eq!(installation.show(other, 1, "00000000000000b1"), Some(Answer::NoQueue));
    wait("the former owner forwards requests", || {
        installation.submit(owner, 2, "00000000000000b2") == Some(Answer::Accepted)
    });
    installation.stop_all();
}

/// Guards against jobs that are accepted and lost, and against a change of the owner, while no
/// instance can reach the store.
#[test]
fn jobs_are_refused_during_a_store_outage_and_accepted_after() {
    let mut installation = Installation::start(2);
    let owner = installation.owner().expect("an owner");
    for instance in &installation.instances {
        instance.store_closed.store(true, Ordering::Relaxed);
    }
    wait("new jobs are refused", || {
        let answer = installation.submit(owner, 1, "00000000000000c1");
        matches!(answer, Some(Answer::Unavailable(_) | Answer::Unknown(_)))
    });
    for instance in &installation.instances {
        instance.store_closed.store(false, Ordering::Relaxed);
    }
    wait("jobs are accepted again", || {
        installation.submit(1 - owner, 1, "00000000000000c2") == Some(Answer::Accepted)
    });
    assert_eq!(installation.owner(), Some(owner), "the owner changed during the outage");
    installation.stop_all();
}

/// Time within which a long-running task has to run again after its worker is gone.
const RESTART_MAX: Duration = Duration::from_secs(9);

/// Starts instances with two workers and a long-running task, and makes its worker unreachable.
fn start_with_a_gone_worker(instances: usize) -> Installation {
    let installation = Installation::start(instances);
    installation.put("workers/worker-2", "");
    let submitted = installation.submit_long_running(0, 1, "00000000000000d1");
    assert_eq!(submitted, Some(Answer::Accepted));
    wait("the task runs", || installation.workers.state().worker_of_task().is_some());
    // Let the owner poll both workers.
    std::thread::sleep(Duration::from_millis(500));
    let mut state = installation.workers.state();
    let gone = state.worker_of_task().expect("the task runs");
    state.gone.insert(gone);
    drop(state);
    installation
}

fn is_restarted(installation: &Installation) -> bool {
    let state = installation.workers.state();
    state.worker_of_task().is_some_and(|worker| !state.gone.contains(&worker))
}

/// Guards against a wait for the leases of earlier owners that starts anew with each planned stop.
#[test]
fn planned_stops_in_a_row_do_not_delay_the_tasks_of_a_gone_worker() {
    let mut installation = start_with_a_gone_worker(4);
    let gone_at = Instant::now();
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(1_500));
        let owner = installation.owner().expect("an owner");
        installation.instances[owner].request_stop();
    }
    wait("the task runs elsewhere", || is_restarted(&installation));
    let elapsed = gone_at.elapsed();
    assert!(elapsed <= RESTART_MAX, "restarted after {elapsed:?}");
    installation.stop_all();
}

/// Guards against waiting for the whole grace of an owner that has given up the workload: it was
/// cut off from the store, and its successor can reach it.
#[test]
fn a_replaced_owner_in_contact_does_not_delay_the_tasks_of_a_gone_worker() {
    let mut installation = start_with_a_gone_worker(3);
    let gone_at = Instant::now();
    let owner = installation.owner().expect("an owner");
    installation.instances[owner].store_closed.store(true, Ordering::Relaxed);
    wait("another owner", || installation.owner() != Some(owner));
    wait("the task runs elsewhere", || is_restarted(&installation));
    let elapsed = gone_at.elapsed();
    assert!(elapsed <= RESTART_MAX, "restarted after {elapsed:?}");
    installation.stop_all();
}

/// Guards against a claimant that learns late that its claim has succeeded, as after a freeze: it
/// has accepted the announcement of its successor, which then counts its term as ended, and begins
/// its own term nevertheless and renews leases.
#[test]
fn claimant_that_accepted_a_later_leader_grants_leases() {
    let mut installation = Installation::start(3);
    let owner = installation.owner().expect("an owner");
    let (late, next) = ((owner + 1) % 3, (owner + 2) % 3);
    installation.instances[next].store_closed.store(true, Ordering::Relaxed);
    installation.instances[late].commit_delay_ms.store(3_000, Ordering::Relaxed);
    let worker = "worker-1".parse().expect("valid");
    installation.workers.state().unreachable.insert((next, worker));
    installation.instances[owner].request_stop();
    wait("the late instance owns the workload", || installation.owner() == Some(late));
    installation.instances[next].store_closed.store(false, Ordering::Relaxed);
    wait("its successor owns the workload", || installation.owner() == Some(next));
    let replaced_at = Instant::now();
    // The announcement takes some milliseconds; its timeout is 800 ms.
    std::thread::sleep(Duration::from_millis(5_000));
    let state = installation.workers.state();
    let grants = state.grants.iter().filter(|(instance, ..)| *instance == late);
    let late_grants: Vec<Duration> = grants
        .filter_map(|(.., at)| at.checked_duration_since(replaced_at + Duration::from_secs(1)))
        .collect();
    drop(state);
    installation.stop_all();
    assert!(late_grants.is_empty(), "{} leases after the announcement", late_grants.len());
}

/// Guards against a wave of an earlier term that begins again: the VMs are listed, which lets their
/// evacuation begin, before the stored status of the wave is read.
#[test]
fn a_completed_wave_does_not_begin_again() {
    let mut installation = Installation::start(2);
    installation.put("waves/1", "Completed");
    installation.put("operators/waves/1", "");
    std::thread::sleep(Duration::from_secs(1));
    let lists = installation.vms.lists.load(Ordering::Relaxed);
    assert_eq!(lists, 0, "the VMs are listed for a completed wave");
    installation.put("operators/waves/2", "");
    wait("the VMs are listed for a new wave", || {
        installation.vms.lists.load(Ordering::Relaxed) > 0
    });
    installation.stop_all();
}

/// Guards against a wave that is shown as running after it is completed: a status without an answer of
/// the store is written late.
#[test]
fn a_late_status_does_not_replace_a_later_one() {
    let mut installation = Installation::start(1);
    let late = &installation.instances[0].late;
    *late.lock().expect("no panic") = Late::Next("waves/");
    installation.put("operators/waves/1", "");
    wait("the status is held", || matches!(*late.lock().expect("no panic"), Late::Held(_)));
    installation.vms.accepts_maintenance.store(true, Ordering::Relaxed);
    let status = || installation.read("waves/1");
    wait("the wave is completed", || status().as_deref() == Some("Completed"));
    assert!(installation.carry_out_late(0));
    assert_eq!(status().as_deref(), Some("Completed"));
    installation.stop_all();
}
