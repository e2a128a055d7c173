//! Rates per second and shares of a whole.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::macros::number;
use crate::parse;

number!(
    /// Events per second.
    PerSecond, u64, "rate per second"
);

/// Share of a whole in thousandths, written as `125‰`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(u32);

impl Share {
    /// The whole.
    pub const WHOLE: Share = Share(1000);

    /// Wraps a number of thousandths.
    pub const fn from_milli(milli: u32) -> Share {
        Share(milli)
    }

    /// Returns the thousandths.
    pub const fn milli(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}‰", self.0)
    }
}

impl FromStr for Share {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Share, parse::Error> {
        let error = || parse::Error::new("share", text, "write thousandths as 125‰");
        let milli = text.strip_suffix('‰').ok_or_else(error)?;
        milli.parse().map(Share).map_err(|_| error())
    }
}
