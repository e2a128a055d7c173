//! `routing`: compares the choice of upstreams with baselines and with one shared queue.
//!
//! A discrete-event simulation drives the routers of all traffic threads with simulated upstreams.
//! It does not model the platform; it only gives every policy the same requests.

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

/// Simulation threads. Each uses one core and, in the largest cases, a few hundred megabytes.
const THREADS: usize = 4;

/// Seeds start after this number. The constants of the router were chosen with seeds 1 to 3, so
/// those are excluded.
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
        .help("Number of seeds per row, 5 by default")
        .argument("N")
        .guard(|seeds| *seeds > 0, "at least one seed is needed")
        .fallback(5);
    let quick = long("quick").help("Run shorter simulations, to check the program itself").switch();
    construct!(Options { json, seeds, quick })
}

/// Runs the experiment and prints its results.
///
/// # Errors
///
/// Returns the error of standard output.
pub fn run(options: &Options) -> std::io::Result<()> {
    let report = run_matrix(options.seeds, options.quick);
    let mut out = std::io::stdout().lock();
    if options.json { report.write_json(&mut out) } else { report.write_text(&mut out) }
}

/// Runs every user, case and method with `seeds` seeds.
pub fn run_matrix(seeds: u64, quick: bool) -> Report {
    let timeline = if quick { Timeline::quick() } else { Timeline::full() };
    let mut setups = Vec::new();
    for user in User::ALL {
        for case in Case::all() {
            for method in case::Method::all() {
                setups.push(Setup { user, case, method, timeline, seed: 0 });
            }
        }
    }
    let runs: Vec<Setup> = setups
        .iter()
        .flat_map(|setup| (1..=seeds).map(|seed| Setup { seed: SEED_BASE + seed, ..*setup }))
        .collect();
    let metrics = run_all(&runs);
    let runs_per_setup = usize::try_from(seeds).unwrap_or(usize::MAX);
    let rows = setups
        .iter()
        .zip(metrics.chunks(runs_per_setup))
        .map(|(setup, metrics)| Row::new(setup, metrics))
        .collect();
    Report { seeds, timeline, rows }
}

fn run_all(runs: &[Setup]) -> Vec<Metrics> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let Some(setup) = runs.get(number) else { break };
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

/// Runs one setup and returns its metrics.
pub fn run_one(setup: &Setup) -> Metrics {
    match setup.method {
        case::Method::SharedQueue => shared::run(setup),
        case::Method::Router(policy) => driver::run(setup, policy),
    }
}
