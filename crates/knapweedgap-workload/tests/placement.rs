//! Placement passes while more steps wait than fit, and placements on workers that begin to drain.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::engine::Batch;
use knapweedgap_workload::job::{self, State};
use knapweedgap_workload::task;
use support::{Harness, Worker, listed, spec, step};

const LARGE_JOBS: u32 = 30;
const SMALL_JOB: &str = "00000000000000f1";
const MINUTE: Duration = Duration::from_secs(60);

fn long_running(cores: u32) -> job::Step {
    job::Step { long_running: true, ..step(1, cores, MINUTE) }
}

/// Returns an owner whose workers are all lost except one that joins with 4 cores, so that the
/// long-running tasks of 6 cores fit nowhere. `small` is the step of a job that was submitted last.
fn owner_after_loss_of_workers(small: job::Step) -> Harness {
    let mut harness = Harness::new(&[8; 30]);
    harness.poll_all();
    for number in 0..LARGE_JOBS {
        harness.submit("urgent", &format!("{:016x}", 1 + number), spec(vec![long_running(6)]));
    }
    harness.run(Duration::from_millis(100));
    harness.submit("urgent", SMALL_JOB, spec(vec![small]));
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.show("urgent", SMALL_JOB), Answer::State(State::Running));
    for worker in harness.workers.values_mut() {
        worker.is_up = false;
    }
    let mut rest = Worker::new(listed("worker-rest", 4, 1));
    let job = SMALL_JOB.parse().expect("valid");
    rest.work.insert(task::Step { job, occurrence: 0, step: 0 }, MINUTE);
    harness.workers.insert(rest.listed.id.clone(), rest);
    harness.list_workers();
    harness.run(Duration::from_secs(6));
    harness
}

fn is_small_job_running(harness: &Harness) -> bool {
    let job = SMALL_JOB.parse().expect("valid");
    let on_rest = |id: &knapweedgap_core::id::Worker| id.as_str() == "worker-rest";
    harness.running().iter().any(|(worker, task)| on_rest(worker) && task.step.job == job)
}

/// Guards against a placement pass that ends at long-running tasks without a fitting worker and
/// leaves smaller ones down for which there is capacity (LOST on random days of klt-voice-grown).
#[test]
fn a_long_running_task_is_restarted_behind_larger_ones_that_do_not_fit() {
    let harness = owner_after_loss_of_workers(long_running(1));
    assert!(is_small_job_running(&harness));
}

/// Guards against long-running tasks without a fitting worker that keep all other tasks from
/// being tried.
#[test]
fn a_task_is_started_behind_long_running_ones_that_do_not_fit() {
    let harness = owner_after_loss_of_workers(step(1, 1, MINUTE));
    assert!(is_small_job_running(&harness));
}

/// Guards against a step that is not tried because another one of the same size lacks a worker with
/// its label.
#[test]
fn a_step_without_a_worker_with_its_label_does_not_hide_others() {
    let mut harness = Harness::new(&[4, 4]);
    harness.worker(1).listed.labels = vec!["kind-b".into()];
    harness.list_workers();
    harness.poll_all();
    let labelled = |cores| job::Step { requires: Some("kind-b".into()), ..long_running(cores) };
    harness.submit("urgent", "00000000000000a1", spec(vec![labelled(4)]));
    harness.round();
    harness.submit("urgent", "00000000000000a2", spec(vec![labelled(1)]));
    harness.submit("urgent", SMALL_JOB, spec(vec![long_running(1)]));
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.show("urgent", "00000000000000a2"), Answer::State(State::Queued));
    assert_eq!(harness.show("urgent", SMALL_JOB), Answer::State(State::Running));
}

/// Guards against a step that is not tried because another one of the same size has reached its
/// limit of tasks per worker.
#[test]
fn a_step_at_its_limit_per_worker_does_not_hide_others() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    let limited = job::Step { count: 2, per_worker: 1, ..long_running(1) };
    harness.submit("urgent", "00000000000000a1", spec(vec![limited]));
    harness.submit("urgent", SMALL_JOB, spec(vec![long_running(1)]));
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 2);
    assert_eq!(harness.show("urgent", SMALL_JOB), Answer::State(State::Running));
}

/// Lists a worker as draining while the placement on it is not stored yet.
fn drain_before_the_commit(harness: &mut Harness, step: job::Step) -> (id::Worker, Batch) {
    harness.poll_all();
    harness.submit("batch", "00000000000000aa", spec(vec![step]));
    let batch = harness.take_batch().expect("a placement");
    let id: id::Worker = "worker-0".parse().expect("valid");
    harness.workers.get_mut(&id).expect("known").listed.draining = true;
    harness.list_workers();
    (id, batch)
}

/// Guards against a start that is sent to a worker which was listed as draining while the placement was
/// being stored, for seconds in a slow store.
#[test]
fn a_start_is_sent_to_a_worker_that_began_to_drain_before_the_commit() {
    let mut harness = Harness::new(&[8, 8]);
    let (id, batch) = drain_before_the_commit(&mut harness, step(1, 2, Duration::from_secs(600)));
    for _ in 0..30 {
        harness.advance(Duration::from_millis(100));
        harness.poll_all();
    }
    harness.store(&batch);
    harness.commit();
    let targets: Vec<&id::Worker> = harness.starts.iter().map(|(to, _)| &to.worker).collect();
    assert!(targets.len() == 1 && *targets[0] != id, "started on {targets:?}");
}

/// Guards against a long-running task that is started on a draining worker and stays there until the
/// worker leaves, because only tasks that had started were stopped when it began to drain.
#[test]
fn a_long_running_task_starts_on_a_draining_worker_and_stays() {
    let mut harness = Harness::new(&[8, 8]);
    let (id, batch) = drain_before_the_commit(&mut harness, long_running(2));
    harness.store(&batch);
    harness.run(Duration::from_secs(1));
    let running: Vec<id::Worker> =
        harness.running().into_iter().map(|(worker, _)| worker).collect();
    assert!(running.len() == 1 && running[0] != id, "runs on {running:?}");
}
