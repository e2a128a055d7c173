//! Attempts of a task: failed runs are counted, and no run starts after the last attempt.

mod support;

use std::time::Duration;

use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::State;
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, configuration, spec, step};

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
