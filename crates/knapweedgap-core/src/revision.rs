//! Counters that order writes, owners, runs and processes.

use crate::macros::number;

number!(
    /// Revision of the key-value service or of a list; it increases with every change.
    Revision, u64, "revision"
);
number!(
    /// Number of owners that a partition has had. A worker refuses an epoch below the highest one
    /// it has seen.
    Epoch, u64, "epoch"
);
number!(
    /// Position of an entry in the log of a partition.
    Sequence, u64, "sequence number"
);

number!(
    /// Fencing token of an order to a worker. A worker refuses a token below the highest one it has
    /// seen.
    Fence, u64, "fencing token"
);
number!(
    /// Number of a run of a task, starting at 1. A number is never reused for the same task.
    Run, u32, "run number"
);
number!(
    /// Incarnation of a worker: the start time of its process, in milliseconds since the Unix epoch
    /// by the clock of the platform. A worker that restarts keeps its id and loses all state.
    Incarnation, u64, "lifetime"
);
number!(
    /// Position of an ended run in the list that a worker has kept since its start.
    End, u64, "number of an ended run"
);

impl Run {
    /// Returns the number of the next run.
    pub const fn next(self) -> Run {
        Run::new(self.get() + 1)
    }
}

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
