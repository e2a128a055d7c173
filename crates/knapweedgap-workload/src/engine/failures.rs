//! Failed runs: whether they speak against a worker or a job, and how many workers they close.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::id;

use super::Engine;
use super::fleet::Worker;
use crate::exclusion::Exclusion;

/// Time without new tasks after a first failed run. It ends early when another run succeeds.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_500);
/// Time without new tasks after repeated failed runs: about the duration of the worker faults that
/// the users describe.
const QUARANTINE_DURATION: Duration = Duration::from_secs(6);
/// Number of consecutive failed runs that leads to a quarantine.
const FAILURES_MAX: u32 = 2;
/// Number of jobs whose failed runs a worker records.
const JOBS_MAX: usize = 16;
/// Workers of a class for each one that failed runs may close at once.
const WORKERS_PER_CLOSED: usize = 4;

/// Failed runs on a worker since its last success, and the pause that they led to.
#[derive(Debug, Default)]
pub(crate) struct Failures {
    /// Failed runs that may be due to their jobs.
    of_jobs: BTreeMap<id::Job, u32>,
    /// Refused starts and runs without progress.
    of_worker: u32,
    pause: Option<Pause>,
}

/// Time in which a worker gets no new tasks.
#[derive(Debug, Clone, Copy)]
struct Pause {
    /// When a run failed last.
    since: Instant,
    until: Instant,
    /// No other worker of its class can get the tasks.
    is_lone: bool,
}

impl Failures {
    pub(crate) fn clear(&mut self) {
        *self = Failures::default();
    }

    /// Counts a failed run of a job.
    fn add(&mut self, job: id::Job, now: Instant) {
        if self.of_jobs.len() < JOBS_MAX || self.of_jobs.contains_key(&job) {
            *self.of_jobs.entry(job).or_default() += 1;
        }
        self.extend(now);
    }

    /// Counts a refused start.
    fn add_refusal(&mut self, now: Instant) {
        self.of_worker += 1;
        self.extend(now);
    }

    /// Counts a run without progress.
    fn add_hang(&mut self, now: Instant) {
        self.of_worker = FAILURES_MAX;
        self.extend(now);
    }

    /// Drops a failed run of a job whose task has failed elsewhere, too.
    fn remove(&mut self, job: id::Job) {
        let Some(count) = self.of_jobs.get_mut(&job) else { return };
        *count -= 1;
        if *count == 0 {
            self.of_jobs.remove(&job);
        }
        let duration = self.duration();
        self.pause = self.pause.and_then(|pause| {
            let until = pause.until.min(pause.since + duration?);
            Some(Pause { until, ..pause })
        });
    }

    /// Returns the pause that the failed runs lead to; `None` if there are none.
    fn duration(&self) -> Option<Duration> {
        let count = self.of_worker + self.of_jobs.values().sum::<u32>();
        match count {
            0 => None,
            _ if count >= FAILURES_MAX => Some(QUARANTINE_DURATION),
            _ => Some(FAILURE_BACKOFF),
        }
    }

    fn extend(&mut self, now: Instant) {
        let Some(duration) = self.duration() else { return };
        if self.pause.is_some_and(|pause| pause.is_lone && now < pause.until) {
            return;
        }
        self.pause = Some(Pause { since: now, until: now + duration, is_lone: false });
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.paused_since(now).is_some()
    }

    fn paused_since(&self, now: Instant) -> Option<Instant> {
        self.pause.filter(|pause| now < pause.until).map(|pause| pause.since)
    }

    /// Limits the pause of the only worker of a class.
    fn limit_lone(&mut self) {
        let Some(pause) = &mut self.pause else { return };
        pause.is_lone = true;
        pause.until = pause.until.min(pause.since + FAILURE_BACKOFF);
    }

    /// Ends the pause. A further failed run leads to the next one.
    fn end_pause(&mut self) {
        self.pause = None;
    }
}

impl Engine {
    pub(super) fn run_succeeded(&mut self, id: &id::Worker) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.failures.clear();
        }
    }

    /// Ascribes the failure of a run to its worker, unless its task failed before on `earlier`, which
    /// is another worker: then both failures are due to the task.
    pub(super) fn run_failed(
        &mut self,
        id: &id::Worker,
        job: id::Job,
        earlier: Option<&id::Worker>,
        now: Instant,
    ) {
        let Some(earlier) = earlier.filter(|earlier| *earlier != id) else {
            self.pause_after(id, now, |failures| failures.add(job, now));
            return;
        };
        if let Some(worker) = self.workers.get_mut(earlier) {
            worker.failures.remove(job);
        }
    }

    pub(super) fn start_failed(&mut self, id: &id::Worker, now: Instant) {
        self.pause_after(id, now, |failures| failures.add_refusal(now));
    }

    /// Puts the worker into quarantine after a run without progress.
    pub(super) fn run_hung(&mut self, id: &id::Worker, now: Instant) {
        self.pause_after(id, now, |failures| failures.add_hang(now));
    }

    /// Records a failure of a worker, and keeps the number of paused workers within bounds among
    /// those of its service and among those of each of its labels.
    fn pause_after<Record>(&mut self, id: &id::Worker, now: Instant, record: Record)
    where
        Record: FnOnce(&mut Failures),
    {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let was_paused = worker.failures.is_paused(now);
        record(&mut worker.failures);
        let service = worker.listed.service.clone();
        let labels = worker.listed.labels.clone();
        if was_paused {
            return;
        }
        self.bound_pauses(id, now, |other| other.listed.service == service);
        for label in labels {
            self.bound_pauses(id, now, |other| {
                other.listed.service == service && other.listed.labels.contains(&label)
            });
        }
    }

    /// Ends the longest pause in a class of workers if `id` is one too many in it.
    fn bound_pauses<IsMember>(&mut self, id: &id::Worker, now: Instant, is_member: IsMember)
    where
        IsMember: Fn(&Worker) -> bool,
    {
        let (mut usable, mut paused) = (0, 0);
        let mut oldest: Option<(Instant, &id::Worker)> = None;
        for (other, worker) in &self.workers {
            let exclusion = worker.exclusion(now);
            let is_usable = exclusion.is_none_or(|reason| reason == Exclusion::FailedRuns);
            if !is_usable || !is_member(worker) {
                continue;
            }
            usable += 1;
            let Some(since) = worker.failures.paused_since(now) else { continue };
            paused += 1;
            let is_older = oldest.is_none_or(|(earliest, _)| since < earliest);
            if other != id && is_older {
                oldest = Some((since, other));
            }
        }
        let oldest = oldest.map(|(_, other)| other.clone());
        if usable == 1
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.failures.limit_lone();
        }
        let paused_max = (usable / WORKERS_PER_CLOSED).max(1);
        if paused <= paused_max {
            return;
        }
        if let Some(worker) = oldest.and_then(|oldest| self.workers.get_mut(&oldest)) {
            worker.failures.end_pause();
        }
    }
}
