//! Checker of batch work: G1, G2, G3 and the outcomes reported to submitters.
//!
//! It reads only the records of the stand-in workers, the outcomes reported to submitters and the
//! times at which the test killed workers. All processes run on one machine, so wall times are
//! comparable.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use derive_more::Display;
use knapweedgap_core::{id, revision, size};
use serde::Deserialize;

/// Kind of an event of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The attempt started.
    Start,
    /// The attempt was stopped by a command of the owner.
    Stop,
    /// The attempt was stopped because a later attempt started on the same worker.
    Superseded,
    /// The attempt was stopped because its lease expired.
    #[serde(rename = "lapse")]
    LeaseExpiry,
    /// The attempt completed; its result is withheld until it is published or discarded.
    Complete,
    /// The result was published.
    Publish,
    /// The result was discarded.
    Discard,
    /// The attempt exited with an error.
    Fail,
    /// The attempt was ended because it exceeded its memory limit.
    OverMemory,
    /// The attempt wrote a checkpoint.
    Checkpoint,
    /// The processor share of the attempt changed.
    Throttle,
}

impl Kind {
    const fn is_end(self) -> bool {
        !self.is_settlement() && !matches!(self, Kind::Start | Kind::Checkpoint | Kind::Throttle)
    }

    /// Returns `true` if the event publishes or discards a result.
    const fn is_settlement(self) -> bool {
        matches!(self, Kind::Publish | Kind::Discard)
    }
}

/// One line of a worker's record. Fields that no check uses are ignored.
#[derive(Debug, Clone, Deserialize)]
#[expect(missing_docs, reason = "the ids say what they are")]
pub struct Line {
    /// Wall time at which the event took effect, in microseconds.
    pub wall_us: u64,
    pub worker: id::Worker,
    /// Incarnation of the worker's process.
    pub incarnation: id::Incarnation,
    pub event: Kind,
    pub task: id::Task,
    pub attempt: id::Attempt,
    /// Highest epoch that the worker has received for the partition.
    pub epoch: revision::Epoch,
    /// Declared size of the attempt.
    pub size: size::Resources,
    /// Sum of the declared sizes of all attempts that run after the event, as reported by the worker.
    pub committed: size::Resources,
    /// Capacity of the worker.
    pub capacity: size::Resources,
    /// Work done in this and earlier attempts of the task, in microseconds.
    pub progress_us: u64,
    /// Name of the last checkpoint; `None` before the first one.
    pub checkpoint: Option<String>,
}

/// Outcome of a submission reported to the submitter. The order is that of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The job has not run and will not run.
    NotRun,
    /// The job may or may not have been recorded.
    Unknown,
    /// The job is recorded.
    Accepted,
}

/// Submission of a job and its reported outcome.
#[derive(Debug, Clone, Copy)]
#[expect(missing_docs, reason = "the names and types say what the fields are")]
pub struct Submission {
    pub job: id::Job,
    /// Number of tasks of the job.
    pub tasks: u32,
    pub outcome: Outcome,
}

/// Cancellation of a job.
#[derive(Debug, Clone, Copy)]
#[expect(missing_docs, reason = "the id says what it is")]
pub struct Cancellation {
    pub job: id::Job,
    /// Wall time at which the confirmation arrived, in microseconds; `u64::MAX` if the cancellation
    /// was not confirmed but may have taken effect.
    pub wall_us: u64,
}

/// Kill of a worker's process, which the worker could not record itself.
#[derive(Debug, Clone)]
#[expect(missing_docs, reason = "the id says what it is")]
pub struct Kill {
    pub worker: id::Worker,
    /// Wall time after the process had ended, in microseconds.
    pub wall_us: u64,
}

/// Input of the checker.
#[derive(Debug, Default)]
pub struct History {
    /// Record lines of all workers, in any order.
    pub lines: Vec<Line>,
    /// Capacity that is reserved for services on each worker; zero if absent.
    pub reserved: BTreeMap<id::Worker, size::Resources>,
    /// Submissions and their outcomes; several for a job whose submission was repeated.
    pub submissions: Vec<Submission>,
    /// Cancellations that were confirmed or may have taken effect.
    pub cancellations: Vec<Cancellation>,
    /// Kills of workers by the test.
    pub kills: Vec<Kill>,
}

/// Violation of a guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[expect(missing_docs, reason = "the ids and times of a violation need no comment")]
pub enum Violation {
    /// The running attempts exceeded the capacity that the services leave.
    #[display("G1: {worker} was committed beyond its capacity at {wall_us} us by task {task}")]
    OverCapacity {
        worker: id::Worker,
        /// Wall time of the event, in microseconds.
        wall_us: u64,
        /// Task of the event after which the capacity was exceeded.
        task: id::Task,
    },
    /// Two attempts of a task ran at the same time.
    #[display("G2: attempts {first} and {second} of task {task} ran at the same time")]
    Overlap {
        task: id::Task,
        /// Attempt that started first.
        first: id::Attempt,
        /// Attempt that started before the first one ended.
        second: id::Attempt,
    },
    /// An attempt started whose number was not higher than that of the previous one.
    #[display("G3: attempt {attempt} of task {task} started again or after a later one")]
    AttemptRepeated { task: id::Task, attempt: id::Attempt },
    /// A later attempt started on the same worker while this one was still running.
    #[display("G3: attempt {attempt} of task {task} was replaced before its end was known")]
    Superseded { task: id::Task, attempt: id::Attempt },
    /// A task resumed from a state other than its checkpoint.
    #[display("G3: attempt {attempt} of task {task} did not resume from the checkpoint")]
    WrongCheckpoint {
        task: id::Task,
        /// Attempt that resumed.
        attempt: id::Attempt,
    },
    /// A task resumed although its job was cancelled before the previous attempt ended.
    #[display("G3: attempt {attempt} of task {task} resumed after the cancellation")]
    ResumedCancelled {
        task: id::Task,
        /// Attempt that resumed.
        attempt: id::Attempt,
    },
    /// A task of an accepted job did not complete exactly once.
    #[display("task {task} of an accepted job completed {count} times")]
    Completions {
        task: id::Task,
        /// Number of completions.
        count: usize,
    },
    /// An attempt started after the task had completed.
    #[display("attempt {attempt} of task {task} started after the task had completed")]
    RanAfterCompletion { task: id::Task, attempt: id::Attempt },
    /// A job ran although "not run" was reported to its submitter.
    #[display("G5: job {job} ran although \"not run\" was reported to its submitter")]
    RefusedRan { job: id::Job },
    /// A task ran that belongs to no submission.
    #[display("task {task} ran but was never submitted")]
    NeverSubmitted { task: id::Task },
}

/// Reads the records of workers.
///
/// # Errors
///
/// Returns an I/O error if a file can't be read or a line is not a valid record.
pub fn read<Paths>(paths: Paths) -> io::Result<Vec<Line>>
where
    Paths: IntoIterator,
    Paths::Item: AsRef<Path>,
{
    let mut lines = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path)?;
        for line in text.lines() {
            lines.push(serde_json::from_str(line)?);
        }
    }
    Ok(lines)
}

/// Returns the number of completed attempts whose result is neither published nor discarded. Attempts
/// on killed workers are excluded.
pub fn count_unsettled(history: &History) -> usize {
    let mut lines: Vec<&Line> = history.lines.iter().collect();
    lines.sort_by_key(|line| line.wall_us);
    let tasks = runs(history, &lines);
    let open = |run: &&Run<'_>| {
        run.ended_by(Kind::Complete) && run.settled.is_none() && !run.unsettled_at_kill
    };
    tasks.values().flatten().filter(open).count()
}

/// Returns all violations in the history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut lines: Vec<&Line> = history.lines.iter().collect();
    lines.sort_by_key(|line| line.wall_us);
    let mut violations = Vec::new();
    check_capacity(history, &lines, &mut violations);
    let tasks = runs(history, &lines);
    for (task, runs) in &tasks {
        check_overlap(*task, runs, &mut violations);
        check_resumes(history, *task, runs, &mut violations);
    }
    check_outcomes(history, &tasks, &mut violations);
    violations
}

/// One attempt on one worker from its start to its end.
#[derive(Debug)]
struct Run<'a> {
    start: &'a Line,
    end: Option<&'a Line>,
    /// Wall time of the end or of the worker's kill, in microseconds; `u64::MAX` while the attempt
    /// runs.
    end_us: u64,
    /// Checkpoints that the attempt wrote, including the one at its end.
    checkpoints: Vec<&'a str>,
    /// `Publish` or `Discard`; `None` while the result is withheld.
    settled: Option<Kind>,
    /// The worker was killed after the attempt completed and before its result was settled.
    unsettled_at_kill: bool,
}

impl Run<'_> {
    /// Returns `true` if the attempt counts as a completion of its task. `has_successor` states
    /// whether a later attempt started.
    ///
    /// A result counts unless it was discarded. If a worker is killed before a result is settled,
    /// its owner may not have received the completion; then a later attempt runs, and the result
    /// can no longer be published.
    fn counts(&self, has_successor: bool) -> bool {
        let void = self.unsettled_at_kill && has_successor;
        self.ended_by(Kind::Complete) && self.settled != Some(Kind::Discard) && !void
    }

    /// Returns `true` if the line belongs to this attempt on this incarnation of its worker.
    fn contains(&self, line: &Line) -> bool {
        let start = self.start;
        start.attempt == line.attempt
            && start.worker == line.worker
            && start.incarnation == line.incarnation
    }

    fn ended_by(&self, kind: Kind) -> bool {
        self.end.is_some_and(|end| end.event == kind)
    }
}

/// Pairs starts with ends and returns the runs of each task in the order of their starts. `lines`
/// must be sorted by time.
fn runs<'a>(history: &History, lines: &[&'a Line]) -> BTreeMap<id::Task, Vec<Run<'a>>> {
    let mut tasks: BTreeMap<id::Task, Vec<Run<'a>>> = BTreeMap::new();
    for line in lines {
        let runs = tasks.entry(line.task).or_default();
        if line.event == Kind::Start {
            let kills = history.kills.iter().filter(|kill| kill.worker == line.worker);
            let killed_us = kills.map(|kill| kill.wall_us).filter(|at| *at >= line.wall_us).min();
            let end_us = killed_us.unwrap_or(u64::MAX);
            runs.push(Run {
                start: line,
                end: None,
                end_us,
                checkpoints: Vec::new(),
                settled: None,
                unsettled_at_kill: killed_us.is_some(),
            });
            continue;
        }
        if line.event.is_settlement() {
            let Some(run) = runs.iter_mut().find(|run| run.contains(line)) else { continue };
            run.settled = Some(line.event);
            run.unsettled_at_kill = false;
            continue;
        }
        let open = runs.iter_mut().find(|run| run.contains(line) && run.end.is_none());
        let Some(run) = open else { continue };
        run.checkpoints.extend(line.checkpoint.as_deref());
        if line.event.is_end() {
            run.end = Some(line);
            run.end_us = line.wall_us;
        }
    }
    tasks
}

/// Compares the capacity of each worker with the sum of its running attempts and, independently,
/// with the sum that the worker reports.
fn check_capacity(history: &History, lines: &[&Line], violations: &mut Vec<Violation>) {
    let mut running: BTreeMap<_, BTreeMap<_, size::Resources>> = BTreeMap::new();
    for line in lines {
        let attempts = running.entry((&line.worker, line.incarnation)).or_default();
        let key = (line.task, line.attempt);
        if line.event == Kind::Start {
            attempts.insert(key, line.size);
        } else if line.event.is_end() {
            attempts.remove(&key);
        }
        let reserved = history.reserved.get(&line.worker).copied().unwrap_or_default();
        let summed = attempts.values().fold(reserved, |sum, size| sum + *size);
        let reported = reserved + line.committed;
        if exceeds(&summed, &line.capacity) || exceeds(&reported, &line.capacity) {
            violations.push(Violation::OverCapacity {
                worker: line.worker.clone(),
                wall_us: line.wall_us,
                task: line.task,
            });
        }
    }
}

fn exceeds(sum: &size::Resources, capacity: &size::Resources) -> bool {
    sum.processor > capacity.processor
        || sum.memory > capacity.memory
        || sum.accelerator > capacity.accelerator
}

fn check_overlap(task: id::Task, runs: &[Run<'_>], violations: &mut Vec<Violation>) {
    for (index, run) in runs.iter().enumerate() {
        for later in &runs[index + 1..] {
            if later.start.wall_us < run.end_us {
                let (first, second) = (run.start.attempt, later.start.attempt);
                violations.push(Violation::Overlap { task, first, second });
            }
        }
    }
}

fn check_resumes(
    history: &History,
    task: id::Task,
    runs: &[Run<'_>],
    violations: &mut Vec<Violation>,
) {
    let cancellations = history.cancellations.iter().filter(|one| one.job == task.job);
    let cancelled_us = cancellations.map(|cancellation| cancellation.wall_us).min();
    for run in runs {
        if run.ended_by(Kind::Superseded) {
            let attempt = run.start.attempt;
            violations.push(Violation::Superseded { task, attempt });
        }
    }
    for (index, pair) in runs.windows(2).enumerate() {
        let (earlier, later) = (&pair[0], &pair[1]);
        let attempt = later.start.attempt;
        if attempt <= earlier.start.attempt {
            violations.push(Violation::AttemptRepeated { task, attempt });
        }
        if earlier.counts(true) {
            violations.push(Violation::RanAfterCompletion { task, attempt });
        }
        if !resumes(&runs[..=index], later) {
            violations.push(Violation::WrongCheckpoint { task, attempt });
        }
        if cancelled_us.is_some_and(|at| earlier.end_us != u64::MAX && at < earlier.end_us) {
            violations.push(Violation::ResumedCancelled { task, attempt });
        }
    }
}

/// Returns `true` if a run continues the work of the earlier ones.
///
/// After a stop the run must start from the checkpoint of the stop. A lease expiry, a failure or a
/// kill may lose checkpoints that the worker had not reported yet, so any checkpoint that was
/// written is valid unless it is older than the start of the previous run.
fn resumes(earlier: &[Run<'_>], later: &Run<'_>) -> bool {
    let Some(last) = earlier.last() else { return true };
    let from = later.start.checkpoint.as_deref();
    if last.ended_by(Kind::Stop) {
        return from == last.end.and_then(|end| end.checkpoint.as_deref());
    }
    let is_written = match from {
        Some(from) => earlier.iter().any(|run| run.checkpoints.contains(&from)),
        None => true,
    };
    is_written && later.start.progress_us >= last.start.progress_us
}

fn check_outcomes(
    history: &History,
    tasks: &BTreeMap<id::Task, Vec<Run<'_>>>,
    violations: &mut Vec<Violation>,
) {
    // The highest outcome counts: a repeated submission may be accepted later.
    let mut outcomes: BTreeMap<id::Job, (Outcome, u32)> = BTreeMap::new();
    for submission in &history.submissions {
        let entry =
            outcomes.entry(submission.job).or_insert((submission.outcome, submission.tasks));
        entry.0 = entry.0.max(submission.outcome);
    }
    for task in tasks.keys() {
        if outcomes.get(&task.job).is_none_or(|(_, count)| task.index >= *count) {
            violations.push(Violation::NeverSubmitted { task: *task });
        }
    }
    for (job, (outcome, count)) in outcomes {
        let ran = tasks.keys().any(|task| task.job == job);
        if outcome == Outcome::NotRun && ran {
            violations.push(Violation::RefusedRan { job });
        }
        let is_cancelled = history.cancellations.iter().any(|one| one.job == job);
        let must_complete = outcome == Outcome::Accepted || (outcome == Outcome::Unknown && ran);
        for index in 0..count {
            let task = id::Task { job, index };
            let runs = tasks.get(&task).map(Vec::as_slice).unwrap_or_default();
            let last = runs.len().saturating_sub(1);
            let counted = runs.iter().enumerate().filter(|(at, run)| run.counts(*at < last));
            let count = counted.count();
            let missing = must_complete && !is_cancelled && count == 0;
            if missing || count > 1 {
                violations.push(Violation::Completions { task, count });
            }
        }
    }
}
