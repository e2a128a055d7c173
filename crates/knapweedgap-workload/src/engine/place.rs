//! Placement of waiting tasks on workers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use super::fleet::Worker;
use super::phase::{Assignment, Phase};
use super::work::Observation;
use super::{Deferred, Engine};
use crate::configuration::Queue;
use crate::event::Event;
use crate::packing::{self, Candidate, Cost, Demand, Interference, Neighbours};
use crate::rank::{self, Rank};
use crate::{job, task};

/// Number of steps without a fitting worker after which a placement pass ends. The remaining steps
/// are less urgent and mostly need the same sizes. Long-running steps do not count: after a loss of
/// workers, many of them wait until jobs are cancelled, and smaller steps behind them may fit.
const MISSES_MAX: u32 = 24;

/// Demands of one placement pass that no worker fits. No capacity becomes free during a pass, so a
/// demand of at least the same size has no worker either.
#[derive(Debug, Default)]
struct Misses(Vec<Miss>);

/// Demand that no worker fits.
#[derive(Debug)]
struct Miss {
    service: id::Service,
    requires: Option<smol_str::SmolStr>,
    size: size::Resources,
}

impl Misses {
    /// Records that no worker fits a task of the step, because of its size and label alone.
    fn record(&mut self, plan: &Plan) {
        let step = &plan.step;
        let (service, requires, size) = (plan.service.clone(), step.requires.clone(), step.size);
        self.0.push(Miss { service, requires, size });
    }

    /// Returns `true` if a recorded miss shows that no worker fits a task of the step.
    fn contains(&self, plan: &Plan) -> bool {
        let step = &plan.step;
        let is_covered = |miss: &Miss| {
            miss.service == plan.service
                && (miss.requires.is_none() || miss.requires == step.requires)
                && step.size.fits(&miss.size)
        };
        !step.best_effort && self.0.iter().any(is_covered)
    }
}

/// Step with the inputs of its placement.
#[derive(Debug, Clone)]
struct Plan {
    id: task::Step,
    step: job::Step,
    service: id::Service,
    needs_advice: bool,
}

/// Workers that fit the tasks of one step, by cost. The tasks of a step are alike, and a placement
/// changes the cost of one worker only, so a wide step costs one pass over the fleet and not one for
/// each task.
#[derive(Debug)]
struct Candidates {
    /// Entries whose cost differs from the one in `costs` are outdated.
    heap: BinaryHeap<Reverse<(Cost, id::Worker)>>,
    /// Costs of the workers on which a task of the step was placed; `None` if none fits any more.
    costs: BTreeMap<id::Worker, Option<Cost>>,
}

impl Candidates {
    fn new(engine: &Engine, plan: &Plan, now: Instant) -> Candidates {
        let mut entries = Vec::with_capacity(engine.workers.len());
        for (id, worker) in &engine.workers {
            let Some(cost) = engine.cost(plan, None, false, id, worker, now) else { continue };
            entries.push(Reverse((cost, id.clone())));
        }
        Candidates { heap: BinaryHeap::from(entries), costs: BTreeMap::new() }
    }

    /// Returns the worker with the lowest cost that does not run a copy of the task.
    fn lowest<IsCopy>(&mut self, is_copy: IsCopy) -> Option<id::Worker>
    where
        IsCopy: Fn(&id::Worker) -> bool,
    {
        let mut copies = Vec::new();
        let mut lowest = None;
        while let Some(Reverse((cost, id))) = self.heap.pop() {
            let is_outdated = self.costs.get(&id).is_some_and(|current| *current != Some(cost));
            if is_outdated {
                continue;
            }
            let is_copy = is_copy(&id);
            copies.push(Reverse((cost, id.clone())));
            if !is_copy {
                lowest = Some(id);
                break;
            }
        }
        self.heap.extend(copies);
        lowest
    }

    /// Replaces the cost of a worker after a placement there.
    fn update(&mut self, engine: &Engine, plan: &Plan, id: &id::Worker, now: Instant) {
        let Some(worker) = engine.workers.get(id) else { return };
        let cost = engine.cost(plan, None, false, id, worker, now);
        let former = self.costs.insert(id.clone(), cost);
        if let Some(cost) = cost
            && former != Some(Some(cost))
        {
            self.heap.push(Reverse((cost, id.clone())));
        }
    }
}

impl Engine {
    /// Places waiting tasks in order of urgency while capacity is free.
    pub(super) fn place(&mut self, now: Instant) {
        if !self.place_due {
            return;
        }
        self.place_due = false;
        let mut queue: Vec<(Rank, task::Step)> = Vec::with_capacity(self.ready.len());
        for &id in &self.ready {
            let Some(rank) = self.rank(id, now) else { continue };
            queue.push((rank, id));
        }
        queue.sort_unstable();
        let mut misses = Misses::default();
        let (mut counted, mut untried) = (0, queue.len());
        for (rank, id) in queue {
            if counted >= MISSES_MAX {
                break;
            }
            untried -= 1;
            if !self.place_step(id, &mut misses, now) && !rank.is_long_running() {
                counted += 1;
            }
        }
        self.untried_steps = untried;
    }

    fn rank(&self, id: task::Step, now: Instant) -> Option<Rank> {
        let job = self.jobs.get(&id.job)?;
        if job.state.is_final() {
            return None;
        }
        let spec = job.spec().steps.get(usize::from(id.step))?;
        let queue = self.queue_of(&job.accepted.queue);
        let (slowdown, latency) =
            queue.map_or((1.0, Duration::ZERO), |queue| (queue.slowdown, queue.latency_target));
        let chain = job.spec().declared_critical_path();
        let step = rank::Step {
            long_running: spec.long_running,
            priority: queue.map_or(u32::MAX, |queue| queue.priority),
            accepted_at: job.accepted_at,
            objective: chain.mul_f64(slowdown) + latency,
            run_time: spec.estimate,
        };
        Some(step.rank(now))
    }

    pub(super) fn queue_of(&self, name: &str) -> Option<&Queue> {
        self.configuration.as_ref()?.queue_named(name)
    }

    /// Places the waiting tasks of a step. Returns `false` if no worker fits a task.
    fn place_step(&mut self, id: task::Step, misses: &mut Misses, now: Instant) -> bool {
        let Some(plan) = self.plan(id) else {
            self.ready.remove(&id);
            return true;
        };
        let Some(job) = self.jobs.get(&id.job) else { return true };
        let Some(step) = job.step(id) else { return true };
        let waiting: Vec<u32> = step.waiting.iter().copied().collect();
        if waiting.is_empty() {
            self.ready.remove(&id);
            return true;
        }
        if plan.needs_advice && !self.has_advice(&plan.id, &plan.service, waiting.len(), now) {
            return true;
        }
        if misses.contains(&plan) {
            return false;
        }
        if plan.step.gang {
            return self.place_gang(&plan, &waiting, now);
        }
        let mut candidates = Candidates::new(self, &plan, now);
        for index in waiting {
            let task = id.task(index);
            let Some(worker) = self.choose_again(&plan, task, &mut candidates, now) else {
                if !self.has_other_bounds(&plan, task) {
                    misses.record(&plan);
                }
                return false;
            };
            self.plan_task(&plan, task, worker.clone(), now);
            candidates.update(self, &plan, &worker, now);
        }
        self.ready.remove(&id);
        true
    }

    /// Returns the worker with the lowest placement cost for the next task of a step; `None` if no
    /// worker fits.
    fn choose_again(
        &self,
        plan: &Plan,
        task: task::Id,
        candidates: &mut Candidates,
        now: Instant,
    ) -> Option<id::Worker> {
        let avoid = &self.jobs.get(&task.step.job)?.task(task)?.avoid;
        if avoid.is_some() {
            return self.choose(plan, task, None, now);
        }
        let is_copy = |id: &id::Worker| {
            self.workers.get(id).is_some_and(|worker| worker.loads.contains_key(&task))
        };
        candidates.lowest(is_copy)
    }

    fn plan(&self, id: task::Step) -> Option<Plan> {
        if self.is_job_ended(id.job) {
            return None;
        }
        let job = self.jobs.get(&id.job)?;
        let step = job.spec().steps.get(usize::from(id.step))?.clone();
        let queue = self.queue_of(&job.accepted.queue);
        let service = queue.map_or(&job.accepted.service, |queue| &queue.service).clone();
        let needs_advice = queue.is_some_and(|queue| queue.advice.is_some());
        Some(Plan { id, step, service, needs_advice })
    }

    /// Returns the worker with the lowest placement cost for a task, in `rack` if one is given;
    /// `None` if no worker fits.
    fn choose(
        &self,
        plan: &Plan,
        task: task::Id,
        rack: Option<&str>,
        now: Instant,
    ) -> Option<id::Worker> {
        let avoid = self.jobs.get(&task.step.job)?.task(task)?.avoid.clone();
        let mut best = None;
        for (id, worker) in &self.workers {
            if rack.is_some() && worker.listed.rack.as_deref() != rack {
                continue;
            }
            if worker.loads.contains_key(&task) {
                continue;
            }
            let is_avoided = avoid.as_ref() == Some(id);
            let Some(cost) = self.cost(plan, rack, is_avoided, id, worker, now) else { continue };
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Returns the cost of placing a task of a step on a worker, with its data in `rack` if one is
    /// given; `None` if it does not fit.
    fn cost(
        &self,
        plan: &Plan,
        rack: Option<&str>,
        is_avoided: bool,
        id: &id::Worker,
        worker: &Worker,
        now: Instant,
    ) -> Option<Cost> {
        if worker.listed.service != plan.service || !worker.is_open(now) {
            return None;
        }
        if !has_label(&worker.listed.labels, plan.step.requires.as_deref()) {
            return None;
        }
        if self.is_limit_reached(plan, worker) {
            return None;
        }
        if plan.needs_advice && self.ticket(plan.id, id, now).is_none() {
            return None;
        }
        let demand = Demand {
            size: plan.step.size,
            best_effort: plan.step.best_effort,
            serves: plan.step.tail_target.is_some(),
            near: rack.or(plan.step.near.as_deref()),
        };
        let candidate = Candidate {
            free: worker.free(),
            unused_processor: worker.unused_processor(),
            rack: worker.listed.rack.as_deref(),
            interference: self.expected_interference(&demand, &plan.step.image, worker, now),
            runs_best_effort: worker.best_effort_processor.milli() > 0,
            neighbours: neighbours(worker, &plan.step.image),
            avoided: is_avoided,
        };
        packing::cost(&demand, &candidate)
    }

    /// Returns the interference that a best-effort task is expected to cause to the serving tasks
    /// of a worker; `None` if the task is not best-effort or the worker has no serving tasks.
    fn expected_interference(
        &self,
        demand: &Demand<'_>,
        image: &smol_str::SmolStr,
        worker: &super::fleet::Worker,
        now: Instant,
    ) -> Option<Interference> {
        if !demand.best_effort || !worker.serves_users() {
            return None;
        }
        if worker.over_target_since.is_some() {
            return Some(Interference { remaining: 0, loss: 0 });
        }
        let share = worker.share_of(demand.size.processor);
        let (mut remaining_min, mut loss_max) = (f64::MAX, 0.0f64);
        for (serving, slack) in &worker.slack {
            let loss = self.interference.conservative_loss(image, serving, now) * share;
            remaining_min = remaining_min.min(slack - loss);
            loss_max = loss_max.max(loss);
        }
        let hundredths = |slack: f64| (slack.max(0.0) * 100.0) as u64;
        Some(Interference { remaining: hundredths(remaining_min), loss: hundredths(loss_max) })
    }

    /// Returns `true` if the size and label of a task are not the only bounds on its worker.
    fn has_other_bounds(&self, plan: &Plan, task: task::Id) -> bool {
        let step = &plan.step;
        step.best_effort
            || step.gang
            || step.per_worker > 0
            || plan.needs_advice
            || self.workers.values().any(|worker| worker.loads.contains_key(&task))
    }

    fn is_limit_reached(&self, plan: &Plan, worker: &super::fleet::Worker) -> bool {
        let limit = plan.step.per_worker;
        if limit == 0 {
            return false;
        }
        let count = worker.loads.range(plan.id.task(0)..=plan.id.task(u32::MAX)).count();
        usize::try_from(limit).is_ok_and(|limit| count >= limit)
    }

    /// Assigns a task to a worker. The start is sent once the placement is stored.
    fn plan_task(&mut self, plan: &Plan, id: task::Id, worker: id::Worker, now: Instant) {
        let Some(listed) = self.workers.get(&worker) else { return };
        let (incarnation, report_age) = (listed.listed.incarnation, listed.report_age(now));
        let Some(job) = self.jobs.get_mut(&plan.id.job) else { return };
        let Some(task) = job.task(id) else { return };
        let Phase::Waiting(waiting) = &task.phase else { return };
        let waited = now.saturating_duration_since(waiting.since);
        let run = task.run.next();
        let assignment = Assignment { worker: worker.clone(), incarnation, run };
        job.change(id, |task| {
            task.run = run;
            task.observation = Observation::default();
            task.transition(|phase| match phase {
                Phase::Waiting(waiting) => Phase::Planned(waiting.place(assignment)),
                other => other,
            });
        });
        if job.state == job::State::Queued {
            job.set_state(job::State::Running);
        }
        self.reserve(&worker, id, run, now);
        if plan.step.best_effort {
            self.consume_slack(&worker, &plan.step.image, plan.step.size.processor, now);
        }
        self.mark_dirty(plan.id.job);
        self.defer(Deferred::Start(id, run));
        self.emit(Event::Place { task: id, run, worker, waited, report_age });
    }

    /// Places all members of a gang, or none. Returns `false` if they do not fit.
    fn place_gang(&mut self, plan: &Plan, waiting: &[u32], now: Instant) -> bool {
        let Some(job) = self.jobs.get(&plan.id.job) else { return true };
        let Some(step) = job.step(plan.id) else { return true };
        if waiting.len() != step.tasks.len() {
            // Members of the previous run have not ended yet.
            return true;
        }
        let run = step.tasks.iter().map(|task| task.run).max().unwrap_or_default();
        let checkpoint = step.tasks.iter().map(|task| &task.checkpoint).find(|c| !c.is_empty());
        let checkpoint = checkpoint.cloned().unwrap_or_default();
        let rack =
            if plan.step.same_rack { self.gang_rack(plan, waiting.len(), now) } else { None };
        let mut placed: Vec<(task::Id, id::Worker)> = Vec::with_capacity(waiting.len());
        for &index in waiting {
            let task = plan.id.task(index);
            let Some(worker) = self.choose(plan, task, rack.as_deref(), now) else { break };
            self.reserve(&worker, task, run, now);
            placed.push((task, worker));
        }
        if placed.len() < waiting.len() {
            for (task, worker) in placed {
                if let Some(worker) = self.workers.get_mut(&worker) {
                    worker.release(task);
                }
            }
            return false;
        }
        for (task, worker) in placed {
            if let Some(job) = self.jobs.get_mut(&plan.id.job) {
                job.change(task, |task| {
                    task.run = run;
                    task.checkpoint = checkpoint.clone();
                });
            }
            self.plan_task(plan, task, worker, now);
        }
        self.ready.remove(&plan.id);
        true
    }

    /// Returns the rack that a gang of `count` tasks fits into as a whole: the preferred one of the
    /// step, otherwise the one with the most free capacity; `None` if there is none.
    fn gang_rack(&self, plan: &Plan, count: usize, now: Instant) -> Option<smol_str::SmolStr> {
        let mut slots = std::collections::BTreeMap::new();
        for worker in self.workers.values() {
            if worker.listed.service != plan.service || !worker.is_open(now) {
                continue;
            }
            let Some(rack) = &worker.listed.rack else { continue };
            let demand = plan.step.size;
            let free = worker.free();
            let by_processor = free.processor.milli() / demand.processor.milli().max(1);
            let by_memory = free.memory.get() / demand.memory.get().max(1);
            let fitting = by_processor.min(by_memory);
            let limit = if plan.step.per_worker == 0 { u32::MAX } else { plan.step.per_worker };
            *slots.entry(rack.clone()).or_insert(0u64) += fitting.min(u64::from(limit));
        }
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        let near = plan.step.near.as_ref();
        let preferred = near.filter(|rack| slots.get(*rack).is_some_and(|slots| *slots >= count));
        if let Some(rack) = preferred {
            return Some(rack.clone());
        }
        slots
            .into_iter()
            .filter(|(_, slots)| *slots >= count)
            .max_by_key(|(_, slots)| *slots)
            .map(|(rack, _)| rack)
    }
}

fn neighbours(worker: &super::fleet::Worker, image: &str) -> Neighbours {
    if worker.serving_images.is_empty() {
        return Neighbours::None;
    }
    let is_same = worker.serving_images.keys().all(|serving| serving == image);
    if is_same { Neighbours::Same } else { Neighbours::Others }
}

/// Returns `true` if a worker has the label that a step requires, or if the step requires none.
pub(super) fn has_label(labels: &[smol_str::SmolStr], label: Option<&str>) -> bool {
    label.is_none_or(|label| labels.iter().any(|own| own == label))
}
