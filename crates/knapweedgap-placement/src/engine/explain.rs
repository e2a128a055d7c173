//! Explanations for waiting and stuck jobs.

use std::time::Instant;

use knapweedgap_core::id;

use crate::engine::Engine;
use crate::explain::{self, Line, Reason};
use crate::job::Job;
use crate::pack;
use crate::task::Any;

/// Age of the last report of a worker, in seconds, at which its attempts count as stuck.
const CONTACT_TIMEOUT_S: u64 = 3;

impl Engine {
    /// Explains up to `limit` waiting or stuck jobs, in the order of their ids. Each job has one
    /// line; a stuck attempt takes precedence over a waiting task.
    pub fn explain(&self, limit: usize, now: Instant) -> Vec<Line> {
        let mut lines = Vec::new();
        for (id, job) in self.state.jobs() {
            if lines.len() == limit {
                break;
            }
            let stuck = self.explain_stuck(id, job, now);
            let Some(reason) = stuck.or_else(|| self.explain_waiting(job, now)) else { continue };
            lines.push(Line { job: *id, reason });
        }
        lines
    }

    fn explain_stuck(&self, id: &id::Job, job: &Job, now: Instant) -> Option<Reason> {
        for (index, any) in &job.tasks {
            let Some(assignment) = any.assignment() else { continue };
            let task = id::Task { job: *id, index: *index };
            let worker = assignment.worker.clone();
            let contact = self.workers.get(&worker).and_then(|known| known.contact.as_ref());
            let is_silent = contact.is_none_or(|contact| {
                now.saturating_duration_since(contact.at).as_secs() >= CONTACT_TIMEOUT_S
            });
            if is_silent {
                let seconds = explain::seconds_until(self.latest_end(&worker), now);
                return Some(Reason::Unreachable { task, worker, seconds });
            }
            if matches!(any, Any::Stopping(_)) {
                return Some(Reason::Stopping { task, worker });
            }
        }
        None
    }

    fn explain_waiting(&self, job: &Job, now: Instant) -> Option<Reason> {
        if job.waiting() == 0 {
            return None;
        }
        let team = &job.spec.team;
        let size = job.spec.size;
        let used = self.state.usage().of(team);
        if let Some(quota) = self.settings.quotas.of(team)
            && !self.settings.quotas.allows(team, used, size)
        {
            return Some(Reason::Quota { team: team.clone(), used, quota });
        }
        let counts = self.counts(now);
        if counts.schedulable == 0 && counts.quarantined == 0 {
            return Some(Reason::NoWorker { listed: counts.workers });
        }
        let admitted: Vec<_> = self
            .workers
            .values()
            .filter(|known| !known.unlisted && !known.spec.leaving)
            .filter(|known| {
                pack::admits_at(&job.spec.constraint, &known.spec.zone, &known.spec.rack)
            })
            .collect();
        if !admitted.iter().any(|known| known.available().fits(&size)) {
            return Some(Reason::TooLarge { size });
        }
        let has_capacity = |known: &&crate::worker::Worker| {
            known.is_schedulable(now) && self.free(known).fits(&size)
        };
        if !admitted.iter().any(has_capacity) {
            return Some(Reason::NoCapacity { size, quarantined: counts.quarantined });
        }
        if counts.uncommitted > 0 {
            return Some(Reason::Commit { records: counts.uncommitted });
        }
        Some(Reason::Next)
    }
}
