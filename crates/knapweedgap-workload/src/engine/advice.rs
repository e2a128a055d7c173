//! Placement advice: an external service decides which workers may run a step.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};
use smol_str::SmolStr;

use super::Engine;
use crate::action::Action;
use crate::task;

/// Most workers in one query, a limit of the platform.
const WORKERS_MAX: usize = 100;
/// Number of workers in a query for each waiting task. The service allows only some of them, and
/// each one delays the answer.
const WORKERS_PER_TASK: usize = 3;
/// Smallest limit on the number of workers in a query.
const WORKERS_MIN: usize = 12;
/// Time before the expiry of a permit in which it is no longer used: the transit time of a start.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Time until the next query after one that failed or had no candidates.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Time after which an unanswered query is sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Permission to run a step on one incarnation of a worker.
#[derive(Debug, Clone)]
struct Permit {
    ticket: SmolStr,
    incarnation: revision::Incarnation,
    until: Instant,
}

/// State of the advice on one step.
#[derive(Debug, Default)]
pub(super) struct Advice {
    permits: BTreeMap<id::Worker, Permit>,
    /// When the query in progress was sent; `None` if there is none.
    queried_at: Option<Instant>,
    /// Earliest time of the next query; `None` if there is no backoff.
    retry_at: Option<Instant>,
    /// Workers in the queries so far. A worker among them without a permit is left out of the next
    /// query.
    queried: std::collections::BTreeSet<id::Worker>,
}

impl Engine {
    /// Returns the ticket of a valid permit to run a step on a worker.
    pub(super) fn ticket(
        &self,
        step: task::Step,
        id: &id::Worker,
        now: Instant,
    ) -> Option<SmolStr> {
        let permit = self.advice.get(&step)?.permits.get(id)?;
        let incarnation = self.workers.get(id)?.listed.incarnation;
        let valid = permit.incarnation == incarnation && now + TICKET_MARGIN < permit.until;
        valid.then(|| permit.ticket.clone())
    }

    /// Returns `true` if open workers with a valid permit exist for a step. Sends a query if there
    /// are fewer than the tasks need and none is in progress.
    pub(super) fn has_advice(
        &mut self,
        step: &task::Step,
        service: &id::Service,
        tasks: usize,
        now: Instant,
    ) -> bool {
        let usable = self
            .workers
            .iter()
            .filter(|(id, worker)| worker.is_open(now) && self.ticket(*step, id, now).is_some())
            .count();
        if usable >= tasks.min(2) {
            return true;
        }
        let advice = self.advice.entry(*step).or_default();
        let in_progress =
            advice.queried_at.is_some_and(|at| now.duration_since(at) < ANSWER_TIMEOUT);
        let in_backoff = advice.retry_at.is_some_and(|at| now < at);
        if in_progress || in_backoff {
            return usable > 0;
        }
        let limit = (tasks * WORKERS_PER_TASK).clamp(WORKERS_MIN, WORKERS_MAX);
        let mut candidates: Vec<(u64, id::Worker)> = Vec::new();
        for (id, worker) in &self.workers {
            if worker.listed.service != *service || !worker.is_open(now) {
                continue;
            }
            let has_permit = advice.permits.contains_key(id);
            if advice.queried.contains(id) && !has_permit {
                continue;
            }
            candidates.push((u64::MAX - worker.free().processor.milli(), id.clone()));
        }
        candidates.sort();
        candidates.truncate(limit);
        if candidates.is_empty() {
            advice.queried.clear();
            advice.retry_at = Some(now + RETRY_BACKOFF);
            return usable > 0;
        }
        let ids: Vec<id::Worker> = candidates.into_iter().map(|(_, id)| id).collect();
        advice.queried.extend(ids.iter().cloned());
        advice.queried_at = Some(now);
        self.actions.push(Action::Advise(*step, ids));
        usable > 0
    }

    /// Handles the answer to a query that was sent at `sent`: the allowed workers with their
    /// tickets, and the time from `sent` for which the tickets are valid. `None` means that the
    /// query failed.
    pub fn advice_answered(
        &mut self,
        step: task::Step,
        answer: Option<(Vec<(id::Worker, SmolStr)>, Duration)>,
        sent: Instant,
        now: Instant,
    ) {
        let incarnations: BTreeMap<id::Worker, revision::Incarnation> = self
            .workers
            .iter()
            .map(|(id, worker)| (id.clone(), worker.listed.incarnation))
            .collect();
        let Some(advice) = self.advice.get_mut(&step) else { return };
        advice.queried_at = None;
        let Some((allowed, validity)) = answer else {
            advice.queried.clear();
            advice.retry_at = Some(now + RETRY_BACKOFF);
            return;
        };
        for (id, ticket) in allowed {
            let Some(&incarnation) = incarnations.get(&id) else { continue };
            advice.permits.insert(id, Permit { ticket, incarnation, until: sent + validity });
        }
        self.place_due = true;
    }

    /// Drops all permits of a step after a worker refused one.
    pub(super) fn drop_advice(&mut self, step: task::Step) {
        self.advice.remove(&step);
    }
}
