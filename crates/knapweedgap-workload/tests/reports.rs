//! Which answers of a worker prove that a run has ended or never began.

mod support;

use std::time::Duration;

use knapweedgap_core::{id, revision};
use knapweedgap_workload::api::{Answer, Verb};
use knapweedgap_workload::job::{State, Step};
use knapweedgap_workload::order::{Failure, Poll, Refusal, Start, Target};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::{Cause, Report};
use support::worker::Event;
use support::{Harness, spec, step};

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

/// Delivers a report without the run, one row of which could not be decoded.
fn report_partially(harness: &mut Harness, id: &id::Worker) {
    harness.advance(Duration::from_millis(100));
    report(harness, id, |report| {
        report.running.clear();
        report.undecoded = 1;
    });
}

#[test]
fn a_partial_report_ends_no_runs() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    report_partially(&mut harness, &worker);
    run_once(&mut harness, SECOND * 2);
    assert_eq!(started(&harness), 1);
}

/// Lets the worker name another incarnation without a restart, as one does that computes its start
/// from a clock that is set.
fn rename(harness: &mut Harness, id: &id::Worker, incarnation: u64) {
    let worker = harness.workers.get_mut(id).expect("known");
    worker.listed.incarnation = revision::Incarnation::new(incarnation);
}

/// A worker that named another incarnation and still listed its runs used to lose them all.
#[test]
fn a_run_that_another_incarnation_lists_is_not_started_again() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    for incarnation in [2, 1, 3, 1_000, 4] {
        rename(&mut harness, &worker, incarnation);
        run_once(&mut harness, Duration::from_millis(700));
        assert_eq!(started(&harness), 1, "incarnation {incarnation}");
    }
    run_once(&mut harness, SECOND * 20);
    assert_eq!(started(&harness), 1);
}

/// The end of a run that the answer lists is an end of this run, whatever incarnation it names.
#[test]
fn an_end_that_another_incarnation_lists_is_taken_note_of() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.submit("urgent", "00000000000000aa", spec(vec![step(1, 2, SECOND)]));
    harness.run(Duration::from_millis(300));
    let (id, task) = harness.running().first().cloned().expect("the task runs");
    harness.workers.get_mut(&id).expect("known").end(task, Cause::Done);
    rename(&mut harness, &id, 5);
    harness.run(SECOND);
    assert_eq!(started(&harness), 1);
    assert_eq!(harness.show("urgent", "00000000000000aa"), Answer::State(State::Completed));
}

/// A run that has moved to another incarnation ends like any other.
#[test]
fn a_run_that_another_incarnation_lists_ends_with_its_lease() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    rename(&mut harness, &worker, 2);
    run_once(&mut harness, SECOND);
    harness.workers.get_mut(&worker).expect("known").is_isolated = true;
    run_once(&mut harness, SECOND * 20);
    assert_eq!((started(&harness), harness.running().len()), (2, 1));
}

/// What a partial report of another incarnation lacks may still run.
#[test]
fn a_partial_report_of_another_incarnation_ends_no_runs() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    rename(&mut harness, &worker, 2);
    report_partially(&mut harness, &worker);
    run_once(&mut harness, SECOND * 2);
    assert_eq!(started(&harness), 1);
}

/// A worker that has restarted runs nothing, so its task starts again at once.
#[test]
fn a_run_that_another_incarnation_does_not_list_has_ended() {
    let (mut harness, worker) = Harness::with_a_long_running_task();
    harness.workers.get_mut(&worker).expect("known").restart();
    run_once(&mut harness, SECOND);
    assert_eq!((started(&harness), harness.running().len()), (2, 1));
}

/// A start is sent once, so a refusal proves that its run never began. After a report has listed the
/// run, or after the start has counted as unanswered, a refusal is not the answer to this start.
#[test]
fn a_late_refusal_frees_no_run() {
    for refusal in Refusal::ALL {
        for is_listed in [false, true] {
            let mut harness = Harness::new(&[8, 8]);
            harness.poll_all();
            harness.submit("urgent", "00000000000000aa", spec(vec![step(1, 2, SECOND)]));
            harness.commit();
            let (target, start) = harness.starts.remove(0);
            let worker = harness.workers.get_mut(&target.worker).expect("known");
            worker.start(&target, &start).expect("carried out");
            let now = harness.now;
            if is_listed {
                harness.advance(Duration::from_millis(10));
                harness.poll_all();
            } else {
                let lost = Err(Failure::Unanswered("lost".into()));
                harness.engine.start_answered(&target, &start, lost, now);
            }
            let result = Err(Failure::Refused(refusal));
            harness.engine.start_answered(&target, &start, result, now);
            harness.collect();
            run_once(&mut harness, SECOND * 3);
            assert_eq!(started(&harness), 1, "{refusal}, listed {is_listed}");
        }
    }
}

/// Returns an owner whose only start is in transit while its worker drains, so that the task is
/// being stopped, and that start.
fn owner_that_stops_a_start_in_transit() -> (Harness, Target, Start) {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    let long = Step { long_running: true, ..step(1, 2, SECOND * 600) };
    harness.submit("urgent", "00000000000000aa", spec(vec![long]));
    harness.commit();
    let (target, start) = harness.starts.remove(0);
    for worker in harness.workers.values_mut() {
        worker.work.insert(start.task.step, SECOND * 600);
    }
    harness.workers.get_mut(&target.worker).expect("known").listed.draining = true;
    harness.list_workers();
    harness.commit();
    (harness, target, start)
}

/// Guards against a task that waits for the proof of a stop although its worker has refused the
/// start.
#[test]
fn a_refused_start_of_a_task_that_is_being_stopped_delays_it() {
    for refusal in Refusal::ALL {
        let (mut harness, target, start) = owner_that_stops_a_start_in_transit();
        let result = Err(Failure::Refused(refusal));
        harness.engine.start_answered(&target, &start, result, harness.now);
        harness.collect();
        run_once(&mut harness, SECOND);
        assert_eq!((started(&harness), harness.running().len()), (1, 1), "{refusal}");
    }
}

/// A refusal after the start has timed out, was confirmed or was listed is not the answer to it.
#[test]
fn a_late_refusal_frees_no_run_that_is_being_stopped() {
    for refusal in Refusal::ALL {
        for earlier in [Some(Ok(())), Some(Err(Failure::Unanswered("lost".into()))), None] {
            let (mut harness, target, start) = owner_that_stops_a_start_in_transit();
            let now = harness.now;
            let worker = harness.workers.get_mut(&target.worker).expect("known");
            worker.stop_time = SECOND * 9 / 10;
            worker.start(&target, &start).expect("carried out");
            let name = format!("{refusal}, after {earlier:?}");
            match earlier {
                Some(result) => harness.engine.start_answered(&target, &start, result, now),
                None => report(&mut harness, &target.worker, |_| {}),
            }
            let result = Err(Failure::Refused(refusal));
            harness.engine.start_answered(&target, &start, result, now);
            harness.collect();
            run_once(&mut harness, SECOND * 5);
            assert_eq!((started(&harness), harness.running().len()), (2, 1), "{name}");
        }
    }
}

/// A run that is being stopped ends when a report lists its end. A worker may leave it out of the
/// running ones while it shuts down.
#[test]
fn a_confirmed_run_that_is_being_stopped_ends_when_its_end_is_listed() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.stop_time = Duration::from_millis(900);
    worker.listed.draining = true;
    harness.list_workers();
    for _ in 0..30 {
        harness.advance(Duration::from_millis(50));
        harness.commit();
        harness.deliver();
        let ids: Vec<id::Worker> = harness.workers.keys().cloned().collect();
        for other in ids {
            report(&mut harness, &other, |report| {
                if other == id {
                    report.running.clear();
                }
            });
        }
        check_once(&harness);
    }
    run_once(&mut harness, SECOND * 2);
    assert_eq!((started(&harness), harness.running().len()), (2, 1));
}

/// A job that is submitted again under its id, while its runs end or later, remains one job, also
/// for the next owner.
#[test]
fn a_cancelled_job_that_is_submitted_again_is_not_started() {
    const JOB: &str = "00000000000000aa";
    let job = || spec(vec![step(1, 2, SECOND * 600)]);
    for is_isolated in [false, true] {
        let mut harness = Harness::new(&[8, 8]);
        harness.poll_all();
        harness.submit("urgent", JOB, job());
        harness.run(Duration::from_millis(300));
        let (id, task) = harness.running().first().cloned().expect("the task runs");
        for worker in harness.workers.values_mut() {
            worker.work.insert(task.step, SECOND * 600);
            worker.stop_time = Duration::from_millis(900);
        }
        harness.workers.get_mut(&id).expect("known").is_isolated = is_isolated;
        harness.request("urgent", JOB, Verb::Cancel);
        harness.request("urgent", JOB, Verb::Cancel);
        for round in 0..300 {
            harness.submit("urgent", JOB, job());
            run_once(&mut harness, Duration::from_millis(100));
            if round == 40 {
                harness.take_over();
            }
        }
        // The record of the job is dropped only after the end of its runs and the retention.
        assert_eq!((started(&harness), harness.running().len()), (1, 0), "{is_isolated}");
        assert_eq!(harness.show("urgent", JOB), Answer::State(State::Cancelled));
    }
}

/// Guards against a surplus run that frees its capacity while it shuts down, because its worker
/// leaves it out of a report.
#[test]
fn a_surplus_run_that_shuts_down_unlisted_loses_its_capacity() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    let copies = Step { copies: true, ..step(1, 8, SECOND * 600) };
    harness.submit("urgent", "00000000000000aa", spec(vec![copies]));
    harness.run(SECOND / 2);
    let (id, task) = harness.running().first().cloned().expect("the task runs");
    for worker in harness.workers.values_mut() {
        worker.work.insert(task.step, SECOND * 600);
        worker.stop_time = SECOND * 9 / 10;
    }
    harness.workers.get_mut(&id).expect("known").is_isolated = true;
    harness.run(SECOND);
    assert_eq!(harness.running().len(), 2, "a copy runs");
    harness.workers.get_mut(&id).expect("known").is_isolated = false;
    harness.poll(&id);
    harness.submit("urgent", "00000000000000ab", spec(vec![step(1, 8, SECOND * 600)]));
    for _ in 0..60 {
        harness.advance(SECOND / 20);
        harness.commit();
        harness.deliver();
        report(&mut harness, &id, |report| report.running.retain(|run| run.task != task));
        let runs = harness.workers[&id].runs.len();
        assert!(runs <= 1, "{runs} runs of 8 cores on a worker of 8 cores");
    }
    let events = &harness.workers[&id].events;
    let has_started =
        events.iter().any(|event| matches!(event, Event::Started(other, _) if *other != task));
    assert!(has_started, "the capacity of the surplus run is not released");
}

/// Guards against a run that starts elsewhere while it shuts down, because its worker leaves it out of
/// the first report to an owner that does not know of the stop.
#[test]
fn a_run_that_the_former_owner_stopped_runs_twice_while_it_shuts_down() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.submit("urgent", "00000000000000aa", spec(vec![step(1, 2, SECOND * 600)]));
    harness.run(SECOND / 2);
    let (id, task) = harness.running().first().cloned().expect("the task runs");
    for worker in harness.workers.values_mut() {
        worker.work.insert(task.step, SECOND * 600);
        worker.stop_time = SECOND * 9 / 10;
    }
    harness.workers.get_mut(&id).expect("known").hangs = true;
    let is_stopped =
        |harness: &Harness| harness.workers[&id].runs.values().any(|run| run.stops_at.is_some());
    for _ in 0..100 {
        if is_stopped(&harness) {
            break;
        }
        harness.run(SECOND / 20);
    }
    assert!(is_stopped(&harness), "the run makes no progress and is stopped");
    harness.workers.get_mut(&id).expect("known").listed.draining = true;
    harness.take_over();
    for _ in 0..60 {
        harness.advance(SECOND / 20);
        harness.commit();
        harness.deliver();
        let ids: Vec<id::Worker> = harness.workers.keys().cloned().collect();
        for other in ids {
            let shuts_down = other == id && is_stopped(&harness);
            report(&mut harness, &other, |report| {
                if shuts_down {
                    report.running.clear();
                }
            });
        }
        check_once(&harness);
    }
    assert_eq!((started(&harness), harness.running().len()), (2, 1));
}
