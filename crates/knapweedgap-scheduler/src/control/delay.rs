//! Delay of the owner itself, measured on its timers and its links.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time for which the fastest round trip is determined; each link has three in it.
const WINDOW: Duration = Duration::from_secs(1);

/// Round trips on the links to all other instances. Only when the fastest one is slow, the cause is
/// taken to be this instance's own link.
#[derive(Debug, Default)]
pub(super) struct Links {
    window: Cell<Option<(Instant, Duration)>>,
    fastest: Cell<Duration>,
}

impl Links {
    /// Records a round trip.
    pub(super) fn record(&self, round_trip: Duration, now: Instant) {
        let (began, fastest) = self.window.get().unwrap_or((now, round_trip));
        if now.saturating_duration_since(began) >= WINDOW {
            self.fastest.set(fastest);
            self.window.set(Some((now, round_trip)));
            return;
        }
        self.window.set(Some((began, fastest.min(round_trip))));
    }

    /// Returns the fastest round trip of the last complete window; zero before the first one.
    pub(super) fn fastest(&self) -> Duration {
        self.fastest.get()
    }
}
