//! Pace of filling tasks when the slack of serving ones shrinks and comes back.

use std::time::Duration;

use knapweedgap_workload::throttle::{BestEffort, VIOLATION_TIMEOUT, SLACK_TARGET, speeds};

fn filler(speed: u32, losses: &[f64]) -> BestEffort {
    BestEffort { speed, losses: losses.to_vec() }
}

/// Guards against a harmless filling task that pays for a harmful one beside it.
#[test]
fn the_filler_that_takes_most_is_slowed_down() {
    let fillers = [filler(100, &[0.05]), filler(100, &[1.2])];
    assert_eq!(speeds(&[0.8], &fillers, Duration::ZERO), [100, 66]);
}

/// Guards against serving tasks over their target whose disturbance nobody has learned yet.
#[test]
fn all_stand_still_when_the_lack_is_not_explained() {
    let fillers = [filler(100, &[0.05]), filler(100, &[0.1])];
    assert_eq!(speeds(&[0.4], &fillers, Duration::ZERO), [0, 0]);
    assert_eq!(speeds(&[1.02], &fillers, Duration::ZERO), [0, 0], "what is known is taken back");
}

/// Guards against a disturbance that lasts until the platform counts it as harm.
#[test]
fn all_stand_still_after_a_lasting_harm() {
    let fillers = [filler(100, &[0.05]), filler(100, &[1.2])];
    assert_eq!(speeds(&[1.3], &fillers, VIOLATION_TIMEOUT), [0, 0]);
}

/// Guards against filling tasks that stay slow when there is room again, and against a rise that
/// takes the slack of a serving task at once.
#[test]
fn paces_rise_by_what_is_to_spare() {
    let fillers = [filler(0, &[0.1]), filler(20, &[1.0])];
    assert_eq!(speeds(&[SLACK_TARGET + 0.25], &fillers, Duration::ZERO), [50, 40]);
    assert_eq!(speeds(&[3.0], &[filler(20, &[1.0])], Duration::ZERO), [70]);
}

/// Guards against a worker on which one serving task suffers because another has room.
#[test]
fn each_serving_task_counts() {
    let fillers = [filler(100, &[0.0, 1.0])];
    assert_eq!(speeds(&[3.0, 0.7], &fillers, Duration::ZERO), [50]);
    assert_eq!(speeds(&[0.7, 3.0], &[filler(100, &[1.0, 0.0])], Duration::ZERO), [50]);
}
