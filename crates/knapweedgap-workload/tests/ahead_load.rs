//! Cost of reservations for wide steps, and waits by width with and without them.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::size;
use knapweedgap_workload::api::{Answer, Verb};
use knapweedgap_workload::event::Event;
use knapweedgap_workload::task;
use support::{Harness, bounds, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const ROUND: Duration = Duration::from_millis(100);
const NARROW_CORES: u32 = 7;
const WIDE_CORES: u32 = 31;

fn step_of(job: &str) -> task::Step {
    task::Step { job: job.parse().expect("valid"), occurrence: 0, step: 0 }
}

/// Jobs of the test of cost that wait.
const BACKLOG: u64 = 1_000;

/// Returns the searches of the fleet in three seconds of an owner of 490 full workers, with wide and
/// narrow steps waiting while some runs end, and the numbers of placed tasks and of reservations.
fn searches_of_a_backlog(reservations: bool) -> (u64, usize, usize) {
    let bounds = bounds().reservations(reservations).build();
    let mut harness = Harness::with_bounds(&[64; 490], bounds);
    harness.poll_all();
    let long = SECOND * 600;
    for job in ["0000000000000d01", "0000000000000d02"] {
        for worker in harness.workers.values_mut() {
            worker.work.insert(step_of(job), long);
        }
        harness.submit("batch", job, spec(vec![step(2_205, NARROW_CORES, SECOND * 100)]));
        harness.round();
    }
    assert_eq!(harness.running().len(), 4_410);
    for number in 0..BACKLOG {
        let job = format!("{:016x}", 0x1000 + number);
        let (queue, cores) =
            if number % 20 == 0 { ("urgent", WIDE_CORES) } else { ("batch", NARROW_CORES) };
        // Sizes and run times differ from job to job.
        let mut one = step(1, cores, long / 2 + SECOND * (number % 300) as u32);
        one.size.memory = size::Bytes::new((1 << 30) + number * 7_919 % 1_000);
        for worker in harness.workers.values_mut() {
            worker.work.insert(step_of(&job), long);
        }
        harness.submit(queue, &job, spec(vec![one]));
    }
    harness.run(SECOND);
    let is_reservation = |event: &&Event| matches!(event, Event::Reservation { .. });
    let reserved = harness.events.iter().filter(is_reservation).count();
    harness.events.clear();
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..30 {
        for _ in 0..5 {
            let running = harness.running();
            let (worker, task) = running[random.usize(..running.len())].clone();
            let worker = harness.workers.get_mut(&worker).expect("known");
            worker.end(task, knapweedgap_workload::worker::Cause::Done);
        }
        harness.advance(ROUND);
        harness.round();
    }
    let (mut searches, mut placed) = (0, 0);
    for event in &harness.events {
        match event {
            Event::Load { searches: more, .. } => searches += more,
            Event::Place { .. } => placed += 1,
            _ => {}
        }
    }
    (searches, placed, reserved)
}

/// Load: 490 full workers and 1,000 waiting steps, 50 of them wide, while 50 runs end in a second.
/// Guards against an owner that searches the whole fleet for each step that a reservation excludes.
#[test]
fn reservations_cost_few_searches_of_a_backlog() {
    let (without, ..) = searches_of_a_backlog(false);
    let (with, placed, reserved) = searches_of_a_backlog(true);
    assert!(placed > 50, "{placed} tasks placed");
    assert_eq!(reserved, 8, "reservations");
    println!("searches: {without} without reservations, {with} with");
    // Eight reservations at a time, each of which needs a search when it is made.
    assert!(
        with <= without + 3 * 8,
        "{with} searches of the fleet, {without} without reservations"
    );
}

/// Workers and time of the replayed load.
const WORKERS: usize = 8;
const REPLAYED: Duration = Duration::from_secs(120);
/// Chances of a job in each round. Wide tasks are urgent and take a third of the processors (0.9 a
/// second, 31 cores, 6 s); narrow ones ask for 0.73 of them (6.1 jobs a second, 2.5 tasks, 7 cores, 3.5 s).
const WIDE_PERCENT: u32 = 9;
const NARROW_PERCENT: u32 = 61;

/// Waits of the placed tasks of one replay, and what it did.
#[derive(Debug, Default)]
struct Waits {
    wide: Vec<Duration>,
    narrow: Vec<Duration>,
    refused: usize,
    /// Processor time of ended runs in core seconds.
    done: f64,
}

impl Waits {
    fn add(&mut self, other: Waits) {
        self.wide.extend(other.wide);
        self.narrow.extend(other.narrow);
        self.refused += other.refused;
        self.done += other.done;
    }
}

fn quantile(waits: &mut [Duration], percent: usize) -> Duration {
    waits.sort_unstable();
    waits[(waits.len() - 1) * percent / 100]
}

/// Replays urgent wide tasks and jobs of narrow ones that arrive at random, together at a little more
/// than the fleet can do. True run times are between half of the estimates and one and a half times.
fn replay(seed: u64, reservations: bool) -> Waits {
    let mut random = fastrand::Rng::with_seed(seed);
    let bounds = bounds().reservations(reservations).build();
    let mut harness = Harness::with_bounds(&[64; WORKERS], bounds);
    harness.poll_all();
    let mut cores = BTreeMap::new();
    let mut tickets = Vec::new();
    let began = harness.now;
    let mut jobs = 0;
    while harness.now - began < REPLAYED {
        for is_wide in [true, false] {
            let percent = if is_wide { WIDE_PERCENT } else { NARROW_PERCENT };
            if random.u32(..100) >= percent {
                continue;
            }
            jobs += 1;
            let job = format!("{jobs:016x}");
            let (queue, count, size, seconds) = match is_wide {
                true => ("urgent", 1, WIDE_CORES, random.u64(2..=10)),
                false => ("batch", random.u32(1..=4), NARROW_CORES, random.u64(1..=6)),
            };
            let estimate = SECOND * seconds as u32;
            let run_time = estimate * random.u32(50..=150) / 100;
            for worker in harness.workers.values_mut() {
                worker.work.insert(step_of(&job), run_time);
            }
            let spec = spec(vec![step(count, size, estimate)]);
            tickets.push(harness.request(queue, &job, Verb::Submit(Box::new(spec))));
            cores.insert(step_of(&job), (size, run_time));
        }
        harness.advance(ROUND);
        harness.round();
    }
    let is_accepted = |ticket: &&_| harness.answers.get(ticket) == Some(&Answer::Accepted);
    let accepted = tickets.iter().filter(is_accepted).count();
    let mut waits = Waits { refused: tickets.len() - accepted, ..Waits::default() };
    for event in &harness.events {
        let Event::Place { waited, is_wide, .. } = event else { continue };
        if *is_wide { waits.wide.push(*waited) } else { waits.narrow.push(*waited) }
    }
    for event in harness.workers.values().flat_map(|worker| &worker.events) {
        let support::worker::Event::Ended(task, ..) = event else { continue };
        let (cores, run_time) = cores[&task.step];
        waits.done += f64::from(cores) * run_time.as_secs_f64();
    }
    waits
}

/// Load: see [`replay`], three seeds. Guards against reservations that do not shorten the waits of wide
/// tasks, or that cost more than a twentieth of the work done.
#[test]
fn wide_tasks_wait_less_and_the_fleet_does_as_much() {
    let mut replays = Vec::new();
    for reservations in [false, true] {
        let mut waits = Waits::default();
        for seed in 1..=3 {
            waits.add(replay(seed, reservations));
        }
        for (width, waits) in [("wide", &mut waits.wide), ("narrow", &mut waits.narrow)] {
            let quantiles = [50, 90, 99, 100].map(|percent| quantile(waits, percent));
            let placed = waits.len();
            println!("reservations={reservations} {width} placed={placed} waits={quantiles:?}");
        }
        println!("refused={} core_seconds={:.0}", waits.refused, waits.done);
        replays.push(waits);
    }
    let [without, with] = &mut replays[..] else { panic!("two replays") };
    assert!(quantile(&mut with.wide, 90) <= quantile(&mut without.wide, 90) * 17 / 20);
    assert!(quantile(&mut with.wide, 99) <= quantile(&mut without.wide, 99) * 3 / 4);
    assert!(with.done >= without.done * 0.95, "{} and {}", with.done, without.done);
}
