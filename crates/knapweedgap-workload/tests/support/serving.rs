//! Workers with serving tasks, and best-effort jobs beside them.

use std::time::Duration;

use knapweedgap_workload::job::Step;
use knapweedgap_workload::task;

use super::worker::TAIL_TARGET;
use super::{Harness, spec, step};

/// Job with the serving tasks.
pub const SERVING: &str = "00000000000000a1";
/// Best-effort job.
pub const BATCH: &str = "00000000000000b1";

/// Time within which something of a job must run while there is capacity, by the platform's rules.
pub const IDLE_MAX: Duration = Duration::from_secs(3);
/// Time for which a serving task may be over its target because of best-effort tasks.
pub const OVER_TARGET_MAX: Duration = Duration::from_secs(4);

const ROUND: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(600);

/// Returns the first step of a job.
pub fn first_step(job: &str) -> task::Step {
    task::Step { job: job.parse().expect("valid"), occurrence: 0, step: 0 }
}

/// Returns a step of best-effort tasks that use an eighth of a worker each.
pub fn best_effort(count: u32) -> Step {
    Step { best_effort: true, image: "plans".into(), ..step(count, 2, Duration::from_secs(1)) }
}

/// Returns an owner of `count` workers with a serving task each, whose slack is `slack` while nothing
/// interferes. A task of the job [`BATCH`] takes `loss` from it.
pub fn with_serving_tasks(count: u32, slack: f64, loss: f64) -> Harness {
    let cores = vec![16; usize::try_from(count).expect("small")];
    let mut harness = Harness::new(&cores);
    harness.poll_all();
    let serving = Step {
        long_running: true,
        image: "portal".into(),
        tail_target: Some(TAIL_TARGET),
        per_worker: 1,
        ..step(count, 4, LONG)
    };
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(SERVING), LONG);
        worker.uncontended.insert(first_step(SERVING), 100.0 / slack);
        worker.losses.insert(first_step(BATCH), loss);
    }
    harness.submit("batch", SERVING, spec(vec![serving]));
    harness.run(Duration::from_secs(2));
    assert_eq!(harness.running().len(), cores.len(), "the serving tasks run");
    harness
}

/// Returns the number of tasks of the first step of a job that run.
pub fn running(harness: &Harness, job: &str) -> usize {
    harness.running().iter().filter(|(_, task)| task.step == first_step(job)).count()
}

/// Runs the owner and returns the longest times for which nothing of the job [`BATCH`] ran, and for
/// which a serving task was over its target.
pub fn longest_times(harness: &mut Harness, time: Duration) -> (Duration, Duration) {
    let (mut idle, mut longest_idle) = (Duration::ZERO, Duration::ZERO);
    let (mut over, mut longest_over) = (Duration::ZERO, Duration::ZERO);
    let mut remaining = time;
    while !remaining.is_zero() {
        harness.run(ROUND);
        remaining = remaining.saturating_sub(ROUND);
        idle = if running(harness, BATCH) > 0 { Duration::ZERO } else { idle + ROUND };
        longest_idle = longest_idle.max(idle);
        let mut slacks = harness.workers.values().filter_map(|w| w.slack(first_step(SERVING)));
        over = if slacks.any(|slack| slack < 1.0) { over + ROUND } else { Duration::ZERO };
        longest_over = longest_over.max(over);
    }
    (longest_idle, longest_over)
}
