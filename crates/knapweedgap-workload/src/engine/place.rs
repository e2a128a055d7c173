//! Placement of waiting tasks on workers.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Instant;

use knapweedgap_core::{id, revision};
use smol_str::SmolStr;

use super::fleet::Worker;
use super::phase::{Assignment, Phase};
use super::room::Class;
use super::search::{Scope, Speed};
use super::work::{self, Job, Observation};
use super::{Deferred, Engine};
use crate::configuration::{self, Policy};
use crate::event::Event;
use crate::exclusion::Exclusion;
use crate::history::Change;
use crate::packing::{self, Candidate, Cost, Demand, Interference, Neighbours};
use crate::rank::{self, Rank};
use crate::{job, task};

/// Number of searches of the whole fleet without a fitting worker after which a part of a placement
/// pass ends. A search of a part counts as that part.
const MISSES_MAX: usize = 8;

/// Result of an attempt to place the waiting tasks of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// All tasks are placed, or one at a reduced speed, or they wait for something other than
    /// capacity.
    Settled,
    /// No worker is open for a task of the step.
    NoRoom,
    /// A search found no worker among as many as this.
    Missed(usize),
}

impl Attempt {
    /// Returns the number of workers that were looked at in vain.
    fn missed(self) -> usize {
        match self {
            Attempt::Missed(searched) => searched,
            Attempt::Settled | Attempt::NoRoom => 0,
        }
    }
}

/// Step with the inputs of its placement.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) id: task::Step,
    pub(super) step: work::Spec,
    pub(super) class: Class,
    /// Timing of the placement advice; `None` if all workers are allowed.
    pub(super) advice: Option<configuration::Advice>,
    /// Losses of serving images to a task of the step that were looked up.
    losses: RefCell<BTreeMap<SmolStr, f64>>,
}

impl Plan {
    /// Returns `true` if the worker is open for tasks of the service and has the required label.
    pub(super) fn is_eligible(&self, worker: &Worker, now: Instant) -> bool {
        self.class.contains(worker) && worker.is_open(now)
    }

    /// Returns the requirements of a task of the step.
    pub(super) fn demand(&self) -> Demand<'_> {
        Demand {
            size: self.step.size,
            best_effort: self.step.best_effort,
            serves: self.step.tail_target.is_some(),
            near: self.step.near.as_deref(),
        }
    }

    /// Returns the number of tasks that fit the free capacity of a worker.
    pub(super) fn slots(&self, worker: &Worker) -> u64 {
        self.step.slots(&worker.free())
    }
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
    /// Number of workers that were looked at.
    searched: usize,
}

impl Candidates {
    fn new(engine: &Engine, plan: &Plan, scope: &Scope, now: Instant) -> Candidates {
        let searched = engine.searched_in(plan, scope);
        let mut entries = Vec::new();
        for &(id, worker) in &searched {
            let Ok(cost) = engine.cost(plan, None, false, id, worker, now) else { continue };
            entries.push(Reverse((cost, id.clone())));
        }
        let heap = BinaryHeap::from(entries);
        Candidates { heap, costs: BTreeMap::new(), searched: searched.len() }
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
        let cost = engine.cost(plan, None, false, id, worker, now).ok();
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
    ///
    /// A search of the fleet is expensive, so a pass ends after [`MISSES_MAX`] searches in vain
    /// among the most urgent steps, and as many among the others, which are tried in turn. A step
    /// that fits is therefore tried within two rounds of `n / MISSES_MAX` passes, where `n` is the
    /// number of waiting steps that need a search and fit no worker.
    pub(super) fn place(&mut self, now: Instant) {
        self.check_reservations(now);
        if self.configuration.is_none() || (!self.place_due && !self.rotation.is_open()) {
            // Without the configuration, neither the service nor the attempts of a queue are known.
            return;
        }
        if self.check_list(now) | self.check_zones(now) {
            return;
        }
        self.open_least_suspicious(now);
        self.note_changes(now);
        self.note_largest_worker();
        self.order_reservations(now);
        let misses_max = MISSES_MAX * self.workers.len().max(1);
        let is_changed = std::mem::take(&mut self.place_due);
        let mut queue: Vec<(Rank, task::Step)> = Vec::with_capacity(self.ready.len());
        for &id in &self.ready {
            let Some(rank) = self.rank(id, now) else { continue };
            queue.push((rank, id));
        }
        self.update_idle(now);
        queue.sort_unstable();
        let mut remaining = queue.into_iter().map(|(_, id)| id).peekable();
        if is_changed {
            let mut misses = 0;
            while misses < misses_max {
                let Some(id) = remaining.next() else { break };
                misses += self.place_in_order(id, remaining.peek().is_some(), now);
            }
        }
        let remaining: Vec<task::Step> = remaining.collect();
        self.rotation.begin_pass(&remaining, is_changed);
        let mut misses = 0;
        let last = remaining.last().copied();
        for id in remaining {
            if misses >= misses_max {
                break;
            }
            if !self.rotation.take(id) {
                continue;
            }
            misses += self.place_in_order(id, last != Some(id), now);
        }
        self.place_due |= self.rotation.end_pass();
    }

    /// Places the waiting tasks of a step, or reserves room for them if a later step may take it.
    /// Returns the number of workers that were looked at in vain.
    fn place_in_order(&mut self, id: task::Step, has_later: bool, now: Instant) -> usize {
        let attempt = self.place_step(id, now);
        if has_later && attempt != Attempt::Settled {
            self.reserve_ahead(id, now);
        }
        attempt.missed()
    }

    /// Notes the jobs with a ready step of which nothing is assigned.
    fn update_idle(&mut self, now: Instant) {
        let mut idle = BTreeSet::new();
        for &id in &self.ready {
            let Some(job) = self.jobs.get(&id.job) else { continue };
            if job.is_idle() && !job.state.is_final() {
                idle.insert(id.job);
            }
        }
        self.idle.update(idle, now);
    }

    pub(super) fn rank(&self, id: task::Step, now: Instant) -> Option<Rank> {
        let job = self.jobs.get(&id.job)?;
        if job.state.is_final() {
            return None;
        }
        let spec = job.spec().steps.get(usize::from(id.step))?;
        let policy = self.policy_of(job);
        let step = rank::Step {
            long_running: spec.long_running,
            priority: policy.priority,
            accepted_at: job.accepted_at,
            objective: policy.objective(job.critical_path),
            run_time: spec.estimate,
        };
        Some(step.rank(now))
    }

    /// Returns the policy of a job: that of its queue, or the one at its acceptance if the queue has
    /// been removed.
    pub(super) fn policy_of<'a>(&'a self, job: &'a Job) -> &'a Policy {
        let configuration = self.configuration.as_ref();
        let queue = configuration.and_then(|it| it.queue_named(&job.accepted.queue));
        queue.map_or(&job.policy, |queue| &queue.policy)
    }

    /// Places the waiting tasks of a step.
    fn place_step(&mut self, id: task::Step, now: Instant) -> Attempt {
        let Some(plan) = self.plan(id) else {
            self.ready.remove(&id);
            return Attempt::Settled;
        };
        let Some(job) = self.jobs.get(&id.job) else { return Attempt::Settled };
        let Some(step) = job.step(id) else { return Attempt::Settled };
        let Some(&first) = step.waiting.first() else {
            self.ready.remove(&id);
            return Attempt::Settled;
        };
        let open = self.scope(&plan, Speed::Full, now);
        if open.is_empty() && !self.may_be_paced(id, now) {
            self.evict_for(id, now);
            return Attempt::NoRoom;
        }
        self.search_count += u64::from(open == Scope::All);
        let waiting: Vec<u32> = self.waiting_of(id);
        let attempt = if plan.step.gang {
            self.place_gang(&plan, &waiting, now)
        } else if open.is_empty() {
            self.place_one_paced(&plan, plan.id.task(first), now)
        } else {
            self.place_tasks(&plan, &waiting, &open, now)
        };
        if matches!(attempt, Attempt::Missed(_)) && plan.advice.is_some() {
            // The search covered the workers with a permit only.
            self.advice.request(id, now);
            return Attempt::Settled;
        }
        attempt
    }

    /// Returns the positions of the waiting tasks of a step.
    fn waiting_of(&self, id: task::Step) -> Vec<u32> {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        step.map(|step| step.waiting.iter().copied().collect()).unwrap_or_default()
    }

    fn place_tasks(&mut self, plan: &Plan, waiting: &[u32], open: &Scope, now: Instant) -> Attempt {
        let mut candidates = Candidates::new(self, plan, open, now);
        for &index in waiting {
            let task = plan.id.task(index);
            let Some(worker) = self.choose_again(plan, task, &mut candidates, open, now) else {
                self.note_miss(plan, Speed::Full, now);
                return match self.place_one_paced(plan, task, now) {
                    Attempt::Missed(searched) => Attempt::Missed(searched + candidates.searched),
                    attempt => attempt,
                };
            };
            self.plan_task(plan, task, worker.clone(), 100, now);
            candidates.update(self, plan, &worker, now);
        }
        self.ready.remove(&plan.id);
        Attempt::Settled
    }

    /// Places a task at a reduced speed if its job is idle. The placement is no search in vain: each
    /// ends the idle time of a job, and there are no more of them than idle jobs.
    fn place_one_paced(&mut self, plan: &Plan, task: task::Id, now: Instant) -> Attempt {
        match self.place_paced(plan, task, now) {
            Ok(()) => Attempt::Settled,
            Err(searched) => Attempt::Missed(searched),
        }
    }

    /// Returns the worker with the lowest placement cost for the next task of a step; `None` if no
    /// worker fits.
    fn choose_again(
        &self,
        plan: &Plan,
        task: task::Id,
        candidates: &mut Candidates,
        scope: &Scope,
        now: Instant,
    ) -> Option<id::Worker> {
        let avoid = &self.jobs.get(&task.step.job)?.task(task)?.avoid;
        if avoid.is_some() {
            return self.choose(plan, task, None, scope, now);
        }
        let is_copy = |id: &id::Worker| {
            self.workers.get(id).is_some_and(|worker| worker.loads.contains_key(&task))
        };
        candidates.lowest(is_copy)
    }

    pub(super) fn plan(&self, id: task::Step) -> Option<Plan> {
        if self.is_job_ended(id.job) {
            return None;
        }
        let job = self.jobs.get(&id.job)?;
        let step = work::Spec::new(job.accepted.clone(), usize::from(id.step))?;
        let policy = self.policy_of(job);
        let (class, advice) = (Class::new(&policy.service, &step), policy.advice);
        Some(Plan { id, step, class, advice, losses: RefCell::default() })
    }

    /// Returns the workers that a search for a step considers: those of its class, with a permit if
    /// it needs one.
    pub(super) fn searched(&self, plan: &Plan) -> Vec<(&id::Worker, &Worker)> {
        if plan.advice.is_none() {
            let is_searched = |(_, worker): &(&id::Worker, &Worker)| plan.class.contains(worker);
            return self.workers.iter().filter(is_searched).collect();
        }
        let permitted = self.advice.permitted(plan.id);
        let permitted = permitted.filter_map(|id| self.workers.get_key_value(id));
        permitted.filter(|(_, worker)| plan.class.contains(worker)).collect()
    }

    /// Returns the worker with the lowest placement cost for a task in a scope, and in `rack` if one is
    /// given; `None` if no worker fits.
    pub(super) fn choose(
        &self,
        plan: &Plan,
        task: task::Id,
        rack: Option<&str>,
        scope: &Scope,
        now: Instant,
    ) -> Option<id::Worker> {
        let avoid = self.jobs.get(&task.step.job)?.task(task)?.avoid.clone();
        let mut best = None;
        for (id, worker) in self.searched_in(plan, scope) {
            if rack.is_some() && worker.listed.rack.as_deref() != rack {
                continue;
            }
            if worker.loads.contains_key(&task) {
                continue;
            }
            let is_suspect = avoid.is_some() && worker.suspicion.is_suspect();
            let is_avoided = avoid.as_ref() == Some(id) || is_suspect;
            let Ok(cost) = self.cost(plan, rack, is_avoided, id, worker, now) else { continue };
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, id));
            }
        }
        best.map(|(_, id)| id.clone())
    }

    /// Returns the cost of placing a task of a step on a worker of the right service and label, with
    /// its data in `rack` if one is given, or why the worker is excluded.
    pub(super) fn cost(
        &self,
        plan: &Plan,
        rack: Option<&str>,
        is_avoided: bool,
        id: &id::Worker,
        worker: &Worker,
        now: Instant,
    ) -> Result<Cost, Exclusion> {
        self.check(plan, id, worker, now)?;
        let near = rack.or(plan.step.near.as_deref());
        let candidate = self.candidate(plan, is_avoided, worker, now);
        let cost = packing::cost(&Demand { near, ..plan.demand() }, &candidate)?;
        if self.is_reserved(plan, id, worker, now) {
            return Err(Exclusion::Reserved);
        }
        Ok(cost)
    }

    /// Checks what excludes a worker whatever its capacity is.
    pub(super) fn check(
        &self,
        plan: &Plan,
        id: &id::Worker,
        worker: &Worker,
        now: Instant,
    ) -> Result<(), Exclusion> {
        if let Some(exclusion) = worker.exclusion(now) {
            return Err(exclusion);
        }
        if self.is_limit_reached(plan, worker) {
            return Err(Exclusion::StepLimit);
        }
        if plan.advice.is_some() && self.ticket(plan.id, id, now).is_none() {
            return Err(Exclusion::NoPermit);
        }
        Ok(())
    }

    /// Returns the state of a worker as a place for a task of the step.
    pub(super) fn candidate<'a>(
        &self,
        plan: &Plan,
        is_avoided: bool,
        worker: &'a Worker,
        now: Instant,
    ) -> Candidate<'a> {
        Candidate {
            free: worker.free(),
            unused_processor: worker.unused_processor(),
            rack: worker.listed.rack.as_deref(),
            interference: self.expected_interference(plan, worker, now),
            runs_best_effort: worker.best_effort_processor.milli() > 0,
            neighbours: neighbours(worker, &plan.step.image),
            avoided: is_avoided,
            slow: worker.is_slow(now),
        }
    }

    /// Returns the interference that a task of the step is expected to cause to the serving tasks of
    /// a worker; `None` if it is not best-effort or the worker has no serving tasks.
    pub(super) fn expected_interference(
        &self,
        plan: &Plan,
        worker: &Worker,
        now: Instant,
    ) -> Option<Interference> {
        if !plan.step.best_effort || !worker.serves_users() {
            return None;
        }
        if worker.over_target_since.is_some() {
            return Some(Interference { remaining: 0, loss: 0 });
        }
        let share = worker.share_of(plan.step.size.processor);
        let (mut remaining_min, mut loss_max) = (f64::MAX, 0.0f64);
        for (serving, slack) in &worker.slack {
            let loss = self.conservative_loss(plan, serving, now) * share;
            remaining_min = remaining_min.min(slack - loss);
            loss_max = loss_max.max(loss);
        }
        let hundredths = |slack: f64| (slack.max(0.0) * 100.0) as u64;
        Some(Interference { remaining: hundredths(remaining_min), loss: hundredths(loss_max) })
    }

    /// Returns the slack that a serving image is expected to lose to a task of the step, per whole worker.
    pub(super) fn conservative_loss(&self, plan: &Plan, serving: &SmolStr, now: Instant) -> f64 {
        let mut losses = plan.losses.borrow_mut();
        if let Some(loss) = losses.get(serving) {
            return *loss;
        }
        let loss = self.interference.conservative_loss(&plan.step.image, serving, now);
        losses.insert(serving.clone(), loss);
        loss
    }

    fn is_limit_reached(&self, plan: &Plan, worker: &Worker) -> bool {
        let limit = plan.step.per_worker;
        if limit == 0 {
            return false;
        }
        let count = worker.loads.range(plan.id.task(0)..=plan.id.task(u32::MAX)).count();
        usize::try_from(limit).is_ok_and(|limit| count >= limit)
    }

    /// Assigns a task to a worker at a speed in percent. The start is sent once the placement is
    /// stored.
    pub(super) fn plan_task(
        &mut self,
        plan: &Plan,
        id: task::Id,
        worker: id::Worker,
        speed: u32,
        now: Instant,
    ) {
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
        self.meet_reservation(plan.id, &worker, now);
        if plan.step.best_effort {
            let processor = plan.step.size.processor;
            self.consume_slack(&worker, &plan.step.image, processor, speed, now);
        }
        if let Some(listed) = self.workers.get_mut(&worker)
            && let Some(load) = listed.loads.get_mut(&id)
        {
            load.speed = speed;
            listed.suspicion.run_placed(now);
        }
        self.placed_count += 1;
        self.idle.remove(plan.id.job);
        self.note(id, Change::Place, now);
        self.mark_dirty(plan.id.job);
        self.defer(Deferred::Start(id, run));
        let is_wide = self.is_wide(&plan.step.size);
        self.emit(Event::Place { task: id, run, worker, waited, report_age, speed, is_wide });
    }

    /// Places all members of a gang, or none.
    fn place_gang(&mut self, plan: &Plan, waiting: &[u32], now: Instant) -> Attempt {
        let Some(job) = self.jobs.get(&plan.id.job) else { return Attempt::Settled };
        let Some(step) = job.step(plan.id) else { return Attempt::Settled };
        if waiting.len() != step.tasks.len() {
            // Members of the previous run have not ended yet.
            return Attempt::Settled;
        }
        let run = step.tasks.iter().map(|task| task.run).max().unwrap_or_default();
        let checkpoint = step.tasks.iter().map(|task| &task.checkpoint).find(|c| !c.is_empty());
        let checkpoint = checkpoint.cloned().unwrap_or_default();
        let full = self.choose_gang(plan, waiting, run, now).map(|placed| (placed, 100));
        let placed = full.or_else(|| self.choose_paced_gang(plan, waiting, run, now));
        let Some((placed, speed)) = placed else { return Attempt::Missed(self.workers.len()) };
        for (task, worker) in placed {
            if let Some(job) = self.jobs.get_mut(&plan.id.job) {
                job.change(task, |task| {
                    task.run = run;
                    task.checkpoint = checkpoint.clone();
                });
            }
            self.plan_task(plan, task, worker, speed, now);
        }
        self.ready.remove(&plan.id);
        Attempt::Settled
    }

    /// Returns where the members of a gang run at full speed; `None` if not all of them fit.
    fn choose_gang(
        &mut self,
        plan: &Plan,
        waiting: &[u32],
        run: revision::Run,
        now: Instant,
    ) -> Option<Vec<(task::Id, id::Worker)>> {
        let slots = self.slots_by_rack(plan, now);
        let count = u64::try_from(waiting.len()).unwrap_or(u64::MAX);
        if slots.values().sum::<u64>() < count {
            return None;
        }
        let rack = if plan.step.same_rack {
            gang_rack(slots, plan.step.near.as_ref(), count)
        } else {
            None
        };
        let mut placed: Vec<(task::Id, id::Worker)> = Vec::with_capacity(waiting.len());
        for &index in waiting {
            let task = plan.id.task(index);
            let Some(worker) = self.choose(plan, task, rack.as_deref(), &Scope::All, now) else {
                break;
            };
            self.reserve(&worker, task, run, now);
            placed.push((task, worker));
        }
        for (task, worker) in &placed {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.release(*task);
            }
        }
        (placed.len() == waiting.len()).then_some(placed)
    }

    /// Returns how many tasks of a step the workers of each rack have room for. Workers without a
    /// rack count as one rack.
    pub(super) fn slots_by_rack(
        &self,
        plan: &Plan,
        now: Instant,
    ) -> BTreeMap<Option<SmolStr>, u64> {
        let mut slots = BTreeMap::new();
        for (id, worker) in self.searched(plan) {
            if self.cost(plan, None, false, id, worker, now).is_err() {
                continue;
            }
            let rack = slots.entry(worker.listed.rack.clone()).or_insert(0u64);
            // How many tasks fit beside a reservation is not known, but one does.
            let is_limited = self.may_be_reserved(plan.id, id, now);
            let slots = if is_limited { plan.slots(worker).min(1) } else { plan.slots(worker) };
            *rack = rack.saturating_add(slots);
        }
        slots
    }
}

/// Returns the rack that a gang of `count` tasks fits into as a whole: the preferred one of the
/// step, otherwise the one with the most free capacity; `None` if there is none.
fn gang_rack(
    slots: BTreeMap<Option<SmolStr>, u64>,
    near: Option<&SmolStr>,
    count: u64,
) -> Option<SmolStr> {
    let mut best: Option<(u64, SmolStr)> = None;
    for (rack, fitting) in slots {
        let Some(rack) = rack else { continue };
        if fitting < count {
            continue;
        }
        if near == Some(&rack) {
            return Some(rack);
        }
        if best.as_ref().is_none_or(|(most, _)| fitting >= *most) {
            best = Some((fitting, rack));
        }
    }
    best.map(|(_, rack)| rack)
}

fn neighbours(worker: &Worker, image: &str) -> Neighbours {
    if worker.serving_images.is_empty() {
        return Neighbours::None;
    }
    let is_same = worker.serving_images.keys().all(|serving| serving == image);
    if is_same { Neighbours::Same } else { Neighbours::Others }
}

/// Returns `true` if a worker has the label that a step requires, or if the step requires none.
pub(super) fn has_label(labels: &[SmolStr], label: Option<&str>) -> bool {
    label.is_none_or(|label| labels.iter().any(|own| own == label))
}
