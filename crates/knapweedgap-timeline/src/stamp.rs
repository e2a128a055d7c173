//! Time stamps of the hybrid logical clock.

use std::fmt;
use std::str::FromStr;

use knapweedgap_core::parse;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

/// Time stamp whose order is consistent with causality. Its text form is
/// `<wall milliseconds>.<counter>`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Stamp {
    /// Largest wall time that the process has seen, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counter that orders stamps with the same wall time.
    pub counter: u32,
}

impl Stamp {
    /// Returns the next larger stamp: at the same wall time, or 1 ms later if the counter is
    /// exhausted.
    pub(crate) fn successor(self) -> Stamp {
        match self.counter.checked_add(1) {
            Some(counter) => Stamp { wall_ms: self.wall_ms, counter },
            None => Stamp { wall_ms: self.wall_ms.saturating_add(1), counter: 0 },
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall_ms, self.counter)
    }
}

impl FromStr for Stamp {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Stamp, parse::Error> {
        let error = || parse::Error::new("time stamp", text, "write <milliseconds>.<counter>");
        let (wall_ms, counter) = text.split_once('.').ok_or_else(error)?;
        let wall_ms = wall_ms.parse().map_err(|_| error())?;
        let counter = counter.parse().map_err(|_| error())?;
        Ok(Stamp { wall_ms, counter })
    }
}

impl TryFrom<SmolStr> for Stamp {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Stamp, parse::Error> {
        text.parse()
    }
}

impl From<Stamp> for SmolStr {
    fn from(stamp: Stamp) -> SmolStr {
        format_smolstr!("{stamp}")
    }
}
