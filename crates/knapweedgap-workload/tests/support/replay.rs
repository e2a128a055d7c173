//! Replay of a burst of submissions against simulated workers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use fastrand::Rng;
use knapweedgap_core::id;
use knapweedgap_workload::action::Ticket;
use knapweedgap_workload::api::Answer;
use knapweedgap_workload::event::Event;
use knapweedgap_workload::job::{Spec, State, Step};
use knapweedgap_workload::rank::USEFUL_FACTOR;
use knapweedgap_workload::task;

use super::{Harness, configuration, spec, step};

/// Time between two rounds, in which all orders and reports are delivered.
const ROUND: Duration = Duration::from_millis(50);
/// Number of retries of a client.
const RETRIES_MAX: u32 = 4;
/// Time without new jobs in which accepted jobs end.
const DRAIN_TIME: Duration = Duration::from_secs(30);
/// Time before and after the burst.
const CALM_TIME: Duration = Duration::from_secs(8);
/// Time for which the rate is raised.
const BURST_TIME: Duration = Duration::from_secs(6);

/// Load of a replay.
#[derive(Debug, Clone)]
pub struct Load {
    /// Cores of each worker.
    pub workers: Vec<u32>,
    /// Numbers of cores of the tasks, chosen with equal chance.
    pub widths: Vec<u32>,
    /// Work that arrives each second outside of the burst, as a share of the processors.
    pub rate: f64,
    /// Factor of the rate during the burst.
    pub burst: f64,
    /// Number of jobs that arrive together at the start.
    pub together: usize,
}

/// Result of a replay, in jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    pub submitted: u32,
    pub accepted: u32,
    /// Completed within the objective, counted from the first attempt.
    pub in_time: u32,
    /// Completed later, within three times the objective.
    pub useful: u32,
    /// Accepted and completed after that.
    pub worthless: u32,
    /// Refused attempts.
    pub refusals: u32,
    /// Jobs that were never accepted.
    pub refused: u32,
}

impl Outcome {
    /// Returns the value of the completed jobs in percent of a job: 100 in time, 15 while useful.
    pub fn value(&self) -> u32 {
        self.in_time * 100 + self.useful * 15
    }

    fn add(&mut self, other: &Outcome) {
        self.submitted += other.submitted;
        self.accepted += other.accepted;
        self.in_time += other.in_time;
        self.useful += other.useful;
        self.worthless += other.worthless;
        self.refusals += other.refusals;
        self.refused += other.refused;
    }
}

#[derive(Debug)]
struct Client {
    queue: &'static str,
    job: String,
    spec: Spec,
    first_at: Instant,
    objective: Duration,
    retries: u32,
    retry_at: Option<Instant>,
    ticket: Option<Ticket>,
    accepted: bool,
    completed_at: Option<Instant>,
}

/// Returns the sum of the outcomes of replays with the given seeds.
pub fn replay(load: &Load, seeds: u64) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..seeds {
        outcome.add(&replay_one(load, seed));
    }
    outcome
}

fn replay_one(load: &Load, seed: u64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let mut harness = Harness::new(&load.workers);
    harness.poll_all();
    let cores: u32 = load.workers.iter().sum();
    let submissions_end = harness.now + CALM_TIME * 2 + BURST_TIME;
    let burst_start = harness.now + CALM_TIME;
    let end = submissions_end + DRAIN_TIME;
    let mut clients: Vec<Client> = Vec::new();
    let mut owed = 0.0;
    for _ in 0..load.together {
        let client = new_client(&mut harness, &mut rng, load, clients.len());
        clients.push(client);
    }
    while harness.now < end {
        harness.advance(ROUND);
        if harness.now < submissions_end {
            let is_burst = harness.now >= burst_start && harness.now < burst_start + BURST_TIME;
            let factor = if is_burst { load.burst } else { 1.0 };
            owed += f64::from(cores) * load.rate * factor * ROUND.as_secs_f64();
            while owed > 0.0 {
                let client = new_client(&mut harness, &mut rng, load, clients.len());
                owed -= work(&client.spec);
                clients.push(client);
            }
        }
        attempt(&mut harness, &mut clients);
        harness.round();
        note_answers(&mut harness, &mut clients);
    }
    outcome_of(&clients)
}

fn work(spec: &Spec) -> f64 {
    let of_step = |step: &Step| {
        step.estimate.as_secs_f64() * f64::from(step.count) * step.size.processor.milli() as f64
    };
    spec.steps.iter().map(of_step).sum::<f64>() / 1_000.0
}

fn new_client(harness: &mut Harness, rng: &mut Rng, load: &Load, number: usize) -> Client {
    let queue = if rng.u32(..10) < 6 { "urgent" } else { "batch" };
    let job = format!("{:016x}", number + 0x1000);
    let width = load.widths[rng.usize(..load.widths.len())];
    let estimate = Duration::from_millis(rng.u64(100..1_000));
    let count = rng.u32(1..=4);
    let mut steps = vec![step(count, width, estimate)];
    if rng.u32(..3) == 0 {
        steps.push(Step { after: vec![0], ..step(1, width, estimate / 2) });
    }
    let spec = spec(steps);
    let policy = &configuration(1).queues[0].policy;
    let objective = policy.objective(spec.declared_critical_path());
    let job_id: id::Job = job.parse().expect("valid");
    for (position, step) in spec.steps.iter().enumerate() {
        // Declared run times are off by up to half.
        let run_time = step.estimate.mul_f64(0.5 + rng.f64());
        let id = task::Step { job: job_id, occurrence: 0, step: position as u16 };
        for worker in harness.workers.values_mut() {
            worker.work.insert(id, run_time);
        }
    }
    let first_at = harness.now;
    Client {
        queue,
        job,
        spec,
        first_at,
        objective,
        retries: 0,
        retry_at: Some(first_at),
        ticket: None,
        accepted: false,
        completed_at: None,
    }
}

fn attempt(harness: &mut Harness, clients: &mut [Client]) {
    for client in clients {
        if client.retry_at.is_none_or(|at| at > harness.now) {
            continue;
        }
        client.retry_at = None;
        client.ticket = Some(harness.submit(client.queue, &client.job, client.spec.clone()));
    }
}

fn note_answers(harness: &mut Harness, clients: &mut [Client]) {
    let mut completed = BTreeMap::new();
    for event in harness.events.drain(..) {
        if let Event::Final { job, state: State::Completed, .. } = event {
            completed.insert(job.to_string(), harness.now);
        }
    }
    for client in clients {
        if let Some(&at) = completed.get(&client.job) {
            client.completed_at = Some(at);
        }
        let Some(answer) = client.ticket.and_then(|ticket| harness.answers.remove(&ticket)) else {
            continue;
        };
        client.ticket = None;
        match answer {
            Answer::Accepted => client.accepted = true,
            Answer::Refused { retry_after, .. } => {
                client.retries += 1;
                // The platform gives whole seconds.
                let wait = Duration::from_secs(retry_after.as_secs_f64().ceil().max(1.0) as u64);
                let at = harness.now + wait;
                let deadline = client.first_at + client.objective * USEFUL_FACTOR;
                if client.retries <= RETRIES_MAX && at < deadline {
                    client.retry_at = Some(at);
                }
            }
            other => panic!("{other:?}"),
        }
    }
}

fn outcome_of(clients: &[Client]) -> Outcome {
    let mut outcome = Outcome::default();
    for client in clients {
        outcome.submitted += 1;
        outcome.refusals += client.retries;
        if !client.accepted {
            outcome.refused += 1;
            continue;
        }
        outcome.accepted += 1;
        let completed_at = client.completed_at.expect("an accepted job completes");
        let time = completed_at - client.first_at;
        if time <= client.objective {
            outcome.in_time += 1;
        } else if time <= client.objective * USEFUL_FACTOR {
            outcome.useful += 1;
        } else {
            outcome.worthless += 1;
        }
    }
    outcome
}
