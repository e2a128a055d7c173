//! Requests of clients: the effect of a request is stored before its answer is sent.

mod support;

use std::time::Duration;

use knapweedgap_workload::action::Ticket;
use knapweedgap_workload::api::{Answer, Request, Verb};
use knapweedgap_workload::job::State;
use support::{HOST, Harness, spec, step};

const JOB: &str = "00000000000000a1";

fn small_job() -> knapweedgap_workload::job::Spec {
    spec(vec![step(2, 1, Duration::from_secs(1))])
}

/// Returns an owner whose only worker has no free capacity.
fn owner_without_capacity() -> Harness {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    harness.submit("batch", "00000000000000ff", spec(vec![step(4, 1, Duration::from_secs(1))]));
    harness.commit();
    harness.deliver();
    harness
}

/// Guards against an acknowledged job that is missing from the log after a takeover.
#[test]
fn a_job_is_acknowledged_after_it_is_stored() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    let ticket = harness.submit("batch", JOB, small_job());
    let batch = harness.take_batch().expect("the job is to be stored");
    assert_eq!(harness.answers.get(&ticket), None);
    assert!(harness.starts.is_empty(), "no start before the record");
    harness.store(&batch);
    assert_eq!(harness.answers.get(&ticket), Some(&Answer::Accepted));
    assert_eq!(harness.starts.len(), 2);
}

/// Guards against a second run of a job whose acknowledgement was lost.
#[test]
fn a_repeated_submission_is_the_same_job() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    harness.submit("batch", JOB, small_job());
    let again = harness.submit("batch", JOB, small_job());
    assert_eq!(harness.answers.get(&again), None, "the first submission is not stored yet");
    harness.commit();
    assert_eq!(harness.answers.get(&again), Some(&Answer::Accepted));
    harness.take_over();
    harness.run(Duration::from_secs(3));
    let late = harness.submit("batch", JOB, small_job());
    assert_eq!(harness.answers.get(&late), Some(&Answer::Accepted));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
    assert_eq!(harness.worker(0).events.len(), 4, "each task has run once");
}

/// Guards against acknowledging a repeated cancellation before the first one is stored: after a
/// takeover the job continued (hunt-36c2-15 of anbo-grid).
#[test]
fn a_repeated_cancellation_waits_for_the_record_of_the_first() {
    let mut harness = owner_without_capacity();
    let ticket = harness.submit("batch", JOB, small_job());
    harness.commit();
    assert_eq!(harness.answers.get(&ticket), Some(&Answer::Accepted));
    let first = harness.request("batch", JOB, Verb::Cancel);
    let again = harness.request("batch", JOB, Verb::Cancel);
    assert_eq!(harness.answers.get(&first), None);
    assert_eq!(harness.answers.get(&again), None);
    harness.commit();
    assert_eq!(harness.answers.get(&again), Some(&Answer::Cancelled));
    harness.take_over();
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Cancelled));
}

/// Guards against acknowledging a submission because its job has ended, although neither the job
/// nor its end is stored.
#[test]
fn a_submission_after_an_unstored_cancellation_waits() {
    let mut harness = owner_without_capacity();
    harness.submit("batch", JOB, small_job());
    harness.request("batch", JOB, Verb::Cancel);
    let again = harness.submit("batch", JOB, small_job());
    assert_eq!(harness.answers.get(&again), None);
    harness.commit();
    assert_eq!(harness.answers.get(&again), Some(&Answer::Accepted));
}

/// Guards against runs of a job after its cancellation was acknowledged.
#[test]
fn a_cancelled_job_is_stopped_and_starts_nothing() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(8, 1, Duration::from_secs(5))]));
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 4);
    harness.request("batch", JOB, Verb::Cancel);
    harness.run(Duration::from_millis(300));
    assert!(harness.running().is_empty());
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Cancelled));
}

/// Guards against the answer "not run" for a job whose commit is in transit. While the store
/// accepts no commits, only jobs without such a commit are refused.
#[test]
fn only_unknown_jobs_are_refused_while_the_store_is_unavailable() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    harness.submit("batch", JOB, small_job());
    harness.engine.set_store_available(false);
    let again = harness.submit("batch", JOB, small_job());
    assert_eq!(harness.answers.get(&again), None);
    let other = harness.submit("batch", "00000000000000b2", small_job());
    let answer = harness.answers.get(&other);
    assert!(matches!(answer, Some(Answer::Unavailable(_))), "{answer:?}");
}

/// Guards against a queue that is found by a shorter prefix, and against a configured queue that is
/// not found.
#[test]
fn unknown_queues_and_unknown_jobs_have_different_answers() {
    let mut harness = owner_without_capacity();
    assert_eq!(harness.show("nowhere", JOB), Answer::NoQueue);
    assert_eq!(harness.show("batch", JOB), Answer::NoJob);
    assert_eq!(harness.show("batch", ""), Answer::Waiting(0));
    harness.submit("batch", JOB, small_job());
    harness.commit();
    assert_eq!(harness.show("batch", ""), Answer::Waiting(1));
}

/// Guards against a job that waits for ever because no worker can run it.
#[test]
fn a_job_that_fits_no_worker_is_refused_at_once() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    let ticket = harness.submit("batch", JOB, spec(vec![step(1, 64, Duration::from_secs(1))]));
    let answer = harness.answers.get(&ticket);
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
}

/// Guards against treating a cancellation as stored because an older record of the job was in
/// transit when the request arrived (trouble-1 of anbo-grid-grown).
#[test]
fn an_older_record_does_not_acknowledge_the_cancellation() {
    let mut harness = owner_without_capacity();
    harness.submit("batch", JOB, small_job());
    let older = harness.take_batch().expect("the job is to be stored");
    let first = harness.request("batch", JOB, Verb::Cancel);
    harness.store(&older);
    let again = harness.request("batch", JOB, Verb::Cancel);
    assert_eq!(harness.answers.get(&first), None);
    assert_eq!(harness.answers.get(&again), None);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Running));
    harness.commit();
    assert_eq!(harness.answers.get(&again), Some(&Answer::Cancelled));
}

/// Guards against a queue that reports no waiting job while none of the job's runs has begun: its
/// placement is stored, and its start is refused or never arrives.
#[test]
fn a_job_whose_start_took_no_effect_still_waits() {
    for is_refused in [false, true] {
        let mut harness = Harness::new(&[8]);
        harness.poll_all();
        harness.submit("batch", "00000000000000e1", spec(vec![step(1, 1, Duration::from_secs(1))]));
        harness.commit();
        harness.worker(0).is_refused = is_refused;
        harness.worker(0).is_isolated = !is_refused;
        harness.run(Duration::from_secs(3));
        assert_eq!(harness.show("batch", ""), Answer::Waiting(1), "refused: {is_refused}");
        harness.take_over();
        harness.run(Duration::from_secs(1));
        assert_eq!(harness.show("batch", ""), Answer::Waiting(1), "refused: {is_refused}");
        harness.worker(0).is_refused = false;
        harness.worker(0).is_isolated = false;
        harness.run(Duration::from_secs(20));
        assert_eq!(harness.show("batch", ""), Answer::Waiting(0), "refused: {is_refused}");
    }
}

/// Returns the answer to a submission to a queue that does not exist, of which an earlier attempt began
/// `attempted` before; `None` while it waits for a commit.
fn submit_again(
    harness: &mut Harness,
    queue: &str,
    job: &str,
    attempted: Option<Duration>,
) -> Option<Answer> {
    let path = format!("/{queue}/{job}").into();
    let verb = Verb::Submit(Box::new(small_job()));
    let request = Request { attempted, ..Request::new(HOST.into(), path, verb) };
    let (now, wall_ms) = (harness.now, harness.wall_ms);
    harness.engine.request(Ticket(u64::MAX), request, now, wall_ms)
}

/// Guards against "no such queue" for a job that this request has submitted, after its queue was
/// removed (review/7), and against success for a job that was submitted before the request.
#[test]
fn a_repeated_attempt_finds_its_job_without_the_queue() {
    const ATTEMPTED: Option<Duration> = Some(Duration::from_secs(1));
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    assert_eq!(submit_again(&mut harness, "removed", JOB, ATTEMPTED), Some(Answer::NoQueue));
    harness.submit("batch", JOB, small_job());
    assert_eq!(submit_again(&mut harness, "removed", JOB, None), Some(Answer::NoQueue));
    assert_eq!(submit_again(&mut harness, "removed", JOB, ATTEMPTED), None, "it is not stored yet");
    harness.commit();
    assert_eq!(harness.answers.get(&Ticket(u64::MAX)), Some(&Answer::Accepted));
    harness.run(Duration::from_secs(3));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
    assert_eq!(submit_again(&mut harness, "removed", JOB, ATTEMPTED), Some(Answer::NoQueue));
    let long = Some(Duration::from_secs(4));
    assert_eq!(submit_again(&mut harness, "removed", JOB, long), Some(Answer::Accepted));
    harness.take_over();
    assert_eq!(submit_again(&mut harness, "removed", JOB, long), Some(Answer::NoQueue));
}

/// Guards against answers that deny the execution of a request whose earlier attempt may have been
/// executed: each answer has to be on one side.
#[test]
fn refusals_rule_out_execution() {
    let refused = Answer::Refused { retry_after: Duration::from_secs(1), reason: "full".into() };
    let denials = [
        refused,
        Answer::Invalid("no steps".into()),
        Answer::NoQueue,
        Answer::Unavailable("no configuration yet".into()),
    ];
    for answer in denials {
        assert!(answer.rules_out_execution(), "{answer}");
    }
    let others = [
        Answer::Accepted,
        Answer::NoJob,
        Answer::State(State::Running),
        Answer::Cancelled,
        Answer::Waiting(1),
        Answer::Unknown("no answer".into()),
    ];
    for answer in others {
        assert!(!answer.rules_out_execution(), "{answer}");
    }
}
