//! Batch jobs, services and the hidden slowdowns between them.

use std::time::Duration;

use fastrand::Rng;
use knapweedgap_core::size;
use knapweedgap_placement::job::{Constraint, Priority, Spec};

use super::case::{Setup, resources};

/// Services, spread over the workers in turn.
pub const SERVICES: usize = 5;
/// Classes of steady batch work.
const STEADY: usize = 10;
/// Class that arrives in waves only.
const NOISY: usize = STEADY;
/// Waves of noisy jobs in a run.
const WAVES: u32 = 3;
/// Largest factor between the declared and the true size or run time, either way.
const ERROR_MAX: f64 = 4.0;
/// Mean interval between urgent jobs.
const URGENT_EVERY_S: u32 = 10;
/// Interval between jobs that no worker can run.
const IMPOSSIBLE_EVERY_S: u32 = 60;

/// Kind of batch work.
#[derive(Debug, Clone)]
pub struct Class {
    /// Declared size of a task.
    pub declared: size::Resources,
    /// Declared run time of a task.
    pub run_time: Duration,
    /// Cores that a task uses when nothing holds it up.
    pub cores: f64,
    /// Run time of a task at full speed.
    pub work_s: f64,
    /// Whether a task can write checkpoints.
    pub checkpoints: bool,
    /// Slowdown that the class causes to each service when it fills the worker at full load.
    pub slowdown: [f64; SERVICES],
}

/// Job that arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Second of arrival.
    pub second: u32,
    /// Milliseconds after it.
    pub offset_ms: u64,
    /// Class.
    pub class: usize,
    /// What is submitted.
    pub spec: Spec,
}

/// Everything that is the same for all methods.
#[derive(Debug)]
pub struct Load {
    /// Classes of batch work.
    pub classes: Vec<Class>,
    /// Jobs in the order of arrival.
    pub arrivals: Vec<Arrival>,
}

impl Load {
    /// Draws the load of a run from its seed and its sizes.
    pub fn new(setup: &Setup) -> Load {
        let mut rng = Rng::with_seed(setup.seed);
        let classes: Vec<Class> =
            (0..=NOISY).map(|number| draw_class(setup, number == NOISY, &mut rng)).collect();
        let mut arrivals = Vec::new();
        let free = setup.user.cores() * 3 / 4;
        let supply = f64::from(free) * setup.user.workers() as f64;
        let (mut steady, mut noisy) = (0.0, 0.0);
        for second in 0..setup.seconds {
            steady += supply;
            while steady > 0.0 {
                let class = rng.usize(..STEADY);
                steady -= push(&mut arrivals, second, class, &classes, Priority::Normal, &mut rng);
            }
            if is_wave(setup, second) {
                noisy += supply / 2.0;
            }
            while noisy > 0.0 {
                noisy -= push(&mut arrivals, second, NOISY, &classes, Priority::Low, &mut rng);
            }
            if rng.u32(..URGENT_EVERY_S) == 0 {
                let class = rng.usize(..STEADY);
                push(&mut arrivals, second, class, &classes, Priority::Urgent, &mut rng);
            }
            if second.is_multiple_of(IMPOSSIBLE_EVERY_S) {
                push_impossible(&mut arrivals, second, &classes);
            }
        }
        arrivals.sort_by_key(|arrival| (arrival.second, arrival.offset_ms));
        Load { classes, arrivals }
    }
}

fn is_wave(setup: &Setup, second: u32) -> bool {
    let period = setup.seconds / WAVES;
    let phase = second % period;
    (period / 2..period / 2 + period / 6).contains(&phase)
}

fn draw_class(setup: &Setup, noisy: bool, rng: &mut Rng) -> Class {
    let unit = setup.user.cores() / 16;
    let cores = unit * rng.u32(1..=4);
    let gib = u64::from(cores) * rng.u64(1..=3);
    let run_time = Duration::from_secs(rng.u64(60..=300));
    let error = |rng: &mut Rng| ERROR_MAX.powf(rng.f64() * 2.0 - 1.0);
    let mut slowdown = [0.0; SERVICES];
    for value in &mut slowdown {
        let kind = if noisy { 0.7 + 0.3 * rng.f64() } else { rng.f64() };
        // Most pairs are harmless, some are visible and some are harmful.
        *value = match kind {
            kind if kind < 0.65 => 0.15 * rng.f64(),
            kind if kind < 0.85 => 0.3 + 0.5 * rng.f64(),
            _ => 1.5 + 1.5 * rng.f64(),
        };
    }
    Class {
        declared: resources(cores, gib),
        run_time,
        cores: f64::from(cores) * error(rng),
        work_s: run_time.as_secs_f64() * error(rng),
        checkpoints: rng.bool(),
        slowdown,
    }
}

/// Adds a job and returns its demand in declared core seconds.
fn push(
    arrivals: &mut Vec<Arrival>,
    second: u32,
    class: usize,
    classes: &[Class],
    priority: Priority,
    rng: &mut Rng,
) -> f64 {
    let kind = &classes[class];
    let urgent = priority == Priority::Urgent;
    let tasks = if urgent { 1 } else { rng.u32(1..=10) };
    let low = !urgent && rng.bool();
    let priority = if low { Priority::Low } else { priority };
    let spec = spec(arrivals.len(), class, kind, priority, tasks);
    arrivals.push(Arrival { second, offset_ms: rng.u64(..1000), class, spec });
    f64::from(tasks) * kind.declared.processor.milli() as f64 / 1000.0 * kind.work_s
}

fn push_impossible(arrivals: &mut Vec<Arrival>, second: u32, classes: &[Class]) {
    let mut spec = spec(arrivals.len(), 0, &classes[0], Priority::Normal, 1);
    spec.size = resources(1000, 1);
    arrivals.push(Arrival { second, offset_ms: 0, class: 0, spec });
}

fn spec(number: usize, class: usize, kind: &Class, priority: Priority, tasks: u32) -> Spec {
    Spec {
        team: "batch".parse().expect("a valid team"),
        key: format!("job-{number}").parse().expect("a valid key"),
        class: format!("class-{class}").parse().expect("a valid class"),
        priority,
        tasks,
        size: kind.declared,
        run_time: kind.run_time,
        retry_limit: 2,
        constraint: Constraint::default(),
        payload: class.to_string(),
    }
}
