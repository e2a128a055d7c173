//! Failed runs of faulty workers beside those of hopeless jobs: what both cost sound jobs.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::{State, Step};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const ROUND: Duration = Duration::from_millis(100);
const ROUNDS: u32 = 60;

/// Longest wait of an accepted job for the start of one of its tasks while there is room.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of the first job that fails by its own fault. Lower ones are sound.
const HOPELESS_MIN: u32 = 0x8000;

/// Jobs that arrive while some workers fail all their runs.
#[derive(Debug, Clone)]
struct Day {
    cores: Vec<u32>,
    /// Positions of the faulty workers.
    faulty: Vec<u32>,
    /// Positions of the workers with the label that all jobs require; empty if they require none.
    labelled: Vec<u32>,
    /// Sound jobs that arrive in each round, in turn in each queue.
    sound: u32,
    /// Hopeless jobs that arrive in each round, in turn in each queue.
    hopeless: u32,
}

/// What a day cost.
#[derive(Debug, Default)]
struct Outcome {
    /// Sound jobs that failed.
    failed: usize,
    /// Longest wait of a sound job for its first start.
    longest: Duration,
    /// Starts on faulty workers.
    faulty_starts: usize,
    /// Sound jobs that were accepted.
    accepted: usize,
}

fn name(number: u32) -> String {
    format!("{number:016x}")
}

fn job(number: u32) -> id::Job {
    name(number).parse().expect("valid")
}

fn queue(number: u32) -> &'static str {
    if number.is_multiple_of(2) { "urgent" } else { "batch" }
}

fn is_faulty(day: &Day, id: &id::Worker) -> bool {
    day.faulty.iter().any(|index| *id.as_str() == *format!("worker-{index}"))
}

/// Ends all runs of hopeless jobs as failed.
fn fail_hopeless(harness: &mut Harness) {
    for worker in harness.workers.values_mut() {
        let tasks: Vec<task::Id> = worker.runs.keys().copied().collect();
        for task in tasks {
            if task.step.job >= job(HOPELESS_MIN) {
                worker.end(task, Cause::Failed);
            }
        }
    }
}

fn play(day: &Day) -> Outcome {
    let mut harness = Harness::new(&day.cores);
    for &index in &day.labelled {
        harness.worker(index as usize).listed.labels = vec!["kind-b".into()];
    }
    for &index in &day.faulty {
        harness.worker(index as usize).fails = true;
    }
    harness.list_workers();
    harness.poll_all();
    let requires = (!day.labelled.is_empty()).then(|| "kind-b".into());
    let step = Step { requires, ..step(1, 1, SECOND) };
    let mut since: BTreeMap<id::Job, Instant> = BTreeMap::new();
    let mut outcome = Outcome::default();
    for round in 0..ROUNDS + 200 {
        let arriving = if round < ROUNDS { (day.sound, day.hopeless) } else { (0, 0) };
        for index in 0..arriving.0 {
            let number = 1 + round * day.sound + index;
            harness.submit(queue(number), &name(number), spec(vec![step.clone()]));
            since.insert(job(number), harness.now);
        }
        for index in 0..arriving.1 {
            let number = HOPELESS_MIN + round * day.hopeless + index;
            harness.submit(queue(number), &name(number), spec(vec![step.clone()]));
        }
        harness.run(ROUND);
        fail_hopeless(&mut harness);
        for worker in harness.workers.values() {
            for event in &worker.events {
                if let Event::Started(task, _) = event
                    && let Some(since) = since.remove(&task.step.job)
                {
                    outcome.longest = outcome.longest.max(harness.now.duration_since(since));
                }
            }
        }
    }
    for (id, worker) in &harness.workers {
        if !is_faulty(day, id) {
            continue;
        }
        let starts = worker.events.iter().filter(|event| matches!(event, Event::Started(..)));
        outcome.faulty_starts += starts.count();
    }
    for number in 1..=ROUNDS * day.sound {
        let state = harness.show(queue(number), &name(number));
        outcome.accepted += usize::from(state != Answer::NoJob);
        outcome.failed += usize::from(state == Answer::State(State::Failed));
        if let Some(since) = since.get(&job(number))
            && state != Answer::NoJob
        {
            outcome.longest = outcome.longest.max(harness.now.duration_since(*since));
        }
    }
    println!("{outcome:?}, {day:?}");
    outcome
}

fn day(workers: usize, faulty: &[u32]) -> Day {
    let (cores, faulty) = (vec![8; workers], faulty.to_vec());
    Day { cores, faulty, labelled: Vec::new(), sound: 2, hopeless: 0 }
}

/// Guards against faulty workers that clear each other, because the tasks that fail on one fail on the
/// other as well.
#[test]
fn two_faulty_workers_do_not_clear_each_other() {
    for workers in [4, 8] {
        let outcome = play(&day(workers, &[0, 1]));
        // A job fails only if both its runs meet faulty workers, which a first failure closes.
        assert!(outcome.failed <= 2, "{outcome:?}");
        assert!(outcome.longest < START_TIMEOUT, "{outcome:?}");
    }
}

/// Guards against a faulty rack whose workers look sound, because most runs of their kind fail.
#[test]
fn a_faulty_rack_is_taken_out() {
    for faulty in [&[0, 1, 2, 3][..], &[0, 1, 2, 3, 4, 5, 6, 7]] {
        let outcome = play(&day(16, faulty));
        assert!(outcome.failed <= faulty.len(), "{outcome:?}");
        assert!(outcome.longest < START_TIMEOUT, "{outcome:?}");
    }
}

/// Guards against hopeless jobs that keep sound jobs of any queue from starting.
#[test]
fn hopeless_jobs_of_all_queues_do_not_keep_sound_jobs_from_starting() {
    for hopeless in [1, 4, 8] {
        let outcome = play(&Day { hopeless, ..day(8, &[]) });
        assert_eq!(outcome.failed, 0, "{outcome:?}");
        assert!(outcome.longest < START_TIMEOUT, "{outcome:?}");
    }
}

/// Guards against a faulty worker that stays in use, because its label has few workers.
#[test]
fn a_faulty_worker_of_a_small_label_is_taken_out() {
    for labelled in [&[0, 1][..], &[0, 1, 2, 3]] {
        let labelled = labelled.to_vec();
        let outcome = play(&Day { labelled, sound: 1, ..day(16, &[0]) });
        assert_eq!(outcome.failed, 0, "{outcome:?}");
        assert!(outcome.longest < START_TIMEOUT, "{outcome:?}");
    }
}

/// Guards against a faulty worker that stays in use, because hopeless jobs fail on all others.
#[test]
fn a_faulty_worker_beside_hopeless_jobs_fails_no_sound_job() {
    for hopeless in [1, 2, 4] {
        let outcome = play(&Day { hopeless, ..day(8, &[0]) });
        assert_eq!(outcome.failed, 0, "{outcome:?}");
        assert!(outcome.longest < START_TIMEOUT, "{outcome:?}");
    }
}

/// Guards against a faulty worker that fails a whole batch of tasks each time its closure ends.
#[test]
fn a_closed_worker_opens_for_one_run() {
    let mut harness = Harness::new(&[8, 8]);
    harness.worker(0).fails = true;
    harness.poll_all();
    harness.submit("batch", &name(1), spec(vec![step(1, 1, SECOND)]));
    harness.run(SECOND);
    let is_start = |event: &&Event| matches!(event, Event::Started(..));
    let before = harness.worker(0).events.iter().filter(is_start).count();
    assert_eq!(before, 1, "the first task starts on the faulty worker");
    harness.run(SECOND * 2);
    harness.submit("batch", &name(2), spec(vec![step(12, 1, SECOND)]));
    harness.run(ROUND * 3);
    let starts = harness.worker(0).events.iter().filter(is_start).count() - before;
    assert_eq!(starts, 1);
}

/// Guards against a worker that is closed after a run without progress and opens early, because a
/// further failure there says little while most runs of the service fail.
#[test]
fn a_failed_run_opens_no_closed_worker() {
    let mut harness = Harness::new(&[8; 30]);
    harness.poll_all();
    harness.submit("urgent", &name(HOPELESS_MIN), spec(vec![step(30, 8, SECOND)]));
    for _ in 0..6 {
        harness.run(ROUND);
        fail_hopeless(&mut harness);
    }
    harness.run(SECOND);
    for number in [1, 2] {
        harness.submit("batch", &name(number), spec(vec![step(1, 1, SECOND)]));
        harness.run(ROUND * 2);
        let (id, task) = harness.running()[0].clone();
        let worker = harness.workers.get_mut(&id).expect("known");
        worker.work.insert(task::Step { job: job(number), ..task.step }, SECOND * 60);
        harness.run(Duration::from_millis(1_500));
    }
    let running = harness.running();
    let (id, task) = running[0].clone();
    assert_eq!(running[1].0, id, "both tasks run on one worker");
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.hangs = true;
    worker.stop_time = SECOND * 60;
    harness.run(Duration::from_millis(3_500));
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.end(task, Cause::Failed);
    harness.poll(&id);
    let starts = |harness: &Harness| {
        let events = &harness.workers[&id].events;
        events.iter().filter(|event| matches!(event, Event::Started(..))).count()
    };
    let before = starts(&harness);
    harness.submit("batch", &name(3), spec(vec![step(4, 1, SECOND)]));
    harness.run(SECOND);
    assert_eq!(starts(&harness), before);
}
