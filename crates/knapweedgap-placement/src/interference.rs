//! Response to batch work that interferes with the latency of a service on the same worker.
//!
//! The response escalates from throttling to checkpointing to eviction, and steps back after
//! several reports below the release threshold. Hysteresis between the thresholds prevents a
//! single noisy report from changing the step.

use std::collections::BTreeMap;
use std::time::Instant;

use knapweedgap_core::{id, rate};

use crate::settings::Weights;

/// Consecutive reports below the release threshold after which the response steps back.
const RELEASE_REPORTS: u32 = 5;
/// Fraction of the throttle threshold up to which placement admits batch work.
const ADMISSION_SHARE: f64 = 0.85;
/// Fraction of the declared processor time that a throttled task receives.
pub const THROTTLED: rate::Share = rate::Share::from_milli(500);

/// Step of the response on one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Tasks are not restricted.
    #[default]
    Free,
    /// Tasks of the class with the largest contribution to the latency are throttled.
    Throttled,
    /// The throttled tasks have also written a checkpoint, so that an eviction loses little work.
    Checkpointed,
    /// The throttled tasks are evicted.
    Evicted,
}

/// Thresholds on latency / target in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Threshold {
    /// Above it, the response escalates to throttling and checkpointing.
    pub throttle: u64,
    /// Above it, the response escalates to eviction.
    pub evict: u64,
    /// Below it, a report counts towards a step back.
    pub release: u64,
}

impl Threshold {
    /// Derives the thresholds from the weights of the objective.
    ///
    /// With weight on latency only, the response starts at 90 % of the target. Weight on throughput
    /// and evictions raises this to up to 110 %, and weight on evictions raises the eviction
    /// threshold to up to 150 %.
    pub fn new(weights: &Weights) -> Threshold {
        let latency = u64::from(weights.latency.milli());
        let throughput = u64::from(weights.throughput.milli());
        let evictions = u64::from(weights.evictions.milli());
        let sum = (latency + throughput + evictions).max(1);
        let throttle = 900 + 200 * (throughput + evictions) / sum;
        let evict = throttle + 100 + 300 * evictions / sum;
        Threshold { throttle, evict, release: throttle * 8 / 10 }
    }

    /// Returns the predicted latency / target up to which a worker receives more batch work.
    pub fn admission_limit(&self) -> f64 {
        self.throttle as f64 / 1000.0 * ADMISSION_SHARE
    }
}

#[derive(Debug, Clone, Default)]
struct Response {
    step: Step,
    acted_at: Option<Instant>,
    release_reports: u32,
}

/// Change of the response step on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Escalate to this step.
    Up(Step),
    /// Step back to this step.
    Down(Step),
}

/// Current response on each worker.
#[derive(Debug, Default)]
pub struct Model {
    responses: BTreeMap<id::Worker, Response>,
}

impl Model {
    /// Returns the response step on a worker, [`Step::Free`] if it has none.
    pub fn step(&self, worker: &id::Worker) -> Step {
        self.responses.get(worker).map_or(Step::Free, |response| response.step)
    }

    /// Updates the response for one report and returns the change of the step, if any.
    ///
    /// `ratio_milli` is latency / target in thousandths, measured from `since`. A report with
    /// `since` before the last change on the worker is ignored, since it does not show its effect.
    pub fn respond(
        &mut self,
        worker: &id::Worker,
        ratio_milli: u64,
        since: Instant,
        threshold: &Threshold,
        now: Instant,
    ) -> Option<Change> {
        let known = self.responses.contains_key(worker);
        if !known && ratio_milli <= threshold.throttle {
            return None;
        }
        let response = self.responses.entry(worker.clone()).or_default();
        if response.acted_at.is_some_and(|acted_at| since < acted_at) {
            return None;
        }
        if ratio_milli < threshold.release {
            if response.step == Step::Free {
                return None;
            }
            response.release_reports += 1;
            if response.release_reports < RELEASE_REPORTS {
                return None;
            }
            response.release_reports = 0;
            response.acted_at = Some(now);
            response.step = match response.step {
                Step::Evicted | Step::Checkpointed => Step::Throttled,
                Step::Throttled | Step::Free => Step::Free,
            };
            return Some(Change::Down(response.step));
        }
        response.release_reports = 0;
        let next = match response.step {
            Step::Free if ratio_milli > threshold.throttle => Step::Throttled,
            Step::Throttled if ratio_milli > threshold.throttle => Step::Checkpointed,
            Step::Checkpointed | Step::Evicted if ratio_milli > threshold.evict => Step::Evicted,
            _ => return None,
        };
        response.step = next;
        response.acted_at = Some(now);
        Some(Change::Up(next))
    }

    /// Removes a worker that left the partition.
    pub fn remove(&mut self, worker: &id::Worker) {
        self.responses.remove(worker);
    }
}
