//! Learned contribution of each class of batch work to the latency of each service.
//!
//! The latency of a service, relative to its target, is modelled as a base of the worker plus the
//! sum of coefficient × load over the classes on the worker. The load of a class is the fraction
//! of the worker's batch capacity that its tasks are assigned. A Kalman filter (Kalman 1960)
//! estimates the coefficients. It keeps only the diagonal of the covariance, so that a report
//! costs time linear in the number of classes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use knapweedgap_core::{id, size};

/// Most stored coefficients, and most stored bases.
const ESTIMATES_MAX: usize = 4096;
/// Most stored changes of the mix of one worker. Reports lag by up to 30 s.
const MIXES_MAX: usize = 32;
/// Variance of a latency report around the model.
const REPORT_VARIANCE: f64 = 0.02;
/// Latency / target at which reports are clipped, so that one outlier does not dominate.
const RATIO_MAX: f64 = 4.0;
/// Largest innovation, in standard deviations; larger ones are clipped.
const INNOVATION_MAX: f64 = 3.0;
/// Prior of latency / target of a service without batch work.
const BASE_PRIOR: Estimate = Estimate { mean: 0.6, variance: 0.04 };
/// Prior of the increase of latency / target per unit of load.
const COEFFICIENT_PRIOR: Estimate = Estimate { mean: 0.2, variance: 0.4 };
/// Growth of the variance of a base per report, since the load of a service changes.
const BASE_DRIFT: f64 = 0.001;
/// Growth of the variance of a coefficient per report.
const COEFFICIENT_DRIFT: f64 = 0.0005;

/// Standard deviations by which a predicted contribution is raised to cover its uncertainty.
const UNCERTAINTY_MARGIN: f64 = 0.5;
/// Ratio of the contribution at a high load of the service to the mean contribution.
const PEAK_FACTOR: f64 = 1.6;

/// Load of each class on a worker.
pub type Mix = Vec<(id::Class, f64)>;

/// Returns the fraction of a worker's batch capacity that a task is assigned.
pub fn load(task: size::Processor, capacity: size::Processor) -> f64 {
    task.milli() as f64 / capacity.milli().max(1) as f64
}

/// Adds the load of a task to a mix.
pub fn add_load(mix: &mut Mix, class: &id::Class, load: f64) {
    match mix.iter_mut().find(|(known, _)| known == class) {
        Some((_, sum)) => *sum += load,
        None => mix.push((class.clone(), load)),
    }
}

/// Estimate of a ratio.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Estimate {
    pub mean: f64,
    /// Variance of the mean.
    pub variance: f64,
}

/// Learned bases and coefficients, with the recent mixes of the workers.
#[derive(Debug, Default)]
pub struct Model {
    bases: BTreeMap<(id::Worker, id::Service), Estimate>,
    coefficients: BTreeMap<(id::Service, id::Class), Estimate>,
    mixes: BTreeMap<id::Worker, VecDeque<(Instant, Mix)>>,
}

impl Model {
    /// Records the mix that a worker runs from `now` on.
    pub fn record_mix(&mut self, worker: &id::Worker, mix: Mix, now: Instant) {
        let known = self.mixes.get(worker).and_then(VecDeque::back);
        if known.map_or(mix.is_empty(), |(_, last)| *last == mix) {
            return;
        }
        let mixes = self.mixes.entry(worker.clone()).or_default();
        if mixes.len() == MIXES_MAX {
            mixes.pop_front();
        }
        mixes.push_back((now, mix));
    }

    /// Updates the estimates from the latency / target of a service, measured from `since` on.
    pub fn learn(
        &mut self,
        worker: &id::Worker,
        service: &id::Service,
        ratio: f64,
        since: Instant,
    ) {
        let mixes = self.mixes.get(worker);
        let mix = mixes.and_then(|mixes| mixes.iter().rev().find(|(at, _)| *at <= since));
        if mix.is_none() && mixes.is_some_and(|mixes| mixes.len() == MIXES_MAX) {
            // The report is older than the stored changes of the mix.
            return;
        }
        let mix = mix.map(|(_, mix)| mix.clone()).unwrap_or_default();
        let mut base = self.base(worker, service);
        base.variance += BASE_DRIFT;
        let mut terms: Vec<(&id::Class, f64, Estimate)> = Vec::new();
        for (class, load) in &mix {
            let mut coefficient = self.coefficient(service, class);
            coefficient.variance += COEFFICIENT_DRIFT;
            terms.push((class, *load, coefficient));
        }
        let expected: f64 =
            terms.iter().map(|(_, load, coefficient)| coefficient.mean * load).sum();
        let coefficient_variance: f64 =
            terms.iter().map(|(_, x, coefficient)| coefficient.variance * x * x).sum();
        let variance = REPORT_VARIANCE + base.variance + coefficient_variance;
        let bound = INNOVATION_MAX * variance.sqrt();
        let innovation = (ratio.min(RATIO_MAX) - base.mean - expected).clamp(-bound, bound);
        for (class, load, coefficient) in terms {
            let updated = coefficient.update(load, innovation, variance);
            let key = (service.clone(), class.clone());
            if self.coefficients.len() < ESTIMATES_MAX || self.coefficients.contains_key(&key) {
                self.coefficients.insert(key, updated);
            }
        }
        let key = (worker.clone(), service.clone());
        if self.bases.len() < ESTIMATES_MAX || self.bases.contains_key(&key) {
            self.bases.insert(key, base.update(1.0, innovation, variance));
        }
    }

    /// Returns the estimated latency / target of a service without batch work on its worker.
    pub fn base(&self, worker: &id::Worker, service: &id::Service) -> Estimate {
        self.bases.get(&(worker.clone(), service.clone())).copied().unwrap_or(BASE_PRIOR)
    }

    /// Returns the estimated increase of latency / target of a service per unit of load of a class.
    pub fn coefficient(&self, service: &id::Service, class: &id::Class) -> Estimate {
        self.coefficients
            .get(&(service.clone(), class.clone()))
            .copied()
            .unwrap_or(COEFFICIENT_PRIOR)
    }

    /// Returns the predicted latency / target of a service with this mix, with margins for the
    /// uncertainty of the estimates and for a high load of the service.
    pub fn predict(&self, worker: &id::Worker, service: &id::Service, mix: &Mix) -> f64 {
        let mut added = 0.0;
        let mut variance = 0.0;
        for (class, load) in mix {
            let coefficient = self.coefficient(service, class);
            added += coefficient.mean * load;
            variance += coefficient.variance * load * load;
        }
        self.base(worker, service).mean
            + (added + UNCERTAINTY_MARGIN * variance.sqrt()) * PEAK_FACTOR
    }

    /// Removes a worker that left the partition.
    pub fn remove(&mut self, worker: &id::Worker) {
        self.mixes.remove(worker);
        self.bases.retain(|(known, _), _| known != worker);
    }
}

impl Estimate {
    fn update(self, input: f64, innovation: f64, variance: f64) -> Estimate {
        let gain = self.variance * input / variance;
        Estimate {
            mean: (self.mean + gain * innovation).max(0.0),
            variance: self.variance * (1.0 - gain * input),
        }
    }
}
