//! Keys used in the key-value service.

use knapweedgap_core::{id, revision};
use knapweedgap_store::{Key, key};

const ROOT: &str = "/knapweedgap";

fn at(path: &str) -> Key {
    // Keys are built from ids, all of whose characters are valid in keys.
    format!("{ROOT}/{path}").parse().expect("a key of ids is valid")
}

/// Returns the key of an instance record.
pub(crate) fn instance(instance: &id::Instance) -> Key {
    at(&format!("instances/{instance}"))
}

/// Returns the range of all instance records.
pub(crate) fn instances() -> key::Range {
    key::Range::prefix(at("instances/"))
}

/// Returns the key of the owner record of a partition. Owner records and logs have different
/// prefixes, so that one range call reads all owner records without the logs.
pub(crate) fn owner(partition: id::Partition) -> Key {
    at(&format!("owners/{partition}"))
}

/// Returns the range of all owner records.
pub(crate) fn owners() -> key::Range {
    key::Range::prefix(at("owners/"))
}

/// Returns the partition of the owner record with this key. Returns `None` for other keys.
pub(crate) fn partition_of(key: &Key) -> Option<id::Partition> {
    let (_, partition) = key.as_str().rsplit_once('/')?;
    partition.parse().ok()
}

/// Returns the key of a log entry. The number has a fixed width, so that keys are ordered by it.
pub(crate) fn log_entry(partition: id::Partition, sequence: revision::Sequence) -> Key {
    at(&format!("partitions/{partition}/log/{:020}", sequence.get()))
}

/// Returns the range of all log entries of a partition.
pub(crate) fn log(partition: id::Partition) -> key::Range {
    key::Range::prefix(at(&format!("partitions/{partition}/log/")))
}

/// Returns the key of the checkpoint of a partition.
pub(crate) fn checkpoint(partition: id::Partition) -> Key {
    at(&format!("partitions/{partition}/checkpoint"))
}

/// Returns the key of the current settings.
pub(crate) fn settings() -> Key {
    at("settings/current")
}

/// Returns the common prefix of the current settings and their history.
pub(crate) fn settings_prefix() -> Key {
    at("settings/")
}

/// Returns the key of the record of a settings change.
pub(crate) fn change(revision: revision::Revision) -> Key {
    at(&format!("settings/history/{:020}", revision.get()))
}

/// Returns the range of all stored records of settings changes.
pub(crate) fn changes() -> key::Range {
    key::Range::prefix(at("settings/history/"))
}

/// Returns the key of the claim of a non-idempotent request.
pub(crate) fn claim(key: &id::Key) -> Key {
    at(&format!("requests/{key}"))
}
