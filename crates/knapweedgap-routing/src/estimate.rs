//! Running estimate of response times.

use std::time::Duration;

/// Mean and mean deviation with exponential weights, as for retransmission timeouts (Jacobson,
/// "Congestion Avoidance and Control", 1988).
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Estimate {
    mean_s: f64,
    deviation_s: f64,
    samples: u32,
}

impl Estimate {
    pub(crate) fn learn(&mut self, elapsed: Duration) {
        let sample_s = elapsed.as_secs_f64();
        if self.samples == 0 {
            self.mean_s = sample_s;
            self.deviation_s = sample_s / 2.0;
        } else {
            let error_s = sample_s - self.mean_s;
            self.mean_s += error_s / 8.0;
            self.deviation_s += (error_s.abs() - self.deviation_s) / 4.0;
        }
        self.samples = self.samples.saturating_add(1);
    }

    pub(crate) fn samples(&self) -> u32 {
        self.samples
    }

    pub(crate) fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Time within which nearly all answers arrive.
    pub(crate) fn high(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + 4.0 * self.deviation_s)
    }
}
