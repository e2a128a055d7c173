//! Starts without an outcome. Each must end within the time for which a job may stand still while
//! there is capacity; `docs/decisions/waiting.md` lists what ends them.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::action::Action;
use knapweedgap_workload::event::Event;
use knapweedgap_workload::job::Step;
use knapweedgap_workload::order::{Failure, Poll, Refusal, Target};
use support::serving::{BATCH, IDLE_MAX, running};
use support::{Harness, spec, step};

const ROUND: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(600);

/// Returns an owner that has sent the start of the only task of the job [`BATCH`] and got no outcome.
fn with_a_pending_start() -> Harness {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.submit("batch", BATCH, spec(vec![step(1, 1, LONG)]));
    harness.commit();
    assert_eq!(harness.starts.len(), 1, "the start is sent");
    harness
}

/// Returns the time until a task of the job runs, up to `limit`.
fn time_until_start(harness: &mut Harness, limit: Duration) -> Duration {
    let mut time = Duration::ZERO;
    while running(harness, BATCH) == 0 && time < limit {
        harness.run(ROUND);
        time += ROUND;
    }
    time
}

/// Guards against a task that stays assigned for ever because its start has no outcome: no report
/// proves its end, and its job counts as one of which something runs.
#[test]
fn a_start_whose_outcome_is_never_reported_is_repeated_elsewhere() {
    let mut harness = with_a_pending_start();
    harness.starts.clear();
    let time = time_until_start(&mut harness, IDLE_MAX);
    assert!(time < IDLE_MAX, "nothing runs after {time:?}");
}

/// Guards against a second run of a task whose first start was carried out without an outcome, and
/// against a late outcome of that start that frees or moves the run.
#[test]
fn a_late_outcome_of_an_overdue_start_changes_nothing() {
    let outcomes = [
        Ok(()),
        Err(Failure::NoListener),
        Err(Failure::Unanswered("late".into())),
        Err(Failure::Refused(Refusal::Fence)),
    ];
    for outcome in outcomes {
        let mut harness = with_a_pending_start();
        let (target, start) = harness.starts.remove(0);
        let worker = harness.workers.get_mut(&target.worker).expect("known");
        worker.start(&target, &start).expect("carried out");
        worker.work.insert(start.task.step, LONG);
        harness.run(IDLE_MAX);
        let before = harness.running();
        assert_eq!(before, [(target.worker.clone(), start.task)]);
        harness.engine.start_answered(&target, &start, outcome.clone(), harness.now);
        harness.collect();
        harness.run(IDLE_MAX);
        assert_eq!(harness.running(), before, "after {outcome:?}");
    }
}

/// Guards against an unconfirmed run that waits for the end of a long poll: the poll that is sent at
/// once may get lost, and the one in flight has the former fencing token.
#[test]
fn a_worker_with_an_unanswered_start_is_polled_until_a_report_shows_the_run() {
    let mut harness = with_a_pending_start();
    let (target, start) = harness.starts.remove(0);
    let lost = Err(Failure::Unanswered("lost".into()));
    harness.engine.start_answered(&target, &start, lost, harness.now);
    let asks = |harness: &mut Harness| {
        harness.engine.tick(harness.now, harness.wall_ms);
        let poll = Action::Poll(target.worker.clone());
        harness.engine.actions().into_iter().filter(|action| *action == poll).count()
    };
    assert_eq!(asks(&mut harness), 1, "polled at once");
    for _ in 0..3 {
        harness.advance(Duration::from_millis(500));
        assert_eq!(asks(&mut harness), 1, "polled again");
    }
    harness.poll(&target.worker);
    harness.run(Duration::from_secs(1));
    harness.advance(Duration::from_millis(500));
    assert_eq!(asks(&mut harness), 0, "a report shows that the run does not exist");
}

/// Polls a worker with the orders of the engine, as the caller does whose poll is in flight.
fn send_poll(harness: &mut Harness, id: &id::Worker) -> (Target, Poll) {
    harness.engine.poll(id, harness.now).expect("listed")
}

/// Guards against a long poll of a worker whose report is needed as a proof: the poll in flight has
/// the former fencing token, and the next one waited as long as any other.
#[test]
fn a_worker_with_an_unanswered_start_is_polled_without_a_wait() {
    let mut harness = with_a_pending_start();
    let (target, start) = harness.starts.remove(0);
    let (polled, old) = send_poll(&mut harness, &target.worker);
    harness.engine.start_answered(
        &target,
        &start,
        Err(Failure::Unanswered("lost".into())),
        harness.now,
    );
    // The poll in flight proves nothing, but the worker has answered.
    let worker = harness.workers.get_mut(&target.worker).expect("known");
    let report = worker.poll(&polled, &old);
    harness.engine.poll_answered(&polled, &old, harness.now, report, harness.now);
    harness.collect();
    let (_, next) = send_poll(&mut harness, &target.worker);
    assert!(next.fence > old.fence);
    assert_eq!(next.wait, Duration::ZERO, "the report is needed at once");
}

/// Guards against members of a gang that wait in vain for one whose start was refused or got lost:
/// they keep their workers until the platform ends them, 3 s later, as runs without the others.
#[test]
fn the_members_of_a_gang_do_not_wait_for_one_that_did_not_start() {
    let failures = [
        Failure::Refused(Refusal::Capacity),
        Failure::Refused(Refusal::Late),
        Failure::NoListener,
        Failure::Unanswered("lost".into()),
    ];
    for failure in failures {
        for failing in 0..2 {
            let mut harness = Harness::new(&[8, 8, 8]);
            harness.poll_all();
            let gang = Step { gang: true, per_worker: 1, ..step(2, 1, LONG) };
            harness.submit("batch", BATCH, spec(vec![gang]));
            harness.commit();
            let (target, start) = harness.starts.remove(failing);
            for worker in harness.workers.values_mut() {
                worker.work.insert(start.task.step, LONG);
            }
            harness.deliver();
            harness.engine.start_answered(&target, &start, Err(failure.clone()), harness.now);
            harness.collect();
            harness.run(Duration::from_secs(2));
            let runs = harness.workers.values().flat_map(|worker| worker.runs.values());
            let numbers: Vec<u32> = runs.map(|run| run.number.get()).collect();
            assert_eq!(numbers, [2, 2], "after {failure:?}");
        }
    }
}

/// Guards against a task that is placed over and over on a worker that may get no lease yet.
#[test]
fn a_recorded_worker_takes_a_task_with_the_commit_that_removes_its_record() {
    let (mut harness, held) = Harness::with_a_long_running_task();
    for worker in harness.workers.values_mut() {
        worker.is_isolated = true;
    }
    harness.run(Duration::from_secs(2));
    let is_hold = |event: &Event| matches!(event, Event::Hold { worker, .. } if *worker == held);
    assert!(harness.events.iter().any(is_hold), "the worker is recorded");
    let worker = harness.workers.get_mut(&held).expect("known");
    worker.is_isolated = false;
    harness.poll(&held);
    harness.submit("batch", BATCH, spec(vec![step(1, 1, LONG)]));
    harness.commit();
    let starts: Vec<String> = harness.starts.iter().map(|(to, _)| to.worker.to_string()).collect();
    assert_eq!(starts, [held.to_string()], "the start is sent at once");
}

/// Time for which a long-running task may be down.
const DOWN_MAX: Duration = Duration::from_secs(6);

/// Guards against a task that is stopped for ever because its worker answers polls and no stop. Its
/// start was not carried out, so no report lists it or its end.
#[test]
fn a_stop_that_is_never_answered_holds_a_task_that_did_not_start() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    let long_running = Step { long_running: true, ..step(1, 2, LONG) };
    harness.submit("batch", BATCH, spec(vec![long_running]));
    harness.commit();
    let (target, _) = harness.starts.remove(0);
    harness.workers.get_mut(&target.worker).expect("known").listed.draining = true;
    harness.list_workers();
    let mut time = Duration::ZERO;
    while harness.starts.is_empty() && time < DOWN_MAX {
        harness.advance(ROUND);
        harness.commit();
        for (target, stop) in std::mem::take(&mut harness.stops) {
            let lost = Err(Failure::Unanswered("lost".into()));
            harness.engine.stop_answered(&target, &stop, lost, harness.now);
        }
        harness.poll_all();
        time += ROUND;
    }
    assert!(time < DOWN_MAX, "no start after {time:?}");
}
