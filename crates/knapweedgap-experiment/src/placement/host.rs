//! Simulated worker with the service that it hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use knapweedgap_core::{id, rate, revision, size};
use knapweedgap_placement::command::{Body, Command};
use knapweedgap_placement::report::{Report, State, Task};
use smol_str::{SmolStr, format_smolstr};

use super::case::User;
use super::load::Class;

/// Window over which a service measures its latency, in seconds.
pub const WINDOW_S: u32 = 5;
/// Probability that a service is slow during a window without any interference.
const SPIKE_PROBABILITY: f64 = 0.01;
/// Period of the load of a service, in seconds.
const PERIOD_S: f64 = 1800.0;
/// Time after which a failing worker fails a task, in seconds.
const FAIL_AFTER_S: f64 = 1.0;
/// Limit on the ratio of used to available cores that affects the latency of the service.
const OVERCOMMIT_MAX: f64 = 4.0;

/// Attempt on the worker.
#[derive(Debug)]
struct Attempt {
    class: usize,
    state: State,
    done_s: f64,
    saved_s: f64,
    checkpoint: Option<SmolStr>,
    share: rate::Share,
    age_s: u32,
}

/// Results of one virtual second on the worker.
#[derive(Debug, Clone, Copy, Default)]
pub struct Step {
    /// Latency of the service as a ratio of its target.
    pub ratio: f64,
    /// Core seconds of the tasks that completed.
    pub completed: f64,
    /// Number of tasks that completed.
    pub finished: u64,
}

/// Simulated worker with the service that it hosts.
#[derive(Debug)]
pub struct Host {
    /// Id in the commands and reports of the engine.
    pub id: id::Worker,
    /// Index of the service that it hosts.
    pub service: usize,
    /// `true` if every task fails on it.
    pub failing: bool,
    user: User,
    phase: f64,
    noise: f64,
    usage_lag_s: u32,
    rng: Rng,
    attempts: BTreeMap<(id::Task, id::Attempt), Attempt>,
}

impl Host {
    /// Creates a worker without tasks.
    pub fn new(id: id::Worker, service: usize, user: User, mut rng: Rng) -> Host {
        let phase = rng.f64();
        let usage_lag_s = rng.u32(5..=30);
        let attempts = BTreeMap::new();
        Host { id, service, failing: false, user, phase, noise: 1.0, usage_lag_s, rng, attempts }
    }

    /// Draws the delay of one latency report, in seconds.
    pub fn draw_lag_s(&mut self) -> u32 {
        self.rng.u32(5..=30)
    }

    /// Executes a command. If it stops a running attempt, returns the work since the last
    /// checkpoint, which is lost, in seconds.
    pub fn receive(&mut self, command: &Command) -> Option<f64> {
        let key = (command.task, command.attempt);
        match &command.body {
            Body::Start(start) => {
                let class = start.payload.parse().unwrap_or_default();
                let saved_s = start.checkpoint.as_ref().and_then(|text| text.parse().ok());
                let saved_s = saved_s.unwrap_or_default();
                self.attempts.entry(key).or_insert_with(|| Attempt {
                    class,
                    state: State::Running,
                    done_s: saved_s,
                    saved_s,
                    checkpoint: start.checkpoint.clone(),
                    share: rate::Share::FULL,
                    age_s: 0,
                });
            }
            Body::Stop { .. } => return self.stop(key),
            Body::Checkpoint => {}
            Body::Throttle(share) => {
                if let Some(attempt) = self.attempts.get_mut(&key) {
                    attempt.share = *share;
                }
            }
            Body::Publish | Body::Forget => {
                self.attempts.remove(&key);
            }
        }
        None
    }

    /// Writes a checkpoint if the command requests one and the class of the attempt supports it.
    pub fn checkpoint(&mut self, command: &Command, classes: &[Class]) {
        let requested = matches!(command.body, Body::Checkpoint | Body::Stop { checkpoint: true });
        let attempt = self.attempts.get_mut(&(command.task, command.attempt));
        let Some(attempt) = attempt.filter(|attempt| requested && attempt.state == State::Running)
        else {
            return;
        };
        if !classes[attempt.class].checkpoints {
            return;
        }
        attempt.saved_s = attempt.done_s;
        attempt.checkpoint = Some(format_smolstr!("{:.1}", attempt.done_s));
    }

    fn stop(&mut self, key: (id::Task, id::Attempt)) -> Option<f64> {
        let attempt = self.attempts.entry(key).or_insert(Attempt {
            class: 0,
            state: State::Stopped,
            done_s: 0.0,
            saved_s: 0.0,
            checkpoint: None,
            share: rate::Share::FULL,
            age_s: 0,
        });
        if attempt.state != State::Running {
            return None;
        }
        attempt.state = State::Stopped;
        Some(attempt.done_s - attempt.saved_s)
    }

    /// Creates the report of a heartbeat. With `measured`, attempts older than the usage lag of the
    /// worker report their true processor usage; all others report the declared size.
    pub fn report(&self, clock: Duration, classes: &[Class], measured: bool) -> Report {
        let tasks = self.attempts.iter().map(|((task, id), attempt)| {
            let class = &classes[attempt.class];
            let mut usage = class.declared;
            if measured && attempt.age_s >= self.usage_lag_s {
                let milli = class.cores * f64::from(attempt.share.milli());
                usage.processor = size::Processor::from_milli(milli as u64);
            }
            Task {
                task: *task,
                attempt: *id,
                state: attempt.state,
                checkpoint: attempt.checkpoint.clone(),
                usage,
                share: attempt.share,
            }
        });
        Report {
            worker: self.id.clone(),
            incarnation: id::Incarnation::new(1),
            epoch: revision::Epoch::new(1),
            clock,
            capacity: self.user.capacity(),
            tasks: tasks.collect(),
        }
    }

    /// Advances all attempts and the service by one virtual second.
    pub fn step(&mut self, second: u32, classes: &[Class]) -> Step {
        let load = self.load(second);
        let cores = f64::from(self.user.cores());
        let reserved = cores / 4.0;
        let running = self.attempts.values().filter(|attempt| attempt.state == State::Running);
        let (mut used, mut interference) = (0.0, 0.0);
        for attempt in running {
            let class = &classes[attempt.class];
            let share = f64::from(attempt.share.milli()) / 1000.0;
            used += class.cores * share;
            interference += class.slowdown[self.service] * class.cores * share / (cores - reserved);
        }
        // The service has priority; batch work shares the remaining cores.
        let available = cores - reserved * load;
        let speed = if used > available { available / used } else { 1.0 };
        let overcommit = (used / available).clamp(1.0, OVERCOMMIT_MAX);
        if second.is_multiple_of(WINDOW_S) {
            let spike = if self.rng.f64() < SPIKE_PROBABILITY { 2.0 } else { 1.0 };
            self.noise = spike * (0.9 + 0.2 * self.rng.f64());
        }
        let uncontended = (0.5 + 0.25 * load) * self.noise;
        let slowdown = 1.0 + (0.25 + load) * interference * speed;
        let ratio = uncontended * slowdown * (1.0 + 0.25 * (overcommit - 1.0));
        let mut result = Step { ratio, ..Step::default() };
        for attempt in self.attempts.values_mut() {
            if attempt.state != State::Running {
                continue;
            }
            let class = &classes[attempt.class];
            attempt.age_s += 1;
            attempt.done_s += speed * f64::from(attempt.share.milli()) / 1000.0;
            if self.failing && f64::from(attempt.age_s) >= FAIL_AFTER_S {
                attempt.state = State::Failed(1);
            } else if attempt.done_s >= class.work_s {
                attempt.state = State::Succeeded;
                result.completed += class.work_s * class.cores;
                result.finished += 1;
            }
        }
        result
    }

    /// Returns the load of the service, from 0.1 to 0.9 of its capacity.
    fn load(&self, second: u32) -> f64 {
        let cycles = f64::from(second) / PERIOD_S + self.phase;
        0.5 + 0.4 * (cycles * std::f64::consts::TAU).sin()
    }
}
