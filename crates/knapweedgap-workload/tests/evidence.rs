//! Guards against a second run of a task whose worker runs on: what is observed of a worker ends its
//! runs only if the worker itself says so or all its leases have ended.

mod support;

use std::time::Duration;

use knapweedgap_core::{id, revision};
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::State;
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Listed;
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

fn listed(harness: &Harness, id: &id::Worker) -> Listed {
    harness.workers[id].listed.clone()
}

/// Lists one worker as an entry of the platform's list says.
fn list(harness: &mut Harness, entry: Listed) {
    harness.engine.worker_listed(entry, harness.now);
    harness.collect();
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

/// An entry of another writer, with a later start of the worker, used to end its runs, and the true
/// entries counted as outdated from then on.
#[test]
fn an_entry_of_another_writer_ends_no_runs() {
    let (mut harness, worker) = harness();
    let sound = listed(&harness, &worker);
    let mut odd = sound.clone();
    odd.incarnation = revision::Incarnation::new(1_000_000);
    odd.service = "other".parse().expect("valid");
    odd.capacity.processor = knapweedgap_core::size::Processor::from_cores(900);
    list(&mut harness, odd);
    run_once(&mut harness, Duration::from_millis(1_500));
    list(&mut harness, sound);
    run_once(&mut harness, SECOND * 4);
    assert_eq!(harness.show("urgent", JOB), Answer::State(State::Completed));
    // The worker is used again: two tasks of its whole size need both workers.
    harness.submit("urgent", "00000000000000bb", spec(vec![step(2, 8, SECOND)]));
    harness.run(SECOND);
    assert_eq!(harness.running().len(), 2);
}

/// The first list of a new owner may hold the entry of another writer.
#[test]
fn an_entry_of_another_writer_in_the_first_list_ends_no_runs() {
    for incarnation in [0, 1_000_000] {
        let (mut harness, worker) = harness();
        harness.commit();
        harness.workers.get_mut(&worker).expect("known").listed.incarnation =
            revision::Incarnation::new(incarnation);
        harness.take_over();
        harness.workers.get_mut(&worker).expect("known").listed.incarnation =
            revision::Incarnation::new(1);
        run_once(&mut harness, SECOND);
        let entry = listed(&harness, &worker);
        list(&mut harness, entry);
        run_once(&mut harness, SECOND * 6);
        assert_eq!(harness.show("urgent", JOB), Answer::State(State::Completed));
        harness.submit("urgent", "00000000000000bb", spec(vec![step(2, 8, SECOND)]));
        harness.run(SECOND);
        assert_eq!(harness.running().len(), 2, "born {incarnation}");
    }
}

/// The clock of a VM may step back between two starts of its worker. The new incarnation used to
/// count as an outdated one for good.
#[test]
fn a_worker_whose_start_time_falls_back_is_used() {
    let (mut harness, id) = harness();
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.restart();
    worker.listed.incarnation = revision::Incarnation::new(0);
    worker.previous_fence = None;
    let entry = listed(&harness, &id);
    list(&mut harness, entry);
    run_once(&mut harness, SECOND * 12);
    assert_eq!(harness.show("urgent", JOB), Answer::State(State::Completed));
    harness.submit("urgent", "00000000000000bb", spec(vec![step(2, 8, SECOND)]));
    harness.run(SECOND);
    assert_eq!(harness.running().len(), 2);
}

/// A worker may start again at another address.
#[test]
fn a_worker_that_restarts_is_used_again() {
    let (mut harness, id) = harness();
    harness.workers.get_mut(&id).expect("known").restart();
    let entry = listed(&harness, &id);
    list(&mut harness, entry);
    run_once(&mut harness, SECOND * 2);
    harness.submit("urgent", "00000000000000bb", spec(vec![step(1, 8, SECOND)]));
    harness.run(SECOND);
    assert!(harness.running().iter().any(|(worker, _)| *worker == id));
}

/// Cuts that refuse or drop, drains, lists without a worker, entries of other writers and new owners
/// in any order. A task must not run on two workers at once, and all jobs must end.
#[test]
fn no_series_of_observations_runs_a_task_twice() {
    for seed in 0..60 {
        play(seed);
    }
}

fn play(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut harness = Harness::new(&[8, 8, 8, 8]);
    harness.poll_all();
    let ids: Vec<id::Worker> = harness.workers.keys().cloned().collect();
    let mut jobs = Vec::new();
    for round in 0..300u32 {
        if round % 10 == 0 && round < 200 {
            let job = format!("{:016x}", 0x1000 + round);
            let run_time = Duration::from_millis(random.u64(300..6_000));
            harness.submit("urgent", &job, spec(vec![step(3, 3, run_time)]));
            let step = task::Step { job: job.parse().expect("valid"), occurrence: 0, step: 0 };
            harness.workers.values_mut().for_each(|worker| {
                worker.work.insert(step, run_time);
            });
            jobs.push(job);
        }
        let id = &ids[random.usize(..ids.len())];
        let is_troubled = round < 200;
        match random.u32(..60) {
            0 if is_troubled => harness.workers.get_mut(id).expect("known").is_refused = true,
            1 if is_troubled => harness.workers.get_mut(id).expect("known").is_isolated = true,
            2 if is_troubled => harness.workers.get_mut(id).expect("known").listed.draining = true,
            3 if is_troubled => harness.engine.worker_unlisted(id, harness.now),
            4 | 5 if is_troubled => {
                let mut odd = listed(&harness, id);
                odd.incarnation = revision::Incarnation::new(random.u64(..10_000));
                odd.draining = random.bool();
                list(&mut harness, odd);
            }
            6 if is_troubled => {
                harness.take_over();
            }
            7..20 => {
                let worker = harness.workers.get_mut(id).expect("known");
                (worker.is_refused, worker.is_isolated) = (false, false);
                worker.listed.draining = false;
            }
            _ => {}
        }
        if round % 15 == 0 {
            harness.list_workers();
        }
        harness.run(Duration::from_millis(100));
        let mut running: Vec<task::Id> = harness.running().into_iter().map(|(_, id)| id).collect();
        let count = running.len();
        running.sort();
        running.dedup();
        assert_eq!(running.len(), count, "seed {seed}, round {round}: {:?}", harness.running());
    }
    for worker in harness.workers.values_mut() {
        (worker.is_refused, worker.is_isolated) = (false, false);
        worker.listed.draining = false;
    }
    harness.list_workers();
    harness.run(SECOND * 40);
    for job in jobs {
        let answer = harness.show("urgent", &job);
        let is_open = matches!(answer, Answer::State(State::Queued | State::Running));
        assert!(!is_open, "seed {seed}: job {job} is {answer:?}");
    }
}
