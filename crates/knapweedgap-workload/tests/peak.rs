//! Admission at peak load, with simulated workers.

mod support;

use std::time::{Duration, Instant};

use knapweedgap_workload::api::{Answer, Verb};
use knapweedgap_workload::backlog::{self, Backlog};
use knapweedgap_workload::job::Step;
use knapweedgap_workload::rank::{self, Rank};
use knapweedgap_workload::turn::{Caller, TURN, TURNS_MAX, Turns};
use support::replay::{Load, replay};
use support::{Harness, configuration, spec, step};

/// Number of replays of each load.
const SEEDS: u64 = 4;

fn burst() -> Load {
    Load { workers: vec![8; 8], widths: vec![1, 2], rate: 0.8, burst: 2.5, together: 0 }
}

fn mixed_widths() -> Load {
    Load { workers: vec![16; 4], widths: vec![1, 1, 1, 7, 9], rate: 0.7, burst: 2.5, together: 0 }
}

/// Guards against an admission that accepts what it can't complete in useful time, or that refuses
/// what it could. The bounds are what the admission by all accepted work reached with these seeds.
#[test]
fn a_burst_completes_as_many_jobs_in_time() {
    for (load, in_time, useful) in [(burst(), 1_871, 2_136), (mixed_widths(), 693, 806)] {
        let outcome = replay(&load, SEEDS);
        println!("{outcome:?} value={}", outcome.value());
        assert!(outcome.in_time >= in_time, "{outcome:?}");
        assert!(outcome.in_time + outcome.useful >= useful, "{outcome:?}");
    }
}

/// Bound on the refused attempts of 2,400 jobs. There are 4,011 if all callers are told the time after
/// which there is room for the first one.
const REFUSALS_MAX: u32 = 3_000;

/// Guards against refused callers that return together until their retries are used up.
#[test]
fn callers_that_are_refused_together_return_in_turns() {
    let load = Load { rate: 0.0, together: 600, ..burst() };
    let outcome = replay(&load, SEEDS);
    println!("{outcome:?} value={}", outcome.value());
    assert!(outcome.refusals <= REFUSALS_MAX, "{outcome:?}");
}

/// Returns an owner of 64 cores with eight chains of steps that have missed their objective. Each
/// of them runs one task of one core at a time, so that 56 cores are free.
fn harness_with_late_chains() -> Harness {
    let mut harness = Harness::new(&[8; 8]);
    harness.poll_all();
    let chain: Vec<Step> = (0..20)
        .map(|position| {
            let after = if position > 0 { vec![position - 1] } else { Vec::new() };
            Step { after, ..step(1, 1, Duration::from_secs(1)) }
        })
        .collect();
    for index in 0..8 {
        let name = format!("{:016x}", 0x100 + index);
        let ticket = harness.submit("urgent", &name, spec(chain.clone()));
        harness.commit();
        assert_eq!(harness.answers.get(&ticket), Some(&Answer::Accepted));
    }
    // The objective of each job is 500 ms from here on.
    let mut short = configuration(2);
    short.queues.iter_mut().for_each(|queue| queue.policy.slowdown = 0.0);
    harness.engine.set_configuration(short);
    harness.run(Duration::from_millis(700));
    harness
}

/// Guards against refusals while workers are free: late work runs after a newcomer.
#[test]
fn late_work_does_not_count_against_a_newcomer() {
    let mut harness = harness_with_late_chains();
    assert_eq!(harness.running().len(), 8);
    let narrow = step(2, 1, Duration::from_millis(200));
    let ticket = harness.submit("urgent", "00000000000000aa", spec(vec![narrow]));
    harness.commit();
    assert_eq!(harness.answers.get(&ticket), Some(&Answer::Accepted));
}

/// Guards against refusals because of work that was cancelled, from the next tick on.
#[test]
fn cancelled_jobs_take_no_room() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    let wide = || spec(vec![step(4, 4, Duration::from_secs(2))]);
    harness.submit("urgent", "00000000000000aa", wide());
    let refused = harness.submit("urgent", "00000000000000bb", wide());
    let answer = harness.answers.get(&refused);
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
    harness.request("urgent", "00000000000000aa", Verb::Cancel);
    harness.commit();
    let accepted = harness.submit("urgent", "00000000000000bb", wide());
    harness.commit();
    assert_eq!(harness.answers.get(&accepted), Some(&Answer::Accepted));
}

/// Guards against more accepted jobs than the workers can do while no commit is stored: jobs that
/// were accepted and not stored take room.
#[test]
fn jobs_count_before_they_are_stored() {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    let mut refused = 0;
    for index in 0..20 {
        let name = format!("{:016x}", 0x100 + index);
        let ticket =
            harness.submit("urgent", &name, spec(vec![step(4, 1, Duration::from_secs(1))]));
        refused += usize::from(harness.answers.contains_key(&ticket));
        let _unstored = harness.take_batch();
    }
    // The objective is 2.5 s, and each job takes all processors for 1 s.
    assert_eq!(refused, 17);
}

/// Guards against an owner that is kept busy by submissions: the known jobs are visited once for all
/// submissions between two ticks, of any queue.
#[test]
fn submissions_between_two_ticks_share_one_visit_of_the_known_jobs() {
    let mut harness = Harness::new(&[64; 16]);
    harness.poll_all();
    let narrow = || spec(vec![step(1, 1, Duration::from_secs(2))]);
    for index in 0..1_000 {
        harness.submit("urgent", &format!("{:016x}", 0x1000 + index), narrow());
    }
    harness.commit();
    let before = harness.engine.job_visits();
    for index in 0..500 {
        let queue = if index % 2 == 0 { "urgent" } else { "batch" };
        harness.submit(queue, &format!("{:016x}", 0x8000 + index), narrow());
    }
    let visits = harness.engine.job_visits() - before;
    assert!(visits <= 1_500, "{visits}");
}

fn rank(priority: u32, start_by: Duration, now: Instant) -> Rank {
    let step = rank::Step {
        long_running: false,
        priority,
        accepted_at: now,
        objective: start_by,
        run_time: Duration::ZERO,
    };
    step.rank(now)
}

/// Guards against work that counts against a newcomer although it goes after it, or the other way
/// round.
#[test]
fn work_ahead_is_that_of_lower_ranks() {
    let now = Instant::now();
    let mut backlog = Backlog::new(now);
    let times = [0, 10, 40, 700, 3_000, 90_000].map(Duration::from_millis);
    for (position, &time) in times.iter().enumerate() {
        for priority in 0..3 {
            backlog.add_waiting(&rank(priority, time, now), 1 << (6 * priority + position as u32));
        }
    }
    for (position, &time) in times.iter().enumerate() {
        for priority in 0..3 {
            let ahead = (1 << (6 * priority + position as u32 + 1)) - 1;
            assert_eq!(backlog.ahead_of(&rank(priority, time, now)), ahead);
        }
    }
    backlog.add_running(1 << 40);
    assert_eq!(backlog.ahead_of(&rank(0, Duration::ZERO, now)), (1 << 40) + 1);
}

/// Guards against work that has missed its objective and holds up newcomers.
#[test]
fn late_work_stands_behind() {
    let now = Instant::now();
    let mut backlog = Backlog::new(now);
    let late = rank::Step {
        long_running: false,
        priority: 0,
        accepted_at: now,
        objective: Duration::from_secs(1),
        run_time: Duration::ZERO,
    };
    backlog.add_waiting(&late.rank(now + Duration::from_secs(2)), 1_000);
    assert_eq!(backlog.ahead_of(&rank(2, Duration::from_secs(9), now)), 0);
}

/// Guards against a run that counts as ended because it has reached its declared run time.
#[test]
fn a_run_beyond_its_estimate_is_expected_to_go_on() {
    let second = Duration::from_secs(1);
    assert_eq!(backlog::remaining(second, second / 4), second * 3 / 4);
    assert_eq!(backlog::remaining(second, second), second / 4);
    assert_eq!(backlog::remaining(second, second * 4), second);
}

/// Caller of a job that takes one core for 1 s and can't meet its objective any more.
const LATE_CALLER: Caller =
    Caller { room: Duration::from_millis(500), slack: Duration::ZERO, work: 1_000 * 1_000 };

/// Guards against refused callers that all return at the same time, or before those refused earlier.
#[test]
fn callers_refused_in_a_row_return_in_their_order() {
    let now = Instant::now();
    let mut turns = Turns::new(now);
    let waits: Vec<u64> = (0..9).map(|_| turns.take(now, &LATE_CALLER, 3_000).as_secs()).collect();
    assert_eq!(waits, [1, 1, 1, 2, 2, 2, 3, 3, 3]);
}

/// Guards against an advantage of callers that return earlier than told: they go to the end.
#[test]
fn a_caller_that_returns_early_goes_to_the_end() {
    let now = Instant::now();
    let mut turns = Turns::new(now);
    for _ in 0..4 {
        turns.take(now, &LATE_CALLER, 2_000);
    }
    let early = now + TURN / 2;
    assert_eq!(turns.take(early, &LATE_CALLER, 2_000), TURN * 3);
}

/// Guards against a job that is late for certain because its caller was told a later turn.
#[test]
fn a_caller_that_can_be_in_time_is_not_put_off() {
    let now = Instant::now();
    let mut turns = Turns::new(now);
    for _ in 0..10 {
        turns.take(now, &LATE_CALLER, 1_000);
    }
    let in_time = Caller { slack: TURN, ..LATE_CALLER };
    assert_eq!(turns.take(now, &in_time, 1_000), TURN);
}

/// Guards against waits without bound, places that are kept after their time, and an overflow.
#[test]
fn turns_are_bounded_and_expire() {
    let now = Instant::now();
    let mut turns = Turns::new(now);
    let large = Caller { room: Duration::MAX, work: u64::MAX, ..LATE_CALLER };
    for _ in 0..100 {
        assert!(turns.take(now, &LATE_CALLER, 1_000) <= TURN * TURNS_MAX);
        assert_eq!(turns.take(now, &large, u64::MAX), TURN * TURNS_MAX);
    }
    assert!(!turns.is_over(now + TURN * TURNS_MAX));
    let later = now + TURN * (TURNS_MAX + 1);
    assert!(turns.is_over(later));
    assert_eq!(turns.take(later, &LATE_CALLER, 1_000), TURN);
}
