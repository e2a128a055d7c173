//! Keys of this project in the key-value service.

use knapweedgap_core::{id, revision};
use knapweedgap_store::{Key, key};

const ROOT: &str = "/knapweedgap";

fn at(path: &str) -> Key {
    // Keys are built from ids, whose characters every key admits.
    format!("{ROOT}/{path}").parse().expect("a key of ids is valid")
}

/// Record of one instance.
pub(crate) fn instance(instance: &id::Instance) -> Key {
    at(&format!("instances/{instance}"))
}

/// Records of all instances.
pub(crate) fn instances() -> key::Range {
    key::Range::prefix(at("instances/"))
}

/// Owner record of one partition. Owners are apart from the logs, so that one range call reads
/// them all without the logs.
pub(crate) fn owner(partition: id::Partition) -> Key {
    at(&format!("owners/{partition}"))
}

/// Owner records of all partitions.
pub(crate) fn owners() -> key::Range {
    key::Range::prefix(at("owners/"))
}

/// Returns the partition that an owner record is about.
pub(crate) fn partition_of(key: &Key) -> Option<id::Partition> {
    let (_, partition) = key.as_str().rsplit_once('/')?;
    partition.parse().ok()
}

/// Entry of a partition's log. The number has a fixed width, so that keys sort by it.
pub(crate) fn log_entry(partition: id::Partition, sequence: revision::Sequence) -> Key {
    at(&format!("partitions/{partition}/log/{:020}", sequence.get()))
}

/// Log of a partition.
pub(crate) fn log(partition: id::Partition) -> key::Range {
    key::Range::prefix(at(&format!("partitions/{partition}/log/")))
}

/// Checkpoint of a partition.
pub(crate) fn checkpoint(partition: id::Partition) -> Key {
    at(&format!("partitions/{partition}/checkpoint"))
}

/// Settings in force.
pub(crate) fn settings() -> Key {
    at("settings/current")
}

/// Settings in force and their history.
pub(crate) fn settings_prefix() -> Key {
    at("settings/")
}

/// Record of one change of the settings.
pub(crate) fn change(revision: revision::Revision) -> Key {
    at(&format!("settings/history/{:020}", revision.get()))
}

/// Records of all kept changes of the settings.
pub(crate) fn changes() -> key::Range {
    key::Range::prefix(at("settings/history/"))
}

/// Claim of a non-idempotent request.
pub(crate) fn claim(key: &id::Key) -> Key {
    at(&format!("requests/{key}"))
}
