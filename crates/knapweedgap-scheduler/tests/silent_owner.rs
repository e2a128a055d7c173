//! Owners that send nothing for a while, without a reset of their connections.

mod support;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use knapweedgap_workload::api::Answer;
use support::{Installation, wait};

const SEQUENCE: &str = "knapweedgap/lead/sequence";
/// Commit timeout that a steady owner states.
const SHORT_MS: u64 = 850;
/// Time within which a successor has to claim.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which the followers have lost the contact on the link.
const CONTACT_LOST_TIME: Duration = Duration::from_millis(850);
/// Time within which a successor serves.
const SERVING_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a claim after a disturbance. A successor would have claimed within it.
const OBSERVATION_TIME: Duration = Duration::from_millis(2_500);
/// Delay of a slow store.
const SLOW_STORE_MS: u64 = 300;

/// Returns the commit timeout that the owner has stored, in milliseconds.
fn stated_ms(installation: &Installation) -> Option<u64> {
    installation.read(SEQUENCE)?.split_once(' ')?.0.parse().ok()
}

/// Starts three instances and waits until the owner states the short commit timeout.
fn start_steady() -> (Installation, usize) {
    let installation = Installation::start(3);
    wait("the owner is steady", || stated_ms(&installation) == Some(SHORT_MS));
    let owner = installation.owner().expect("an owner");
    (installation, owner)
}

/// Guards against clients that are refused while a silent owner is still being waited for: its
/// connections are not reset, so nothing but the lack of frames and commits shows that it is gone.
#[test]
fn an_owner_that_falls_silent_is_replaced_in_time() {
    let (mut installation, owner) = start_steady();
    let paused_at = installation.instances[owner].pause.begin();
    wait("a claim", || installation.owner().is_some_and(|other| other != owner));
    let claimed_after = paused_at.elapsed();
    let successor = installation.owner().expect("an owner");
    let answered = Instant::now();
    wait("an answer", || {
        installation.submit(successor, 1, "00000000000000d1") == Some(Answer::Accepted)
    });
    let served_after = answered.elapsed();
    eprintln!("claimed after {claimed_after:?}, serving {served_after:?} later");
    installation.instances[owner].pause.end();
    assert!(claimed_after <= CLAIM_TIMEOUT, "claimed after {claimed_after:?}");
    installation.stop_all();
}

/// Guards against requests that are refused or end unknown, or use up their client's time at the
/// silent owner, although the successor can answer them in time.
#[test]
fn requests_wait_for_the_successor_of_a_silent_owner() {
    let (mut installation, owner) = start_steady();
    let paused_at = installation.instances[owner].pause.begin();
    std::thread::sleep(CONTACT_LOST_TIME.saturating_sub(paused_at.elapsed()));
    let answers = std::thread::scope(|scope| {
        let installation = &installation;
        let submit = |number| move || installation.submit(number, 1, &format!("{number:016x}"));
        let clients = [1, 2].map(|step| scope.spawn(submit((owner + step) % 3)));
        clients.map(|client| client.join().expect("no panic"))
    });
    let answered_after = paused_at.elapsed();
    installation.instances[owner].pause.end();
    assert_eq!(answers, [Some(Answer::Accepted), Some(Answer::Accepted)]);
    assert!(answered_after <= CLAIM_TIMEOUT + SERVING_TIMEOUT, "after {answered_after:?}");
    installation.stop_all();
}

/// Guards against an outcome that is unknown because the request was sent to a leader without contact.
#[test]
fn a_request_without_an_owner_is_refused_for_certain() {
    let (mut installation, owner) = start_steady();
    let paused_at = installation.instances[owner].pause.begin();
    for instance in &installation.instances {
        instance.store_closed.store(true, Ordering::Relaxed);
    }
    std::thread::sleep(CONTACT_LOST_TIME.saturating_sub(paused_at.elapsed()));
    let answer = installation.submit((owner + 1) % 3, 1, "00000000000000d2");
    installation.instances[owner].pause.end();
    assert!(matches!(answer, Some(Answer::Unavailable(_))), "{answer:?}");
    installation.stop_all();
}

/// Guards against the loss of an owner that was stopped for a second: after that it states the long
/// timeout.
#[test]
fn an_owner_that_is_paused_for_a_second_stays() {
    let (mut installation, owner) = start_steady();
    let paused_at = installation.instances[owner].pause.begin();
    std::thread::sleep(Duration::from_secs(1).saturating_sub(paused_at.elapsed()));
    installation.instances[owner].pause.end();
    wait("a long timeout", || stated_ms(&installation).is_some_and(|ms| ms > SHORT_MS));
    std::thread::sleep(OBSERVATION_TIME);
    assert_eq!(installation.owner(), Some(owner));
    installation.stop_all();
}

/// Guards against the loss of an owner whose store becomes slow.
#[test]
fn an_owner_with_a_slow_store_stays() {
    let (mut installation, owner) = start_steady();
    for instance in &installation.instances {
        instance.commit_delay_ms.store(SLOW_STORE_MS, Ordering::Relaxed);
        instance.read_delay_ms.store(SLOW_STORE_MS, Ordering::Relaxed);
    }
    wait("a long timeout", || stated_ms(&installation).is_some_and(|ms| ms > SHORT_MS));
    std::thread::sleep(OBSERVATION_TIME);
    assert_eq!(installation.owner(), Some(owner));
    installation.stop_all();
}

/// Guards against the loss of an owner when the store is away for all instances.
#[test]
fn an_owner_whose_store_is_away_for_two_seconds_stays() {
    let (mut installation, owner) = start_steady();
    for instance in &installation.instances {
        instance.store_closed.store(true, Ordering::Relaxed);
    }
    std::thread::sleep(Duration::from_secs(2));
    for instance in &installation.instances {
        instance.store_closed.store(false, Ordering::Relaxed);
    }
    wait("a long timeout", || stated_ms(&installation).is_some_and(|ms| ms > SHORT_MS));
    std::thread::sleep(OBSERVATION_TIME);
    assert_eq!(installation.owner(), Some(owner));
    installation.stop_all();
}
