//! Processor time of the engine for each placement while best-effort tasks wait: 890 workers, most of
//! whose processors are reserved by serving tasks, and urgent tasks that arrive all the time. The
//! number of waiting tasks is kept constant. Prints microseconds for each placed task, by the number
//! of tasks that wait.
//!
//! `cargo bench -p knapweedgap-workload --bench backlog`

mod common;
#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{sized, time};
use knapweedgap_core::{id, size};
use knapweedgap_workload::action::Action;
use knapweedgap_workload::api::Verb;
use knapweedgap_workload::event::Event;
use knapweedgap_workload::job::Spec;
use knapweedgap_workload::task;
use support::{Harness, spec};

const WORKERS: usize = 890;
const CORES: u32 = 16;
const ROUND: Duration = Duration::from_millis(25);
/// Rounds in which the fleet fills up, and rounds that are measured.
const WARM_UP: u32 = 160;
const MEASURED: u32 = 160;
/// Time between two polls of one worker, in rounds.
const POLL_ROUNDS: u32 = 16;
/// Serving tasks on each worker, and the tasks of one of their jobs.
const SERVING: u32 = 5;
const SERVING_WIDTH: u32 = 24;
/// Tasks of a best-effort job.
const WIDTH: u32 = 40;
const SERVING_IMAGES: u32 = 16;
const IMAGES: u32 = 30;
const LONG: Duration = Duration::from_secs(600);

fn main() {
    let counts = std::env::args().skip(1).filter_map(|argument| argument.parse().ok());
    let mut counts: Vec<u32> = counts.collect();
    if counts.is_empty() {
        counts = vec![0, 1_000, 4_000, 10_000];
    }
    for waiting in counts {
        let mut fleet = Fleet::new(waiting);
        for _ in 0..WARM_UP {
            fleet.round();
        }
        fleet.times.clear();
        let before = fleet.placed();
        for _ in 0..MEASURED {
            fleet.round();
        }
        fleet.print(fleet.placed() - before);
    }
}

struct Fleet {
    harness: Harness,
    ids: Vec<id::Worker>,
    /// Number of best-effort tasks that are kept waiting.
    waiting: u32,
    jobs: u64,
    rounds: u32,
    times: BTreeMap<&'static str, Duration>,
}

impl Fleet {
    fn new(waiting: u32) -> Fleet {
        let mut harness = Harness::new(&[CORES; WORKERS]);
        harness.poll_all();
        let ids = harness.workers.keys().cloned().collect();
        let times = BTreeMap::new();
        let mut fleet = Fleet { harness, ids, waiting, jobs: 0, rounds: 0, times };
        for _ in 0..WORKERS as u32 * SERVING / SERVING_WIDTH {
            fleet.submit_serving();
        }
        fleet
    }

    fn submit(&mut self, spec: Spec) -> task::Step {
        self.jobs += 1;
        let job = format!("{:016x}", self.jobs);
        let Fleet { harness, times, .. } = self;
        time(times, "request", || {
            harness.request("batch", &job, Verb::Submit(Box::new(spec)));
        });
        task::Step { job: job.parse().expect("valid"), occurrence: 0, step: 0 }
    }

    /// Submits long-running tasks that serve users, some of them with little slack.
    fn submit_serving(&mut self) {
        let n = self.jobs as u32;
        let mut serving = sized(SERVING_WIDTH, 2_500, LONG);
        serving.long_running = true;
        serving.tail_target = Some(support::worker::TAIL_TARGET);
        serving.image = format!("serve-{}", n % SERVING_IMAGES).into();
        let step = self.submit(spec(vec![serving]));
        for worker in self.harness.workers.values_mut() {
            worker.work.insert(step, LONG);
            worker.uncontended.insert(step, 40.0 + f64::from(n % 4) * 15.0);
        }
    }

    /// Submits a best-effort job. The images differ in what the serving tasks lose to them.
    fn submit_best_effort(&mut self) {
        let n = fastrand::u32(..IMAGES);
        let mut batch = sized(WIDTH, 800 + u64::from(fastrand::u32(..2_000)), LONG / 30);
        batch.size.memory = size::Bytes::new((1 << 30) + u64::from(fastrand::u32(..)));
        batch.best_effort = true;
        batch.image = format!("plan-{n}").into();
        let step = self.submit(spec(vec![batch]));
        for worker in self.harness.workers.values_mut() {
            worker.work.insert(step, Duration::from_millis(1_700));
            worker.losses.insert(step, f64::from(n) * 0.04);
        }
    }

    fn round(&mut self) {
        self.rounds += 1;
        self.harness.advance(ROUND);
        if self.rounds.is_multiple_of(4) {
            let milli = 3_000 + u64::from(fastrand::u32(..4_000));
            self.submit(spec(vec![sized(9, milli, Duration::from_secs(1))]));
        }
        let missing = self.waiting.saturating_sub(self.waiting_tasks()).div_ceil(WIDTH);
        // Without a backlog the fleet has room for these.
        let arriving = u32::from(self.waiting == 0 && self.rounds.is_multiple_of(2));
        for _ in 0..missing + arriving {
            self.submit_best_effort();
        }
        self.tick();
        let Fleet { harness, times, .. } = self;
        let batch = time(times, "batch", || harness.engine.take_batch(harness.now));
        if let Some(batch) = batch {
            time(times, "committed", || harness.engine.committed(&batch, harness.now));
        }
        self.deliver();
        self.poll();
        self.deliver();
    }

    fn tick(&mut self) {
        let Fleet { harness, times, .. } = self;
        time(times, "tick", || harness.engine.tick(harness.now, harness.wall_ms));
    }

    fn deliver(&mut self) {
        let Fleet { harness, times, .. } = self;
        for action in harness.engine.actions() {
            match action {
                Action::Start(target, start) => {
                    let Some(worker) = harness.workers.get_mut(&target.worker) else { continue };
                    let result = worker.start(&target, &start);
                    time(times, "start_answered", || {
                        harness.engine.start_answered(&target, &start, result, harness.now);
                    });
                }
                Action::Stop(target, stop) => {
                    let Some(worker) = harness.workers.get_mut(&target.worker) else { continue };
                    let result = worker.stop(&target, &stop);
                    harness.engine.stop_answered(&target, &stop, result, harness.now);
                }
                Action::SetSpeed(target, speed) => {
                    let Some(worker) = harness.workers.get_mut(&target.worker) else { continue };
                    // A run that has ended needs no speed.
                    let _ = worker.set_speed(&target, &speed);
                }
                Action::Log(event) => harness.events.push(event),
                _ => {}
            }
        }
    }

    fn poll(&mut self) {
        let Fleet { harness, times, ids, rounds, .. } = self;
        let turn = (*rounds % POLL_ROUNDS) as usize;
        for id in ids.iter().skip(turn).step_by(POLL_ROUNDS as usize) {
            let poll = time(times, "poll", || harness.engine.poll(id, harness.now));
            let Some((target, poll)) = poll else { continue };
            let Some(worker) = harness.workers.get_mut(id) else { continue };
            let result = worker.poll(&target, &poll);
            time(times, "poll_answered", || {
                harness.engine.poll_answered(&target, &poll, harness.now, result, harness.now);
            });
        }
    }

    fn loads(&self) -> impl Iterator<Item = &Event> {
        self.harness.events.iter().rev().filter(|event| matches!(event, Event::Load { .. }))
    }

    fn waiting_tasks(&self) -> u32 {
        self.harness.engine.waiting_tasks()
    }

    fn placed(&self) -> usize {
        self.harness.events.iter().filter(|event| matches!(event, Event::Place { .. })).count()
    }

    fn print(&self, placed: usize) {
        let total: Duration = self.times.values().sum();
        let micros = |time: Duration| time.as_secs_f64() * 1e6 / placed.max(1) as f64;
        print!("waiting={} placed={placed} micros={:.0}", self.waiting, micros(total));
        for (part, time) in &self.times {
            print!(" {part}={:.0}", micros(*time));
        }
        println!();
        if let Some(load) = self.loads().next() {
            println!("    {load}");
        }
    }
}
