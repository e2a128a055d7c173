//! Sizes of the values that the owner writes to the store.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision, size};
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::bounds::VALUE_MAX;
use knapweedgap_workload::event::Event;
use knapweedgap_workload::interference::{BestEffort, Model, Serving};
use knapweedgap_workload::job::{Schedule, Spec, State, Step};
use knapweedgap_workload::record::{self, Assignment, Change, Progress};
use knapweedgap_workload::task;
use support::{Harness, configuration, spec, step, timed};

const MILLISECOND: Duration = Duration::from_millis(1);
const QUARTER: size::Bytes = size::Bytes::new(VALUE_MAX.get() / 4);
const SMALL: size::Bytes = size::Bytes::new(24 << 10);

/// Returns a job with a text of the longest size that is due long after the test.
fn late_job() -> Spec {
    let schedule = Schedule { start_ms: 1 << 40, interval: Duration::from_secs(1), repetitions: 1 };
    Spec { payload: "x".repeat(3_980), ..timed(vec![step(1, 1, MILLISECOND)], schedule) }
}

fn name(number: u32) -> String {
    format!("{number:016x}")
}

/// Stores the jobs of the review's case, each in a commit of its own, and returns their owner. The
/// store of the harness fails the test at a value that is too large.
fn owner_of_late_jobs(value_max: size::Bytes) -> Harness {
    let mut harness = Harness::with_value_max(&[8], value_max);
    harness.poll_all();
    for number in 0..1_300 {
        let ticket = harness.submit("batch", &name(number), late_job());
        harness.commit();
        assert_eq!(harness.answers.remove(&ticket), Some(Answer::Accepted), "job {number}");
    }
    harness
}

fn assert_all_queued(harness: &mut Harness) {
    for number in 0..1_300 {
        assert_eq!(harness.show("batch", &name(number)), Answer::State(State::Queued), "{number}");
    }
}

/// Guards against an entry without a bound when the oldest entries are rewritten (LOST in the
/// review): the store refuses it, and no owner can commit again.
#[test]
fn no_entry_exceeds_the_stated_value_size() {
    let mut harness = owner_of_late_jobs(VALUE_MAX);
    assert!(harness.log.len() < 400, "{} entries", harness.log.len());
    harness.take_over();
    harness.commit();
    assert_all_queued(&mut harness);
}

/// Guards against the same with a store that takes a quarter of the usual size.
#[test]
fn no_entry_exceeds_a_quarter_of_the_stated_value_size() {
    let mut harness = owner_of_late_jobs(QUARTER);
    assert!(harness.log.len() < 400, "{} entries", harness.log.len());
    harness.take_over();
    harness.commit();
    assert_all_queued(&mut harness);
}

/// Guards against a log that is rewritten without an end because its contents alone need more
/// entries than the log may have.
#[test]
fn a_log_of_full_entries_is_not_rewritten_for_ever() {
    let mut harness = owner_of_late_jobs(SMALL);
    let mut written = 0;
    for number in 0..600 {
        harness.submit("batch", &name(0x1_0000 + number), spec(vec![step(1, 1, MILLISECOND)]));
        while let Some(batch) = harness.take_batch() {
            written += batch.value.len();
            harness.store(&batch);
        }
    }
    let bytes: usize = harness.log.values().map(Vec::len).sum();
    assert!(written < 3 * bytes, "{written} bytes written, {bytes} in the log");
    assert!(harness.log.len() < 1_000, "{} entries", harness.log.len());
}

/// Guards against effects that are released, or jobs that are lost, when the owner ends between two
/// parts of one generation: an acceptance that is stored again must not land behind the progress of
/// its job.
#[test]
fn an_owner_that_ends_between_two_parts_loses_no_job() {
    let mut harness = Harness::with_value_max(&[400, 400], SMALL);
    harness.poll_all();
    let mut accepted = BTreeMap::new();
    let mut parts = 0;
    for round in 0..400u32 {
        let mut tickets = Vec::new();
        for number in 0..3 {
            let job = name(round * 16 + number);
            let is_late = number > 0;
            let spec = if is_late { late_job() } else { spec(vec![step(1, 1, MILLISECOND * 600)]) };
            tickets.push((harness.submit("batch", &job, spec), job, is_late));
        }
        let mut stored = 0;
        while let Some(batch) = harness.take_batch() {
            // The last parts of each seventh round do not reach the store.
            if round % 7 == 6 && stored == round % 3 {
                harness.take_over();
                break;
            }
            harness.store(&batch);
            stored += 1;
        }
        parts = parts.max(stored);
        harness.round();
        for (ticket, job, is_late) in tickets {
            if harness.answers.remove(&ticket) == Some(Answer::Accepted) {
                accepted.insert(job, is_late);
            }
        }
        harness.advance(Duration::from_millis(40));
    }
    assert!(parts > 1, "no generation had several parts");
    harness.take_over();
    harness.round();
    for (job, is_late) in accepted {
        let answer = harness.show("batch", &job);
        match is_late {
            true => assert_eq!(answer, Answer::State(State::Queued), "job {job}"),
            false => assert!(matches!(answer, Answer::State(_) | Answer::NoJob), "job {job}"),
        }
    }
}

/// Guards against answers to clients before the last part of their generation is stored.
#[test]
fn answers_wait_for_the_last_part() {
    let mut harness = Harness::with_value_max(&[8], SMALL);
    harness.poll_all();
    for number in 0..40 {
        harness.submit("batch", &name(number), late_job());
    }
    let mut parts = 0;
    while let Some(batch) = harness.take_batch() {
        assert!(harness.answers.is_empty(), "answered after {parts} parts");
        harness.store(&batch);
        parts += 1;
    }
    assert!(parts > 4, "{parts} parts");
    assert_eq!(harness.answers.len(), 40);
}

/// Guards against a job that is accepted although its own record can grow beyond one value, which
/// stops the commits of all jobs later.
#[test]
fn a_job_that_may_not_fit_one_value_is_refused_with_the_reason() {
    let wide = || spec(vec![step(4_096, 1, MILLISECOND)]);
    let mut harness = Harness::with_value_max(&[64], QUARTER);
    harness.poll_all();
    let ticket = harness.submit("batch", &name(1), wide());
    let answer = harness.answers.remove(&ticket).expect("refused at once");
    let Answer::Refused { reason, .. } = &answer else { panic!("{answer}") };
    assert!(reason.contains("bytes in the store"), "{reason}");
    assert!(!harness.engine.has_batch(), "something of the job is stored");
    let ticket = harness.submit("batch", &name(2), spec(vec![step(1_600, 1, MILLISECOND)]));
    harness.commit();
    assert_eq!(harness.answers.remove(&ticket), Some(Answer::Accepted));

    let mut harness = Harness::new(&[64]);
    harness.poll_all();
    let ticket = harness.submit("batch", &name(1), wide());
    harness.commit();
    assert_eq!(harness.answers.remove(&ticket), Some(Answer::Accepted));
}

/// Guards against a bound on the record of a job that its largest record exceeds.
#[test]
fn the_largest_record_of_a_job_is_within_its_bound() {
    let job: id::Job = name(u32::MAX).parse().expect("valid");
    let mut steps = vec![step(64, 1, MILLISECOND); 64];
    steps.iter_mut().for_each(|step| step.copies = true);
    let accepted = record::Accepted {
        queue: "batch".into(),
        service: "dispatch".parse().expect("valid"),
        at_ms: u64::MAX,
        attempts_max: Some(3),
        policy: Some(configuration(1).queues[0].policy.clone()),
        spec: Spec { payload: "x".repeat(4_000), ..spec(steps) },
    };
    let run = |number: u32| revision::Run::new(number);
    let worker: id::Worker = "w".repeat(id::NAME_LEN_MAX).parse().expect("valid");
    let (mut failures, mut given_up) = (Vec::new(), Vec::new());
    let mut recorded = Vec::new();
    for position in 0..64 {
        let mut tasks = Vec::new();
        for index in 0..64 {
            let step = task::Step { job, occurrence: 100_000, step: position };
            let runs = vec![run(70_000), run(70_001), run(70_002)];
            given_up.push(record::GivenUp(100_000, position, index, runs.clone()));
            failures.push(record::Failures(step.task(index), runs));
            let incarnation = revision::Incarnation::new(u64::MAX);
            let assignment = Assignment(worker.clone(), incarnation, true);
            let checkpoint = "0".repeat(64).into();
            let run = run(70_003);
            tasks.push(record::Task(index, run, 3, Some(assignment), false, checkpoint));
        }
        recorded.push(record::Step::Open(tasks));
    }
    let progress = Progress {
        state: State::Running,
        occurrences: [(100_000, recorded)].into(),
        next_occurrence: 100_001,
        failures,
        given_up,
    };
    let bound = accepted.size_max(1);
    let progress = Change::Progress(job, progress).without_checkpoints().without_given_up();
    let entry = record::encode(&[Change::Accepted(job, accepted.into()), progress]);
    assert!(entry.len() as u64 <= bound.get(), "{} bytes, bound {bound}", entry.len());
    assert!(bound <= VALUE_MAX, "{bound} are refused by a store of the stated size");
}

/// Guards against an entry whose bytes differ when it is encoded change by change.
#[test]
fn an_entry_of_changes_has_the_bytes_of_an_entry() {
    for count in [1, 23, 24, 255, 256, 70_000] {
        let change =
            |number: u32| Change::Closed(name(number).parse().expect("valid"), State::Failed);
        let changes: Vec<Change> = (0..count).map(change).collect();
        let mut entry = record::Entry::default();
        for change in &changes {
            entry.push(&std::iter::once(change).collect());
        }
        assert_eq!(entry.finish(), record::encode(&changes), "{count} changes");
    }
}

/// Guards against occurrences of one job that pile up until its record exceeds one value.
#[test]
fn occurrences_that_pile_up_wait_for_an_earlier_end() {
    let mut harness = Harness::with_value_max(&[1], SMALL);
    harness.poll_all();
    let schedule = Schedule { start_ms: 0, interval: MILLISECOND, repetitions: 5_000 };
    let steps = vec![step(4, 1, Duration::from_millis(200))];
    let ticket = harness.submit("batch", &name(1), timed(steps, schedule));
    harness.run(Duration::from_millis(500));
    assert_eq!(harness.answers.remove(&ticket), Some(Answer::Accepted));
    assert!(!harness.running().is_empty());
}

/// Guards against a record of workers that get no leases that exceeds one value when many workers
/// are silent at once.
#[test]
fn many_silent_workers_do_not_exceed_one_value() {
    let mut harness = Harness::with_value_max(&[1; 640], size::Bytes::new(6 << 10));
    harness.poll_all();
    for number in 0..16 {
        let long_running = Step { long_running: true, ..step(30, 1, MILLISECOND * 600_000) };
        harness.submit("batch", &name(number), spec(vec![long_running]));
        harness.run(MILLISECOND * 200);
    }
    assert_eq!(harness.running().len(), 480);
    harness.workers.values_mut().for_each(|worker| worker.is_isolated = true);
    harness.run(Duration::from_secs(2));
    let held = harness.events.iter().filter(|event| matches!(event, Event::Hold { .. })).count();
    assert_eq!(held, 480, "workers without leases");
    harness.take_over();
    harness.commit();
}

/// Guards against learned pairs of images that are kept for ever and fill a value.
#[test]
fn learned_pairs_of_images_are_pruned_to_one_value() {
    let now = Instant::now();
    let mut model = Model::default();
    let worker: id::Worker = "worker-0".parse().expect("valid");
    let step = task::Step { job: name(1).parse().expect("valid"), occurrence: 0, step: 0 };
    for number in 0..3_000u32 {
        let image = format!("serving-{number:0>40}").into();
        let serving = Serving {
            step,
            worker: &worker,
            image: &image,
            tail: MILLISECOND * 400,
            target: MILLISECOND * 100,
        };
        let best_effort = [BestEffort { image: "batch".into(), share: 500 }];
        model.observe(&serving, &best_effort, now + MILLISECOND * number);
    }
    assert_eq!(model.pairs().len(), 3_000);
    model.prune(SMALL);
    let pairs = model.pairs();
    let bytes = record::encode(&[Change::Interference(pairs.clone())]).len() as u64;
    assert!(bytes <= SMALL.get(), "{bytes} bytes");
    assert!(bytes > SMALL.get() / 2, "{bytes} bytes: more than needed was removed");
    let newest = format!("serving-{:0>40}", 2_999);
    assert!(pairs.iter().any(|pair| pair.1 == newest), "the newest pair was removed");
}
