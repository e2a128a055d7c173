//! Outages of the store that last longer than the grace of the owner.

mod support;

use std::time::Duration;

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::bounds::OWNER_GRACE;
use support::{Answers, Installation, wait, wait_for};

const JOB: &str = "00000000000000e1";
/// Longest wait of an accepted job for the start of one of its tasks while there is room.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against starts that are dropped when the commit of their placement took effect before an
/// outage and its answer comes after it: by then the ownership was last confirmed too long ago to send
/// orders, and the tasks counted as assigned for ever.
#[test]
fn a_task_starts_after_an_outage_that_began_during_the_commit_of_its_placement() {
    let mut installation = Installation::start(1);
    let instance = &installation.instances[0];
    instance.set_answers(Answers::LostFromNextBatch);
    // The client gets no answer in time and repeats the submission after the outage.
    let _ = installation.submit(0, 1, JOB);
    std::thread::sleep(OWNER_GRACE);
    instance.set_answers(Answers::Sent);
    wait("the job is accepted", || installation.submit(0, 1, JOB) == Some(Answer::Accepted));
    let has_started = || !installation.workers.state().starts.is_empty();
    wait_for("a task of the job has started", START_TIMEOUT, has_started);
    installation.wait_completed(0, 1, JOB);
    installation.stop_all();
}

/// Number of answers in a row that the store loses.
const LOST_CALLS: u32 = 3;

/// Guards against submissions that time out because a few answers of the store are lost in a row:
/// each was waited for as long as for any call, although the store answers within milliseconds.
#[test]
fn a_submission_is_accepted_in_time_although_answers_of_the_store_are_lost() {
    let mut installation = Installation::start(1);
    installation.instances[0].set_answers(Answers::LostCalls(LOST_CALLS));
    assert_eq!(installation.submit(0, 1, JOB), Some(Answer::Accepted));
    installation.wait_completed(0, 1, JOB);
    installation.stop_all();
}
