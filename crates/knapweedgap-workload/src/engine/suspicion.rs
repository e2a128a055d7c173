//! Failed runs: whether they speak against their worker, and how many workers they close.
//!
//! A failure says the less of its worker the more runs fail on the other workers of the service, and
//! nothing if its task has failed on a worker that has finished a run since. A worker that is closed
//! opens for one run at a time; only a success of its own clears it. The cost of a failure does not
//! depend on the size of the fleet: the bound on closed workers is kept by placement passes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::id;

use super::Engine;
use super::room::Class;
use crate::exclusion::Exclusion;
use crate::worker::Cause;

/// Time without new tasks after a first failed run. It ends early when another run succeeds.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_500);
/// Time without new tasks after repeated failed runs: about the duration of the worker faults that
/// the users describe.
const QUARANTINE_DURATION: Duration = Duration::from_secs(6);
/// Number of failed runs without a success between them that leads to a quarantine.
const FAILURES_MAX: u32 = 2;
/// Time after which a trial run that has not failed opens its worker.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Workers of a class for each one that failed runs leave open.
const WORKERS_PER_OPEN: usize = 4;

/// Probability that a sound worker has as many failures by chance, below which they close it.
const CHANCE_MAX: f64 = 0.3;
/// Failures in a row on one worker that count for the service, so that faulty workers do not make
/// each other look sound.
const STREAK_MAX: u32 = 2;
/// Time in which the weight of an ended run halves.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Runs and failures that each estimate contains beforehand, which bound what the first runs say.
const PRIOR: (f64, f64) = (8.0, 0.4);

/// Recent runs that ended, weighted by their age.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    runs: f64,
    failures: f64,
    at: Option<Instant>,
}

impl Tally {
    /// Returns the tally with the weights at `now`.
    fn decayed(self, now: Instant) -> Tally {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        Tally { runs: self.runs * weight, failures: self.failures * weight, at: Some(now) }
    }

    fn add(&mut self, has_failed: bool, now: Instant) {
        *self = self.decayed(now);
        self.runs += 1.0;
        self.failures += f64::from(u8::from(has_failed));
    }

    /// Returns the share of failed runs without those of `own`.
    fn rate_without(self, own: Tally, now: Instant) -> f64 {
        let (all, own) = (self.decayed(now), own.decayed(now));
        let (runs, failures) = PRIOR;
        let failures = (all.failures - own.failures).max(0.0) + failures;
        let runs = (all.runs - own.runs).max(0.0) + runs;
        (failures / runs).min(1.0)
    }
}

/// What failed runs say of the workers of each service.
#[derive(Debug, Default)]
pub(crate) struct Services {
    tallies: BTreeMap<id::Service, Tally>,
    /// Latest end of the closures of all workers.
    closed_until: Option<Instant>,
}

/// Whether a worker gets tasks.
#[derive(Debug, Clone, Copy, Default)]
enum Gate {
    #[default]
    Open,
    Closed {
        since: Instant,
        until: Instant,
    },
    /// It gets a run, and the next one once that has succeeded or passed the time.
    Trial {
        until: Instant,
    },
}

/// What failed runs say of a worker.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    tally: Tally,
    /// Failures since the last success that may be due to the worker.
    count: u32,
    gate: Gate,
}

impl Suspicion {
    pub(crate) fn is_closed(&self, now: Instant) -> bool {
        match self.gate {
            Gate::Open => false,
            Gate::Closed { until, .. } | Gate::Trial { until } => now < until,
        }
    }

    /// Returns `true` if a run has failed since the last success.
    pub(crate) fn is_suspect(&self) -> bool {
        self.count > 0
    }

    /// Notes a placement: a worker that was closed gets no other one until the run has passed.
    pub(crate) fn run_placed(&mut self, now: Instant) {
        if matches!(self.gate, Gate::Closed { .. }) {
            self.gate = Gate::Trial { until: now + TRIAL_TIMEOUT };
        }
    }

    fn run_succeeded(&mut self) {
        self.count = 0;
        self.gate = Gate::Open;
    }

    /// Counts a failure that a run on another worker has with the probability `rate`.
    fn run_failed(&mut self, rate: f64, now: Instant) {
        self.count += 1;
        let chance = rate.powi(i32::try_from(self.count).unwrap_or(i32::MAX));
        if chance >= CHANCE_MAX {
            let is_closed = matches!(self.gate, Gate::Closed { until, .. } if now < until);
            self.gate = if is_closed { self.gate } else { Gate::Open };
        } else if self.count >= FAILURES_MAX {
            self.close(QUARANTINE_DURATION, now);
        } else {
            self.close(FAILURE_BACKOFF, now);
        }
    }

    fn run_hung(&mut self, now: Instant) {
        self.count = self.count.max(FAILURES_MAX);
        self.close(QUARANTINE_DURATION, now);
    }

    fn close(&mut self, pause: Duration, now: Instant) {
        let since = match self.gate {
            Gate::Closed { since, until } if now < until => since,
            _ => now,
        };
        self.gate = Gate::Closed { since, until: now + pause };
    }

    /// Ends a closure, so that the worker gets one run.
    fn try_out(&mut self, now: Instant) {
        if let Gate::Closed { since, .. } = self.gate {
            self.gate = Gate::Closed { since, until: now };
        }
    }
}

impl Engine {
    /// Draws conclusions about the worker of a run that has ended. `earlier` is the worker on which
    /// its task failed before.
    pub(super) fn assess_worker(
        &mut self,
        id: &id::Worker,
        cause: Cause,
        earlier: Option<&id::Worker>,
        now: Instant,
    ) {
        let has_failed = match cause {
            Cause::Done => false,
            Cause::Failed => true,
            _ => return,
        };
        let earlier = earlier.filter(|earlier| *earlier != id);
        let earlier = earlier.and_then(|earlier| self.workers.get(earlier));
        let is_excused = earlier.is_some_and(|earlier| !earlier.suspicion.is_suspect());
        let Some(worker) = self.workers.get_mut(id) else { return };
        if has_failed && is_excused {
            return;
        }
        let service = self.suspicion.tallies.entry(worker.listed.service.clone()).or_default();
        if !has_failed || worker.suspicion.count < STREAK_MAX {
            service.add(has_failed, now);
            worker.suspicion.tally.add(has_failed, now);
        }
        if !has_failed {
            worker.suspicion.run_succeeded();
            return;
        }
        let rate = service.rate_without(worker.suspicion.tally, now);
        worker.suspicion.run_failed(rate, now);
        self.worker_closed(now);
    }

    /// Counts a start that the worker has refused.
    pub(super) fn start_rejected(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.suspicion.run_failed(0.0, now);
        self.worker_closed(now);
    }

    /// Closes the worker of a run without progress.
    pub(super) fn run_hung(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.suspicion.run_hung(now);
        self.worker_closed(now);
    }

    fn worker_closed(&mut self, now: Instant) {
        self.suspicion.closed_until = Some(now + QUARANTINE_DURATION);
    }

    /// Opens the least suspicious workers of each service, and of each label that a ready step
    /// requires, if failed runs have closed too many.
    pub(super) fn open_least_suspicious(&mut self, now: Instant) {
        if self.suspicion.closed_until.is_none_or(|until| until <= now) {
            return;
        }
        if !self.workers.values().any(|worker| worker.suspicion.is_closed(now)) {
            return;
        }
        for class in self.required_classes() {
            self.bound_closed(&class, now);
        }
    }

    fn required_classes(&self) -> BTreeSet<Class> {
        let mut classes = BTreeSet::new();
        for id in &self.ready {
            let Some(job) = self.jobs.get(&id.job) else { continue };
            let Some(step) = job.spec().steps.get(usize::from(id.step)) else { continue };
            classes.insert(Class::new(&self.policy_of(job).service, step));
        }
        classes
    }

    fn bound_closed(&mut self, class: &Class, now: Instant) {
        // As many open workers are enough for a class of any size, so that the search mostly ends early.
        let open_enough = self.workers.len().div_ceil(WORKERS_PER_OPEN);
        let (mut usable, mut open) = (0usize, 0usize);
        let mut closed = Vec::new();
        for (id, worker) in &self.workers {
            if !class.contains(worker) {
                continue;
            }
            match worker.exclusion(now) {
                None => open += 1,
                Some(Exclusion::FailedRuns) => {
                    if let Gate::Closed { since, .. } = worker.suspicion.gate {
                        closed.push((worker.suspicion.count, since, id.clone()));
                    } else {
                        open += 1;
                    }
                }
                Some(_) => continue,
            }
            usable += 1;
            if open >= open_enough {
                return;
            }
        }
        let open_min = usable.div_ceil(WORKERS_PER_OPEN);
        closed.sort_unstable();
        for (_, since, id) in closed.into_iter().take(open_min.saturating_sub(open)) {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            // Tasks that have no other worker wait for a first closure to end.
            if usable == 1 && now < since + FAILURE_BACKOFF {
                continue;
            }
            worker.suspicion.try_out(now);
            worker.is_changed = true;
            if usable == 1 {
                worker.suspicion.gate = Gate::Open;
            }
        }
    }
}
