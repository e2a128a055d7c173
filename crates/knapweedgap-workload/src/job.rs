//! Submitted jobs and the states that are shown to clients.

use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::size;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Most steps of one job.
pub const STEPS_MAX: usize = 64;
/// Most tasks of one job, over all steps of one occurrence.
pub const TASKS_MAX: u32 = 4_096;
/// Longest declared run time of a task.
pub const ESTIMATE_MAX: Duration = Duration::from_secs(366 * 24 * 60 * 60);
/// Longest payload, in bytes.
pub const PAYLOAD_LEN_MAX: usize = 4_000;

/// Part of a job: tasks with the same requirements that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Size of each task.
    pub size: size::Resources,
    /// Declared run time of each task; an estimate by the client.
    pub estimate: Duration,
    /// Positions of earlier steps whose tasks must all be done before this step starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// The tasks write checkpoints and can resume from them.
    pub checkpoints: bool,
    /// The tasks make progress only together: all are placed at once and end together.
    pub gang: bool,
    /// The tasks are slower when they run on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have; `None` allows all workers.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<SmolStr>,
    /// Rack that holds the data of the step; the tasks are slower elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near: Option<SmolStr>,
    /// Most tasks of one occurrence of the step on one worker; 0 means no limit.
    pub per_worker: u32,
    /// Copies of a task may run at the same time; the result of the first to finish is used.
    pub copies: bool,
    /// The tasks run until the job is cancelled and are restarted whenever they end.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Name of the image that the tasks run. Tasks of the same image behave alike.
    pub image: SmolStr,
    /// Bound on the tail latency of a serving task; `None` for tasks that serve no users.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_target: Option<Duration>,
    /// The processor time of the tasks is not reserved: they use what other tasks leave unused.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Largest number of long-running tasks of the step that the scheduler may make unavailable at
    /// the same time; `None` means no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unavailable_max: Option<u32>,
}

impl Step {
    /// Returns the capacity that a task reserves. The processor time of a best-effort task is not
    /// reserved.
    pub fn reserved_size(&self) -> size::Resources {
        if !self.best_effort {
            return self.size;
        }
        size::Resources { processor: size::Processor::default(), ..self.size }
    }

    /// Returns the number of tasks that fit `room` on one worker, at most the limit for each worker.
    pub fn slots(&self, room: &size::Resources) -> u64 {
        let size = self.reserved_size();
        let mut slots = match self.per_worker {
            0 => u64::from(u32::MAX),
            limit => u64::from(limit),
        };
        let shares = [
            (room.processor.milli(), size.processor.milli()),
            (room.memory.get(), size.memory.get()),
            (u64::from(room.accelerator.get()), u64::from(size.accelerator.get())),
        ];
        for (room, each) in shares {
            slots = slots.min(room.checked_div(each).unwrap_or(u64::MAX));
        }
        slots
    }
}

/// Periodic repetition of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub start_ms: u64,
    /// Time between the due times of successive occurrences.
    pub interval: Duration,
    /// Number of occurrences, at least 1.
    pub repetitions: u32,
}

/// Submission of a client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that is passed to every task, at most [`PAYLOAD_LEN_MAX`] bytes.
    pub payload: String,
    /// Steps in order, at most [`STEPS_MAX`].
    pub steps: Vec<Step>,
    /// Repetition; `None` for a job that runs once, at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Error in a submission, with its place.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{place}: {help}")]
pub struct Finding {
    /// Path of the field in the submission, for example `steps[2].after`.
    pub place: SmolStr,
    /// Description of the expected value.
    pub help: SmolStr,
}

impl Spec {
    /// Returns all errors of the submission.
    pub fn check(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let mut find = |place: SmolStr, help: &str| {
            findings.push(Finding { place, help: help.into() });
        };
        if self.payload.len() > PAYLOAD_LEN_MAX {
            find("payload".into(), "at most 4000 bytes");
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            find("steps".into(), "1 to 64 steps");
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > u64::from(TASKS_MAX) {
            find("steps".into(), "at most 4096 tasks");
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                find(format_smolstr!("steps[{position}].count"), "at least 1 task");
            }
            if step.estimate > ESTIMATE_MAX {
                find(format_smolstr!("steps[{position}].estimate"), "at most 366 days");
            }
            if step.after.iter().any(|&earlier| usize::from(earlier) >= position) {
                find(format_smolstr!("steps[{position}].after"), "only earlier steps");
            }
        }
        if self.schedule.is_some_and(|schedule| schedule.repetitions == 0) {
            find("schedule.repetitions".into(), "at least 1 occurrence");
        }
        findings
    }

    /// Returns the sum of the declared run times on the longest chain of dependent steps.
    pub fn declared_critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let predecessors =
                step.after.iter().filter_map(|&earlier| ends.get(usize::from(earlier)));
            let start = predecessors.max().copied().unwrap_or_default();
            ends.push(start.saturating_add(step.estimate));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns `true` if any step has long-running tasks, so that the job runs until it is
    /// cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepted, and no task has started.
    #[display("queued")]
    Queued,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// All tasks have finished their work.
    #[display("completed")]
    Completed,
    /// A task failed as often as its queue allows ([`crate::configuration::Queue::attempts_max`]).
    #[display("failed")]
    Failed,
    /// Cancelled by a client.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Returns `true` if the state will not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}
