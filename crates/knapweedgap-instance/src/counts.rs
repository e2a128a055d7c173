//! Counters of all links of one instance.

/// Frames that were not used, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Frames that could not be decoded or came in a wrong state.
    pub invalid: u64,
    /// Frames that were duplicates, and state frames older than one received before.
    pub stale: u64,
    /// Answers to calls that had ended.
    pub late: u64,
    /// Frames whose stamp was too far ahead to follow.
    pub drift: u64,
    /// Frames that were not queued because the queue was full.
    pub refused: u64,
    /// Queued state frames that were replaced by a newer one.
    pub replaced: u64,
}
