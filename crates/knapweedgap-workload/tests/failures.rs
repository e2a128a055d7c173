//! Failed runs: those of faulty workers take the worker out, and those of faulty jobs don't.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::State;
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const LONG: Duration = Duration::from_secs(600);
const ROUND: Duration = Duration::from_millis(100);

/// Longest wait of an accepted job for the start of one of its tasks while there is room.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of the first job that fails by its own fault. Lower ones are sound.
const HOPELESS_MIN: u32 = 0x8000;

fn name(number: u32) -> String {
    format!("{number:016x}")
}

fn job(number: u32) -> id::Job {
    name(number).parse().expect("valid")
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

/// Returns the jobs of which a task has started on any worker.
fn started(harness: &Harness) -> BTreeSet<id::Job> {
    let mut started = BTreeSet::new();
    for worker in harness.workers.values() {
        for event in &worker.events {
            if let Event::Started(task, _) = event {
                started.insert(task.step.job);
            }
        }
    }
    started
}

/// Stream of hopeless jobs.
#[derive(Debug)]
struct Stream {
    /// Jobs that arrive at a time.
    jobs: u32,
    /// Rounds between two arrivals.
    interval: u32,
    /// Tasks of a job.
    width: u32,
}

/// Plays `time` on sound workers. Hopeless jobs arrive in the urgent queue, and a sound job each
/// second in the other, which its client submits again while it is refused. Returns the longest wait
/// of a sound job from its first submission to its first start.
fn longest_wait(harness: &mut Harness, stream: &Stream, time: Duration) -> Duration {
    let mut waiting: BTreeMap<id::Job, Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    let rounds = time.as_millis() / ROUND.as_millis();
    for round in 0..u32::try_from(rounds).expect("few") {
        if round % 10 == 0 {
            waiting.insert(job(round + 1), harness.now);
        }
        for job in waiting.keys() {
            let is_known = harness.show("batch", &job.to_string()) != Answer::NoJob;
            if !is_known {
                harness.submit("batch", &job.to_string(), spec(vec![step(1, 1, SECOND)]));
            }
        }
        let arriving = if round % stream.interval == 0 { stream.jobs } else { 0 };
        for index in 0..arriving {
            let number = HOPELESS_MIN + round * stream.jobs + index;
            harness.submit("urgent", &name(number), spec(vec![step(stream.width, 1, SECOND)]));
        }
        harness.run(ROUND);
        fail_hopeless(harness);
        let started = started(harness);
        waiting.retain(|job, since| {
            longest = longest.max(harness.now.duration_since(*since));
            !started.contains(job)
        });
    }
    longest
}

/// Guards against hopeless jobs that close a sound fleet: each failed run closed its worker, whatever
/// had failed, and enough of them closed all workers at once.
#[test]
fn hopeless_jobs_do_not_keep_sound_jobs_from_starting() {
    let streams: [(&[u32], Stream); 5] = [
        (&[8; 8], Stream { jobs: 1, interval: 1, width: 1 }),
        (&[8; 8], Stream { jobs: 4, interval: 1, width: 1 }),
        (&[16; 4], Stream { jobs: 1, interval: 1, width: 8 }),
        (&[16; 2], Stream { jobs: 2, interval: 1, width: 1 }),
        // The hopeless tasks of one backoff leave room on the only worker.
        (&[16], Stream { jobs: 1, interval: 3, width: 1 }),
    ];
    for (cores, stream) in streams {
        let mut harness = Harness::new(cores);
        harness.poll_all();
        let wait = longest_wait(&mut harness, &stream, SECOND * 20);
        assert!(wait < START_TIMEOUT, "{wait:?} on {} workers: {stream:?}", cores.len());
    }
}

/// Guards against hopeless jobs that close all workers with one label, which are few in the fleet.
#[test]
fn hopeless_jobs_do_not_close_all_workers_of_a_label() {
    let mut harness = Harness::new(&[16; 16]);
    for index in 0..4 {
        harness.worker(index).listed.labels = vec!["kind-b".into(), "rack-2".into()];
    }
    harness.list_workers();
    harness.poll_all();
    let labelled = |width| knapweedgap_workload::job::Step {
        requires: Some("kind-b".into()),
        ..step(width, 1, SECOND)
    };
    for index in 0..12 {
        harness.submit("urgent", &name(HOPELESS_MIN + index), spec(vec![labelled(1)]));
        harness.run(ROUND * 2);
        fail_hopeless(&mut harness);
        harness.run(ROUND);
    }
    harness.submit("batch", &name(1), spec(vec![labelled(1)]));
    harness.run(SECOND);
    assert!(started(&harness).contains(&job(1)));
}

/// Guards against a task that waits for the only worker that is left because it failed there.
#[test]
fn task_runs_again_on_the_worker_where_it_failed_if_no_other_is_left() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.submit("batch", &name(1), spec(vec![step(1, 1, SECOND)]));
    harness.run(ROUND * 3);
    let (first, task) = harness.running()[0].clone();
    let worker = harness.workers.get_mut(&first).expect("known");
    worker.end(task, Cause::Failed);
    for (id, worker) in &mut harness.workers {
        if *id != first {
            worker.fail();
        }
    }
    harness.list_workers();
    harness.workers.get_mut(&first).expect("known").work.insert(task.step, LONG);
    harness.run(START_TIMEOUT);
    assert_eq!(harness.running(), [(first, task)]);
}

/// Returns the number of starts on a worker.
fn starts(harness: &mut Harness, index: usize) -> usize {
    let is_start = |event: &&Event| matches!(event, Event::Started(..));
    harness.worker(index).events.iter().filter(is_start).count()
}

/// Guards against a faulty worker that stays in use because its failures are ascribed to the jobs.
#[test]
fn worker_that_fails_all_runs_is_taken_out_after_few_starts() {
    // Jobs of one task, and of many, half of which run elsewhere.
    for width in [1, 6] {
        let mut harness = Harness::new(&[8; 6]);
        harness.worker(0).fails = true;
        harness.poll_all();
        for round in 0..60 {
            harness.submit("batch", &name(round + 1), spec(vec![step(width, 1, SECOND)]));
            harness.run(ROUND);
        }
        let starts = starts(&mut harness, 0);
        assert!(starts > 0, "the worker was never tried");
        assert!(starts <= 16, "{starts} starts, {width} tasks a job");
        harness.run(SECOND * 20);
        let mut failed = 0;
        for round in 0..60 {
            let state = harness.show("batch", &name(round + 1));
            failed += usize::from(state == Answer::State(State::Failed));
        }
        assert_eq!(failed, 0, "{width} tasks a job");
    }
}

/// Guards against a faulty worker that hopeless jobs keep in use: they reach the bound on closed
/// workers, or make its failures look like theirs.
#[test]
fn faulty_worker_is_taken_out_beside_hopeless_jobs() {
    let mut harness = Harness::new(&[16; 8]);
    harness.worker(0).fails = true;
    harness.poll_all();
    for round in 0..60 {
        harness.submit("batch", &name(round + 1), spec(vec![step(1, 1, SECOND)]));
        harness.submit("batch", &name(HOPELESS_MIN + round), spec(vec![step(1, 1, LONG)]));
        harness.run(ROUND);
        fail_hopeless(&mut harness);
    }
    let mut sound = 0;
    for event in &harness.worker(0).events {
        if let Event::Started(task, _) = event {
            sound += usize::from(task.step.job < job(HOPELESS_MIN));
        }
    }
    assert!(sound <= 8, "{sound} starts of sound jobs on the faulty worker");
}
