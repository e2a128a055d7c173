//! Forecast of the room of a worker, and what may be placed there before a reservation.
//!
//! Designed for wide steps beside a stream of narrow ones: each narrow run that ends leaves a piece
//! that only another narrow task can use, so the wide step would wait as long as the stream lasts.
//! Declared run times are estimates by clients, so the forecast is corrected by the elapsed time.

use std::time::{Duration, Instant};

use knapweedgap_core::size;

/// Share of the largest worker, as a divisor, from which on a task is wide.
const WIDE_DIVISOR: u64 = 4;

/// Share of its elapsed time, as a divisor, for which a run is expected to continue that has
/// exceeded its estimate. Estimates are off by up to half, so most such runs end within the same
/// time again, and a small share leads to a new forecast soon.
const OVERRUN_DIVISOR: u32 = 4;
/// Shortest time for which such a run is expected to continue; the end of a run is known about half a
/// second late.
const OVERRUN_MIN: Duration = Duration::from_millis(500);

/// Multiple of the expected wait for which a worker is held for one reservation: a run that was
/// estimated at half its run time lasts twice as long as expected.
const HOLD_FACTOR: u32 = 2;
/// Time by which a hold is longer, for the report of an end and the next placement pass.
const HOLD_MARGIN: Duration = Duration::from_secs(1);

/// Run with reserved capacity.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// When it was placed, or found by a new owner.
    pub since: Instant,
    /// Declared run time at the ordered speed, zero if it is unknown; `None` for a run without an end.
    pub estimate: Option<Duration>,
    /// Reserved capacity.
    pub size: size::Resources,
}

/// Task that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Task {
    /// Capacity that it reserves.
    pub size: size::Resources,
    /// Expected run time; `None` if it has no expected end.
    pub duration: Option<Duration>,
}

/// Room that is kept for a task from an expected time on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reservation {
    /// When the room is expected to be free.
    pub at: Instant,
    /// Size of the task.
    pub size: size::Resources,
}

impl Run {
    /// Returns when the run is expected to end; `None` if it is not expected to.
    pub fn expected_end(&self, now: Instant) -> Option<Instant> {
        let end = self.since.checked_add(self.estimate?)?;
        if end > now {
            return Some(end);
        }
        let elapsed = now.saturating_duration_since(self.since);
        Some(now + (elapsed / OVERRUN_DIVISOR).max(OVERRUN_MIN))
    }
}

/// Returns `true` if a task needs at least a quarter of the processors or the memory of the largest
/// worker.
pub fn is_wide(size: &size::Resources, largest: &size::Resources) -> bool {
    let shares = [
        (size.processor.milli(), largest.processor.milli()),
        (size.memory.get(), largest.memory.get()),
    ];
    shares.into_iter().any(|(size, largest)| size.saturating_mul(WIDE_DIVISOR) >= largest)
}

/// Returns the earliest time at which `size` is expected to be free on a worker that has `free` now;
/// `None` if the ends of its runs do not free as much.
pub fn earliest_room<Runs>(
    free: size::Resources,
    runs: Runs,
    size: &size::Resources,
    now: Instant,
) -> Option<Instant>
where
    Runs: IntoIterator<Item = Run>,
{
    if free.fits(size) {
        return Some(now);
    }
    let runs = runs.into_iter();
    let mut ends: Vec<(Instant, size::Resources)> =
        runs.filter_map(|run| Some((run.expected_end(now)?, run.size))).collect();
    ends.sort_unstable_by_key(|(end, _)| *end);
    let mut free = free;
    for (end, freed) in ends {
        free += freed;
        if free.fits(size) {
            return Some(end);
        }
    }
    None
}

/// Returns `true` if a task may be placed on a worker with a reservation: it is expected to end
/// before, or there is room for it beside the reserved task.
pub fn may_precede<Runs>(
    task: &Task,
    reservation: &Reservation,
    free: size::Resources,
    runs: Runs,
    now: Instant,
) -> bool
where
    Runs: IntoIterator<Item = Run>,
{
    let end = task.duration.and_then(|duration| now.checked_add(duration));
    if end.is_some_and(|end| end <= reservation.at) {
        return true;
    }
    let mut room = free;
    for run in runs {
        if run.expected_end(now).is_some_and(|end| end <= reservation.at) {
            room += run.size;
        }
    }
    room.fits(&(reservation.size + task.size))
}

/// Returns until when a worker is held for a reservation that was made at `now` and is expected to
/// begin at `at`.
pub fn hold_end(at: Instant, now: Instant) -> Instant {
    now + at.saturating_duration_since(now) * HOLD_FACTOR + HOLD_MARGIN
}
