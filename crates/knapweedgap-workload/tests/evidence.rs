//! Guards against a second run of a task whose worker runs on: what is observed of a worker ends its
//! runs only if the worker itself says so or all its leases have ended.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::State;
use support::{Harness, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const JOB: &str = "00000000000000aa";

/// Returns an owner of two workers, one of which runs the task of [`JOB`] for 3 s more.
fn harness() -> (Harness, id::Worker) {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.submit("urgent", JOB, spec(vec![step(1, 2, SECOND * 4)]));
    harness.run(Duration::from_millis(300));
    let (worker, task) = harness.running().first().cloned().expect("the task runs");
    for worker in harness.workers.values_mut() {
        worker.work.insert(task.step, SECOND * 4);
    }
    harness.run(Duration::from_millis(700));
    (harness, worker)
}

/// Runs rounds and fails if the task runs twice at the same time. Returns the number of starts.
fn run_once(harness: &mut Harness, time: Duration) {
    let rounds = time.as_millis() / 100;
    for _ in 0..rounds {
        harness.run(Duration::from_millis(100));
        assert!(harness.running().len() <= 1, "two runs at once: {:?}", harness.running());
    }
}

/// A cut may refuse connections. The refused connection to a draining worker used to count as its
/// departure, so its tasks started elsewhere while it worked on.
#[test]
fn a_draining_worker_that_refuses_connections_keeps_its_runs() {
    let (mut harness, worker) = harness();
    harness.workers.get_mut(&worker).expect("known").listed.draining = true;
    harness.list_workers();
    harness.run(Duration::from_millis(200));
    harness.workers.get_mut(&worker).expect("known").is_refused = true;
    run_once(&mut harness, SECOND * 2);
    harness.workers.get_mut(&worker).expect("known").is_refused = false;
    run_once(&mut harness, SECOND * 4);
    assert_eq!(harness.show("urgent", JOB), Answer::State(State::Completed));
}

#[test]
fn a_worker_that_refuses_connections_and_is_not_listed_keeps_its_runs_until_its_lease_ends() {
    let (mut harness, worker) = harness();
    harness.workers.get_mut(&worker).expect("known").is_refused = true;
    harness.engine.worker_unlisted(&worker, harness.now);
    run_once(&mut harness, SECOND * 12);
    assert_eq!(harness.show("urgent", JOB), Answer::State(State::Completed));
}
