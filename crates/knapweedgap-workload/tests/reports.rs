//! Which answers of a worker prove that a run has ended or never began.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::order::{Failure, Poll, Target};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Report;
use support::Harness;
use support::worker::Event;

const SECOND: Duration = Duration::from_secs(1);

/// Delivers the report of a worker after `change`. The engine polled it now.
fn report<Change>(harness: &mut Harness, id: &id::Worker, change: Change)
where
    Change: FnOnce(&mut Report),
{
    let (target, poll, result) = fetch(harness, id);
    let result = result.map(|mut report| {
        change(&mut report);
        report
    });
    let now = harness.now;
    harness.engine.poll_answered(&target, &poll, now, result, now);
    harness.collect();
}

fn fetch(harness: &mut Harness, id: &id::Worker) -> (Target, Poll, Result<Report, Failure>) {
    let (target, poll) = harness.engine.poll(id, harness.now).expect("polled");
    let worker = harness.workers.get_mut(id).expect("known");
    let result = worker.poll(&target, &poll);
    (target, poll, result)
}

/// Runs rounds and fails if a task runs twice at the same time.
fn run_once(harness: &mut Harness, time: Duration) {
    let rounds = time.as_millis() / 100;
    for _ in 0..rounds {
        harness.run(Duration::from_millis(100));
        check_once(harness);
    }
}

/// Returns the number of runs that began on any worker.
fn started(harness: &Harness) -> usize {
    let events = harness.workers.values().flat_map(|worker| &worker.events);
    events.filter(|event| matches!(event, Event::Started(..))).count()
}

fn check_once(harness: &Harness) {
    let running = harness.running();
    let mut tasks: Vec<task::Id> = running.iter().map(|(_, task)| *task).collect();
    tasks.sort();
    tasks.dedup();
    assert_eq!(tasks.len(), running.len(), "two runs at once: {running:?}");
}

#[test]
fn a_partial_report_ends_no_runs() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    harness.advance(Duration::from_millis(100));
    report(&mut harness, &worker, |report| {
        report.running.clear();
        report.undecoded = 1;
    });
    run_once(&mut harness, SECOND * 2);
    assert_eq!(started(&harness), 1);
}
