//! Guards against a selection of workers whose cost grows with the fleet, that ignores constraints
//! or that relies only on declared sizes, and against starvation of jobs.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::{id, size};
use knapweedgap_placement::job::Constraint;
use knapweedgap_placement::pack::{EXAMINED_MAX, Index};
use knapweedgap_placement::report::State;
use knapweedgap_placement::settings::Settings;
use knapweedgap_placement::usage;
use proptest::prelude::*;
use support::{Driver, STEP, number, resources, spec, worker, worker_id};

fn insert(index: &mut Index, number: u32, free: &size::Resources) {
    let spec = worker(number);
    index.insert(&spec.id, &spec.zone, &spec.rack, free);
}

#[test]
fn search_examines_a_bounded_number_of_workers_at_any_fleet_size() {
    for count in [50, 500, 5700] {
        let mut index = Index::default();
        for number in 0..count {
            // All workers share the bucket of the requested size, and none fits.
            insert(&mut index, number, &resources(9, 40));
        }
        let mut examined = 0;
        let chosen = index.choose(&resources(10, 40), &Constraint::default(), |_| {
            examined += 1;
            None::<u32>
        });
        assert_eq!(chosen, None);
        assert!(examined <= EXAMINED_MAX, "{examined} of {count} workers");
    }
}

#[test]
fn worker_beyond_the_bound_of_one_search_is_found_by_later_searches() {
    let mut index = Index::default();
    for number in 0..1000 {
        insert(&mut index, number, &resources(9, 40));
    }
    let searches = 1000 / EXAMINED_MAX + 1;
    let wanted = worker_id(777);
    let found = (0..searches).any(|_| {
        let chosen = index.choose(&resources(10, 40), &Constraint::default(), |worker| {
            (*worker == wanted).then_some(0)
        });
        chosen.as_ref() == Some(&wanted)
    });
    assert!(found, "not found in {searches} searches");
}

proptest! {
    #[test]
    fn a_worker_with_twice_the_need_is_always_found(
        free in proptest::collection::vec((1u32..64, 1u64..256), 1..40),
        cores in 1u32..32,
        gib in 1u64..128,
    ) {
        let mut index = Index::default();
        let mut sizes = BTreeMap::new();
        for (number, (cores, gib)) in free.iter().enumerate() {
            let number = u32::try_from(number).expect("small");
            insert(&mut index, number, &resources(*cores, *gib));
            sizes.insert(worker_id(number), resources(*cores, *gib));
        }
        let need = resources(cores, gib);
        let chosen = index.choose(&need, &Constraint::default(), |worker| {
            sizes[worker].fits(&need).then_some(0)
        });
        if let Some(worker) = &chosen {
            prop_assert!(sizes[worker].fits(&need));
        }
        let twice = need + need;
        if sizes.values().any(|size| size.fits(&twice)) {
            prop_assert!(chosen.is_some());
        }
    }
}

#[test]
fn constraints_on_zone_and_rack_are_respected() {
    let mut driver = Driver::new(12);
    let mut job = spec("a");
    job.tasks = 6;
    job.constraint.zones.insert("z1".parse().expect("valid"));
    job.constraint.racks.insert("r4".parse().expect("valid"));
    driver.submit(job);
    let starts = driver.starts();
    assert_eq!(starts.len(), 6);
    for start in starts {
        assert_eq!(number(&start.worker) % 6, 4, "{} is in another rack", start.worker);
    }
}

#[test]
fn every_listed_rack_is_admitted() {
    let mut driver = Driver::new(12);
    let mut job = spec("a");
    job.tasks = 12;
    job.constraint.spread = true;
    job.constraint.racks.insert("r1".parse().expect("valid"));
    job.constraint.racks.insert("r4".parse().expect("valid"));
    driver.submit(job);
    let racks: std::collections::BTreeSet<u32> =
        driver.starts().iter().map(|start| number(&start.worker) % 6).collect();
    assert_eq!(racks, [1, 4].into());
}

#[test]
fn spread_job_uses_all_zones_equally() {
    let mut driver = Driver::new(6);
    let mut job = spec("a");
    job.tasks = 6;
    job.size = resources(1, 1);
    job.constraint.spread = true;
    driver.submit(job);
    let mut zones: BTreeMap<u32, u32> = BTreeMap::new();
    for start in driver.starts() {
        *zones.entry(number(&start.worker) % 3).or_default() += 1;
    }
    assert_eq!(zones.into_values().collect::<Vec<_>>(), vec![2, 2, 2]);
}

#[test]
fn a_class_that_uses_more_than_declared_gets_headroom_but_no_larger_commitment() {
    let class: id::Class = "grind".parse().expect("valid");
    let mut model = usage::Model::default();
    let declared = resources(4, 8);
    for _ in 0..100 {
        model.learn(&class, &declared, &resources(64, 2));
    }
    let expected = model.headroom(&class, &declared);
    assert_eq!(expected.processor, size::Processor::from_cores(16), "at most a factor of 4");
    assert_eq!(expected.memory, declared.memory, "never below the declared size");

    let mut driver = Driver::new(3);
    let mut job = spec("a");
    job.tasks = 12;
    driver.submit(job);
    let starts = driver.starts();
    assert_eq!(starts.len(), 12, "commitments use declared sizes");
}

#[test]
fn job_with_more_tasks_than_one_pass_places_is_placed_completely() {
    let mut driver = Driver::new(100);
    let mut job = spec("a");
    job.size = resources(1, 1);
    job.tasks = 1500;
    driver.submit(job);
    driver.advance(Duration::from_secs(1));
    assert_eq!(driver.starts().len(), 1500);
}

#[test]
fn capacity_freed_behind_the_cursor_is_offered_to_earlier_jobs() {
    let mut driver = Driver::new(2);
    let mut background = spec("background");
    background.size = resources(16, 8);
    background.tasks = 2;
    driver.submit(background);
    let starts = driver.starts();
    let first = starts.iter().find(|start| number(&start.worker) == 0).expect("on both").task;
    let second = starts.iter().find(|start| number(&start.worker) == 1).expect("on both").task;
    let wanted = driver.submit(spec("wanted"));
    for key in 0..1500 {
        let mut blocked = spec(&format!("blocked-{key}"));
        blocked.constraint.racks.insert("r1".parse().expect("valid"));
        let body = knapweedgap_placement::job::BodyHash::of(b"blocked");
        driver.engine.submit(blocked, body, driver.now).expect("fits an empty worker");
    }
    driver.advance(Duration::from_secs(1));
    driver.report(0, &[(first, 1, State::Running)]);
    driver.report(1, &[(second, 1, State::Running)]);
    driver.advance(Duration::from_secs(1));
    // A pass over 1500 blocked jobs takes 240 ms, and the commit of the task's end at most 100 ms.
    driver.engine.set_settings(Settings::default(), driver.now);
    driver.report(0, &[(first, 1, State::Succeeded)]);
    driver.advance(Duration::from_millis(600));
    let starts = driver.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task.job, wanted);
}

#[test]
fn stream_of_small_jobs_does_not_starve_a_large_job() {
    let mut driver = Driver::new(1);
    let mut running = BTreeMap::new();
    let mut large = spec("large");
    large.size = resources(16, 8);
    for key in 0..4 {
        driver.submit(spec(&format!("first-{key}")));
    }
    let large = driver.submit(large);
    for round in 0..120 {
        // One small task ends every second, and another small job waits for its capacity.
        let body = knapweedgap_placement::job::BodyHash::of(b"small");
        let small = spec(&format!("small-{round}"));
        driver.engine.submit(small, body, driver.now).expect("accepted");
        for start in driver.starts() {
            if start.task.job == large {
                assert!(round >= 60, "capacity is held only after a minute");
                return;
            }
            running.insert(start.task, round);
        }
        let oldest = running.iter().min_by_key(|(_, began)| **began).map(|(task, _)| *task);
        let state = |task| if Some(task) == oldest { State::Succeeded } else { State::Running };
        let tasks: Vec<_> = running.keys().map(|task| (*task, 1, state(*task))).collect();
        driver.report(0, &tasks);
        driver.advance(Duration::from_millis(500));
        driver.report(0, &tasks);
        driver.advance(Duration::from_millis(500));
        if let Some(oldest) = oldest {
            running.remove(&oldest);
        }
    }
    panic!("the large job never started");
}

#[test]
fn blocked_jobs_do_not_block_a_later_job_that_fits() {
    let mut driver = Driver::new(2);
    let mut background = spec("background");
    background.size = resources(12, 8);
    background.tasks = 2;
    driver.submit(background);
    let running: Vec<_> = driver.starts();
    for start in &running {
        driver.report(number(&start.worker), &[(start.task, 1, State::Running)]);
    }
    for number in 0..200 {
        let mut large = spec(&format!("large-{number}"));
        large.size = resources(16, 8);
        let body = knapweedgap_placement::job::BodyHash::of(b"large");
        driver.engine.submit(large, body, driver.now).expect("fits an empty worker");
    }
    let small = driver.submit(spec("small"));
    driver.advance(STEP + Duration::from_millis(100));
    let starts = driver.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task.job, small);
}
