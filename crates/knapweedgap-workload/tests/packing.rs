//! Choice of a worker among workers with serving tasks.

use knapweedgap_core::size;
use knapweedgap_workload::exclusion::Exclusion;
use knapweedgap_workload::packing::{Candidate, Demand, Interference, Neighbours, cost};

fn demand(best_effort: bool, serves: bool) -> Demand<'static> {
    let size = size::Resources {
        processor: size::Processor::from_cores(2),
        memory: size::Bytes::new(1 << 30),
        accelerator: size::Accelerator::new(0),
    };
    Demand { size, best_effort, serves, near: None }
}

fn candidate() -> Candidate<'static> {
    let free = size::Resources {
        processor: size::Processor::from_cores(8),
        memory: size::Bytes::new(32 << 30),
        accelerator: size::Accelerator::new(0),
    };
    Candidate {
        free,
        unused_processor: 8_000,
        rack: None,
        interference: None,
        runs_best_effort: false,
        neighbours: Neighbours::None,
        slow: false,
        avoided: false,
    }
}

fn serving(remaining: u64, loss: u64) -> Candidate<'static> {
    Candidate { interference: Some(Interference { remaining, loss }), ..candidate() }
}

/// Guards against a mix of serving images on every worker: almost every best-effort task then
/// interferes with one of them, and few workers are left for batch work.
#[test]
fn serving_tasks_are_grouped_by_image() {
    let demand = demand(false, true);
    let with = |neighbours| cost(&demand, &Candidate { neighbours, ..candidate() });
    assert!(with(Neighbours::Same) < with(Neighbours::None));
    assert!(with(Neighbours::None) < with(Neighbours::Others));
    let full = Candidate { free: size::Resources::default(), ..candidate() };
    assert_eq!(
        cost(&demand, &Candidate { neighbours: Neighbours::Same, ..full }),
        Err(Exclusion::Capacity)
    );
}

/// Guards against workers without serving tasks that are full of best-effort tasks with little
/// interference when tasks with high interference arrive.
#[test]
fn a_best_effort_task_is_placed_with_serving_tasks_that_tolerate_it() {
    let demand = demand(true, false);
    let (suitable, vacant, interfering) = (serving(250, 10), candidate(), serving(120, 150));
    assert!(cost(&demand, &suitable) < cost(&demand, &vacant));
    assert!(cost(&demand, &vacant) < cost(&demand, &interfering));
    assert!(cost(&demand, &serving(250, 10)) < cost(&demand, &serving(250, 90)));
}

/// Guards against placement of a best-effort task that makes a serving task miss its target.
#[test]
fn a_best_effort_task_leaves_serving_tasks_their_slack() {
    assert_eq!(cost(&demand(true, false), &serving(90, 80)), Err(Exclusion::Slack));
}
