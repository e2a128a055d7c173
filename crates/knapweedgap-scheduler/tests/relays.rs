//! Relays: instances that talk to workers for the owner of a fleet that is too large for it.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::bounds::Bounds;
use support::{Installation, wait};

/// Longer than a lease with its drift, after which a worker without contact would lose its runs.
const LEASE_PASSED: Duration = Duration::from_secs(6);

fn start_long_running(instances: usize) -> Installation {
    let installation = Installation::start_spread(instances);
    let submitted = installation.submit_long_running(0, 1, "00000000000000e1");
    assert_eq!(submitted, Some(Answer::Accepted));
    wait("the task runs", || installation.workers.state().worker_of_task().is_some());
    installation
}

/// Guards against an owner that talks to all workers itself while the other instances idle.
#[test]
fn relays_start_the_tasks_of_a_large_fleet() {
    let mut installation = Installation::start_spread(4);
    let owner = installation.owner().expect("an owner");
    for number in 0..6 {
        let job = format!("{:016x}", number + 1);
        assert_eq!(installation.submit(number % 4, 1, &job), Some(Answer::Accepted));
        installation.wait_completed((number + 1) % 4, 1, &job);
    }
    let state = installation.workers.state();
    let distinct: BTreeSet<_> = state.starts.iter().copied().collect();
    assert_eq!(state.starts.len(), distinct.len(), "a task was started twice");
    assert!(state.starters.iter().all(|starter| *starter != owner), "the owner sent a start");
    let limit = Bounds::builder().build().start_timeout();
    let is_limited = |valid: &Duration| !valid.is_zero() && *valid < limit;
    assert!(state.validities.iter().all(is_limited), "a start may be sent too late");
    drop(state);
    installation.stop_all();
}

/// Guards against a run that is given up because its relay can't reach the worker, while others
/// can.
#[test]
fn a_relay_that_can_not_reach_a_worker_is_bypassed() {
    let mut installation = start_long_running(4);
    let mut state = installation.workers.state();
    let (worker, relay) = (state.worker_of_task().expect("it runs"), state.starters[0]);
    state.unreachable.insert((relay, worker));
    drop(state);
    std::thread::sleep(LEASE_PASSED);
    let state = installation.workers.state();
    assert_eq!(state.starts.len(), 1, "the task was started again");
    let sends = |instance| state.grants.iter().filter(|(from, ..)| *from == instance).count() > 0;
    assert!((0..4).filter(|instance| *instance != relay).any(sends));
    drop(state);
    installation.stop_all();
}

/// Guards against orders and reports that cross zones although each zone has enough relays, also after
/// one of them has ended.
#[test]
fn relays_talk_to_the_workers_of_their_zones() {
    const ZONES: usize = 2;
    let mut installation = Installation::start_spread_over(ZONES, 8);
    let zone_of_worker = |worker: &id::Worker| {
        let number = worker.as_str().strip_prefix("worker-").and_then(|text| text.parse().ok());
        number.map(|number: usize| (number - 1) % ZONES)
    };
    let is_near = |installation: &Installation| {
        let state = installation.workers.state();
        let mut pollers = state.pollers.iter();
        pollers.len() == 4
            && pollers.all(|(worker, poller)| zone_of_worker(worker) == Some(poller % ZONES))
    };
    wait("each relay is in the zone of its workers", || is_near(&installation));
    let owner = installation.owner().expect("an owner");
    let pollers = installation.workers.state().pollers.clone();
    let relay = *pollers.values().find(|relay| **relay != owner).expect("a relay");
    installation.instances[relay].stop();
    let has_left = |installation: &Installation| {
        let state = installation.workers.state();
        state.pollers.values().all(|poller| *poller != relay)
    };
    wait("the workers of the relay have others", || {
        has_left(&installation) && is_near(&installation)
    });
    installation.stop_all();
}

/// Guards against runs that are given up, and work that waits, when a relay shuts down.
#[test]
fn a_planned_stop_of_a_relay_restarts_nothing() {
    let mut installation = start_long_running(4);
    let owner = installation.owner().expect("an owner");
    let relay = installation.workers.state().starters[0];
    assert_ne!(relay, owner);
    installation.instances[relay].request_stop();
    assert_eq!(installation.submit(owner, 1, "00000000000000e2"), Some(Answer::Accepted));
    installation.wait_completed(owner, 1, "00000000000000e2");
    std::thread::sleep(LEASE_PASSED);
    let state = installation.workers.state();
    assert_eq!(state.starts.len(), 3, "the task was started again");
    drop(state);
    installation.stop_all();
}

/// Guards against a new owner that has no relays, and against a run that a hand-over ends.
#[test]
fn a_new_owner_takes_the_relays_over() {
    let mut installation = start_long_running(4);
    let owner = installation.owner().expect("an owner");
    installation.instances[owner].stop();
    let other = (owner + 1) % 4;
    installation.wait_ready(other);
    assert_eq!(installation.submit(other, 1, "00000000000000e3"), Some(Answer::Accepted));
    installation.wait_completed(other, 1, "00000000000000e3");
    let next = installation.owner().expect("an owner");
    let state = installation.workers.state();
    assert_eq!(state.starts.len(), 3, "the task was started again");
    assert!(state.starters[1..].iter().all(|starter| *starter != next), "the owner sent a start");
    drop(state);
    installation.stop_all();
}
