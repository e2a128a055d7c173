//! Best-effort runs at a reduced speed: where they are placed, how their speed changes, and when they
//! move.

mod support;

use std::time::Duration;

use knapweedgap_core::{id, size};
use knapweedgap_workload::event::Event;
use knapweedgap_workload::job::Step;
use support::serving::{SERVING, best_effort, first_step, with_serving_tasks};
use support::{Harness, spec, step};

fn batch_name(number: usize) -> String {
    format!("{:016x}", 0xb000 + number)
}

fn set_loss(harness: &mut Harness, job: &str, loss: f64) {
    for worker in harness.workers.values_mut() {
        worker.losses.insert(first_step(job), loss);
        worker.work.insert(first_step(job), Duration::from_secs(60));
    }
}

fn place_of(harness: &Harness, job: &str) -> Option<id::Worker> {
    let running = harness.running();
    running.into_iter().find(|(_, task)| task.step == first_step(job)).map(|(id, _)| id)
}

fn worked(harness: &Harness, job: &str) -> Duration {
    let runs = harness.workers.values().flat_map(|worker| &worker.runs);
    let of_job = runs.filter(|(task, _)| task.step == first_step(job));
    of_job.map(|(_, run)| run.worked).max().unwrap_or_default()
}

/// Guards against a job that gets a paced task beside one at full speed.
#[test]
fn a_job_of_which_a_task_was_just_placed_gets_no_paced_task() {
    let mut harness = with_serving_tasks(1, 1.25, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 0.05);
    let worker = harness.workers.values_mut().next().expect("one");
    worker.uncontended.insert(first_step(SERVING), 200.0);
    harness.run(Duration::from_secs(1));
    harness.submit("batch", &batch, spec(vec![best_effort(4)]));
    harness.run(Duration::from_secs(2));
    assert_eq!(place_of(&harness, &batch), None, "the worker is over its target");
    let worker = harness.workers.values_mut().next().expect("one");
    worker.uncontended.insert(first_step(SERVING), 100.0 / 1.9);
    harness.run(Duration::from_millis(100));
    harness.run(Duration::from_millis(100));
    let paced = harness.workers.values().flat_map(|worker| worker.runs.values());
    let speeds: Vec<u32> = paced.map(|run| run.speed).collect();
    let is_full = speeds.iter().filter(|speed| **speed == 100).count() > 1;
    let is_paced = speeds.iter().any(|speed| *speed < 100);
    assert!(!(is_full && is_paced), "speeds of the serving task and the batch tasks: {speeds:?}");
}

/// Guards against waits behind best-effort jobs that fit nowhere: each of them now counts as a search
/// in vain in each round.
#[test]
fn a_reserved_task_is_placed_while_many_best_effort_jobs_fit_nowhere() {
    let mut harness = Harness::new(&[16, 16]);
    harness.poll_all();
    let large = size::Bytes::new(60 << 30);
    let mut blocker = step(2, 2, Duration::from_millis(10));
    blocker.size.memory = large;
    harness.submit("batch", SERVING, spec(vec![blocker]));
    let other = "00000000000000a3";
    harness.submit("batch", other, spec(vec![step(2, 12, Duration::from_millis(10))]));
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(SERVING), Duration::from_secs(600));
        worker.work.insert(first_step(other), Duration::from_secs(8));
    }
    harness.run(Duration::from_secs(1));
    assert_eq!(harness.running().len(), 4, "both workers are full");
    let reserved = "00000000000000a2";
    harness.workers.values_mut().for_each(|worker| {
        worker.work.insert(first_step(reserved), Duration::from_secs(600));
    });
    harness.submit("batch", reserved, spec(vec![step(1, 14, Duration::from_millis(10))]));
    for number in 0..600 {
        let mut fills = Step { estimate: Duration::from_millis(10), ..best_effort(1) };
        fills.size.memory = large;
        harness.submit("urgent", &batch_name(number), spec(vec![fills]));
    }
    harness.run(Duration::from_secs(5));
    while place_of(&harness, other).is_some() {
        harness.advance(Duration::from_millis(50));
        harness.poll_all();
    }
    let mut passes = 0;
    while place_of(&harness, reserved).is_none() && passes < 400 {
        // One pass of placement, as in a tick of 50 ms.
        harness.advance(Duration::from_millis(50));
        let batch = harness.take_batch();
        if let Some(batch) = batch {
            harness.store(&batch);
        }
        harness.deliver();
        harness.poll_all();
        passes += 1;
    }
    assert!(passes < 20, "placed after {passes} passes of 50 ms");
}

/// Guards against a paced run at full speed: after a failed speed order, its speed counts as full, and
/// full speed is ordered although the serving task has no slack for it.
#[test]
fn a_paced_run_stays_slow_after_a_failed_speed_order() {
    let mut harness = with_serving_tasks(1, 1.3, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 0.9);
    // The tail shows the interference of a task half a second after its start.
    set_loss(&mut harness, &batch, 0.0);
    harness.submit("batch", &batch, spec(vec![best_effort(1)]));
    for _ in 0..30 {
        harness.advance(Duration::from_millis(100));
        harness.commit();
        for (target, start) in std::mem::take(&mut harness.starts) {
            let worker = harness.workers.get_mut(&target.worker).expect("known");
            let result = worker.start(&target, &start);
            harness.engine.start_answered(&target, &start, result, harness.now);
        }
        harness.collect();
        if !harness.speeds.is_empty() {
            break;
        }
        harness.poll_all();
    }
    let (target, speed) = harness.speeds.pop().expect("a reduced speed is ordered");
    assert!(speed.percent < 50, "the first speed is {}", speed.percent);
    harness.engine.speed_failed(&target, speed.task);
    harness.advance(Duration::from_millis(100));
    harness.poll_all();
    let ordered: Vec<u32> = harness.speeds.iter().map(|(_, speed)| speed.percent).collect();
    assert!(ordered.iter().all(|percent| *percent < 50), "ordered speeds in percent: {ordered:?}");
}

/// Guards against a takeover after which all paced runs go to full speed at once.
#[test]
fn paced_runs_stay_slow_after_a_takeover() {
    let mut harness = with_serving_tasks(2, 1.3, 0.0);
    for number in 0..4 {
        set_loss(&mut harness, &batch_name(number), 0.9);
        harness.submit("batch", &batch_name(number), spec(vec![best_effort(1)]));
    }
    harness.run(Duration::from_secs(5));
    harness.take_over();
    let mut fastest = 0;
    let mut least = f64::MAX;
    for _ in 0..50 {
        harness.run(Duration::from_millis(100));
        for worker in harness.workers.values() {
            let runs = worker.runs.iter().filter(|(task, _)| task.step != first_step(SERVING));
            fastest = fastest.max(runs.map(|(_, run)| run.speed).max().unwrap_or_default());
            least = least.min(worker.slack(first_step(SERVING)).unwrap_or(f64::MAX));
        }
    }
    assert!(fastest < 50 && least >= 1.0, "speed of {fastest} %, slack of {least}");
}

/// Guards against a speed that is raised on a tail that does not show the new task yet.
#[test]
fn a_paced_run_is_not_sped_up_before_its_effect_is_visible() {
    let mut harness = with_serving_tasks(1, 1.33, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 0.0);
    harness.submit("batch", &batch, spec(vec![best_effort(1)]));
    let mut speeds = Vec::new();
    for _ in 0..30 {
        harness.run(Duration::from_millis(100));
        let runs = harness.workers.values().flat_map(|worker| &worker.runs);
        let of_batch = runs.filter(|(task, _)| task.step == first_step(&batch));
        speeds.extend(of_batch.map(|(_, run)| run.speed));
        if speeds.len() == 5 {
            break;
        }
    }
    let initial = *speeds.first().expect("the task runs");
    let last = *speeds.last().expect("the task runs");
    assert!(last <= initial, "speeds in the first half second, in percent: {speeds:?}");
}

/// Guards against a run that hangs for good: a run at less than half of the full speed never counts as
/// hung.
#[test]
fn a_hung_run_at_a_reduced_speed_is_stopped() {
    let mut harness = with_serving_tasks(2, 1.3, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 0.9);
    harness.submit("batch", &batch, spec(vec![best_effort(1)]));
    harness.run(Duration::from_secs(3));
    let place = place_of(&harness, &batch).expect("the task runs");
    harness.workers.get_mut(&place).expect("known").hangs = true;
    harness.run(Duration::from_secs(40));
    let is_stopped = harness.events.iter().any(|event| matches!(event, Event::Stop { .. }));
    assert!(is_stopped, "the run has made no progress for 40 s");
}

/// Guards against a run that stays suspended although another worker takes it at full speed: the
/// search for another worker is made only while the slack is below 1.05, and the run speeds up again
/// only above 1.2.
#[test]
fn a_suspended_run_moves_once_another_worker_takes_it() {
    let mut harness = with_serving_tasks(2, 100.0 / 30.0, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 1.6);
    harness.submit("batch", &batch, spec(vec![best_effort(1)]));
    harness.run(Duration::from_secs(3));
    for worker in harness.workers.values_mut() {
        worker.uncontended.insert(first_step(SERVING), 100.0 / 1.15);
    }
    harness.run(Duration::from_secs(4));
    let place = place_of(&harness, &batch).expect("the task runs");
    for (id, worker) in &mut harness.workers {
        if *id != place {
            worker.uncontended.insert(first_step(SERVING), 30.0);
        }
    }
    let before = worked(&harness, &batch);
    harness.run(Duration::from_secs(10));
    let is_moved = place_of(&harness, &batch).is_some_and(|now| now != place);
    let done = worked(&harness, &batch).saturating_sub(before);
    assert!(is_moved || done >= Duration::from_secs(2), "suspended: worked for {done:?} in 10 s");
}

/// Guards against a run that stays suspended for good: what is known of its interference fades while
/// it is suspended, and then it is not considered for another worker.
#[test]
fn a_run_that_has_long_been_suspended_moves_once_another_worker_takes_it() {
    let mut harness = with_serving_tasks(2, 100.0 / 30.0, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 0.6);
    harness.submit("batch", &batch, spec(vec![best_effort(1)]));
    harness.run(Duration::from_secs(3));
    for worker in harness.workers.values_mut() {
        worker.uncontended.insert(first_step(SERVING), 100.0 / 1.02);
    }
    harness.run(Duration::from_secs(60));
    let place = place_of(&harness, &batch).expect("the task runs");
    for (id, worker) in &mut harness.workers {
        if *id != place {
            worker.uncontended.insert(first_step(SERVING), 30.0);
        }
    }
    harness.run(Duration::from_secs(10));
    assert_ne!(place_of(&harness, &batch), Some(place));
}

/// Guards against runs that are stopped for a place that only one of them gets.
#[test]
fn runs_are_not_evicted_to_a_place_that_another_one_takes() {
    let mut harness = with_serving_tasks(3, 100.0 / 30.0, 0.0);
    // Only the first worker takes best-effort tasks at first.
    let ids: Vec<id::Worker> = harness.workers.keys().cloned().collect();
    for id in &ids[1..] {
        let worker = harness.workers.get_mut(id).expect("known");
        worker.uncontended.insert(first_step(SERVING), 200.0);
    }
    harness.run(Duration::from_secs(1));
    for number in 0..4 {
        set_loss(&mut harness, &batch_name(number), 0.7);
        harness.submit("batch", &batch_name(number), spec(vec![best_effort(1)]));
        harness.run(Duration::from_millis(200));
    }
    harness.run(Duration::from_secs(3));
    let placed = harness.running().len() - 3;
    assert_eq!(placed, 4, "the tasks run");
    let first = harness.workers.get_mut(&ids[0]).expect("known");
    first.uncontended.insert(first_step(SERVING), 100.0);
    // The second worker takes one task.
    let second = harness.workers.get_mut(&ids[1]).expect("known");
    second.uncontended.insert(first_step(SERVING), 100.0 / 2.3);
    harness.run(Duration::from_secs(1));
    let stops = harness.events.iter().filter(|event| matches!(event, Event::Stop { .. })).count();
    let moved = harness.workers[&ids[1]].runs.len() - 1;
    assert!(stops <= moved, "{stops} runs stopped, {moved} of them moved");
}

/// Guards against a run that stays suspended while tasks of later jobs run beside it: a new task is
/// accepted down to a slack of 1.05, and a suspended one goes on above 1.2 only.
#[test]
fn a_suspended_run_goes_on_before_new_tasks_are_placed_beside_it() {
    let mut harness = with_serving_tasks(1, 100.0 / 30.0, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 0.8);
    harness.submit("batch", &batch, spec(vec![best_effort(1)]));
    harness.run(Duration::from_secs(3));
    let set = |harness: &mut Harness, slack: f64| {
        let worker = harness.workers.values_mut().next().expect("one");
        worker.uncontended.insert(first_step(SERVING), 100.0 / slack);
    };
    set(&mut harness, 1.0);
    harness.run(Duration::from_secs(2));
    set(&mut harness, 1.22);
    let before = worked(&harness, &batch);
    let later = batch_name(1);
    set_loss(&mut harness, &later, 0.1);
    harness.submit("batch", &later, spec(vec![best_effort(1)]));
    harness.run(Duration::from_secs(10));
    let done = worked(&harness, &batch).saturating_sub(before);
    let other = worked(&harness, &later);
    assert!(!done.is_zero(), "the first run worked for {done:?}, the later one for {other:?}");
}

/// Guards against reserved tasks that wait for the memory of a suspended run for as long as the serving
/// tasks are busy.
#[test]
fn a_suspended_run_does_not_keep_its_memory_from_a_reserved_task() {
    let mut harness = with_serving_tasks(1, 100.0 / 30.0, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 1.6);
    let mut fills = best_effort(1);
    fills.size.memory = size::Bytes::new(60 << 30);
    harness.submit("batch", &batch, spec(vec![fills]));
    harness.run(Duration::from_secs(3));
    assert!(place_of(&harness, &batch).is_some(), "the task runs");
    let worker = harness.workers.values_mut().next().expect("one");
    worker.uncontended.insert(first_step(SERVING), 100.0 / 1.02);
    harness.run(Duration::from_secs(2));
    let reserved = "00000000000000a2";
    let mut urgent = step(1, 2, Duration::from_secs(1));
    urgent.size.memory = size::Bytes::new(8 << 30);
    harness.submit("urgent", reserved, spec(vec![urgent]));
    let is_placed = |event: &Event| match event {
        Event::Place { task, .. } => task.step == first_step(reserved),
        _ => false,
    };
    harness.run(Duration::from_secs(10));
    assert!(harness.events.iter().any(is_placed), "not placed within 10 s");
}

/// Guards against jobs that stand still while the serving tasks of all workers are just above their
/// target, by their own load or by what the machines add to their tails.
#[test]
fn a_job_runs_while_all_serving_tasks_are_close_to_their_target() {
    for slack in [1.04, 0.95] {
        let mut harness = with_serving_tasks(2, slack, 0.0);
        let batch = batch_name(0);
        set_loss(&mut harness, &batch, 0.0);
        harness.submit("batch", &batch, spec(vec![best_effort(1)]));
        harness.run(Duration::from_secs(4));
        let placed = place_of(&harness, &batch).is_some();
        assert!(placed, "nothing ran for 4 s at a slack of {slack}");
    }
}

/// Guards against a run that stays suspended for good once the serving tasks beside it have no users,
/// because a tail latency of zero was taken for none.
#[test]
fn a_suspended_run_goes_on_when_the_serving_tasks_have_no_users() {
    let mut harness = with_serving_tasks(1, 0.95, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 0.5);
    harness.submit("batch", &batch, spec(vec![best_effort(1)]));
    harness.run(Duration::from_secs(5));
    assert_eq!(worked(&harness, &batch), Duration::ZERO, "the run is suspended");
    harness.worker(0).is_unused = true;
    harness.run(Duration::from_secs(5));
    assert!(worked(&harness, &batch) > Duration::from_secs(1));
}

/// Guards against evictions that make more tasks of a step unavailable than it permits.
#[test]
fn evictions_respect_the_limit_on_unavailable_tasks() {
    let mut harness = with_serving_tasks(3, 100.0 / 30.0, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 1.6);
    let lasting =
        Step { long_running: true, unavailable_max: Some(1), per_worker: 1, ..best_effort(2) };
    harness.submit("batch", &batch, spec(vec![lasting]));
    harness.run(Duration::from_secs(3));
    let places: Vec<id::Worker> = harness
        .running()
        .into_iter()
        .filter(|(_, task)| task.step == first_step(&batch))
        .map(|(id, _)| id)
        .collect();
    assert_eq!(places.len(), 2, "both tasks run");
    for id in &places {
        let worker = harness.workers.get_mut(id).expect("known");
        worker.uncontended.insert(first_step(SERVING), 100.0 / 1.02);
        // The stop of one run is still under way when the other one could be evicted.
        worker.stop_time = Duration::from_secs(5);
    }
    harness.run(Duration::from_secs(4));
    let stops = harness.events.iter().filter(|event| matches!(event, Event::Stop { .. })).count();
    assert!(stops <= 1, "{stops} tasks stopped");
}

/// Guards against the same when one task needs the room of several slow tasks of a step: each of them
/// alone may be stopped.
#[test]
fn the_room_of_one_task_takes_no_more_of_a_step_than_may_be_unavailable() {
    let mut harness = with_serving_tasks(1, 100.0 / 30.0, 0.0);
    let batch = batch_name(0);
    set_loss(&mut harness, &batch, 0.5);
    let memory = |gibibytes: u64| size::Bytes::new(gibibytes << 30);
    let mut slow = Step { long_running: true, unavailable_max: Some(1), ..best_effort(2) };
    slow.size.memory = memory(20);
    harness.submit("batch", &batch, spec(vec![slow]));
    harness.run(Duration::from_secs(4));
    let own = |harness: &Harness| {
        harness.running().iter().filter(|(_, task)| task.step == first_step(&batch)).count()
    };
    assert_eq!(own(&harness), 2, "both tasks run");
    let worker = harness.worker(0);
    worker.uncontended.insert(first_step(SERVING), 100.0 / 1.02);
    worker.stop_time = Duration::from_secs(5);
    harness.run(Duration::from_secs(2));
    let slow = harness.worker(0).runs.iter().filter(|(task, _)| task.step == first_step(&batch));
    assert!(slow.map(|(_, run)| run.speed).all(|speed| speed < 30), "both are slow");
    let mut reserved = step(1, 1, Duration::from_secs(60));
    reserved.size.memory = memory(50);
    harness.submit("urgent", "00000000000000a2", spec(vec![reserved]));
    harness.run(Duration::from_secs(4));
    let stops = harness.events.iter().filter(|event| matches!(event, Event::Stop { .. })).count();
    assert!(stops <= 1, "{stops} tasks stopped");
}
