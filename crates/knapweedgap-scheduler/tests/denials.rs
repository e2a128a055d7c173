//! Answers that a job does not exist.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use knapweedgap_workload::api::Answer;
use support::Installation;

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
