//! Guards against an owner that takes its own delay for the silence of workers: it gave up runs on
//! sound workers, whose ends it had not heard, and started their tasks again (quiet-1 of
//! anbo-grid-large, small: TWICE 74 to 600).

mod support;

use std::time::{Duration, Instant};

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::observer::{Links, Observer};
use support::{Harness, spec, step};

const JOB: &str = "00000000000000a1";
/// Longer than a lease with its drift.
const STARVED: Duration = Duration::from_millis(5_500);
const PUNCTUAL: Duration = Duration::from_millis(20);

/// Returns an owner with a run that ends while the owner hears nothing.
fn starved() -> Harness {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.submit("urgent", JOB, spec(vec![step(1, 2, Duration::from_secs(1))]));
    harness.round();
    assert_eq!(harness.running().len(), 1);
    let part = Duration::from_millis(100);
    for _ in 0..STARVED.as_millis() / part.as_millis() {
        harness.advance(part);
    }
    harness
}

fn starts(harness: &Harness) -> usize {
    let started =
        |event: &&support::worker::Event| matches!(event, support::worker::Event::Started(..));
    harness.workers.values().map(|worker| worker.events.iter().filter(started).count()).sum()
}

#[test]
fn starved_owner_hears_its_workers_before_it_gives_runs_up() {
    let mut harness = starved();
    harness.engine.record_delay(STARVED, harness.now);
    // The first thing that a delayed process does may be a tick.
    harness.commit();
    harness.deliver();
    assert_eq!(starts(&harness), 1, "the task was started again");
    harness.poll_all();
    harness.commit();
    assert_eq!(
        harness.show("urgent", JOB),
        Answer::State(knapweedgap_workload::job::State::Completed)
    );
    assert_eq!(starts(&harness), 1);
}

/// Guards against a delay that holds the tasks of a lost worker for longer than it lasts.
#[test]
fn punctual_owner_gives_runs_up_when_their_lease_has_expired() {
    let mut harness = starved();
    let silent: Vec<_> = harness.workers.keys().cloned().collect();
    for id in silent {
        let Some(worker) = harness.workers.get_mut(&id) else { continue };
        worker.is_isolated = !worker.runs.is_empty() || worker.events.len() > 1;
    }
    harness.engine.record_delay(STARVED, harness.now);
    // The first poll after the delay may have renewed the lease without an answer.
    for _ in 0..60 {
        harness.advance(Duration::from_millis(100));
        harness.engine.record_delay(PUNCTUAL, harness.now);
        harness.round();
    }
    assert_eq!(starts(&harness), 2, "the task was not started elsewhere");
}

#[test]
fn overloaded_owner_refuses_new_jobs_and_says_when_to_return() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    let delay = Duration::from_millis(600);
    for _ in 0..4 {
        harness.engine.record_delay(delay, harness.now);
        harness.advance(delay);
        harness.round();
    }
    harness.engine.record_delay(delay, harness.now);
    let ticket = harness.submit("urgent", JOB, spec(vec![step(1, 2, Duration::from_secs(1))]));
    let answer = harness.answers.get(&ticket);
    let is_refused =
        matches!(answer, Some(Answer::Refused { retry_after, .. }) if *retry_after >= delay);
    assert!(is_refused, "{answer:?}");
    harness.engine.record_delay(PUNCTUAL, harness.now);
    let ticket = harness.submit("urgent", JOB, spec(vec![step(1, 2, Duration::from_secs(1))]));
    harness.commit();
    assert_eq!(harness.answers.get(&ticket), Some(&Answer::Accepted));
}

/// Guards against a single late timer that refuses jobs, and against a state that changes with every
/// sample.
#[test]
fn observer_has_hysteresis() {
    let now = Instant::now();
    let ms = Duration::from_millis;
    let mut observer = Observer::default();
    assert!(!observer.record(ms(200), now));
    assert!(observer.record(ms(300), now));
    assert!(!observer.record(ms(200), now + ms(50)));
    assert!(observer.is_delayed());
    assert_eq!(observer.refusal(now + ms(50)), None);
    assert!(observer.record(ms(100), now + ms(100)));
    assert!(!observer.is_delayed() && observer.is_deaf(now + ms(100)));
    assert!(!observer.is_deaf(now + ms(1_300)));
}

/// Guards against one slow instance that is taken for a slow link of the owner, and against a slow
/// round trip that is held against the owner for ever when the other instances end.
#[test]
fn fastest_round_trip_counts_while_instances_answer() {
    let start = Instant::now();
    let ms = Duration::from_millis;
    let mut links = Links::default();
    for at in (0..2_000).step_by(100) {
        links.record(ms(900), start + ms(at));
        links.record(ms(12), start + ms(at + 10));
    }
    assert_eq!(links.fastest(start + ms(2_000)), ms(12));
    for at in (2_000..4_500).step_by(100) {
        links.record(ms(600), start + ms(at));
    }
    assert_eq!(links.fastest(start + ms(4_500)), ms(600));
    assert_eq!(links.fastest(start + ms(9_000)), Duration::ZERO);
    links.record(ms(14), start + ms(9_500));
    assert_eq!(links.fastest(start + ms(9_500)), Duration::ZERO);
}
