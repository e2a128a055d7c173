//! Time from the submission of a job of one task to its committed placement in an engine with
//! running tasks. Compares one of 28 partitions with a single partition for the whole fleet.

use std::cell::RefCell;
use std::time::Duration;

use knapweedgap_core::size;
use knapweedgap_experiment::cost::{Simulation, job_spec};
use knapweedgap_placement::job::BodyHash;

const PARTITIONS: u32 = 28;
/// Workers and running tasks of the whole fleet.
const FLEETS: [(u32, u32); 4] = [(100, 10), (100, 860), (1000, 8600), (5700, 49_000)];

fn main() {
    divan::main();
}

#[divan::bench(args = FLEETS, sample_count = 50, sample_size = 1)]
fn one_of_28_partitions(bencher: divan::Bencher, (workers, tasks): (u32, u32)) {
    place(bencher, workers.div_ceil(PARTITIONS), tasks.div_ceil(PARTITIONS));
}

#[divan::bench(args = FLEETS, sample_count = 50, sample_size = 1)]
fn one_single_partition(bencher: divan::Bencher, (workers, tasks): (u32, u32)) {
    place(bencher, workers, tasks);
}

fn place(bencher: divan::Bencher, workers: u32, tasks: u32) {
    let simulation = RefCell::new(Simulation::with(workers, tasks));
    let mut number = 1_000_000;
    let next = || {
        // Workers receive new tasks only while their last report is recent.
        simulation.borrow_mut().report_all();
        number += 1;
        let mut spec = job_spec(number, 1);
        // Small enough that the fleet has capacity for all samples.
        spec.size.processor = size::Processor::from_milli(10);
        spec.size.memory = size::Bytes::new(1 << 20);
        spec
    };
    bencher.with_inputs(next).bench_local_values(|spec| {
        let mut simulation = simulation.borrow_mut();
        let now = simulation.now;
        let receipt = simulation.engine.submit(spec, BodyHash::of(b"one"), now);
        simulation.advance(Duration::from_millis(150));
        receipt.is_ok()
    });
}
