//! Leases of the service.

use std::str::FromStr;

use derive_more::Display;
use knapweedgap_core::parse;

/// Lease, named by the service with a positive number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Id(i64);

impl Id {
    /// Wraps the number of a lease; nothing for 0, which stands for "no lease", or less.
    pub const fn new(number: i64) -> Option<Id> {
        if number > 0 { Some(Id(number)) } else { None }
    }

    /// Returns the number.
    pub const fn get(self) -> i64 {
        self.0
    }
}

impl FromStr for Id {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Id, parse::Error> {
        let number = text.parse().ok().and_then(Id::new);
        number.ok_or_else(|| parse::Error::new("lease id", text, "write a positive number"))
    }
}
