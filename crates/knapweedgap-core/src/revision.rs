//! Counters that order writes and owners.

use crate::macros::number;

number!(
    /// Revision of the key-value service; it grows with every write.
    Revision, u64, "revision"
);
number!(
    /// Count of owners that a partition has had. A worker refuses an epoch below the highest it
    /// has seen.
    Epoch, u64, "epoch"
);
number!(
    /// Position of an entry in the log of a partition.
    Sequence, u64, "sequence number"
);

impl Epoch {
    /// Returns the epoch of the next owner.
    pub const fn next(self) -> Epoch {
        Epoch::new(self.get() + 1)
    }
}

impl Sequence {
    /// Returns the position after this one.
    pub const fn next(self) -> Sequence {
        Sequence::new(self.get() + 1)
    }
}
