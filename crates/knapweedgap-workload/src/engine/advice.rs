//! Placement advice: an external service decides which workers may run a step.
//!
//! The service handles the calls of one instance in turn, and each takes a time that grows with the
//! number of workers in it. Steps therefore take turns: each call is short against the validity of
//! its tickets, and a step that has had a call waits behind all steps that wait then.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};
use smol_str::SmolStr;

use super::Engine;
use super::place::Plan;
use crate::action::Action;
use crate::{configuration, task};

/// Most workers in one call, a limit of the platform.
const WORKERS_MAX: usize = 100;
/// Number of tasks for which the workers in a call have room, for each waiting task. The service
/// allows only some of the workers.
const ROOM_PER_TASK: u64 = 3;
/// Number of workers in a call while its time allows as many and the fleet has them.
const WORKERS_WANTED: usize = 12;
/// Number of workers that a call may contain however many steps wait for theirs.
const WORKERS_SHARED: u32 = 4;
/// Calls without an answer. The second one keeps the service busy while the answer to the first is
/// in transit.
const CALLS_MAX: usize = 2;
/// Share of the validity that may pass until the answer to a call, as a divisor.
const VALIDITY_DIVISOR: u32 = 3;
/// Time before the expiry of a permit in which it is no longer used: the transit time of a start.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Time added to the timeout of a call for opening a connection and for a slow link.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// Time until the next call of a step after one that failed or had no candidates.
const RETRY_BACKOFF_MIN: Duration = Duration::from_millis(300);
/// Longest time until the next call of a step after several that failed.
const RETRY_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Permission to run a step on one incarnation of a worker.
#[derive(Debug, Clone)]
struct Permit {
    ticket: SmolStr,
    incarnation: revision::Incarnation,
    until: Instant,
}

/// Turn of a step at the service.
#[derive(Debug, Clone, Copy, Default)]
enum Turn {
    /// The step needs no call.
    #[default]
    Idle,
    /// The step waits for a call.
    Waiting { since: Instant },
    /// A call was sent and is not answered.
    Called,
}

/// State of the advice on one step.
#[derive(Debug, Default)]
struct Step {
    permits: BTreeMap<id::Worker, Permit>,
    /// Incarnations of workers that the service does not allow.
    denied: BTreeMap<id::Worker, revision::Incarnation>,
    /// Workers in the call without an answer.
    called: Vec<(id::Worker, revision::Incarnation)>,
    turn: Turn,
    /// Calls that have failed since the last answer.
    failures: u32,
    /// Earliest time of the next call; `None` if there is no backoff.
    retry_at: Option<Instant>,
}

impl Step {
    fn back_off(&mut self, now: Instant) {
        let backoff = RETRY_BACKOFF_MIN * 2u32.saturating_pow(self.failures.min(8));
        self.retry_at = Some(now + backoff.min(RETRY_BACKOFF_MAX));
    }
}

/// State of the advice on all steps, and of the calls to the service.
#[derive(Debug, Default)]
pub(super) struct Advice {
    steps: BTreeMap<task::Step, Step>,
    /// When the service is expected to have handled all calls that were sent to it, including those
    /// that timed out; `None` before the first one.
    busy_until: Option<Instant>,
}

impl Advice {
    /// Forgets the steps that `is_kept` rejects.
    pub(super) fn retain<IsKept>(&mut self, is_kept: IsKept)
    where
        IsKept: Fn(&task::Step) -> bool,
    {
        self.steps.retain(|step, _| is_kept(step));
    }

    pub(super) fn remove(&mut self, step: task::Step) {
        self.steps.remove(&step);
    }

    /// Drops the permits of a step after a worker refused a ticket.
    pub(super) fn drop_permits(&mut self, step: task::Step) {
        if let Some(step) = self.steps.get_mut(&step) {
            step.permits.clear();
        }
    }

    /// Returns the workers with a permit for a step, which may have expired.
    pub(super) fn permitted(&self, step: task::Step) -> impl Iterator<Item = &id::Worker> {
        self.steps.get(&step).into_iter().flat_map(|step| step.permits.keys())
    }

    /// Lets a step wait for a call unless it already does.
    pub(super) fn request(&mut self, step: task::Step, now: Instant) {
        let step = self.steps.entry(step).or_default();
        if matches!(step.turn, Turn::Idle) {
            step.turn = Turn::Waiting { since: now };
        }
    }

    fn calls(&self) -> usize {
        self.steps.values().filter(|step| matches!(step.turn, Turn::Called)).count()
    }

    /// Returns the step that has waited longest for a call and the number of others that wait.
    fn next(&self, now: Instant) -> Option<(task::Step, u32)> {
        let mut oldest: Option<(Instant, task::Step)> = None;
        let mut waiting = 0u32;
        for (&id, step) in &self.steps {
            let Turn::Waiting { since } = step.turn else { continue };
            if step.retry_at.is_some_and(|at| now < at) {
                continue;
            }
            waiting += 1;
            let entry = (since, id);
            oldest = Some(oldest.map_or(entry, |oldest| oldest.min(entry)));
        }
        oldest.map(|(_, id)| (id, waiting - 1))
    }

    /// Returns how long the service is still expected to be busy with earlier calls.
    fn backlog(&self, now: Instant) -> Duration {
        self.busy_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// Returns the number of workers that a call may contain, beside `others` steps that wait for
/// theirs. A call after `failures` that failed is the shorter.
fn workers_max(timing: &configuration::Advice, others: u32, failures: u32) -> usize {
    let budget = timing.validity / VALIDITY_DIVISOR;
    let shared = timing.decision_time + timing.time_per_worker * WORKERS_SHARED;
    let budget = budget.min(shared.max(budget / (1 + others)));
    let for_workers = budget.saturating_sub(timing.decision_time).as_nanos();
    let affordable = for_workers.checked_div(timing.time_per_worker.as_nanos());
    let affordable = affordable.map_or(WORKERS_MAX, |workers| {
        usize::try_from(workers).unwrap_or(WORKERS_MAX).min(WORKERS_MAX)
    });
    (affordable >> failures.min(8)).max(1)
}

impl Engine {
    /// Returns the ticket of a valid permit to run a step on a worker.
    pub(super) fn ticket(
        &self,
        step: task::Step,
        id: &id::Worker,
        now: Instant,
    ) -> Option<SmolStr> {
        let permit = self.advice.steps.get(&step)?.permits.get(id)?;
        let incarnation = self.workers.get(id)?.listed.incarnation;
        let valid = permit.incarnation == incarnation && now + TICKET_MARGIN < permit.until;
        valid.then(|| permit.ticket.clone())
    }

    /// Sends the calls for advice that are due, the step that has waited longest first.
    pub(super) fn call_for_advice(&mut self, now: Instant) {
        while self.advice.calls() < CALLS_MAX {
            let Some((id, others)) = self.advice.next(now) else { return };
            if !self.call_for_step(id, others, now) {
                return;
            }
        }
    }

    /// Sends a call for the advice on a step, or ends its turn if it needs none. Returns `false` if
    /// the call would wait too long behind earlier ones.
    fn call_for_step(&mut self, id: task::Step, others: u32, now: Instant) -> bool {
        let plan = self.plan(id).filter(|_| self.ready.contains(&id));
        let timing = plan.as_ref().and_then(|plan| plan.advice);
        let (Some(plan), Some(timing)) = (plan, timing) else {
            // All tasks are placed. The permits stay, because starts that are not sent need them.
            if let Some(step) = self.advice.steps.get_mut(&id) {
                step.turn = Turn::Idle;
            }
            return true;
        };
        let backlog = self.advice.backlog(now);
        if self.advice.calls() > 0 && backlog > timing.validity / VALIDITY_DIVISOR {
            return false;
        }
        let failures = self.advice.steps.get(&id).map_or(0, |step| step.failures);
        let called = self.candidates(&plan, workers_max(&timing, others, failures), now);
        let Some(step) = self.advice.steps.get_mut(&id) else { return true };
        if called.is_empty() {
            step.turn = Turn::Idle;
            step.back_off(now);
            return true;
        }
        step.turn = Turn::Called;
        let workers: Vec<id::Worker> = called.iter().map(|(id, _)| id.clone()).collect();
        step.called = called;
        let count = u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let answer_in = backlog + timing.decision_time + timing.time_per_worker * count;
        self.advice.busy_until = Some(now + answer_in);
        self.actions.push(Action::Advise(id, workers, answer_in + TIMEOUT_MARGIN));
        true
    }

    /// Returns the workers for a call: those that the service has allowed before, then those near
    /// the data with most free capacity, until they have room for the waiting tasks.
    fn candidates(
        &self,
        plan: &Plan,
        max: usize,
        now: Instant,
    ) -> Vec<(id::Worker, revision::Incarnation)> {
        let Some(step) = self.advice.steps.get(&plan.id) else { return Vec::new() };
        let mut candidates = Vec::new();
        for (id, worker) in &self.workers {
            if !plan.is_eligible(worker, now)
                || step.denied.get(id) == Some(&worker.listed.incarnation)
            {
                continue;
            }
            if self.ticket(plan.id, id, now).is_some() {
                continue;
            }
            let room = plan.slots(worker);
            if room == 0 {
                continue;
            }
            let is_new = !step.permits.contains_key(id);
            let near = plan.step.near.as_ref();
            let is_remote = near.is_some() && near != worker.listed.rack.as_ref();
            let order = (is_new, is_remote, Reverse(worker.free().processor.milli()), id);
            candidates.push((order, worker.listed.incarnation, room));
        }
        candidates.sort();
        let waiting = self.jobs.get(&plan.id.job).and_then(|job| job.step(plan.id));
        let mut missing = waiting.map_or(0, |step| step.waiting.len() as u64) * ROOM_PER_TASK;
        let mut chosen = Vec::new();
        for ((.., id), incarnation, room) in candidates {
            if chosen.len() >= max || (missing == 0 && chosen.len() >= WORKERS_WANTED) {
                break;
            }
            missing = missing.saturating_sub(room);
            chosen.push((id.clone(), incarnation));
        }
        chosen
    }

    /// Handles the answer to a call that was sent at `sent`: the allowed workers with their
    /// tickets, and the time from `sent` for which the tickets are valid. `None` means that the
    /// call failed.
    pub fn advice_answered(
        &mut self,
        step: task::Step,
        answer: Option<(Vec<(id::Worker, SmolStr)>, Duration)>,
        sent: Instant,
        now: Instant,
    ) {
        if let Some(step) = self.advice.steps.get_mut(&step) {
            step.turn = Turn::Idle;
            let called = std::mem::take(&mut step.called);
            match answer {
                None => {
                    step.back_off(now);
                    step.failures = step.failures.saturating_add(1);
                }
                Some((allowed, validity)) => {
                    step.failures = 0;
                    step.retry_at = None;
                    let allowed: BTreeMap<id::Worker, SmolStr> = allowed.into_iter().collect();
                    for (id, incarnation) in called {
                        let Some(ticket) = allowed.get(&id) else {
                            step.permits.remove(&id);
                            step.denied.insert(id, incarnation);
                            continue;
                        };
                        let until = sent + validity;
                        step.permits
                            .insert(id, Permit { ticket: ticket.clone(), incarnation, until });
                    }
                }
            }
        }
        self.place_due = true;
        self.call_for_advice(now);
    }
}
