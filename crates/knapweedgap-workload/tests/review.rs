//! Failing tests of the review of the bounds on leases across takeovers.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::job::Step;
use knapweedgap_workload::order::{Failure, Start, Target};
use support::{Harness, spec, step};

/// Time for which the workers have been up, so that an order for a former incarnation has a lease
/// end that is far ahead of the clock of the next one.
const UPTIME: Duration = Duration::from_secs(30);
/// Transit time of the late start, below the 6 s that the bounds assume.
const TRANSIT: Duration = Duration::from_millis(5_800);
/// Longest lease of the platform, after which a late run would have ended.
const AFTER: Duration = Duration::from_secs(6);

/// Returns an owner whose only start is in transit, and that start. Its worker is unreachable.
fn owner_with_a_start_in_transit() -> (Harness, Target, Start) {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.run(UPTIME);
    let step = Step { long_running: true, ..step(1, 2, Duration::from_secs(600)) };
    harness.submit("batch", "00000000000000a1", spec(vec![step]));
    harness.commit();
    let (target, start) = harness.starts.pop().expect("the start is sent");
    let step = start.task.step;
    for worker in harness.workers.values_mut() {
        worker.work.insert(step, Duration::from_secs(600));
    }
    harness.workers.get_mut(&target.worker).expect("known").is_isolated = true;
    let lost = Err(Failure::Unanswered("no answer".into()));
    harness.engine.start_answered(&target, &start, lost, harness.now);
    harness.collect();
    (harness, target, start)
}

/// Restarts the worker under its id; it stays unreachable.
fn restart(harness: &mut Harness, id: &id::Worker) {
    let worker = harness.workers.get_mut(id).expect("known");
    let work = worker.work.clone();
    worker.restart();
    worker.work = work;
    worker.is_isolated = true;
    harness.list_workers();
    harness.commit();
}

/// Delivers the start after `transit`, and fails if the task then runs twice.
fn deliver_late(harness: &mut Harness, target: &Target, start: &Start, transit: Duration) {
    harness.run(transit);
    let worker = harness.workers.get_mut(&target.worker).expect("known");
    worker.start(target, start).expect("the next incarnation carries out the late start");
    let mut elapsed = Duration::ZERO;
    while elapsed < AFTER {
        assert!(harness.running().len() <= 1, "the task runs twice: {:?}", harness.running());
        harness.run(Duration::from_millis(100));
        elapsed += Duration::from_millis(100);
    }
}

/// Guards against a record whose end is that of the former incarnation: a late start that the next
/// incarnation carries out may begin after it.
#[test]
fn record_of_a_former_incarnation_ends_before_a_late_start() {
    let (mut harness, target, start) = owner_with_a_start_in_transit();
    harness.run(Duration::from_secs(1));
    restart(&mut harness, &target.worker);
    harness.hand_over();
    deliver_late(&mut harness, &target, &start, TRANSIT - Duration::from_secs(1));
}

/// Guards against a release that records nothing for a worker whose next incarnation has not been
/// polled: the bound of the next owner does not cover a late start.
#[test]
fn release_after_a_restart_does_not_wait_for_a_late_start() {
    let (mut harness, target, start) = owner_with_a_start_in_transit();
    restart(&mut harness, &target.worker);
    harness.hand_over();
    deliver_late(&mut harness, &target, &start, TRANSIT);
}
