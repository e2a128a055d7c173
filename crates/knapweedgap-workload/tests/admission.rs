//! Admission while more work arrives than the workers can do.

mod support;

use std::time::Duration;

use knapweedgap_core::id;
use knapweedgap_workload::admission::{self, Decision, Load};
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::job::{ESTIMATE_MAX, State, Step};
use support::{Harness, configuration, spec, step};

const SECOND: Duration = Duration::from_secs(1);

/// Guards against refusal of jobs that the workers would finish in time.
#[test]
fn a_backlog_within_the_objective_is_accepted() {
    let load = Load { work: 4_000 * 1_000, processors: 4_000 };
    assert_eq!(load.backlog(), SECOND);
    assert_eq!(admission::decide(&load, SECOND * 2), Decision::Accept);
}

/// Guards against accepted jobs that finish too late to be useful, and against retries before the
/// backlog has shrunk.
#[test]
fn a_longer_backlog_is_refused_until_it_has_shrunk() {
    let load = Load { work: 10 * 4_000 * 1_000, processors: 4_000 };
    let decision = admission::decide(&load, SECOND * 2);
    let Decision::Refuse(after) = decision else { panic!("accepted") };
    assert!(after >= SECOND * 8 && after <= SECOND * 10, "{after:?}");
}

/// Guards against long-running tasks that use up the capacity for urgent short tasks. Replays the
/// peak of scale-2 of anbo-grid at a small size: long-running jobs request more than the workers
/// have, then urgent jobs arrive.
#[test]
fn urgent_jobs_get_capacity_despite_long_running_jobs() {
    let mut harness = Harness::new(&[16, 16, 16, 16]);
    harness.poll_all();
    let mut long_running = step(2, 2, SECOND);
    long_running.long_running = true;
    let mut accepted = 0;
    for index in 0..20 {
        let name = format!("{:016x}", 0x100 + index);
        let ticket = harness.submit("batch", &name, spec(vec![long_running.clone()]));
        harness.commit();
        accepted += usize::from(harness.answers.get(&ticket) == Some(&Answer::Accepted));
    }
    assert!(accepted >= 12, "most of the capacity may be reserved: {accepted}");
    for index in 0..4 {
        let name = format!("{:016x}", 0x200 + index);
        harness.submit("urgent", &name, spec(vec![step(2, 1, SECOND)]));
    }
    harness.run(SECOND * 2);
    for index in 0..4 {
        let name = format!("{:016x}", 0x200 + index);
        assert_eq!(harness.show("urgent", &name), Answer::State(State::Completed));
    }
}

/// Guards against refusal of urgent jobs because of the backlog of less urgent jobs.
#[test]
fn less_urgent_work_does_not_count_against_urgent_jobs() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    for index in 0..4 {
        let name = format!("{:016x}", 0x100 + index);
        harness.submit("batch", &name, spec(vec![step(4, 1, SECOND * 2)]));
        harness.commit();
    }
    let refused = harness.submit("batch", "00000000000000aa", spec(vec![step(4, 1, SECOND)]));
    let urgent = harness.submit("urgent", "00000000000000bb", spec(vec![step(4, 1, SECOND)]));
    harness.commit();
    let answer = harness.answers.get(&refused);
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
    assert_eq!(harness.answers.get(&urgent), Some(&Answer::Accepted));
}

/// Label of the only worker of a rack.
const LONE_RACK: &str = "rack-lone";

/// Returns an owner of three workers that has lost the only worker with [`LONE_RACK`], on which the
/// given step waits.
fn harness_with_work_for_a_lost_rack(waiting: Step) -> Harness {
    let mut harness = Harness::new(&[4, 4, 64]);
    harness.worker(2).listed.labels = vec![LONE_RACK.into()];
    harness.list_workers();
    harness.poll_all();
    let ticket = harness.submit("urgent", "00000000000000aa", spec(vec![waiting]));
    harness.commit();
    assert_eq!(harness.answers.get(&ticket), Some(&Answer::Accepted));
    harness.worker(2).fail();
    harness.list_workers();
    harness.run(SECOND * 12);
    harness
}

fn submit(harness: &mut Harness, job: &str, step: Step) -> Option<Answer> {
    let ticket = harness.submit("urgent", job, spec(vec![step]));
    harness.commit();
    harness.answers.remove(&ticket)
}

/// Guards against refusals with idle workers: work that no worker can run takes no capacity.
#[test]
fn work_for_a_lost_rack_does_not_count_as_backlog() {
    let lone = Step { requires: Some(LONE_RACK.into()), ..step(60, 1, SECOND * 30) };
    let mut harness = harness_with_work_for_a_lost_rack(lone);
    let answer = submit(&mut harness, "00000000000000bb", step(2, 1, SECOND));
    assert_eq!(answer, Some(Answer::Accepted));
}

/// Guards against refusals of long-running jobs because of others that no worker can run.
#[test]
fn long_running_tasks_for_a_lost_rack_reserve_nothing() {
    let lone = Step { requires: Some(LONE_RACK.into()), long_running: true, ..step(40, 1, SECOND) };
    let mut harness = harness_with_work_for_a_lost_rack(lone);
    let long_running = Step { long_running: true, ..step(2, 1, SECOND) };
    let answer = submit(&mut harness, "00000000000000bb", long_running);
    assert_eq!(answer, Some(Answer::Accepted));
}

/// Guards against a job that is accepted although it can never run.
#[test]
fn a_gang_wider_than_the_fleet_is_refused() {
    let mut harness = Harness::new(&[4, 4]);
    harness.poll_all();
    let gang = Step { gang: true, ..step(9, 1, Duration::from_millis(100)) };
    let answer = submit(&mut harness, "00000000000000aa", gang.clone());
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
    let answer = submit(&mut harness, "00000000000000bb", Step { count: 8, ..gang });
    assert_eq!(answer, Some(Answer::Accepted));
}

/// Guards against refusals because of work that runs on the workers of another service.
#[test]
fn work_of_another_service_does_not_count_as_backlog() {
    let other: id::Service = "other".parse().expect("valid");
    let mut harness = Harness::new(&[4, 4]);
    harness.worker(1).listed.service = other.clone();
    let mut two_services = configuration(2);
    two_services.queues[1].policy.service = other;
    two_services.queues[1].policy.priority = 0;
    harness.engine.set_configuration(two_services);
    harness.list_workers();
    harness.poll_all();
    for index in 0..4 {
        let name = format!("{:016x}", 0x100 + index);
        harness.submit("batch", &name, spec(vec![step(4, 1, SECOND * 4)]));
        harness.commit();
    }
    let answer = submit(&mut harness, "00000000000000bb", step(4, 1, SECOND / 2));
    assert_eq!(answer, Some(Answer::Accepted));
}

/// Guards against a panic of the owner by a run time that a client declares: multiples of it don't fit
/// a duration, or are added to times.
#[test]
fn a_run_time_out_of_range_is_refused() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    let times = [Duration::MAX, Duration::from_secs(1_000_000_000_000_000_000), ESTIMATE_MAX * 2];
    for (index, time) in times.into_iter().enumerate() {
        let answer = submit(&mut harness, &format!("{:016x}", 0x100 + index), step(1, 1, time));
        assert!(matches!(answer, Some(Answer::Invalid(_))), "{time:?}: {answer:?}");
    }
}

/// Guards against the same with the longest run time that is accepted and any factor that an operator
/// sets.
#[test]
fn the_longest_run_times_and_any_factor_overflow_nothing() {
    for slowdown in [2.0, 1e12, 1e300, -1.0, f64::NAN, f64::INFINITY] {
        let mut harness = Harness::new(&[4]);
        let mut scaled = configuration(2);
        scaled.queues.iter_mut().for_each(|queue| queue.policy.slowdown = slowdown);
        harness.engine.set_configuration(scaled);
        harness.poll_all();
        let chain = (0..64).map(|position| {
            let after = if position > 0 { vec![position - 1] } else { Vec::new() };
            Step { after, ..step(64, 4, ESTIMATE_MAX) }
        });
        for index in 0..3 {
            let job = spec(chain.clone().collect());
            harness.submit("batch", &format!("{:016x}", 0x100 + index), job);
        }
        harness.run(SECOND);
        assert!(!harness.running().is_empty(), "factor {slowdown}");
    }
}
