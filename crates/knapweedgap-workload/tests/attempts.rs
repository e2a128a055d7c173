//! Attempts of a task: failed runs are counted, and no run starts after the last attempt.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::State;
use knapweedgap_workload::record::{self, Change};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, configuration, configuration_without, spec, step};

const JOB: &str = "00000000000000a1";
const LONG: Duration = Duration::from_secs(30);

fn task() -> task::Id {
    task::Step { job: JOB.parse().expect("valid"), occurrence: 0, step: 0 }.task(0)
}

/// Creates an owner with workers on which the task of the tests runs until the test ends it.
fn harness(workers: usize) -> Harness {
    let mut harness = Harness::new(&vec![2; workers]);
    for worker in harness.workers.values_mut() {
        worker.work.insert(task().step, LONG * 10);
    }
    harness.poll_all();
    harness
}

/// Returns the number of runs of the task that have started.
fn starts(harness: &Harness) -> usize {
    let events = harness.workers.values().flat_map(|worker| &worker.events);
    events.filter(|event| matches!(event, Event::Started(..))).count()
}

/// Guards against a third run when the new owner learns of the second failure before it has read
/// the configuration (trouble-1 of klt-voice-grown, BUDGET).
#[test]
fn a_failure_that_is_reported_before_the_configuration_uses_up_an_attempt() {
    let mut harness = harness(2);
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    for _ in 0..2 {
        harness.run(Duration::from_secs(1));
        let (id, task) = harness.running()[0].clone();
        harness.workers.get_mut(&id).expect("known").end(task, Cause::Failed);
    }
    harness.take_over_unconfigured();
    harness.list_workers();
    harness.poll_all();
    harness.engine.set_configuration(configuration(1));
    harness.run(Duration::from_secs(10));
    assert_eq!(starts(&harness), 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Failed));
}

/// Guards against a start by a new owner that has read the log and the list of workers but not the
/// configuration, while a slow store delays it: the number of attempts is unknown until then.
#[test]
fn a_new_owner_starts_nothing_before_it_knows_the_configuration() {
    let mut harness = harness(2);
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    for _ in 0..2 {
        harness.run(Duration::from_secs(1));
        let (id, task) = harness.running()[0].clone();
        harness.workers.get_mut(&id).expect("known").end(task, Cause::Failed);
    }
    harness.take_over_unconfigured();
    harness.list_workers();
    harness.run(Duration::from_secs(2));
    assert_eq!(starts(&harness), 2);
    harness.engine.set_configuration(configuration(1));
    harness.run(Duration::from_secs(1));
    assert_eq!(starts(&harness), 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Failed));
}

/// Guards against endless runs of a job whose queue is removed from the configuration, also with the
/// next owner, which has never known the queue.
#[test]
fn a_job_of_a_removed_queue_keeps_its_number_of_attempts() {
    for is_taken_over in [false, true] {
        let mut harness = harness(2);
        harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
        harness.run(Duration::from_millis(300));
        if is_taken_over {
            harness.take_over_unconfigured();
            harness.list_workers();
        }
        harness.engine.set_configuration(configuration_without(2, "batch"));
        for worker in harness.workers.values_mut() {
            worker.fails = true;
        }
        harness.run(Duration::from_secs(20));
        assert_eq!(starts(&harness), 2, "taken over: {is_taken_over}");
    }
}

/// Submits a task that allows copies, and detaches its run from a worker that becomes unreachable,
/// so that a copy starts. Returns the worker.
fn submit_and_detach(harness: &mut Harness) -> id::Worker {
    let mut copied = step(1, 1, LONG);
    copied.copies = true;
    harness.submit("batch", JOB, spec(vec![copied]));
    harness.run(Duration::from_millis(300));
    detach(harness)
}

/// Makes the worker of the latest run unreachable until a copy has started, and returns it.
fn detach(harness: &mut Harness) -> id::Worker {
    let latest = |worker: &support::Worker| worker.runs.get(&task()).map(|run| run.number);
    let worker = harness.workers.iter().max_by_key(|(_, worker)| latest(worker));
    let id = worker.expect("some").0.clone();
    let before = harness.running().len();
    harness.workers.get_mut(&id).expect("known").is_isolated = true;
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), before + 1, "a copy has started");
    id
}

/// Ends the run on a worker as failed, and makes the worker reachable again.
fn fail(harness: &mut Harness, id: &id::Worker) {
    let worker = harness.workers.get_mut(id).expect("known");
    worker.end(task(), Cause::Failed);
    worker.is_isolated = false;
}

/// Guards against a failed run that does not count because a copy was started beside it
/// (late-orders-and-failing-workers of klt-voice, BUDGET).
#[test]
fn the_failure_of_a_run_beside_a_copy_uses_up_an_attempt() {
    let mut harness = harness(3);
    let first = submit_and_detach(&mut harness);
    fail(&mut harness, &first);
    harness.run(Duration::from_millis(300));
    let (second, _) = harness.running()[0].clone();
    fail(&mut harness, &second);
    harness.run(Duration::from_secs(10));
    assert_eq!(starts(&harness), 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Failed));
}

/// Guards against a failed run that does not count because the owner that started a copy beside it
/// was replaced.
#[test]
fn the_next_owner_counts_the_failure_of_a_run_beside_a_copy() {
    let mut harness = harness(3);
    let first = submit_and_detach(&mut harness);
    fail(&mut harness, &first);
    harness.take_over();
    harness.run(Duration::from_millis(300));
    let (second, _) = harness.running()[0].clone();
    fail(&mut harness, &second);
    harness.run(Duration::from_secs(10));
    assert_eq!(starts(&harness), 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Failed));
}

/// Guards against a failed run that counts twice because the next owner receives its end again.
#[test]
fn the_next_owner_does_not_count_a_stored_failure_again() {
    let mut harness = harness(3);
    let first = submit_and_detach(&mut harness);
    fail(&mut harness, &first);
    // The failure is stored, and its end is not acknowledged.
    harness.poll(&first);
    harness.commit();
    harness.take_over();
    harness.run(Duration::from_millis(300));
    let (second, _) = harness.running()[0].clone();
    harness.workers.get_mut(&second).expect("known").restart();
    harness.list_workers();
    harness.run(Duration::from_millis(300));
    assert_eq!(starts(&harness), 3);
    let (third, _) = harness.running()[0].clone();
    harness.workers.get_mut(&third).expect("known").end(task(), Cause::Done);
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
}

/// Guards against a stored failure that a later record of the task drops from the log, so that the
/// next owner counts it again.
#[test]
fn a_stored_failure_survives_later_records_of_its_task() {
    let mut harness = harness(4);
    let first = submit_and_detach(&mut harness);
    fail(&mut harness, &first);
    harness.poll(&first);
    harness.commit();
    // The end of the first run is not acknowledged while the task moves to its third run.
    harness.workers.get_mut(&first).expect("known").is_isolated = true;
    for _ in 0..2 {
        let (latest, _) = harness.running()[0].clone();
        harness.workers.get_mut(&latest).expect("known").restart();
        harness.list_workers();
        harness.run(Duration::from_millis(300));
        if harness.epoch == 1 {
            harness.take_over();
            harness.workers.get_mut(&first).expect("known").is_isolated = false;
            harness.run(Duration::from_millis(300));
        }
    }
    assert_eq!(starts(&harness), 4);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Running));
}

/// Guards against a copy that is stopped although it may still finish its task, when the runs
/// beside it have used up the attempts, and against a job that waits for ever when it does not.
#[test]
fn a_copy_that_runs_may_finish_after_the_last_attempt() {
    for (cause, state) in [(Cause::Done, State::Completed), (Cause::Stopped, State::Failed)] {
        let mut harness = harness(3);
        let first = submit_and_detach(&mut harness);
        let second = detach(&mut harness);
        fail(&mut harness, &first);
        fail(&mut harness, &second);
        harness.run(Duration::from_millis(300));
        assert_eq!(harness.show("batch", JOB), Answer::State(State::Running));
        let (third, _) = harness.running()[0].clone();
        harness.workers.get_mut(&third).expect("known").end(task(), cause);
        harness.run(Duration::from_secs(10));
        assert_eq!(starts(&harness), 3);
        assert_eq!(harness.show("batch", JOB), Answer::State(state));
    }
}

/// Guards against a start after the last attempt when the last copy becomes unreachable, and
/// against a job that waits for it for ever.
#[test]
fn no_copy_starts_beside_an_unreachable_run_after_the_last_attempt() {
    let mut harness = harness(4);
    let first = submit_and_detach(&mut harness);
    let second = detach(&mut harness);
    fail(&mut harness, &first);
    fail(&mut harness, &second);
    harness.run(Duration::from_millis(300));
    let (third, _) = harness.running()[0].clone();
    harness.workers.get_mut(&third).expect("known").is_isolated = true;
    harness.run(Duration::from_secs(10));
    assert_eq!(starts(&harness), 3);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Failed));
}

/// Guards against a start after the last attempt: the failure of a run did not count when its worker
/// was unreachable until its lease had expired, and reported the end afterwards.
#[test]
fn the_failure_of_a_run_that_was_given_up_uses_up_an_attempt() {
    let mut harness = harness(2);
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    harness.run(Duration::from_millis(300));
    let (first, task) = harness.running()[0].clone();
    let worker = harness.workers.get_mut(&first).expect("known");
    worker.is_isolated = true;
    worker.end(task, Cause::Failed);
    harness.run(Duration::from_secs(15));
    assert_eq!(starts(&harness), 2, "the task was given up");
    harness.workers.get_mut(&first).expect("known").is_isolated = false;
    harness.run(Duration::from_secs(1));
    let (second, task) = harness.running()[0].clone();
    harness.workers.get_mut(&second).expect("known").end(task, Cause::Failed);
    harness.run(Duration::from_secs(10));
    assert_eq!(starts(&harness), 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Failed));
}

/// Submits a task whose run fails while its worker is unreachable, until the task is given up and
/// runs again. Returns the worker.
fn give_up(harness: &mut Harness) -> id::Worker {
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    harness.run(Duration::from_millis(300));
    let (first, task) = harness.running()[0].clone();
    let worker = harness.workers.get_mut(&first).expect("known");
    worker.is_isolated = true;
    worker.end(task, Cause::Failed);
    harness.run(Duration::from_secs(15));
    assert_eq!(starts(harness), 2, "the task was given up");
    first
}

/// Ends the only run as failed and checks that no other one starts.
fn fail_last(harness: &mut Harness) {
    let (last, task) = harness.running()[0].clone();
    harness.workers.get_mut(&last).expect("known").end(task, Cause::Failed);
    harness.run(Duration::from_secs(10));
    assert_eq!(starts(harness), 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Failed));
}

/// Guards against a failure that does not count because the owner that gave the run up was replaced
/// before it was reported.
#[test]
fn the_next_owner_counts_the_failure_of_a_run_that_was_given_up() {
    let mut harness = harness(2);
    let first = give_up(&mut harness);
    harness.take_over();
    harness.workers.get_mut(&first).expect("known").is_isolated = false;
    harness.run(Duration::from_secs(1));
    fail_last(&mut harness);
}

/// Guards against the failure of a run that was given up that counts twice, because the next owner
/// receives its end again, and against one that rewrites the whole record of its job.
#[test]
fn a_stored_failure_of_a_run_that_was_given_up_counts_once() {
    let mut harness = harness(3);
    let first = give_up(&mut harness);
    harness.workers.get_mut(&first).expect("known").is_isolated = false;
    let before = harness.log.last_key_value().map(|(&sequence, _)| sequence);
    harness.poll(&first);
    harness.commit();
    let mut changes = Vec::new();
    for (&sequence, value) in &harness.log {
        if Some(sequence) > before {
            changes.extend(record::decode(sequence, value).expect("valid"));
        }
    }
    let is_late = |change: &Change| matches!(change, Change::Steps(..) | Change::GivenUp(..));
    assert!(!changes.is_empty() && changes.iter().all(is_late), "{changes:?}");
    harness.take_over();
    harness.run(Duration::from_millis(300));
    let (last, task) = harness.running()[0].clone();
    harness.workers.get_mut(&last).expect("known").end(task, Cause::Done);
    harness.run(Duration::from_secs(1));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
}
