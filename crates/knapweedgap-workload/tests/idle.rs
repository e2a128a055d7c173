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
