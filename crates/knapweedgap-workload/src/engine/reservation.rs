//! Reservations of room for wide steps that found no worker ([`crate::ahead`]).
//!
//! They are kept in memory and bind this owner only: the next one makes its own.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use super::Engine;
use super::fleet::{Load, Worker};
use super::place::Plan;
use crate::ahead;
use crate::event::{Event, Reserved};
use crate::rank::Rank;
use crate::task;

/// Most reservations at a time, and most forecasts for the whole fleet in one pass.
const RESERVATIONS_MAX: usize = 8;
/// Share of the fleet, as a divisor, on which reservations are made; at least one worker.
const SHARE_DIVISOR: usize = 4;

/// Idle time of a job from which on no reservation keeps room from it. Something of each accepted job
/// must run within 3 s while a worker has room for it, also if that room is reserved.
const IDLE_MAX: Duration = Duration::from_secs(2);

/// Reservation on a worker.
#[derive(Debug, Clone, Copy)]
struct Held {
    /// Step whose next task the room is for.
    holder: task::Step,
    /// Position of the step in the order of the last pass.
    position: (Rank, task::Step),
    room: ahead::Reservation,
    /// When the worker was first held for it.
    since: Instant,
    /// Wait that was expected then.
    expected: Duration,
    /// When another worker is looked for, whatever the forecast.
    until: Instant,
}

/// Reservations of this owner.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    held: BTreeMap<id::Worker, Held>,
    /// Workers that were held too long for a step, and when they may be held for it again.
    resting: BTreeMap<(task::Step, id::Worker), Instant>,
    /// Reservations whose time came without room, and that may be moved.
    lapsed: Vec<(id::Worker, Held)>,
    /// Forecasts for the whole fleet in this pass.
    forecasts: usize,
}

impl Reservations {
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn of(&self, step: task::Step) -> usize {
        self.held.values().filter(|held| held.holder == step).count()
    }
}

impl Load {
    /// Returns the run as the forecast sees it. One that does not advance has no expected end.
    fn forecast(&self) -> ahead::Run {
        let is_endless = self.long_running || self.speed == 0;
        let estimate = if self.best_effort && !is_endless {
            self.estimate.saturating_mul(100) / self.speed
        } else {
            self.estimate
        };
        let estimate = (!is_endless).then_some(estimate);
        ahead::Run { since: self.since, estimate, size: self.reserved() }
    }
}

impl Worker {
    fn forecast(&self) -> impl Iterator<Item = ahead::Run> {
        self.loads.values().map(Load::forecast)
    }
}

impl Plan {
    /// Returns the expected run time of a task of the step; `None` if it is long-running or its
    /// estimate is unknown.
    pub(super) fn duration(&self) -> Option<Duration> {
        let is_known = !self.step.long_running && !self.step.estimate.is_zero();
        is_known.then_some(self.step.estimate)
    }
}

impl Engine {
    /// Drops the reservations that no longer hold. The workers count as changed, so that the steps
    /// that waited for them are tried.
    pub(super) fn check_reservations(&mut self, now: Instant) {
        self.reservations.forecasts = 0;
        for (id, held) in std::mem::take(&mut self.reservations.lapsed) {
            self.log_reservation(&id, &held, Reserved::Lapsed, now);
        }
        if self.reservations.is_empty() && self.reservations.resting.is_empty() {
            return;
        }
        let ready = &self.ready;
        self.reservations.resting.retain(|(step, _), until| *until > now && ready.contains(step));
        let mut dropped = Vec::new();
        let mut waiting: BTreeMap<task::Step, usize> = BTreeMap::new();
        for (id, held) in &self.reservations.held {
            let left =
                waiting.entry(held.holder).or_insert_with(|| self.waiting_count(held.holder));
            let worker = self.workers.get(id);
            let is_open = worker.is_some_and(|worker| worker.is_open(now));
            let outcome = if *left == 0 {
                Some(Reserved::Unneeded)
            } else if !is_open {
                Some(Reserved::Excluded)
            } else if now >= held.room.at {
                Some(Reserved::Lapsed)
            } else {
                *left -= 1;
                None
            };
            if let Some(outcome) = outcome {
                dropped.push((id.clone(), outcome));
            }
        }
        for (id, outcome) in dropped {
            self.drop_reservation(&id, outcome, now);
        }
    }

    /// Updates the positions of the steps with a reservation in the order, which change with time.
    pub(super) fn order_reservations(&mut self, now: Instant) {
        let mut held = std::mem::take(&mut self.reservations.held);
        for held in held.values_mut() {
            let Some(rank) = self.rank(held.holder, now) else { continue };
            held.position.0 = rank;
        }
        self.reservations.held = held;
    }

    /// Returns the number of waiting tasks of a step that may be placed.
    fn waiting_count(&self, step: task::Step) -> usize {
        if !self.ready.contains(&step) || self.is_job_ended(step.job) {
            return 0;
        }
        let waiting = self.jobs.get(&step.job).and_then(|job| job.step(step));
        waiting.map_or(0, |step| step.waiting.len())
    }

    fn drop_reservation(&mut self, id: &id::Worker, outcome: Reserved, now: Instant) {
        let Some(held) = self.reservations.held.remove(id) else { return };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.is_changed = true;
        }
        self.place_due = true;
        if outcome == Reserved::Lapsed {
            if now >= held.until {
                let rest = now.saturating_duration_since(held.since);
                self.reservations.resting.insert((held.holder, id.clone()), now + rest);
            }
            // Logged as moved or, after the pass, as lapsed, unless the same worker is still the best.
            self.reservations.lapsed.push((id.clone(), held));
            return;
        }
        self.log_reservation(id, &held, outcome, now);
    }

    fn log_reservation(&mut self, id: &id::Worker, held: &Held, outcome: Reserved, now: Instant) {
        let (step, worker) = (held.holder, id.clone());
        let (expected, actual) = (held.expected, now.saturating_duration_since(held.since));
        self.emit(Event::Reservation { step, worker, outcome, expected, actual });
    }

    /// Notes that a task was placed on a worker, which meets a reservation of its step there.
    pub(super) fn meet_reservation(&mut self, step: task::Step, id: &id::Worker, now: Instant) {
        let held = self.reservations.held.get(id);
        if held.is_some_and(|held| held.holder == step) {
            self.drop_reservation(id, Reserved::Met, now);
        }
    }

    /// Reserves room for the waiting tasks of a step that found no worker, where it is expected to be
    /// free soonest. Gangs have no reservation, and best-effort tasks need none.
    pub(super) fn reserve_ahead(&mut self, step: task::Step, now: Instant) {
        if !self.bounds.reservations {
            return;
        }
        let (Some(plan), Some(rank)) = (self.plan(step), self.rank(step, now)) else { return };
        let is_served = !plan.step.best_effort && !plan.step.gang && plan.advice.is_none();
        if !is_served || !self.is_wide(&plan.step.size) {
            return;
        }
        let mut missing = self.waiting_count(step).saturating_sub(self.reservations.of(step));
        let share = (self.workers.len() / SHARE_DIVISOR).clamp(1, RESERVATIONS_MAX);
        while missing > 0
            && self.reservations.held.len() < share
            && self.reservations.forecasts < RESERVATIONS_MAX
        {
            self.reservations.forecasts += 1;
            self.search_count += 1;
            let Some((at, id)) = self.soonest(&plan, now) else { return };
            self.add_reservation(&plan, rank, id, at, now);
            missing -= 1;
        }
    }

    /// Returns the worker without a reservation on which a task of the step is expected to have room
    /// soonest, and when.
    fn soonest(&self, plan: &Plan, now: Instant) -> Option<(Instant, id::Worker)> {
        let size = plan.step.reserved_size();
        let mut best: Option<(Instant, &id::Worker)> = None;
        for (id, worker) in self.searched(plan) {
            let reservations = &self.reservations;
            if !worker.listed.capacity.fits(&size) || reservations.held.contains_key(id) {
                continue;
            }
            let is_resting = !reservations.resting.is_empty()
                && reservations.resting.contains_key(&(plan.id, id.clone()));
            if is_resting || self.check(plan, id, worker, now).is_err() {
                continue;
            }
            let room = ahead::earliest_room(worker.free(), worker.forecast(), &size, now);
            // A worker with room now excludes the task for another reason.
            let Some(at) = room.filter(|at| *at > now) else { continue };
            if best.is_none_or(|(soonest, _)| at < soonest) {
                best = Some((at, id));
            }
        }
        best.map(|(at, id)| (at, id.clone()))
    }

    fn add_reservation(
        &mut self,
        plan: &Plan,
        rank: Rank,
        id: id::Worker,
        at: Instant,
        now: Instant,
    ) {
        let room = ahead::Reservation { at, size: plan.step.reserved_size() };
        let expected = at.saturating_duration_since(now);
        let until = ahead::hold_end(at, now);
        let (holder, position) = (plan.id, (rank, plan.id));
        let mut held = Held { holder, position, room, since: now, expected, until };
        let lapsed = &mut self.reservations.lapsed;
        let same_worker =
            lapsed.iter().position(|(worker, held)| *worker == id && held.holder == plan.id);
        let same_step = lapsed.iter().position(|(_, held)| held.holder == plan.id);
        match (same_worker, same_step) {
            (Some(index), _) => {
                let (_, former) = lapsed.swap_remove(index);
                held = Held { room, position, ..former };
            }
            (None, Some(index)) => {
                let (worker, former) = lapsed.swap_remove(index);
                self.log_reservation(&worker, &former, Reserved::Moved, now);
                self.log_reservation(&id, &held, Reserved::Made, now);
            }
            (None, None) => self.log_reservation(&id, &held, Reserved::Made, now),
        }
        self.reservations.held.insert(id, held);
    }

    /// Returns `true` if a task needs at least a quarter of the largest worker.
    pub(super) fn is_wide(&self, size: &size::Resources) -> bool {
        ahead::is_wide(size, &self.largest_worker)
    }

    /// Notes the largest processors and memory of a worker.
    pub(super) fn note_largest_worker(&mut self) {
        let mut largest = size::Resources::default();
        for worker in self.workers.values() {
            let capacity = &worker.listed.capacity;
            largest.processor = largest.processor.max(capacity.processor);
            largest.memory = largest.memory.max(capacity.memory);
        }
        self.largest_worker = largest;
    }

    /// Returns `true` if a worker is kept from a step by a reservation of a step that is earlier in the
    /// order.
    pub(super) fn is_reserved(
        &self,
        plan: &Plan,
        id: &id::Worker,
        worker: &Worker,
        now: Instant,
    ) -> bool {
        let Some(held) = self.reservations.held.get(id) else { return false };
        if !self.may_be_reserved(plan.id, id, now) {
            return false;
        }
        let task = ahead::Task { size: plan.step.reserved_size(), duration: plan.duration() };
        !ahead::may_precede(&task, &held.room, worker.free(), worker.forecast(), now)
    }

    /// Returns the position of a step in the order, before which reservations may keep room from it;
    /// `None` if none may, because its job has been idle for long.
    fn position(&self, step: task::Step, now: Instant) -> Option<(Rank, task::Step)> {
        if self.idle.time(step.job, now).is_some_and(|idle| idle >= IDLE_MAX) {
            return None;
        }
        Some((self.rank(step, now)?, step))
    }

    /// Returns `true` if the reservation on a worker, if there is one, may keep room from a step.
    pub(super) fn may_be_reserved(&self, step: task::Step, id: &id::Worker, now: Instant) -> bool {
        let Some(held) = self.reservations.held.get(id) else { return false };
        self.position(step, now).is_some_and(|position| held.position < position)
    }

    /// Returns `true` if all reservations may keep room from a step.
    pub(super) fn is_behind_reservations(&self, step: task::Step, now: Instant) -> bool {
        let Some(position) = self.position(step, now) else { return false };
        self.reservations.held.values().all(|held| held.position < position)
    }

    /// Returns the workers that reservations keep from a step.
    pub(super) fn reserved_from(&self, plan: &Plan, now: Instant) -> Vec<id::Worker> {
        let mut reserved = Vec::new();
        for id in self.reservations.held.keys() {
            let Some(worker) = self.workers.get(id) else { continue };
            if plan.class.contains(worker) && self.is_reserved(plan, id, worker, now) {
                reserved.push(id.clone());
            }
        }
        reserved
    }
}
