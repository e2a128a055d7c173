//! Jobs of which nothing runs: what is logged, and what ends their wait.

mod support;

use std::time::Duration;

use knapweedgap_workload::event::Event;
use knapweedgap_workload::exclusion::Exclusion;
use support::serving::{
    BATCH, IDLE_MAX, OVER_TARGET_MAX, SERVING, best_effort, first_step, longest_times,
    with_serving_tasks,
};
use support::spec;

/// Guards against a wait that cannot be explained afterwards: the log had the number of waiting tasks
/// and of open workers, and not why no open worker was chosen.
#[test]
fn the_log_tells_why_nothing_of_a_job_runs() {
    let mut harness = with_serving_tasks(2, 0.9, 0.1);
    harness.submit("batch", BATCH, spec(vec![best_effort(4)]));
    harness.run(Duration::from_millis(2_500));
    let idle = harness.events.iter().rev().find_map(|event| match event {
        Event::Idle { step, idle, waiting, excluded, nearest, .. } => {
            Some((*step, *idle, *waiting, excluded.clone(), nearest.clone()))
        }
        _ => None,
    });
    let (step, idle, waiting, excluded, nearest) = idle.expect("the wait is logged");
    assert_eq!((step, waiting), (first_step(BATCH), 4));
    assert!(idle >= Duration::from_secs(1));
    assert_eq!(excluded.of(Exclusion::Slack), 2, "{excluded}");
    assert_eq!(nearest.map(|nearest| nearest.reason), Some(Exclusion::Slack));
    assert!(harness.events.iter().any(|event| matches!(
        event,
        Event::IdleQueue { queue, jobs: 1, longest } if queue == "batch" && *longest >= Duration::from_secs(1)
    )));
}

/// Guards against accepted jobs that stand still for as long as the serving tasks of all workers are
/// busy: a worker was refused to a task that did not fit its slack at full speed.
#[test]
fn a_job_runs_slowly_while_no_worker_has_the_slack_for_full_speed() {
    for loss in [0.05, 0.4, 0.9] {
        let mut harness = with_serving_tasks(2, 1.2, loss);
        harness.submit("batch", BATCH, spec(vec![best_effort(4)]));
        let (idle, over) = longest_times(&mut harness, Duration::from_secs(15));
        assert!(idle < IDLE_MAX, "nothing ran for {idle:?} at a loss of {loss}");
        assert!(over < OVER_TARGET_MAX, "over the target for {over:?} at a loss of {loss}");
        let worked = harness.events.iter().filter(|event| matches!(event, Event::Place { .. }));
        assert!(worked.count() < 20, "the tasks are not placed over and over");
    }
}

/// Guards against a stop that leaves a job with nothing running: a run that interferes was stopped
/// although no other worker had room for it.
#[test]
fn an_interfering_run_stays_while_no_other_worker_takes_it() {
    let mut harness = with_serving_tasks(2, 100.0 / 30.0, 1.6);
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(BATCH), Duration::from_secs(60));
    }
    harness.submit("batch", BATCH, spec(vec![best_effort(2)]));
    harness.run(Duration::from_secs(3));
    for worker in harness.workers.values_mut() {
        worker.uncontended.insert(first_step(SERVING), 100.0 / 1.2);
    }
    let (idle, over) = longest_times(&mut harness, Duration::from_secs(15));
    assert!(idle < IDLE_MAX, "nothing ran for {idle:?}");
    assert!(over < OVER_TARGET_MAX, "over the target for {over:?}");
    let stops = harness.events.iter().filter(|event| matches!(event, Event::Stop { .. })).count();
    assert_eq!(stops, 0, "a stop throws work away and gains nothing");
}

/// Guards against an interfering run that stays where it is slow although another worker takes it at
/// full speed.
#[test]
fn an_interfering_run_moves_to_a_worker_that_takes_it() {
    let mut harness = with_serving_tasks(2, 100.0 / 30.0, 1.6);
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(BATCH), Duration::from_secs(60));
    }
    harness.submit("batch", BATCH, spec(vec![best_effort(1)]));
    harness.run(Duration::from_secs(3));
    let (shared, task) = harness
        .running()
        .into_iter()
        .find(|(_, task)| task.step == first_step(BATCH))
        .expect("the task runs");
    let worker = harness.workers.get_mut(&shared).expect("known");
    worker.uncontended.insert(first_step(SERVING), 100.0 / 1.2);
    harness.run(Duration::from_secs(6));
    let now = harness.running().into_iter().find(|(_, running)| *running == task);
    assert_ne!(now.expect("the task runs").0, shared);
}
