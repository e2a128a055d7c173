//! Leases of the service.

use std::str::FromStr;
use std::time::{Duration, Instant};

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

/// State of a lease that its holder may rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    end: Instant,
}

/// State of a lease that was revoked, refused or not renewed in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ended;

/// Lease as its holder sees it. The time counts from before the call that granted or renewed it,
/// so that a slow answer or a paused holder never takes it for longer than the service does.
#[derive(Debug, PartialEq, Eq)]
pub struct Lease<State> {
    id: Id,
    state: State,
}

impl<State> Lease<State> {
    /// Returns the id.
    pub fn id(&self) -> Id {
        self.id
    }
}

impl Lease<Granted> {
    /// Wraps a lease that was asked for at `asked` and lasts for `ttl`.
    pub fn new(id: Id, ttl: Duration, asked: Instant) -> Lease<Granted> {
        Lease { id, state: Granted { end: asked + ttl } }
    }

    /// Returns the time left; zero when the holder may no longer rely on the lease.
    pub fn left(&self, now: Instant) -> Duration {
        self.state.end.saturating_duration_since(now)
    }

    /// Takes over a renewal that was asked for at `asked` and gave the lease `ttl`.
    pub fn renew(self, ttl: Duration, asked: Instant) -> Lease<Granted> {
        Lease { id: self.id, state: Granted { end: self.state.end.max(asked + ttl) } }
    }

    /// Gives the lease up.
    pub fn end(self) -> Lease<Ended> {
        Lease { id: self.id, state: Ended }
    }

    /// Returns the lease if it still holds at `now`.
    ///
    /// # Errors
    ///
    /// The ended lease when no time is left.
    pub fn check(self, now: Instant) -> Result<Lease<Granted>, Lease<Ended>> {
        if self.left(now).is_zero() { Err(self.end()) } else { Ok(self) }
    }
}
