//! Steps: dependencies, labels, limits, gangs, occurrences, copies and placement advice.

mod support;

use std::time::Duration;

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::configuration::Advice;
use knapweedgap_workload::job::{Schedule, State};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::{Harness, configuration, spec, step, timed};

const JOB: &str = "00000000000000a1";
const SECOND: Duration = Duration::from_secs(1);

fn step_id(occurrence: u32, step: u16) -> task::Step {
    task::Step { job: JOB.parse().expect("valid"), occurrence, step }
}

/// Guards against a step that starts before the steps that it depends on are done.
#[test]
fn a_step_waits_for_its_predecessors() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    let mut second = step(2, 1, SECOND);
    second.after = vec![0];
    harness.submit("batch", JOB, spec(vec![step(2, 1, SECOND), second]));
    harness.run(Duration::from_millis(500));
    assert!(harness.running().iter().all(|(_, task)| task.step == step_id(0, 0)));
    harness.run(SECOND);
    assert!(harness.running().iter().all(|(_, task)| task.step == step_id(0, 1)));
    assert_eq!(harness.running().len(), 2);
    harness.run(SECOND * 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
}

/// Guards against a task on a worker without the label that its step requires, and against more
/// tasks of a step on one worker than the step allows.
#[test]
fn labels_and_limits_are_respected() {
    let mut harness = Harness::new(&[8, 8, 8]);
    harness.worker(1).listed.labels = vec!["kind-b".into(), "rack-1".into()];
    harness.list_workers();
    harness.poll_all();
    let mut limited = step(4, 1, SECOND * 5);
    limited.requires = Some("kind-a".into());
    limited.per_worker = 1;
    harness.submit("batch", JOB, spec(vec![limited]));
    harness.run(SECOND);
    let workers: Vec<String> = harness.running().iter().map(|(id, _)| id.to_string()).collect();
    assert_eq!(workers, ["worker-0", "worker-2"]);
}

/// Guards against a gang that starts without enough capacity for all members, and against members
/// with different run numbers.
#[test]
fn a_gang_starts_completely_or_not_at_all() {
    let mut harness = Harness::new(&[2, 2]);
    harness.poll_all();
    harness.submit("batch", "00000000000000ff", spec(vec![step(1, 1, SECOND)]));
    harness.run(Duration::from_millis(300));
    let mut gang = step(4, 1, SECOND);
    gang.gang = true;
    harness.submit("batch", JOB, spec(vec![gang]));
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 1, "three free cores are not enough for four members");
    harness.run(SECOND);
    assert_eq!(harness.running().len(), 4);
    let member = step_id(0, 0).task(0);
    let ids: Vec<_> = harness.workers.keys().cloned().collect();
    for id in ids {
        let worker = harness.workers.get_mut(&id).expect("known");
        let tasks: Vec<task::Id> = worker.runs.keys().copied().collect();
        for task in tasks {
            worker.end(task, if task == member { Cause::Failed } else { Cause::GangEnded });
        }
    }
    harness.run(SECOND * 2);
    let runs: Vec<u32> = harness
        .workers
        .values()
        .flat_map(|worker| worker.runs.values().map(|run| run.number.get()))
        .collect();
    assert!(runs.iter().all(|run| *run == 2), "{runs:?}");
}

/// Guards against an occurrence that begins before its due time, and against a job that is shown as
/// completed before its last occurrence.
#[test]
fn occurrences_begin_at_their_times() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    let start_ms = harness.wall_ms + 2_000;
    let schedule = Schedule { start_ms, interval: SECOND * 2, repetitions: 2 };
    harness.submit("batch", JOB, timed(vec![step(1, 1, SECOND)], schedule));
    harness.run(Duration::from_millis(1_800));
    assert!(harness.running().is_empty());
    harness.run(Duration::from_millis(500));
    assert_eq!(harness.running()[0].1.step, step_id(0, 0));
    harness.run(SECOND * 2);
    assert_eq!(harness.running()[0].1.step, step_id(1, 0));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Running));
    harness.run(SECOND * 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
}

/// Guards against a task that waits for the lease of an unreachable worker although copies are
/// allowed.
#[test]
fn a_task_that_allows_copies_does_not_wait_for_an_unreachable_worker() {
    let mut harness = Harness::new(&[2, 2]);
    harness.poll_all();
    let mut copied = step(1, 1, SECOND);
    copied.copies = true;
    harness.submit("batch", JOB, spec(vec![copied]));
    harness.run(Duration::from_millis(300));
    let (first, _) = harness.running()[0].clone();
    harness.workers.get_mut(&first).expect("known").is_isolated = true;
    harness.run(SECOND * 2);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
}

/// Guards against a start without the permission that the queue requires.
#[test]
fn an_advised_queue_starts_tasks_only_on_allowed_workers() {
    let mut harness = Harness::new(&[8, 8, 8]);
    let mut advised = configuration(2);
    let advice = Advice {
        decision_time: Duration::from_millis(20),
        time_per_worker: Duration::from_millis(2),
        validity: SECOND * 3,
    };
    advised.queues.iter_mut().for_each(|queue| queue.policy.advice = Some(advice));
    harness.engine.set_configuration(advised);
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(2, 1, SECOND)]));
    harness.run(Duration::from_millis(200));
    assert!(harness.running().is_empty());
    let (step, workers) = harness.advice_requests.pop().expect("a request for advice");
    assert_eq!((step, workers.len()), (step_id(0, 0), 3));
    let allowed = vec![("worker-1".parse().expect("valid"), "ticket-1".into())];
    let now = harness.now;
    harness.engine.advice_answered(step, Some((allowed, SECOND * 3)), now, now);
    harness.run(Duration::from_millis(200));
    let running = harness.running();
    assert!(!running.is_empty());
    assert!(running.iter().all(|(id, _)| id.as_str() == "worker-1"), "{running:?}");
}

/// Guards against a job that completes although one of its tasks failed in all its attempts.
#[test]
fn a_job_fails_after_the_last_attempt_of_a_task() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.worker(0).work.insert(step_id(0, 0), SECOND * 60);
    harness.submit("batch", JOB, spec(vec![step(1, 1, SECOND * 20)]));
    harness.run(Duration::from_millis(300));
    for _ in 0..2 {
        assert_eq!(harness.show("batch", JOB), Answer::State(State::Running));
        let task = step_id(0, 0).task(0);
        harness.worker(0).end(task, Cause::Failed);
        harness.run(SECOND * 8);
    }
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Failed));
}

/// Guards against a copy that is placed while the first start is unconfirmed: a late start then
/// uses capacity that is not accounted for (hunt-f39e-3 of klt-voice, LIMIT).
#[test]
fn a_copy_waits_until_an_unanswered_start_is_confirmed() {
    let mut harness = Harness::new(&[2, 2]);
    harness.poll_all();
    let mut copied = step(1, 1, SECOND);
    copied.copies = true;
    harness.submit("batch", JOB, spec(vec![copied]));
    harness.commit();
    let (target, _) = harness.starts[0].clone();
    harness.workers.get_mut(&target.worker).expect("known").is_isolated = true;
    harness.poll(&target.worker);
    harness.commit();
    harness.commit();
    assert_eq!(harness.starts.len(), 1, "the first start may still be carried out");
}

/// Guards against capacity that is released when a copy finishes while the start of another is in
/// transit: the late start then uses capacity that is reserved again (hunt-c283-7 of anbo-grid,
/// LIMIT).
#[test]
fn the_capacity_of_a_copy_stays_reserved_until_its_start_is_confirmed() {
    let mut harness = Harness::new(&[2, 2]);
    harness.poll_all();
    let mut copied = step(1, 2, SECOND);
    copied.copies = true;
    harness.submit("batch", JOB, spec(vec![copied]));
    harness.run(Duration::from_millis(300));
    let (first, task) = harness.running()[0].clone();
    harness.workers.get_mut(&first).expect("known").is_isolated = true;
    harness.poll(&first);
    harness.commit();
    harness.commit();
    // The start of the second copy is in transit and carried out late.
    let (target, start) = harness.starts.pop().expect("a second copy");
    assert_ne!(target.worker, first);
    harness.workers.get_mut(&first).expect("known").is_isolated = false;
    harness.workers.get_mut(&first).expect("known").end(task, Cause::Done);
    harness.poll_all();
    harness.submit("batch", "00000000000000bb", spec(vec![step(2, 2, SECOND)]));
    harness.commit();
    harness.poll_all();
    harness.commit();
    harness.commit();
    harness.deliver();
    let worker = harness.workers.get_mut(&target.worker).expect("known");
    let _ = worker.start(&target, &start);
    assert!(worker.runs.len() <= 1, "{:?} run on two processors", worker.runs.keys());
}

/// Guards against the loss of the second copy of a task when the worker of the first is lost: its
/// capacity was treated as free, and the task was started once more.
#[test]
fn the_loss_of_one_copy_does_not_affect_the_other() {
    let mut harness = Harness::new(&[2, 4]);
    harness.poll_all();
    let mut copied = step(1, 2, SECOND);
    copied.copies = true;
    harness.submit("batch", JOB, spec(vec![copied]));
    harness.run(Duration::from_millis(300));
    let (first, _) = harness.running()[0].clone();
    harness.workers.get_mut(&first).expect("known").is_isolated = true;
    harness.poll(&first);
    harness.round();
    assert_eq!(harness.running().len(), 2);
    harness.workers.get_mut(&first).expect("known").restart();
    harness.list_workers();
    harness.submit("urgent", "00000000000000bb", spec(vec![step(2, 2, SECOND)]));
    harness.commit();
    harness.deliver();
    let runs = &harness.worker(1).runs;
    assert!(runs.len() <= 2, "{:?} run on four processors", runs.keys());
    harness.run(SECOND * 4);
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
}

/// Guards against capacity that the next owner treats as free while a copy is being stopped: its
/// job has ended, so the log no longer holds its size (store-cut-and-rolling-stop of klt-voice,
/// LIMIT).
#[test]
fn the_next_owner_reserves_the_capacity_of_a_copy_whose_job_has_ended() {
    let mut harness = Harness::new(&[2, 2]);
    harness.poll_all();
    let mut copied = step(1, 2, SECOND);
    copied.copies = true;
    harness.submit("batch", JOB, spec(vec![copied]));
    harness.run(Duration::from_millis(300));
    let (first, task) = harness.running()[0].clone();
    harness.workers.get_mut(&first).expect("known").is_isolated = true;
    harness.poll(&first);
    harness.round();
    assert_eq!(harness.running().len(), 2, "a second copy");
    harness.workers.get_mut(&first).expect("known").is_isolated = false;
    harness.workers.get_mut(&first).expect("known").end(task, Cause::Done);
    harness.poll_all();
    harness.commit();
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
    // The stop of the second copy is carried out, but takes a while.
    harness.take_over();
    harness.poll_all();
    harness.submit("urgent", "00000000000000bb", spec(vec![step(2, 2, SECOND)]));
    harness.commit();
    harness.stops.clear();
    harness.deliver();
    for (id, worker) in &harness.workers {
        assert_eq!(worker.runs.len(), 1, "{:?} run on two processors of {id}", worker.runs.keys());
    }
    harness.run(SECOND * 4);
    assert_eq!(harness.show("urgent", "00000000000000bb"), Answer::State(State::Completed));
}
