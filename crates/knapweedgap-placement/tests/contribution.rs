//! Guards against attributing a latency increase to the wrong class, and against placing a class
//! with a service that it is known to slow down.

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

/// Returns a model trained on reports in which only the class `interfering` increases the latency.
fn trained_model(now: Instant) -> Model {
    let mut model = Model::default();
    for round in 0..200_u32 {
        let at = now + STEP * round;
        let neutral = (class("neutral"), 0.5);
        let interfering = (class("interfering"), 0.5);
        let (mix, ratio): (Mix, f64) = match round % 4 {
            0 => (vec![neutral], 0.5),
            1 => (vec![neutral, interfering], 1.3),
            2 => (vec![], 0.5),
            _ => (vec![interfering], 1.3),
        };
        model.record_mix(&worker(), mix, at);
        model.learn(&worker(), &service(), ratio, at);
    }
    model
}

#[test]
fn latency_increase_is_attributed_to_the_interfering_class() {
    let model = trained_model(Instant::now());
    let neutral = model.coefficient(&service(), &class("neutral")).mean;
    let interfering = model.coefficient(&service(), &class("interfering")).mean;
    assert!(neutral < 0.2, "{neutral}");
    assert!((1.3..1.9).contains(&interfering), "{interfering}");
}

#[test]
fn late_report_is_matched_with_the_mix_at_its_start() {
    let now = Instant::now();
    let mut model = trained_model(now);
    let before = model.coefficient(&service(), &class("neutral")).mean;
    let since = now + STEP * 300;
    model.record_mix(&worker(), vec![(class("interfering"), 0.5)], since);
    model.record_mix(&worker(), vec![(class("neutral"), 0.5)], since + STEP);
    // Measured while only `interfering` ran.
    model.learn(&worker(), &service(), 3.0, since + Duration::from_secs(1));
    assert_eq!(model.coefficient(&service(), &class("neutral")).mean, before);
}

#[test]
fn interfering_class_is_predicted_to_miss_the_target() {
    let model = trained_model(Instant::now());
    let predict = |name| model.predict(&worker(), &service(), &vec![(class(name), 0.5)]);
    assert!(predict("interfering") > 1.0, "{}", predict("interfering"));
    assert!(predict("neutral") < 1.0, "{}", predict("neutral"));
}
