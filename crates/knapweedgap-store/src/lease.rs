//! Leases, and their life cycle on the holder's side.

use std::str::FromStr;
use std::time::{Duration, Instant};

use derive_more::Display;
use knapweedgap_core::parse;

/// Positive number that the service assigns to a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Id(i64);

impl Id {
    /// Creates a lease id; `None` for 0, which means "no lease", and for negative numbers.
    pub const fn new(number: i64) -> Option<Id> {
        if number > 0 { Some(Id(number)) } else { None }
    }

    /// Returns the id as a plain number.
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

/// State of a lease that its holder may use until it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    end: Instant,
}

/// State of a lease that was revoked, rejected by the service or not renewed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended;

/// Lease on the holder's side. Its time to live starts before the call that granted or renewed
/// it, so that even with a slow answer or a paused holder it expires here no later than at the
/// service.
#[derive(Debug, PartialEq, Eq)]
pub struct Lease<State> {
    id: Id,
    state: State,
}

impl<State> Lease<State> {
    /// Returns the id that the service assigned.
    pub fn id(&self) -> Id {
        self.id
    }
}

impl Lease<Granted> {
    /// Creates a lease that was requested at `requested_at` and lasts for `ttl`.
    pub fn new(id: Id, ttl: Duration, requested_at: Instant) -> Lease<Granted> {
        Lease { id, state: Granted { end: requested_at + ttl } }
    }

    /// Returns the remaining time; zero if the lease has expired at `now`.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.state.end.saturating_duration_since(now)
    }

    /// Applies a renewal that was requested at `requested_at` and returned `ttl`. The end of the
    /// lease never moves backwards.
    pub fn renew(self, ttl: Duration, requested_at: Instant) -> Lease<Granted> {
        Lease { id: self.id, state: Granted { end: self.state.end.max(requested_at + ttl) } }
    }

    /// Marks the lease as ended without waiting for its expiry.
    pub fn end(self) -> Lease<Ended> {
        Lease { id: self.id, state: Ended }
    }

    /// Returns the lease if it has not expired at `now`.
    ///
    /// # Errors
    ///
    /// The ended lease if no time remains.
    pub fn check(self, now: Instant) -> Result<Lease<Granted>, Lease<Ended>> {
        if self.remaining(now).is_zero() { Err(self.end()) } else { Ok(self) }
    }
}
