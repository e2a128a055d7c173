//! Acknowledgements of ended runs. A worker forgets what it was acknowledged, so the log must hold
//! what an end has changed, and also what made an end insignificant.

mod support;

use std::time::Duration;

use knapweedgap_workload::api::Verb;
use knapweedgap_workload::job::{Spec, Step};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, spec, step};

const JOB: &str = "00000000000000a1";
const LONG: Duration = Duration::from_secs(30);

fn task(index: u32) -> task::Id {
    task::Step { job: JOB.parse().expect("valid"), occurrence: 0, step: 0 }.task(index)
}

/// Creates an owner with workers of two cores, and submits a job whose tasks run until the test ends
/// them.
fn harness(workers: usize, job: Spec) -> Harness {
    let mut harness = Harness::new(&vec![2; workers]);
    for worker in harness.workers.values_mut() {
        worker.work.insert(task(0).step, LONG * 10);
    }
    harness.poll_all();
    harness.submit("batch", JOB, job);
    harness.run(Duration::from_millis(500));
    assert!(!harness.running().is_empty(), "the job runs");
    harness
}

/// Ends the only run on a worker and polls the worker, without a commit.
fn end_and_poll(harness: &mut Harness, index: usize, cause: Cause) {
    let worker = harness.worker(index);
    let task = *worker.runs.keys().next().expect("a run");
    worker.end(task, cause);
    poll(harness, index);
}

fn poll(harness: &mut Harness, index: usize) {
    let id = harness.worker(index).listed.id.clone();
    harness.poll(&id);
}

/// Returns the number of ended runs that the next poll of a worker acknowledges.
fn acknowledged(harness: &mut Harness, index: usize) -> u64 {
    let id = harness.worker(index).listed.id.clone();
    let (_, poll) = harness.engine.poll(&id, harness.now).expect("polled");
    poll.acknowledged.get()
}

/// Checks that the first end of each worker is acknowledged after the next commit, and not before.
fn assert_acknowledged_by_commit(harness: &mut Harness, workers: usize) {
    for index in 0..workers {
        assert_eq!(acknowledged(harness, index), 0, "worker-{index}, before the commit");
    }
    harness.commit();
    for index in 0..workers {
        assert_eq!(acknowledged(harness, index), 1, "worker-{index}, after the commit");
    }
}

/// Guards against a second run of a gang whose ends were acknowledged: one end stands for all members,
/// and the ends of the others were acknowledged before it was stored (review/6).
#[test]
fn the_end_of_a_gang_is_stored_before_the_ends_of_its_members_are_acknowledged() {
    let gang = Step { gang: true, ..step(3, 2, LONG) };
    let mut harness = harness(3, spec(vec![gang]));
    for index in 0..3 {
        end_and_poll(&mut harness, index, Cause::Done);
    }
    assert_acknowledged_by_commit(&mut harness, 3);
}

/// Guards against the same with a successor: the owner can't store the end of the gang and is
/// replaced, and the worker that listed the first end has failed (review/6).
#[test]
fn a_gang_whose_end_was_acknowledged_does_not_run_again() {
    let gang = Step { gang: true, ..step(2, 2, LONG) };
    let mut harness = harness(3, spec(vec![gang]));
    let busy = (0..3).filter(|&index| !harness.worker(index).runs.is_empty());
    let [first, second] = busy.collect::<Vec<_>>()[..] else { panic!("two workers run it") };
    end_and_poll(&mut harness, first, Cause::Done);
    end_and_poll(&mut harness, second, Cause::Done);
    poll(&mut harness, second);
    let noted = harness.worker(second).acknowledged_done.clone();
    harness.worker(first).restart();
    harness.take_over();
    harness.run(Duration::from_secs(20));
    for (task, run) in noted {
        let events = harness.workers.values().flat_map(|worker| &worker.events);
        let again = |event: &&Event| match event {
            Event::Started(started, later) => *started == task && *later > run,
            Event::Ended(..) => false,
        };
        assert_eq!(events.filter(again).count(), 0, "{task} runs again");
    }
}

/// Guards against acknowledging the end of the second copy of a task while the end of the first, which
/// completes the job, is not stored.
#[test]
fn the_end_of_a_job_is_stored_before_the_end_of_another_copy_is_acknowledged() {
    let copies = Step { copies: true, ..step(1, 2, LONG) };
    let mut harness = harness(2, spec(vec![copies]));
    let first = (0..2).find(|&index| !harness.worker(index).runs.is_empty()).expect("a run");
    harness.worker(first).is_isolated = true;
    harness.run(Duration::from_millis(500));
    harness.worker(first).is_isolated = false;
    let second = 1 - first;
    assert_eq!(harness.worker(second).runs.len(), 1, "a copy runs");
    end_and_poll(&mut harness, second, Cause::Done);
    end_and_poll(&mut harness, first, Cause::Done);
    assert_eq!(acknowledged(&mut harness, first), 0, "before the commit");
    harness.commit();
    assert_eq!(acknowledged(&mut harness, first), 1, "after the commit");
}

/// Guards against acknowledging the end of a run while the log assigns its task to it: the task was
/// returned to waiting, and that is not stored.
#[test]
fn the_loss_of_a_run_is_stored_before_its_end_is_acknowledged() {
    let long_running = Step { long_running: true, ..step(1, 1, LONG) };
    let mut harness = harness(1, spec(vec![long_running]));
    harness.worker(0).is_isolated = true;
    for _ in 0..200 {
        harness.advance(Duration::from_millis(100));
        poll(&mut harness, 0);
        harness.engine.tick(harness.now, harness.wall_ms);
    }
    harness.worker(0).is_isolated = false;
    poll(&mut harness, 0);
    assert_eq!(acknowledged(&mut harness, 0), 0, "before the commit");
    harness.commit();
    assert_eq!(acknowledged(&mut harness, 0), 1, "after the commit");
}

/// Guards against acknowledging ends of a job whose cancellation is not stored.
#[test]
fn a_cancellation_is_stored_before_the_ends_of_the_job_are_acknowledged() {
    let mut harness = harness(2, spec(vec![step(2, 2, LONG)]));
    harness.request("batch", JOB, Verb::Cancel);
    for index in 0..2 {
        end_and_poll(&mut harness, index, Cause::Done);
    }
    assert_acknowledged_by_commit(&mut harness, 2);
}

/// Guards against ends that are never acknowledged because the log has nothing to store for them.
#[test]
fn an_end_without_an_unstored_change_is_acknowledged_at_once() {
    let mut harness = harness(1, spec(vec![step(1, 2, LONG)]));
    harness.worker(0).is_isolated = true;
    harness.run(Duration::from_secs(20));
    harness.worker(0).is_isolated = false;
    harness.request("batch", JOB, Verb::Cancel);
    harness.run(Duration::from_secs(1));
    assert!(!harness.engine.has_batch(), "all changes are stored");
    assert_eq!(acknowledged(&mut harness, 0), 1);
}
