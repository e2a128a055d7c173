//! Learned contribution of each class of batch work to the latency of each service.
//!
//! The latency of a service, relative to its target, is modelled as a base of the worker plus the
//! sum of coefficient × pressure over the classes beside it. The pressure of a class is the part
//! of the worker's room for batch work that its tasks occupy. The coefficients are estimated by a
//! Kalman filter (Kalman 1960) of which only the diagonal of the covariance is kept, so that a
//! report costs time linear in the number of classes.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use knapweedgap_core::{id, size};

/// Pairs of service and class, and of worker and service, that are remembered.
const ESTIMATES_MAX: usize = 4096;
/// Changes of the classes on a worker that are remembered. Reports lag by up to 30 s.
const MIXES_MAX: usize = 32;
/// Variance of a latency report around the model.
const REPORT_VARIANCE: f64 = 0.02;
/// Largest latency / target that is learned from, so that one outlier does not dominate.
const RATIO_MAX: f64 = 4.0;
/// Largest surprise that is learned from, in standard deviations.
const INNOVATION_MAX: f64 = 3.0;
/// Latency / target of a service about which nothing is known.
const BASE_PRIOR: Estimate = Estimate { mean: 0.6, variance: 0.04 };
/// Coefficient of a pair about which nothing is known.
const COEFFICIENT_PRIOR: Estimate = Estimate { mean: 0.2, variance: 0.4 };
/// Growth of the variance of a base for each report, since the load of a service changes.
const BASE_DRIFT: f64 = 0.001;
/// Growth of the variance of a coefficient for each report.
const COEFFICIENT_DRIFT: f64 = 0.0005;

/// Standard deviations by which the expected contribution of unknown classes is raised.
const UNCERTAINTY_MARGIN: f64 = 0.5;
/// Contribution at a high load of the service relative to its mean.
const PEAK_FACTOR: f64 = 1.6;

/// Pressure of each class on a worker.
pub type Mix = Vec<(id::Class, f64)>;

/// Returns the part of the room for batch work that a task occupies.
pub fn load(task: size::Processor, capacity: size::Processor) -> f64 {
    task.milli() as f64 / capacity.milli().max(1) as f64
}

/// Adds the pressure of a task to a mix.
pub fn add_load(mix: &mut Mix, class: &id::Class, load: f64) {
    match mix.iter_mut().find(|(known, _)| known == class) {
        Some((_, sum)) => *sum += load,
        None => mix.push((class.clone(), load)),
    }
}

/// Mean and variance of a quantity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean.
    pub mean: f64,
    /// Variance of the mean.
    pub variance: f64,
}

/// Learned contributions.
#[derive(Debug, Default)]
pub struct Model {
    bases: BTreeMap<(id::Worker, id::Service), Estimate>,
    coefficients: BTreeMap<(id::Service, id::Class), Estimate>,
    mixes: BTreeMap<id::Worker, VecDeque<(Instant, Mix)>>,
}

impl Model {
    /// Notes which classes run on a worker.
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

    /// Learns from the latency / target of a service that was measured from `since` on.
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
            // The report is older than the remembered changes.
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
        let expected: f64 = terms.iter().map(|(_, load, coefficient)| coefficient.mean * load).sum();
        let coefficient_variance: f64 = terms.iter().map(|(_, x, coefficient)| coefficient.variance * x * x).sum();
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

    /// Returns the latency / target of a service without batch work on its worker.
    pub fn base(&self, worker: &id::Worker, service: &id::Service) -> Estimate {
        self.bases.get(&(worker.clone(), service.clone())).copied().unwrap_or(BASE_PRIOR)
    }

    /// Returns what a class adds to the latency / target of a service for each unit of pressure.
    pub fn coefficient(&self, service: &id::Service, class: &id::Class) -> Estimate {
        self.coefficients.get(&(service.clone(), class.clone())).copied().unwrap_or(COEFFICIENT_PRIOR)
    }

    /// Returns the latency / target of a service to expect with these classes, with a margin for
    /// what is not known yet and for the times at which the load of the service is high.
    pub fn predict(&self, worker: &id::Worker, service: &id::Service, mix: &Mix) -> f64 {
        let mut added = 0.0;
        let mut variance = 0.0;
        for (class, load) in mix {
            let coefficient = self.coefficient(service, class);
            added += coefficient.mean * load;
            variance += coefficient.variance * load * load;
        }
        self.base(worker, service).mean + (added + UNCERTAINTY_MARGIN * variance.sqrt()) * PEAK_FACTOR
    }

    /// Forgets a worker that left the partition.
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
