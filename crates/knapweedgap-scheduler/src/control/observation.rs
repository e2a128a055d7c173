//! The sequence record as a follower reads it, and the time for which it has not changed.

use std::time::{Duration, Instant};

use knapweedgap_core::revision;

/// Time without a successful read from which a failure of the store is an outage. The owner could
/// not commit during it either, so the wait for its next commit begins anew.
const OUTAGE_MIN: Duration = Duration::from_millis(500);

/// Last read state of the sequence record.
#[derive(Debug)]
pub(super) struct Observation {
    pub(super) sequence: revision::Revision,
    /// When this revision was first read.
    pub(super) since: Instant,
    /// From when the wait for the next commit counts: `since`, or the end of an outage.
    counted_from: Instant,
    /// When the record was last read.
    read_at: Instant,
    /// Whether a read has failed since then.
    failed: bool,
    /// Whether a connection to the owner was tried at this revision.
    pub(super) probed: bool,
}

impl Observation {
    /// Creates the observation of a revision that is read for the first time.
    pub(super) const fn new(sequence: revision::Revision, now: Instant) -> Observation {
        Observation {
            sequence,
            since: now,
            counted_from: now,
            read_at: now,
            failed: false,
            probed: false,
        }
    }

    /// Records a failed read.
    pub(super) const fn record_failure(&mut self) {
        self.failed = true;
    }

    /// Records that the same revision was read again.
    pub(super) fn record_unchanged(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.read_at);
        if std::mem::take(&mut self.failed) && gap >= OUTAGE_MIN {
            self.counted_from = now;
        }
        self.read_at = now;
    }

    /// Returns when the owner may be replaced, if its next commit is due within `timeout`.
    pub(super) fn due(&self, timeout: Duration) -> Instant {
        self.counted_from + timeout
    }
}
