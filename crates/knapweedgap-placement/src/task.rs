//! Life cycle of a task: pending, placed, running, stopping, finished.
//!
//! A transition consumes the task, and only the transitions below exist. A task returns to
//! pending only through [`Task::end`], which requires a confirmed end of its attempt.
//!
//! A task that was never placed cannot be started:
//!
//! ```compile_fail,E0599
//! use knapweedgap_placement::task::{Pending, Task};
//! let task: Task<Pending> = Task::pending();
//! task.start();
//! ```
//!
//! A task that may be running cannot be placed again:
//!
//! ```compile_fail,E0599
//! use knapweedgap_placement::task::{Assignment, Placed, Task};
//! fn place_again(task: Task<Placed>, assignment: Assignment) {
//!     task.place(assignment);
//! }
//! ```

use derive_more::{Display, From};
use knapweedgap_core::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Most entries of [`History::failed_on`].
pub const FAILED_ON_MAX: usize = 4;

/// Worker to which an attempt is assigned. A worker that restarts has another incarnation and runs
/// none of the earlier attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Assignment {
    pub worker: id::Worker,
    /// Process of the worker; the report of a new incarnation ends the attempt.
    pub incarnation: id::Incarnation,
}

/// Reason for which an attempt is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stop {
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// Urgent work needs the capacity.
    #[display("room for urgent work")]
    Urgent,
    /// A service on the worker misses its latency target.
    #[display("interference with a service")]
    Interference,
    /// The worker is leaving, or its services now reserve the capacity.
    #[display("worker gives up the room")]
    #[serde(rename = "room")]
    Capacity,
}

/// Confirmed end of an attempt that did not complete the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The worker confirmed the stop of an eviction.
    #[display("evicted")]
    Evicted,
    /// The task exited with an error.
    #[display("failed with exit code {_0}")]
    Failed(i32),
    /// The task used more memory than it declared.
    #[display("used more memory than declared")]
    Memory,
    /// The worker stopped the task without a command, for example because its lease ended.
    #[display("stopped by the worker")]
    Stopped,
    /// The worker reported another incarnation.
    #[display("worker restarted")]
    Restarted,
    /// The latest possible lease end of the worker passed without a report.
    #[display("worker unreachable until its lease ended")]
    Lost,
}

/// Final outcome of a task.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task completed.
    #[display("succeeded")]
    Succeeded,
    /// The task failed and is not retried.
    #[display("failed: {reason}")]
    Failed {
        /// Reason shown to the team.
        reason: SmolStr,
    },
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
}

/// Accumulated results of the attempts of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Last attempt, starting at 1; 0 if the task was never placed.
    pub attempt: id::Attempt,
    /// Failures that count against the retry limit.
    pub failures: u32,
    /// Attempts that used more memory than declared.
    pub memory_faults: u32,
    /// Number of resumptions after an eviction.
    pub resumed: u32,
    /// Name of the last checkpoint, from which the next attempt resumes.
    pub checkpoint: Option<SmolStr>,
    /// Workers of the last failures, the newest last.
    pub failed_on: Vec<id::Worker>,
}

/// State: waiting for placement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pending;
/// State: the placement is committed, and the worker has not reported the task yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed(Assignment);
/// State: the worker reported the task as running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running(Assignment);
/// State: the stop is committed, and the worker has not confirmed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stopping(Assignment, Stop);
/// State: the outcome is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finished(Outcome);

/// A task in one state of its life cycle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task<State> {
    history: History,
    state: State,
}

impl<State> Task<State> {
    /// Returns the accumulated results of the attempts.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Clears the failures on a worker that caused them itself.
    pub fn clear_failures_on(mut self, worker: &id::Worker) -> Task<State> {
        let before = self.history.failed_on.len();
        self.history.failed_on.retain(|failed| failed != worker);
        let cleared = before - self.history.failed_on.len();
        let cleared = u32::try_from(cleared).unwrap_or(u32::MAX);
        self.history.failures = self.history.failures.saturating_sub(cleared);
        self
    }

    fn with_state<Next>(self, state: Next) -> Task<Next> {
        Task { history: self.history, state }
    }
}

impl Task<Pending> {
    /// Creates a task that was never placed.
    pub fn pending() -> Task<Pending> {
        Task { history: History::default(), state: Pending }
    }

    /// Starts the next attempt on the assigned worker.
    pub fn place(mut self, assignment: Assignment) -> Task<Placed> {
        self.history.attempt = id::Attempt::new(self.history.attempt.get() + 1);
        self.with_state(Placed(assignment))
    }

    /// Counts a resumption after an eviction.
    pub fn resume(mut self) -> Task<Pending> {
        self.history.resumed += 1;
        self
    }

    /// Finishes a task that is not placed again.
    pub fn finish(self, outcome: Outcome) -> Task<Finished> {
        self.with_state(Finished(outcome))
    }
}

impl Task<Placed> {
    /// Records that the worker reported the task as running.
    pub fn start(self) -> Task<Running> {
        let assignment = self.state.0.clone();
        self.with_state(Running(assignment))
    }
}

impl Task<Finished> {
    /// Returns the committed outcome.
    pub fn outcome(&self) -> &Outcome {
        &self.state.0
    }
}

/// State in which an attempt may be running.
pub trait Active {
    /// Returns the worker to which the attempt is assigned.
    fn assignment(&self) -> &Assignment;
}

impl Active for Placed {
    fn assignment(&self) -> &Assignment {
        &self.0
    }
}

impl Active for Running {
    fn assignment(&self) -> &Assignment {
        &self.0
    }
}

impl Active for Stopping {
    fn assignment(&self) -> &Assignment {
        &self.0
    }
}

impl<State> Task<State>
where
    State: Active,
{
    /// Records the decision to stop the attempt.
    pub fn stop(self, why: Stop) -> Task<Stopping> {
        let assignment = self.state.assignment().clone();
        self.with_state(Stopping(assignment, why))
    }

    /// Records a confirmed end of the attempt that did not complete the task.
    pub fn end(mut self, cause: Cause, checkpoint: Option<SmolStr>) -> Task<Pending> {
        if checkpoint.is_some() {
            self.history.checkpoint = checkpoint;
        }
        match cause {
            Cause::Failed(_) => {
                self.history.failures += 1;
                self.history.failed_on.push(self.state.assignment().worker.clone());
                let excess = self.history.failed_on.len().saturating_sub(FAILED_ON_MAX);
                self.history.failed_on.drain(..excess);
            }
            Cause::Memory => self.history.memory_faults += 1,
            Cause::Evicted | Cause::Stopped | Cause::Restarted | Cause::Lost => {}
        }
        self.with_state(Pending)
    }

    /// Records that the attempt completed the task.
    pub fn finish(self, outcome: Outcome) -> Task<Finished> {
        self.with_state(Finished(outcome))
    }
}

/// A task in any state of its life cycle, for storage.
#[derive(Debug, Clone, PartialEq, Eq, From, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Any {
    /// Waiting for placement.
    Pending(Task<Pending>),
    /// Placed; the worker has not reported it yet.
    Placed(Task<Placed>),
    /// Reported as running.
    Running(Task<Running>),
    /// Being stopped; the worker has not confirmed it yet.
    Stopping(Task<Stopping>),
    /// Outcome committed.
    Finished(Task<Finished>),
}

impl Any {
    /// Returns the accumulated results of the attempts.
    pub fn history(&self) -> &History {
        match self {
            Any::Pending(task) => task.history(),
            Any::Placed(task) => task.history(),
            Any::Running(task) => task.history(),
            Any::Stopping(task) => task.history(),
            Any::Finished(task) => task.history(),
        }
    }

    /// Returns the worker on which the current attempt may be running, or `None` if there is none.
    pub fn assignment(&self) -> Option<&Assignment> {
        match self {
            Any::Placed(task) => Some(task.state.assignment()),
            Any::Running(task) => Some(task.state.assignment()),
            Any::Stopping(task) => Some(task.state.assignment()),
            Any::Pending(_) | Any::Finished(_) => None,
        }
    }

    /// Returns the reason for which the attempt is being stopped, or `None` if it is not.
    pub fn stopping(&self) -> Option<Stop> {
        match self {
            Any::Stopping(task) => Some(task.state.1),
            _ => None,
        }
    }

    /// Clears the failures on a worker that caused them itself.
    pub fn clear_failures_on(self, worker: &id::Worker) -> Any {
        match self {
            Any::Pending(task) => task.clear_failures_on(worker).into(),
            Any::Placed(task) => task.clear_failures_on(worker).into(),
            Any::Running(task) => task.clear_failures_on(worker).into(),
            Any::Stopping(task) => task.clear_failures_on(worker).into(),
            Any::Finished(task) => task.clear_failures_on(worker).into(),
        }
    }

    /// Returns the name of the state, for error messages.
    pub fn name(&self) -> &'static str {
        match self {
            Any::Pending(_) => "pending",
            Any::Placed(_) => "placed",
            Any::Running(_) => "running",
            Any::Stopping(_) => "stopping",
            Any::Finished(_) => "finished",
        }
    }
}
