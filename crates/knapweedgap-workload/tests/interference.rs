//! What is learned of filling images beside serving ones, and what follows from it.

mod support;

use std::time::{Duration, Instant};

use knapweedgap_workload::interference::{BestEffort, Model, Serving, Level};
use knapweedgap_workload::record::Pair;
use knapweedgap_workload::task;
use smol_str::SmolStr;

const TARGET: Duration = Duration::from_millis(50);

/// Two workers that run tasks of one serving step, one of them with a filling task beside it.
struct Scene {
    model: Model,
    now: Instant,
    step: task::Step,
    serving: SmolStr,
}

impl Scene {
    fn new() -> Scene {
        let job = "00000000000000a1".parse().expect("valid");
        let step = task::Step { job, occurrence: 0, step: 0 };
        Scene { model: Model::default(), now: Instant::now(), step, serving: "portal".into() }
    }

    fn report(&mut self, worker: &str, tail_ms: u64, fillers: &[(&str, u64)]) {
        let worker = worker.parse().expect("valid");
        let fillers: Vec<BestEffort> = fillers
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
        self.model.observe(&serving, &fillers, self.now);
        self.now += Duration::from_millis(250);
    }

    fn level(&self, filler: &str) -> Level {
        self.model.level(filler, &self.serving, self.now)
    }
}

/// Guards against filling tasks that stay beside serving ones which they push over their target.
#[test]
fn a_tail_above_the_target_condemns_the_only_filler() {
    let mut scene = Scene::new();
    scene.report("a", 20, &[]);
    scene.report("b", 80, &[("plans", 100)]);
    assert_eq!(scene.level("plans"), Level::High);
}

/// Guards against a harmless image that is kept away from most of the fleet.
#[test]
fn tails_like_those_elsewhere_clear_a_filler() {
    let mut scene = Scene::new();
    for _ in 0..4 {
        scene.report("a", 30, &[]);
        scene.report("b", 31, &[("plans", 100)]);
    }
    assert_eq!(scene.level("plans"), Level::Low);
}

/// Guards against blaming a filler for the load of the users, which raises all tails of a step.
#[test]
fn a_swing_of_the_users_load_condemns_nobody() {
    let mut scene = Scene::new();
    for tail in [15, 20, 28, 36, 44, 40, 30, 20] {
        scene.report("a", tail, &[]);
        scene.report("b", tail, &[("plans", 100)]);
    }
    assert_eq!(scene.level("plans"), Level::Low);
}

/// Guards against blaming an image that is known to be harmless for one that came beside it.
#[test]
fn a_known_harmless_filler_is_not_blamed_for_another() {
    let mut scene = Scene::new();
    for _ in 0..8 {
        scene.report("a", 30, &[]);
        scene.report("b", 30, &[("plans", 100)]);
    }
    scene.report("b", 90, &[("plans", 100), ("reports", 100)]);
    assert_eq!(scene.level("plans"), Level::Low);
    assert_eq!(scene.level("reports"), Level::High);
}

/// Guards against learning everything anew, at the cost of the users, after each takeover.
#[test]
fn the_next_owner_knows_the_verdicts() {
    let mut scene = Scene::new();
    scene.report("a", 20, &[]);
    scene.report("b", 80, &[("plans", 100)]);
    let known = scene.model.pairs();
    let [Pair(filler, serving, effect)] = &known[..] else { panic!("{known:?}") };
    assert_eq!((filler.as_str(), serving.as_str()), ("plans", "portal"));
    assert!(*effect > 5.0, "a tenth of the worker took 1.9 of the slack: {effect}");
    let mut next = Model::default();
    next.restore(known, scene.now);
    assert_eq!(next.level("plans", "portal", scene.now), Level::High);
}

/// Guards against a mistaken verdict that keeps two images apart for good.
#[test]
fn a_harmful_filler_is_tried_again_after_a_while() {
    let mut scene = Scene::new();
    scene.report("a", 20, &[]);
    scene.report("b", 80, &[("plans", 100)]);
    assert_eq!(scene.level("plans"), Level::High);
    scene.now += Duration::from_secs(15);
    assert_eq!(scene.level("plans"), Level::High);
    scene.now += Duration::from_secs(75);
    assert_eq!(scene.level("plans"), Level::Unknown);
}

/// Guards against a filler that was cleared under a light load of the serving task and then keeps
/// it over its target for the rest of the day.
#[test]
fn a_cleared_filler_is_blamed_when_its_effect_grows() {
    let mut scene = Scene::new();
    for _ in 0..24 {
        scene.report("a", 15, &[]);
        scene.report("b", 15, &[("plans", 100)]);
    }
    assert_eq!(scene.level("plans"), Level::Low);
    for _ in 0..4 {
        scene.report("a", 28, &[]);
        scene.report("b", 400, &[("plans", 100)]);
    }
    assert_eq!(scene.level("plans"), Level::High);
}

/// Guards against a wrong law: the effect on the slack is the same under every load of the users,
/// while that on the tail is not.
#[test]
fn the_effect_on_the_slack_does_not_depend_on_the_load() {
    // Tail of a queue whose tail is 10 ms when it is idle.
    let tail = |load: f64| (10.0 / (1.0 - load)) as u64;
    let mut estimates = Vec::new();
    for load in [0.25, 0.45, 0.65] {
        let mut scene = Scene::new();
        for _ in 0..20 {
            scene.report("a", tail(load), &[]);
            scene.report("b", tail(load + 0.2), &[("plans", 200)]);
        }
        estimates.push(scene.model.loss("plans", "portal", scene.now));
    }
    for estimate in estimates {
        // A target of five times the idle tail, and the load of a whole filled worker.
        assert!((4.0..6.0).contains(&estimate), "{estimate} instead of 5");
    }
}
