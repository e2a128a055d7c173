//! Decisions as they are logged: one note each, with the inputs that decided it.

use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::{id, revision};
use smol_str::SmolStr;

use crate::interference::Level;
use crate::{job, order, task, worker};

/// Logged decision.
#[derive(Debug, Clone, PartialEq, Display)]
pub enum Event {
    /// A submission was accepted; it is acknowledged once it is stored.
    #[display("job={job} queue={queue} decision=accept tasks={tasks} backlog_ms={}", backlog.as_millis())]
    Accept {
        /// Job.
        job: id::Job,
        /// Queue.
        queue: SmolStr,
        /// Tasks of one occurrence.
        tasks: u32,
        /// Time in which the workers would finish the work that waits.
        backlog: Duration,
    },
    /// A submission was refused.
    #[display("job={job} queue={queue} decision=refuse reason={reason:?} backlog_ms={} retry_after_ms={}", backlog.as_millis(), retry_after.as_millis())]
    Refuse {
        /// Job.
        job: id::Job,
        /// Queue.
        queue: SmolStr,
        /// Reason.
        reason: SmolStr,
        /// Time in which the workers would finish the work that waits.
        backlog: Duration,
        /// When the client may ask again.
        retry_after: Duration,
    },
    /// A job was cancelled.
    #[display("job={job} decision=cancel state={state}")]
    Cancel {
        /// Job.
        job: id::Job,
        /// State before.
        state: job::State,
    },
    /// A job reached a final state.
    #[display("job={job} outcome={state} age_ms={}", age.as_millis())]
    Final {
        /// Job.
        job: id::Job,
        /// State.
        state: job::State,
        /// Time since the job was accepted.
        age: Duration,
    },
    /// A task was placed.
    #[display("task={task} run={run} decision=place worker={worker} waited_ms={} report_age_ms={}", waited.as_millis(), report_age.as_millis())]
    Place {
        /// Task.
        task: task::Id,
        /// Run number.
        run: revision::Run,
        /// Worker.
        worker: id::Worker,
        /// Time since the task became ready.
        waited: Duration,
        /// Age of the report of the worker that decided it.
        report_age: Duration,
    },
    /// A start was refused or not answered.
    #[display("task={task} run={run} worker={worker} outcome=start_failed reason={failure}")]
    StartFailed {
        /// Task.
        task: task::Id,
        /// Run number.
        run: revision::Run,
        /// Worker.
        worker: id::Worker,
        /// What the worker said.
        failure: order::Failure,
    },
    /// A run ended other than well.
    #[display("task={task} run={run} worker={worker} outcome={cause} failures={failures}")]
    Ended {
        /// Task.
        task: task::Id,
        /// Run number.
        run: revision::Run,
        /// Worker.
        worker: id::Worker,
        /// Cause.
        cause: worker::Cause,
        /// Failed runs of the task so far.
        failures: u32,
    },
    /// A run is gone without an end in the list of its worker.
    #[display("task={task} run={run} worker={worker} outcome=lost reason={reason:?}")]
    Lost {
        /// Task.
        task: task::Id,
        /// Run number.
        run: revision::Run,
        /// Worker.
        worker: id::Worker,
        /// Evidence.
        reason: &'static str,
    },
    /// A run is being stopped.
    #[display("task={task} run={run} worker={worker} decision=stop reason={reason:?}")]
    Stop {
        /// Task.
        task: task::Id,
        /// Run number.
        run: revision::Run,
        /// Worker.
        worker: id::Worker,
        /// Reason.
        reason: &'static str,
    },
    /// A worker is believed to be in another state.
    #[display("worker={worker} lifetime={incarnation} belief={state:?} contact_age_ms={}", contact_age.as_millis())]
    Worker {
        /// Worker.
        worker: id::Worker,
        /// Life.
        incarnation: revision::Incarnation,
        /// New belief.
        state: &'static str,
        /// Age of its last report.
        contact_age: Duration,
    },
    /// The pace of the filling tasks on a worker changed.
    #[display("worker={worker} decision=pace slack_percent={slack_percent}")]
    Pace {
        /// Worker.
        worker: id::Worker,
        /// Least measured ratio of a target to its tail, in percent.
        slack_percent: u64,
    },
    /// What is known of a filling and a serving image changed.
    #[display("filling_image={best_effort} serving_image={serving} verdict={level} tail_ms={tail_ms}")]
    Interference {
        /// Filling image.
        best_effort: SmolStr,
        /// Serving image.
        serving: SmolStr,
        /// What is known now.
        level: Level,
        /// Tail in the report that decided it, in milliseconds.
        tail_ms: u64,
    },
    /// State of the fleet, once a second. Processor sizes are in thousandths of a core.
    #[display(
        "workers={workers} open={open} capacity_m={capacity} lasting_m={long_running} reserved_m={reserved} filling_m={best_effort} waiting_tasks={waiting} jobs={jobs}"
    )]
    Load {
        /// Workers that are listed.
        workers: usize,
        /// Workers that take new tasks.
        open: usize,
        /// Capacity of the open workers.
        capacity: u64,
        /// Reserved by lasting tasks.
        long_running: u64,
        /// Reserved by other tasks.
        reserved: u64,
        /// Declared by filling tasks.
        best_effort: u64,
        /// Tasks that are ready and wait.
        waiting: usize,
        /// Jobs that have not ended.
        jobs: usize,
    },
    /// A configuration came into force.
    #[display("configuration={version} decision=apply queues={queues}")]
    Configuration {
        /// Version.
        version: u64,
        /// Number of queues.
        queues: usize,
    },
}

impl Event {
    /// Returns the kind, by which notes are counted.
    pub const fn kind(&self) -> &'static str {
        match self {
            Event::Accept { .. } => "accept",
            Event::Refuse { .. } => "refuse",
            Event::Cancel { .. } => "cancel",
            Event::Final { .. } => "final",
            Event::Place { .. } => "place",
            Event::StartFailed { .. } => "start_failed",
            Event::Ended { .. } => "ended",
            Event::Lost { .. } => "lost",
            Event::Stop { .. } => "stop",
            Event::Worker { .. } => "worker",
            Event::Pace { .. } => "pace",
            Event::Interference { .. } => "pressure",
            Event::Load { .. } => "load",
            Event::Configuration { .. } => "configuration",
        }
    }
}
