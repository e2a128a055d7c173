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
const PAIRS_MAX: usize = 4096;
/// Changes of the classes on a worker that are remembered. Reports lag by up to 30 s.
const MIXES_MAX: usize = 32;
/// Variance of a latency report around the model.
const NOISE: f64 = 0.02;
/// Largest latency / target that is learned from, so that one outlier does not dominate.
const RATIO_MAX: f64 = 4.0;
/// Largest surprise that is learned from, in standard deviations.
const SURPRISE_MAX: f64 = 3.0;
/// Latency / target of a service about which nothing is known.
const BASE: Estimate = Estimate { mean: 0.6, variance: 0.04 };
/// Coefficient of a pair about which nothing is known.
const PAIR: Estimate = Estimate { mean: 0.2, variance: 0.4 };
/// Growth of the variance of a base for each report, since the load of a service changes.
const BASE_DRIFT: f64 = 0.001;
/// Growth of the variance of a coefficient for each report.
const PAIR_DRIFT: f64 = 0.0005;

/// Standard deviations by which the expected contribution of unknown classes is raised.
const MARGIN: f64 = 0.5;
/// Contribution at a high load of the service relative to its mean.
const PEAK: f64 = 1.6;

/// Pressure of each class on a worker.
pub type Mix = Vec<(id::Class, f64)>;

/// Returns the part of the room for batch work that a task occupies.
pub fn pressure(task: size::Processor, room: size::Processor) -> f64 {
    task.milli() as f64 / room.milli().max(1) as f64
}

/// Adds the pressure of a task to a mix.
pub fn add(mix: &mut Mix, class: &id::Class, pressure: f64) {
    match mix.iter_mut().find(|(known, _)| known == class) {
        Some((_, sum)) => *sum += pressure,
        None => mix.push((class.clone(), pressure)),
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
    pairs: BTreeMap<(id::Service, id::Class), Estimate>,
    mixes: BTreeMap<id::Worker, VecDeque<(Instant, Mix)>>,
}

impl Model {
    /// Notes which classes run on a worker.
    pub fn note_mix(&mut self, worker: &id::Worker, mix: Mix, now: Instant) {
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
        for (class, pressure) in &mix {
            let mut pair = self.pair(service, class);
            pair.variance += PAIR_DRIFT;
            terms.push((class, *pressure, pair));
        }
        let expected: f64 = terms.iter().map(|(_, pressure, pair)| pair.mean * pressure).sum();
        let spread: f64 = terms.iter().map(|(_, x, pair)| pair.variance * x * x).sum();
        let variance = NOISE + base.variance + spread;
        let bound = SURPRISE_MAX * variance.sqrt();
        let surprise = (ratio.min(RATIO_MAX) - base.mean - expected).clamp(-bound, bound);
        for (class, pressure, pair) in terms {
            let updated = pair.update(pressure, surprise, variance);
            let key = (service.clone(), class.clone());
            if self.pairs.len() < PAIRS_MAX || self.pairs.contains_key(&key) {
                self.pairs.insert(key, updated);
            }
        }
        let key = (worker.clone(), service.clone());
        if self.bases.len() < PAIRS_MAX || self.bases.contains_key(&key) {
            self.bases.insert(key, base.update(1.0, surprise, variance));
        }
    }

    /// Returns the latency / target of a service without batch work on its worker.
    pub fn base(&self, worker: &id::Worker, service: &id::Service) -> Estimate {
        self.bases.get(&(worker.clone(), service.clone())).copied().unwrap_or(BASE)
    }

    /// Returns what a class adds to the latency / target of a service for each unit of pressure.
    pub fn pair(&self, service: &id::Service, class: &id::Class) -> Estimate {
        self.pairs.get(&(service.clone(), class.clone())).copied().unwrap_or(PAIR)
    }

    /// Returns the latency / target of a service to expect with these classes, with a margin for
    /// what is not known yet and for the times at which the load of the service is high.
    pub fn expect(&self, worker: &id::Worker, service: &id::Service, mix: &Mix) -> f64 {
        let mut added = 0.0;
        let mut variance = 0.0;
        for (class, pressure) in mix {
            let pair = self.pair(service, class);
            added += pair.mean * pressure;
            variance += pair.variance * pressure * pressure;
        }
        self.base(worker, service).mean + (added + MARGIN * variance.sqrt()) * PEAK
    }

    /// Forgets a worker that left the partition.
    pub fn remove(&mut self, worker: &id::Worker) {
        self.mixes.remove(worker);
        self.bases.retain(|(known, _), _| known != worker);
    }
}

impl Estimate {
    fn update(self, input: f64, surprise: f64, variance: f64) -> Estimate {
        let gain = self.variance * input / variance;
        Estimate {
            mean: (self.mean + gain * surprise).max(0.0),
            variance: self.variance * (1.0 - gain * input),
        }
    }
}
