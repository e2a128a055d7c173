//! Guards against a cost per job that grows with the size of the fleet.

mod support;

use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_placement::job::BodyHash;
use knapweedgap_placement::report::State;
use support::{Driver, STEP, number, resources, spec, worker_id};

const JOBS: u32 = 100;

/// Loads a fleet to about half, then returns the real time for [`JOBS`] jobs from their submission
/// to their recorded end.
fn measure(workers: u32) -> Duration {
    let mut driver = Driver::new(workers);
    let mut background = spec("background");
    background.size = resources(2, 4);
    background.tasks = workers * 4;
    let background = driver.submit(background);
    while driver.engine.status(&background).is_some_and(|status| status.waiting > 0) {
        driver.advance(Duration::from_secs(1));
        report_all(&mut driver, workers, background);
    }
    driver.starts();
    let begin = Instant::now();
    for key in 0..JOBS {
        let mut one = spec(&format!("one-{key}"));
        one.size = resources(1, 1);
        driver.engine.submit(one, BodyHash::of(b"one"), driver.now).expect("accepted");
        driver.advance(Duration::from_millis(10));
    }
    driver.advance(STEP);
    let starts = driver.starts();
    assert_eq!(starts.len(), usize::try_from(JOBS).expect("small"));
    for start in starts {
        report(&mut driver, number(&start.worker), background);
    }
    driver.advance(STEP);
    assert_eq!(driver.engine.counts(driver.now).closed, usize::try_from(JOBS).expect("small"));
    begin.elapsed()
}

fn report_all(driver: &mut Driver, workers: u32, background: id::Job) {
    for worker in 0..workers {
        report(driver, worker, background);
    }
}

/// Reports tasks of the background job as running and every other task as completed.
fn report(driver: &mut Driver, worker: u32, background: id::Job) {
    let attempts = driver.engine.state().attempts(&worker_id(worker)).into_iter().flatten();
    let tasks = attempts.map(|(task, _)| {
        let state = if task.job == background { State::Running } else { State::Succeeded };
        (*task, 1, state)
    });
    let tasks: Vec<_> = tasks.collect();
    driver.report(worker, &tasks);
}

#[test]
fn tenfold_workers_and_tasks_take_less_than_fivefold_time() {
    // The minimum of three runs, since other load on the machine only adds time.
    let best = |workers| (0..3).map(|_| measure(workers)).min().expect("three runs");
    let small = best(250);
    let large = best(2500);
    println!("250 workers: {small:?}, 2500 workers: {large:?}");
    assert!(large < small * 5, "250 workers: {small:?}, 2500 workers: {large:?}");
}
