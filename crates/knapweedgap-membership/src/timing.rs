//! Durations on which the membership decisions depend.

use std::time::Duration;

/// Time since the last contact after which a peer is suspect: five ping intervals of 300 ms.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a probe without a result counts as failed. The caller's own timeout for a
/// connection attempt is shorter.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay per preceding instance in the rendezvous order before an instance takes a partition
/// without owner. It exceeds the difference in time between two instances that detect the same
/// failure (one ping and one probe).
pub const TAKE_DELAY: Duration = Duration::from_secs(1);

/// Delay after the start during which no partition is taken, so that peers are discovered first.
pub const START_DELAY: Duration = Duration::from_secs(1);

/// Delay before a partition is taken again after an attempt that did not succeed.
pub const TAKE_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which a peer must have been alive before partitions move to it for balance. An instance
/// that restarts repeatedly would otherwise move partitions on each restart.
pub const REBALANCE_DELAY: Duration = Duration::from_secs(5);

/// Interval at which a release is sent again, because a message may be lost.
pub const RELEASE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a release that its target did not accept is withdrawn.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which no partition is released to a peer that did not accept a release.
pub const RELEASE_BACKOFF: Duration = Duration::from_secs(30);

/// Longest age of the validation of an ownership at which grants are renewed.
pub const VALIDATION_AGE_MAX: Duration = Duration::from_secs(20);

/// Longest age at which a peer's report about the key-value service counts.
pub const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

/// Delay after a peer's failure at which the lease of its record (10 s) has certainly expired.
pub const RECORD_EXPIRY_DELAY: Duration = Duration::from_secs(12);

/// Time after which a dead peer that no record names is removed.
pub const DEAD_PEER_RETENTION: Duration = Duration::from_secs(60);

/// Largest drift between two monotonic clocks, in percent.
pub const CLOCK_DRIFT_MAX_PERCENT: u32 = 5;

/// Interval of reading the owner records while the owner of a partition changes or is unknown.
pub const POLL_INTERVAL_CHANGING: Duration = Duration::from_secs(1);

/// Interval of reading the owner records while every partition has a confirmed owner.
pub const POLL_INTERVAL_STEADY: Duration = Duration::from_secs(5);
