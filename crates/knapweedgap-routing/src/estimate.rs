//! Moving estimate of response times.

use std::time::Duration;

/// Weight of a sample in the estimate of one upstream, as for TCP retransmission timeouts.
pub(crate) const UPSTREAM_WEIGHT: f64 = 1.0 / 8.0;

/// Weight of a sample in the estimate of a service. It is lower than for an upstream, because a
/// service has many more samples and single upstreams are compared with its mean.
pub(crate) const SERVICE_WEIGHT: f64 = 1.0 / 64.0;

/// Exponentially weighted mean and mean deviation (Jacobson, "Congestion Avoidance and Control",
/// 1988).
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    weight: f64,
    mean_s: f64,
    deviation_s: f64,
    samples: u32,
}

impl Estimate {
    pub(crate) fn new(weight: f64) -> Estimate {
        Estimate { weight, mean_s: 0.0, deviation_s: 0.0, samples: 0 }
    }

    pub(crate) fn add(&mut self, elapsed: Duration) {
        let sample_s = elapsed.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
            return;
        }
        // The first samples have equal weights, so that an unusual first one soon loses influence.
        let weight = self.weight.max(1.0 / f64::from(self.samples));
        let error_s = sample_s - self.mean_s;
        self.mean_s += error_s * weight;
        self.deviation_s += (error_s.abs() - self.deviation_s) * (weight * 2.0).min(1.0);
    }

    /// Discards all samples and starts with a mean that counts as `samples` samples.
    pub(crate) fn reset(&mut self, mean: Duration, samples: u32) {
        self.mean_s = mean.as_secs_f64();
        self.deviation_s = self.mean_s / 2.0;
        self.samples = samples;
    }

    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }

    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the time within which nearly all responses arrive.
    pub(crate) fn upper_bound(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + 4.0 * self.deviation_s)
    }
}
