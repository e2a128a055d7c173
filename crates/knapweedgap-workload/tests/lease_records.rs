//! The record of workers that get no leases, and what a new owner concludes from it.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::action::Action;
use knapweedgap_workload::event::Event;
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
        let running = harness.running().len();
        assert!(running <= 1, "the task runs twice, {:?} after its start", transit + elapsed);
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

/// Guards against a bound on late starts that assumes the owner's lease of 4 s: the next
/// incarnation shortens the lease only to the longest one of the platform, 6 s.
#[test]
fn lease_of_a_late_start_outlasts_its_bound_within_one_term() {
    let (mut harness, target, start) = owner_with_a_start_in_transit();
    restart(&mut harness, &target.worker);
    deliver_late(&mut harness, &target, &start, TRANSIT);
}

/// Guards against a next owner that assumes a lease of 4 s of a worker whose next incarnation has
/// carried out a late start, and has answered since.
#[test]
fn lease_of_a_late_start_outlasts_the_bound_of_the_next_owner() {
    let (mut harness, target, start) = owner_with_a_start_in_transit();
    let worker = harness.workers.get_mut(&target.worker).expect("known");
    let work = worker.work.clone();
    worker.restart();
    worker.work = work;
    worker.start(&target, &start).expect("the next incarnation carries out the late start");
    harness.list_workers();
    harness.poll(&target.worker);
    harness.poll(&target.worker);
    harness.workers.get_mut(&target.worker).expect("known").is_isolated = true;
    harness.hand_over();
    let mut elapsed = Duration::ZERO;
    while elapsed < AFTER {
        harness.run(Duration::from_millis(100));
        elapsed += Duration::from_millis(100);
        assert!(harness.running().len() <= 1, "the task runs twice after {elapsed:?}");
    }
}

/// Guards against the silence of a worker that counts from its last answer: a poll waits for one
/// second, so a single reset connection leads to a record at once.
#[test]
fn worker_is_recorded_after_a_single_failed_poll() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    harness.advance(Duration::from_millis(1_000));
    let (target, poll) = harness.engine.poll(&worker, harness.now).expect("polled");
    let reset = Err(Failure::Unanswered("connection reset".into()));
    harness.engine.poll_answered(&target, &poll, harness.now, reset, harness.now);
    harness.engine.tick(harness.now, harness.wall_ms);
    let actions = harness.engine.actions();
    let is_hold = |action: &Action| matches!(action, Action::Log(Event::Hold { .. }));
    assert!(!actions.iter().any(is_hold), "{actions:?}");
}

/// Guards against runs that end although their worker answers: a store outage of less than the
/// grace begins after the worker was recorded, and the removal of the record can't be stored.
#[test]
fn store_outage_after_a_record_ends_the_runs_of_a_worker_that_answers() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    harness.workers.get_mut(&worker).expect("known").is_isolated = true;
    harness.run(Duration::from_secs(2));
    harness.workers.get_mut(&worker).expect("known").is_isolated = false;
    harness.engine.set_store_available(false);
    for _ in 0..50 {
        harness.advance(Duration::from_millis(100));
        harness.engine.tick(harness.now, harness.wall_ms);
        harness.poll_all();
    }
    let is_running = harness.running().iter().any(|(id, _)| *id == worker);
    assert!(is_running, "the lease of a worker in contact has expired within the grace");
}

/// Time within which a long-running task has to run again, as in `takeover.rs`.
const RESTART_MAX: Duration = Duration::from_secs(9);

/// Returns the time until the task runs elsewhere while owners are killed after `interval` each, at
/// most `kills` times; `None` if that takes over a minute.
fn time_to_restart(interval: Duration, mut kills: u32) -> Option<Duration> {
    let (mut harness, gone) = Harness::with_a_long_running_task();
    harness.workers.get_mut(&gone).expect("known").is_isolated = true;
    let gone_at = harness.now;
    while !harness.running().iter().any(|(worker, _)| *worker != gone) {
        if harness.now - gone_at > Duration::from_secs(60) {
            return None;
        }
        harness.run(interval);
        if kills > 0 {
            harness.advance(Duration::from_millis(300));
            harness.take_over();
            kills -= 1;
        }
    }
    Some(harness.now - gone_at)
}

/// Guards against an owner that records nothing in its first 0.8 s: while each owner is killed
/// within that time, the wait for the grace of the previous one begins anew with each of them.
#[test]
fn kills_in_quick_succession_hold_the_task_of_an_unreachable_worker_for_ever() {
    let elapsed = time_to_restart(Duration::from_millis(700), u32::MAX);
    assert!(elapsed.is_some_and(|elapsed| elapsed <= RESTART_MAX), "restarted after {elapsed:?}");
}

/// Guards against the whole grace for a worker that was lost less than 0.8 s before its owner.
#[test]
fn kill_right_after_the_loss_of_a_worker_delays_its_task() {
    let elapsed = time_to_restart(Duration::from_millis(500), 1);
    assert!(elapsed.is_some_and(|elapsed| elapsed <= RESTART_MAX), "restarted after {elapsed:?}");
}

/// Guards against a poll each 40 ms of every worker whose removal from the record can't be stored:
/// a poll without a lease does not wait, although the worker answers.
#[test]
fn recorded_worker_that_answers_is_polled_without_a_wait() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    harness.workers.get_mut(&worker).expect("known").is_isolated = true;
    harness.run(Duration::from_secs(2));
    harness.workers.get_mut(&worker).expect("known").is_isolated = false;
    harness.engine.set_store_available(false);
    harness.poll(&worker);
    let (_, poll) = harness.engine.poll(&worker, harness.now).expect("polled");
    assert!(!poll.wait.is_zero(), "the next poll does not wait");
}

/// Guards against a release in the first moments of a term that records workers in contact with the
/// former owner: their runs end if the store is away when the next term begins.
#[test]
fn release_of_a_short_term_withholds_leases_from_a_reachable_worker() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    harness.take_over();
    harness.hand_over();
    harness.engine.set_store_available(false);
    for _ in 0..50 {
        harness.advance(Duration::from_millis(100));
        harness.engine.tick(harness.now, harness.wall_ms);
        harness.poll_all();
    }
    let is_running = harness.running().iter().any(|(id, _)| *id == worker);
    assert!(is_running, "the lease of a worker in contact has expired within the grace");
}

/// Guards against a bound on late starts that holds although the next incarnation has answered and
/// refuses them: its runs are held for that long if it is lost again.
#[test]
fn restarted_worker_that_is_lost_again_is_held_for_a_late_start() {
    for is_taken_over in [false, true] {
        let (mut harness, target, _) = owner_with_a_start_in_transit();
        let id = target.worker;
        let worker = harness.workers.get_mut(&id).expect("known");
        let work = worker.work.clone();
        worker.restart();
        worker.work = work;
        for worker in harness.workers.values_mut() {
            worker.is_isolated = worker.listed.id != id;
        }
        if is_taken_over {
            harness.hand_over();
        }
        harness.list_workers();
        harness.run(Duration::from_millis(500));
        assert!(harness.running().iter().any(|(worker, _)| *worker == id), "started again");
        for worker in harness.workers.values_mut() {
            worker.is_isolated = worker.listed.id == id;
        }
        let mut elapsed = Duration::ZERO;
        while !harness.running().iter().any(|(worker, _)| *worker != id) {
            assert!(elapsed <= RESTART_MAX, "not restarted after {elapsed:?}, {is_taken_over}");
            harness.run(Duration::from_millis(100));
            elapsed += Duration::from_millis(100);
            assert!(harness.running().len() <= 1, "two runs at once");
        }
    }
}
