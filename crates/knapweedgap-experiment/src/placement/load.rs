//! Batch jobs, services and the slowdowns that classes of jobs cause to services.

use std::time::Duration;

use fastrand::Rng;
use knapweedgap_core::size;
use knapweedgap_placement::job::{Constraint, Priority, Spec};

use super::case::{Setup, resources};

/// Number of services, assigned to the workers round-robin.
pub const SERVICES: usize = 5;
/// Number of classes of steady batch work.
const STEADY: usize = 10;
/// Index of the class that arrives only in waves and interferes more than the others.
const NOISY: usize = STEADY;
/// Number of waves of noisy jobs in a run.
const WAVES: u32 = 3;
/// Limit on the factor between declared and true size or run time, in either direction.
const ERROR_MAX: f64 = 4.0;
/// Mean interval between urgent jobs, in seconds.
const URGENT_INTERVAL_S: u32 = 10;
/// Interval between jobs that are too large for any worker, in seconds.
const OVERSIZED_INTERVAL_S: u32 = 60;

/// Class of batch work.
#[derive(Debug, Clone)]
pub struct Class {
    /// Declared size of a task.
    pub declared: size::Resources,
    /// Declared run time of a task.
    pub run_time: Duration,
    /// Cores that a task uses at full speed.
    pub cores: f64,
    /// True run time of a task at full speed, in seconds.
    pub work_s: f64,
    /// `true` if tasks write checkpoints on command.
    pub checkpoints: bool,
    /// Relative slowdown of each service near its full load, while the class uses all unreserved
    /// cores of the worker; 0 is none.
    pub slowdown: [f64; SERVICES],
}

/// Arrival of a job.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Virtual second of the arrival.
    pub second: u32,
    /// Offset within the second, in milliseconds.
    pub offset_ms: u64,
    /// Index of the class.
    pub class: usize,
    /// Job as it is submitted.
    pub spec: Spec,
}

/// Load of a run, the same for all methods.
#[derive(Debug)]
pub struct Load {
    /// Classes of batch work.
    pub classes: Vec<Class>,
    /// Jobs in order of arrival.
    pub arrivals: Vec<Arrival>,
}

impl Load {
    /// Draws the load of a run from its seed and the sizes of its user.
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
            if rng.u32(..URGENT_INTERVAL_S) == 0 {
                let class = rng.usize(..STEADY);
                push(&mut arrivals, second, class, &classes, Priority::Urgent, &mut rng);
            }
            if second.is_multiple_of(OVERSIZED_INTERVAL_S) {
                push_oversized(&mut arrivals, second, &classes);
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
        let draw = if noisy { 0.7 + 0.3 * rng.f64() } else { rng.f64() };
        // Most pairs do not interfere noticeably, some interfere moderately and some strongly.
        *value = match draw {
            draw if draw < 0.65 => 0.15 * rng.f64(),
            draw if draw < 0.85 => 0.3 + 0.5 * rng.f64(),
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

/// Adds a job and returns its demand in core seconds: declared cores for the true run time.
fn push(
    arrivals: &mut Vec<Arrival>,
    second: u32,
    class: usize,
    classes: &[Class],
    priority: Priority,
    rng: &mut Rng,
) -> f64 {
    let drawn = &classes[class];
    let urgent = priority == Priority::Urgent;
    let tasks = if urgent { 1 } else { rng.u32(1..=10) };
    let low = !urgent && rng.bool();
    let priority = if low { Priority::Low } else { priority };
    let spec = spec(arrivals.len(), class, drawn, priority, tasks);
    arrivals.push(Arrival { second, offset_ms: rng.u64(..1000), class, spec });
    f64::from(tasks) * drawn.declared.processor.milli() as f64 / 1000.0 * drawn.work_s
}

fn push_oversized(arrivals: &mut Vec<Arrival>, second: u32, classes: &[Class]) {
    let mut spec = spec(arrivals.len(), 0, &classes[0], Priority::Normal, 1);
    spec.size = resources(1000, 1);
    arrivals.push(Arrival { second, offset_ms: 0, class: 0, spec });
}

fn spec(number: usize, class: usize, drawn: &Class, priority: Priority, tasks: u32) -> Spec {
    Spec {
        team: "batch".parse().expect("a valid team"),
        key: format!("job-{number}").parse().expect("a valid key"),
        class: format!("class-{class}").parse().expect("a valid class"),
        priority,
        tasks,
        size: drawn.declared,
        run_time: drawn.run_time,
        retry_limit: 2,
        constraint: Constraint::default(),
        payload: class.to_string(),
    }
}
