//! Guards against jobs that run twice, can never run or exceed the quota of their team.

mod support;

use std::time::Duration;

use knapweedgap_core::{id, revision};
use knapweedgap_placement::command::{Action, Answer, Body, Outcome, Request};
use knapweedgap_placement::engine::{Phase, Receipt, Refusal};
use knapweedgap_placement::job::{BodyHash, End, Priority};
use knapweedgap_placement::log::Record;
use knapweedgap_placement::report::State;
use knapweedgap_placement::settings::Settings;
use support::{Driver, STEP, number, resources, spec, worker, worker_id};

#[test]
fn repeated_submission_returns_the_same_job() {
    let mut driver = Driver::new(1);
    let body = BodyHash::of(b"body");
    let first = driver.engine.submit(spec("a"), body, driver.now);
    let repeated = driver.engine.submit(spec("a"), body, driver.now);
    assert_eq!(first, repeated);
    driver.advance(STEP);
    let job = spec("a").id();
    assert_eq!(driver.engine.submit(spec("a"), body, driver.now), Ok(Receipt::Recorded(job)));
    driver.advance(STEP);
    assert_eq!(driver.starts().len(), 1);
}

#[test]
fn a_repeated_submission_of_a_finished_job_does_not_run_it_again() {
    let mut driver = Driver::new(1);
    let job = driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    driver.report(0, &[(start.task, 1, State::Succeeded)]);
    driver.advance(Duration::from_secs(60 * 60));
    assert_eq!(driver.submit(spec("a")), job);
    driver.report(0, &[]);
    driver.advance(STEP);
    assert!(driver.starts().is_empty());
}

#[test]
fn delegated_job_is_never_stored_in_two_partitions() {
    let mut driver = Driver::new(1);
    let (job, body) = (spec("a").id(), BodyHash::of(b"body"));
    let to = id::Partition::new(3);
    let delegated = driver.engine.delegate(job, body, to, driver.now);
    assert_eq!(delegated, Ok(Receipt::Waiting(job)));
    driver.advance(STEP);
    // The job fits here, and another partition could be chosen now; the first delegation holds.
    assert_eq!(driver.engine.submit(spec("a"), body, driver.now), Ok(Receipt::Delegated(to)));
    let again = driver.engine.delegate(job, body, id::Partition::new(2), driver.now);
    assert_eq!(again, Ok(Receipt::Delegated(to)));
    let other = driver.engine.submit(spec("a"), BodyHash::of(b"other"), driver.now);
    assert_eq!(other, Err(Refusal::Conflict { job }));
    driver.advance(STEP);
    assert!(driver.starts().is_empty());
}

#[test]
fn the_same_key_with_another_body_is_a_conflict() {
    let mut driver = Driver::new(1);
    let job = driver.submit(spec("a"));
    let refusal = driver.engine.submit(spec("a"), BodyHash::of(b"other"), driver.now);
    assert_eq!(refusal, Err(Refusal::Conflict { job }));
}

#[test]
fn a_job_that_fits_no_worker_is_refused_with_the_largest_size() {
    let mut driver = Driver::new(2);
    let mut large = worker(2);
    large.reserved = resources(1, 10);
    driver.engine.set_workers(vec![worker(0), large], driver.now);
    let mut job = spec("a");
    job.size = resources(17, 8);
    let refusal = driver.engine.submit(job, BodyHash::of(b"a"), driver.now);
    let expected = Refusal::TooLarge { size: resources(17, 8), largest: resources(16, 60) };
    assert_eq!(refusal, Err(expected));
}

#[test]
fn reservations_of_services_are_not_offered_to_jobs() {
    let mut driver = Driver::new(1);
    let mut reserved = worker(0);
    reserved.reserved = resources(14, 10);
    driver.engine.set_workers(vec![reserved], driver.now);
    let refusal = driver.engine.submit(spec("a"), BodyHash::of(b"a"), driver.now);
    let expected = Refusal::TooLarge { size: resources(4, 8), largest: resources(2, 50) };
    assert_eq!(refusal, Err(expected));
}

#[test]
fn exhausted_quota_queues_tasks_and_too_small_quota_refuses_jobs() {
    let mut settings = Settings::default();
    settings.quotas.teams.insert("plans".parse().expect("valid"), resources(8, 60));
    let mut driver = Driver::with_settings(2, settings);
    let mut large = spec("large");
    large.size = resources(9, 8);
    let refusal = driver.engine.submit(large, BodyHash::of(b"a"), driver.now);
    assert!(matches!(refusal, Err(Refusal::OverQuota { .. })), "{refusal:?}");
    let mut three = spec("three");
    three.tasks = 3;
    let job = driver.submit(three);
    let starts = driver.starts();
    assert_eq!(starts.len(), 2);
    let lines = driver.engine.explain(10, driver.now);
    assert_eq!(lines.len(), 1);
    let text = lines[0].to_string();
    assert!(
        text.starts_with(&format!("job {job}: team plans uses 8/16GiB/0 of its quota")),
        "{text}"
    );
    for start in starts {
        driver.report(number(&start.worker), &[(start.task, 1, State::Succeeded)]);
    }
    driver.advance(STEP);
    assert_eq!(driver.starts().len(), 1);
}

#[test]
fn a_failed_commit_answers_not_run_and_runs_nothing() {
    let mut driver = Driver::new(1);
    driver.engine.submit(spec("a"), BodyHash::of(b"a"), driver.now).expect("accepted");
    driver.now += STEP;
    driver.engine.tick(driver.now);
    let actions = driver.engine.actions();
    let [Action::Append(entry)] = actions.as_slice() else { panic!("{actions:?}") };
    driver.engine.commit_failed(entry.sequence, driver.now);
    let job = spec("a").id();
    let expected = Answer { request: Request::Submit(job), outcome: Outcome::NotRun };
    assert_eq!(driver.engine.actions(), vec![Action::Answer(expected)]);
    driver.advance(Duration::from_secs(2));
    assert!(driver.starts().is_empty());
    assert_eq!(driver.engine.status(&job), None);
}

#[test]
fn store_outage_does_not_cause_a_busy_loop() {
    let mut driver = Driver::new(2);
    for key in ["a", "b", "c"] {
        driver.submit(spec(key));
    }
    let end = driver.now + Duration::from_secs(60);
    let mut ticks = 0;
    while let Some(at) = driver.engine.next_wake().filter(|at| *at < end) {
        driver.now = driver.now.max(at);
        driver.engine.tick(driver.now);
        ticks += 1;
        for action in driver.engine.actions() {
            if let Action::Append(entry) = action {
                driver.engine.commit_failed(entry.sequence, driver.now);
            }
        }
        assert!(ticks < 1000, "more than 1000 wake-ups in 60 s");
    }
}

#[test]
fn a_burst_of_cancellations_is_one_record() {
    let mut driver = Driver::new(2);
    let mut jobs: Vec<id::Job> = Vec::new();
    for number in 0..300 {
        let spec = spec(&format!("job-{number}"));
        jobs.push(spec.id());
        driver.engine.submit(spec, BodyHash::of(b"a"), driver.now).expect("accepted");
    }
    driver.advance(STEP);
    assert_eq!(driver.starts().len(), 8, "two workers with capacity for four tasks each");
    let before = driver.entries.len();
    for chunk in jobs.chunks(10) {
        driver.engine.cancel(chunk, driver.now);
    }
    driver.advance(STEP);
    let records: Vec<&Record> =
        driver.entries[before..].iter().flat_map(|entry| &entry.records).collect();
    assert_eq!(records.len(), 1);
    assert!(matches!(records[0], Record::JobCancelled { jobs } if jobs.len() == 300));
    let stops = driver.take_commands();
    assert!(!stops.is_empty());
    assert!(stops.iter().all(|command| command.body == Body::Stop { checkpoint: false }));
    let stopped: Vec<_> = stops.iter().map(|stop| (stop.task, 1, State::Stopped)).collect();
    driver.report(0, &stopped);
    driver.report(1, &stopped);
    driver.advance(STEP);
    let phase = Phase::Finished(End::Cancelled);
    assert!(driver.engine.list(None, 1000).iter().all(|status| status.phase == phase));
}

#[test]
fn completion_concurrent_with_cancellation_is_recorded_once() {
    let mut driver = Driver::new(1);
    let job = driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    driver.engine.cancel(&[job], driver.now);
    driver.report(0, &[(start.task, 1, State::Succeeded)]);
    driver.advance(STEP);
    let status = driver.engine.status(&job).expect("kept");
    assert_eq!(status.phase, Phase::Finished(End::Succeeded));
    assert_eq!(status.tally.total(), 1);
}

#[test]
fn number_of_retained_finished_jobs_is_bounded() {
    let settings = Settings { retained_max: 3, ..Settings::default() };
    let mut driver = Driver::with_settings(1, settings);
    for number in 0..8 {
        let job = driver.submit(spec(&format!("job-{number}")));
        driver.engine.cancel(&[job], driver.now);
        driver.advance(STEP);
        let task = id::Task { job, index: 0 };
        driver.report(0, &[(task, 1, State::Stopped)]);
        driver.advance(STEP);
    }
    assert_eq!(driver.engine.counts(driver.now).closed, 3);
    let replayed = knapweedgap_placement::replay::rebuild(None, &driver.entries).expect("replays");
    assert_eq!(replayed.0, *driver.engine.state());
}

#[test]
fn entry_of_the_longest_submissions_fits_into_a_store_value() {
    let mut driver = Driver::new(1);
    for number in 0..300 {
        let mut job = spec(&format!("{number}-{}", "k".repeat(120)));
        // JSON writes each of these characters with 6 bytes.
        job.payload = "\u{1}".repeat(4096);
        driver.engine.submit(job, BodyHash::of(b"a"), driver.now).expect("accepted");
    }
    driver.advance(Duration::from_secs(5));
    assert_eq!(driver.engine.counts(driver.now).jobs, 300);
    for entry in &driver.entries {
        let length = serde_json::to_vec(entry).expect("encodes").len();
        assert!(length <= 1_000_000, "entry {} has {length} bytes", entry.sequence);
    }
}

#[test]
fn a_job_without_a_reporting_worker_is_explained_with_a_remedy() {
    let mut driver = Driver::new(1);
    driver.engine.worker_unreachable(&worker_id(0));
    let job = driver.submit(spec("a"));
    let lines = driver.engine.explain(10, driver.now);
    let expected =
        format!("job {job}: none of the 1 workers of the partition reports; check the workers");
    assert_eq!(lines[0].to_string(), expected);
}

#[test]
fn a_checkpoint_is_stored_every_512_entries() {
    let mut driver = Driver::new(1);
    for number in 0..512 {
        driver.submit(spec(&format!("job-{number}")));
    }
    assert_eq!(driver.checkpoints.len(), 1);
    assert_eq!(driver.checkpoints[0].sequence, revision::Sequence::new(512));
}

#[test]
fn log_with_a_gap_is_rejected_with_its_position() {
    let mut driver = Driver::new(1);
    for key in ["a", "b", "c"] {
        driver.submit(spec(key));
    }
    driver.entries.remove(1);
    let error = knapweedgap_placement::replay::rebuild(None, &driver.entries).expect_err("gap");
    assert_eq!(error.to_string(), "entry 3 follows entry 1; read the log again");
}

#[test]
fn urgent_task_evicts_low_priority_task_which_resumes_once() {
    let mut driver = Driver::new(1);
    let mut low = spec("low");
    low.priority = Priority::Low;
    low.tasks = 4;
    driver.submit(low);
    let running: Vec<_> =
        driver.starts().iter().map(|start| (start.task, 1, State::Running)).collect();
    assert_eq!(running.len(), 4);
    driver.report(0, &running);
    let mut urgent = spec("urgent");
    urgent.priority = Priority::Urgent;
    let urgent = driver.submit(urgent);
    let stops = driver.take_commands();
    assert_eq!(stops.len(), 1, "one victim frees enough capacity");
    assert_eq!(stops[0].body, Body::Stop { checkpoint: true });
    let ended: Vec<_> = running
        .iter()
        .map(|(task, attempt, _)| {
            let state = if *task == stops[0].task { State::Stopped } else { State::Running };
            (*task, *attempt, state)
        })
        .collect();
    driver.report(0, &ended);
    driver.report(0, &ended);
    driver.advance(STEP);
    let starts = driver.starts();
    assert_eq!(starts.len(), 1, "the evicted task must not receive the freed capacity");
    assert_eq!(starts[0].task.job, urgent);
    driver.report(0, &[(starts[0].task, 1, State::Succeeded)]);
    driver.advance(STEP);
    let resumed = driver.starts();
    let resumed: Vec<_> = resumed.iter().filter(|start| start.task == stops[0].task).collect();
    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].attempt.get(), 2);
    let records = driver.entries.iter().flat_map(|entry| &entry.records);
    let count = records.filter(|record| matches!(record, Record::Resumed { .. })).count();
    assert_eq!(count, 1);
}
