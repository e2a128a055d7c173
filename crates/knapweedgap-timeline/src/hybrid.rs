//! Hybrid logical clock as described by Kulkarni, Demirbas, Madappa, Avva and Leone in "Logical
//! Physical Clocks", OPODIS 2014.

use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use knapweedgap_core::clock;

use crate::stamp::Stamp;

/// Maximum lead of a remote stamp over the local wall clock that [`Clock::merge`] accepts.
///
/// Without this bound, one machine with a wrong clock would advance the stamps of all instances.
pub const DRIFT_MAX: Duration = Duration::from_secs(60);

/// Refusal of a remote stamp that is too far ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display(
    "remote stamp {remote} is {ahead:?} ahead of the local wall clock: \
     check the clock synchronization of both machines"
)]
pub struct Drift {
    /// Refused stamp.
    #[error(not(source))]
    pub remote: Stamp,
    /// Lead of the remote stamp over the local wall clock.
    #[error(not(source))]
    pub ahead: Duration,
}

/// Hybrid logical clock of one process.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    last: Stamp,
    refused: u64,
}

impl Clock {
    /// Creates a clock that has not returned any stamp.
    pub fn new() -> Clock {
        Clock::default()
    }

    /// Returns the stamp of a local event or of an outgoing message. It is larger than all earlier
    /// stamps.
    pub fn tick<Source>(&mut self, clock: &Source) -> Stamp
    where
        Source: clock::Clock + ?Sized,
    {
        let wall = Stamp { wall_ms: wall_ms(clock), counter: 0 };
        self.last = wall.max(self.last.successor());
        self.last
    }

    /// Returns the stamp of the receipt of a message with the stamp `remote`. It is larger than
    /// `remote` and all earlier stamps.
    ///
    /// # Errors
    ///
    /// Returns [`Drift`] and leaves the clock unchanged if `remote` is more than [`DRIFT_MAX`]
    /// ahead of the local wall clock.
    pub fn merge<Source>(&mut self, remote: Stamp, clock: &Source) -> Result<Stamp, Drift>
    where
        Source: clock::Clock + ?Sized,
    {
        let wall = Stamp { wall_ms: wall_ms(clock), counter: 0 };
        let ahead = Duration::from_millis(remote.wall_ms.saturating_sub(wall.wall_ms));
        if ahead > DRIFT_MAX {
            self.refused += 1;
            return Err(Drift { remote, ahead });
        }
        self.last = wall.max(self.last.max(remote).successor());
        Ok(self.last)
    }

    /// Returns the last stamp; zero if there is none yet.
    pub fn last(&self) -> Stamp {
        self.last
    }

    /// Returns the number of refused remote stamps.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

fn wall_ms<Source>(clock: &Source) -> u64
where
    Source: clock::Clock + ?Sized,
{
    // A wall clock before 1970 is treated as 0; the stamps then increase only by the counter.
    let since_epoch = clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
