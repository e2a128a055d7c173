//! Estimates of interference and the levels that result from them.

mod support;

use std::time::{Duration, Instant};

use knapweedgap_workload::interference::{BestEffort, Level, Model, Serving};
use knapweedgap_workload::record::Pair;
use knapweedgap_workload::task;
use smol_str::SmolStr;

const TARGET: Duration = Duration::from_millis(50);

/// Model with the reports of workers that run tasks of one serving step.
struct Fixture {
    model: Model,
    now: Instant,
    step: task::Step,
    serving: SmolStr,
}

impl Fixture {
    fn new() -> Fixture {
        let job = "00000000000000a1".parse().expect("valid");
        let step = task::Step { job, occurrence: 0, step: 0 };
        Fixture { model: Model::default(), now: Instant::now(), step, serving: "portal".into() }
    }

    fn report(&mut self, worker: &str, tail_ms: u64, tasks: &[(&str, u64)]) {
        let worker = worker.parse().expect("valid");
        let tasks: Vec<BestEffort> = tasks
            .iter()
            .map(|(image, share)| BestEffort { image: (*image).into(), share: *share })
            .collect();
        let serving = Serving {
            step: self.step,
            worker: &worker,
            image: &self.serving,
            tail: Duration::from_millis(tail_ms),
            target: TARGET,
        };
        self.model.observe(&serving, &tasks, self.now);
        self.now += Duration::from_millis(250);
    }

    fn level(&self, best_effort: &str) -> Level {
        self.model.level(best_effort, &self.serving, self.now)
    }
}

/// Guards against best-effort tasks that stay on the worker of a serving task although they make it
/// miss its target.
#[test]
fn a_missed_target_sets_a_high_level_for_the_only_best_effort_task() {
    let mut fixture = Fixture::new();
    fixture.report("a", 20, &[]);
    fixture.report("b", 80, &[("plans", 100)]);
    assert_eq!(fixture.level("plans"), Level::High);
}

/// Guards against an image without interference that is kept away from most of the fleet.
#[test]
fn a_tail_like_the_uncontended_tail_sets_a_low_level() {
    let mut fixture = Fixture::new();
    for _ in 0..4 {
        fixture.report("a", 30, &[]);
        fixture.report("b", 31, &[("plans", 100)]);
    }
    assert_eq!(fixture.level("plans"), Level::Low);
}

/// Guards against attributing the users' load, which raises all tail latencies of a step, to a
/// best-effort task.
#[test]
fn a_change_of_the_users_load_sets_no_high_level() {
    let mut fixture = Fixture::new();
    for tail in [15, 20, 28, 36, 44, 40, 30, 20] {
        fixture.report("a", tail, &[]);
        fixture.report("b", tail, &[("plans", 100)]);
    }
    assert_eq!(fixture.level("plans"), Level::Low);
}

/// Guards against attributing the interference of a new image to one with a low level.
#[test]
fn interference_is_attributed_to_the_new_image() {
    let mut fixture = Fixture::new();
    for _ in 0..8 {
        fixture.report("a", 30, &[]);
        fixture.report("b", 30, &[("plans", 100)]);
    }
    fixture.report("b", 90, &[("plans", 100), ("reports", 100)]);
    assert_eq!(fixture.level("plans"), Level::Low);
    assert_eq!(fixture.level("reports"), Level::High);
}

/// Guards against an empty model after each takeover, which costs the users latency while it
/// learns.
#[test]
fn the_next_owner_restores_the_levels() {
    let mut fixture = Fixture::new();
    fixture.report("a", 20, &[]);
    fixture.report("b", 80, &[("plans", 100)]);
    let pairs = fixture.model.pairs();
    let [Pair(best_effort, serving, effect)] = &pairs[..] else { panic!("{pairs:?}") };
    assert_eq!((best_effort.as_str(), serving.as_str()), ("plans", "portal"));
    assert!(*effect > 5.0, "a tenth of the worker reduced the slack by 1.9: {effect}");
    let mut next = Model::default();
    next.restore(pairs, fixture.now);
    assert_eq!(next.level("plans", "portal", fixture.now), Level::High);
}

/// Guards against a wrong high level that keeps two images apart for ever.
#[test]
fn a_high_level_without_observations_becomes_unknown() {
    let mut fixture = Fixture::new();
    fixture.report("a", 20, &[]);
    fixture.report("b", 80, &[("plans", 100)]);
    assert_eq!(fixture.level("plans"), Level::High);
    fixture.now += Duration::from_secs(15);
    assert_eq!(fixture.level("plans"), Level::High);
    fixture.now += Duration::from_secs(75);
    assert_eq!(fixture.level("plans"), Level::Unknown);
}

/// Guards against a best-effort image that got a low level under a light load of the serving task
/// and then makes it miss its target for the rest of the day.
#[test]
fn a_low_level_becomes_high_when_the_effect_grows() {
    let mut fixture = Fixture::new();
    for _ in 0..24 {
        fixture.report("a", 15, &[]);
        fixture.report("b", 15, &[("plans", 100)]);
    }
    assert_eq!(fixture.level("plans"), Level::Low);
    for _ in 0..4 {
        fixture.report("a", 28, &[]);
        fixture.report("b", 400, &[("plans", 100)]);
    }
    assert_eq!(fixture.level("plans"), Level::High);
}

/// Guards against a wrong model: the effect on the slack is the same under every load of the users,
/// while the effect on the tail latency is not.
#[test]
fn the_effect_on_the_slack_does_not_depend_on_the_load() {
    // Tail latency of a queue in milliseconds; it is 10 ms when the queue is idle.
    let tail = |load: f64| (10.0 / (1.0 - load)) as u64;
    let mut estimates = Vec::new();
    for load in [0.25, 0.45, 0.65] {
        let mut fixture = Fixture::new();
        for _ in 0..20 {
            fixture.report("a", tail(load), &[]);
            fixture.report("b", tail(load + 0.2), &[("plans", 200)]);
        }
        estimates.push(fixture.model.loss("plans", "portal", fixture.now));
    }
    for estimate in estimates {
        // The target is five times the idle tail latency, and a whole worker of best-effort
        // processor time takes the whole load.
        assert!((4.0..6.0).contains(&estimate), "{estimate} instead of 5");
    }
}
