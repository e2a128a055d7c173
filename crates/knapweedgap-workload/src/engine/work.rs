//! State of jobs, steps and tasks in the engine, and its conversion to and from records.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Deref;
use std::rc::Rc;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};
use smol_str::SmolStr;

use super::phase::{Assignment, Phase, Waiting};
use super::standing::History;
use crate::configuration::Policy;
use crate::{job, record, task};

/// Step of an accepted job, shared with it.
#[derive(Debug, Clone)]
pub(crate) struct Spec {
    accepted: Rc<record::Accepted>,
    position: usize,
}

impl Spec {
    /// Returns the step at a position; `None` if the job has no such step.
    pub(crate) fn new(accepted: Rc<record::Accepted>, position: usize) -> Option<Spec> {
        accepted.spec.steps.get(position)?;
        Some(Spec { accepted, position })
    }
}

impl Deref for Spec {
    type Target = job::Step;

    fn deref(&self) -> &job::Step {
        &self.accepted.spec.steps[self.position]
    }
}

/// State of a task and its current run.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) phase: Phase,
    /// Highest run number that was used; 0 before the first placement.
    pub(crate) run: revision::Run,
    pub(crate) failures: u32,
    /// Runs that `failures` contains, if the task allows copies: their ends may be reported in any
    /// order, and again to the next owner.
    failed_runs: BTreeSet<revision::Run>,
    /// Runs that were given up because the leases of their workers had ended, unless the task allows
    /// copies. They may have failed before.
    given_up: BTreeSet<revision::Run>,
    /// Last reported checkpoint; empty if there is none.
    pub(crate) checkpoint: SmolStr,
    /// Worker on which a run failed last.
    pub(crate) avoid: Option<id::Worker>,
    pub(crate) observation: Observation,
}

/// Reported state of the current run.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Observation {
    /// A report of the current incarnation of the worker has listed the run.
    pub(crate) listed: bool,
    /// Progress in percent.
    pub(crate) progress: u32,
    /// When the poll was sent that first reported this progress; `None` before the first report
    /// and after a change of the speed.
    pub(crate) progress_since: Option<Instant>,
    /// Ordered speed in percent, 0 while it is unknown; `None` while no speed was ordered.
    pub(crate) speed: Option<u32>,
    /// Start that this owner sent; `None` before it and for the run of an earlier owner.
    pub(crate) sent: Option<Sent>,
    /// When the start was answered or a report first listed the run; `None` before that.
    pub(crate) confirmed_at: Option<Instant>,
}

/// Start that was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sent {
    pub(crate) at: Instant,
    /// Fencing token of the start.
    pub(crate) fence: revision::Fence,
}

impl Task {
    fn new(now: Instant) -> Task {
        Task {
            phase: Phase::Waiting(Waiting { since: now }),
            run: revision::Run::default(),
            failures: 0,
            failed_runs: BTreeSet::new(),
            given_up: BTreeSet::new(),
            checkpoint: SmolStr::default(),
            avoid: None,
            observation: Observation::default(),
        }
    }

    /// Returns `true` if a run of the task was confirmed, or has ended by itself.
    fn has_begun(&self) -> bool {
        let has_ended = self.failures > 0 || !self.checkpoint.is_empty();
        has_ended || matches!(self.phase, Phase::Running(_) | Phase::Done(_))
    }

    /// Returns `true` if the run of the task is confirmed and neither being stopped nor suspended.
    pub(crate) fn is_at_work(&self) -> bool {
        matches!(self.phase, Phase::Running(_)) && self.observation.speed != Some(0)
    }

    /// Returns the part of the state whose changes are stored at once. A new checkpoint alone is
    /// not stored: the worker reports it to the next owner, and it changes every second.
    fn durable(&self) -> (revision::Run, u32, bool, Option<(Assignment, bool)>) {
        let is_stopping = self.phase.is_stopping();
        let assignment = self.phase.assignment().cloned();
        let assignment = assignment.map(|assignment| (assignment, is_stopping));
        (self.run, self.failures, self.phase.is_done(), assignment)
    }

    /// Restores the state from a record. A run in progress is unconfirmed until its worker has seen
    /// `fence`. A run that is being stopped is stopped again.
    fn load(&mut self, record: record::Task, fence: revision::Fence, now: Instant) {
        let record::Task(_, run, failures, assignment, done, checkpoint) = record;
        self.run = run;
        self.failures = failures;
        self.checkpoint = checkpoint;
        if done {
            self.phase = Phase::Done(super::phase::Done);
        } else if let Some(record::Assignment(worker, incarnation, is_stopping)) = assignment {
            let assignment = super::phase::Assignment { worker, incarnation, run };
            self.phase = if is_stopping {
                Phase::Stopping(super::phase::Stopping::again(assignment, fence, now))
            } else {
                Phase::Unconfirmed(super::phase::Unconfirmed { assignment, fence })
            };
        }
    }

    /// Counts a failed run, at most once if the task records its failed runs.
    pub(crate) fn count_failure(&mut self, run: revision::Run, records_runs: bool) {
        if !records_runs || self.failed_runs.insert(run) {
            self.failures += 1;
        }
    }

    /// Returns `true` if the failure of the run is recorded as counted.
    pub(crate) fn is_failure_counted(&self, run: revision::Run) -> bool {
        self.failed_runs.contains(&run)
    }

    /// Notes that a run was given up, so that its failure counts when it is reported.
    pub(crate) fn give_up(&mut self, run: revision::Run) {
        self.given_up.insert(run);
        if self.given_up.len() > record::GIVEN_UP_MAX {
            self.given_up.pop_first();
        }
    }

    /// Returns `true` if a run was given up and its end was not reported since.
    pub(crate) fn is_given_up(&self, run: revision::Run) -> bool {
        self.given_up.contains(&run)
    }

    /// Notes that the end of a run was reported that was given up.
    pub(crate) fn end_given_up(&mut self, run: revision::Run) {
        self.given_up.remove(&run);
    }

    /// Replaces the phase with the result of `change`.
    pub(crate) fn transition<Change>(&mut self, change: Change)
    where
        Change: FnOnce(Phase) -> Phase,
    {
        let phase = std::mem::replace(&mut self.phase, Phase::Done(super::phase::Done));
        self.phase = change(phase);
    }
}

/// Step of one occurrence of a job.
#[derive(Debug, Clone)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    /// Positions of the waiting tasks.
    pub(crate) waiting: BTreeSet<u32>,
    /// Number of tasks that are done.
    pub(crate) done: u32,
}

impl Step {
    fn new(count: u32, now: Instant) -> Step {
        let tasks = (0..count).map(|_| Task::new(now)).collect();
        Step { tasks, waiting: (0..count).collect(), done: 0 }
    }

    /// Returns the number of tasks that are assigned to a worker.
    fn assigned(&self) -> usize {
        let done = usize::try_from(self.done).unwrap_or(usize::MAX);
        self.tasks.len().saturating_sub(self.waiting.len().saturating_add(done))
    }

    pub(crate) fn is_done(&self) -> bool {
        usize::try_from(self.done).is_ok_and(|done| done == self.tasks.len())
    }
}

/// Occurrence of a job that has begun and is not done.
#[derive(Debug, Clone)]
pub(crate) struct Occurrence {
    pub(crate) steps: Vec<Step>,
}

/// Accepted job that has not ended or still has runs.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) accepted: Rc<record::Accepted>,
    /// Policy of the queue at the acceptance.
    pub(crate) policy: Policy,
    pub(crate) accepted_at: Instant,
    /// When the job was submitted to this owner; `None` if an earlier one accepted it.
    pub(crate) submitted_at: Option<Instant>,
    /// Declared run time of the longest chain of steps.
    pub(crate) critical_path: Duration,
    pub(crate) state: job::State,
    /// A run of the job was confirmed or has ended. A placement alone is no beginning, because its
    /// start may be refused.
    pub(crate) has_begun: bool,
    /// Stored state, which is the one that clients see; `None` until the job is stored.
    pub(crate) stored_state: Option<job::State>,
    pub(crate) occurrences: BTreeMap<u32, Occurrence>,
    pub(crate) next_occurrence: u32,
    /// Log entry that holds the accepted record; `None` until a batch contains it.
    pub(crate) accepted_entry: Option<revision::Sequence>,
    /// Log entries that contain the last complete record of the progress and the changes since.
    pub(crate) progress_entries: Vec<revision::Sequence>,
    /// Changes that the next record of the progress must contain.
    pub(crate) unsaved: Unsaved,
    /// Number of runs at work.
    at_work: usize,
    pub(crate) history: History,
}

/// Changes of a job that no log entry contains yet.
#[derive(Debug)]
pub(crate) enum Unsaved {
    /// Only these tasks have changed since the last record.
    Tasks(Changed),
    /// The next record must contain the complete progress.
    All,
}

/// Tasks whose records have changed.
#[derive(Debug, Default)]
pub(crate) struct Changed {
    tasks: BTreeSet<task::Id>,
    /// Tasks of which other runs are given up.
    given_up: BTreeSet<task::Id>,
}

impl Job {
    pub(crate) fn new(accepted: Rc<record::Accepted>, now: Instant) -> Job {
        Job {
            critical_path: accepted.spec.declared_critical_path(),
            policy: accepted.policy(),
            accepted,
            accepted_at: now,
            submitted_at: None,
            state: job::State::Queued,
            has_begun: false,
            stored_state: None,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            accepted_entry: None,
            progress_entries: Vec::new(),
            unsaved: Unsaved::All,
            at_work: 0,
            history: History::default(),
        }
    }

    pub(crate) fn spec(&self) -> &job::Spec {
        &self.accepted.spec
    }

    /// Returns the total number of occurrences of the job.
    pub(crate) fn repetitions(&self) -> u32 {
        self.spec().schedule.map_or(1, |schedule| schedule.repetitions)
    }

    pub(crate) fn begin_occurrence(&mut self, now: Instant) -> u32 {
        self.unsaved = Unsaved::All;
        let number = self.next_occurrence;
        let steps = self.spec().steps.iter().map(|step| Step::new(step.count, now)).collect();
        self.occurrences.insert(number, Occurrence { steps });
        self.next_occurrence += 1;
        number
    }

    pub(crate) fn end_occurrence(&mut self, number: u32) {
        self.unsaved = Unsaved::All;
        self.occurrences.remove(&number);
        self.count_at_work();
    }

    pub(crate) fn set_state(&mut self, state: job::State) {
        self.unsaved = Unsaved::All;
        self.state = state;
    }

    /// Returns `true` if no run of the job is at work although a step is ready. The first step that is
    /// not done is ready, because steps depend on earlier ones only.
    pub(crate) fn stands(&self) -> bool {
        self.at_work == 0 && !self.occurrences.is_empty() && !self.state.is_final()
    }

    fn count_at_work(&mut self) {
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        self.at_work = steps.flat_map(|step| &step.tasks).filter(|task| task.is_at_work()).count();
    }

    /// Returns `true` if no task of the job is assigned to a worker.
    pub(crate) fn is_idle(&self) -> bool {
        self.assigned().all(|assigned| assigned == 0)
    }

    /// Returns `true` if one task of the job is assigned to a worker.
    pub(crate) fn has_one_run(&self) -> bool {
        self.assigned().sum::<usize>() == 1
    }

    /// Returns the number of assigned tasks of each step.
    fn assigned(&self) -> impl Iterator<Item = usize> {
        let steps = self.occurrences.values().flat_map(|occurrence| &occurrence.steps);
        steps.map(Step::assigned)
    }

    pub(crate) fn step(&self, id: task::Step) -> Option<&Step> {
        self.occurrences.get(&id.occurrence)?.steps.get(usize::from(id.step))
    }

    pub(crate) fn step_mut(&mut self, id: task::Step) -> Option<&mut Step> {
        self.occurrences.get_mut(&id.occurrence)?.steps.get_mut(usize::from(id.step))
    }

    pub(crate) fn task(&self, id: task::Id) -> Option<&Task> {
        self.step(id.step)?.tasks.get(usize::try_from(id.index).ok()?)
    }

    /// Changes a task and updates the sets of its step and the unsaved changes.
    pub(crate) fn change<Change>(&mut self, id: task::Id, change: Change)
    where
        Change: FnOnce(&mut Task),
    {
        let Some(step) = self.step_mut(id.step) else { return };
        let Ok(index) = usize::try_from(id.index) else { return };
        let Some(task) = step.tasks.get_mut(index) else { return };
        let was_done = task.phase.is_done();
        let was_at_work = task.is_at_work();
        let before = task.durable();
        let counted_before = task.failed_runs.len();
        let given_up_before = task.given_up.clone();
        change(task);
        let has_begun = task.has_begun();
        let is_at_work = task.is_at_work();
        let is_changed = task.durable() != before;
        let has_counted = task.failed_runs.len() != counted_before;
        let has_given_up = task.given_up != given_up_before;
        if task.phase.is_waiting() {
            step.waiting.insert(id.index);
        } else {
            step.waiting.remove(&id.index);
        }
        if task.phase.is_done() && !was_done {
            step.done += 1;
        }
        self.has_begun |= has_begun;
        match (was_at_work, is_at_work) {
            (false, true) => self.at_work += 1,
            (true, false) => self.at_work = self.at_work.saturating_sub(1),
            _ => {}
        }
        if has_counted {
            // The records of single tasks do not hold the counted runs.
            self.unsaved = Unsaved::All;
        }
        let Unsaved::Tasks(changed) = &mut self.unsaved else { return };
        if is_changed {
            changed.tasks.insert(id);
        }
        if has_given_up {
            changed.given_up.insert(id);
        }
    }

    /// Returns `true` if all steps that the step depends on are done.
    pub(crate) fn is_ready(&self, id: task::Step) -> bool {
        let Some(spec) = self.spec().steps.get(usize::from(id.step)) else { return false };
        let Some(occurrence) = self.occurrences.get(&id.occurrence) else { return false };
        let is_done =
            |&earlier: &u16| occurrence.steps.get(usize::from(earlier)).is_some_and(Step::is_done);
        spec.after.iter().all(is_done)
    }

    /// Returns the records of the unsaved changes, and clears them.
    pub(crate) fn take_unsaved(&mut self, id: id::Job) -> Vec<record::Change> {
        let unsaved = std::mem::replace(&mut self.unsaved, Unsaved::Tasks(Changed::default()));
        let Unsaved::Tasks(changed) = unsaved else {
            return vec![record::Change::Progress(id, self.progress(id))];
        };
        let mut steps: Vec<record::StepTasks> = Vec::new();
        for task_id in changed.tasks {
            let Some(task) = self.task(task_id) else { continue };
            let (occurrence, step) = (task_id.step.occurrence, task_id.step.step);
            let record = task_record(task_id.index, task);
            match steps.last_mut() {
                Some(last) if (last.0, last.1) == (occurrence, step) => last.2.push(record),
                _ => steps.push(record::StepTasks(occurrence, step, vec![record])),
            }
        }
        let mut changes = Vec::new();
        if !steps.is_empty() {
            changes.push(record::Change::Steps(id, steps));
        }
        let given_up = changed.given_up.into_iter();
        let given_up: Vec<record::GivenUp> =
            given_up.filter_map(|id| Some(given_up_record(id, self.task(id)?))).collect();
        if !given_up.is_empty() {
            changes.push(record::Change::GivenUp(id, given_up));
        }
        changes
    }

    /// Restores the given up runs of one task of the job from their record.
    pub(crate) fn restore_given_up(&mut self, id: id::Job, record: record::GivenUp) {
        let record::GivenUp(occurrence, step, index, runs) = record;
        let id = task::Step { job: id, occurrence, step }.task(index);
        self.change(id, |task| task.given_up = runs.into_iter().collect());
    }

    /// Restores one task from its record. A run in progress is unconfirmed until its worker has
    /// seen `fence`.
    pub(crate) fn restore_task(
        &mut self,
        id: task::Step,
        record: record::Task,
        fence: revision::Fence,
        now: Instant,
    ) {
        let task = id.task(record.0);
        let mut restored = Task::new(now);
        restored.load(record, fence, now);
        self.change(task, |task| {
            restored.failed_runs = std::mem::take(&mut task.failed_runs);
            restored.given_up = std::mem::take(&mut task.given_up);
            *task = restored;
        });
    }

    /// Returns the complete record of the progress.
    pub(crate) fn progress(&self, id: id::Job) -> record::Progress {
        let occurrences = self
            .occurrences
            .iter()
            .map(|(&number, occurrence)| {
                (number, occurrence.steps.iter().map(step_record).collect())
            })
            .collect();
        record::Progress {
            state: self.state,
            occurrences,
            next_occurrence: self.next_occurrence,
            failures: self.counted_failures(id),
            given_up: self.given_up(id),
        }
    }

    /// Returns the records of the counted failures of tasks that allow copies and are not done.
    fn counted_failures(&self, id: id::Job) -> Vec<record::Failures> {
        let mut failures = Vec::new();
        for (step, tasks) in self.steps(id) {
            for (index, task) in (0..).zip(&tasks.tasks) {
                if task.failed_runs.is_empty() || task.phase.is_done() {
                    continue;
                }
                let runs = task.failed_runs.iter().copied().collect();
                failures.push(record::Failures(step.task(index), runs));
            }
        }
        failures
    }

    /// Returns the records of the given up runs of tasks that are not done.
    fn given_up(&self, id: id::Job) -> Vec<record::GivenUp> {
        let mut given_up = Vec::new();
        for (step, tasks) in self.steps(id) {
            for (index, task) in (0..).zip(&tasks.tasks) {
                if task.given_up.is_empty() || task.phase.is_done() {
                    continue;
                }
                given_up.push(given_up_record(step.task(index), task));
            }
        }
        given_up
    }

    /// Returns the steps of all occurrences with their ids.
    pub(crate) fn steps(&self, job: id::Job) -> impl Iterator<Item = (task::Step, &Step)> {
        self.occurrences.iter().flat_map(move |(&occurrence, steps)| {
            let positions = (0..).zip(&steps.steps);
            positions.map(move |(step, tasks)| (task::Step { job, occurrence, step }, tasks))
        })
    }

    /// Restores the progress from its record. Runs in progress are unconfirmed until their worker
    /// has seen `fence`.
    pub(crate) fn restore(
        &mut self,
        id: id::Job,
        progress: record::Progress,
        fence: revision::Fence,
        now: Instant,
    ) {
        self.state = progress.state;
        self.next_occurrence = progress.next_occurrence;
        self.occurrences.clear();
        for (number, steps) in progress.occurrences {
            let counts = self.accepted.spec.steps.iter().map(|step| step.count);
            let restored =
                counts.zip(steps).map(|(count, step)| restore_step(count, step, fence, now));
            let steps = restored.collect();
            self.occurrences.insert(number, Occurrence { steps });
        }
        self.count_at_work();
        self.has_begun |= self.next_occurrence > 1
            || self
                .occurrences
                .values()
                .flat_map(|occurrence| &occurrence.steps)
                .any(|step| step.tasks.iter().any(Task::has_begun));
        for record::Failures(id, runs) in progress.failures {
            self.change(id, |task| task.failed_runs = runs.into_iter().collect());
        }
        for record in progress.given_up {
            self.restore_given_up(id, record);
        }
    }
}

fn step_record(step: &Step) -> record::Step {
    if step.is_done() {
        return record::Step::Done;
    }
    let started = step.tasks.iter().enumerate().filter(|(_, task)| task.run.get() > 0);
    let tasks =
        started.map(|(index, task)| task_record(u32::try_from(index).unwrap_or(u32::MAX), task));
    record::Step::Open(tasks.collect())
}

fn task_record(index: u32, task: &Task) -> record::Task {
    let is_stopping = task.phase.is_stopping();
    let assignment = task.phase.assignment();
    let assignment = assignment.map(|Assignment { worker, incarnation, .. }| {
        record::Assignment(worker.clone(), *incarnation, is_stopping)
    });
    let done = task.phase.is_done();
    record::Task(index, task.run, task.failures, assignment, done, task.checkpoint.clone())
}

fn given_up_record(id: task::Id, task: &Task) -> record::GivenUp {
    let runs = task.given_up.iter().copied().collect();
    record::GivenUp(id.step.occurrence, id.step.step, id.index, runs)
}

fn restore_step(count: u32, record: record::Step, fence: revision::Fence, now: Instant) -> Step {
    let mut step = Step::new(count, now);
    let tasks = match record {
        record::Step::Done => {
            for task in &mut step.tasks {
                task.phase = Phase::Done(super::phase::Done);
            }
            step.waiting.clear();
            step.done = count;
            return step;
        }
        record::Step::Open(tasks) => tasks,
    };
    for record in tasks {
        let index = record.0;
        let Ok(position) = usize::try_from(index) else { continue };
        let Some(task) = step.tasks.get_mut(position) else { continue };
        task.load(record, fence, now);
        step.done += u32::from(task.phase.is_done());
        if !task.phase.is_waiting() {
            step.waiting.remove(&index);
        }
    }
    step
}
