//! The age of the list of workers, from which the owner knows that a worker leaves.

mod support;

use std::time::Duration;

use knapweedgap_workload::event::Event;
use knapweedgap_workload::order::{Failure, Refusal};
use support::{Harness, spec, step};

/// Age at which the owner may not rely on the list any more.
const OUTDATED: Duration = Duration::from_secs(2);

/// Guards against starts on workers that have announced that they leave: the owner was too busy to
/// follow the list and placed on with what it had read seconds before.
#[test]
fn nothing_is_placed_by_an_outdated_list_of_workers() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.is_list_followed = false;
    harness.run(OUTDATED);
    harness.submit("batch", "00000000000000a1", spec(vec![step(1, 1, Duration::from_secs(1))]));
    harness.run(Duration::from_secs(1));
    assert!(harness.running().is_empty());
    let is_logged = |event: &Event| matches!(event, Event::List { is_outdated: true, .. });
    assert!(harness.events.iter().any(is_logged));

    harness.is_list_followed = true;
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 1);
}

/// Guards against the same fault while the placement is being stored.
#[test]
fn a_placement_is_not_sent_by_an_outdated_list_of_workers() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.submit("batch", "00000000000000a1", spec(vec![step(1, 1, Duration::from_secs(1))]));
    let batch = harness.take_batch().expect("the placement");
    harness.is_list_followed = false;
    harness.advance(OUTDATED);
    harness.store(&batch);
    assert!(harness.starts.is_empty());

    harness.is_list_followed = true;
    harness.poll_all();
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 1);
}

/// Guards against an older entry of the list that undoes what the worker itself has said.
#[test]
fn a_worker_that_has_reported_that_it_leaves_gets_no_start() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.worker(0).leaves_in = Some(Duration::from_secs(2));
    harness.poll_all();
    harness.list_workers();
    harness.submit("batch", "00000000000000a1", spec(vec![step(1, 1, Duration::from_secs(1))]));
    harness.run(Duration::from_millis(500));
    assert!(harness.running().is_empty());
}

/// Guards against an expired start that counts against its worker or is lost.
#[test]
fn a_start_that_was_not_sent_in_time_is_placed_again() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.submit("batch", "00000000000000a1", spec(vec![step(1, 1, Duration::from_secs(1))]));
    harness.commit();
    let (target, start) = harness.starts.pop().expect("a start");
    assert!(start.valid < OUTDATED);
    let result = Err(Failure::Refused(Refusal::Expired));
    harness.engine.start_answered(&target, &start, result, harness.now);
    harness.run(Duration::from_millis(200));
    assert_eq!(harness.running().len(), 1);
}
