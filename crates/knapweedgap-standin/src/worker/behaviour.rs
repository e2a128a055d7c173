//! What fake tasks do.

use std::str::FromStr;

use derive_more::{Display, Error};
use smol_str::SmolStr;

/// Behaviour of the tasks of a worker, or of one task whose payload overrides it.
///
/// A payload overrides it by words of the form `name=value`; words of other names are free text.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display(
    "run-time-factor={run_time_factor} memory-factor={memory_factor} failure-share={failure_share}"
)]
pub struct Behaviour {
    /// Real run time over the declared one.
    pub run_time_factor: f64,
    /// Real memory over the declared one. A task above 1 is ended for its memory.
    pub memory_factor: f64,
    /// Share of the attempts that fail, from 0 to 1; an attempt fails at half of its work. With 1
    /// every attempt fails as soon as it starts.
    pub failure_share: f64,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour { run_time_factor: 1.0, memory_factor: 1.0, failure_share: 0.0 }
    }
}

/// Invalid word of a behaviour.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{word}: use a number from 0 to {max}")]
pub struct Error {
    /// Word found.
    #[error(not(source))]
    pub word: SmolStr,
    /// Largest value.
    #[error(not(source))]
    pub max: u32,
}

/// Largest factor of run time and memory.
pub const FACTOR_MAX: u32 = 1000;

impl Behaviour {
    /// Applies the words of a payload.
    ///
    /// # Errors
    ///
    /// [`Error`] for a known name with an invalid value.
    pub fn with_words(mut self, text: &str) -> Result<Behaviour, Error> {
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
        Behaviour::default().with_words(text)
    }
}

fn number(text: &str, max: u32) -> Option<f64> {
    let value: f64 = text.parse().ok()?;
    (0.0..=f64::from(max)).contains(&value).then_some(value)
}
