//! Text form of durations.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use knapweedgap_core::parse;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Duration in whole microseconds, formatted with the largest unit that divides it: `250ms`, `2s`,
/// `10min`. It is serialized as this string.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Text(Duration);

// The parser takes the first unit that matches, so a unit precedes all units that are its suffix.
const UNITS: [(&str, u64); 5] =
    [("us", 1), ("ms", 1_000), ("min", 60_000_000), ("h", 3_600_000_000), ("s", 1_000_000)];

const HELP: &str = "write a whole number with us, ms, s, min or h, as 250ms";

impl Text {
    /// Creates a text form of a duration, truncated to whole microseconds.
    pub fn new(duration: Duration) -> Text {
        Text(Duration::from_micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }

    /// Returns the duration.
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl fmt::Display for Text {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let us = self.0.as_micros();
        if us == 0 {
            return f.write_str("0s");
        }
        let mut largest = UNITS[0];
        for unit in UNITS {
            if unit.1 > largest.1 && us.is_multiple_of(u128::from(unit.1)) {
                largest = unit;
            }
        }
        write!(f, "{}{}", us / u128::from(largest.1), largest.0)
    }
}

impl FromStr for Text {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Text, parse::Error> {
        let error = || parse::Error::new("duration", text, HELP);
        for (unit, us) in UNITS {
            let Some(digits) = text.strip_suffix(unit) else { continue };
            if !digits.bytes().all(|byte| byte.is_ascii_digit()) {
                return Err(error());
            }
            let count: u64 = digits.parse().map_err(|_| error())?;
            return count
                .checked_mul(us)
                .map(|us| Text(Duration::from_micros(us)))
                .ok_or_else(error);
        }
        Err(error())
    }
}

impl TryFrom<SmolStr> for Text {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Text, parse::Error> {
        text.parse()
    }
}

impl From<Text> for SmolStr {
    fn from(text: Text) -> SmolStr {
        format_smolstr!("{text}")
    }
}
