//! Jobs of which nothing is assigned although a step is ready, and why their tasks wait.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::id;

use super::Engine;
use super::place::Plan;
use crate::event::{Event, Nearest};
use crate::exclusion;
use crate::task;

/// Time after which an idle job is logged and counted.
const REPORTED_MIN: Duration = Duration::from_secs(1);
/// Number of idle jobs that are logged at a time, those that have been idle longest.
const LOGGED_MAX: usize = 3;

/// Idle jobs with a ready step, and since when.
#[derive(Debug, Default)]
pub(super) struct Idle {
    since: BTreeMap<id::Job, Instant>,
}

impl Idle {
    /// Replaces the idle jobs. Those that stay idle keep their time.
    pub(super) fn update(&mut self, jobs: BTreeSet<id::Job>, now: Instant) {
        let mut since = BTreeMap::new();
        for job in jobs {
            since.insert(job, self.since.get(&job).copied().unwrap_or(now));
        }
        self.since = since;
    }

    /// Returns the number of idle jobs.
    pub(super) fn jobs(&self) -> usize {
        self.since.len()
    }

    /// Returns the time for which a job has been idle; `None` if it is not.
    pub(super) fn time(&self, job: id::Job, now: Instant) -> Option<Duration> {
        self.since.get(&job).map(|&since| now.saturating_duration_since(since))
    }

    /// Removes a job of which a task was placed.
    pub(super) fn remove(&mut self, job: id::Job) {
        self.since.remove(&job);
    }

    /// Returns the jobs that have been idle for [`REPORTED_MIN`] or more, the longest first.
    fn reported(&self, now: Instant) -> Vec<(Duration, id::Job)> {
        let mut reported = Vec::new();
        for (&job, &since) in &self.since {
            let time = now.saturating_duration_since(since);
            if time >= REPORTED_MIN {
                reported.push((time, job));
            }
        }
        reported.sort_unstable_by(|one, other| other.cmp(one));
        reported
    }
}

impl Engine {
    /// Logs why those jobs wait that have been idle longest.
    pub(super) fn log_idle(&mut self, now: Instant) {
        let reported = self.idle.reported(now);
        for (idle, job) in reported.into_iter().take(LOGGED_MAX) {
            self.log_idle_job(job, idle, now);
        }
    }

    fn log_idle_job(&mut self, job: id::Job, idle: Duration, now: Instant) {
        let first = task::Step { job, occurrence: 0, step: 0 };
        let Some(&id) = self.ready.range(first..).next().filter(|step| step.job == job) else {
            return;
        };
        let Some(plan) = self.plan(id) else { return };
        let waiting = self.jobs.get(&job).and_then(|job| job.step(id));
        let waiting = waiting.map_or(0, |step| step.waiting.len());
        let (excluded, nearest) = self.exclusions(&plan, now);
        let is_untried = self.rotation.contains(id);
        self.emit(Event::Idle { step: id, idle, waiting, is_untried, excluded, nearest });
    }

    /// Returns the number of workers of the service that are excluded for a task of the step by
    /// reason, and the one that passes most checks.
    pub(super) fn exclusions(
        &self,
        plan: &Plan,
        now: Instant,
    ) -> (exclusion::Count, Option<Nearest>) {
        let mut excluded = exclusion::Count::default();
        let mut nearest: Option<Nearest> = None;
        for (id, worker) in &self.workers {
            if !plan.class.contains(worker) {
                continue;
            }
            let Err(reason) = self.cost(plan, None, false, id, worker, now) else { continue };
            excluded.add(reason);
            let interference = self.expected_interference(plan, worker, now);
            let slack = interference.map(|interference| interference.remaining);
            let unused = worker.unused_processor();
            let order = |reason, slack: Option<u64>, unused| (reason, slack, unused);
            let is_nearer = nearest.as_ref().is_none_or(|known| {
                order(known.reason, known.slack, known.unused) < order(reason, slack, unused)
            });
            if is_nearer {
                nearest = Some(Nearest { worker: id.clone(), reason, unused, slack });
            }
        }
        (excluded, nearest)
    }
}
