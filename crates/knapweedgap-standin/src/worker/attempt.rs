//! Life cycle of an attempt on its worker: running, then ended.

use std::collections::VecDeque;

use knapweedgap_core::{id, rate, size};
use knapweedgap_worker::wire;
use smol_str::{SmolStr, format_smolstr};

use super::behaviour::Behaviour;

/// Thousandths in a whole share; also microseconds in a millisecond.
const MILLI: u64 = 1000;

/// How an attempt ends unless a command or a lease expiry ends it first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    Succeed,
    Fail,
    OverMemory,
}

pub(super) const FAILURE_EXIT_CODE: i32 = 1;

/// State of a running attempt.
#[derive(Debug)]
pub(super) struct Running {
    /// Work done up to `since_us`, in microseconds.
    progress_us: u64,
    since_us: u64,
    share: rate::Share,
    outcome: Outcome,
    /// Work at which the outcome occurs, in microseconds.
    outcome_us: u64,
    started_us: u64,
    memory: size::Bytes,
    /// Changes of the resource usage with their time, oldest first. Reports lag, so they contain
    /// an earlier usage.
    usage: VecDeque<(u64, size::Resources)>,
    /// Clock at which the lease that the start command itself grants expires, in microseconds.
    expires_us: u64,
    pub(super) checkpoint_due_us: Option<u64>,
}

/// State of an ended attempt.
#[derive(Debug)]
pub(super) struct Ended {
    state: wire::State,
    measured_us: u64,
    /// Work done, in microseconds.
    pub(super) progress_us: u64,
}

/// Attempt of a task in the state `State`.
#[derive(Debug)]
pub(super) struct Attempt<State> {
    pub(super) run: wire::Run,
    pub(super) partition: id::Partition,
    pub(super) size: size::Resources,
    pub(super) checkpoint: Option<SmolStr>,
    pub(super) state: State,
}

/// Attempt in either state.
#[derive(Debug)]
pub(super) enum Any {
    Running(Attempt<Running>),
    Ended(Attempt<Ended>),
}

impl Attempt<Running> {
    /// Starts an attempt. The random number `draw`, from 0 to 1, decides whether it fails.
    /// Returns `None` if the checkpoint name does not have the form that workers generate.
    pub(super) fn start(
        message: &wire::Start,
        behaviour: &Behaviour,
        draw: f64,
        now_us: u64,
    ) -> Option<Attempt<Running>> {
        let progress_us = match &message.checkpoint {
            Some(name) => parse_progress(name)?,
            None => 0,
        };
        let declared_us = message.run_time_ms.saturating_mul(MILLI);
        let total_us = scale(declared_us, behaviour.run_time_factor).max(progress_us);
        let half_us = progress_us.midpoint(total_us);
        let (outcome, outcome_us) = if behaviour.failure_share >= 1.0 {
            (Outcome::Fail, progress_us)
        } else if draw < behaviour.failure_share {
            (Outcome::Fail, half_us)
        } else if behaviour.memory_factor > 1.0 {
            (Outcome::OverMemory, half_us)
        } else {
            (Outcome::Succeed, total_us)
        };
        let memory = scale(message.size.memory.get(), behaviour.memory_factor);
        let state = Running {
            progress_us,
            since_us: now_us,
            share: rate::Share::FULL,
            outcome,
            outcome_us,
            started_us: now_us,
            memory: size::Bytes::new(memory),
            usage: VecDeque::new(),
            expires_us: message.expires_us,
            checkpoint_due_us: None,
        };
        let mut attempt = Attempt {
            run: wire::Run { task: message.head.task, attempt: message.head.attempt },
            partition: message.head.partition,
            size: message.size,
            checkpoint: message.checkpoint.clone(),
            state,
        };
        attempt.record_usage(now_us);
        Some(attempt)
    }

    pub(super) fn share(&self) -> rate::Share {
        self.state.share
    }

    pub(super) fn outcome(&self) -> Outcome {
        self.state.outcome
    }

    /// Returns the end of the attempt's lease, given `granted_us`, the end of the partition's
    /// lease.
    pub(super) fn lease_end_us(&self, granted_us: u64) -> u64 {
        granted_us.max(self.state.expires_us)
    }

    /// Returns the work done, in microseconds, at most the work at which the outcome occurs.
    pub(super) fn progress_us(&self, now_us: u64) -> u64 {
        let elapsed_us = now_us.saturating_sub(self.state.since_us);
        let done_us = elapsed_us.saturating_mul(self.share_milli()) / MILLI;
        self.state.progress_us.saturating_add(done_us).min(self.state.outcome_us)
    }

    /// Returns the clock at which the outcome occurs, in microseconds.
    pub(super) fn outcome_time_us(&self) -> u64 {
        let left_us = self.state.outcome_us.saturating_sub(self.state.progress_us);
        let time_us = left_us.saturating_mul(MILLI).div_ceil(self.share_milli());
        self.state.since_us.saturating_add(time_us)
    }

    pub(super) fn throttle(&mut self, share: rate::Share, now_us: u64) {
        self.state.progress_us = self.progress_us(now_us);
        self.state.since_us = now_us;
        self.state.share = share;
        self.record_usage(now_us);
    }

    /// Writes a checkpoint. Its name contains the progress, so any worker can resume from it.
    pub(super) fn write_checkpoint(&mut self, now_us: u64) {
        let progress_us = self.progress_us(now_us);
        self.checkpoint = Some(format_smolstr!("a{}-{progress_us}", self.run.attempt));
    }

    pub(super) fn end(self, state: wire::State, now_us: u64) -> Attempt<Ended> {
        let progress_us = self.progress_us(now_us);
        Attempt {
            run: self.run,
            partition: self.partition,
            size: self.size,
            checkpoint: self.checkpoint,
            state: Ended { state, measured_us: now_us, progress_us },
        }
    }

    /// Returns the report of the attempt, with its resource usage of `lag_us` microseconds ago.
    pub(super) fn report(&mut self, now_us: u64, lag_us: u64) -> wire::Task {
        let measured_us = now_us.saturating_sub(lag_us).max(self.state.started_us);
        let usage = &mut self.state.usage;
        while usage.get(1).is_some_and(|(at_us, _)| *at_us <= measured_us) {
            usage.pop_front();
        }
        wire::Task {
            task: self.run.task,
            attempt: self.run.attempt,
            state: wire::State::Running,
            exit: None,
            checkpoint: self.checkpoint.clone(),
            usage: usage.front().map(|(_, usage)| *usage).unwrap_or_default(),
            measured_us,
            share: self.state.share,
        }
    }

    fn record_usage(&mut self, now_us: u64) {
        let milli = self.size.processor.milli().saturating_mul(self.share_milli()) / MILLI;
        let usage = size::Resources {
            processor: size::Processor::from_milli(milli),
            memory: self.state.memory,
            accelerator: self.size.accelerator,
        };
        self.state.usage.push_back((now_us, usage));
    }

    fn share_milli(&self) -> u64 {
        u64::from(self.state.share.milli()).max(1)
    }
}

impl Attempt<Ended> {
    /// Creates the entry of an attempt whose stop arrived before its start.
    pub(super) fn never_started(head: &wire::Head, now_us: u64) -> Attempt<Ended> {
        Attempt {
            run: wire::Run { task: head.task, attempt: head.attempt },
            partition: head.partition,
            size: size::Resources::default(),
            checkpoint: None,
            state: Ended { state: wire::State::Stopped, measured_us: now_us, progress_us: 0 },
        }
    }

    pub(super) fn is_succeeded(&self) -> bool {
        self.state.state == wire::State::Succeeded
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.state.state == wire::State::Stopped
    }

    pub(super) fn report(&self) -> wire::Task {
        let failed = self.state.state == wire::State::Failed;
        wire::Task {
            task: self.run.task,
            attempt: self.run.attempt,
            state: self.state.state,
            exit: failed.then_some(FAILURE_EXIT_CODE),
            checkpoint: self.checkpoint.clone(),
            usage: size::Resources::default(),
            measured_us: self.state.measured_us,
            share: rate::Share::FULL,
        }
    }
}

impl Any {
    pub(super) fn partition(&self) -> id::Partition {
        match self {
            Any::Running(attempt) => attempt.partition,
            Any::Ended(attempt) => attempt.partition,
        }
    }
}

/// Parses the progress, in microseconds, from the name of a checkpoint.
fn parse_progress(name: &str) -> Option<u64> {
    let (attempt, progress_us) = name.strip_prefix('a')?.split_once('-')?;
    attempt.parse::<id::Attempt>().ok()?;
    progress_us.parse().ok()
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a simulated run time needs no more than 53 bits, and the cast saturates"
)]
fn scale(value: u64, factor: f64) -> u64 {
    (value as f64 * factor) as u64
}
