//! What reports say of serving tasks, and the pace of what fills beside them.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};
use smol_str::SmolStr;

use super::Engine;
use super::fleet::Load;
use super::phase::Phase;
use crate::action::Action;
use crate::event::Event;
use crate::pressure::{self, Filler, Finding, Serving, Verdict};
use crate::{order, task, throttle};

/// Time for a change of the pace, or a new task, to show in a report: the report covers half a
/// second.
pub(super) const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Slack that is expected of a serving task which has not been measured yet: that of one under its
/// highest load.
const SLACK_STARTING: f64 = 1.6;
/// Pace below which a filling task that is known to be harmful is moved, in percent.
const EVICTION_SPEED_PERCENT: u32 = 30;

/// Serving task of a worker.
#[derive(Debug)]
struct Measured {
    image: SmolStr,
    /// Measured slack.
    slack: f64,
}

/// Filling task of a worker.
#[derive(Debug)]
struct Throttled {
    id: task::Id,
    image: SmolStr,
    /// Processor time at full speed, as a share of the worker.
    share: f64,
    speed: u32,
    since: Instant,
}

impl Engine {
    /// Learns from the tails in the report of a worker and adjusts the pace of the filling tasks
    /// there.
    pub(super) fn adjust_speeds(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        if !worker.serves_users() {
            self.restore_full_speed(id);
            return;
        }
        self.learn_interference(id, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let served: Vec<Measured> = worker.loads.values().filter_map(served).collect();
        let least = served.iter().map(|served| served.slack).fold(f64::MAX, f64::min);
        if least < 1.0 {
            worker.over_target_since.get_or_insert(now);
        } else if least > throttle::SLACK_LOW {
            worker.over_target_since = None;
        }
        self.throttle(id, &served, now);
        self.predict_slack(id, now);
    }

    /// Orders the pace that the slack of the serving tasks allows.
    fn throttle(&mut self, id: &id::Worker, served: &[Measured], now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let settled = worker.speed_changed_at.is_none_or(|at| now.duration_since(at) >= SETTLING_TIME);
        let filling = filling(worker);
        if filling.is_empty() || served.is_empty() || !settled {
            return;
        }
        let harmed = worker.over_target_since.map_or(Duration::ZERO, |at| now.duration_since(at));
        let slacks: Vec<f64> = served.iter().map(|served| served.slack).collect();
        let fillers: Vec<throttle::Filler> = filling
            .iter()
            .map(|filler| {
                let loss = |served: &Measured| self.interference.loss(&filler.image, &served.image, now);
                let losses = served.iter().map(|served| loss(served) * filler.share).collect();
                throttle::Filler { pace: filler.speed, losses }
            })
            .collect();
        let speeds = throttle::paces(&slacks, &fillers, harmed);
        let mut changed = false;
        for (filler, speed) in filling.iter().zip(speeds) {
            if speed < EVICTION_SPEED_PERCENT && self.interferes(filler, served, now) {
                changed |= self.evict(id, filler.id, now);
                continue;
            }
            changed |= self.order_speed(id, filler.id, speed);
        }
        if changed && let Some(worker) = self.workers.get_mut(id) {
            worker.speed_changed_at = Some(now);
            let least = slacks.iter().copied().fold(f64::MAX, f64::min);
            let (worker, percent) = (id.clone(), (least * 100.0) as u64);
            self.emit(Event::Pace { worker, slack_percent: percent });
        }
    }

    /// Gives filling tasks without serving ones beside them their full speed.
    fn restore_full_speed(&mut self, id: &id::Worker) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.over_target_since = None;
        worker.slack.clear();
        let slow: Vec<task::Id> = filling(worker)
            .iter()
            .filter(|filler| filler.speed < 100)
            .map(|filler| filler.id)
            .collect();
        for task in slow {
            self.order_speed(id, task, 100);
        }
    }

    /// Tells whether a filling task is known to disturb a serving one that is short of slack.
    fn interferes(&self, filler: &Throttled, served: &[Measured], now: Instant) -> bool {
        served.iter().any(|served| {
            served.slack < throttle::SLACK_LOW
                && self.interference.verdict(&filler.image, &served.image, now) == Verdict::Harmful
        })
    }

    /// Stops a filling task so that it goes on where it disturbs less; what it loses costs less
    /// than the users' time.
    fn evict(&mut self, id: &id::Worker, task: task::Id, now: Instant) -> bool {
        let phase = self.jobs.get(&task.step.job).and_then(|job| Some(&job.task(task)?.phase));
        let Some(Phase::Running(running)) = phase else { return false };
        if running.assignment.worker != *id {
            return false;
        }
        self.stop_task(task, "it slows down a serving task", now);
        true
    }

    /// Learns from the slack of the serving tasks on a worker.
    fn learn_interference(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let paced = worker.speed_changed_at.is_some_and(|at| now.duration_since(at) < SETTLING_TIME);
        let filling = filling(worker);
        let is_new = |filler: &Throttled| now.saturating_duration_since(filler.since) < SETTLING_TIME;
        if paced || filling.iter().any(is_new) || worker.settling_until.is_some_and(|at| now < at)
        {
            return;
        }
        let fillers: Vec<Filler> = filling
            .iter()
            .map(|filler| {
                let share = filler.share * f64::from(filler.speed) * 10.0;
                Filler { image: filler.image.clone(), share: share as u64 }
            })
            .collect();
        let mut events = Vec::new();
        for (&task, load) in &worker.loads {
            let (Some(tail), Some(target)) = (load.tail, load.tail_target) else { continue };
            let (step, image) = (task.step, &load.image);
            let serving = Serving { step, worker: id, image, tail, target };
            let tail_ms = tail.as_millis() as u64;
            for finding in self.interference.observe(&serving, &fillers, now) {
                let Finding { filler, serving, verdict } = finding;
                events.push(Event::Pressure { filler, serving, verdict, tail_ms });
            }
        }
        self.log.interference_dirty |= !events.is_empty();
        for event in events {
            self.emit(event);
        }
    }

    /// Works out the slack that each serving image will have when all filling tasks of its worker
    /// have their full speed and show their effect.
    fn predict_slack(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let filling = filling(worker);
        let mut expected: std::collections::BTreeMap<SmolStr, f64> = Default::default();
        for load in worker.loads.values().filter(|load| load.tail_target.is_some()) {
            let measured = served(load).map_or(SLACK_STARTING, |served| served.slack);
            let mut slack = measured;
            for filler in &filling {
                let is_shown = now.saturating_duration_since(filler.since) >= SETTLING_TIME;
                let shown = if is_shown { f64::from(filler.speed) / 100.0 } else { 0.0 };
                let hidden = filler.share * (1.0 - shown);
                if hidden > 0.0 {
                    slack -= hidden * self.interference.loss(&filler.image, &load.image, now);
                }
            }
            let least = expected.entry(load.image.clone()).or_insert(slack);
            *least = least.min(slack);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.slack = expected;
        }
    }

    /// Takes in that a filling task was placed beside serving ones.
    pub(super) fn consume_slack(
        &mut self,
        id: &id::Worker,
        image: &str,
        processor: size::Processor,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let share = worker.share_of(processor);
        for (serving, slack) in &mut worker.slack {
            *slack -= self.interference.cautious_loss(image, serving, now) * share;
        }
    }

    /// Orders the pace of one filling task; returns whether it changes.
    fn order_speed(&mut self, id: &id::Worker, task_id: task::Id, speed: u32) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let (fence, target) = (worker.fence, worker.target());
        if worker.loads.get(&task_id).is_none_or(|load| load.speed == speed) {
            return false;
        }
        let Some(job) = self.jobs.get_mut(&task_id.step.job) else { return false };
        let Some(task) = job.task(task_id) else { return false };
        let Phase::Running(running) = &task.phase else { return false };
        if running.assignment.worker != *id {
            return false;
        }
        let run = running.assignment.run;
        job.change(task_id, |task| {
            task.observation.speed = Some(speed);
            task.observation.progress_since = None;
        });
        if let Some(worker) = self.workers.get_mut(id)
            && let Some(load) = worker.loads.get_mut(&task_id)
        {
            load.speed = speed;
        }
        let order = order::Pace { task: task_id, run, percent: speed, fence };
        self.actions.push(Action::Pace(target, order));
        true
    }

    /// Takes in that a pace was not carried out; it is ordered again after the next report.
    pub fn speed_failed(&mut self, target: &order::Target, id: task::Id) {
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        let Some(load) = worker.loads.get_mut(&id) else { return };
        // No pace that is ordered equals this one.
        load.speed = u32::MAX;
    }
}

/// Returns a serving task with its measured slack, once it is at work.
fn served(load: &Load) -> Option<Measured> {
    let slack = pressure::slack(load.tail?, load.tail_target?)?;
    Some(Measured { image: load.image.clone(), slack })
}

/// Returns the filling tasks of a worker.
fn filling(worker: &super::fleet::Worker) -> Vec<Throttled> {
    let fills = worker.loads.iter().filter(|(_, load)| load.fills);
    fills
        .map(|(&id, load)| Throttled {
            id,
            image: load.image.clone(),
            share: worker.share_of(load.size.processor),
            speed: load.speed.min(100),
            since: load.since,
        })
        .collect()
}
