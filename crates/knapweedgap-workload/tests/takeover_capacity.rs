//! Random takeovers while stops take a while and starts of earlier owners are carried out late.
//!
//! Each seed gives one scenario. Guards against a start over the capacity of a worker: what is
//! being stopped still uses its capacity, also when only an earlier owner knew why it is stopped.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use knapweedgap_core::{id, size};
use knapweedgap_workload::api::Verb;
use knapweedgap_workload::job::Step;
use knapweedgap_workload::order::{Failure, Start, Target};
use support::{Harness, spec, step};

/// Number of scenarios in one run of the test.
const SEEDS: u64 = 50;
/// Number of rounds of 50 ms.
const ROUNDS: u32 = 300;
const ROUND: Duration = Duration::from_millis(50);
const CORES: [u32; 4] = [4, 4, 8, 8];
const STOP_TIME: Duration = Duration::from_millis(400);

/// Scenario of one seed.
struct Scenario {
    harness: Harness,
    random: Rng,
    /// Step of each job.
    steps: BTreeMap<id::Job, Step>,
    /// Starts that are carried out late, with the round of each.
    late: Vec<(u32, Target, Start)>,
    round: u32,
    seed: u64,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut harness = Harness::new(&CORES);
        for worker in harness.workers.values_mut() {
            worker.stop_time = STOP_TIME;
        }
        harness.poll_all();
        let (random, steps) = (Rng::with_seed(seed), BTreeMap::new());
        Scenario { harness, random, steps, late: Vec::new(), round: 0, seed }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.u32(..100) < percent
    }

    fn submit(&mut self) {
        let name = format!("{:016x}", self.steps.len() + 1);
        let (count, cores) = (self.random.u32(1..4), self.random.u32(1..5));
        let mut step = step(count, cores, Duration::from_secs(1));
        step.size.memory = size::Bytes::new(self.random.u64(1..24) << 30);
        step.copies = self.chance(70);
        step.best_effort = self.chance(20);
        self.harness.submit("batch", &name, spec(vec![step.clone()]));
        self.steps.insert(name.parse().expect("valid"), step);
    }

    fn cancel(&mut self) {
        let names: Vec<String> = self.steps.keys().map(id::Job::to_string).collect();
        let Some(name) = self.random.choice(&names) else { return };
        self.harness.request("batch", name, Verb::Cancel);
    }

    /// Delays the pending start orders; the owner gets no answer.
    fn delay_starts(&mut self) {
        for (target, start) in std::mem::take(&mut self.harness.starts) {
            let round = self.round + self.random.u32(1..60);
            self.late.push((round, target.clone(), start.clone()));
            let (result, now) = (Err(Failure::Unanswered("lost".into())), self.harness.now);
            self.harness.engine.start_answered(&target, &start, result, now);
        }
        self.harness.collect();
    }

    fn deliver_late(&mut self) {
        let round = self.round;
        for (_, target, start) in self.late.extract_if(.., |late| late.0 <= round) {
            let Some(worker) = self.harness.workers.get_mut(&target.worker) else { continue };
            // The owner does not receive the answer.
            let _ = worker.start(&target, &start);
        }
    }

    fn step(&mut self) {
        self.round += 1;
        self.harness.advance(ROUND);
        self.deliver_late();
        self.check_capacity();
        if self.chance(30) {
            self.submit();
        }
        if self.chance(10) {
            self.cancel();
        }
        let index = self.random.usize(..CORES.len());
        if self.chance(8) {
            let is_isolated = self.harness.worker(index).is_isolated;
            self.harness.worker(index).is_isolated = !is_isolated;
        }
        if self.chance(70) {
            self.harness.commit();
        }
        if self.chance(10) {
            self.delay_starts();
        }
        if self.chance(5) {
            self.harness.take_over();
        }
        self.harness.deliver();
        self.check_capacity();
        let ids: Vec<id::Worker> = self.harness.workers.keys().cloned().collect();
        for id in ids {
            if self.chance(40) {
                self.harness.poll(&id);
            }
        }
    }

    fn check_capacity(&self) {
        for worker in self.harness.workers.values() {
            let mut used = size::Resources::default();
            for task in worker.runs.keys() {
                let step = &self.steps[&task.step.job];
                let mut size = step.size;
                if step.best_effort {
                    size.processor = size::Processor::default();
                }
                used += size;
            }
            let (seed, id, capacity) = (self.seed, &worker.listed.id, worker.listed.capacity);
            assert!(capacity.fits(&used), "seed {seed}: {id} runs {used} of {capacity}");
        }
    }
}

#[test]
fn takeovers_during_stops_keep_each_worker_within_its_capacity() {
    for seed in 0..SEEDS {
        let mut scenario = Scenario::new(seed);
        for _ in 0..ROUNDS {
            scenario.step();
        }
    }
}
