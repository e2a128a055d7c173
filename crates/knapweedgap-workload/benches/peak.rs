//! Processor time of the engine's parts at the peak load of a large fleet: 890 workers, 34 jobs a
//! second, steps of up to 39 tasks. Prints milliseconds for each second of the load.
//!
//! `cargo bench -p knapweedgap-workload --bench peak`

mod common;
#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{sized, time};
use knapweedgap_core::id;
use knapweedgap_workload::action::Action;
use knapweedgap_workload::api::Verb;
use knapweedgap_workload::job::{Spec, Step};
use support::{Harness, spec};

const WORKERS: usize = 890;
const CORES: u32 = 16;
/// Simulated time, in seconds. The first second fills the fleet with serving tasks.
const SECONDS: u32 = 8;
/// Time between two polls of one worker, in rounds of [`ROUND`].
const POLL_ROUNDS: u32 = 4;
const ROUND: Duration = Duration::from_millis(50);
/// Rounds in one second.
const ROUNDS: u32 = 20;

fn main() {
    let mut harness = Harness::new(&vec![CORES; WORKERS]);
    harness.poll_all();
    let mut times: BTreeMap<&'static str, Duration> = BTreeMap::new();
    let (mut jobs, mut starts, mut reports) = (0u64, 0u64, 0u64);
    let ids: Vec<id::Worker> = harness.workers.keys().cloned().collect();
    for second in 0..SECONDS {
        for round in 0..ROUNDS {
            harness.advance(ROUND);
            for spec in arrivals(second, round) {
                jobs += 1;
                let job = format!("{jobs:016x}");
                time(&mut times, "request", || {
                    harness.request("batch", &job, Verb::Submit(Box::new(spec)));
                });
            }
            time(&mut times, "tick", || harness.engine.tick(harness.now, harness.wall_ms));
            let batch = time(&mut times, "batch", || harness.engine.take_batch(harness.now));
            if let Some(batch) = batch {
                time(&mut times, "committed", || harness.engine.committed(&batch, harness.now));
            }
            let actions = harness.engine.actions();
            for action in actions {
                let Action::Start(target, start) = action else { continue };
                starts += 1;
                let Some(worker) = harness.workers.get_mut(&target.worker) else { continue };
                let result = worker.start(&target, &start);
                time(&mut times, "start_answered", || {
                    harness.engine.start_answered(&target, &start, result, harness.now);
                });
            }
            let turn = (second * ROUNDS + round) % POLL_ROUNDS;
            for id in ids.iter().skip(turn as usize).step_by(POLL_ROUNDS as usize) {
                let poll = time(&mut times, "poll", || harness.engine.poll(id, harness.now));
                let Some((target, poll)) = poll else { continue };
                let Some(worker) = harness.workers.get_mut(id) else { continue };
                let result = worker.poll(&target, &poll);
                reports += 1;
                time(&mut times, "poll_answered", || {
                    harness.engine.poll_answered(&target, &poll, harness.now, result, harness.now);
                });
            }
        }
    }
    println!("jobs={jobs} starts={starts} reports={reports} seconds={SECONDS}");
    for (part, time) in times {
        println!("{part:>16} {:8.2} ms a second", time.as_secs_f64() * 1e3 / f64::from(SECONDS));
    }
}

/// Returns the jobs that arrive in a round.
fn arrivals(second: u32, round: u32) -> Vec<Spec> {
    if second == 0 {
        // Standing jobs of 24 serving tasks.
        let serving = |n: u32| {
            let mut serving = sized(24, 2_500, Duration::from_secs(600));
            serving.long_running = true;
            serving.tail_target = Some(Duration::from_millis(100));
            serving.image = format!("serve-{}", n % 5).into();
            spec(vec![serving])
        };
        return (0..8).map(|n| serving(round + n)).collect();
    }
    let mut jobs = Vec::new();
    if round.is_multiple_of(2) {
        jobs.push(spec(vec![sized(9, 5_300, Duration::from_secs(1))]));
    }
    let mut plan = sized(39, 1_800, Duration::from_millis(1_700));
    plan.best_effort = round.is_multiple_of(3);
    plan.image = format!("plan-{}", round % 7).into();
    let next = Step { after: vec![0], ..plan.clone() };
    jobs.push(spec(vec![plan, next]));
    jobs
}
