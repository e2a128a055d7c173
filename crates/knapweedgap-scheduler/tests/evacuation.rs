//! Evacuation of the zone of all workers, as the instances learn of it from the store.

mod support;

use std::time::Duration;

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job;
use support::{Installation, Watching, wait};

const KEY: &str = "operators/evacuate/zone-1";
const JOB: &str = "00000000000000d1";
const OTHER: &str = "00000000000000d2";
/// Job that is never accepted.
const PROBE: &str = "00000000000000d3";
/// Time from the operator's write until no start may reach the zone.
const EVACUATION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which an owner without a watch knows too little, and more than a change takes to be
/// applied while the watch works.
const OUTDATED: Duration = Duration::from_secs(2);
/// Time for which nothing may be started.
const CHECKED: Duration = Duration::from_secs(3);

/// Returns `true` if an instance refuses a job because the zone is evacuated. Otherwise it refuses the
/// job because its tasks would take the whole worker for ever.
fn is_refused(installation: &Installation, number: usize) -> bool {
    let answer = installation.submit_whole_worker(number, 1, PROBE);
    assert_ne!(answer, Some(Answer::Accepted));
    matches!(answer, Some(Answer::Refused { reason, .. }) if reason.contains("evacuated"))
}

/// Accepts a job that waits, because all processors of the only worker are taken, and evacuates the zone.
fn evacuate_with_a_waiting_job(installation: &Installation, owner: usize) {
    installation.put("workers/worker-1", "zone-1");
    assert_eq!(installation.submit_long_running(owner, 1, JOB), Some(Answer::Accepted));
    wait("the task runs", || installation.workers.state().worker_of_task().is_some());
    installation.put(KEY, "{}");
    wait("the evacuation is known", || is_refused(installation, owner));
}

fn starts(installation: &Installation) -> usize {
    installation.workers.state().starts.len()
}

/// Guards against an owner that places by the workers it has read before it knows the evacuated zones,
/// and one that stops what runs in the zone.
#[test]
fn a_new_owner_starts_nothing_in_the_zone() {
    let mut installation = Installation::start_evacuating(3, EVACUATION_TIMEOUT);
    let owner = installation.owner().expect("an owner");
    evacuate_with_a_waiting_job(&installation, owner);
    let before = starts(&installation);
    installation.instances[owner].request_stop();
    wait("another owner", || installation.owner().is_some_and(|other| other != owner));
    let other = installation.owner().expect("an owner");
    installation.wait_ready(other);
    wait("the new owner knows the evacuation", || is_refused(&installation, other));
    installation.workers.end_runs();
    std::thread::sleep(CHECKED);
    assert_eq!(starts(&installation), before, "the ended task is not started again");

    installation.delete(KEY);
    wait("the task is started", || starts(&installation) > before);
    installation.stop_all();
}

/// Guards against an owner whose commits succeed while it hears nothing of the operators: it would start
/// tasks in the zone for as long as the watch is silent, or refused.
#[test]
fn an_owner_without_a_watch_starts_nothing() {
    for watching in [Watching::Silent, Watching::Cut] {
        let mut installation = Installation::start_evacuating(1, EVACUATION_TIMEOUT);
        installation.instances[0].set_watching(watching);
        installation.put(KEY, "{}");
        std::thread::sleep(OUTDATED);
        assert_eq!(installation.submit(0, 1, JOB), Some(Answer::Accepted));
        std::thread::sleep(CHECKED);
        let started = installation.workers.state().starts.clone();
        assert!(started.is_empty(), "{watching:?}: {started:?}");

        installation.instances[0].set_watching(Watching::Followed);
        wait("the evacuation is known", || is_refused(&installation, 0));
        assert_eq!(starts(&installation), 0, "{watching:?}");
        installation.delete(KEY);
        installation.wait_completed(0, 1, JOB);
        installation.stop_all();
    }
}

/// Guards against a zone that stays evacuated for ever, because its key was deleted while the watch was
/// cut: the deletion is read afterwards, or only shows in that a full read lacks the key.
#[test]
fn a_zone_is_taken_back_that_was_released_while_the_watch_was_cut() {
    for resumed in [Watching::Followed, Watching::Compacted] {
        let mut installation = Installation::start_evacuating(1, EVACUATION_TIMEOUT);
        assert_eq!(installation.submit(0, 1, JOB), Some(Answer::Accepted));
        installation.wait_completed(0, 1, JOB);
        installation.put(KEY, "{}");
        wait("the evacuation is known", || is_refused(&installation, 0));
        installation.instances[0].set_watching(Watching::Cut);
        installation.delete(KEY);
        std::thread::sleep(OUTDATED);
        assert!(is_refused(&installation, 0));
        installation.instances[0].set_watching(resumed);
        wait("a job is accepted", || installation.submit(0, 1, OTHER) == Some(Answer::Accepted));
        let completed = Some(Answer::State(job::State::Completed));
        wait("it is completed", || installation.show(0, 1, OTHER) == completed);
        installation.stop_all();
    }
}
