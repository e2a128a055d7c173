//! Workers that become unreachable, return, restart, leave or fail.

mod support;

use std::time::Duration;

use knapweedgap_workload::action::Action;
use knapweedgap_workload::api::{Answer, Verb};
use knapweedgap_workload::job::{State, Step};
use knapweedgap_workload::order::Failure;
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, spec, step};

const JOB: &str = "00000000000000a1";
const SECOND_JOB: &str = "00000000000000a2";
const LONG: Duration = Duration::from_secs(30);

/// Guards against stops before the cancellation is stored: the next owner would run the stopped
/// tasks again (hunt-7b8f-7 of klt-voice).
#[test]
fn nothing_is_stopped_before_the_cancellation_is_stored() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(2, 1, LONG)]));
    harness.run(Duration::from_millis(300));
    harness.request("batch", JOB, Verb::Cancel);
    let batch = harness.take_batch().expect("the cancellation is to be stored");
    harness.engine.tick(harness.now, harness.wall_ms);
    harness.collect();
    assert!(harness.stops.is_empty(), "{:?}", harness.stops);
    harness.store(&batch);
    assert_eq!(harness.stops.len(), 2);
}

/// Guards against a worker that is never polled again after it was missing from the platform's
/// list.
#[test]
fn a_worker_that_is_listed_again_is_polled_again() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    let id = harness.worker(0).listed.id.clone();
    harness.engine.worker_unlisted(&id, harness.now);
    assert!(harness.engine.poll(&id, harness.now).is_none(), "nothing runs there");
    harness.engine.actions();
    let listed = harness.worker(0).listed.clone();
    harness.engine.worker_listed(listed, harness.now);
    let starts_polling = harness
        .engine
        .actions()
        .into_iter()
        .any(|action| action == Action::StartPolling(id.clone()));
    assert!(starts_polling);
}

/// Guards against a worker that refuses all orders of its owner, because the owner forgot the
/// fencing token that the worker has seen.
#[test]
fn a_worker_that_is_listed_again_gets_no_lower_fencing_token() {
    let mut harness = Harness::new(&[2]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(1, 1, Duration::from_secs(1))]));
    harness.advance(Duration::from_millis(100));
    harness.commit();
    // The first start is not answered, so the fencing token rises.
    let id = harness.worker(0).listed.id.clone();
    let (target, start) = harness.starts.pop().expect("a start");
    let lost = Err(Failure::Unanswered("no answer".into()));
    harness.engine.start_answered(&target, &start, lost, harness.now);
    harness.run(Duration::from_secs(3));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
    let seen = harness.worker(0).fence;
    assert!(seen > start.fence, "{seen} after {}", start.fence);
    harness.engine.worker_unlisted(&id, harness.now);
    harness.run(Duration::from_secs(10));
    harness.list_workers();
    harness.run(Duration::from_secs(1));
    harness.submit("batch", SECOND_JOB, spec(vec![step(1, 1, Duration::from_secs(1))]));
    harness.run(Duration::from_secs(3));
    assert_eq!(harness.show("batch", SECOND_JOB), Answer::State(State::Completed));
}

/// Guards against a task that starts elsewhere while its unreachable worker may still run it.
#[test]
fn an_unreachable_worker_keeps_its_tasks_until_its_lease_has_ended() {
    let mut harness = Harness::new(&[2, 2]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    harness.run(Duration::from_millis(500));
    let (first, task) = harness.running()[0].clone();
    for worker in harness.workers.values_mut() {
        worker.work.insert(task.step, LONG);
    }
    harness.workers.get_mut(&first).expect("known").is_isolated = true;
    let mut overlaps = 0;
    for _ in 0..100 {
        harness.run(Duration::from_millis(100));
        overlaps += usize::from(harness.running().len() > 1);
    }
    assert_eq!(overlaps, 0);
    let running = harness.running();
    assert_eq!(running.len(), 1, "the task runs elsewhere in the end");
    assert_ne!(running[0].0, first);
}

/// Guards against waiting for the lease of a worker that is known to have restarted.
#[test]
fn the_tasks_of_a_restarted_worker_start_at_once() {
    let mut harness = Harness::new(&[2]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    harness.run(Duration::from_millis(500));
    harness.worker(0).restart();
    harness.list_workers();
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 1);
}

/// Guards against a worker that fails all runs and uses up the attempts of the jobs.
#[test]
fn a_worker_that_fails_all_runs_does_not_fail_the_jobs() {
    let mut harness = Harness::new(&[4, 4, 4]);
    harness.worker(0).fails = true;
    harness.poll_all();
    for index in 0..10 {
        let name = format!("{:016x}", index + 1);
        harness.submit("batch", &name, spec(vec![step(2, 1, Duration::from_secs(1))]));
        harness.run(Duration::from_millis(300));
    }
    harness.run(Duration::from_secs(20));
    for index in 0..10 {
        let name = format!("{:016x}", index + 1);
        assert_eq!(harness.show("batch", &name), Answer::State(State::Completed), "{name}");
    }
}

/// Guards against a task that makes no progress until the result of its job has no value.
#[test]
fn a_run_without_progress_is_moved() {
    let mut harness = Harness::new(&[2, 2]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(1, 1, Duration::from_secs(1))]));
    harness.run(Duration::from_millis(300));
    let (first, _) = harness.running()[0].clone();
    harness.workers.get_mut(&first).expect("known").hangs = true;
    harness.run(Duration::from_secs(6));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
}

/// Guards against acknowledging the end of a run to the worker before it is stored: the next owner
/// would run the task again.
#[test]
fn an_end_is_acknowledged_after_it_is_stored() {
    let mut harness = Harness::new(&[2]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(1, 1, Duration::from_secs(1))]));
    harness.run(Duration::from_millis(500));
    harness.advance(Duration::from_secs(1));
    harness.poll_all();
    let id = harness.worker(0).listed.id.clone();
    let (_, poll) = harness.engine.poll(&id, harness.now).expect("the worker is polled");
    assert_eq!(poll.acknowledged.get(), 0);
    harness.commit();
    let (_, poll) = harness.engine.poll(&id, harness.now).expect("the worker is polled");
    assert_eq!(poll.acknowledged.get(), 1);
}

/// Guards against a long-running task that is not restarted after a failure.
#[test]
fn a_long_running_task_is_restarted_whenever_it_ends() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    let mut long_running = step(1, 1, LONG);
    long_running.long_running = true;
    let step = task::Step { job: JOB.parse().expect("valid"), occurrence: 0, step: 0 };
    harness.worker(0).work.insert(step, LONG * 100);
    harness.submit("batch", JOB, spec(vec![long_running]));
    harness.run(Duration::from_millis(300));
    for cause in [Cause::Failed, Cause::Done, Cause::Failed, Cause::Failed] {
        let (_, task) = harness.running()[0].clone();
        harness.worker(0).end(task, cause);
        harness.run(Duration::from_secs(4));
        assert_eq!(harness.running().len(), 1, "after {cause}");
    }
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Running));
    let starts = |event: &&Event| matches!(event, Event::Started(..));
    assert_eq!(harness.worker(0).events.iter().filter(starts).count(), 5);
}

/// Guards against a run of a cancelled job that continues because the owner was replaced between
/// the cancellation and the end of the run (hunt-7b8f-7 of klt-voice).
#[test]
fn the_next_owner_stops_the_runs_of_a_cancelled_job() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(2, 1, LONG)]));
    harness.run(Duration::from_millis(300));
    harness.request("batch", JOB, Verb::Cancel);
    harness.commit();
    harness.take_over();
    assert_eq!(harness.running().len(), 2, "the orders of the first owner are lost");
    harness.run(Duration::from_millis(600));
    assert!(harness.running().is_empty());
}

/// Guards against a worker that restarts with fewer processors and gets tasks for its previous size
/// before the platform lists the new size.
#[test]
fn a_restarted_worker_gets_no_tasks_before_its_size_is_listed() {
    let mut harness = Harness::new(&[8, 1]);
    harness.poll_all();
    harness.worker(0).restart_as(2);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(6, 1, LONG)]));
    harness.run(Duration::from_millis(300));
    assert!(harness.worker(0).runs.is_empty());
    harness.list_workers();
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.worker(0).runs.len(), 2);
}

/// Guards against a task that starts elsewhere while its first start, which was meant for the
/// previous incarnation of a worker, is carried out late by the next incarnation.
#[test]
fn a_start_that_reaches_the_next_incarnation_of_its_worker_is_the_only_one() {
    let mut harness = Harness::new(&[2, 2]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(1, 2, LONG)]));
    harness.commit();
    let (target, start) = harness.starts.pop().expect("a start");
    let worker = harness.workers.get_mut(&target.worker).expect("known");
    worker.restart();
    worker.start(&target, &start).expect("carried out by the next incarnation");
    let unanswered = Err(Failure::Unanswered("lost".into()));
    harness.engine.start_answered(&target, &start, unanswered, harness.now);
    harness.collect();
    harness.list_workers();
    harness.commit();
    harness.deliver();
    assert_eq!(harness.running().len(), 1);
    harness.run(Duration::from_secs(3));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
    let started = |event: &&Event| matches!(event, Event::Started(..));
    let events = harness.workers.values().flat_map(|worker| &worker.events);
    assert_eq!(events.filter(started).count(), 1);
}

/// Guards against a drain that a new owner does not act on, because the worker was draining when
/// it was first listed: its long-running task ends with the worker.
#[test]
fn worker_that_drains_at_a_takeover_keeps_its_long_running_task() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    harness.workers.get_mut(&worker).expect("known").listed.draining = true;
    harness.take_over();
    harness.run(Duration::from_secs(3));
    let is_running = harness.running().iter().any(|(id, _)| *id == worker);
    assert!(!is_running, "the long-running task is still on the draining worker");
}

/// Guards against a speed that a new owner does not know: a best-effort task that the former owner
/// slowed down stays slow, although no serving task is left on its worker.
#[test]
fn best_effort_task_stays_slow_after_a_takeover() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    let step = Step { best_effort: true, ..step(1, 2, Duration::from_secs(600)) };
    harness.submit("batch", "00000000000000a1", spec(vec![step]));
    harness.run(Duration::from_millis(500));
    let (worker, task) = harness.running()[0].clone();
    harness.worker(0).work.insert(task.step, Duration::from_secs(600));
    harness.run(Duration::from_secs(1));
    harness.hand_over();
    let mut is_ordered = false;
    for _ in 0..20 {
        harness.advance(Duration::from_millis(100));
        let (target, poll) = harness.engine.poll(&worker, harness.now).expect("polled");
        let result = harness.worker(0).poll(&target, &poll);
        harness.engine.poll_answered(&target, &poll, harness.now, result, harness.now);
        let actions = harness.engine.actions();
        is_ordered |= actions.iter().any(|action| matches!(action, Action::SetSpeed(..)));
    }
    assert!(is_ordered, "the speed of the task is unknown and is never ordered");
}

/// Guards against a full speed that is never ordered again after its first order failed, because no
/// serving task is left on the worker.
#[test]
fn full_speed_is_ordered_again_after_a_failed_order() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    let step = Step { best_effort: true, ..step(1, 2, Duration::from_secs(600)) };
    harness.submit("batch", JOB, spec(vec![step]));
    harness.run(Duration::from_millis(500));
    let (worker, task) = harness.running()[0].clone();
    harness.worker(0).work.insert(task.step, Duration::from_secs(600));
    harness.run(Duration::from_secs(1));
    let (target, poll) = harness.engine.poll(&worker, harness.now).expect("polled");
    harness.engine.speed_failed(&target, task);
    let result = harness.worker(0).poll(&target, &poll);
    harness.engine.poll_answered(&target, &poll, harness.now, result, harness.now);
    let actions = harness.engine.actions();
    let is_ordered = actions.iter().any(|action| matches!(action, Action::SetSpeed(..)));
    assert!(is_ordered, "the speed of the task is not ordered again");
}
