//! Recent decisions on a job, and what is known about a job of which nothing is at work.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::{id, revision};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::event::Nearest;
use crate::{exclusion, loss, order, task, worker};

/// Decision on a job or a run, or an observation of a run.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Change {
    /// The job was accepted.
    #[display("accept")]
    Accept,
    /// The owner read the job from the records of an earlier one.
    #[display("restore")]
    Restore,
    /// The task was placed.
    #[display("place")]
    Place,
    /// The start was sent.
    #[display("sent")]
    Sent,
    /// The start was refused or not answered.
    #[display("start_failed reason=\"{_0}\"")]
    StartFailed(order::Failure),
    /// An answer or a report confirmed the run.
    #[display("confirmed")]
    Confirmed,
    /// A report listed the end of the run.
    #[display("ended cause={_0}")]
    Ended(worker::Cause),
    /// A stop was ordered.
    #[display("stop reason={_0:?}")]
    Stop(&'static str),
    /// The run was freed without a reported end.
    #[display("freed verdict={}", _0.name())]
    Freed(loss::Cause),
}

/// Run of a task on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("task={task} run={number} worker={worker}")]
pub struct Run {
    /// Task.
    pub task: task::Id,
    /// Number of the run.
    pub number: revision::Run,
    /// Worker that the task is or was assigned to.
    pub worker: id::Worker,
}

/// Past change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Time since the change.
    pub age: Duration,
    /// What changed.
    pub change: Change,
    /// First run that changed; `None` if the change is one of the whole job.
    pub run: Option<Run>,
    /// Number of runs of the job that changed alike at this time.
    pub runs: u32,
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "age_ms={} change={}", self.age.as_millis(), self.change)?;
        if let Some(run) = &self.run {
            write!(f, " {run}")?;
        }
        if self.runs > 1 {
            write!(f, " runs={}", self.runs)?;
        }
        Ok(())
    }
}

/// Task of a job that has been in its phase longest, tasks that are assigned to a worker first.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display(
    "oldest_phase={phase} oldest_task={task} phase_age_ms={} {}",
    age.as_millis(),
    worker.as_ref().map_or_else(|| "worker=none".into(), |worker| worker.to_smolstr())
)]
pub struct Oldest {
    /// Task.
    pub task: task::Id,
    /// Name of its phase.
    pub phase: &'static str,
    /// Time for which it has been in this phase.
    pub age: Duration,
    /// Worker that the task is assigned to; `None` if it waits.
    pub worker: Option<Contact>,
}

/// Contact to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("worker={worker} report_age_ms={} suspect={is_suspect} withheld={is_withheld}", report_age.as_millis())]
pub struct Contact {
    /// Worker.
    pub worker: id::Worker,
    /// Age of its last report.
    pub report_age: Duration,
    /// A call has failed since the last answered poll.
    pub is_suspect: bool,
    /// It gets no lease until the leases of its former incarnations have ended.
    pub is_withheld: bool,
}

/// Number of tasks by the name of their phase.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Phases {
    counts: BTreeMap<&'static str, u32>,
}

impl Phases {
    /// Counts one more task.
    pub fn add(&mut self, phase: &'static str) {
        *self.counts.entry(phase).or_default() += 1;
    }

    /// Returns the number of tasks in a phase.
    pub fn of(&self, phase: &str) -> u32 {
        self.counts.get(phase).copied().unwrap_or_default()
    }
}

impl fmt::Display for Phases {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.counts.is_empty() {
            return f.write_str("none");
        }
        for (position, (phase, count)) in self.counts.iter().enumerate() {
            let separator = if position > 0 { "," } else { "" };
            write!(f, "{separator}{phase}:{count}")?;
        }
        Ok(())
    }
}

/// Job of which nothing is at work although a step is ready, or was until now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Job.
    pub job: id::Job,
    /// Its queue.
    pub queue: SmolStr,
    /// Something of the job is at work now.
    pub has_moved: bool,
    /// First ready step that is not done; `None` if there is none any more.
    pub step: Option<task::Step>,
    /// Time for which nothing of the job was at work.
    pub time: Duration,
    /// Tasks of the ready steps that are not done.
    pub phases: Phases,
    /// The step waits for its turn in the rotation of the placement passes.
    pub is_untried: bool,
    /// Task that has been in its phase longest.
    pub oldest: Option<Oldest>,
    /// Workers that are excluded for a waiting task of the step.
    pub excluded: exclusion::Count,
    /// Excluded worker that passes most checks; `None` if no worker is excluded.
    pub nearest: Option<Nearest>,
    /// Last decisions on the job, the oldest first.
    pub history: Vec<Entry>,
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let decision = if self.has_moved { "move" } else { "stand" };
        let step = self.step.map_or_else(|| "none".into(), |step| format_smolstr!("{step}"));
        write!(
            f,
            "job={} queue={} decision={decision} step={step} standing_ms={} phases={} untried={}",
            self.job,
            self.queue,
            self.time.as_millis(),
            self.phases,
            self.is_untried
        )?;
        match &self.oldest {
            Some(oldest) => write!(f, " {oldest}")?,
            None => f.write_str(" oldest_phase=none")?,
        }
        write!(f, " excluded={}", self.excluded)?;
        match &self.nearest {
            Some(nearest) => write!(f, " {nearest}")?,
            None => f.write_str(" nearest=none")?,
        }
        for entry in &self.history {
            write!(f, " | {entry}")?;
        }
        Ok(())
    }
}
