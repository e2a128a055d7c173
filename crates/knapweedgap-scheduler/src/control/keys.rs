//! Keys of the scheduler in the store, and the records under them other than log entries.

use std::net::SocketAddr;

use knapweedgap_core::{id, revision};
use knapweedgap_store::Key;
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

/// Record of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Member {
    /// Address on which the instance accepts links.
    pub(super) address: SocketAddr,
}
