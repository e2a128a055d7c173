//! Logged events: one for each decision or change of state, with the inputs that led to it.

use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::{id, revision};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::evacuation::Change;
use crate::exclusion::{self, Exclusion};
use crate::interference::Level;
use crate::{history, job, loss, order, task, worker};

/// Excluded worker that passes most checks for a task.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display(
    "nearest={worker} reason={reason} unused_m={unused} slack_percent={}",
    slack.map_or_else(|| "none".into(), |slack| format_smolstr!("{slack}"))
)]
pub struct Nearest {
    /// Worker.
    pub worker: id::Worker,
    /// First check that it does not pass.
    pub reason: Exclusion,
    /// Processor time that its tasks are expected to leave unused, in thousandths of a core.
    pub unused: u64,
    /// Least slack of its serving tasks beside a best-effort task, in percent; `None` if it has none
    /// or the task is not best-effort.
    pub slack: Option<u64>,
}

/// What became of a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reserved {
    /// Room is kept from now on.
    #[display("made")]
    Made,
    /// A task of the step was placed there.
    #[display("met")]
    Met,
    /// Its time has come without room, and another worker is held in its place.
    #[display("moved")]
    Moved,
    /// Its time has come without room.
    #[display("lapsed")]
    Lapsed,
    /// The worker takes no tasks any more.
    #[display("excluded")]
    Excluded,
    /// The tasks of the step were placed elsewhere, or its job has ended.
    #[display("unneeded")]
    Unneeded,
}

/// Logged decision or change of state.
///
/// `backlog` is the time in which the workers would finish the accepted work that goes before the
/// job.
#[derive(Debug, Clone, PartialEq, Display)]
#[expect(missing_docs, reason = "the names of the other fields say what they hold")]
pub enum Event {
    /// A submission was accepted; it is acknowledged once it is stored.
    #[display("job={job} queue={queue} decision=accept tasks={tasks} backlog_ms={}", backlog.as_millis())]
    Accept {
        job: id::Job,
        queue: SmolStr,
        /// Tasks of one occurrence.
        tasks: u32,
        backlog: Duration,
    },
    /// A submission was refused.
    #[display("job={job} queue={queue} decision=refuse reason={reason:?} backlog_ms={} retry_after_ms={}", backlog.as_millis(), retry_after.as_millis())]
    Refuse {
        job: id::Job,
        queue: SmolStr,
        reason: SmolStr,
        backlog: Duration,
        /// Time after which the client may retry.
        retry_after: Duration,
    },
    /// A job was cancelled.
    #[display("job={job} decision=cancel state={state}")]
    Cancel {
        job: id::Job,
        /// State before the cancellation.
        state: job::State,
    },
    /// A job that is not known was cancelled; a later submission of it is refused.
    #[display("job={job} decision=withdraw")]
    Withdraw { job: id::Job },
    /// A job reached a final state.
    #[display("job={job} outcome={state} age_ms={}", age.as_millis())]
    Final {
        job: id::Job,
        state: job::State,
        /// Time since the job was accepted.
        age: Duration,
    },
    /// A task was placed.
    #[display("task={task} run={run} decision=place worker={worker} waited_ms={} report_age_ms={} speed_percent={speed}", waited.as_millis(), report_age.as_millis())]
    Place {
        task: task::Id,
        run: revision::Run,
        worker: id::Worker,
        /// Time since the task's occurrence began or its last run ended.
        waited: Duration,
        /// Age of the worker's last report when the task was placed.
        report_age: Duration,
        /// Speed at which the run starts, in percent.
        speed: u32,
        /// The task needs at least a quarter of the largest worker.
        is_wide: bool,
    },
    /// A reservation of room for a wide step was made, met, moved or dropped.
    #[display("step={step} decision=reserve outcome={outcome} worker={worker} expected_ms={} actual_ms={}", expected.as_millis(), actual.as_millis())]
    Reservation {
        step: task::Step,
        worker: id::Worker,
        outcome: Reserved,
        /// Wait that was expected when the worker was first held.
        expected: Duration,
        /// Time for which it was held.
        actual: Duration,
    },
    /// A start was refused or not answered.
    #[display("task={task} run={run} worker={worker} outcome=start_failed reason={failure}")]
    StartFailed { task: task::Id, run: revision::Run, worker: id::Worker, failure: order::Failure },
    /// A run ended without finishing its work.
    #[display(
        "task={task} run={run} worker={worker} outcome={cause} current={current} failures={failures} attempts_max={}",
        attempts_max.map_or_else(|| "unknown".into(), |attempts| format_smolstr!("{attempts}"))
    )]
    Ended {
        task: task::Id,
        run: revision::Run,
        worker: id::Worker,
        cause: worker::Cause,
        /// The task was assigned to this run. `false` for a surplus run.
        current: bool,
        /// Failed runs of the task so far.
        failures: u32,
        /// Number of failed runs after which the job fails; `None` while the queue is not known.
        attempts_max: Option<u32>,
    },
    /// The run of a task that allows copies became a surplus run, so that a copy can start.
    #[display(
        "task={} run={} worker={worker} decision=detach reason=\"its worker is unreachable\" loss={number} {run}", run.task, run.number
    )]
    Detach {
        worker: id::Worker,
        /// Number of the verdict in this term.
        number: u64,
        run: Box<loss::Run>,
    },
    /// Runs on a worker were freed before a report showed their end. One event for each of them
    /// follows.
    #[display(
        "worker={worker} decision=free loss={number} runs={runs} verdict={cause} {}",
        state.as_ref().map_or_else(|| "lifetime=none".into(), |state| state.to_smolstr())
    )]
    Verdict {
        worker: id::Worker,
        /// Number of the verdict in this term.
        number: u64,
        cause: loss::Cause,
        runs: usize,
        /// The worker as the owner knew it; `None` if it was not listed in this term.
        state: Option<Box<loss::Worker>>,
    },
    /// A run was lost: its worker did not report how it ended.
    #[display(
        "task={} run={} worker={worker} outcome=lost verdict={} loss={number} {run}",
        run.task, run.number, cause.name()
    )]
    Lost {
        worker: id::Worker,
        /// Number of the verdict in this term.
        number: u64,
        cause: loss::Cause,
        run: Box<loss::Run>,
    },
    /// A report shows a run that was freed before. If the task is assigned again, it may run twice.
    #[display(
        "task={task} run={run} worker={worker} decision=recognise state={sighting} verdict={} loss={number} freed_age_ms={} {}",
        cause.name(),
        age.as_millis(),
        current.as_ref().map_or_else(
            || "current_run=none".into(),
            |(run, worker)| format_smolstr!("current_run={run} current_worker={worker}")
        )
    )]
    Sighted {
        task: task::Id,
        run: revision::Run,
        worker: id::Worker,
        sighting: loss::Sighting,
        /// Number of the verdict that freed the run.
        number: u64,
        cause: loss::Cause,
        /// Time since the run was freed.
        age: Duration,
        /// Run that the task is assigned to now, with its worker.
        current: Option<(revision::Run, id::Worker)>,
    },
    /// The numbers of the ended runs in the reports of a worker have a gap, so an end may have been
    /// lost.
    #[display("worker={worker} decision=acknowledge ends_skipped_after={last} next_end={next}")]
    EndsSkipped {
        worker: id::Worker,
        /// Last end that was handled.
        last: revision::End,
        next: revision::End,
    },
    /// A report has rows that could not be decoded, so it frees no runs.
    #[display("worker={worker} decision=keep undecoded_rows={rows}")]
    Undecoded { worker: id::Worker, rows: u32 },
    /// Runs on a worker without contact stay assigned until all leases of the worker have expired.
    #[display("worker={worker} decision=hold runs={runs} until_ms={} reason={reason:?}", remaining.as_millis())]
    Hold {
        worker: id::Worker,
        runs: usize,
        /// Time until the leases have expired.
        remaining: Duration,
        /// Grounds for this time.
        reason: &'static str,
    },
    /// A run is being stopped.
    #[display("task={task} run={run} worker={worker} decision=stop reason={reason:?}")]
    Stop { task: task::Id, run: revision::Run, worker: id::Worker, reason: &'static str },
    /// The state of a worker changed.
    #[display("worker={worker} lifetime={incarnation} belief={state:?} contact_age_ms={}", contact_age.as_millis())]
    Worker {
        worker: id::Worker,
        incarnation: revision::Incarnation,
        state: &'static str,
        /// Age of the worker's last report.
        contact_age: Duration,
    },
    /// The speed of best-effort tasks on a worker changed.
    #[display("worker={worker} decision=pace slack_percent={slack_percent}")]
    Speed {
        worker: id::Worker,
        /// Least slack of the serving tasks on the worker, in percent.
        slack_percent: u64,
    },
    /// The level of interference of a best-effort image with a serving image changed.
    #[display(
        "filling_image={best_effort} serving_image={serving} verdict={level} tail_ms={tail_ms}"
    )]
    Interference {
        best_effort: SmolStr,
        serving: SmolStr,
        level: Level,
        /// Tail latency in the report that changed the level, in milliseconds.
        tail_ms: u64,
    },
    /// State of the fleet, once a second. Processor sizes are in thousandths of a core.
    #[display(
        "workers={workers} open={open} capacity_m={capacity} lasting_m={long_running} reserved_m={reserved} filling_m={best_effort} waiting_tasks={waiting} untried_steps={untried} idle_jobs={idle} slow_runs={slow} held_runs={held} jobs={jobs} searches={searches} placed={placed} list_age_ms={}", list_age.as_millis()
    )]
    Load {
        /// Known workers, listed by the platform or not.
        workers: usize,
        /// Workers that accept new tasks.
        open: usize,
        /// Processors of the open workers.
        capacity: u64,
        /// Reserved by long-running tasks.
        long_running: u64,
        /// Reserved by tasks that are neither long-running nor best-effort.
        reserved: u64,
        /// Declared by best-effort tasks.
        best_effort: u64,
        /// Tasks that are ready and not placed.
        waiting: usize,
        /// Steps with waiting tasks that the last placement pass ended before.
        untried: usize,
        /// Jobs with a ready step of which nothing is assigned to a worker.
        idle: usize,
        /// Best-effort runs that are suspended or slow beside serving tasks.
        slow: usize,
        /// Runs on workers without contact, which stay assigned until the leases have expired.
        held: usize,
        /// Jobs that have not ended or still have runs.
        jobs: usize,
        /// Passes over the fleet for a worker since the last event.
        searches: u64,
        /// Tasks placed since the last event.
        placed: u64,
        /// Age of the list of workers.
        list_age: Duration,
    },
    /// Jobs of a queue with a ready step, of which nothing has been at work for a second or more.
    /// Once a second, and once when there are none any more.
    #[display("queue={queue} idle_jobs={jobs} longest_ms={}", longest.as_millis())]
    IdleQueue { queue: SmolStr, jobs: usize, longest: Duration },
    /// A job of which nothing is at work although a step is ready, or that moves again, with the last
    /// decisions on it.
    #[display("{_0}")]
    Standing(Box<history::Standing>),
    /// Why nothing of a job is assigned to a worker, for the jobs that have been idle longest.
    #[display(
        "step={step} decision=wait idle_ms={} waiting_tasks={waiting} untried={is_untried} excluded={excluded} {}",
        idle.as_millis(),
        nearest.as_ref().map_or_else(|| "nearest=none".into(), |nearest| nearest.to_smolstr())
    )]
    Idle {
        /// First ready step of the job.
        step: task::Step,
        /// Time for which nothing of the job has been assigned.
        idle: Duration,
        /// Tasks of the step that are not placed.
        waiting: usize,
        /// The step waits for its turn in the rotation of the placement passes.
        is_untried: bool,
        /// Workers of the service and label that are excluded for a task of the step.
        excluded: exclusion::Count,
        /// Excluded worker that passes most checks; `None` if no worker is excluded.
        nearest: Option<Nearest>,
    },
    /// The owner has become delayed, so that it hears workers late, or punctual again.
    #[display("owner_delayed={delayed} delay_ms={}", delay.as_millis())]
    Delay { delayed: bool, delay: Duration },
    /// The list of workers has become too old to place tasks by it, or is read in time again.
    #[display("list_outdated={is_outdated} list_age_ms={}", age.as_millis())]
    List { is_outdated: bool, age: Duration },
    /// The evacuated zones have been known for too long to place tasks, or are known in time again.
    #[display("zones_outdated={is_outdated} zones_age_ms={}", age.as_millis())]
    Zones { is_outdated: bool, age: Duration },
    /// Operators have begun or ended the evacuation of a zone, in which `workers` are known with
    /// `runs` that continue. `zones` are evacuated now.
    #[display("{} workers={workers} runs={runs} evacuated_zones={zones}", evacuation(change))]
    Evacuation { change: Change, workers: usize, runs: usize, zones: usize },
    /// A new version of the configuration was applied.
    #[display("configuration={version} decision=apply queues={queues}")]
    Configuration { version: u64, queues: usize },
}

impl Event {
    /// Returns the kind, under which events are counted in the metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Event::Accept { .. } => "accept",
            Event::Refuse { .. } => "refuse",
            Event::Cancel { .. } => "cancel",
            Event::Withdraw { .. } => "withdraw",
            Event::Final { .. } => "final",
            Event::Place { .. } => "place",
            Event::Reservation { .. } => "reservation",
            Event::StartFailed { .. } => "start_failed",
            Event::Ended { .. } => "ended",
            Event::Detach { .. } => "detach",
            Event::Verdict { .. } => "verdict",
            Event::Lost { .. } => "lost",
            Event::Sighted { .. } => "sighted",
            Event::EndsSkipped { .. } => "ends_skipped",
            Event::Undecoded { .. } => "undecoded",
            Event::Hold { .. } => "hold",
            Event::Stop { .. } => "stop",
            Event::Worker { .. } => "worker",
            Event::Speed { .. } => "pace",
            Event::Interference { .. } => "pressure",
            Event::Load { .. } => "load",
            Event::IdleQueue { .. } => "idle_queue",
            Event::Standing(_) => "standing",
            Event::Idle { .. } => "idle",
            Event::Delay { .. } => "delay",
            Event::List { .. } => "list",
            Event::Zones { .. } => "zones",
            Event::Evacuation { .. } => "evacuation",
            Event::Configuration { .. } => "configuration",
        }
    }

    /// Returns `true` if events of this kind that occur together are logged in one line: those of
    /// one placement pass or one report.
    pub const fn is_joined(&self) -> bool {
        matches!(
            self,
            Event::Place { .. }
                | Event::StartFailed { .. }
                | Event::Ended { .. }
                | Event::Stop { .. }
        )
    }

    /// Returns `true` if the log must hold every event of this kind, because it may explain why a
    /// task ran twice.
    pub const fn is_required(&self) -> bool {
        matches!(
            self,
            Event::Verdict { .. }
                | Event::Lost { .. }
                | Event::Detach { .. }
                | Event::Sighted { .. }
        )
    }

    /// Returns `true` if events of this kind are logged whatever the volume of the log is: the
    /// required ones, and those whose volume is limited where they are decided.
    pub const fn is_unlimited(&self) -> bool {
        self.is_required() || matches!(self, Event::Standing(_))
    }
}

fn evacuation(change: &Change) -> String {
    match change {
        Change::Evacuated(zone) => format!("zone={zone} decision=evacuate"),
        Change::Returned(zone, known) => {
            format!("zone={zone} decision=return evacuated_ms={}", known.as_millis())
        }
    }
}
