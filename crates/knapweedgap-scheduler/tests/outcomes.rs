//! Answers to submissions of which an earlier attempt may have been executed.

mod support;

use std::time::{Duration, Instant};

use knapweedgap_workload::api::{Answer, Outage, Request, Verb};
use support::{Answers, Installation, wait_for};

const JOB: &str = "00000000000000f1";
/// Time within which the commit of a submission has been carried out.
const COMMIT_TIME: Duration = Duration::from_millis(300);
/// Time after which the first attempt at the owner has timed out.
const ATTEMPT_TIME: Duration = Duration::from_millis(1_200);
/// Time within which a task of a stored job starts.
const START_TIME: Duration = Duration::from_secs(4);

/// Submits a job at an instance that is not the owner while the answers of the store to the owner are
/// lost, and removes its queue. `disturb` gets the owner and the time of the submission. Returns the
/// answer.
fn submit_and_remove_queue<Disturb>(installation: &Installation, disturb: Disturb) -> Answer
where
    Disturb: FnOnce(usize, Instant),
{
    let owner = installation.owner().expect("an owner");
    let entry = (owner + 1) % installation.instances.len();
    installation.instances[owner].set_answers(Answers::LostFromNextBatch);
    std::thread::scope(|scope| {
        let client = scope.spawn(|| installation.submit(entry, 1, JOB));
        let submitted_at = Instant::now();
        std::thread::sleep(COMMIT_TIME);
        installation.put("operators/configuration", "2");
        disturb(owner, submitted_at);
        client.join().expect("no panic").expect("an answer")
    })
}

/// Checks that an answer is true for a job whose tasks start.
fn check(installation: &Installation, answer: &Answer) {
    let has_started = || !installation.workers.state().starts.is_empty();
    wait_for("the job was stored, so its tasks start", START_TIME, has_started);
    let is_true = matches!(answer, Answer::Accepted | Answer::Unknown(_));
    assert!(is_true, "answered {answer:?}, and its tasks start");
}

/// Guards against "no such queue" for a job that is stored: the first attempt at the owner had no
/// answer, and the next one found that the queue had been removed (review/7). The second attempt finds
/// the job, so the answer is known.
#[test]
fn a_stored_job_of_a_removed_queue_is_acknowledged() {
    let mut installation = Installation::start(3);
    let answer = submit_and_remove_queue(&installation, |owner, submitted_at| {
        std::thread::sleep(ATTEMPT_TIME.saturating_sub(submitted_at.elapsed()));
        installation.instances[owner].set_answers(Answers::Sent);
    });
    check(&installation, &answer);
    assert_eq!(answer, Answer::Accepted);
    installation.stop_all();
}

/// Guards against the same with an owner that stops before it knows whether the submission is stored,
/// and its successor.
#[test]
fn a_submission_at_an_owner_that_stops_may_be_stored() {
    let mut installation = Installation::start(3);
    let answer = submit_and_remove_queue(&installation, |owner, _| {
        installation.instances[owner].request_stop();
    });
    check(&installation, &answer);
    installation.stop_all();
}

/// Guards against requests that another release of an instance can't decode.
#[test]
fn a_first_attempt_has_the_encoding_of_earlier_releases() {
    let first = Request::new("jobs.example".into(), "/batch/".into(), Verb::Show);
    let text = serde_json::to_string(&first).expect("encoded");
    assert_eq!(text, r#"{"host":"jobs.example","path":"/batch/","verb":"Show"}"#);
    assert_eq!(serde_json::from_str::<Request>(&text).expect("decoded"), first);
    let again = Request { attempted: Some(Duration::from_millis(940)), ..first };
    let text = serde_json::to_string(&again).expect("encoded");
    assert_eq!(serde_json::from_str::<Request>(&text).expect("decoded"), again);
}

/// Time that a client still waits which repeats a submission at the end of its time.
const REMAINING_TIME: Duration = Duration::from_millis(240);
/// Number of such submissions, of which at least one is answered in time on a busy machine.
const LATE_SUBMISSIONS: u64 = 10;

/// Guards against refusals without an attempt: the time reserved for the transit of an answer was
/// longer than the rest of the client's time, so the client was told that no leader serves requests.
#[test]
fn a_client_with_little_time_left_is_served() {
    let mut installation = Installation::start(1);
    let mut accepted = 0;
    for number in 0..LATE_SUBMISSIONS {
        let answer = installation.submit_within(0, &format!("{number:016x}"), REMAINING_TIME);
        accepted += u64::from(answer == Some(Answer::Accepted));
    }
    assert!(accepted > 0, "none of {LATE_SUBMISSIONS} submissions was accepted");
    installation.stop_all();
}

/// Guards against an answer that an instance of another release can't decode: the text alone is sent.
#[test]
fn an_outage_has_the_encoding_of_earlier_releases() {
    let outage = Outage { reason: "no leader".into(), retry_after: Some(Duration::from_secs(2)) };
    let text = serde_json::to_string(&Answer::Unavailable(outage)).expect("encoded");
    assert_eq!(text, r#"{"Unavailable":"no leader"}"#);
    let decoded: Answer = serde_json::from_str(&text).expect("decoded");
    assert_eq!(decoded, Answer::Unavailable("no leader".into()));
}
