//! Random faults, then calm: something of each accepted job is at work again within the time that the
//! platform permits, whatever phase its tasks were left in.
//!
//! Each seed gives one scenario. Jobs of all kinds are submitted to two queues while commits are held
//! back for seconds, starts get lost, their outcomes are reported late or never, stops get lost, runs
//! hang or vanish, and workers fall silent, fail their runs, drain, restart or are lost. The workers
//! have room for twice the tasks. Polls take as long as the engine lets them wait. What is at work is
//! counted at the workers.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use fastrand::Rng;
use knapweedgap_core::{id, revision};
use knapweedgap_workload::action::Ticket;
use knapweedgap_workload::api::{Answer, Verb};
use knapweedgap_workload::bounds::OWNER_GRACE;
use knapweedgap_workload::engine::Batch;
use knapweedgap_workload::job::{Spec, Step};
use knapweedgap_workload::order::{Failure, Poll, Start, Stop, Target};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::Cause;
use support::worker::Event;
use support::{Harness, spec, step};

/// Number of scenarios, unless `STANDING_SEEDS` is set.
const SEEDS: u64 = 40;
const ROUND: Duration = Duration::from_millis(50);
const FAULTS_TIME: Duration = Duration::from_secs(20);
/// Time after the last fault from which the rule counts: the workers are in touch again after
/// `contactTimeoutMs`, and 4 s are calm.
const CALM_BEFORE: Duration = Duration::from_secs(3 + 4);
const CALM_TIME: Duration = Duration::from_secs(12);
/// Time for which nothing of a job may be at work.
const IDLE_MAX: Duration = Duration::from_secs(3);
/// Time for which a long-running task may be down.
const DOWN_MAX: Duration = Duration::from_secs(6);
/// Time for which members of a gang wait for the others.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// Time without a stored commit after which the owner refuses new jobs.
const STORE_SILENCE: Duration = Duration::from_millis(900);
const LONG: Duration = Duration::from_secs(600);
const WORKERS: usize = 8;
/// Largest number of workers that are lost for good.
const LOST_MAX: usize = 2;
const CORES: u32 = 16;
/// Processors that the submitted jobs use at once, a quarter of the fleet.
const DEMAND_MAX: u64 = 32;

/// Poll in flight.
struct Call {
    target: Target,
    poll: Poll,
    sent: Instant,
    /// When the worker answers at the latest; `None` if the poll got lost.
    answer_at: Option<Instant>,
    /// When the caller gives up.
    timeout_at: Instant,
}

/// Outcome of a start that the caller reports later.
struct Outcome {
    at: Instant,
    target: Target,
    start: Start,
    result: Result<(), Failure>,
}

/// Accepted job.
struct Job {
    queue: &'static str,
    spec: Spec,
    ticket: Ticket,
    is_accepted: bool,
    submitted_at: Instant,
    /// Since when nothing of it is at work.
    idle_since: Instant,
    /// Since when each of its long-running tasks is down.
    down_since: BTreeMap<task::Id, Instant>,
}

struct Scenario {
    harness: Harness,
    random: Rng,
    jobs: BTreeMap<id::Job, Job>,
    ended: BTreeSet<id::Job>,
    submitted: u64,
    /// Commit in transit to the store, and when it was sent.
    in_flight: Option<(Batch, Instant)>,
    /// When the store takes commits again.
    store_back: Instant,
    /// When the commit was sent that last confirmed the ownership.
    confirmed_at: Instant,
    calls: BTreeMap<id::Worker, Call>,
    extra: Vec<Call>,
    outcomes: Vec<Outcome>,
    /// Starts that arrive late.
    late: Vec<(Instant, Target, Start)>,
    /// When the fault of each worker ends.
    faulty_until: Vec<Option<Instant>>,
    /// Number of workers that were lost for good.
    lost: usize,
    /// Runs of gangs of which all members run.
    complete: BTreeSet<(task::Step, revision::Run)>,
    /// Since when an incomplete run of a gang waits.
    incomplete: BTreeMap<(task::Step, revision::Run), Instant>,
    seed: u64,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        let mut harness = Harness::new(&[CORES; WORKERS]);
        harness.poll_all();
        let now = harness.now;
        Scenario {
            harness,
            random: Rng::with_seed(seed),
            jobs: BTreeMap::new(),
            ended: BTreeSet::new(),
            submitted: 0,
            in_flight: None,
            store_back: now,
            confirmed_at: now,
            calls: BTreeMap::new(),
            extra: Vec::new(),
            outcomes: Vec::new(),
            late: Vec::new(),
            faulty_until: vec![None; WORKERS],
            lost: 0,
            complete: BTreeSet::new(),
            incomplete: BTreeMap::new(),
            seed,
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.random.u32(..1000) < thousandths
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.u64(range))
    }

    fn random_step(&mut self) -> Step {
        let (count, cores) = (self.random.u32(1..4), self.random.u32(1..3));
        let mut step = step(count, cores, Duration::from_secs(1));
        step.best_effort = self.chance(350);
        match self.random.u32(..6) {
            0 => step.gang = true,
            1 => step.copies = true,
            2 => {
                step.long_running = true;
                step.estimate = LONG;
            }
            _ => {}
        }
        step
    }

    fn submit(&mut self) {
        let mut steps = vec![self.random_step()];
        while !steps[0].long_running && self.chance(400) && steps.len() < 3 {
            let mut next = self.random_step();
            if next.long_running {
                continue;
            }
            next.after = vec![u16::try_from(steps.len() - 1).expect("small")];
            steps.push(next);
        }
        let demand = |spec: &Spec| {
            let cores = |step: &Step| u64::from(step.count) * step.size.processor.milli() / 1000;
            spec.steps.iter().map(cores).max().unwrap_or_default()
        };
        let spec = spec(steps);
        let used: u64 = self.jobs.values().map(|job| demand(&job.spec)).sum();
        if used + demand(&spec) > DEMAND_MAX {
            return;
        }
        self.submitted += 1;
        let name = format!("{:016x}", self.submitted);
        let queue = if self.random.bool() { "urgent" } else { "batch" };
        let ticket = self.harness.submit(queue, &name, spec.clone());
        let id: id::Job = name.parse().expect("valid");
        for (position, step) in (0..).zip(&spec.steps) {
            let time = if step.long_running { LONG } else { self.millis(200..4_000) };
            for worker in self.harness.workers.values_mut() {
                let step = task::Step { job: id, occurrence: 0, step: position };
                worker.work.insert(step, time);
            }
        }
        let idle_since = self.harness.now;
        let down_since = BTreeMap::new();
        let submitted_at = self.harness.now;
        let job =
            Job { queue, spec, ticket, is_accepted: false, submitted_at, idle_since, down_since };
        self.jobs.insert(id, job);
    }

    fn cancel(&mut self) {
        let ids: Vec<id::Job> = self.jobs.keys().copied().collect();
        let Some(id) = self.random.choice(&ids).copied() else { return };
        let queue = self.jobs[&id].queue;
        self.harness.request(queue, &id.to_string(), Verb::Cancel);
    }

    fn inject_fault(&mut self) {
        let now = self.harness.now;
        if self.chance(6) && self.store_back <= now {
            let time = self.millis(5_000..12_000);
            self.store_back = now + time;
        }
        if self.chance(15) {
            self.disturb_run();
        }
        if self.lost < LOST_MAX && self.chance(2) {
            self.lost += 1;
            let index = self.random.usize(..WORKERS);
            self.harness.worker(index).fail();
            self.harness.list_workers();
        }
        if !self.chance(25) {
            return;
        }
        let index = self.random.usize(..WORKERS);
        if self.faulty_until[index].is_some() || !self.harness.worker(index).is_up {
            return;
        }
        let time = self.millis(200..6_000);
        self.faulty_until[index] = Some(now + time);
        let kind = self.random.u32(..10);
        let worker = self.harness.worker(index);
        match kind {
            0..4 => worker.is_isolated = true,
            5 => worker.is_refused = true,
            6 => worker.hangs = true,
            7 => worker.fails = true,
            8 => worker.stop_time = Duration::from_millis(600),
            4 => {
                worker.listed.draining = true;
                self.harness.list_workers();
            }
            _ => {
                let work = worker.work.clone();
                worker.restart();
                worker.work = work;
                self.harness.list_workers();
            }
        }
    }

    /// Makes one run hang for good, or vanish without an end in any report.
    fn disturb_run(&mut self) {
        let running = self.harness.running();
        let Some((id, task)) = self.random.choice(&running) else { return };
        let worker = self.harness.workers.get_mut(id).expect("known");
        if self.random.bool() {
            worker.runs.remove(task);
        } else if let Some(run) = worker.runs.get_mut(task) {
            run.speed = 0;
        }
    }

    /// Ends the faults of workers that are due, or all.
    fn end_faults(&mut self, all: bool) {
        let now = self.harness.now;
        for index in 0..WORKERS {
            if !all && self.faulty_until[index].is_none_or(|until| now < until) {
                continue;
            }
            self.faulty_until[index] = None;
            let worker = self.harness.worker(index);
            worker.is_isolated = false;
            worker.is_refused = false;
            worker.hangs = false;
            worker.fails = false;
            worker.stop_time = Duration::ZERO;
            if std::mem::take(&mut worker.listed.draining) {
                self.harness.list_workers();
            }
        }
        if all {
            self.store_back = now;
            self.late.clear();
        }
    }

    /// Stores the commit in transit and sends the next one.
    fn commit(&mut self) {
        let now = self.harness.now;
        if now >= self.store_back {
            if let Some((batch, sent)) = self.in_flight.take() {
                // The answer was lost, so the ownership counts from the first copy.
                self.confirmed_at = sent;
                self.harness.store(&batch);
            } else {
                self.confirmed_at = now;
            }
        }
        let silence = now.saturating_duration_since(self.confirmed_at);
        self.harness.engine.set_store_available(silence < STORE_SILENCE);
        let has_room = self.in_flight.is_none();
        self.harness.engine.tick(now, self.harness.wall_ms);
        if has_room && let Some(batch) = self.harness.engine.take_batch(now) {
            self.in_flight = Some((batch, now));
        }
        self.harness.collect();
    }

    fn is_valid(&self) -> bool {
        self.harness.now.saturating_duration_since(self.confirmed_at) < OWNER_GRACE
    }

    fn carry_out(&mut self, target: &Target, start: &Start) -> Result<(), Failure> {
        match self.harness.workers.get_mut(&target.worker) {
            Some(worker) if worker.is_refused => Err(Failure::NoListener),
            Some(worker) if worker.is_up && !worker.is_isolated => worker.start(target, start),
            _ => Err(Failure::Unanswered("no answer".into())),
        }
    }

    fn deliver(&mut self, with_faults: bool) {
        let now = self.harness.now;
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|l| l.0 <= now);
        self.late = late;
        let due: Vec<(Instant, Target, Start)> = due;
        for (_, target, start) in due {
            // The owner does not receive the answer.
            let _ = self.carry_out(&target, &start);
        }
        for (target, start) in std::mem::take(&mut self.harness.starts) {
            if !self.is_valid() {
                self.harness.engine.start_not_sent(&target, &start, now);
                continue;
            }
            self.deliver_start(target, start, with_faults);
        }
        let (due, later) =
            std::mem::take(&mut self.outcomes).into_iter().partition(|o| o.at <= now);
        self.outcomes = later;
        let due: Vec<Outcome> = due;
        for outcome in due {
            let Outcome { target, start, result, .. } = outcome;
            self.harness.engine.start_answered(&target, &start, result, now);
        }
        for (target, stop) in std::mem::take(&mut self.harness.stops) {
            self.deliver_stop(&target, &stop, with_faults);
        }
        for (target, speed) in std::mem::take(&mut self.harness.speeds) {
            let worker = self.harness.workers.get_mut(&target.worker);
            let reachable = worker.filter(|worker| worker.is_up && !worker.is_isolated);
            let result = reachable.map(|worker| worker.set_speed(&target, &speed));
            if !matches!(result, Some(Ok(()))) {
                self.harness.engine.speed_failed(&target, speed.task);
            }
        }
        self.harness.collect();
    }

    fn deliver_start(&mut self, target: Target, start: Start, with_faults: bool) {
        let now = self.harness.now;
        let timeout = now + self.millis(350..1_500);
        let fault = if with_faults { self.random.u32(..100) } else { 100 };
        let lost = || Err(Failure::Unanswered("lost".into()));
        let (at, result) = match fault {
            0..5 => {
                // Neither carried out nor reported.
                return;
            }
            5..8 => {
                let _ = self.carry_out(&target, &start);
                return;
            }
            8..14 => (timeout, lost()),
            14..18 => {
                let _ = self.carry_out(&target, &start);
                (timeout, lost())
            }
            18..21 => {
                let arrival = now + self.millis(100..3_000);
                self.late.push((arrival, target.clone(), start.clone()));
                (timeout, lost())
            }
            _ => match self.carry_out(&target, &start) {
                Err(Failure::Unanswered(reason)) => (timeout, Err(Failure::Unanswered(reason))),
                result => (now, result),
            },
        };
        self.outcomes.push(Outcome { at, target, start, result });
    }

    fn deliver_stop(&mut self, target: &Target, stop: &Stop, with_faults: bool) {
        if with_faults && self.chance(300) {
            // Not carried out and not reported, or carried out and not reported.
            if self.random.bool() {
                return;
            }
        }
        let result = match self.harness.workers.get_mut(&target.worker) {
            Some(worker) if worker.is_up && !worker.is_isolated => worker.stop(target, stop),
            _ => Err(Failure::Unanswered("no answer".into())),
        };
        self.harness.engine.stop_answered(target, stop, result, self.harness.now);
    }

    fn send_poll(&mut self, id: &id::Worker) -> Option<Call> {
        if !self.is_valid() {
            return None;
        }
        let now = self.harness.now;
        let (target, poll) = self.harness.engine.poll(id, now)?;
        let worker = self.harness.workers.get_mut(id);
        let worker = worker.filter(|worker| worker.is_up && !worker.is_isolated);
        // The order takes effect when it arrives, and the report is written with the answer.
        let arrives = worker.is_some_and(|worker| worker.poll(&target, &poll).is_ok());
        let answer_at = arrives.then_some(now + poll.wait);
        let timeout_at = now + poll.wait + Duration::from_millis(350);
        Some(Call { target, poll, sent: now, answer_at, timeout_at })
    }

    /// Returns the call if it is still in flight.
    fn advance_call(&mut self, call: Call) -> Option<Call> {
        let now = self.harness.now;
        let worker = self.harness.workers.get_mut(&call.target.worker).expect("known");
        let reachable = worker.is_up && !worker.is_isolated;
        let fence = worker.fence;
        let report = Poll { fence, lease_end: None, ..call.poll };
        let is_answered = call.answer_at.is_some() && reachable;
        if is_answered {
            let answer = worker.poll(&call.target, &report);
            let has_ended = answer.as_ref().is_ok_and(|report| !report.ended.is_empty());
            if has_ended || call.answer_at.is_some_and(|at| at <= now) {
                let Call { target, poll, sent, .. } = call;
                self.harness.engine.poll_answered(&target, &poll, sent, answer, now);
                return None;
            }
        }
        if call.timeout_at <= now {
            let lost = Err(Failure::Unanswered("no answer".into()));
            self.harness.engine.poll_answered(&call.target, &call.poll, call.sent, lost, now);
            return None;
        }
        Some(call)
    }

    fn poll(&mut self) {
        let ids: Vec<id::Worker> = self.harness.workers.keys().cloned().collect();
        for id in std::mem::take(&mut self.harness.extra_polls) {
            let call = self.send_poll(&id);
            self.extra.extend(call);
        }
        for call in std::mem::take(&mut self.extra) {
            let call = self.advance_call(call);
            self.extra.extend(call);
        }
        for id in ids {
            let call = match self.calls.remove(&id) {
                Some(call) => self.advance_call(call),
                None if self.harness.engine.has_pending_ends(&id) => None,
                None => self.send_poll(&id),
            };
            if let Some(call) = call {
                self.calls.insert(id, call);
            }
        }
        self.harness.collect();
    }

    /// Ends the members of gangs as the platform does.
    fn end_gangs(&mut self) {
        let now = self.harness.now;
        let mut members: BTreeMap<(task::Step, revision::Run), Vec<(id::Worker, task::Id)>> =
            BTreeMap::new();
        for (id, worker) in &self.harness.workers {
            for (&task, run) in &worker.runs {
                let Some(job) = self.jobs.get(&task.step.job) else { continue };
                if job.spec.steps[usize::from(task.step.step)].gang {
                    members.entry((task.step, run.number)).or_default().push((id.clone(), task));
                }
            }
        }
        self.incomplete.retain(|key, _| members.contains_key(key));
        for (key, running) in members {
            let spec = &self.jobs[&key.0.job].spec.steps[usize::from(key.0.step)];
            if running.len() == spec.count as usize {
                self.complete.insert(key);
                self.incomplete.remove(&key);
                continue;
            }
            let cause = if self.complete.contains(&key) {
                let done = |event: &Event| matches!(event, Event::Ended(task, run, Cause::Done) if task.step == key.0 && *run == key.1);
                let is_done = self.harness.workers.values().any(|w| w.events.iter().any(done));
                Some(if is_done { Cause::Done } else { Cause::GangEnded })
            } else {
                let since = *self.incomplete.entry(key).or_insert(now);
                let is_over = now.saturating_duration_since(since) >= GANG_TIMEOUT;
                is_over.then_some(Cause::GangIncomplete)
            };
            let Some(cause) = cause else { continue };
            for (id, task) in running {
                self.harness.workers.get_mut(&id).expect("known").end(task, cause);
            }
        }
    }

    /// Records what is at work, and fails in calm if a job or a long-running task stands.
    fn check(&mut self, is_calm: bool) {
        let now = self.harness.now;
        let running: BTreeSet<task::Id> =
            self.harness.running().into_iter().map(|(_, task)| task).collect();
        let ids: Vec<id::Job> = self.jobs.keys().copied().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if !job.is_accepted {
                match self.harness.answers.get(&job.ticket) {
                    Some(Answer::Accepted) => {
                        job.is_accepted = true;
                        job.idle_since = now;
                    }
                    Some(_) => {
                        self.jobs.remove(&id);
                    }
                    None => {}
                }
                continue;
            }
            let answer = self.harness.show(job.queue, &id.to_string());
            let Answer::State(state) = answer else {
                panic!("seed {}: job {id} is lost: {answer}", self.seed);
            };
            if state.is_final() {
                self.jobs.remove(&id);
                self.ended.insert(id);
                continue;
            }
            let mut at_work = false;
            for (position, step) in (0..).zip(&job.spec.steps) {
                let step_id = task::Step { job: id, occurrence: 0, step: position };
                let tasks = (0..step.count).map(|index| step_id.task(index));
                let count = tasks.clone().filter(|task| running.contains(task)).count();
                at_work |= if step.gang { count == step.count as usize } else { count > 0 };
                if !step.long_running {
                    continue;
                }
                for task in tasks {
                    if running.contains(&task) {
                        job.down_since.remove(&task);
                        continue;
                    }
                    let since = *job.down_since.entry(task).or_insert(now);
                    let down = now.saturating_duration_since(since);
                    let seed = self.seed;
                    assert!(
                        !is_calm || down <= DOWN_MAX,
                        "seed {seed}: {task} is down for {down:?}"
                    );
                }
            }
            if at_work {
                job.idle_since = now;
            }
            let idle = now.saturating_duration_since(job.idle_since);
            let (seed, steps) = (self.seed, &job.spec.steps);
            assert!(
                !is_calm || idle <= IDLE_MAX,
                "seed {seed}: nothing of job {id} runs for {idle:?}: {steps:?}"
            );
        }
    }

    fn step(&mut self, with_faults: bool, is_calm: bool) {
        self.harness.advance(ROUND);
        self.end_gangs();
        if self.chance(150) {
            self.submit();
        }
        if with_faults {
            self.end_faults(false);
            self.inject_fault();
            if self.chance(10) {
                self.cancel();
            }
        }
        self.commit();
        self.deliver(with_faults);
        self.poll();
        self.check(is_calm);
    }

    /// Fails if a job without long-running tasks that was accepted before the calm is not done.
    fn check_ends(&self, calm_since: Instant) {
        for (id, job) in &self.jobs {
            let is_due = !job.spec.steps.iter().any(|step| step.long_running);
            let is_old = job.submitted_at < calm_since && job.is_accepted;
            let (seed, steps) = (self.seed, &job.spec.steps);
            assert!(!is_due || !is_old, "seed {seed}: job {id} is not done: {steps:?}");
        }
    }

    /// Begins the count of the rule anew: what stood before the calm is no breach.
    fn begin_count(&mut self) {
        let now = self.harness.now;
        for job in self.jobs.values_mut() {
            job.idle_since = now;
            job.down_since.clear();
        }
    }
}

fn rounds(time: Duration) -> u128 {
    time.as_millis() / ROUND.as_millis()
}

fn play(seed: u64) {
    let mut scenario = Scenario::new(seed);
    for _ in 0..rounds(FAULTS_TIME) {
        scenario.step(true, false);
    }
    scenario.end_faults(true);
    let calm_since = scenario.harness.now;
    for _ in 0..rounds(CALM_BEFORE) {
        scenario.step(false, false);
    }
    scenario.begin_count();
    for _ in 0..rounds(CALM_TIME) {
        scenario.step(false, true);
    }
    scenario.check_ends(calm_since);
    assert!(scenario.ended.len() > 5, "seed {seed}: few jobs have ended");
}

/// Guards against accepted jobs of which nothing runs although there is room, because a task is
/// assigned and not at work and nothing ends its phase.
#[test]
fn something_of_each_job_is_at_work_soon_after_the_last_fault() {
    let seeds = std::env::var("STANDING_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS) {
        play(seed);
    }
}
