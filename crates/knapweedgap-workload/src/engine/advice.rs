//! Placement advice: an outside service says which workers may run a step.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};
use smol_str::SmolStr;

use super::Engine;
use crate::action::Action;
use crate::task;

/// Workers in one question at most, a limit of the platform.
const WORKERS_MAX: usize = 100;
/// Workers in the question for each waiting task. The answer takes longer with each, and only
/// some of them will be allowed.
const WORKERS_PER_TASK: usize = 3;
/// Fewest workers in a question.
const WORKERS_MIN: usize = 12;
/// Time before the end of a permission in which it is not used any more: the way of a start.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// Pause after a question without a useful answer.
const RETRY_BACKOFF: Duration = Duration::from_millis(300);
/// Time after which an unanswered question is asked again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Permission to run a step on one worker.
#[derive(Debug, Clone)]
struct Permit {
    ticket: SmolStr,
    incarnation: revision::Incarnation,
    until: Instant,
}

/// Advice on one step.
#[derive(Debug, Default)]
pub(super) struct Advice {
    permits: BTreeMap<id::Worker, Permit>,
    asked_at: Option<Instant>,
    retry_at: Option<Instant>,
    /// Workers in the questions so far; the next question goes to others.
    asked: std::collections::BTreeSet<id::Worker>,
}

impl Engine {
    /// Returns the permission to run a step on a worker.
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

    /// Tells whether enough is known of a step to place its tasks; asks otherwise.
    pub(super) fn is_advised(
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
        let waiting = advice.asked_at.is_some_and(|at| now.duration_since(at) < ANSWER_TIMEOUT);
        let pausing = advice.retry_at.is_some_and(|at| now < at);
        if waiting || pausing {
            return usable > 0;
        }
        let limit = (tasks * WORKERS_PER_TASK).clamp(WORKERS_MIN, WORKERS_MAX);
        let mut candidates: Vec<(u64, id::Worker)> = Vec::new();
        for (id, worker) in &self.workers {
            if worker.listed.service != *service || !worker.is_open(now) {
                continue;
            }
            let known = advice.permits.contains_key(id);
            if advice.asked.contains(id) && !known {
                continue;
            }
            candidates.push((u64::MAX - worker.free().processor.milli(), id.clone()));
        }
        candidates.sort();
        candidates.truncate(limit);
        if candidates.is_empty() {
            advice.asked.clear();
            advice.retry_at = Some(now + RETRY_BACKOFF);
            return usable > 0;
        }
        let ids: Vec<id::Worker> = candidates.into_iter().map(|(_, id)| id).collect();
        advice.asked.extend(ids.iter().cloned());
        advice.asked_at = Some(now);
        self.actions.push(Action::Advise(*step, ids));
        usable > 0
    }

    /// Takes in the answer of the advice: the allowed workers with their tickets, valid for
    /// `validity` from `sent`. `None` means that there was no answer.
    pub fn advice_answered(
        &mut self,
        step: task::Step,
        answer: Option<(Vec<(id::Worker, SmolStr)>, Duration)>,
        sent: Instant,
        now: Instant,
    ) {
        let incarnations: BTreeMap<id::Worker, revision::Incarnation> =
            self.workers.iter().map(|(id, worker)| (id.clone(), worker.listed.incarnation)).collect();
        let Some(advice) = self.advice.get_mut(&step) else { return };
        advice.asked_at = None;
        let Some((allowed, validity)) = answer else {
            advice.asked.clear();
            advice.retry_at = Some(now + RETRY_BACKOFF);
            return;
        };
        for (id, ticket) in allowed {
            let Some(&incarnation) = incarnations.get(&id) else { continue };
            advice.permits.insert(id, Permit { ticket, incarnation, until: sent + validity });
        }
        self.place_due = true;
    }

    /// Forgets the permissions of a step after one was refused.
    pub(super) fn advice_expired(&mut self, step: task::Step) {
        self.advice.remove(&step);
    }
}
