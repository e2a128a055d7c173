//! Conditions that keep a ready step from every worker at once. Each must end within the time for
//! which a job may stand still while there is capacity; `docs/decisions/waiting.md` lists them.

mod support;

use std::time::Duration;

use knapweedgap_core::size;
use knapweedgap_workload::configuration::Advice;
use knapweedgap_workload::engine::TICK;
use knapweedgap_workload::event::Event;
use knapweedgap_workload::job::Step;
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::serving::{
    BATCH, IDLE_MAX, OVER_TARGET_MAX, SERVING, best_effort, first_step, longest_times, running,
    with_serving_tasks,
};
use support::{Harness, Worker, configuration, listed, spec, step};

const ROUND: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(600);

/// Returns the time until a task of a job runs, up to `limit`.
fn time_until_start(harness: &mut Harness, job: &str, limit: Duration) -> Duration {
    let mut time = Duration::ZERO;
    while running(harness, job) == 0 && time < limit {
        harness.run(ROUND);
        time += ROUND;
    }
    time
}

/// Guards against best-effort gangs that stand still for as long as the serving tasks of all workers
/// are busy: only single tasks were placed at a reduced speed.
#[test]
fn a_best_effort_gang_runs_slowly_while_no_worker_has_the_slack_for_full_speed() {
    for loss in [0.05, 0.4, 0.9] {
        let mut harness = with_serving_tasks(2, 1.2, loss);
        for worker in harness.workers.values_mut() {
            worker.work.insert(first_step(BATCH), Duration::from_secs(60));
        }
        let gang = Step { gang: true, ..best_effort(2) };
        harness.submit("batch", BATCH, spec(vec![gang]));
        let (idle, over) = longest_times(&mut harness, Duration::from_secs(15));
        assert!(idle < IDLE_MAX, "nothing ran for {idle:?} at a loss of {loss}");
        assert!(over < OVER_TARGET_MAX, "over the target for {over:?} at a loss of {loss}");
        assert_eq!(running(&harness, BATCH), 2, "a gang runs as a whole, at a loss of {loss}");
    }
}

/// Guards against a gang that waits for ever for one rack, whose free capacity covers it while its
/// limit for each worker does not.
#[test]
fn a_gang_that_its_limit_keeps_from_one_rack_spans_racks() {
    let mut harness = Harness::new(&[16, 16]);
    harness.worker(1).listed.rack = Some("rack-2".into());
    harness.list_workers();
    harness.poll_all();
    let gang = Step { gang: true, same_rack: true, per_worker: 1, ..step(2, 1, LONG) };
    harness.submit("batch", BATCH, spec(vec![gang]));
    let time = time_until_start(&mut harness, BATCH, IDLE_MAX);
    assert!(time < IDLE_MAX, "nothing runs after {time:?}");
    assert_eq!(running(&harness, BATCH), 2);
}

/// Guards against workers that stay closed after a failed call to each of them.
#[test]
fn workers_open_again_after_a_failed_call_to_each() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.submit("batch", BATCH, spec(vec![step(1, 1, LONG)]));
    for worker in harness.workers.values_mut() {
        worker.is_isolated = true;
    }
    harness.poll_all();
    harness.run(ROUND);
    assert!(harness.events.iter().all(|event| !matches!(event, Event::Place { .. })));
    for worker in harness.workers.values_mut() {
        worker.is_isolated = false;
    }
    let time = time_until_start(&mut harness, BATCH, IDLE_MAX);
    assert!(time < IDLE_MAX, "nothing runs after {time:?}");
}

/// Guards against workers whose reports are older than permitted whenever a placement is tried: they
/// answer late, so they are open only right after an answer.
#[test]
fn workers_that_answer_late_are_open_after_each_answer() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    harness.submit("batch", BATCH, spec(vec![step(1, 1, LONG)]));
    harness.advance(Duration::from_millis(1_900));
    harness.commit();
    harness.deliver();
    assert_eq!(running(&harness, BATCH), 0, "the reports are too old");
    harness.poll_all();
    harness.commit();
    harness.deliver();
    assert_eq!(running(&harness, BATCH), 1);
}

/// Guards against workers that stay closed because of an entry for another incarnation that they do
/// not have, or that they had before the owner heard it from them.
#[test]
fn workers_open_again_after_an_entry_of_another_incarnation() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    let entries = || vec![listed("worker-0", 8, 2), listed("worker-1", 8, 2)];
    // The processes still answer as the listed former incarnation, and restart later.
    harness.advance(ROUND);
    harness.engine.workers_listed(entries(), harness.now);
    harness.run(ROUND);
    harness.submit("batch", BATCH, spec(vec![step(1, 1, LONG)]));
    let time = time_until_start(&mut harness, BATCH, IDLE_MAX);
    assert!(time < IDLE_MAX, "closed for {time:?} by an entry that the workers contradict");
    for worker in harness.workers.values_mut() {
        worker.restart();
    }
    harness.run(ROUND * 3);
    harness.list_workers();
    let time = time_until_start(&mut harness, BATCH, IDLE_MAX);
    assert!(time < IDLE_MAX, "closed for {time:?} after the entries were read again");
}

/// Guards against idle jobs that wait for their turn behind other idle jobs: each placement at a
/// reduced speed counted as a search in vain, so few were made in a pass.
#[test]
fn many_idle_jobs_run_slowly_within_the_bound() {
    let jobs = 1_200;
    let mut harness = with_serving_tasks(2, 1.095, 0.0);
    let mut small = best_effort(1);
    small.size.memory = size::Bytes::new(1 << 20);
    small.size.processor = size::Processor::from_milli(1);
    let ids: Vec<String> = (0..jobs).map(|index| format!("{:016x}", 0x100 + index)).collect();
    for id in &ids {
        for worker in harness.workers.values_mut() {
            worker.work.insert(first_step(id), LONG);
        }
        harness.submit("batch", id, spec(vec![small.clone()]));
    }
    let mut remaining = IDLE_MAX;
    while !remaining.is_zero() {
        // One pass a tick, as in operation.
        harness.advance(TICK);
        remaining = remaining.saturating_sub(TICK);
        if let Some(batch) = harness.take_batch() {
            harness.store(&batch);
        }
        harness.deliver();
        harness.poll_all();
    }
    let idle = ids.iter().filter(|id| running(&harness, id) == 0).count();
    assert_eq!(idle, 0, "jobs of which nothing runs");
}

/// Guards against a job that is paced to full speed, or not at all, because the order of its speed
/// got lost.
#[test]
fn a_lost_order_of_the_first_speed_neither_stops_the_job_nor_harms_for_long() {
    let mut harness = with_serving_tasks(2, 1.2, 0.9);
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(BATCH), LONG);
    }
    harness.submit("batch", BATCH, spec(vec![best_effort(1)]));
    let mut is_lost = false;
    for _ in 0..40 {
        harness.advance(ROUND);
        harness.commit();
        for (target, start) in std::mem::take(&mut harness.starts) {
            let worker = harness.workers.get_mut(&target.worker).expect("known");
            let result = worker.start(&target, &start);
            harness.engine.start_answered(&target, &start, result, harness.now);
        }
        harness.collect();
        for (target, speed) in std::mem::take(&mut harness.speeds) {
            harness.engine.speed_failed(&target, speed.task);
            is_lost = true;
        }
        if is_lost {
            break;
        }
        harness.poll_all();
    }
    assert!(is_lost, "the speed was ordered");
    let (idle, over) = longest_times(&mut harness, Duration::from_secs(10));
    assert!(idle < IDLE_MAX, "nothing ran for {idle:?}");
    assert!(over < OVER_TARGET_MAX, "over the target for {over:?}");
}

/// Guards against a job that the next owner leaves idle, because the time for which it has been idle
/// is not stored.
#[test]
fn a_job_runs_slowly_soon_after_a_takeover() {
    let mut harness = with_serving_tasks(2, 1.2, 0.4);
    harness.submit("batch", BATCH, spec(vec![best_effort(2)]));
    harness.run(Duration::from_millis(500));
    assert_eq!(running(&harness, BATCH), 0);
    harness.hand_over();
    let time = time_until_start(&mut harness, BATCH, IDLE_MAX);
    assert!(time < IDLE_MAX, "nothing runs after {time:?}");
}

/// Guards against a job that stands still while the slack of all workers is just above the target.
#[test]
fn a_job_runs_while_the_serving_tasks_just_meet_their_target() {
    let mut harness = with_serving_tasks(2, 1.02, 0.05);
    harness.submit("batch", BATCH, spec(vec![best_effort(2)]));
    let (idle, over) = longest_times(&mut harness, Duration::from_secs(15));
    assert!(idle < IDLE_MAX, "nothing ran for {idle:?}");
    assert!(over < OVER_TARGET_MAX, "over the target for {over:?}");
}

/// Guards against a stop that gains nothing: members of a gang interfere and another worker has room
/// for one of them, but a gang ends and is placed as a whole.
#[test]
fn a_gang_is_not_stopped_for_a_worker_that_takes_one_member() {
    let mut harness = with_serving_tasks(2, 2.5, 1.6);
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(BATCH), LONG);
    }
    let gang = Step { gang: true, per_worker: 1, ..best_effort(2) };
    harness.submit("batch", BATCH, spec(vec![gang]));
    harness.run(Duration::from_secs(4));
    assert_eq!(running(&harness, BATCH), 2);
    let spare = Worker::new(listed("worker-2", 16, 1));
    harness.workers.insert(spare.listed.id.clone(), spare);
    harness.list_workers();
    harness.run(ROUND * 3);
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(BATCH), LONG);
        if worker.uncontended.contains_key(&first_step(SERVING)) {
            worker.uncontended.insert(first_step(SERVING), 100.0 / 1.2);
        }
    }
    let (mut idle, mut longest_idle) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..300 {
        harness.run(ROUND);
        if running(&harness, BATCH) == 1 {
            // The platform ends a gang as a whole.
            for worker in harness.workers.values_mut() {
                let members: Vec<task::Id> = worker.runs.keys().copied().collect();
                for member in members.into_iter().filter(|id| id.step == first_step(BATCH)) {
                    worker.end(member, Cause::GangEnded);
                }
            }
        }
        idle = if running(&harness, BATCH) > 0 { Duration::ZERO } else { idle + ROUND };
        longest_idle = longest_idle.max(idle);
    }
    let stops = harness.events.iter().filter(|event| matches!(event, Event::Stop { .. })).count();
    assert!(longest_idle < IDLE_MAX, "nothing ran for {longest_idle:?}");
    assert_eq!(stops, 0, "a stop throws work away and gains nothing");
}

/// Guards against a task that counts as assigned for as long as its worker does not answer the stop
/// that was ordered, although it works on other calls.
#[test]
fn a_stop_that_gets_lost_is_repeated() {
    let mut harness = Harness::new(&[8, 8]);
    harness.poll_all();
    let lasting = Step { long_running: true, ..step(1, 2, LONG) };
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(BATCH), LONG);
    }
    harness.submit("batch", BATCH, spec(vec![lasting]));
    harness.run(Duration::from_secs(1));
    let (id, _) = harness.running().first().cloned().expect("the task runs");
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.listed.draining = true;
    harness.list_workers();
    harness.commit();
    assert!(!std::mem::take(&mut harness.stops).is_empty(), "the stop is sent and lost");
    let mut time = Duration::ZERO;
    let elsewhere = |harness: &Harness| harness.running().iter().any(|(worker, _)| *worker != id);
    while !elsewhere(&harness) && time < IDLE_MAX {
        harness.run(ROUND);
        time += ROUND;
    }
    assert!(time < IDLE_MAX, "it runs nowhere else after {time:?}");
}

/// Guards against jobs of a queue with placement advice that wait although the service allows
/// workers: each job waits for its turn at the service.
#[test]
fn a_job_with_advice_runs_soon_after_the_service_allows_a_worker() {
    let mut harness = Harness::new(&[8, 8]);
    let mut advised = configuration(2);
    for queue in &mut advised.queues {
        queue.policy.advice = Some(Advice {
            decision_time: ROUND,
            time_per_worker: Duration::from_millis(5),
            validity: Duration::from_secs(3),
        });
    }
    harness.engine.set_configuration(advised);
    harness.poll_all();
    harness.submit("batch", BATCH, spec(vec![step(1, 1, LONG)]));
    let mut time = Duration::ZERO;
    let mut answered = 0;
    while running(&harness, BATCH) == 0 && time < IDLE_MAX {
        harness.run(ROUND);
        time += ROUND;
        for (step, workers) in std::mem::take(&mut harness.advice_requests) {
            answered += 1;
            // The first call fails.
            let allowed = workers.into_iter().map(|id| (id, "ticket".into())).collect();
            let answer = (answered > 1).then_some((allowed, Duration::from_secs(3)));
            harness.engine.advice_answered(step, answer, harness.now, harness.now);
        }
    }
    assert!(time < IDLE_MAX, "nothing runs after {time:?}");
}

/// Guards against a worker that stays closed for ever: its entry is read, the former process still
/// answers once, and then the next one answers. Entries are written again at each heartbeat.
#[test]
fn a_worker_opens_with_the_next_entry_after_its_size_got_lost() {
    let mut harness = Harness::new(&[8]);
    harness.poll_all();
    harness.submit("batch", BATCH, spec(vec![step(1, 1, LONG)]));
    harness.advance(ROUND);
    harness.engine.workers_listed(vec![listed("worker-0", 8, 2)], harness.now);
    harness.advance(ROUND);
    harness.poll_all();
    harness.worker(0).restart();
    harness.poll_all();
    harness.run(ROUND * 3);
    assert_eq!(running(&harness, BATCH), 0, "the size of the new process is not known");
    harness.engine.worker_listed(listed("worker-0", 8, 2), harness.now);
    let time = time_until_start(&mut harness, BATCH, IDLE_MAX);
    assert!(time < IDLE_MAX, "nothing runs after {time:?}");
}

/// Guards against a task of a long-running best-effort step that stands still because another task of
/// its job runs.
#[test]
fn each_task_of_a_long_running_best_effort_step_runs() {
    let mut harness = with_serving_tasks(2, 1.2, 0.2);
    for worker in harness.workers.values_mut() {
        worker.work.insert(first_step(BATCH), LONG);
    }
    let lasting = Step { long_running: true, per_worker: 1, ..best_effort(2) };
    harness.submit("batch", BATCH, spec(vec![lasting]));
    harness.run(Duration::from_secs(6));
    assert_eq!(running(&harness, BATCH), 2);
}
