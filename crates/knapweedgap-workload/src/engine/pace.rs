//! Pace of filling tasks beside tasks that serve users.
//!
//! Answers the load pattern of a serving task whose tail rises with what fills beside it, within
//! seconds and by amounts that differ by image. The pace is cut by half when a tail nears its
//! target, to nothing when it stays above, and raised in small steps while the tail is low.

use std::time::{Duration, Instant};

use knapweedgap_core::id;
use smol_str::SmolStr;

use super::Engine;
use super::fleet::Load;
use super::phase::Phase;
use crate::action::Action;
use crate::note::Note;
use crate::pressure::{Filler, Finding, Serving, Verdict};
use crate::{order, task};

/// Share of the target, in percent, above which the pace is cut.
const TAIL_HIGH: u32 = 85;
/// Share of the target, in percent, above which filling tasks stop working at once.
const TAIL_OVER: u64 = 120;
/// Share of the target, in percent, below which the pace is raised.
const TAIL_LOW: u32 = 60;
/// Time above the target after which filling tasks stop working; the platform tolerates 4 s.
const HARM_MAX: Duration = Duration::from_millis(1_500);
/// Step by which the pace is raised, in percent.
const RAISE: u32 = 20;
/// Lowest pace short of a standstill, in percent.
const PACE_MIN: u32 = 10;
/// Time for a change of the pace to show in a report: the report covers half a second.
const SETTLE: Duration = Duration::from_millis(600);

/// Returns the next pace for a tail of `share` percent of its target.
pub(super) fn next_pace(pace: u32, share: u64, harmed: Duration) -> u32 {
    if harmed >= HARM_MAX || share > TAIL_OVER {
        return 0;
    }
    if share > u64::from(TAIL_HIGH) {
        return if pace <= PACE_MIN { 0 } else { pace / 2 };
    }
    if share < u64::from(TAIL_LOW) {
        return (pace + RAISE).min(100);
    }
    pace
}

impl Engine {
    /// Learns from the tails in the report of a worker and adjusts the pace of the filling tasks
    /// there.
    pub(super) fn adjust_pace(&mut self, id: &id::Worker, now: Instant) {
        self.learn_pressure(id, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut worst: Option<(u64, u64, u64)> = None;
        for load in worker.loads.values() {
            let (Some(tail), Some(target)) = (load.tail, load.tail_target) else { continue };
            let (tail, target) = (tail.as_millis() as u64, target.as_millis().max(1) as u64);
            let share = tail * 100 / target;
            if worst.is_none_or(|(most, _, _)| share > most) {
                worst = Some((share, tail, target));
            }
        }
        let (share, tail_ms, target_ms) = worst.unwrap_or_default();
        if share > 100 {
            worker.harmed_since.get_or_insert(now);
        } else if share < u64::from(TAIL_HIGH) {
            worker.harmed_since = None;
        }
        if worker.filled.milli() == 0 {
            if worker.harmed_since.is_none() {
                worker.pace = 100;
            }
            return;
        }
        let harmed = worker.harmed_since.map_or(Duration::ZERO, |at| now.duration_since(at));
        let settled = worker.pace_changed.is_none_or(|at| now.duration_since(at) >= SETTLE);
        let pace = if settled { next_pace(worker.pace, share, harmed) } else { worker.pace };
        if pace != worker.pace {
            worker.pace = pace;
            worker.pace_changed = Some(now);
            let worker = id.clone();
            self.note(Note::Pace { worker, percent: pace, tail_ms, target_ms });
        }
        self.evict_harmful(id, now);
        self.order_paces(id, now);
    }

    /// Compares the tails of the serving tasks on a worker with those of their steps elsewhere.
    fn learn_pressure(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let capacity = worker.listed.capacity.processor.milli().max(1);
        let mut fillers = Vec::new();
        let mut settled = true;
        for load in worker.loads.values().filter(|load| load.fills) {
            settled &= now.saturating_duration_since(load.since) > SETTLE;
            let use_at_pace = load.size.processor.milli() * u64::from(load.pace) / 100;
            fillers
                .push(Filler { image: load.image.clone(), share: use_at_pace * 1000 / capacity });
        }
        if !settled {
            return;
        }
        let mut notes = Vec::new();
        for (&task, load) in &worker.loads {
            let (Some(tail), Some(target)) = (load.tail, load.tail_target) else { continue };
            let (step, image) = (task.step, &load.image);
            let serving = Serving { step, worker: id, image, tail, target };
            let tail_ms = tail.as_millis() as u64;
            for finding in self.pressure.observe(&serving, &fillers, now) {
                let Finding { filler, serving, verdict } = finding;
                notes.push(Note::Pressure { filler, serving, verdict, tail_ms });
            }
        }
        self.log.pressure_dirty |= !notes.is_empty();
        for note in notes {
            self.note(note);
        }
    }

    /// Stops filling tasks that are known to disturb a serving one that nears its target. They
    /// start again where they do not; what they lose costs less than the users' time.
    fn evict_harmful(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let near = |load: &&Load| match (load.tail, load.tail_target) {
            (Some(tail), Some(target)) => tail * 100 > target * TAIL_HIGH,
            _ => false,
        };
        let pressed: Vec<&SmolStr> =
            worker.loads.values().filter(near).map(|load| &load.image).collect();
        let mut harmful = Vec::new();
        for (&task, load) in worker.loads.iter().filter(|(_, load)| load.fills) {
            let harms = |serving: &&SmolStr| {
                self.pressure.verdict(&load.image, serving, now) == Verdict::Harmful
            };
            if pressed.iter().any(harms) && self.is_seated(id, task, load.run) {
                harmful.push(task);
            }
        }
        for task in harmful {
            let phase = self.jobs.get(&task.step.job).and_then(|job| Some(&job.task(task)?.phase));
            if !matches!(phase, Some(Phase::Running(_))) {
                continue;
            }
            self.stop_task(task, "it slows down a serving task", now);
        }
    }

    /// Orders the pace of the worker for each filling task that may disturb a serving one there,
    /// and full speed for the others.
    fn order_paces(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let (worker_pace, fence, target) = (worker.pace, worker.fence, worker.target());
        // After some time above the target nothing is excused by what was learned.
        let harmed = worker.harmed_since.is_some_and(|at| now.duration_since(at) >= HARM_MAX);
        let mut orders = Vec::new();
        for (&task, load) in worker.loads.iter().filter(|(_, load)| load.fills) {
            let serving = worker.loads.values().filter(|load| load.tail_target.is_some());
            let mut verdicts =
                serving.map(|other| self.pressure.verdict(&load.image, &other.image, now));
            let harmless = verdicts.all(|verdict| verdict == Verdict::Harmless);
            let pace = if harmless && !harmed { 100 } else { worker_pace };
            if load.pace != pace {
                orders.push((task, pace));
            }
        }
        for (task_id, pace) in orders {
            let Some(job) = self.jobs.get_mut(&task_id.step.job) else { continue };
            let Some(task) = job.task(task_id) else { continue };
            let Phase::Running(running) = &task.phase else { continue };
            let run = running.seat.run;
            job.change(task_id, |task| {
                task.look.pace = Some(pace);
                task.look.progress_since = None;
            });
            if let Some(worker) = self.workers.get_mut(id)
                && let Some(load) = worker.loads.get_mut(&task_id)
            {
                load.pace = pace;
            }
            let order = order::Pace { task: task_id, run, percent: pace, fence };
            self.actions.push(Action::Pace(target.clone(), order));
        }
    }

    /// Takes in that a pace was not carried out; it is ordered again after the next report.
    pub fn pace_failed(&mut self, target: &order::Target, id: task::Id) {
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        let Some(load) = worker.loads.get_mut(&id) else { return };
        // No pace that is ordered equals this one.
        load.pace = u32::MAX;
    }
}
