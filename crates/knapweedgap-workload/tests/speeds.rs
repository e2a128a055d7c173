//! Order in which the speeds of a run are sent.

use knapweedgap_core::revision;
use knapweedgap_workload::order::{Speed, Target};
use knapweedgap_workload::speeds::Speeds;
use knapweedgap_workload::task;

fn target() -> Target {
    Target {
        worker: "worker-1".parse().expect("valid"),
        incarnation: revision::Incarnation::new(1),
        address: "127.0.0.1:9".parse().expect("valid"),
    }
}

fn speed(index: u32, percent: u32) -> Speed {
    let job = "00000000000000aa".parse().expect("valid");
    let task = task::Step { job, occurrence: 0, step: 0 }.task(index);
    Speed { task, run: revision::Run::new(1), percent, fence: revision::Fence::new(1) }
}

/// Guards against two speeds of a run that overtake each other on the way, so that the run keeps the
/// earlier one.
#[test]
fn the_next_speed_of_a_run_waits_for_the_outcome_of_the_one_before() {
    let mut speeds = Speeds::default();
    let target = target();
    assert!(speeds.begin(&target, &speed(0, 10)));
    assert!(!speeds.begin(&target, &speed(0, 50)));
    assert!(!speeds.begin(&target, &speed(0, 100)));
    assert!(speeds.begin(&target, &speed(1, 20)), "of another run");
    let next = speeds.finish(&speed(0, 10));
    assert_eq!(next, Some((target.clone(), speed(0, 100))), "the latest");
    assert!(!speeds.begin(&target, &speed(0, 0)), "the next is in flight");
    assert_eq!(speeds.finish(&speed(0, 100)), Some((target.clone(), speed(0, 0))));
    assert_eq!(speeds.finish(&speed(0, 0)), None);
    assert!(speeds.begin(&target, &speed(0, 100)), "nothing is in flight");
}
