//! `routing`: measures the choice of upstreams against baselines and one shared queue.
//!
//! A discrete-event loop with a virtual clock drives the routers of all traffic threads over fakes
//! of upstreams. It models no platform; it only gives every policy the same requests.

pub mod case;
pub mod driver;
pub mod events;
pub mod metrics;
pub mod report;
pub mod shared;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use bpaf::{Parser, construct, long};

use case::{Case, Setup, Timeline, User};
use metrics::Metrics;
use report::{Report, Row};

/// Runs at once. Each takes one core and, with the most requests, a few hundred megabytes.
const WORKERS: usize = 4;

/// Seed before the first one. The constants of the router were chosen with seeds 1 to 3, so those
/// are not measured.
const SEED_BASE: u64 = 100;

/// Options of the command.
#[derive(Debug, Clone)]
pub struct Options {
    json: bool,
    seeds: u64,
    quick: bool,
}

/// Returns the parser of the options.
pub fn options() -> impl Parser<Options> {
    let json = long("json").help("Print JSON instead of text tables").switch();
    let seeds = long("seeds")
        .help("Number of seeds, 5 by default")
        .argument("N")
        .guard(|seeds| *seeds > 0, "at least one seed is needed")
        .fallback(5);
    let quick = long("quick").help("Shorter runs, for a check of the program").switch();
    construct!(Options { json, seeds, quick })
}

/// Runs the experiment and prints its results.
///
/// # Errors
///
/// Returns the error of writing the results.
pub fn run(options: &Options) -> std::io::Result<()> {
    let report = measure_all(options.seeds, options.quick);
    let mut out = std::io::stdout().lock();
    if options.json { report.write_json(&mut out) } else { report.write_text(&mut out) }
}

/// Measures every user, case and method over `seeds` seeds.
pub fn measure_all(seeds: u64, quick: bool) -> Report {
    let timeline = if quick { Timeline::quick() } else { Timeline::full() };
    let mut setups = Vec::new();
    for user in User::ALL {
        for case in Case::all() {
            for method in case::Method::all() {
                setups.push(Setup { user, case, method, timeline, seed: 0 });
            }
        }
    }
    let jobs: Vec<Setup> = setups
        .iter()
        .flat_map(|setup| (1..=seeds).map(|seed| Setup { seed: SEED_BASE + seed, ..*setup }))
        .collect();
    let runs_metrics = run_jobs(&jobs);
    let runs_per_setup = usize::try_from(seeds).unwrap_or(usize::MAX);
    let rows = setups
        .iter()
        .zip(runs_metrics.chunks(runs_per_setup))
        .map(|(setup, runs_metrics)| Row::new(setup, runs_metrics))
        .collect();
    Report { seeds, timeline, rows }
}

fn run_jobs(jobs: &[Setup]) -> Vec<Metrics> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some(setup) = jobs.get(number) else { break };
                    let metrics = run_one(setup);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((number, metrics));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(number, _)| *number);
    results.into_iter().map(|(_, metrics)| metrics).collect()
}

/// Measures one setup.
pub fn run_one(setup: &Setup) -> Metrics {
    match setup.method {
        case::Method::SharedQueue => shared::run(setup),
        case::Method::Router(policy) => driver::run(setup, policy),
    }
}
