//! Response to services that miss their latency target next to batch work.
//!
//! The response steps from throttling over checkpointing to eviction, and back
//! after several calm reports. Hysteresis between the two thresholds keeps one noisy report from
//! changing the step.

use std::collections::BTreeMap;
use std::time::Instant;

use knapweedgap_core::{id, rate};

use crate::settings::Weights;

/// Reports below the lower threshold that take the response one step back.
const RELEASE_REPORTS: u32 = 5;
/// Part of the threshold of throttling that placement fills.
const ADMISSION_SHARE: f64 = 0.85;
/// Processor share of throttled tasks.
pub const THROTTLED: rate::Share = rate::Share::from_milli(500);

/// Step of the response on one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Tasks run freely.
    #[default]
    Free,
    /// Tasks of the class with the largest slowdown are throttled.
    Throttled,
    /// These tasks have also written a checkpoint, so that an eviction loses little.
    Checkpointed,
    /// These tasks are evicted.
    Evicted,
}

/// Thresholds on latency / target in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Threshold {
    /// Above it, the response steps up to throttling and checkpointing.
    pub throttle: u64,
    /// Above it, the response steps up to eviction.
    pub evict: u64,
    /// Below it, a report counts as calm.
    pub release: u64,
}

impl Threshold {
    /// Derives thresholds from the objective.
    ///
    /// With only latency weighted, the response starts at 90 % of the target. Throughput and
    /// evictions move it up to 110 %, and evictions move the eviction up to 150 %.
    pub fn new(weights: &Weights) -> Threshold {
        let latency = u64::from(weights.latency.milli());
        let throughput = u64::from(weights.throughput.milli());
        let evictions = u64::from(weights.evictions.milli());
        let sum = (latency + throughput + evictions).max(1);
        let throttle = 900 + 200 * (throughput + evictions) / sum;
        let evict = throttle + 100 + 300 * evictions / sum;
        Threshold { throttle, evict, release: throttle * 8 / 10 }
    }

    /// Returns the expected latency / target up to which a worker takes further batch work.
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

/// Change of the response on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Take this step.
    Up(Step),
    /// Return to this step.
    Down(Step),
}

/// Responses under way.
#[derive(Debug, Default)]
pub struct Model {
    responses: BTreeMap<id::Worker, Response>,
}

impl Model {
    /// Returns the step of the response on a worker.
    pub fn step(&self, worker: &id::Worker) -> Step {
        self.responses.get(worker).map_or(Step::Free, |response| response.step)
    }

    /// Decides on one report. A report whose interval began before the last action on the worker
    /// shows the state before that action and is ignored.
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

    /// Forgets a worker that left the partition.
    pub fn remove(&mut self, worker: &id::Worker) {
        self.responses.remove(worker);
    }
}
