//! Answers that a job does not exist.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use knapweedgap_workload::api::Answer;
use support::{Installation, wait};

const JOB: &str = "00000000000000d1";
/// Time by which the owner notices the answers to its commits late, in milliseconds.
const COMMIT_DELAY_MS: u64 = 200;
/// Time between the question and the submission, shorter than a commit takes.
const PAUSE: Duration = Duration::from_millis(50);
const ROUNDS: usize = 10;

/// Guards against an answer that a job does not exist which arrives after the job was accepted,
/// because the answer waits for a commit.
#[test]
fn a_job_that_is_submitted_while_a_denial_waits_is_not_denied() {
    let mut installation = Installation::start(1);
    let owner = installation.owner().expect("an owner");
    installation.instances[owner].commit_delay_ms.store(COMMIT_DELAY_MS, Ordering::Relaxed);
    for round in 0..ROUNDS {
        let job = format!("{}{round}", &JOB[..JOB.len() - 1]);
        let installed = &installation;
        let (shown, submitted) = std::thread::scope(|scope| {
            let show = scope.spawn(|| (installed.show(owner, 1, &job), std::time::Instant::now()));
            std::thread::sleep(PAUSE);
            let accepted = installed.submit(owner, 1, &job);
            let accepted_at = std::time::Instant::now();
            (show.join().expect("no panic"), (accepted, accepted_at))
        });
        assert_eq!(submitted.0, Some(Answer::Accepted), "round {round}");
        let is_late = shown.1 > submitted.1;
        assert!(!is_late || shown.0 != Some(Answer::NoJob), "round {round}: {:?}", shown.0);
    }
    installation.stop_all();
}

/// Guards against a job that runs although its cancellation was acknowledged: its submission waits at
/// an instance that is suspended, and arrives after the cancellation at another one (review/9).
#[test]
fn a_cancelled_job_is_refused_at_every_instance_and_by_the_next_owner() {
    let mut installation = Installation::start(3);
    let owner = installation.owner().expect("an owner");
    let (entry, other) = ((owner + 1) % 3, (owner + 2) % 3);
    assert_eq!(installation.cancel(other, 1, JOB), Some(Answer::NoJob));
    let is_refused =
        |number| matches!(installation.submit(number, 1, JOB), Some(Answer::Refused { .. }));
    assert!(is_refused(entry), "at an instance that forwards it");
    assert!(is_refused(owner), "at the owner");
    installation.instances[owner].request_stop();
    wait("another owner", || installation.owner().is_some_and(|next| next != owner));
    wait("the next owner serves", || installation.show(other, 1, JOB) == Some(Answer::NoJob));
    assert!(is_refused(entry), "by the next owner");
    assert!(installation.workers.state().starts.is_empty(), "a task has started");
    installation.stop_all();
}
