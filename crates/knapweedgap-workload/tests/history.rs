//! Jobs of which nothing is at work: each has its history in the log, whatever its tasks wait for.

mod support;

use std::time::Duration;

use knapweedgap_core::size;
use knapweedgap_workload::event::Event;
use knapweedgap_workload::history::{Change, Standing};
use knapweedgap_workload::order::{Failure, Refusal};
use knapweedgap_workload::task;
use support::{Harness, spec, step};

const JOB: &str = "00000000000000a1";
const ROUND: Duration = Duration::from_millis(100);
const SECOND: Duration = Duration::from_secs(1);
/// Longest time from the second at which a job is reported until its line is in the log.
const LATE_MAX: Duration = Duration::from_millis(200);

/// Returns an owner of one worker with a job of one task, none of whose effects is stored.
fn owner_of_a_job() -> Harness {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(1, 1, SECOND * 60)]));
    harness
}

/// Returns the histories that were logged of the job.
fn histories(harness: &Harness) -> Vec<Standing> {
    let mut histories = Vec::new();
    for event in &harness.events {
        let Event::Standing(standing) = event else { continue };
        assert_eq!(standing.job.to_string(), JOB);
        histories.push(*standing.clone());
    }
    histories
}

fn changes(standing: &Standing) -> Vec<Change> {
    standing.history.iter().map(|entry| entry.change.clone()).collect()
}

/// Polls the worker and ticks for `time` without storing or sending anything.
fn stand(harness: &mut Harness, time: Duration) {
    let mut remaining = time;
    while !remaining.is_zero() {
        harness.advance(ROUND);
        harness.poll_all();
        harness.engine.tick(harness.now, harness.wall_ms);
        harness.collect();
        remaining = remaining.saturating_sub(ROUND);
    }
}

/// Checks the line of a job whose task has been in `phase` for the whole time.
fn check(standing: &Standing, phase: &str, worker: &str) {
    assert_eq!(standing.phases.of(phase), 1, "{standing}");
    assert!(!standing.has_moved);
    assert!(standing.time >= SECOND && standing.time <= SECOND + LATE_MAX, "{standing}");
    let oldest = standing.oldest.as_ref().expect("the task has a worker");
    assert_eq!(oldest.phase, phase);
    assert!(oldest.age + ROUND >= SECOND, "{standing}");
    let contact = oldest.worker.as_ref().expect("the task has a worker");
    assert_eq!(contact.worker.to_string(), worker);
    let line = standing.to_string();
    assert!(line.contains(&format!("job={JOB} queue=batch decision=stand")), "{line}");
    assert!(line.contains(&format!("task={JOB}.0.0.0")), "{line}");
}

/// Guards against a job that the log does not name while the commit of its placement is pending.
#[test]
fn a_job_whose_placement_is_not_stored_has_its_history_in_the_log() {
    let mut harness = owner_of_a_job();
    stand(&mut harness, SECOND + LATE_MAX);
    let histories = histories(&harness);
    assert_eq!(histories.len(), 1, "once for the first second");
    check(&histories[0], "planned", "worker-0");
    assert_eq!(changes(&histories[0]), [Change::Accept, Change::Place]);
}

/// Guards against a job that the log does not name while its start has neither an answer nor a
/// failure: its task counts as assigned.
#[test]
fn a_job_whose_start_has_no_result_has_its_history_in_the_log() {
    let mut harness = owner_of_a_job();
    harness.commit();
    assert_eq!(harness.starts.len(), 1);
    stand(&mut harness, SECOND + LATE_MAX);
    let first = histories(&harness);
    check(first.first().expect("the job stands"), "sent", "worker-0");
    assert_eq!(changes(&first[0]), [Change::Accept, Change::Place, Change::Sent]);
    assert!(harness.events.iter().any(|event| matches!(
        event,
        Event::IdleQueue { queue, jobs: 1, longest } if queue == "batch" && *longest >= SECOND
    )));

    stand(&mut harness, SECOND * 3);
    assert_eq!(histories(&harness).len(), 2, "again after four seconds");
    harness.run(SECOND);
    let last = histories(&harness).pop().expect("the job stood");
    assert!(last.has_moved && last.time >= SECOND * 4, "{last}");
    assert_eq!(changes(&last).last(), Some(&Change::Confirmed));
    assert!(last.to_string().contains("decision=move"), "{last}");
    harness.run(SECOND * 6);
    assert_eq!(histories(&harness).len(), 3, "a job at work is not logged");
    let counted = harness.events.iter().rev().find_map(|event| match event {
        Event::IdleQueue { jobs, .. } => Some(*jobs),
        _ => None,
    });
    assert_eq!(counted, Some(0));
}

/// Guards against a job that the log does not name while its start may still be carried out.
#[test]
fn a_job_whose_start_is_unanswered_has_its_history_in_the_log() {
    let mut harness = owner_of_a_job();
    harness.commit();
    harness.worker(0).is_isolated = true;
    harness.deliver();
    stand(&mut harness, SECOND + LATE_MAX);
    let histories = histories(&harness);
    let standing = histories.first().expect("the job stands");
    check(standing, "unconfirmed", "worker-0");
    let contact = standing.oldest.as_ref().and_then(|oldest| oldest.worker.as_ref());
    assert!(contact.is_some_and(|contact| contact.is_suspect), "{standing}");
    let failed = Change::StartFailed(Failure::Unanswered("no answer".into()));
    assert_eq!(changes(standing), [Change::Accept, Change::Place, Change::Sent, failed]);
}

/// Guards against a job that the log does not name while the end of its stopped run is not
/// reported.
#[test]
fn a_job_whose_run_is_being_stopped_has_its_history_in_the_log() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    assert!(histories(&harness).is_empty(), "the job is at work");
    let leaving = harness.workers.get_mut(&worker).expect("known");
    leaving.stop_time = SECOND * 10;
    leaving.listed.draining = true;
    harness.list_workers();
    harness.run(SECOND + LATE_MAX);
    let histories = histories(&harness);
    let standing = histories.first().expect("the job stands");
    check(standing, "stopping", &worker.to_string());
    assert_eq!(changes(standing).last(), Some(&Change::Stop("the worker is leaving")));
}

/// Guards against more standing jobs than the log names: only the three longest waits had a line.
#[test]
fn each_of_many_standing_jobs_has_its_line() {
    let mut harness = Harness::new(&[64]);
    harness.poll_all();
    for number in 0..60 {
        let job = format!("{:016x}", 0xb000 + number);
        harness.submit("batch", &job, spec(vec![step(1, 1, SECOND * 60)]));
    }
    harness.commit();
    stand(&mut harness, SECOND * 6);
    let mut lines = std::collections::BTreeMap::new();
    for event in &harness.events {
        let Event::Standing(standing) = event else { continue };
        *lines.entry(standing.job).or_insert(0) += 1;
    }
    assert_eq!(lines.len(), 60);
}

/// Guards against a refused start whose reason is missing in the history.
#[test]
fn the_history_names_the_reason_of_a_refused_start() {
    let mut harness = owner_of_a_job();
    harness.commit();
    let (target, start) = harness.starts.pop().expect("the start is sent");
    let refused = Failure::Refused(Refusal::Late);
    harness.engine.start_answered(&target, &start, Err(refused.clone()), harness.now);
    harness.collect();
    stand(&mut harness, SECOND + LATE_MAX);
    let histories = histories(&harness);
    let changes = changes(histories.first().expect("the job stands"));
    assert!(changes.contains(&Change::StartFailed(refused)), "{changes:?}");
}

/// Guards against a flood of lines when many jobs move at once, and against jobs whose line was not
/// due yet when they moved and that the log never names.
#[test]
fn many_jobs_that_move_at_once_are_named_in_turn() {
    const JOBS: u32 = 400;
    const SECOND_MAX: usize = 64 * 1024;
    const LINE_MAX: usize = 4 * 1024;
    let mut harness = Harness::new(&[100; 4]);
    harness.poll_all();
    for number in 0..JOBS {
        let job = format!("{:016x}", 0xb000 + number);
        harness.submit("batch", &job, spec(vec![step(1, 1, SECOND * 60)]));
    }
    for worker in harness.workers.values_mut() {
        worker.listed.capacity.memory = size::Bytes::new(100 << 30);
        for number in 0..JOBS {
            let job = format!("{:016x}", 0xb000 + number).parse().expect("valid");
            worker.work.insert(task::Step { job, occurrence: 0, step: 0 }, SECOND * 60);
        }
    }
    harness.list_workers();
    harness.commit();
    stand(&mut harness, SECOND * 2);
    harness.run(ROUND);
    assert_eq!(harness.running().len(), JOBS as usize, "all jobs move");
    let before = harness.events.len();
    for _ in 0..100 {
        harness.advance(SECOND / 100);
        harness.engine.tick(harness.now, harness.wall_ms);
        harness.collect();
    }
    let mut lengths = 0;
    for event in &harness.events[before..] {
        lengths += if matches!(event, Event::Standing(_)) { event.to_string().len() } else { 0 };
    }
    // A second of the clock overlaps two of the limit, each of which ends with a whole line.
    assert!(lengths <= 2 * (SECOND_MAX + LINE_MAX), "{lengths} bytes in one second");
    harness.run(SECOND * 10);
    let mut moved = std::collections::BTreeSet::new();
    for event in &harness.events {
        let Event::Standing(standing) = event else { continue };
        assert!(standing.has_moved || standing.time >= SECOND);
        if standing.has_moved {
            moved.insert(standing.job);
        }
    }
    assert_eq!(moved.len(), JOBS as usize);
}
