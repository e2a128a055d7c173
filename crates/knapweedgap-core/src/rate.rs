//! Rates per second and fractions in thousandths.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::macros::number;
use crate::parse;

number!(
    /// Rate in events per second.
    PerSecond, u64, "rate per second"
);

number!(
    /// Rate of data in bits per second.
    Bits, u64, "bits per second"
);

/// Fraction in thousandths. Its text form is `125‰`. Values above 1000‰ are allowed.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(u32);

impl Share {
    /// 1000‰.
    pub const FULL: Share = Share(1000);

    /// Creates a share from a number of thousandths.
    pub const fn from_milli(milli: u32) -> Share {
        Share(milli)
    }

    /// Returns the share in thousandths.
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
        let error = || parse::Error::new("share", text, "write thousandths, for example 125‰");
        let milli = text.strip_suffix('‰').ok_or_else(error)?;
        milli.parse().map(Share).map_err(|_| error())
    }
}
