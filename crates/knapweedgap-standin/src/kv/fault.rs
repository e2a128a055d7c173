//! Faults that the key-value stand-in injects.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Active faults.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Fault {
    /// Answers calls with status 503 without any effect, and ends watches.
    pub outage: bool,
    /// Delay of each call, in milliseconds: half before it takes effect, half after.
    pub delay_ms: u64,
    /// Share of the calls other than watches, from 0 to 1, whose connection is closed in place of
    /// an answer, after they took effect.
    pub lose_answers: f64,
    /// Holds calls, and the messages of watches, until the stall ends.
    pub stall: bool,
}

impl Fault {
    pub(super) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}

/// Change of faults; an absent field leaves its fault unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// See [`Fault::outage`].
    pub outage: Option<bool>,
    /// See [`Fault::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`Fault::lose_answers`].
    pub lose_answers: Option<f64>,
    /// See [`Fault::stall`].
    pub stall: Option<bool>,
}

impl Change {
    pub(super) fn apply(&self, fault: &mut Fault) {
        fault.outage = self.outage.unwrap_or(fault.outage);
        fault.delay_ms = self.delay_ms.unwrap_or(fault.delay_ms);
        fault.lose_answers = self.lose_answers.unwrap_or(fault.lose_answers);
        fault.stall = self.stall.unwrap_or(fault.stall);
    }
}
