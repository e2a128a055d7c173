//! Former owners that have not noticed the loss of the ownership and still renew leases, while the
//! present owner decides when the leases of workers without contact have ended.
//!
//! Each seed gives one scenario: owners are replaced with and without a release, several times in a
//! row; former owners freeze and wake up; polls arrive seconds late; the clocks of workers are slow
//! by the specified drift; each worker may be out of reach of one owner and in reach of another;
//! the store is away for seconds. Guards against two runs of a task at once.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use fastrand::Rng;
use knapweedgap_core::id;
use knapweedgap_workload::bounds::{CLOCK_DRIFT, OWNER_GRACE};
use knapweedgap_workload::engine::Engine;
use knapweedgap_workload::job::Step;
use knapweedgap_workload::order::{Failure, Poll, Target};
use support::{Harness, spec, step};

/// Number of scenarios in one run of the test.
const SEEDS: u64 = 60;
/// Number of rounds with faults.
const ROUNDS: u32 = 600;
const ROUND: Duration = Duration::from_millis(50);
const CORES: [u32; 4] = [8, 8, 8, 8];
const TASKS: u32 = 6;
/// Longest transit time of a late poll, in rounds.
const TRANSIT_MAX: u32 = 100;

/// Owner that was replaced without a release.
struct Former {
    engine: Engine,
    /// When its last commit was sent.
    confirmed_at: Instant,
    /// Workers that it reaches.
    reach: BTreeSet<usize>,
    /// Round in which it goes on after a freeze.
    frozen_until: u32,
}

/// Scenario of one seed.
struct Scenario {
    harness: Harness,
    random: Rng,
    former: Vec<Former>,
    /// Workers that the present owner reaches.
    reach: BTreeSet<usize>,
    /// Last commit of the present owner.
    confirmed_at: Instant,
    /// Round in which the store takes commits again.
    store_back: u32,
    /// Polls in transit, with the round of their arrival.
    late: Vec<(u32, Target, Poll)>,
    round: u32,
    seed: u64,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut harness = Harness::new(&CORES);
        let mut random = Rng::with_seed(seed);
        for worker in harness.workers.values_mut() {
            worker.clock_rate = if random.bool() { 1.0 } else { 1.0 - CLOCK_DRIFT };
        }
        harness.poll_all();
        let step = Step { long_running: true, ..step(TASKS, 2, Duration::from_secs(600)) };
        harness.submit("batch", "00000000000000a1", spec(vec![step]));
        harness.run(Duration::from_secs(1));
        let step = harness.running().first().expect("the tasks run").1.step;
        for worker in harness.workers.values_mut() {
            worker.work.insert(step, Duration::from_secs(600));
        }
        let confirmed_at = harness.now;
        Scenario {
            harness,
            random,
            former: Vec::new(),
            reach: (0..CORES.len()).collect(),
            confirmed_at,
            store_back: 0,
            late: Vec::new(),
            round: 0,
            seed,
        }
    }

    fn is_store_away(&self) -> bool {
        self.round < self.store_back
    }

    /// Returns a random set of workers that an owner reaches.
    fn random_reach(&mut self) -> BTreeSet<usize> {
        (0..CORES.len()).filter(|_| self.random.u32(..100) < 70).collect()
    }

    fn inject_fault(&mut self) {
        match self.random.u32(..1000) {
            0..12 => self.reach = self.random_reach(),
            12..17 if !self.is_store_away() => {
                self.store_back = self.round + self.random.u32(10..110);
            }
            17..25 if !self.is_store_away() => {
                let confirmed_at = self.confirmed_at;
                let engine = self.harness.take_over();
                let frozen_until = self.round + self.random.u32(0..100);
                let reach = self.random_reach();
                self.former.push(Former { engine, confirmed_at, reach, frozen_until });
                self.confirmed_at = self.harness.now;
                self.reach = self.random_reach();
                self.list_some();
            }
            25..33 if !self.is_store_away() => {
                if self.random.bool() {
                    self.harness.hand_over();
                } else {
                    // The owner has released the workload before it could record anything.
                    self.harness.replace_owner(Duration::ZERO);
                }
                self.confirmed_at = self.harness.now;
                self.reach = self.random_reach();
                self.list_some();
            }
            33..43 => self.list_some(),
            _ => {}
        }
    }

    /// Lists some of the workers. Those out of reach are often missing from the list.
    fn list_some(&mut self) {
        let mut listed = Vec::new();
        for (index, worker) in self.harness.workers.values().enumerate() {
            if !self.reach.contains(&index) && self.random.u32(..100) < 60 {
                continue;
            }
            listed.push(worker.listed.clone());
        }
        self.harness.engine.workers_listed(listed, self.harness.now);
        self.harness.collect();
    }

    /// Commits and delivers orders while the ownership is confirmed.
    fn act(&mut self) {
        let now = self.harness.now;
        let is_valid = now.duration_since(self.confirmed_at) < OWNER_GRACE;
        for (index, worker) in self.harness.workers.values_mut().enumerate() {
            worker.is_isolated = !self.reach.contains(&index);
        }
        self.harness.engine.set_store_available(!self.is_store_away());
        if self.is_store_away() {
            self.harness.engine.tick(now, self.harness.wall_ms);
            self.harness.collect();
        } else {
            self.harness.commit();
            self.confirmed_at = now;
        }
        if is_valid {
            self.harness.deliver();
            self.poll_present();
        }
    }

    fn poll_present(&mut self) {
        let ids: Vec<id::Worker> = self.harness.workers.keys().cloned().collect();
        for id in ids {
            if self.random.u32(..100) < 60 {
                continue;
            }
            if self.random.u32(..100) < 3 {
                self.poll_late(&id);
                continue;
            }
            self.harness.poll(&id);
        }
    }

    /// Sends a poll that arrives later and is not answered in time.
    fn poll_late(&mut self, id: &id::Worker) {
        let now = self.harness.now;
        let Some((target, poll)) = self.harness.engine.poll(id, now) else { return };
        self.late.push((self.round + self.random.u32(1..TRANSIT_MAX), target.clone(), poll));
        let lost = Err(Failure::Unanswered("lost".into()));
        self.harness.engine.poll_answered(&target, &poll, now, lost, now);
        self.harness.collect();
    }

    /// Lets the former owners renew leases until their grace has ended.
    fn act_former(&mut self) {
        let now = self.harness.now;
        self.former.retain(|former| now.duration_since(former.confirmed_at) < OWNER_GRACE);
        let ids: Vec<id::Worker> = self.harness.workers.keys().cloned().collect();
        for former in &mut self.former {
            if self.round < former.frozen_until {
                continue;
            }
            former.engine.tick(now, self.harness.wall_ms);
            for (index, id) in ids.iter().enumerate() {
                let Some((target, poll)) = former.engine.poll(id, now) else { continue };
                let worker = self.harness.workers.get_mut(id).expect("known");
                let result = if former.reach.contains(&index) {
                    worker.poll(&target, &poll)
                } else {
                    Err(Failure::Unanswered("no answer".into()))
                };
                former.engine.poll_answered(&target, &poll, now, result, now);
            }
            former.engine.actions();
        }
    }

    fn deliver_late(&mut self) {
        let round = self.round;
        let (due, later) = std::mem::take(&mut self.late).into_iter().partition(|l| l.0 <= round);
        self.late = later;
        let due: Vec<(u32, Target, Poll)> = due;
        for (_, target, poll) in due {
            let Some(worker) = self.harness.workers.get_mut(&target.worker) else { continue };
            // The owner does not receive the answer.
            let _ = worker.poll(&target, &poll);
        }
    }

    fn check(&self) {
        let mut seen = BTreeSet::new();
        for (worker, task) in self.harness.running() {
            let is_first = seen.insert(task);
            assert!(
                is_first,
                "seed {}: {task} runs twice in round {}, also on {worker}",
                self.seed, self.round
            );
        }
    }

    fn run(mut self) {
        while self.round < ROUNDS {
            self.round += 1;
            self.harness.advance(ROUND);
            self.inject_fault();
            self.deliver_late();
            self.act_former();
            self.act();
            self.check();
        }
        self.recover();
    }

    /// Runs without faults until all tasks run again.
    fn recover(mut self) {
        self.store_back = 0;
        self.reach = (0..CORES.len()).collect();
        self.confirmed_at = self.harness.now;
        self.former.clear();
        self.late.clear();
        self.harness.engine.set_store_available(true);
        self.harness.workers.values_mut().for_each(|worker| worker.is_isolated = false);
        self.harness.list_workers();
        self.harness.run(Duration::from_secs(15));
        self.check();
        let running = self.harness.running().len();
        assert_eq!(running, TASKS as usize, "seed {}: tasks that run again", self.seed);
    }
}

/// Guards against a run that starts while a former owner keeps another run of its task alive.
#[test]
fn a_former_owner_that_renews_leases_causes_no_second_run() {
    for seed in 0..SEEDS {
        Scenario::new(seed).run();
    }
}
