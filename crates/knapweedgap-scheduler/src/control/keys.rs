//! Keys of the project in the store, and the values under them that are not part of the log.

use std::net::SocketAddr;

use knapweedgap_core::{id, revision};
use knapweedgap_store::Key;
use serde::{Deserialize, Serialize};

/// Prefix of the owner record and the sequence record, which are read together.
pub(super) const LEAD: &str = "knapweedgap/lead/";
/// Record of the owner. It changes only when the ownership does.
pub(super) const OWNER: &str = "knapweedgap/lead/owner";
/// Record that every commit of the owner rewrites. Its revision chains the commits: one that was
/// given up can't take effect after a later one.
pub(super) const SEQUENCE: &str = "knapweedgap/lead/sequence";
/// Prefix of the log.
pub(super) const LOG: &str = "knapweedgap/log/";
/// Prefix of the records of instances.
pub(super) const MEMBERS: &str = "knapweedgap/members/";

/// Makes a key of one of the fixed texts of this module, or of one with a name behind it.
pub(super) fn key(text: &str) -> Key {
    #[allow(
        clippy::expect_used,
        reason = "the texts are fixed, and names hold no other characters"
    )]
    text.parse().expect("keys of this module are valid")
}

/// Returns the key of a log entry. Keys sort like their sequence numbers.
pub(super) fn log(sequence: revision::Sequence) -> Key {
    key(&format!("{LOG}{:016}", sequence.get()))
}

/// Returns the sequence number of a log entry.
pub(super) fn log_sequence(key: &Key) -> Option<revision::Sequence> {
    key.as_str().strip_prefix(LOG)?.parse::<u64>().ok().map(revision::Sequence::new)
}

/// Returns the key of the record of an instance.
pub(super) fn member(name: &id::Instance) -> Key {
    key(&format!("{MEMBERS}{name}"))
}

/// Record of the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Owner {
    /// Count of owners, which begins the fencing tokens of this one.
    pub(super) epoch: revision::Epoch,
    /// Instance.
    pub(super) instance: id::Instance,
    /// Run of the instance.
    pub(super) incarnation: id::Incarnation,
    /// Where it accepts links.
    pub(super) address: SocketAddr,
    /// It has stopped acting as the owner, so another may take over at once.
    #[serde(default)]
    pub(super) released: bool,
}

/// Record of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Member {
    /// Where it accepts links.
    pub(super) address: SocketAddr,
}
