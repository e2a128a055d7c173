//! Time that an owner allows its followers to wait for its next commit.
//!
//! The owner states it with each commit. A short time lets followers replace an owner that is gone
//! soon; an owner that was disturbed lately may be late again, so it states a long one at once, and
//! the short one only after a steady stretch (hysteresis).

use std::time::{Duration, Instant};

/// Stated time of a steady owner. Followers begin to wait 500 ms after the last frame on the link,
/// so they replace a silent owner 1.35 s after it. A pause of one second that begins just before
/// the next frame (due every 300 ms) ends 50 ms earlier.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(850);
/// Least stated time until the workers are listed: a new owner of 490 workers that was reading its
/// first reports was kept busy for 2 s, and its predecessor may have stated the short time.
pub const UNKNOWN_FLEET_TIMEOUT: Duration = Duration::from_millis(2_900);
/// Time without a disturbance after which an owner is steady.
const STEADY_TIME: Duration = Duration::from_secs(5);
/// Time between a commit and its answer from which the answer is late. The store answers in 4 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time between two commits from which there is a gap. A commit is due every 300 ms, and timers are
/// up to 100 ms late on a VM that gets its share of a core in turns. With a late answer the effects
/// of two commits are 600 ms apart, which leaves 250 ms of [`SHORT_TIMEOUT`].
const GAP_TIMEOUT: Duration = Duration::from_millis(450);
/// Delay of the owner itself that is a disturbance.
const DELAY_TIMEOUT: Duration = Duration::from_millis(120);

/// Completed commit.
#[derive(Debug, Clone, Copy)]
pub struct Commit {
    /// When its first copy was sent.
    pub sent_at: Instant,
    /// When a copy was answered.
    pub answered_at: Instant,
}

/// Record of the disturbances of one term.
#[derive(Debug)]
pub struct Monitor {
    /// Time of the last disturbance, or the beginning of the term.
    disturbed_at: Instant,
    /// When the last completed commit was sent.
    sent_at: Option<Instant>,
}

impl Monitor {
    /// Creates the monitor of a term that begins at `now`.
    pub const fn new(now: Instant) -> Monitor {
        Monitor { disturbed_at: now, sent_at: None }
    }

    /// Records a disturbance, such as the first reports of all workers. Returns `true` if the owner
    /// was steady before.
    pub fn disturb(&mut self, now: Instant) -> bool {
        let was_steady = self.is_steady(now);
        self.disturbed_at = self.disturbed_at.max(now);
        was_steady
    }

    /// Records a completed commit.
    pub fn record_commit(&mut self, commit: Commit) {
        let Commit { sent_at, answered_at } = commit;
        let last = self.sent_at.replace(sent_at);
        let gap = last.map_or(Duration::ZERO, |last| sent_at.saturating_duration_since(last));
        let wait = answered_at.saturating_duration_since(sent_at);
        if gap >= GAP_TIMEOUT || wait >= ANSWER_TIMEOUT {
            self.disturb(answered_at);
        }
    }

    /// Records the present delay of the owner itself. Returns `true` if it ends a steady stretch.
    pub fn record_delay(&mut self, delay: Duration, now: Instant) -> bool {
        delay >= DELAY_TIMEOUT && self.disturb(now)
    }

    /// Returns `true` if nothing has disturbed the owner for some time. A commit that is late now
    /// counts as a disturbance.
    pub fn is_steady(&self, now: Instant) -> bool {
        let is_late =
            self.sent_at.is_some_and(|at| now.saturating_duration_since(at) >= GAP_TIMEOUT);
        !is_late && now.saturating_duration_since(self.disturbed_at) >= STEADY_TIME
    }

    /// Returns the time to state with a commit that is sent at `now`; `long` applies to an owner that
    /// is not steady.
    pub fn timeout(&self, long: Duration, now: Instant) -> Duration {
        if self.is_steady(now) { SHORT_TIMEOUT.min(long) } else { long }
    }
}
