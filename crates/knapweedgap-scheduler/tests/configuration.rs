//! Answers while the configuration can't be used.

mod support;

use std::time::{Duration, Instant};

use knapweedgap_workload::api::Answer;
use support::{Installation, wait, wait_for};

const JOB: &str = "00000000000000e1";
/// Time within which an answer counts as given at once.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a client repeats its request after the takeover.
const REPEAT_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against requests that wait for their deadline although the owner knows that it has no
/// configuration to serve them with.
#[test]
fn requests_wait_for_a_configuration_that_can_not_be_decoded() {
    let mut installation = Installation::start(3);
    let owner = installation.owner().expect("an owner");
    installation.put("operators/configuration", "damaged");
    installation.instances[owner].request_stop();
    wait("another owner", || installation.owner().is_some_and(|other| other != owner));
    for number in (0..3).filter(|number| *number != owner) {
        wait_for("a refusal at once", REPEAT_TIMEOUT, || {
            let asked_at = Instant::now();
            let answer = installation.submit(number, 1, JOB);
            matches!(answer, Some(Answer::Unavailable(_))) && asked_at.elapsed() < ANSWER_TIMEOUT
        });
    }
    installation.put("operators/configuration", "2");
    let other = (owner + 1) % 3;
    wait("an acceptance", || installation.submit(other, 2, JOB) == Some(Answer::Accepted));
    installation.stop_all();
}
