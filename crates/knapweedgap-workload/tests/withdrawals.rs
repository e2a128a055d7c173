//! Cancellations of jobs that are not known: a submission that arrives later must not run.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;
use knapweedgap_workload::action::Ticket;
use knapweedgap_workload::api::{Answer, Verb};
use knapweedgap_workload::engine::WITHDRAWALS_MAX;
use knapweedgap_workload::job::{Spec, State};
use support::{Harness, RETENTION, spec, step};

const JOB: &str = "00000000000000a1";
/// Number of random scenarios, of [`ROUNDS`] rounds each. Seed 0 fails if unknown jobs are not withdrawn,
/// and seed 2 if an acknowledged withdrawal is not in the log.
const SEEDS: u64 = 200;
const ROUNDS: u32 = 200;
/// Length of a round. All of them together are shorter than [`RETENTION`].
const ROUND: Duration = Duration::from_millis(20);
const JOBS: u64 = 8;
/// Number of commits after which the oldest log entries have been rewritten several times.
const REWRITE_COMMITS: usize = 600;

fn small_job() -> Spec {
    spec(vec![step(2, 1, Duration::from_secs(1))])
}

fn owner() -> Harness {
    let mut harness = Harness::new(&[4]);
    harness.poll_all();
    harness
}

/// Cancels a job and stores what the cancellation has changed. Returns the answer.
fn cancel(harness: &mut Harness, job: &str) -> Option<Answer> {
    let ticket = harness.request("batch", job, Verb::Cancel);
    harness.commit();
    harness.answers.get(&ticket).cloned()
}

/// Submits a job and returns whether it was refused because it was cancelled before.
fn is_refused(harness: &mut Harness, job: &str) -> bool {
    let ticket = harness.submit("batch", job, small_job());
    harness.commit();
    matches!(answer(harness, ticket), Some(Answer::Refused { reason, .. }) if reason.contains("cancelled"))
}

fn answer(harness: &Harness, ticket: Ticket) -> Option<Answer> {
    harness.answers.get(&ticket).cloned()
}

/// Guards against tasks of a job whose cancellation was acknowledged: the submission was still under
/// way and arrived after it (review/9).
#[test]
fn a_job_that_was_cancelled_before_its_submission_never_runs() {
    let mut harness = owner();
    assert_eq!(cancel(&mut harness, JOB), Some(Answer::NoJob));
    assert!(is_refused(&mut harness, JOB));
    harness.run(Duration::from_secs(3));
    assert!(harness.worker(0).events.is_empty(), "a task has started");
    assert_eq!(harness.show("batch", JOB), Answer::NoJob);
    assert_eq!(cancel(&mut harness, JOB), Some(Answer::NoJob), "a repeated cancellation");
}

/// Guards against the same with a successor, which has to know what the former owner has
/// acknowledged.
#[test]
fn the_next_owner_refuses_a_job_that_was_cancelled_before_its_submission() {
    let mut harness = owner();
    let ticket = harness.request("batch", JOB, Verb::Cancel);
    assert_eq!(answer(&harness, ticket), None, "the cancellation is not stored yet");
    let again = harness.request("batch", JOB, Verb::Cancel);
    assert_eq!(answer(&harness, again), None, "nor is the repeated one");
    harness.commit();
    assert_eq!(answer(&harness, ticket), Some(Answer::NoJob));
    assert_eq!(answer(&harness, again), Some(Answer::NoJob));
    harness.take_over();
    assert!(is_refused(&mut harness, JOB));
    assert_eq!(harness.show("batch", JOB), Answer::NoJob);
}

/// Guards against a submission that overtakes the commit of its cancellation, and against one whose
/// acceptance is not stored when it is cancelled.
#[test]
fn a_submission_beside_its_cancellation_never_runs() {
    let mut harness = owner();
    harness.request("batch", JOB, Verb::Cancel);
    assert!(is_refused(&mut harness, JOB), "cancelled first");
    let later = "00000000000000a2";
    let submitted = harness.submit("batch", later, small_job());
    let cancelled = harness.request("batch", later, Verb::Cancel);
    harness.commit();
    assert_eq!(answer(&harness, submitted), Some(Answer::Accepted));
    assert_eq!(answer(&harness, cancelled), Some(Answer::Cancelled));
    harness.run(Duration::from_secs(3));
    assert!(harness.worker(0).events.is_empty(), "a task has started");
}

/// Guards against a promise that ends too early or never: it holds for the retention time after the
/// last cancellation, and the client is told for how long.
#[test]
fn a_job_can_be_submitted_after_its_withdrawal_has_expired() {
    let mut harness = owner();
    cancel(&mut harness, JOB);
    harness.run(RETENTION / 2);
    cancel(&mut harness, JOB);
    harness.run(RETENTION - Duration::from_secs(1));
    let ticket = harness.submit("batch", JOB, small_job());
    let Some(Answer::Refused { retry_after, .. }) = answer(&harness, ticket) else {
        panic!("the submission is refused");
    };
    assert!(retry_after <= Duration::from_secs(1), "{retry_after:?}");
    harness.run(retry_after);
    assert!(!is_refused(&mut harness, JOB));
    harness.run(Duration::from_secs(3));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
    harness.take_over();
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed), "after a takeover");
}

/// Guards against an accepted job that the next owner doesn't know, because the log still holds that
/// its id was cancelled before.
#[test]
fn a_job_that_is_accepted_after_a_withdrawal_outlives_a_takeover() {
    let mut harness = owner();
    cancel(&mut harness, JOB);
    harness.run(RETENTION);
    let ticket = harness.submit("batch", JOB, small_job());
    harness.commit();
    assert_eq!(answer(&harness, ticket), Some(Answer::Accepted));
    harness.take_over();
    harness.run(Duration::from_secs(3));
    assert_eq!(harness.show("batch", JOB), Answer::State(State::Completed));
}

/// Guards against memory and a log that grow with the number of unknown jobs that clients cancel, and
/// against cancellations of known jobs that fail because of them.
#[test]
fn withdrawals_are_bounded() {
    let mut harness = owner();
    harness.submit("batch", JOB, small_job());
    harness.commit();
    for number in 0..WITHDRAWALS_MAX {
        harness.request("batch", &format!("{:016x}", 0x1000 + number), Verb::Cancel);
    }
    harness.commit();
    let bytes: usize = harness.log.values().map(Vec::len).sum();
    assert!(bytes < 64 * WITHDRAWALS_MAX, "{bytes} bytes in the log");
    let unknown = "00000000000000a2";
    let Some(Answer::Refused { retry_after, .. }) = cancel(&mut harness, unknown) else {
        panic!("one more is refused");
    };
    assert_eq!(retry_after, RETENTION, "until the first one expires");
    assert_eq!(cancel(&mut harness, JOB), Some(Answer::Cancelled), "a known job");
    assert!(is_refused(&mut harness, "0000000000001000"), "the first one is kept");
    harness.take_over();
    assert!(is_refused(&mut harness, "0000000000001000"), "also by the next owner");
    harness.run(RETENTION);
    assert_eq!(cancel(&mut harness, unknown), Some(Answer::NoJob), "after the retention time");
}

/// Guards against withdrawals that vanish or stay for ever when the oldest entries of the log are
/// rewritten.
#[test]
fn withdrawals_survive_the_rewriting_of_the_log() {
    let mut harness = owner();
    cancel(&mut harness, JOB);
    for number in 0..REWRITE_COMMITS {
        harness.advance(Duration::from_millis(1));
        cancel(&mut harness, &format!("{:016x}", 0x1000 + number));
    }
    let first = *harness.log.keys().next().expect("an entry");
    assert!(first.get() > 1, "the first entry was rewritten");
    harness.take_over();
    assert!(is_refused(&mut harness, JOB));
    assert!(is_refused(&mut harness, "0000000000001000"));
    harness.run(RETENTION);
    for number in 0..REWRITE_COMMITS {
        let job = format!("{:016x}", 0x10_0000 + number);
        harness.submit("batch", &job, small_job());
        harness.run(Duration::from_millis(100));
    }
    harness.take_over();
    assert!(!is_refused(&mut harness, "0000000000001000"), "the expired ones are gone");
}

/// Guards against a client that waits for a cancellation which can't be stored.
#[test]
fn an_unknown_job_is_not_cancelled_while_the_store_is_unavailable() {
    let mut harness = owner();
    harness.engine.set_store_available(false);
    let ticket = harness.request("batch", JOB, Verb::Cancel);
    assert!(matches!(answer(&harness, ticket), Some(Answer::Unavailable(_))));
    harness.engine.set_store_available(true);
    assert!(!is_refused(&mut harness, JOB));
}

/// Clients that submit and cancel the same jobs in any order, and an owner that is replaced before its
/// commits.
struct Scenario {
    harness: Harness,
    random: Rng,
    cancellations: BTreeMap<String, Vec<Ticket>>,
    acknowledged: BTreeSet<String>,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        Scenario {
            harness: owner(),
            random: Rng::with_seed(seed),
            cancellations: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
        }
    }

    fn step(&mut self) {
        let job = format!("{:016x}", self.random.u64(..JOBS));
        match self.random.u32(..100) {
            0..4 => drop(self.harness.submit("batch", &job, small_job())),
            4..8 => {
                let ticket = self.harness.request("batch", &job, Verb::Cancel);
                self.cancellations.entry(job).or_default().push(ticket);
            }
            8..10 => drop(self.harness.take_over()),
            10..40 => self.harness.commit(),
            _ => {}
        }
        self.harness.advance(ROUND);
        self.harness.poll_all();
    }

    /// Notes the acknowledged cancellations and returns a job of which a start is sent nevertheless.
    fn started_after_acknowledgement(&mut self) -> Option<String> {
        let started = self.harness.starts.iter().map(|(_, start)| start.task.step.job.to_string());
        let started = started.collect::<Vec<_>>();
        let late = started.into_iter().find(|job| self.acknowledged.contains(job));
        for (job, tickets) in &self.cancellations {
            let answers = tickets.iter().filter_map(|ticket| self.harness.answers.get(ticket));
            let is_acknowledged =
                |answer: &Answer| matches!(answer, Answer::NoJob | Answer::Cancelled);
            if answers.into_iter().any(is_acknowledged) {
                self.acknowledged.insert(job.clone());
            }
        }
        self.harness.deliver();
        late
    }
}

/// Guards against a start of a job after its cancellation was acknowledged, whichever request arrives
/// first and whichever owner handles it.
#[test]
fn no_job_starts_after_its_cancellation_was_acknowledged() {
    for seed in 0..SEEDS {
        let mut scenario = Scenario::new(seed);
        for round in 0..ROUNDS {
            scenario.step();
            let late = scenario.started_after_acknowledgement();
            assert_eq!(late, None, "seed {seed}, round {round}");
        }
    }
}
