//! Jobs of which nothing is at work although a step is ready, and the last decisions on them.
//!
//! A run is at work once an answer or a report has confirmed it, while it is neither being stopped
//! nor suspended. A task that is planned, sent, unconfirmed or being stopped has a worker, so its
//! job is not idle ([`super::idle`]), but the job stands.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use smol_str::SmolStr;

use super::Engine;
use super::phase::Phase;
use super::work::{Job, Task};
use crate::event::Event;
use crate::exclusion;
use crate::history::{Change, Contact, Entry, Oldest, Phases, Run, Standing as Report};
use crate::task;

/// Time after which a job that stands is counted and its history logged.
const REPORTED_MIN: Duration = Duration::from_secs(1);
/// Time after which the history of a job that still stands is logged again.
const REPEATED_MIN: Duration = Duration::from_secs(4);
/// Number of histories of standing jobs that are logged in one tick. Each takes a pass over the
/// workers.
const STANDS_MAX: usize = 2;
/// Number of histories of jobs that move again that are logged in one tick.
const MOVES_MAX: usize = 8;
/// Maximum length of the lines in one second, of standing jobs and of those that move, in bytes.
const BYTES_MAX: usize = 64 * 1024;
const SECOND: Duration = Duration::from_secs(1);

/// Number of changes that are remembered for each job.
const HISTORY_LEN: usize = 16;
/// Longest time between equal changes of runs that are remembered as one.
const MERGE_INTERVAL: Duration = Duration::from_millis(100);

/// Last changes of a job.
#[derive(Debug, Default)]
pub(crate) struct History {
    records: VecDeque<Record>,
}

#[derive(Debug)]
struct Record {
    at: Instant,
    change: Change,
    run: Option<Run>,
    runs: u32,
}

impl History {
    pub(crate) fn add(&mut self, change: Change, run: Option<Run>, now: Instant) {
        if let Some(last) = self.records.back_mut()
            && last.change == change
            && last.run.is_some()
            && run.is_some()
            && now.saturating_duration_since(last.at) < MERGE_INTERVAL
        {
            last.runs += 1;
            return;
        }
        if self.records.len() >= HISTORY_LEN {
            self.records.pop_front();
        }
        let runs = u32::from(run.is_some());
        self.records.push_back(Record { at: now, change, run, runs });
    }

    fn entries(&self, now: Instant) -> Vec<Entry> {
        let entry = |record: &Record| Entry {
            age: now.saturating_duration_since(record.at),
            change: record.change.clone(),
            run: record.run.clone(),
            runs: record.runs,
        };
        self.records.iter().map(entry).collect()
    }

    /// Returns when runs of a step last changed in a way that `is_sought`.
    fn last<IsSought>(&self, step: task::Step, is_sought: IsSought) -> Option<Instant>
    where
        IsSought: Fn(&Change) -> bool,
    {
        let of_step = |record: &&Record| {
            record.run.as_ref().is_some_and(|run| run.task.step == step)
                && is_sought(&record.change)
        };
        self.records.iter().rev().find(of_step).map(|record| record.at)
    }
}

/// Jobs that stand.
#[derive(Debug, Default)]
pub(super) struct Standing {
    jobs: BTreeMap<id::Job, Stand>,
    /// Jobs that move again and for how long they stood; their histories are not logged yet.
    moved: VecDeque<(id::Job, Duration)>,
    /// Queues that had standing jobs when they were last counted.
    counted: BTreeSet<SmolStr>,
    stand_budget: Budget,
    move_budget: Budget,
}

#[derive(Debug)]
struct Stand {
    since: Instant,
    /// Number of times that the history was logged.
    logged: u32,
}

impl Stand {
    fn time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    fn is_due(&self, now: Instant) -> bool {
        match self.logged {
            0 => self.time(now) >= REPORTED_MIN,
            1 => self.time(now) >= REPEATED_MIN,
            _ => false,
        }
    }
}

/// Bytes that were logged in the current second.
#[derive(Debug, Default)]
struct Budget {
    second: Option<Instant>,
    bytes: usize,
}

impl Budget {
    fn is_exhausted(&mut self, now: Instant) -> bool {
        if self.second.is_none_or(|start| now.saturating_duration_since(start) >= SECOND) {
            *self = Budget { second: Some(now), bytes: 0 };
        }
        self.bytes >= BYTES_MAX
    }
}

impl Engine {
    /// Returns the queues whose standing jobs were counted in the last [`Event::IdleQueue`] events.
    pub fn queues_with_idle_jobs(&self) -> Vec<SmolStr> {
        self.standing.counted.iter().cloned().collect()
    }

    /// Remembers a change of the current run of a task.
    pub(super) fn note(&mut self, id: task::Id, change: Change, now: Instant) {
        let Some(assignment) = self.assignment(id) else { return };
        let run = Run { task: id, number: assignment.run, worker: assignment.worker.clone() };
        self.note_run(run, change, now);
    }

    /// Remembers a change of a run, which may not be the current one of its task.
    pub(super) fn note_run(&mut self, run: Run, change: Change, now: Instant) {
        let Some(job) = self.jobs.get_mut(&run.task.step.job) else { return };
        job.history.add(change, Some(run), now);
    }

    /// Remembers that a run was confirmed, unless its start may still be carried out.
    pub(super) fn note_confirmed(&mut self, id: task::Id, now: Instant) {
        let task = self.jobs.get(&id.step.job).and_then(|job| job.task(id));
        if task.is_some_and(|task| matches!(task.phase, Phase::Running(_))) {
            self.note(id, Change::Confirmed, now);
        }
    }

    /// Updates the jobs that stand, and logs the histories that are due.
    pub(super) fn log_standing(&mut self, now: Instant) {
        self.update_standing(now);
        for _ in 0..MOVES_MAX {
            if self.standing.move_budget.is_exhausted(now) {
                break;
            }
            let Some((id, time)) = self.standing.moved.pop_front() else { break };
            let Some(report) = self.report(id, time, true, now) else { continue };
            let event = Event::Standing(Box::new(report));
            self.standing.move_budget.bytes += event.to_string().len();
            self.emit(event);
        }
        let mut due: Vec<(u32, Instant, id::Job)> = Vec::new();
        for (&id, stand) in &self.standing.jobs {
            if stand.is_due(now) {
                due.push((stand.logged, stand.since, id));
            }
        }
        due.sort_unstable();
        for (_, since, id) in due.into_iter().take(STANDS_MAX) {
            if self.standing.stand_budget.is_exhausted(now) {
                break;
            }
            let time = now.saturating_duration_since(since);
            let Some(report) = self.report(id, time, false, now) else { continue };
            let event = Event::Standing(Box::new(report));
            self.standing.stand_budget.bytes += event.to_string().len();
            self.emit(event);
            if let Some(stand) = self.standing.jobs.get_mut(&id) {
                stand.logged += 1;
            }
        }
    }

    fn update_standing(&mut self, now: Instant) {
        let (standing, term_started_at) = (&mut self.standing, self.term_started_at);
        for (&id, job) in &self.jobs {
            if job.stands() {
                let is_new = !job.has_begun
                    && job.spec().schedule.is_none()
                    && job.accepted_at >= term_started_at;
                let since = if is_new { job.accepted_at } else { now };
                standing.jobs.entry(id).or_insert(Stand { since, logged: 0 });
            } else if let Some(stand) = standing.jobs.remove(&id)
                && stand.time(now) >= REPORTED_MIN
            {
                standing.moved.push_back((id, stand.time(now)));
            }
        }
        standing.jobs.retain(|id, _| self.jobs.contains_key(id));
    }

    /// Logs the number of standing jobs of each queue.
    pub(super) fn count_standing(&mut self, now: Instant) {
        let mut queues: BTreeMap<SmolStr, (usize, Duration)> = BTreeMap::new();
        for queue in std::mem::take(&mut self.standing.counted) {
            queues.insert(queue, (0, Duration::ZERO));
        }
        for (id, stand) in &self.standing.jobs {
            let time = stand.time(now);
            if time < REPORTED_MIN {
                continue;
            }
            let Some(job) = self.jobs.get(id) else { continue };
            let (jobs, longest) = queues.entry(job.accepted.queue.clone()).or_default();
            *jobs += 1;
            *longest = (*longest).max(time);
        }
        for (queue, (jobs, longest)) in queues {
            if jobs > 0 {
                self.standing.counted.insert(queue.clone());
            }
            self.emit(Event::IdleQueue { queue, jobs, longest });
        }
    }

    /// Returns what is known about a job that has stood for `time`.
    fn report(&self, id: id::Job, time: Duration, has_moved: bool, now: Instant) -> Option<Report> {
        let job = self.jobs.get(&id)?;
        let mut first = None;
        let mut phases = Phases::default();
        let mut oldest: Option<(bool, Instant, task::Id)> = None;
        for (step_id, step) in job.steps(id) {
            if step.is_done() || !job.is_ready(step_id) {
                continue;
            }
            first.get_or_insert(step_id);
            for (index, task) in (0..).zip(&step.tasks) {
                if task.phase.is_done() {
                    continue;
                }
                phases.add(phase_name(task));
                let task_id = step_id.task(index);
                let since = self.phase_since(job, task_id, task);
                let order = (task.phase.is_waiting(), since, task_id);
                if oldest.is_none_or(|known| order < known) {
                    oldest = Some(order);
                }
            }
        }
        let waiting = first.filter(|&step| {
            !has_moved && job.step(step).is_some_and(|step| !step.waiting.is_empty())
        });
        let plan = waiting.and_then(|step| self.plan(step));
        let (excluded, nearest) = plan.map_or_else(
            || (exclusion::Count::default(), None),
            |plan| self.exclusions(&plan, now),
        );
        Some(Report {
            job: id,
            queue: job.accepted.queue.clone(),
            has_moved,
            step: first,
            time,
            phases,
            is_untried: first.is_some_and(|step| self.rotation.contains(step)),
            oldest: oldest.and_then(|(_, since, task)| self.oldest(job, task, since, now)),
            excluded,
            nearest,
            history: job.history.entries(now),
        })
    }

    fn oldest(&self, job: &Job, id: task::Id, since: Instant, now: Instant) -> Option<Oldest> {
        let task = job.task(id)?;
        let worker = task.phase.assignment().map(|assignment| &assignment.worker);
        let contact = worker.map(|id| {
            let worker = self.workers.get(id);
            Contact {
                worker: id.clone(),
                report_age: worker.map_or(Duration::ZERO, |worker| worker.report_age(now)),
                is_suspect: worker.is_none_or(|worker| worker.is_suspect),
                is_withheld: self.leases.is_withheld(id),
            }
        });
        let age = now.saturating_duration_since(since);
        Some(Oldest { task: id, phase: phase_name(task), age, worker: contact })
    }

    /// Returns since when a task is in its phase, for a run of an earlier owner since the term began.
    fn phase_since(&self, job: &Job, id: task::Id, task: &Task) -> Instant {
        let of_step = |is_sought: fn(&Change) -> bool| job.history.last(id.step, is_sought);
        match &task.phase {
            Phase::Waiting(waiting) => waiting.since,
            Phase::Planned(planned) => {
                of_step(|change| *change == Change::Place).unwrap_or(planned.since)
            }
            Phase::Sent(_) | Phase::Unconfirmed(_) => {
                task.observation.sent.map_or(self.term_started_at, |sent| sent.at)
            }
            Phase::Running(running) => running.since,
            Phase::Stopping(_) => {
                of_step(|change| matches!(change, Change::Stop(_))).unwrap_or(self.term_started_at)
            }
            Phase::Done(_) => self.term_started_at,
        }
    }
}

/// Returns the name of the phase of a task in the log.
fn phase_name(task: &Task) -> &'static str {
    let is_suspended = matches!(task.phase, Phase::Running(_)) && !task.is_at_work();
    if is_suspended { "suspended" } else { task.phase.name() }
}
