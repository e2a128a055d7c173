//! Leases of workers whose clock is slow or stands still while their machine is suspended, with
//! polls and answers that are late and overtake each other. The task must not start elsewhere before
//! the lease of its worker has ended.

mod support;

use std::time::{Duration, Instant};

use fastrand::Rng;
use knapweedgap_core::id;
use knapweedgap_workload::order::{Failure, Poll, Target};
use knapweedgap_workload::record::{self, Change};
use knapweedgap_workload::worker::{Clock, Report};
use support::{Harness, spec, step};

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(20);
/// Age of a poll above which its answer is given up.
const TIMEOUT: Duration = Duration::from_millis(2_300);
const SEEDS: u64 = 300;

/// Poll that the worker has not received, or its answer that the owner has not received.
struct Transit {
    target: Target,
    poll: Poll,
    sent: Instant,
    arrives: Instant,
    report: Option<Report>,
}

struct Scenario {
    seed: u64,
    harness: Harness,
    random: Rng,
    worker: id::Worker,
    transits: Vec<Transit>,
    /// Until then, the machine of the worker is suspended.
    suspended_until: Instant,
    /// When the last answer arrived.
    answered_at: Instant,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let (mut harness, worker) = Harness::with_a_long_running_task();
        let mut random = Rng::with_seed(seed);
        harness.workers.get_mut(&worker).expect("known").clock_rate = 0.98 + 0.02 * random.f64();
        let now = harness.now;
        let transits = Vec::new();
        Scenario { seed, harness, random, worker, transits, suspended_until: now, answered_at: now }
    }

    fn delay(&mut self, max_ms: u64) -> Instant {
        let millis = self.random.u64(0..max_ms);
        self.harness.now + Duration::from_millis(millis)
    }

    /// Lets [`STEP`] pass and delivers what is due.
    fn step(&mut self) {
        let now = self.harness.now + STEP;
        let worker = self.harness.workers.get_mut(&self.worker).expect("known");
        let rate = worker.clock_rate;
        if now < self.suspended_until {
            // The runs of a suspended machine do not end, and its clock stands still.
            worker.clock_rate = 0.0;
        }
        self.harness.advance(STEP);
        self.harness.workers.get_mut(&self.worker).expect("known").clock_rate = rate;
        self.deliver();
        self.harness.commit();
        self.harness.deliver();
        let runs = self.harness.running().len();
        assert!(runs <= 1, "seed {}: two runs at once", self.seed);
    }

    fn deliver(&mut self) {
        let now = self.harness.now;
        let is_suspended = now < self.suspended_until;
        for mut transit in std::mem::take(&mut self.transits) {
            let is_due = transit.arrives <= now;
            if transit.report.is_none() && is_due && !is_suspended {
                let worker = self.harness.workers.get_mut(&self.worker).expect("known");
                transit.report = worker.poll(&transit.target, &transit.poll).ok();
                transit.arrives = self.delay(500);
                self.transits.push(transit);
                continue;
            }
            let is_late = now > transit.sent + TIMEOUT;
            let result = match transit.report.take_if(|_| is_due && !is_late) {
                Some(report) => Ok(report),
                None if is_late => Err(Failure::Unanswered("no answer".into())),
                None => {
                    self.transits.push(transit);
                    continue;
                }
            };
            if result.is_ok() {
                self.answered_at = now;
            }
            let (target, poll) = (&transit.target, &transit.poll);
            self.harness.engine.poll_answered(target, poll, transit.sent, result, now);
            self.harness.collect();
        }
    }

    fn poll(&mut self) {
        let now = self.harness.now;
        let Some((target, poll)) = self.harness.engine.poll(&self.worker, now) else { return };
        let arrives = self.delay(400);
        self.transits.push(Transit { target, poll, sent: now, arrives, report: None });
    }

    fn is_suspended(&self) -> bool {
        self.harness.now < self.suspended_until
    }
}

#[test]
fn no_lease_outlasts_what_the_owner_assumes() {
    for seed in 0..SEEDS {
        let mut scenario = Scenario::new(seed);
        let steps = scenario.random.u32(100..400);
        for _ in 0..steps {
            if scenario.random.u32(..100) < 20 && scenario.transits.len() < 4 {
                scenario.poll();
            }
            if scenario.random.u32(..100) < 2 && !scenario.is_suspended() {
                scenario.suspended_until = scenario.delay(2_500);
            }
            scenario.step();
        }
        // The owner learns of the last suspension from an answer, before it loses the worker.
        while scenario.is_suspended() {
            scenario.step();
        }
        let asked_at = scenario.harness.now;
        while scenario.answered_at < asked_at + STEP * 50 {
            if scenario.transits.is_empty() {
                scenario.poll();
            }
            scenario.step();
        }
        scenario.transits.clear();
        let worker = scenario.worker.clone();
        scenario.harness.workers.get_mut(&worker).expect("known").is_isolated = true;
        for _ in 0..800 {
            let other: Vec<id::Worker> =
                scenario.harness.workers.keys().filter(|id| **id != worker).cloned().collect();
            other.iter().for_each(|id| scenario.harness.poll(id));
            scenario.step();
        }
        assert_eq!(scenario.harness.running().len(), 1, "seed {seed}: the task is down");
    }
}

/// A wrong reading used to hold for good, because each true one was lower.
#[test]
fn a_reading_of_the_clock_that_is_too_high_is_replaced() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    let (target, poll) = harness.engine.poll(&id, harness.now).expect("polled");
    let worker = harness.workers.get_mut(&id).expect("known");
    let mut report = worker.poll(&target, &poll).expect("answered");
    report.clock = Clock::from_millis(1_000_000_000);
    let now = harness.now;
    harness.engine.poll_answered(&target, &poll, now, Ok(report), now);
    harness.run(SECOND * 10);
    let clock = harness.workers[&id].clock;
    let (_, poll) = harness.engine.poll(&id, harness.now).expect("polled");
    let lease_end = Duration::from_millis(poll.lease_end.expect("granted").millis());
    assert!(lease_end <= clock + SECOND * 5, "{lease_end:?} at {clock:?}");
}

/// A poll to the former incarnation names the worker by the id that both have, and its lease refers
/// to a clock that the new one does not have.
#[test]
fn a_poll_to_the_former_incarnation_grants_its_successor_no_unknown_lease() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    let other = harness.workers.keys().find(|other| **other != id).cloned().expect("two workers");
    harness.workers.get_mut(&other).expect("known").is_isolated = true;
    let (target, late) = harness.engine.poll(&id, harness.now).expect("polled");
    let worker = harness.workers.get_mut(&id).expect("known");
    let work = worker.work.clone();
    worker.restart();
    worker.work = work;
    worker.clock = SECOND;
    harness.advance(Duration::from_millis(300));
    let now = harness.now;
    let lost = Err(Failure::Unanswered("reset".into()));
    harness.engine.poll_answered(&target, &late, now, lost, now);
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.poll(&target, &late).expect("carried out late");
    // The task starts again on the worker, which is cut off soon after.
    harness.run(Duration::from_millis(100));
    harness.list_workers();
    harness.run(Duration::from_millis(300));
    assert_eq!(harness.running().len(), 1);
    harness.workers.get_mut(&id).expect("known").is_isolated = true;
    harness.workers.get_mut(&other).expect("known").is_isolated = false;
    for _ in 0..100 {
        harness.run(Duration::from_millis(100));
        assert!(harness.running().len() <= 1, "two runs at once");
    }
    assert_eq!(harness.running().len(), 1, "the task is down");
}

/// Guards against a record that is added again, before its removal is stored, with its former end,
/// although the clock of the worker has shown a later one.
#[test]
fn a_record_that_is_added_again_has_the_later_end_of_the_leases() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    harness.run(SECOND);
    // The machine of the worker is suspended until the owner has recorded it.
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.clock_rate = 0.0;
    worker.is_isolated = true;
    harness.run(SECOND * 2);
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.clock_rate = 1.0;
    worker.is_isolated = false;
    harness.poll(&id);
    harness.workers.get_mut(&id).expect("known").is_isolated = true;
    harness.poll(&id);
    harness.hand_over();
    for _ in 0..100 {
        harness.run(SECOND / 10);
        let runs = harness.running().len();
        assert!(runs <= 1, "two runs at once");
    }
    assert_eq!(harness.running().len(), 1);
}

/// Fails if the task runs twice while the next owner does not reach the worker `id`, or is down
/// afterwards.
fn hand_over_without(harness: &mut Harness, id: &id::Worker, handovers: u32) {
    for worker in harness.workers.values_mut() {
        worker.is_isolated = worker.listed.id == *id;
    }
    for _ in 0..handovers {
        harness.hand_over();
        harness.run(SECOND / 10);
    }
    for _ in 0..100 {
        harness.run(SECOND / 10);
        let runs = harness.running().len();
        assert!(runs <= 1, "two runs at once");
    }
    assert_eq!(harness.running().len(), 1, "the task is down");
}

/// Suspends the machine of a worker for 2 s, during which the owner counts on its clock.
fn suspend(harness: &mut Harness, id: &id::Worker) {
    harness.workers.get_mut(id).expect("known").clock_rate = 0.0;
    harness.advance(SECOND * 2);
    harness.workers.get_mut(id).expect("known").clock_rate = 1.0;
    harness.poll(id);
}

/// Guards against a next owner that assumes a lease of 4 s although the previous one knew that the
/// clock of the worker had stood still.
#[test]
fn a_lease_that_a_suspension_extended_outlasts_the_bound_of_the_next_owner() {
    for handovers in 1..4 {
        let (mut harness, id) = Harness::with_a_long_running_task();
        suspend(&mut harness, &id);
        hand_over_without(&mut harness, &id, handovers);
    }
}

/// Guards against a next owner that reaches the worker once and then assumes a lease of 4 s.
#[test]
fn an_answer_to_the_next_owner_shortens_an_extended_lease() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    suspend(&mut harness, &id);
    harness.hand_over();
    harness.poll(&id);
    hand_over_without(&mut harness, &id, 1);
}

/// Guards against a next owner that assumes a lease of 4 s of a restarted worker, which a late poll
/// to the former incarnation has granted 6 s.
#[test]
fn a_lease_of_a_late_poll_to_the_former_incarnation_outlasts_the_bound_of_the_next_owner() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    let other = harness.workers.keys().find(|other| **other != id).cloned().expect("two workers");
    harness.workers.get_mut(&other).expect("known").is_isolated = true;
    let (target, late) = harness.engine.poll(&id, harness.now).expect("polled");
    let worker = harness.workers.get_mut(&id).expect("known");
    let work = worker.work.clone();
    worker.restart();
    worker.work = work;
    worker.clock = SECOND;
    harness.advance(SECOND * 3 / 10);
    let lost = Err(Failure::Unanswered("reset".into()));
    harness.engine.poll_answered(&target, &late, harness.now, lost, harness.now);
    let worker = harness.workers.get_mut(&id).expect("known");
    worker.poll(&target, &late).expect("carried out late");
    harness.run(SECOND / 10);
    harness.list_workers();
    harness.run(SECOND / 10 * 2);
    assert_eq!(harness.running().len(), 1);
    hand_over_without(&mut harness, &id, 1);
}

/// Guards against a record of extended leases that each renewal writes again.
#[test]
fn renewals_write_no_record_of_extended_leases() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    harness.workers.get_mut(&id).expect("known").clock_rate = 0.98;
    harness.run(SECOND * 5);
    let entries = harness.log.len();
    harness.run(SECOND * 10);
    assert_eq!(harness.log.len(), entries);
}

/// Guards against a record of extended leases that stays in the log for ever after they have ended, which
/// an earlier release can't read.
#[test]
fn the_record_of_extended_leases_that_have_ended_stays_in_the_log() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    suspend(&mut harness, &id);
    let has_record = |harness: &Harness| {
        harness.log.iter().any(|(&sequence, value)| {
            let changes = record::decode(sequence, value).expect("valid");
            changes.iter().any(|change| matches!(change, Change::Extended(_)))
        })
    };
    harness.run(SECOND);
    assert!(has_record(&harness), "the leases are recorded");
    for job in 0..400 {
        harness.submit("urgent", &format!("{:016x}", 0x1000 + job), spec(vec![step(1, 1, SECOND)]));
        harness.run(SECOND / 5);
    }
    assert!(!has_record(&harness), "{} entries", harness.log.len());
}

/// Guards against a wrong reading that extends the expected end of the leases with each answer: the
/// worker shortens each lease to 6 s, so 6 s after its last answer no lease counts that was granted
/// before.
#[test]
fn a_reading_of_the_clock_that_is_too_high_holds_a_lost_worker() {
    let (mut harness, id) = Harness::with_a_long_running_task();
    let (target, poll) = harness.engine.poll(&id, harness.now).expect("polled");
    let worker = harness.workers.get_mut(&id).expect("known");
    let mut report = worker.poll(&target, &poll).expect("answered");
    report.clock = Clock::from_millis(1_000_000_000);
    let now = harness.now;
    harness.engine.poll_answered(&target, &poll, now, Ok(report), now);
    harness.run(SECOND * 10);
    harness.workers.get_mut(&id).expect("known").is_isolated = true;
    // As for any lost worker: a lease of 4 s on a clock that is 2 % slow, and the transit.
    for _ in 0..46 {
        harness.run(SECOND / 10);
        assert!(harness.running().len() <= 1, "two runs at once");
    }
    assert!(harness.running().iter().any(|(worker, _)| *worker != id), "the task is down");
}
