//! Searches of the fleet while many steps wait.

mod support;

use std::time::Duration;

use knapweedgap_workload::event::Event;
use support::serving::{best_effort, first_step, with_serving_tasks};
use support::{Harness, spec, step};

const WORKERS: u32 = 20;
const WAITING: u32 = 60;
const SECONDS: u32 = 3;
const LONG: Duration = Duration::from_secs(600);

/// Returns a fleet whose serving tasks tolerate no best-effort task, with [`WAITING`] jobs that wait.
fn with_backlog() -> Harness {
    let mut harness = with_serving_tasks(WORKERS, 1.0, 0.0);
    for number in 0..WAITING {
        harness.submit("batch", &job(number), spec(vec![best_effort(4)]));
    }
    harness
}

fn job(number: u32) -> String {
    format!("{:016x}", 0x1000 + number)
}

fn searches(harness: &Harness) -> u64 {
    let searches = |event: &Event| match event {
        Event::Load { searches, .. } => *searches,
        _ => 0,
    };
    harness.events.iter().map(searches).sum()
}

/// Guards against an owner that spends its time on searches in vain: each pass searched the whole fleet
/// for up to 16 of the waiting steps, so that a placement cost more the more work waited.
#[test]
fn a_backlog_is_not_searched_for_again_in_each_pass() {
    let mut harness = with_backlog();
    harness.events.clear();
    harness.run(Duration::from_secs(1) * SECONDS);
    let searches = searches(&harness);
    // One for each image and speed every second, and some while jobs become idle.
    assert!(searches <= u64::from(SECONDS) * 20, "{searches} searches of the fleet");
}

/// Guards against a step that waits although a worker has become free since its search.
#[test]
fn a_step_that_was_searched_for_in_vain_is_placed_once_a_worker_is_free() {
    let mut harness = Harness::new(&[4, 4]);
    harness.poll_all();
    let running: Vec<String> = (0..2).map(job).collect();
    for job in &running {
        for worker in harness.workers.values_mut() {
            worker.work.insert(first_step(job), LONG);
        }
        harness.submit("batch", job, spec(vec![step(1, 4, LONG)]));
    }
    harness.run(Duration::from_secs(1));
    harness.submit("batch", &job(2), spec(vec![step(1, 3, LONG)]));
    harness.submit("batch", &job(3), spec(vec![step(1, 4, LONG)]));
    harness.run(Duration::from_secs(1));
    let is_running = |harness: &Harness, job: &str| {
        harness.running().iter().any(|(_, task)| task.step == first_step(job))
    };
    assert!(!is_running(&harness, &job(2)) && !is_running(&harness, &job(3)));

    let (worker, task) = harness.running().first().cloned().expect("it runs");
    let worker = harness.workers.get_mut(&worker).expect("known");
    worker.end(task, knapweedgap_workload::worker::Cause::Done);
    harness.run(Duration::from_millis(200));
    assert!(is_running(&harness, &job(2)) || is_running(&harness, &job(3)));
}
