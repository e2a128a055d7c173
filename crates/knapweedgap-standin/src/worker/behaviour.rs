//! Behaviour of simulated tasks.

use std::str::FromStr;

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Behaviour of a worker's tasks, or of a single task whose payload overrides it.
///
/// A payload overrides fields with words of the form `name=value`. Words without `=` or with an
/// unknown name are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display(
    "run-time-factor={run_time_factor} memory-factor={memory_factor} failure-share={failure_share}"
)]
pub struct Behaviour {
    /// Ratio of actual to declared run time.
    pub run_time_factor: f64,
    /// Ratio of actual to declared memory. Above 1, an attempt is killed for its memory halfway
    /// through its remaining work.
    pub memory_factor: f64,
    /// Share of the attempts that fail, from 0 to 1. Such an attempt fails halfway through its
    /// remaining work; at 1, every attempt fails as soon as it starts.
    pub failure_share: f64,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour { run_time_factor: 1.0, memory_factor: 1.0, failure_share: 0.0 }
    }
}

/// Error of a `name=value` word whose value is not a number in range.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{word}: use a number from 0 to {max}")]
pub struct Error {
    /// Rejected word, with its name and value.
    #[error(not(source))]
    pub word: SmolStr,
    /// Largest accepted value.
    #[error(not(source))]
    pub max: u32,
}

/// Largest accepted factor of run time or memory.
pub const FACTOR_MAX: u32 = 1000;

impl Behaviour {
    /// Overrides fields with the `name=value` words of a payload.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`](struct@Error) for a known name with an invalid value.
    pub fn with_overrides(mut self, text: &str) -> Result<Behaviour, Error> {
        for word in text.split_whitespace() {
            let Some((name, value)) = word.split_once('=') else { continue };
            let (field, max) = match name {
                "run-time-factor" => (&mut self.run_time_factor, FACTOR_MAX),
                "memory-factor" => (&mut self.memory_factor, FACTOR_MAX),
                "failure-share" => (&mut self.failure_share, 1),
                _ => continue,
            };
            *field = number(value, max).ok_or_else(|| Error { word: word.into(), max })?;
        }
        Ok(self)
    }
}

impl FromStr for Behaviour {
    type Err = Error;

    fn from_str(text: &str) -> Result<Behaviour, Error> {
        Behaviour::default().with_overrides(text)
    }
}

fn number(text: &str, max: u32) -> Option<f64> {
    let value: f64 = text.parse().ok()?;
    (0.0..=f64::from(max)).contains(&value).then_some(value)
}
