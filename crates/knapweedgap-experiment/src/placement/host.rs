//! Fake of a worker with the service that it hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use knapweedgap_core::{id, rate, revision, size};
use knapweedgap_placement::command::{Body, Command};
use knapweedgap_placement::report::{Report, State, Task};
use smol_str::{SmolStr, format_smolstr};

use super::case::User;
use super::load::Class;

/// Seconds over which a service measures its latency.
pub const WINDOW_S: u32 = 5;
/// Chance of a window in which the service is slow for reasons of its own.
const SPIKE: f64 = 0.01;
/// Period of the load of a service.
const PERIOD_S: f64 = 1800.0;
/// Delay after which a worker that fails everything fails a task.
const FAIL_AFTER_S: f64 = 1.0;

/// Largest ratio of wanted to available cores that shows in the latency of the service.
const CROWDED_MAX: f64 = 4.0;

/// Attempt that the worker knows.
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

/// What happened on the worker in a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    /// Latency of the service, relative to its target.
    pub ratio: f64,
    /// Core seconds of the tasks that completed.
    pub completed: f64,
    /// Tasks that completed.
    pub finished: u64,
}

/// Fake worker.
#[derive(Debug)]
pub struct Host {
    /// Id.
    pub id: id::Worker,
    /// Number of the service that it hosts.
    pub service: usize,
    /// Whether it fails every task.
    pub failing: bool,
    user: User,
    phase: f64,
    noise: f64,
    lag_s: u32,
    rng: Rng,
    attempts: BTreeMap<(id::Task, id::Attempt), Attempt>,
}

impl Host {
    /// Creates a worker without tasks.
    pub fn new(id: id::Worker, service: usize, user: User, mut rng: Rng) -> Host {
        let phase = rng.f64();
        let lag_s = rng.u32(5..=30);
        let attempts = BTreeMap::new();
        Host { id, service, failing: false, user, phase, noise: 1.0, lag_s, rng, attempts }
    }

    /// Draws the lag of one latency report.
    pub fn draw_lag_s(&mut self) -> u32 {
        self.rng.u32(5..=30)
    }

    /// Carries out a command. Returns the seconds of work that a stop has lost, if it was one that
    /// ended a running attempt.
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

    /// Writes a checkpoint of an attempt whose class can do so.
    pub fn checkpoint(&mut self, command: &Command, classes: &[Class]) {
        let wanted = matches!(command.body, Body::Checkpoint | Body::Stop { checkpoint: true });
        let attempt = self.attempts.get_mut(&(command.task, command.attempt));
        let Some(attempt) = attempt.filter(|attempt| wanted && attempt.state == State::Running)
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

    /// Builds the report of a heartbeat. Measured use shows after the lag of the worker.
    pub fn report(&self, clock: Duration, classes: &[Class], measured: bool) -> Report {
        let tasks = self.attempts.iter().map(|((task, attempt), known)| {
            let class = &classes[known.class];
            let mut usage = class.declared;
            if measured && known.age_s >= self.lag_s {
                let milli = class.cores * f64::from(known.share.milli());
                usage.processor = size::Processor::from_milli(milli as u64);
            }
            Task {
                task: *task,
                attempt: *attempt,
                state: known.state,
                checkpoint: known.checkpoint.clone(),
                usage,
                share: known.share,
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

    /// Lets one second pass.
    pub fn step(&mut self, second: u32, classes: &[Class]) -> Second {
        let load = self.load(second);
        let cores = f64::from(self.user.cores());
        let reserved = cores / 4.0;
        let running = self.attempts.values().filter(|known| known.state == State::Running);
        let (mut used, mut pressure) = (0.0, 0.0);
        for known in running {
            let class = &classes[known.class];
            let share = f64::from(known.share.milli()) / 1000.0;
            used += class.cores * share;
            pressure += class.slowdown[self.service] * class.cores * share / (cores - reserved);
        }
        // The service goes first, so batch work shares what it leaves.
        let room = cores - reserved * load;
        let speed = if used > room { room / used } else { 1.0 };
        let crowded = (used / room).clamp(1.0, CROWDED_MAX);
        if second.is_multiple_of(WINDOW_S) {
            let spike = if self.rng.f64() < SPIKE { 2.0 } else { 1.0 };
            self.noise = spike * (0.9 + 0.2 * self.rng.f64());
        }
        let own = (0.5 + 0.25 * load) * self.noise;
        let beside = 1.0 + (0.25 + load) * pressure * speed;
        let ratio = own * beside * (1.0 + 0.25 * (crowded - 1.0));
        let mut result = Second { ratio, ..Second::default() };
        for known in self.attempts.values_mut() {
            if known.state != State::Running {
                continue;
            }
            let class = &classes[known.class];
            known.age_s += 1;
            known.done_s += speed * f64::from(known.share.milli()) / 1000.0;
            if self.failing && f64::from(known.age_s) >= FAIL_AFTER_S {
                known.state = State::Failed(1);
            } else if known.done_s >= class.work_s {
                known.state = State::Succeeded;
                result.completed += class.work_s * class.cores;
                result.finished += 1;
            }
        }
        result
    }

    /// Returns the load of the service between 0 and 1.
    fn load(&self, second: u32) -> f64 {
        let turns = f64::from(second) / PERIOD_S + self.phase;
        0.5 + 0.4 * (turns * std::f64::consts::TAU).sin()
    }
}
