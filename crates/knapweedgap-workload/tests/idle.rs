//! Jobs of which nothing runs: what is logged, and what ends their wait.

mod support;

use std::time::Duration;

use knapweedgap_workload::event::Event;
use knapweedgap_workload::exclusion::Exclusion;
use knapweedgap_workload::job::Step;
use knapweedgap_workload::task;
use support::worker::TAIL_TARGET;
use support::{Harness, spec, step};

const SERVING: &str = "00000000000000a1";
const BATCH: &str = "00000000000000b1";

fn first_step(job: &str) -> task::Step {
    task::Step { job: job.parse().expect("valid"), occurrence: 0, step: 0 }
}

/// Returns an owner of two workers, each with a serving task whose tail latency is `tail_percent` of
/// its target while nothing interferes. A task of the job [`BATCH`] takes `loss` from the slack.
fn with_serving_tasks(tail_percent: f64, loss: f64) -> Harness {
    let mut harness = Harness::new(&[16, 16]);
    harness.poll_all();
    let serving = Step {
        long_running: true,
        image: "portal".into(),
        tail_target: Some(TAIL_TARGET),
        per_worker: 1,
        ..step(2, 4, Duration::from_secs(600))
    };
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(SERVING), Duration::from_secs(600));
        worker.uncontended.insert(first_step(SERVING), tail_percent);
        worker.losses.insert(first_step(BATCH), loss);
    }
    harness.submit("batch", SERVING, spec(vec![serving]));
    harness.run(Duration::from_secs(2));
    assert_eq!(harness.running().len(), 2, "both serving tasks run");
    harness
}

/// Returns a step of best-effort tasks that use an eighth of a worker each.
fn best_effort(count: u32) -> Step {
    let run_time = Duration::from_secs(1);
    Step { best_effort: true, image: "plans".into(), ..step(count, 2, run_time) }
}

/// Guards against a wait that cannot be explained afterwards: the log had the number of waiting tasks
/// and of open workers, and not why no open worker was chosen.
#[test]
fn the_log_tells_why_nothing_of_a_job_runs() {
    let mut harness = with_serving_tasks(100.0 / 0.9, 0.1);
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

/// Runs the owner and returns the longest time for which nothing of the job [`BATCH`] ran, and the
/// longest time for which a serving task was over its target.
fn longest_times(harness: &mut Harness, time: Duration) -> (Duration, Duration) {
    let round = Duration::from_millis(100);
    let batch = first_step(BATCH);
    let (mut idle, mut longest_idle) = (Duration::ZERO, Duration::ZERO);
    let (mut over, mut longest_over) = (Duration::ZERO, Duration::ZERO);
    let mut remaining = time;
    while !remaining.is_zero() {
        harness.run(round);
        remaining = remaining.saturating_sub(round);
        let runs = harness.running().iter().any(|(_, task)| task.step == batch);
        idle = if runs { Duration::ZERO } else { idle + round };
        longest_idle = longest_idle.max(idle);
        let mut slacks = harness.workers.values().filter_map(|w| w.slack(first_step(SERVING)));
        over = if slacks.any(|slack| slack < 1.0) { over + round } else { Duration::ZERO };
        longest_over = longest_over.max(over);
    }
    (longest_idle, longest_over)
}

/// Time within which something of a job must run while there is capacity, by the platform's rules.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// Time for which a serving task may be over its target because of best-effort tasks.
const OVER_TARGET_MAX: Duration = Duration::from_secs(4);

/// Guards against accepted jobs that stand still for as long as the serving tasks of all workers are
/// busy: a worker was refused to a task that did not fit its slack at full speed.
#[test]
fn a_job_runs_slowly_while_no_worker_has_the_slack_for_full_speed() {
    for loss in [0.05, 0.4, 0.9] {
        let mut harness = with_serving_tasks(100.0 / 1.2, loss);
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
    let mut harness = with_serving_tasks(30.0, 1.6);
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
    let mut harness = with_serving_tasks(30.0, 1.6);
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
