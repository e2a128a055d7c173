//! Timeouts that follow the delay of this instance, and not the silence of single workers.

use std::time::Duration;

use knapweedgap_workload::round_trip::{Estimator, TIMEOUT_MAX, TIMEOUT_MIN};

const ROUND_TRIP: Duration = Duration::from_millis(10);

fn calm() -> Estimator {
    let estimator = Estimator::default();
    for _ in 0..50 {
        estimator.record(ROUND_TRIP);
    }
    estimator
}

/// Guards against starts of lost workers that are resolved late on a calm network.
#[test]
fn timeout_is_short_on_a_calm_network() {
    assert_eq!(Estimator::default().timeout(), TIMEOUT_MIN);
    assert_eq!(calm().timeout(), TIMEOUT_MIN);
}

/// Guards against sound workers that are called unreachable because the link of this instance has a
/// queue (quiet-1 of anbo-grid-large, small).
#[test]
fn timeout_grows_with_the_round_trips_of_all_workers() {
    let estimator = calm();
    for queue_ms in (0..400).step_by(10) {
        estimator.record(ROUND_TRIP + Duration::from_millis(queue_ms));
    }
    assert!(estimator.timeout() > Duration::from_millis(400), "{:?}", estimator.timeout());
    assert!(estimator.timeout() <= TIMEOUT_MAX);
}

/// Guards against a longer timeout for all workers because a third of them is cut off.
#[test]
fn single_workers_without_contact_change_nothing() {
    let estimator = calm();
    for call in 0..300 {
        if call % 3 == 0 {
            estimator.record_timeout(estimator.timeout());
        } else {
            estimator.record(ROUND_TRIP);
        }
    }
    assert_eq!(estimator.timeout(), TIMEOUT_MIN);
}

/// Guards against a timeout that stays below the delay of a link on which no answer arrives in time.
#[test]
fn timeout_grows_while_no_worker_answers() {
    let estimator = calm();
    for _ in 0..40 {
        estimator.record_timeout(estimator.timeout());
    }
    assert!(estimator.timeout() > TIMEOUT_MIN);
    for _ in 0..60 {
        estimator.record(ROUND_TRIP);
    }
    assert_eq!(estimator.timeout(), TIMEOUT_MIN);
}
