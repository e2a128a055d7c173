//! Evacuation of an availability zone: nothing is started on its workers until it is taken back.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::engine::TICK;
use knapweedgap_workload::event::Event;
use knapweedgap_workload::exclusion::Exclusion;
use knapweedgap_workload::job::Step;
use knapweedgap_workload::order::{Failure, Refusal};
use knapweedgap_workload::worker::Cause;
use support::serving::{best_effort, first_step};
use support::{Harness, Worker, bounds, listed, spec, step};

/// Zone that is evacuated.
const NORTH: &str = "north";
const SOUTH: &str = "south";
const JOB: &str = "00000000000000a1";
const OTHER: &str = "00000000000000a2";
const LONG: Duration = Duration::from_secs(600);
const SECOND: Duration = Duration::from_secs(1);
/// Time from the operator's write until no start may reach the zone.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Age of the knowledge of the zones with which nothing may be started.
const OUTDATED: Duration = Duration::from_millis(3_600);

/// Returns an owner with workers of the given zones and sizes, each zone with a rack and a label of
/// its name.
fn fleet(workers: &[(&str, u32)]) -> Harness {
    let cores: Vec<u32> = workers.iter().map(|(_, cores)| *cores).collect();
    let limits = bounds().evacuation_timeout(Some(EVACUATION_TIMEOUT)).build();
    let mut harness = Harness::with_bounds(&cores, limits);
    for (index, (zone, _)) in workers.iter().enumerate() {
        let worker = harness.worker(index);
        worker.listed.zone = zone.parse().expect("valid");
        worker.listed.rack = Some((*zone).into());
        worker.listed.labels.push((*zone).into());
        for job in [JOB, OTHER] {
            worker.work.insert(first_step(job), LONG);
        }
    }
    harness.list_workers();
    harness.poll_all();
    harness
}

/// Returns the number of runs on the workers of a zone.
fn runs_in(harness: &Harness, zone: &str) -> usize {
    let is_in = |worker: &&Worker| worker.listed.zone.as_str() == zone;
    harness.workers.values().filter(is_in).map(|worker| worker.runs.len()).sum()
}

fn labelled(zone: &str) -> Step {
    Step { requires: Some(zone.into()), ..step(1, 1, LONG) }
}

fn answer(harness: &mut Harness, job: &str, steps: Vec<Step>) -> Answer {
    let ticket = harness.submit("batch", job, spec(steps));
    harness.run(SECOND / 2);
    harness.answers.remove(&ticket).expect("answered")
}

/// Guards against a step that is started in the zone because no other worker has its label, and a
/// waiting line that doesn't say why.
#[test]
fn a_waiting_step_of_the_zone_waits() {
    let mut harness = fleet(&[(NORTH, 4), (SOUTH, 4)]);
    harness.submit(
        "batch",
        OTHER,
        spec(vec![Step { requires: Some(NORTH.into()), ..step(1, 4, LONG) }]),
    );
    harness.run(SECOND);
    harness.submit("batch", JOB, spec(vec![labelled(NORTH)]));
    harness.run(SECOND);
    harness.evacuate(NORTH);
    harness.worker(0).end_all(Cause::Done);
    harness.run(SECOND * 3);
    assert_eq!(harness.running().len(), 0);
    let mut excluded = harness.events.iter().rev().filter_map(|event| match event {
        Event::Idle { excluded, .. } => Some(excluded.of(Exclusion::Evacuated)),
        _ => None,
    });
    assert_eq!(excluded.next(), Some(1));

    harness.take_back(NORTH);
    harness.run(SECOND / 2);
    assert_eq!(runs_in(&harness, NORTH), 1);
}

/// Guards against a job that is accepted although no worker may run a step of it, and one whose client
/// is told to stay away for a minute or that there are no workers at all.
#[test]
fn a_new_job_that_only_the_zone_could_run_is_refused() {
    let mut harness = fleet(&[(NORTH, 8), (SOUTH, 4)]);
    harness.evacuate(NORTH);
    let refused = Answer::Refused {
        retry_after: SECOND * 4,
        reason: "the zones of all suitable workers are evacuated".into(),
    };
    let gang = Step { gang: true, ..step(6, 1, LONG) };
    for rejected in [labelled(NORTH), step(1, 6, LONG), gang] {
        let steps = vec![step(1, 1, LONG), rejected];
        assert_eq!(answer(&mut harness, JOB, steps), refused);
    }
    harness.evacuate(SOUTH);
    assert_eq!(answer(&mut harness, JOB, vec![step(1, 1, LONG)]), refused);
    harness.take_back(NORTH);
    assert_eq!(answer(&mut harness, JOB, vec![labelled(NORTH)]), Answer::Accepted);
}

/// Guards against a step that waits for the rack of its data while the zone of that rack is evacuated.
#[test]
fn a_step_with_its_data_in_the_zone_is_placed_elsewhere() {
    let mut harness = fleet(&[(NORTH, 8), (SOUTH, 8)]);
    harness.evacuate(NORTH);
    let near = Step { near: Some(NORTH.into()), ..step(2, 1, LONG) };
    harness.submit("batch", JOB, spec(vec![near]));
    harness.run(SECOND / 2);
    assert_eq!((runs_in(&harness, NORTH), runs_in(&harness, SOUTH)), (0, 2));
}

/// Guards against a gang of which some members are started in the zone, or elsewhere without the others.
#[test]
fn a_gang_whose_placement_is_being_stored_is_placed_elsewhere_as_a_whole() {
    let mut harness = fleet(&[(NORTH, 4), (SOUTH, 2), (SOUTH, 4)]);
    harness.submit(
        "batch",
        OTHER,
        spec(vec![Step { requires: Some(SOUTH.into()), ..step(1, 4, LONG) }]),
    );
    harness.run(SECOND / 2);
    harness.submit("batch", JOB, spec(vec![Step { gang: true, ..step(4, 1, LONG) }]));
    let batch = harness.take_batch().expect("the placement");
    harness.evacuate(NORTH);
    harness.store(&batch);
    assert!(harness.starts.iter().all(|(target, _)| target.worker.as_str() != "worker-0"));
    harness.run(SECOND);
    assert_eq!(runs_in(&harness, NORTH), 0);
    harness.worker(2).end_all(Cause::Done);
    harness.run(SECOND * 2);
    assert_eq!(runs_in(&harness, NORTH), 0);
    let members = harness.running().iter().filter(|(_, task)| task.step == first_step(JOB)).count();
    assert_eq!(members, 4);
}

/// Guards against a start that is sent after the evacuation because its placement was stored before or
/// was being stored.
#[test]
fn a_placement_that_is_being_stored_is_not_sent() {
    let mut harness = fleet(&[(NORTH, 8)]);
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    let batch = harness.take_batch().expect("the placement");
    harness.evacuate(NORTH);
    harness.store(&batch);
    harness.run(SECOND);
    assert!(harness.running().is_empty());
    harness.take_back(NORTH);
    harness.run(SECOND / 2);
    assert_eq!(harness.running().len(), 1);
}

/// Guards against a repeat in the zone of a start that was in flight when it was evacuated, and a run
/// that is given up although its start was carried out.
#[test]
fn a_start_in_flight_is_kept_and_its_repeat_placed_elsewhere() {
    for is_carried_out in [true, false] {
        let mut harness = fleet(&[(NORTH, 4), (SOUTH, 8)]);
        harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
        harness.commit();
        let (target, start) = harness.starts.first().cloned().expect("a start");
        assert_eq!(target.worker.as_str(), "worker-0", "the fullest worker is chosen");
        harness.evacuate(NORTH);
        assert!(!harness.engine.admits_start(&target.worker, harness.now));
        if !is_carried_out {
            harness.starts.clear();
            let result = Err(Failure::Refused(Refusal::Expired));
            harness.engine.start_answered(&target, &start, result, harness.now);
        }
        harness.run(SECOND);
        let zone = if is_carried_out { NORTH } else { SOUTH };
        assert_eq!(runs_in(&harness, zone), 1);
        assert_eq!(harness.running().len(), 1);
        assert!(harness.stops.is_empty());
    }
}

/// Guards against a long-running task that is stopped by the evacuation, or restarted in the zone.
#[test]
fn a_long_running_task_continues_and_its_next_run_is_placed_elsewhere() {
    let mut harness = fleet(&[(NORTH, 4), (SOUTH, 8)]);
    harness.submit("batch", JOB, spec(vec![Step { long_running: true, ..step(1, 1, LONG) }]));
    harness.run(SECOND);
    assert_eq!(runs_in(&harness, NORTH), 1);
    harness.evacuate(NORTH);
    harness.run(SECOND * 10);
    assert_eq!(runs_in(&harness, NORTH), 1, "the run continues under its lease");
    harness.worker(0).end_all(Cause::Done);
    harness.run(SECOND);
    assert_eq!((runs_in(&harness, NORTH), runs_in(&harness, SOUTH)), (0, 1));
}

/// Guards against capacity of the zone that is promised to long-running tasks, which then displace
/// others elsewhere for as long as they run.
#[test]
fn long_running_tasks_are_admitted_by_the_capacity_of_the_other_zones() {
    let mut harness = fleet(&[(NORTH, 8), (SOUTH, 8)]);
    let long_running = Step { long_running: true, ..step(8, 1, LONG) };
    harness.evacuate(NORTH);
    let refused = answer(&mut harness, JOB, vec![long_running.clone()]);
    assert!(matches!(refused, Answer::Refused { .. }), "{refused:?}");
    harness.take_back(NORTH);
    assert_eq!(answer(&mut harness, JOB, vec![long_running]), Answer::Accepted);
}

/// Guards against a best-effort task that is placed in the zone, also at a reduced speed or by an
/// eviction: the zone has the only unused processors.
#[test]
fn best_effort_tasks_are_placed_elsewhere() {
    let mut harness = support::serving::with_serving_tasks(2, 1.3, 0.4);
    harness.worker(0).listed.zone = NORTH.parse().expect("valid");
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(OTHER), LONG);
    }
    harness.list_workers();
    let serving = runs_in(&harness, NORTH);
    harness.evacuate(NORTH);
    harness.submit("batch", OTHER, spec(vec![best_effort(12)]));
    harness.run(SECOND * 8);
    assert_eq!(runs_in(&harness, NORTH), serving);
    assert!(harness.running().iter().any(|(_, task)| task.step == first_step(OTHER)));
}

/// Guards against a copy of a run that is started in the zone.
#[test]
fn a_copy_is_not_started_in_the_zone() {
    let mut harness = fleet(&[(SOUTH, 4), (NORTH, 8)]);
    harness.evacuate(NORTH);
    harness.submit("batch", JOB, spec(vec![Step { copies: true, ..step(1, 1, LONG) }]));
    harness.run(SECOND);
    harness.worker(0).is_isolated = true;
    harness.run(SECOND * 3);
    assert_eq!(runs_in(&harness, NORTH), 0);
    harness.take_back(NORTH);
    harness.run(SECOND / 2);
    assert_eq!(runs_in(&harness, NORTH), 1);
}

/// Guards against a new owner that places by the entries of workers before it knows the zones.
#[test]
fn a_new_owner_places_nothing_before_it_has_read_the_zones() {
    let mut harness = fleet(&[(NORTH, 8)]);
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    let batch = harness.take_batch().expect("the placement");
    harness.evacuate(NORTH);
    harness.store(&batch);
    harness.take_over_unconfigured();
    harness.are_zones_followed = false;
    harness.engine.set_configuration(support::configuration(1));
    harness.list_workers();
    harness.run(SECOND * 12);
    assert!(harness.running().is_empty(), "the zones are not known");
    harness.are_zones_followed = true;
    harness.read_zones();
    harness.run(SECOND);
    assert!(harness.running().is_empty(), "the zone is evacuated");
    harness.take_back(NORTH);
    harness.run(SECOND / 2);
    assert_eq!(harness.running().len(), 1);
}

/// Guards against an owner that places and sends on while it hears of no evacuation: its watch is silent
/// or refused while its commits succeed.
#[test]
fn an_owner_without_recent_knowledge_of_the_zones_starts_nothing() {
    let mut harness = fleet(&[(NORTH, 8)]);
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    let batch = harness.take_batch().expect("the placement");
    harness.are_zones_followed = false;
    harness.advance(OUTDATED);
    harness.list_workers();
    harness.store(&batch);
    assert!(harness.starts.is_empty());
    harness.run(SECOND * 3);
    assert!(harness.running().is_empty());
    let is_logged = |event: &Event| matches!(event, Event::Zones { is_outdated: true, .. });
    assert!(harness.events.iter().any(is_logged));

    harness.are_zones_followed = true;
    harness.run(SECOND / 2);
    assert_eq!(harness.running().len(), 1);
}

/// Guards against an owner that stops placing in an installation without a time for evacuations, and one
/// that ignores an evacuation there.
#[test]
fn without_a_time_for_evacuations_only_the_key_counts() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.are_zones_followed = false;
    harness.run(SECOND * 20);
    harness.worker(0).work.insert(first_step(JOB), LONG);
    harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
    harness.run(SECOND / 2);
    assert_eq!(harness.running().len(), 1);
    harness.evacuate("zone-1");
    harness.worker(0).end_all(Cause::Done);
    harness.submit("batch", OTHER, spec(vec![step(1, 1, LONG)]));
    harness.run(SECOND / 2);
    assert!(harness.running().is_empty());
}

/// Guards against a zone that stays without work after it was taken back: its workers were left out of
/// the searches that had been in vain, also when a full read shows the end.
#[test]
fn the_workers_take_starts_at_once_when_the_zone_is_taken_back() {
    for is_read in [true, false] {
        let mut harness = fleet(&[(NORTH, 8), (NORTH, 8)]);
        harness.submit("batch", JOB, spec(vec![step(20, 1, LONG)]));
        let batch = harness.take_batch().expect("the placement");
        harness.evacuate(NORTH);
        harness.store(&batch);
        harness.run(SECOND / 2);
        assert!(harness.running().is_empty());
        if is_read {
            harness.evacuated.clear();
            harness.read_zones();
        } else {
            harness.take_back(NORTH);
        }
        // Without a poll, whose report would mark the workers as changed.
        harness.advance(TICK);
        harness.commit();
        harness.deliver();
        assert_eq!(harness.running().len(), 16, "read in full: {is_read}");
    }
}

/// Guards against a zone that is forgotten because none of its workers is listed, and a worker that is
/// used because it is new, restarted, or listed in another zone than before.
#[test]
fn workers_that_are_listed_later_are_excluded() {
    let mut harness = fleet(&[(SOUTH, 4)]);
    harness.evacuate(NORTH);
    let mut later = listed("worker-1", 8, 1);
    later.zone = NORTH.parse().expect("valid");
    let id: id::Worker = later.id.clone();
    harness.workers.insert(id.clone(), Worker::new(later.clone()));
    harness.list_workers();
    harness.poll_all();
    harness.submit("batch", JOB, spec(vec![step(8, 1, LONG)]));
    harness.run(SECOND);
    assert_eq!((runs_in(&harness, NORTH), runs_in(&harness, SOUTH)), (0, 4));

    harness.workers.insert(
        id,
        Worker::new(knapweedgap_workload::worker::Listed {
            incarnation: knapweedgap_core::revision::Incarnation::new(2),
            ..later
        }),
    );
    harness.list_workers();
    harness.run(SECOND);
    assert_eq!(runs_in(&harness, NORTH), 0);
    harness.worker(1).listed.zone = SOUTH.parse().expect("valid");
    harness.list_workers();
    harness.run(SECOND);
    assert_eq!(runs_in(&harness, SOUTH), 8);
}

/// Guards against an evacuation that leaves no trace in the log, or one for each repetition of the key.
#[test]
fn each_change_is_logged_once() {
    let mut harness = fleet(&[(NORTH, 8), (SOUTH, 8)]);
    harness.submit(
        "batch",
        JOB,
        spec(vec![Step { requires: Some(NORTH.into()), ..step(3, 1, LONG) }]),
    );
    harness.run(SECOND);
    harness.evacuate(NORTH);
    harness.evacuate(NORTH);
    harness.read_zones();
    harness.advance(SECOND);
    harness.take_back(NORTH);
    harness.take_back(NORTH);
    let lines: Vec<String> = harness
        .events
        .iter()
        .filter_map(|event| match event {
            Event::Evacuation { .. } => Some(event.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(
        lines,
        [
            "zone=north decision=evacuate workers=1 runs=3 evacuated_zones=1",
            "zone=north decision=return evacuated_ms=1000 workers=1 runs=3 evacuated_zones=0",
        ]
    );
}

/// Guards against tasks on workers that restarted meanwhile and are slow, beside equal ones that are not,
/// and against a preference for an unequal worker or one that outlasts the slowness.
#[test]
fn among_equal_workers_one_that_is_not_slow_is_preferred() {
    for (sizes, slow, elapsed, expected) in [
        ([8, 8], [3, 0], 0, 1),
        ([8, 8], [0, 3], 0, 0),
        ([8, 8], [3, 3], 0, 0),
        ([4, 8], [3, 0], 0, 0),
        ([8, 8], [3, 0], 4, 0),
    ] {
        let mut harness = fleet(&[(NORTH, sizes[0]), (NORTH, sizes[1])]);
        harness.evacuate(NORTH);
        for (index, seconds) in slow.into_iter().enumerate() {
            harness.worker(index).listed.slow_for = SECOND * seconds;
        }
        harness.list_workers();
        harness.run(SECOND * elapsed);
        harness.take_back(NORTH);
        harness.submit("batch", JOB, spec(vec![step(1, 1, LONG)]));
        harness.run(SECOND / 2);
        let (worker, _) = harness.running().into_iter().next().expect("a run");
        let expected = format!("worker-{expected}");
        assert_eq!(worker.as_str(), expected, "{sizes:?} {slow:?} after {elapsed} s");
    }
}

/// Guards against an entry of a later incarnation that counts as new whenever its time of slowness has
/// passed on, so that the worker is polled and logged again each second.
#[test]
fn a_later_incarnation_is_noted_once_while_its_slowness_passes() {
    let mut harness = fleet(&[(NORTH, 8)]);
    let later = |seconds: u32| knapweedgap_workload::worker::Listed {
        incarnation: knapweedgap_core::revision::Incarnation::new(2),
        slow_for: SECOND * seconds,
        ..listed("worker-0", 8, 1)
    };
    for seconds in [3, 2, 1] {
        harness.engine.worker_listed(later(seconds), harness.now);
    }
    harness.collect();
    let noted = harness
        .events
        .iter()
        .filter(|event| matches!(event, Event::Worker { state: "another incarnation listed", .. }));
    assert_eq!(noted.count(), 1);
}
