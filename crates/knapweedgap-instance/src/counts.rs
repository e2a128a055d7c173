//! Counters over all links of one instance.

/// Numbers of frames that were dropped, by reason, and of stamps that were ignored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Received frames that could not be decoded or were not allowed in the state of the link.
    pub invalid: u64,
    /// Received frames that were duplicates, and state frames older than one received before.
    pub stale: u64,
    /// Replies for which no caller was waiting.
    pub late: u64,
    /// Received frames whose stamp was too far ahead of the local clock to be merged. Their bodies
    /// are used.
    pub drift: u64,
    /// Frames that were not queued because the queue was full.
    pub refused: u64,
    /// Queued frames that were replaced by a newer one of the same kind.
    pub replaced: u64,
}
