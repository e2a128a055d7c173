//! Guards against tasks that are lost, run twice or fail because of an unreachable, restarted or
//! faulty worker, and against interference with services.

mod support;

use std::time::Duration;

use knapweedgap_core::{id, rate};
use knapweedgap_placement::command::{Action, Body};
use knapweedgap_placement::engine::{Engine, Phase};
use knapweedgap_placement::job::{BodyHash, End};
use knapweedgap_placement::lease;
use knapweedgap_placement::log::Record;
use knapweedgap_placement::report::{Latency, State};
use knapweedgap_placement::settings::Settings;
use support::{Driver, STEP, number, owner, resources, spec, worker, worker_id};

/// Advances the time while every worker except `unreachable` reports that it runs no task.
fn advance_with_reports(driver: &mut Driver, workers: u32, unreachable: u32, time: Duration) {
    let end = driver.now + time;
    while driver.now < end {
        for other in (0..workers).filter(|other| *other != unreachable) {
            driver.report(other, &[]);
        }
        driver.advance(Duration::from_millis(500));
    }
}

#[test]
fn task_on_unreachable_worker_is_replaced_only_after_latest_lease_end() {
    let mut driver = Driver::new(2);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    let unreachable = number(&start.worker);
    driver.report(unreachable, &[(start.task, 1, State::Running)]);
    let last = driver.now;
    advance_with_reports(&mut driver, 2, unreachable, Duration::from_secs(10));
    assert!(driver.starts().is_empty(), "replaced {:?} after the report", driver.now - last);
    advance_with_reports(&mut driver, 2, unreachable, Duration::from_millis(1500));
    let again = driver.starts();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].task, again[0].attempt.get()), (start.task, 2));
    assert!(driver.now >= last + lease::with_drift(lease::LEASE));
}

#[test]
fn takeover_adds_ownership_validity_to_the_lease_end_of_unreachable_workers() {
    let mut driver = Driver::new(2);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    let unreachable = number(&start.worker);
    driver.report(unreachable, &[(start.task, 1, State::Running)]);
    driver.advance(STEP);
    driver.engine =
        Engine::replay(owner(2), Settings::default(), None, &driver.entries, driver.now)
            .expect("replays");
    driver.epoch = 2;
    let takeover = driver.now;
    driver.engine.set_workers((0..2).map(worker).collect(), driver.now);
    advance_with_reports(&mut driver, 2, unreachable, Duration::from_secs(31));
    assert!(driver.starts().is_empty(), "replaced {:?} after the takeover", driver.now - takeover);
    advance_with_reports(&mut driver, 2, unreachable, Duration::from_secs(2));
    assert_eq!(driver.starts().len(), 1);
    // 20 s of ownership validity and 10 s of lease, plus 5 % clock drift.
    assert!(driver.now >= takeover + Duration::from_millis(31_500));
}

#[test]
fn leases_are_not_renewed_after_ownership_validity() {
    let mut driver = Driver::new(1);
    let id = worker_id(0);
    let validated = driver.now;
    driver.engine.ownership_validated(validated);
    assert!(driver.engine.heartbeat(&id, validated + lease::OWNERSHIP_VALIDITY).grant.is_some());
    let late = validated + lease::OWNERSHIP_VALIDITY + Duration::from_millis(1);
    assert!(driver.engine.heartbeat(&id, late).grant.is_none());
}

#[test]
fn late_commit_answer_does_not_extend_ownership_validity() {
    let mut driver = Driver::new(1);
    driver.engine.submit(spec("a"), BodyHash::of(b"a"), driver.now).expect("accepted");
    driver.now += STEP;
    driver.engine.tick(driver.now);
    let actions = driver.engine.actions();
    let [Action::Append(entry)] = actions.as_slice() else { panic!("{actions:?}") };
    let sent = driver.now;
    driver.engine.committed(entry.sequence, sent + Duration::from_secs(15));
    let id = worker_id(0);
    assert!(driver.engine.heartbeat(&id, sent + Duration::from_secs(20)).grant.is_some());
    assert!(driver.engine.heartbeat(&id, sent + Duration::from_secs(21)).grant.is_none());
}

#[test]
fn worker_restart_ends_its_attempts() {
    let mut driver = Driver::new(1);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    driver.report(0, &[(start.task, 1, State::Running)]);
    driver.advance(STEP);
    driver.report_as(0, 2, &[]);
    driver.advance(STEP);
    let again = driver.starts();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].attempt.get(), again[0].incarnation.get()), (2, 2));
}

#[test]
fn late_reports_of_an_earlier_incarnation_or_attempt_are_ignored() {
    let mut driver = Driver::new(1);
    let job = driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    driver.report_as(0, 2, &[]);
    driver.advance(STEP);
    assert_eq!(driver.starts()[0].attempt.get(), 2);
    driver.report_as(0, 1, &[(start.task, 1, State::Succeeded)]);
    driver.report_as(0, 2, &[(start.task, 1, State::Succeeded)]);
    driver.advance(STEP);
    assert_eq!(driver.engine.status(&job).map(|status| status.tally.total()), Some(0));
    assert_eq!(driver.engine.task(&start.task).map(|task| task.history().attempt.get()), Some(2));
}

#[test]
fn lost_start_command_is_repeated_for_the_same_attempt() {
    let mut driver = Driver::new(1);
    driver.submit(spec("a"));
    let first = driver.starts();
    driver.report(0, &[]);
    let second = driver.take_commands();
    assert_eq!(second.len(), 1);
    assert!(matches!(second[0].body, Body::Start(_)));
    assert_eq!(first[0].task, second[0].task);
    assert_eq!(first[0].attempt, second[0].attempt);
    assert_eq!(first[0].incarnation, second[0].incarnation);
}

#[test]
fn stale_running_attempt_is_stopped() {
    let mut driver = Driver::new(2);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    let unreachable = number(&start.worker);
    driver.report(unreachable, &[(start.task, 1, State::Running)]);
    advance_with_reports(&mut driver, 2, unreachable, Duration::from_secs(12));
    driver.take_commands();
    driver.report(unreachable, &[(start.task, 1, State::Running)]);
    let commands = driver.take_commands();
    assert!(commands.iter().any(|command| {
        command.worker == start.worker
            && command.attempt.get() == 1
            && matches!(command.body, Body::Stop { .. })
    }));
}

#[test]
fn a_worker_that_fails_every_task_is_quarantined_and_the_jobs_keep_their_retries() {
    let mut driver = Driver::new(1);
    let jobs: Vec<id::Job> = (0..3).map(|key| driver.submit(spec(&format!("{key}")))).collect();
    let starts = driver.starts();
    let failed: Vec<_> = starts.iter().map(|start| (start.task, 1, State::Failed(1))).collect();
    driver.report(0, &failed);
    driver.advance(STEP);
    let quarantined = driver.now;
    assert_eq!(driver.engine.counts(driver.now).quarantined, 1);
    for start in &starts {
        let task = driver.engine.task(&start.task).expect("unfinished");
        assert_eq!(task.history().failures, 0, "the failure is attributed to the worker");
    }
    driver.starts();
    while driver.now < quarantined + Duration::from_secs(9) {
        driver.report(0, &failed);
        driver.advance(STEP);
        assert!(driver.starts().is_empty(), "started on a quarantined worker");
    }
    driver.advance(Duration::from_secs(1));
    driver.report(0, &failed);
    driver.advance(STEP);
    assert_eq!(driver.starts().len(), 3);
    let failed: Vec<_> = starts.iter().map(|start| (start.task, 2, State::Failed(1))).collect();
    driver.report(0, &failed);
    driver.advance(Duration::from_secs(15));
    assert_eq!(
        driver.engine.counts(driver.now).quarantined,
        1,
        "the second quarantine is twice as long"
    );
    for job in jobs {
        assert_ne!(
            driver.engine.status(&job).map(|status| status.phase),
            Some(Phase::Finished(End::Failed))
        );
    }
}

#[test]
fn a_job_that_always_fails_ends_and_does_not_quarantine_workers() {
    let mut driver = Driver::new(3);
    let job = driver.submit(spec("a"));
    for attempt in 1..=10 {
        for start in driver.starts() {
            let failed = (start.task, attempt, State::Failed(7));
            driver.report(number(&start.worker), &[failed]);
        }
        driver.advance(STEP);
    }
    let status = driver.engine.status(&job).expect("kept");
    assert_eq!(status.phase, Phase::Finished(End::Failed));
    assert!(status.reason.expect("a reason").contains("exit code 7"));
    assert_eq!(driver.engine.counts(driver.now).quarantined, 0);
    let records = driver.entries.iter().flat_map(|entry| &entry.records);
    let attempts = records.filter(|record| matches!(record, Record::TaskPlaced { .. })).count();
    assert_eq!(attempts, 2, "one failure and its confirmation on a second worker");
}

#[test]
fn task_that_repeatedly_exceeds_its_memory_fails_with_a_reason() {
    let mut driver = Driver::new(1);
    let job = driver.submit(spec("a"));
    let mut attempts = 0;
    for attempt in 1..=10 {
        for start in driver.starts() {
            attempts += 1;
            driver.report(0, &[(start.task, attempt, State::OverMemory)]);
        }
        driver.advance(STEP);
    }
    assert_eq!(attempts, 3);
    let status = driver.engine.status(&job).expect("kept");
    assert_eq!(status.phase, Phase::Finished(End::Failed));
    assert!(status.reason.expect("a reason").contains("more memory than declared"));
}

#[test]
fn leaving_worker_receives_no_tasks_and_its_tasks_are_moved() {
    let mut driver = Driver::new(2);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    let leaving = number(&start.worker);
    driver.report(leaving, &[(start.task, 1, State::Running)]);
    driver.advance(STEP);
    let mut specs: Vec<_> = (0..2).map(worker).collect();
    specs[leaving as usize].leaving = true;
    driver.engine.set_workers(specs, driver.now);
    driver.advance(STEP);
    let stops = driver.take_commands();
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].body, Body::Stop { checkpoint: true });
    driver.report(1 - leaving, &[]);
    driver.report(leaving, &[(start.task, 1, State::Stopped)]);
    driver.advance(STEP);
    let again = driver.starts();
    assert_eq!(again.len(), 1);
    assert_eq!(number(&again[0].worker), 1 - leaving);
}

#[test]
fn a_stuck_task_is_explained_with_its_worker_and_the_time_left() {
    let mut driver = Driver::new(1);
    let job = driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    driver.report(0, &[(start.task, 1, State::Running)]);
    driver.advance(Duration::from_secs(5));
    let lines = driver.engine.explain(10, driver.now);
    assert_eq!(
        lines[0].to_string(),
        format!(
            "job {job}: worker w0 of task {} does not report; the task resumes elsewhere in 6 s \
             unless the worker returns",
            start.task
        )
    );
}

fn latency(driver: &Driver, milli: u64) -> Latency {
    Latency {
        service: "inspection".parse().expect("valid"),
        worker: worker_id(0),
        latency: Duration::from_millis(milli),
        target: Duration::from_millis(100),
        since: driver.now,
    }
}

#[test]
fn interference_escalates_from_throttle_to_checkpoint_to_eviction() {
    let mut driver = Driver::new(1);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    driver.report(0, &[(start.task, 1, State::Running)]);
    driver.advance(STEP);
    let early = latency(&driver, 300);
    let mut bodies = Vec::new();
    for _ in 0..3 {
        driver.now += STEP;
        let report = latency(&driver, 300);
        driver.engine.observe_latency(&report, driver.now);
        driver.engine.observe_latency(&early, driver.now);
        driver.advance(STEP);
        bodies.extend(driver.take_commands().into_iter().map(|command| command.body));
    }
    let throttle = Body::Throttle(knapweedgap_placement::interference::THROTTLED);
    assert_eq!(bodies, vec![throttle, Body::Checkpoint, Body::Stop { checkpoint: true }]);
}

#[test]
fn throttled_task_is_released_only_after_several_reports_below_the_release_threshold() {
    let mut driver = Driver::new(1);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    driver.report(0, &[(start.task, 1, State::Running)]);
    driver.advance(STEP);
    let observe = |driver: &mut Driver, milli| {
        driver.now += STEP;
        let report = latency(driver, milli);
        driver.engine.observe_latency(&report, driver.now);
        driver.advance(STEP);
        driver.take_commands().len()
    };
    assert_eq!(observe(&mut driver, 115), 1);
    for _ in 0..4 {
        assert_eq!(observe(&mut driver, 50), 0);
    }
    // Between the release and the throttle threshold: no escalation, and the count restarts.
    assert_eq!(observe(&mut driver, 95), 0);
    for _ in 0..4 {
        assert_eq!(observe(&mut driver, 50), 0);
    }
    driver.now += STEP;
    let report = latency(&driver, 50);
    driver.engine.observe_latency(&report, driver.now);
    driver.advance(STEP);
    let release = driver.take_commands();
    assert_eq!(release.len(), 1);
    assert_eq!(release[0].body, Body::Throttle(rate::Share::FULL));
}

#[test]
fn reservations_that_grow_into_committed_capacity_evict_tasks() {
    let mut driver = Driver::new(1);
    let mut job = spec("a");
    job.tasks = 4;
    driver.submit(job);
    let running: Vec<_> =
        driver.starts().iter().map(|start| (start.task, 1, State::Running)).collect();
    driver.report(0, &running);
    driver.advance(STEP);
    let mut grown = worker(0);
    grown.reserved = resources(7, 10);
    driver.engine.set_workers(vec![grown], driver.now);
    driver.advance(STEP);
    assert_eq!(driver.take_commands().len(), 2, "9 cores are left for 4 tasks of 4 cores");
}

/// Returns the commands since the last call that publish or discard a result.
fn result_commands(driver: &mut Driver) -> Vec<(id::Attempt, Body)> {
    let commands = driver.take_commands().into_iter();
    let results = commands.filter(|command| matches!(command.body, Body::Publish | Body::Forget));
    results.map(|command| (command.attempt, command.body)).collect()
}

/// Guards against a result that is published before its completion is committed, and against one
/// that is lost because the next owner cannot tell which attempt completed.
#[test]
fn a_result_is_published_once_its_completion_is_committed() {
    let mut driver = Driver::new(1);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    let succeeded = [(start.task, 1, State::Succeeded)];
    let report = driver.build_report(0, 1, &succeeded);
    driver.engine.observe(&report, driver.now);
    driver.now += STEP;
    driver.engine.tick(driver.now);
    let report = driver.build_report(0, 1, &succeeded);
    driver.engine.observe(&report, driver.now);
    let early = driver.engine.actions();
    let [Action::Append(entry)] = &early[..] else { panic!("{early:?}") };
    driver.entries.push(entry.clone());
    driver.engine.committed(entry.sequence, driver.now);
    driver.run_until_idle();
    driver.report(0, &succeeded);
    let first = id::Attempt::new(1);
    assert_eq!(result_commands(&mut driver), [(first, Body::Publish)]);
    driver.engine =
        Engine::replay(owner(2), Settings::default(), None, &driver.entries, driver.now)
            .expect("replays");
    driver.epoch = 2;
    driver.engine.set_workers(vec![worker(0)], driver.now);
    driver.report(0, &succeeded);
    assert_eq!(result_commands(&mut driver), [(first, Body::Publish)]);
}

/// Guards against two published results of a task that completed on a worker which was unreachable
/// until its lease ended.
#[test]
fn result_of_a_lost_attempt_is_discarded() {
    let mut driver = Driver::new(2);
    driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    let unreachable = number(&start.worker);
    driver.report(unreachable, &[(start.task, 1, State::Running)]);
    advance_with_reports(&mut driver, 2, unreachable, Duration::from_secs(12));
    let again = driver.starts().remove(0);
    assert_eq!(again.attempt.get(), 2);
    let other = number(&again.worker);
    driver.report(unreachable, &[(start.task, 1, State::Succeeded)]);
    driver.report(other, &[(start.task, 2, State::Succeeded)]);
    driver.advance(STEP);
    driver.report(unreachable, &[(start.task, 1, State::Succeeded)]);
    driver.report(other, &[(start.task, 2, State::Succeeded)]);
    let (first, second) = (id::Attempt::new(1), id::Attempt::new(2));
    let expected = [(first, Body::Forget), (first, Body::Forget), (second, Body::Publish)];
    assert_eq!(result_commands(&mut driver), expected);
}

/// Guards against a published result of a task whose job was cancelled after its attempt was lost.
#[test]
fn result_reported_after_cancellation_is_discarded() {
    let mut driver = Driver::new(2);
    let job = driver.submit(spec("a"));
    let start = driver.starts().remove(0);
    let unreachable = number(&start.worker);
    driver.report(unreachable, &[(start.task, 1, State::Running)]);
    // No other worker reports, so the task still waits when the job is cancelled.
    for _ in 0..24 {
        driver.advance(Duration::from_millis(500));
    }
    assert!(driver.starts().is_empty());
    assert_eq!(driver.engine.cancel(&[job], driver.now), [job]);
    driver.advance(STEP);
    driver.report(unreachable, &[(start.task, 1, State::Succeeded)]);
    assert_eq!(result_commands(&mut driver), [(id::Attempt::new(1), Body::Forget)]);
}

/// Time within which urgent work starts after the death of its owner.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against a task that stays placed for ever on a worker that answers heartbeats and never
/// carries its start out, while another worker is empty.
#[test]
fn a_start_that_is_never_carried_out_stays_on_its_worker() {
    let mut driver = Driver::new(2);
    driver.submit(spec("a"));
    let first = driver.starts().remove(0).worker;
    let end = driver.now + START_TIMEOUT;
    let mut workers = vec![first.clone()];
    while driver.now < end {
        for worker in 0..2 {
            driver.report(worker, &[]);
        }
        driver.advance(Duration::from_millis(500));
        workers.extend(driver.starts().into_iter().map(|start| start.worker));
    }
    assert!(workers.iter().any(|worker| *worker != first), "{} starts on {first}", workers.len());
}
