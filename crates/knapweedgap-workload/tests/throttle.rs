//! Speed of best-effort tasks when the slack of serving tasks shrinks and recovers.

use std::time::Duration;

use knapweedgap_workload::throttle::{
    BestEffort, INCREASE_MAX, SLACK_TARGET, SPEED_MIN, VIOLATION_TIMEOUT, speeds,
};

fn task(speed: u32, losses: &[f64]) -> BestEffort {
    BestEffort { speed, increase_max: INCREASE_MAX, is_only_run: false, losses: losses.to_vec() }
}

/// Guards against slowing down a best-effort task with little interference for one with much.
#[test]
fn the_task_with_the_largest_loss_is_slowed_down() {
    let tasks = [task(100, &[0.05]), task(100, &[1.2])];
    assert_eq!(speeds(&[0.8], &tasks, Duration::ZERO), [100, 66]);
}

/// Guards against serving tasks that miss their target because of interference that is not learned
/// yet.
#[test]
fn all_tasks_are_suspended_when_known_losses_do_not_account_for_the_slack() {
    let tasks = [task(100, &[0.05]), task(100, &[0.1])];
    assert_eq!(speeds(&[0.4], &tasks, Duration::ZERO), [0, 0]);
    assert_eq!(
        speeds(&[1.02], &tasks, Duration::ZERO),
        [0, 0],
        "the known losses are less than the missing slack"
    );
}

/// Guards against interference that lasts until the platform counts a violation.
#[test]
fn all_tasks_are_suspended_after_a_long_violation() {
    let tasks = [task(100, &[0.05]), task(100, &[1.2])];
    assert_eq!(speeds(&[1.3], &tasks, VIOLATION_TIMEOUT), [0, 0]);
}

/// Guards against best-effort tasks that stay slow when slack is available again, and against an
/// increase that uses up the slack of a serving task at once.
#[test]
fn speeds_increase_by_the_available_slack() {
    let tasks = [task(0, &[0.1]), task(20, &[1.0])];
    assert_eq!(speeds(&[SLACK_TARGET + 0.25], &tasks, Duration::ZERO), [50, 40]);
    assert_eq!(speeds(&[3.0], &[task(20, &[1.0])], Duration::ZERO), [70]);
}

/// Guards against a serving task that misses its target because another has enough slack.
#[test]
fn every_serving_task_is_considered() {
    let tasks = [task(100, &[0.0, 1.0])];
    assert_eq!(speeds(&[3.0, 0.7], &tasks, Duration::ZERO), [50]);
    assert_eq!(speeds(&[0.7, 3.0], &[task(100, &[1.0, 0.0])], Duration::ZERO), [50]);
}

/// Guards against a job of which the only run does no work although the serving tasks have slack, and
/// against runs that resume together and make a serving task miss its target.
#[test]
fn the_only_run_of_a_job_resumes_with_the_least_slack() {
    let only = |loss| BestEffort { is_only_run: true, ..task(0, &[loss]) };
    assert_eq!(speeds(&[1.15], &[only(0.9)], Duration::ZERO), [SPEED_MIN]);
    assert_eq!(speeds(&[1.15], &[task(0, &[0.9])], Duration::ZERO), [0]);
    assert_eq!(speeds(&[1.13], &[only(0.9)], Duration::ZERO), [0], "a slack of 1.04 would be left");
    assert_eq!(speeds(&[1.15], &[only(0.9), only(0.9)], Duration::ZERO), [SPEED_MIN, 0]);
}

/// Guards against interference of slow runs that add up: a serving task misses its target while each
/// of several only runs goes on at the lowest speed.
#[test]
fn the_only_runs_of_jobs_are_suspended_for_a_low_slack() {
    let only = BestEffort { is_only_run: true, ..task(SPEED_MIN, &[0.9]) };
    let tasks = [only.clone(), only.clone(), only];
    assert_eq!(speeds(&[1.02], &tasks, Duration::ZERO), [0, 0, SPEED_MIN]);
    assert_eq!(speeds(&[0.99], &tasks, Duration::ZERO), [0, 0, 0]);
}
