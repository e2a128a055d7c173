//! Delay of the owner itself, so that it is not taken for the silence of workers.
//!
//! An owner that is starved of processor time, was paused, or whose link has a queue hears answers
//! late or not at all. While that lasts, and until it had time to hear from its workers again, it
//! concludes nothing from their silence (Dadgar, Phillips and Currey, "Lifeguard: Local Health
//! Awareness for More Accurate Failure Detection", 2018). When the delay persists, it takes no new
//! jobs, because it can't start them in time.

use std::time::{Duration, Instant};

/// Delay from which the owner counts as delayed. Timers are up to 100 ms late on a VM that gets its
/// share of a core in turns.
const DELAY_HIGH: Duration = Duration::from_millis(250);
/// Delay below which it counts as punctual again. Hysteresis keeps the state from changing with
/// every sample.
const DELAY_LOW: Duration = Duration::from_millis(120);
/// Time after the end of a delay in which workers can be heard: a poll that waits for an end of a
/// run is answered within it.
const HEARING_TIME: Duration = Duration::from_millis(1_200);
/// Duration of a delay from which new jobs are refused.
const OVERLOAD_TIME: Duration = Duration::from_secs(1);

/// State of the observer at its last sample.
#[derive(Debug, Default)]
pub struct Observer {
    delay: Duration,
    /// Since when the owner is delayed; `None` while it is punctual.
    delayed_since: Option<Instant>,
    /// Until then, silence proves nothing.
    hearing_until: Option<Instant>,
}

impl Observer {
    /// Records the present delay. Returns `true` if the owner has become delayed or punctual.
    pub fn record(&mut self, delay: Duration, now: Instant) -> bool {
        self.delay = delay;
        let limit = if self.delayed_since.is_some() { DELAY_LOW } else { DELAY_HIGH };
        if delay < limit {
            return self.delayed_since.take().is_some();
        }
        self.hearing_until = Some(now + HEARING_TIME);
        if self.delayed_since.is_some() {
            return false;
        }
        // The delay began before it could be measured.
        self.delayed_since = Some(now.checked_sub(delay).unwrap_or(now));
        true
    }

    /// Returns the delay at the last sample.
    pub fn delay(&self) -> Duration {
        self.delay
    }

    /// Returns `true` if the owner is delayed.
    pub fn is_delayed(&self) -> bool {
        self.delayed_since.is_some()
    }

    /// Returns `true` if silence of a worker may be the fault of the owner.
    pub fn is_deaf(&self, now: Instant) -> bool {
        self.is_delayed() || self.hearing_until.is_some_and(|until| now < until)
    }

    /// Returns the time after which a client may submit a job again, if the owner has been delayed
    /// for so long that it takes no new jobs.
    pub fn refusal(&self, now: Instant) -> Option<Duration> {
        let since = self.delayed_since?;
        let is_overloaded = now.saturating_duration_since(since) >= OVERLOAD_TIME + self.delay;
        is_overloaded.then(|| HEARING_TIME + self.delay)
    }
}

/// Time for which the fastest round trip is determined; each link has three in it.
const WINDOW: Duration = Duration::from_secs(1);
/// Age of a window from which it says nothing: no instance has answered since.
const WINDOW_AGE_MAX: Duration = Duration::from_secs(3);

/// Round trips on the links to all other instances. Only when the fastest one is slow, the cause is
/// taken to be this instance's own link.
#[derive(Debug, Default)]
pub struct Links {
    /// Beginning of the present window and its fastest round trip.
    window: Option<(Instant, Duration)>,
    /// Fastest round trip of the last complete window.
    fastest: Duration,
}

impl Links {
    /// Records a round trip.
    pub fn record(&mut self, round_trip: Duration, now: Instant) {
        match self.window {
            Some((began, fastest)) if now.saturating_duration_since(began) < WINDOW => {
                self.window = Some((began, fastest.min(round_trip)));
            }
            Some((began, fastest)) if now.saturating_duration_since(began) < WINDOW_AGE_MAX => {
                self.fastest = fastest;
                self.window = Some((now, round_trip));
            }
            Some(_) | None => {
                self.fastest = Duration::ZERO;
                self.window = Some((now, round_trip));
            }
        }
    }

    /// Returns the fastest round trip of the last complete window; zero before the first one, and
    /// while no instance answers.
    pub fn fastest(&self, now: Instant) -> Duration {
        let is_recent = |(began, _): &(Instant, Duration)| {
            now.saturating_duration_since(*began) < WINDOW_AGE_MAX
        };
        self.window.filter(is_recent).map_or(Duration::ZERO, |_| self.fastest)
    }
}
