//! Guards against blaming a harmless class for the harm of its neighbour, and against placing a
//! class beside a service that it is known to slow down.

use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_placement::contribution::{Mix, Model};

const STEP: Duration = Duration::from_secs(5);

fn service() -> id::Service {
    "dispatch".parse().expect("valid")
}

fn worker() -> id::Worker {
    "w1".parse().expect("valid")
}

fn class(name: &str) -> id::Class {
    name.parse().expect("valid")
}

/// Learns from reports in which only the class `loud` adds to the latency.
fn taught(now: Instant) -> Model {
    let mut model = Model::default();
    for round in 0..200_u32 {
        let at = now + STEP * round;
        let quiet = (class("quiet"), 0.5);
        let loud = (class("loud"), 0.5);
        let (mix, ratio): (Mix, f64) = match round % 4 {
            0 => (vec![quiet], 0.5),
            1 => (vec![quiet, loud], 1.3),
            2 => (vec![], 0.5),
            _ => (vec![loud], 1.3),
        };
        model.record_mix(&worker(), mix, at);
        model.learn(&worker(), &service(), ratio, at);
    }
    model
}

#[test]
fn harm_is_given_to_the_class_that_causes_it() {
    let model = taught(Instant::now());
    let quiet = model.coefficient(&service(), &class("quiet")).mean;
    let loud = model.coefficient(&service(), &class("loud")).mean;
    assert!(quiet < 0.2, "{quiet}");
    assert!((1.3..1.9).contains(&loud), "{loud}");
}

#[test]
fn a_late_report_is_matched_with_the_classes_of_its_time() {
    let now = Instant::now();
    let mut model = taught(now);
    let before = model.coefficient(&service(), &class("quiet")).mean;
    let since = now + STEP * 300;
    model.record_mix(&worker(), vec![(class("loud"), 0.5)], since);
    model.record_mix(&worker(), vec![(class("quiet"), 0.5)], since + STEP);
    // Measured while only `loud` ran.
    model.learn(&worker(), &service(), 3.0, since + Duration::from_secs(1));
    assert_eq!(model.coefficient(&service(), &class("quiet")).mean, before);
}

#[test]
fn a_known_harmful_class_is_expected_to_break_the_target() {
    let model = taught(Instant::now());
    let expect = |name| model.predict(&worker(), &service(), &vec![(class(name), 0.5)]);
    assert!(expect("loud") > 1.0, "{}", expect("loud"));
    assert!(expect("quiet") < 1.0, "{}", expect("quiet"));
}
