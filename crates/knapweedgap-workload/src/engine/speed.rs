//! Speed of best-effort tasks, by the tail latency of the serving tasks on their worker.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};
use smol_str::SmolStr;

use super::Engine;
use super::fleet::{Confirmation, EVICTION_SPEED_PERCENT, Load, Worker};
use super::phase::Phase;
use super::place::Plan;
use super::work::Job;
use crate::action::Action;
use crate::event::Event;
use crate::interference::{self, BestEffort, Finding, Level, Serving};
use crate::{order, packing, task, throttle};

/// Time until a change of the speed or a new task is visible in a report, which covers half a
/// second.
pub(super) const SETTLING_TIME: Duration = Duration::from_millis(600);
/// Slack assumed for a serving task before its first measurement: the slack under its highest load.
const SLACK_UNMEASURED: f64 = 1.6;

/// Serving task with a measured tail latency.
#[derive(Debug)]
struct Measured {
    image: SmolStr,
    /// Ratio of the target to the measured tail latency, see [`interference::slack`].
    slack: f64,
}

/// Best-effort task on a worker.
#[derive(Debug)]
struct Throttled {
    id: task::Id,
    image: SmolStr,
    /// Processor time at full speed, as a share of the capacity of the worker.
    share: f64,
    /// Ordered speed in percent, at most 100.
    speed: u32,
    is_inherited: bool,
    since: Instant,
}

impl Engine {
    /// Updates the interference model from the tail latencies in the report of a worker, and
    /// adjusts the speed of its best-effort tasks.
    pub(super) fn adjust_speeds(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        if !worker.serves_users() {
            self.restore_full_speed(id);
            return;
        }
        self.learn_interference(id, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let measured: Vec<Measured> = worker.loads.values().filter_map(reported).collect();
        let least = measured.iter().map(|measured| measured.slack).fold(f64::MAX, f64::min);
        if least < 1.0 {
            worker.over_target_since.get_or_insert(now);
        } else if least > throttle::SLACK_LOW {
            worker.over_target_since = None;
        }
        self.throttle(id, &measured, now);
        self.predict_slack(id, now);
    }

    /// Orders the speeds that the slack of the serving tasks allows, and evicts slow tasks that
    /// another worker takes.
    fn throttle(&mut self, id: &id::Worker, measured: &[Measured], now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let is_settled =
            worker.speed_changed_at.is_none_or(|at| now.duration_since(at) >= SETTLING_TIME);
        let throttled = throttled(worker);
        if throttled.is_empty() || measured.is_empty() || !is_settled {
            return;
        }
        let over_target =
            worker.over_target_since.map_or(Duration::ZERO, |at| now.duration_since(at));
        let slacks: Vec<f64> = measured.iter().map(|measured| measured.slack).collect();
        let best_effort: Vec<throttle::BestEffort> = throttled
            .iter()
            .map(|task| {
                let loss =
                    |measured: &Measured| self.interference.loss(&task.image, &measured.image, now);
                let losses = measured.iter().map(|measured| loss(measured) * task.share).collect();
                throttle::BestEffort {
                    speed: task.speed,
                    increase_max: if task.is_inherited { 100 } else { throttle::INCREASE_MAX },
                    is_only_run: self.jobs.get(&task.id.step.job).is_some_and(Job::has_one_run),
                    losses,
                }
            })
            .collect();
        let speeds = throttle::speeds(&slacks, &best_effort, over_target);
        let mut changed = false;
        for (task, speed) in throttled.iter().zip(speeds) {
            // The tail latency does not show the effect of a new task yet.
            let is_visible = now.saturating_duration_since(task.since) >= SETTLING_TIME;
            let speed = if is_visible || task.is_inherited { speed } else { speed.min(task.speed) };
            // A run that is evicted interferes until it has stopped.
            changed |= self.order_speed(id, task.id, speed);
            if speed < EVICTION_SPEED_PERCENT
                && let Some(reason) = self.eviction_reason(id, task, measured, now)
            {
                changed |= self.evict(id, task.id, reason, now);
            }
        }
        if changed && let Some(worker) = self.workers.get_mut(id) {
            worker.speed_changed_at = Some(now);
            let least = slacks.iter().copied().fold(f64::MAX, f64::min);
            let (worker, percent) = (id.clone(), (least * 100.0) as u64);
            self.emit(Event::Speed { worker, slack_percent: percent });
        }
    }

    /// Restores the full speed of the best-effort tasks on a worker without serving tasks.
    fn restore_full_speed(&mut self, id: &id::Worker) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.over_target_since = None;
        worker.slack.clear();
        worker.paced_slack.clear();
        let is_slow = |load: &Load| load.speed != 100 || load.confirmation != Confirmation::Ordered;
        let slow = worker.loads.iter().filter(|(_, load)| load.best_effort && is_slow(load));
        let slow: Vec<task::Id> = slow.map(|(&id, _)| id).collect();
        for task in slow {
            self.order_speed(id, task, 100);
        }
    }

    /// Returns `true` if a best-effort task is known to interfere with a serving task with low
    /// slack.
    fn interferes(&self, task: &Throttled, measured: &[Measured], now: Instant) -> bool {
        measured.iter().any(|measured| {
            measured.slack < throttle::SLACK_LOW
                && self.interference.level(&task.image, &measured.image, now) == Level::High
        })
    }

    /// Returns why a slow best-effort task should run on another worker; `None` if it should not.
    fn eviction_reason(
        &mut self,
        id: &id::Worker,
        task: &Throttled,
        measured: &[Measured],
        now: Instant,
    ) -> Option<&'static str> {
        let interferes = self.interferes(task, measured, now);
        if !self.is_eviction_due(id, task.id, interferes, now) {
            return None;
        }
        if interferes {
            return Some("it interferes with a serving task");
        }
        Some("it stays slow beside a serving task")
    }

    /// Updates the interference model from the slack of the serving tasks on a worker, unless a
    /// recent change of its best-effort tasks is not visible in the report yet.
    fn learn_interference(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let is_settling =
            worker.speed_changed_at.is_some_and(|at| now.duration_since(at) < SETTLING_TIME);
        let throttled = throttled(worker);
        let is_new = |task: &Throttled| now.saturating_duration_since(task.since) < SETTLING_TIME;
        let is_unknown =
            |load: &Load| load.best_effort && load.confirmation != Confirmation::Ordered;
        if is_settling
            || worker.loads.values().any(is_unknown)
            || throttled.iter().any(is_new)
            || worker.settling_until.is_some_and(|at| now < at)
        {
            return;
        }
        let best_effort: Vec<BestEffort> = throttled
            .iter()
            .map(|task| {
                let share = task.share * f64::from(task.speed) * 10.0;
                BestEffort { image: task.image.clone(), share: share as u64 }
            })
            .collect();
        let mut events = Vec::new();
        for (&task, load) in &worker.loads {
            let (Some(tail), Some(target)) = (load.tail, load.tail_target) else { continue };
            let (step, image) = (task.step, &load.image);
            let serving = Serving { step, worker: id, image, tail, target };
            let tail_ms = tail.as_millis() as u64;
            for finding in self.interference.observe(&serving, &best_effort, now) {
                let Finding { best_effort, serving, level } = finding;
                events.push(Event::Interference { best_effort, serving, level, tail_ms });
            }
        }
        self.log.interference_dirty |= !events.is_empty();
        for event in events {
            self.emit(event);
        }
    }

    /// Predicts the slack of each serving image on a worker for the time when the interference of all
    /// best-effort tasks there is visible in reports, at full speed and at their ordered speeds.
    fn predict_slack(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let throttled = throttled(worker);
        let mut at_full_speed = BTreeMap::new();
        let mut paced = BTreeMap::new();
        for load in worker.loads.values().filter(|load| load.tail_target.is_some()) {
            let initial = measured(load).map_or(SLACK_UNMEASURED, |measured| measured.slack);
            let (mut slack, mut paced_slack) = (initial, initial);
            for task in &throttled {
                let is_visible = now.saturating_duration_since(task.since) >= SETTLING_TIME;
                let speed = f64::from(task.speed) / 100.0;
                let visible = if is_visible { speed } else { 0.0 };
                if visible >= 1.0 {
                    continue;
                }
                let loss = task.share * self.interference.loss(&task.image, &load.image, now);
                slack -= loss * (1.0 - visible);
                paced_slack -= loss * (speed - visible);
            }
            lower(&mut at_full_speed, &load.image, slack);
            lower(&mut paced, &load.image, paced_slack);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.slack = at_full_speed;
            worker.paced_slack = paced;
        }
    }

    /// Deducts the expected interference of a newly placed best-effort task from the predicted
    /// slack. Its speed is in percent.
    pub(super) fn consume_slack(
        &mut self,
        id: &id::Worker,
        image: &str,
        processor: size::Processor,
        speed: u32,
        now: Instant,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let share = worker.share_of(processor);
        for (serving, slack) in &mut worker.slack {
            *slack -= self.interference.conservative_loss(image, serving, now) * share;
        }
        let paced_share = share * f64::from(speed) / 100.0;
        for (serving, slack) in &mut worker.paced_slack {
            *slack -= self.interference.conservative_loss(image, serving, now) * paced_share;
        }
    }

    /// Returns the highest speed at which a task of a best-effort step may be placed beside the
    /// serving tasks of a worker; `None` if they tolerate none and the step `may_be_suspended` not.
    pub(super) fn pace(
        &self,
        plan: &Plan,
        worker: &Worker,
        may_be_suspended: bool,
        now: Instant,
    ) -> Option<packing::Pace> {
        let share = worker.share_of(plan.step.size.processor);
        let (mut speed, mut least) = (100, f64::MAX);
        for (serving, &slack) in &worker.paced_slack {
            let loss = self.conservative_loss(plan, serving, now) * share;
            let tolerated = match throttle::tolerated_speed(slack, loss) {
                None if may_be_suspended => throttle::least_speed(slack, loss),
                tolerated => tolerated?,
            };
            speed = speed.min(tolerated);
            least = least.min(slack);
        }
        Some(packing::Pace { speed, slack: (least.max(0.0) * 100.0) as u64 })
    }

    /// Orders the speed of a run that was placed at less than full speed. A run starts at full speed.
    pub(super) fn order_initial_speed(&mut self, id: task::Id) {
        let Some(assignment) = self.assignment(id).cloned() else { return };
        let Some(worker) = self.workers.get_mut(&assignment.worker) else { return };
        let Some(load) = worker.loads.get_mut(&id) else { return };
        let speed = load.speed;
        if speed >= 100 {
            return;
        }
        load.confirmation = Confirmation::Failed;
        self.order_speed(&assignment.worker, id, speed);
    }

    /// Orders the speed of one best-effort task. Returns `false` if it already has that speed or
    /// has no confirmed run on this worker.
    fn order_speed(&mut self, id: &id::Worker, task_id: task::Id, speed: u32) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let (fence, target) = (worker.fence, worker.target());
        let is_ordered =
            |load: &Load| load.confirmation == Confirmation::Ordered && load.speed == speed;
        if worker.loads.get(&task_id).is_none_or(is_ordered) {
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
            load.confirmation = Confirmation::Ordered;
            if speed >= EVICTION_SPEED_PERCENT {
                load.evict_at = None;
            }
        }
        let order = order::Speed { task: task_id, run, percent: speed, fence };
        self.actions.push(Action::SetSpeed(target, order));
        true
    }

    /// Marks the speed of a run of an earlier owner as unknown, because that owner may have changed it.
    /// After the next report the run continues from the lowest speed: full speed could make a serving
    /// task miss its target.
    pub(super) fn forget_speed(&mut self, id: &id::Worker, task_id: task::Id) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(load) = worker.loads.get_mut(&task_id).filter(|load| load.best_effort) else {
            return;
        };
        load.speed = throttle::SPEED_MIN;
        load.confirmation = Confirmation::Inherited;
        let Some(job) = self.jobs.get_mut(&task_id.step.job) else { return };
        // A suspended run makes no progress, which must not count as hung.
        job.change(task_id, |task| task.observation.speed = Some(0));
    }

    /// Handles a failed speed order. The speed is ordered again after the next report.
    pub fn speed_failed(&mut self, target: &order::Target, id: task::Id) {
        let Some(worker) = self.workers.get_mut(&target.worker) else { return };
        let Some(load) = worker.loads.get_mut(&id) else { return };
        load.confirmation = Confirmation::Failed;
    }
}

/// Returns a serving task with its measured slack; `None` if the last report has no usable
/// tail latency.
fn measured(load: &Load) -> Option<Measured> {
    let slack = interference::slack(load.tail?, load.tail_target?)?;
    Some(Measured { image: load.image.clone(), slack })
}

/// Returns a serving task with its measured slack, or the one under its highest load while it serves no
/// requests; `None` if the last report has no tail latency of it.
fn reported(load: &Load) -> Option<Measured> {
    let tail = load.tail?;
    load.tail_target?;
    if tail.is_zero() {
        return Some(Measured { image: load.image.clone(), slack: SLACK_UNMEASURED });
    }
    measured(load)
}

/// Lowers the slack of an image to `slack` if it is higher or not known.
fn lower(slacks: &mut BTreeMap<SmolStr, f64>, image: &SmolStr, slack: f64) {
    let least = slacks.entry(image.clone()).or_insert(slack);
    *least = least.min(slack);
}

/// Returns the best-effort tasks on a worker.
fn throttled(worker: &Worker) -> Vec<Throttled> {
    let best_effort = worker.loads.iter().filter(|(_, load)| load.best_effort);
    best_effort
        .map(|(&id, load)| Throttled {
            id,
            image: load.image.clone(),
            share: worker.share_of(load.size.processor),
            speed: load.speed,
            is_inherited: load.confirmation == Confirmation::Inherited,
            since: load.since,
        })
        .collect()
}
