//! Guards against an engine whose cost grows with the size of the fleet.

mod support;

use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_placement::job::BodyHash;
use knapweedgap_placement::report::State;
use support::{Driver, STEP, number, resources, spec, worker_id};

const JOBS: u32 = 100;

/// Fills a fleet to about half, then returns the real time for [`JOBS`] jobs from their submission
/// to their recorded end.
fn time(workers: u32) -> Duration {
    let mut driver = Driver::new(workers);
    let mut filler = spec("filler");
    filler.size = resources(2, 4);
    filler.tasks = workers * 4;
    let filler = driver.submit(filler);
    while driver.engine.status(&filler).is_some_and(|status| status.waiting > 0) {
        driver.advance(Duration::from_secs(1));
        report_all(&mut driver, workers, filler);
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
        report(&mut driver, number(&start.worker), filler);
    }
    driver.advance(STEP);
    assert_eq!(driver.engine.counts(driver.now).closed, usize::try_from(JOBS).expect("small"));
    begin.elapsed()
}

fn report_all(driver: &mut Driver, workers: u32, filler: id::Job) {
    for worker in 0..workers {
        report(driver, worker, filler);
    }
}

/// Reports the filler as running and every other task as completed.
fn report(driver: &mut Driver, worker: u32, filler: id::Job) {
    let attempts = driver.engine.state().attempts(&worker_id(worker)).into_iter().flatten();
    let tasks = attempts.map(|(task, _)| {
        let state = if task.job == filler { State::Running } else { State::Succeeded };
        (*task, 1, state)
    });
    let tasks: Vec<_> = tasks.collect();
    driver.report(worker, &tasks);
}

#[test]
fn ten_times_the_workers_and_tasks_cost_less_than_five_times_the_time() {
    // The smaller of three runs, since other work on the machine only adds time.
    let best = |workers| (0..3).map(|_| time(workers)).min().expect("three runs");
    let small = best(250);
    let large = best(2500);
    println!("250 workers: {small:?}, 2500 workers: {large:?}");
    assert!(large < small * 5, "250 workers: {small:?}, 2500 workers: {large:?}");
}
