//! Guards against a wide step whose tasks are placed by outdated costs: the tasks of one step share
//! one pass over the fleet, and each must go where a pass of its own would place it.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::size;
use knapweedgap_workload::job::Step;
use support::{Harness, spec, step};

const RUN_TIME: Duration = Duration::from_secs(60);

/// Returns a fleet of random sizes that is partly in use.
fn harness(seed: u64) -> Harness {
    let mut random = fastrand::Rng::with_seed(seed);
    let cores: Vec<u32> = (0..random.usize(3..20)).map(|_| random.u32(2..24)).collect();
    let mut harness = Harness::new(&cores);
    harness.poll_all();
    for job in 0..random.u64(0..6) {
        let mut used = step(random.u32(1..4), random.u32(1..6), RUN_TIME);
        if random.bool() {
            used.long_running = true;
            used.tail_target = Some(Duration::from_millis(100));
            used.image = format!("serve-{}", random.u32(0..3)).into();
        }
        harness.submit("urgent", &format!("{:016x}", 0xb00 + job), spec(vec![used]));
    }
    harness.round();
    harness
}

fn tasks(harness: &Harness, from: u64) -> BTreeMap<u64, String> {
    let mut workers = BTreeMap::new();
    for (worker, task) in harness.running() {
        let job = u64::from_str_radix(&task.step.job.to_string(), 16).expect("hexadecimal");
        if job < from {
            continue;
        }
        workers.insert(job - from + u64::from(task.index), worker.to_string());
    }
    workers
}

#[test]
fn tasks_of_a_wide_step_go_where_single_tasks_would() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut wide = step(random.u32(2..40), 1, RUN_TIME);
        let processor = size::Processor::from_milli(random.u64(300..6_000));
        wide.size = size::Resources { processor, ..wide.size };
        wide.best_effort = random.bool();
        wide.image = "plan".into();
        let mut together = harness(seed);
        together.submit("urgent", "0000000000000c00", spec(vec![wide.clone()]));
        together.round();
        let mut apart = harness(seed);
        for index in 0..wide.count {
            let single = Step { count: 1, ..wide.clone() };
            apart.submit("urgent", &format!("{:016x}", 0xc00 + index), spec(vec![single]));
        }
        apart.round();
        let (together, apart) = (tasks(&together, 0xc00), tasks(&apart, 0xc00));
        assert_eq!(together, apart, "seed {seed}");
        // The limit holds for the tasks of one step, so it can't be compared with single tasks.
        let per_worker = random.u32(1..3);
        wide.per_worker = per_worker;
        let mut limited = harness(seed);
        limited.submit("urgent", "0000000000000c00", spec(vec![wide.clone()]));
        limited.round();
        let mut counts: BTreeMap<String, u32> = BTreeMap::new();
        for worker in tasks(&limited, 0xc00).into_values() {
            *counts.entry(worker).or_default() += 1;
        }
        assert!(counts.values().all(|count| *count <= per_worker), "seed {seed}: {counts:?}");
    }
}
