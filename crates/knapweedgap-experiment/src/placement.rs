//! `placement`: compares colocation by the placement engine with baselines.
//!
//! The engines of all partitions run on a virtual clock with simulated workers and simulated
//! latency reports of services. Every method receives the same jobs, services and slowdowns; the
//! engine does not see the slowdowns.

pub mod case;
pub mod driver;
pub mod host;
pub mod load;
pub mod metrics;
pub mod report;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use bpaf::{Parser, construct, long};

use case::{Method, Setup, User, Weighting};
use metrics::Metrics;
use report::{Report, Row};

/// Simulation threads. Each uses one core.
const THREADS: usize = 4;

/// Options of the command.
#[derive(Debug, Clone)]
pub struct Options {
    json: bool,
    seeds: u64,
    seed_base: u64,
    quick: bool,
}

/// Returns the parser of the options.
pub fn options() -> impl Parser<Options> {
    let json = long("json").help("Print JSON instead of a text table").switch();
    let seeds = long("seeds")
        .help("Number of seeds per row, 5 by default")
        .argument("N")
        .guard(|seeds| *seeds > 0, "at least one seed is needed")
        .fallback(5);
    let seed_base = long("seed-base")
        .help("Seeds start after this number, 100 by default; the engine was tuned with 0")
        .argument("N")
        .fallback(100);
    let quick = long("quick").help("Run shorter simulations, to check the program itself").switch();
    construct!(Options { json, seeds, seed_base, quick })
}

/// Runs the experiment and prints its results.
///
/// # Errors
///
/// Returns the error of standard output.
pub fn run(options: &Options) -> std::io::Result<()> {
    let seconds = if options.quick { case::QUICK_SECONDS } else { case::FULL_SECONDS };
    let report = run_matrix(options.seeds, options.seed_base, seconds);
    let mut out = std::io::stdout().lock();
    if options.json { report.write_json(&mut out) } else { report.write_text(&mut out) }
}

/// Runs every user, weighting and method with the `seeds` seeds that follow `seed_base`, each for
/// `seconds` virtual seconds.
pub fn run_matrix(seeds: u64, seed_base: u64, seconds: u32) -> Report {
    let mut setups = Vec::new();
    for user in User::ALL {
        for weighting in Weighting::ALL {
            for method in Method::ALL {
                setups.push(Setup { user, weighting, method, seconds, seed: 0 });
            }
        }
    }
    let runs: Vec<Setup> = setups
        .iter()
        .flat_map(|setup| (1..=seeds).map(|seed| Setup { seed: seed_base + seed, ..*setup }))
        .collect();
    let metrics = run_all(&runs);
    let per_setup = usize::try_from(seeds).unwrap_or(usize::MAX);
    let chunks = setups.into_iter().zip(metrics.chunks(per_setup));
    let rows = chunks.map(|(setup, metrics)| Row::new(setup, metrics)).collect();
    Report { seeds, seconds, rows }
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
                    let metrics = driver::run(setup);
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
