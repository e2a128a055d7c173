//! Durations that the decisions depend on.

use std::time::Duration;

/// Silence after which a peer is suspect: five pings of 300 ms.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_500);

/// Time after which a probe without a result counts as failed. The caller's own limit on a
/// connection attempt is shorter.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that an instance gives each instance before it in the order to take a partition without
/// owner. It covers the spread in which two instances notice a death (one ping and one probe).
pub const TAKE_DELAY: Duration = Duration::from_secs(1);

/// Time after the start in which no partition is taken, so that peers become known first.
pub const START_GRACE: Duration = Duration::from_secs(1);

/// Time between two attempts to take a partition after the key-value service did not answer.
pub const TAKE_RETRY: Duration = Duration::from_secs(1);

/// Time that a peer has been alive before partitions move to it for balance, so that an instance
/// that restarts repeatedly does not move partitions each time.
pub const REBALANCE_DELAY: Duration = Duration::from_secs(5);

/// Time between two sends of the same release, as a message may be lost.
pub const RELEASE_RETRY: Duration = Duration::from_secs(1);

/// Time after which a release that its target did not take is withdrawn.
pub const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without further releases to a target that did not take one.
pub const RELEASE_BACKOFF: Duration = Duration::from_secs(30);

/// Longest age of the validation of an ownership under which grants are renewed.
pub const VALIDATION_MAX: Duration = Duration::from_secs(20);

/// Longest age of a peer's statement about the key-value service.
pub const STATEMENT_MAX: Duration = Duration::from_secs(5);

/// Time after a death at which the lease of the peer's record (10 s) has certainly expired.
pub const RECORD_EXPIRY: Duration = Duration::from_secs(12);

/// Time after which a peer that is dead and no longer named by any record is forgotten.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Largest drift between two monotonic clocks, in percent.
pub const DRIFT_PERCENT: u32 = 5;

/// Interval of reading the owner records while a partition changes hands.
pub const POLL_CHANGING: Duration = Duration::from_secs(1);

/// Interval of reading the owner records otherwise.
pub const POLL_STEADY: Duration = Duration::from_secs(5);
