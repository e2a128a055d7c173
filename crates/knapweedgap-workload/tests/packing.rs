//! Choice of a worker beside serving tasks.

use knapweedgap_core::size;
use knapweedgap_workload::packing::{Candidate, Need, Neighbours, Interference, cost};

fn need(best_effort: bool, serves: bool) -> Need<'static> {
    let size = size::Resources {
        processor: size::Processor::from_cores(2),
        memory: size::Bytes::new(1 << 30),
        accelerator: size::Accelerator::new(0),
    };
    Need { size, best_effort, serves, near: None }
}

fn candidate() -> Candidate<'static> {
    let free = size::Resources {
        processor: size::Processor::from_cores(8),
        memory: size::Bytes::new(32 << 30),
        accelerator: size::Accelerator::new(0),
    };
    Candidate {
        free,
        leftover: 8_000,
        rack: None,
        interference: None,
        runs_best_effort: false,
        neighbours: Neighbours::None,
        avoided: false,
    }
}

fn beside(left: u64, loss: u64) -> Candidate<'static> {
    Candidate { interference: Some(Interference { left, loss }), ..candidate() }
}

/// Guards against serving tasks of all images on every worker: then almost every filling task
/// disturbs one of them, and batch work waits for the few that it does not.
#[test]
fn serving_tasks_gather_by_image() {
    let need = need(false, true);
    let with = |neighbours| cost(&need, &Candidate { neighbours, ..candidate() });
    assert!(with(Neighbours::Same) < with(Neighbours::None));
    assert!(with(Neighbours::None) < with(Neighbours::Others));
    let full = Candidate { free: size::Resources::default(), ..candidate() };
    assert_eq!(cost(&need, &Candidate { neighbours: Neighbours::Same, ..full }), None);
}

/// Guards against workers without serving tasks that are full of work which disturbs nobody, when
/// work comes that does.
#[test]
fn a_filling_task_goes_beside_serving_ones_that_it_does_not_press() {
    let need = need(true, false);
    let (suited, vacant, pressed) = (beside(250, 10), candidate(), beside(120, 150));
    assert!(cost(&need, &suited) < cost(&need, &vacant));
    assert!(cost(&need, &vacant) < cost(&need, &pressed));
    assert!(cost(&need, &beside(250, 10)) < cost(&need, &beside(250, 90)));
}

/// Guards against a filling task that pushes the users of a serving one over their target.
#[test]
fn a_filling_task_leaves_serving_ones_their_slack() {
    assert_eq!(cost(&need(true, false), &beside(90, 80)), None);
}
