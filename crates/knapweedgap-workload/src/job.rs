//! Jobs as clients submit them, and the state that clients see.

use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::size;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Most steps of one job.
pub const STEPS_MAX: usize = 64;
/// Most tasks of one job, over all steps of one occurrence.
pub const TASKS_MAX: u32 = 4_096;
/// Longest payload that is handed to the tasks, in bytes.
pub const PAYLOAD_LEN_MAX: usize = 4_000;

/// Part of a job: tasks that need the same and run side by side.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Size of each task.
    pub size: size::Resources,
    /// Declared run time of each task; a rough figure.
    pub estimate: Duration,
    /// Earlier steps whose tasks must all be done first, by position.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u16>,
    /// The tasks keep checkpoints and can be resumed from them.
    pub checkpoints: bool,
    /// The tasks work only together: all are placed at once and end together.
    pub gang: bool,
    /// The tasks slow down when they run on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requires: Option<SmolStr>,
    /// Rack on which the data of the step is; the tasks are slower elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub near: Option<SmolStr>,
    /// Most tasks of one occurrence of the step on one worker; 0 means no limit.
    pub per_worker: u32,
    /// Copies of a task may run at the same time; the first that finishes counts.
    pub copies: bool,
    /// The tasks run until the job is cancelled and are restarted however they end.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run. Tasks of one image behave alike.
    pub image: SmolStr,
    /// Bound on the tail latency of the users of a lasting task.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tail_target: Option<Duration>,
    /// The processor time of the tasks is not reserved: they use what other tasks leave.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many lasting tasks of the step may be unavailable because of our actions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unavailable_max: Option<u32>,
}

/// Repetition of a job in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since 1970.
    pub start_ms: u64,
    /// Time between two occurrences.
    pub interval: Duration,
    /// Number of occurrences, at least 1.
    pub repetitions: u32,
}

/// What a client submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that is handed to every task.
    pub payload: String,
    /// Steps in order.
    pub steps: Vec<Step>,
    /// Repetition, if the job is timed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Fault of a submission, with its place.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{place}: {help}")]
pub struct Finding {
    /// Place in the submission, for example `steps[2].after`.
    pub place: SmolStr,
    /// What is expected there.
    pub help: SmolStr,
}

impl Spec {
    /// Returns every fault of the submission.
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
            if step.after.iter().any(|&earlier| usize::from(earlier) >= position) {
                find(format_smolstr!("steps[{position}].after"), "only earlier steps");
            }
        }
        if self.schedule.is_some_and(|schedule| schedule.repetitions == 0) {
            find("schedule.repetitions".into(), "at least 1 occurrence");
        }
        findings
    }

    /// Returns the processor time that all tasks of one occurrence need by their declared run
    /// times, in thousandths of a core times seconds.
    pub fn declared_work(&self) -> u64 {
        let work = |step: &Step| {
            let seconds = step.estimate.as_secs_f64();
            (step.size.processor.milli() as f64 * seconds) as u64 * u64::from(step.count)
        };
        self.steps.iter().map(work).sum()
    }

    /// Returns the longest chain of declared run times through the steps.
    pub fn declared_critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&earlier| ends.get(usize::from(earlier)));
            let start = before.max().copied().unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Tells whether all tasks last until the job is cancelled.
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
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks have ended well.
    #[display("completed")]
    Completed,
    /// A task failed as often as its queue allows.
    #[display("failed")]
    Failed,
    /// Cancelled by a client.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Tells whether the job will not change any more.
    pub fn is_final(self) -> bool {
        matches!(self, State::Completed | State::Failed | State::Cancelled)
    }
}
