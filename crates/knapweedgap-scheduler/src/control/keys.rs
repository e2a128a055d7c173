//! Keys of the scheduler in the store, and the records under them other than log entries.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use knapweedgap_core::{id, revision};
use knapweedgap_store::Key;
use knapweedgap_workload::lease;
use serde::{Deserialize, Serialize};

/// Prefix of the owner record and the sequence record, which are read together.
pub(super) const LEAD: &str = "knapweedgap/lead/";
/// Key of the owner record, which changes only when the ownership changes or is released.
pub(super) const OWNER: &str = "knapweedgap/lead/owner";
/// Key of the sequence record, which every commit of the owner rewrites. Each commit is conditional
/// on its revision, so an abandoned commit can't take effect after a later one.
pub(super) const SEQUENCE: &str = "knapweedgap/lead/sequence";
/// Prefix of the log entries.
pub(super) const LOG: &str = "knapweedgap/log/";
/// Prefix of the records of instances; the instance name follows.
pub(super) const MEMBERS: &str = "knapweedgap/members/";

/// Returns the key of a constant of this module, or of one followed by a number or an instance
/// name.
pub(super) fn key(text: &str) -> Key {
    #[allow(
        clippy::expect_used,
        reason = "the constants, numbers and instance names contain only valid characters"
    )]
    text.parse().expect("keys of this module are valid")
}

/// Returns the key of a log entry. Keys sort in the order of their sequence numbers.
pub(super) fn log(sequence: revision::Sequence) -> Key {
    key(&format!("{LOG}{:016}", sequence.get()))
}

/// Returns the sequence number in the key of a log entry, or `None` for any other key.
pub(super) fn log_sequence(key: &Key) -> Option<revision::Sequence> {
    key.as_str().strip_prefix(LOG)?.parse::<u64>().ok().map(revision::Sequence::new)
}

/// Returns the key of the record of an instance.
pub(super) fn member(name: &id::Instance) -> Key {
    key(&format!("{MEMBERS}{name}"))
}

/// Owner record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Owner {
    /// Number of the term, from which its fencing tokens are derived.
    pub(super) epoch: revision::Epoch,
    pub(super) instance: id::Instance,
    pub(super) incarnation: id::Incarnation,
    /// Address on which the owner accepts links.
    pub(super) address: SocketAddr,
    /// Whether the owner has released the workload, so that another instance may claim it at once.
    #[serde(default)]
    pub(super) released: bool,
}

/// Sequence record, written as `<commit timeout in ms> lease=<time> renewals=<time> <tag>`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Sequence {
    /// Time without a commit after which the owner may be replaced.
    pub(super) commit_timeout: Duration,
    /// Lease times when the commit was prepared; absent in a record of an older version.
    pub(super) leases: Option<LeaseTimes>,
    /// Text that is unique to the commit.
    pub(super) tag: String,
}

/// Times in the sequence record that bound the leases of the owner and of earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LeaseTimes {
    /// Time of the owner's lease clock.
    pub(super) time: lease::Time,
    /// Time after which no earlier owner than this one renews a lease.
    pub(super) renewals_end: lease::Time,
}

impl Sequence {
    /// Decodes a sequence record. Returns `None` if it is invalid.
    pub(super) fn decode(value: &[u8]) -> Option<Sequence> {
        let text = std::str::from_utf8(value).ok()?;
        let (millis, rest) = text.split_once(' ')?;
        let commit_timeout = Duration::from_millis(millis.parse().ok()?);
        let (leases, tag) = match LeaseTimes::decode(rest) {
            Some((leases, tag)) => (Some(leases), tag),
            None => (None, rest),
        };
        Some(Sequence { commit_timeout, leases, tag: tag.to_owned() })
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ", self.commit_timeout.as_millis())?;
        if let Some(LeaseTimes { time, renewals_end }) = self.leases {
            write!(f, "lease={time} renewals={renewals_end} ")?;
        }
        f.write_str(&self.tag)
    }
}

impl LeaseTimes {
    /// Decodes the fields at the beginning of `text` and returns them with the rest.
    fn decode(text: &str) -> Option<(LeaseTimes, &str)> {
        let (time, rest) = text.strip_prefix("lease=")?.split_once(' ')?;
        let (renewals_end, rest) = rest.strip_prefix("renewals=")?.split_once(' ')?;
        let leases =
            LeaseTimes { time: time.parse().ok()?, renewals_end: renewals_end.parse().ok()? };
        Some((leases, rest))
    }
}

/// Record of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Member {
    /// Address on which the instance accepts links.
    pub(super) address: SocketAddr,
}
