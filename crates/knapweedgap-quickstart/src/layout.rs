//! Names, sizes and partitions of the components.

use std::collections::BTreeMap;

use knapweedgap_core::{id, size};
use knapweedgap_membership::rendezvous;

use crate::fault::Fault;

/// Partitions of a new installation, the default of the setting `partitions`.
pub(crate) const PARTITIONS: u32 = 4;
/// Partition of the bulk jobs. It has several workers, so that its tasks can move when one is
/// killed.
pub(crate) const BULK: u32 = 0;
/// Partition with a single worker, on which urgent and low tasks compete for capacity.
pub(crate) const CONTENDED: u32 = 1;
/// Partition of the jobs of the second team.
pub(crate) const SECOND_TEAM: u32 = 2;
/// Workers per partition, six in total.
const WORKERS: [usize; PARTITIONS as usize] = [3, 1, 1, 1];
/// Limit on the candidate names or keys that are hashed to find one for each partition.
const CANDIDATES_MAX: u32 = 10_000;

/// Capacity of each worker. The low task of the eviction step needs all of its cores.
pub(crate) fn worker_capacity() -> size::Resources {
    resources(4, 8)
}

/// Returns the capacity that a runner reserves on its host.
pub(crate) fn runner_capacity() -> size::Resources {
    resources(1, 1)
}

/// Creates a size from whole cores and GiB of memory, without accelerators.
pub(crate) fn resources(cores: u32, gib: u64) -> size::Resources {
    size::Resources {
        processor: size::Processor::from_cores(cores),
        memory: size::Bytes::new(gib << 30),
        accelerator: size::Accelerator::new(0),
    }
}

/// Returns the worker ids by partition. The partition of a worker is a hash of its id, so the ids
/// are searched for.
///
/// # Errors
///
/// Returns a [`Fault`] if some partition has too few workers after [`CANDIDATES_MAX`] names.
pub(crate) fn workers() -> Result<BTreeMap<u32, Vec<id::Worker>>, Fault> {
    let mut found: BTreeMap<u32, Vec<id::Worker>> = BTreeMap::new();
    for number in 1..CANDIDATES_MAX {
        let worker: id::Worker = parse(&format!("worker-{number}"))?;
        let partition = rendezvous::partition(&worker, PARTITIONS).get();
        let needed = WORKERS.get(partition as usize).copied().unwrap_or_default();
        let ids = found.entry(partition).or_default();
        if ids.len() < needed {
            ids.push(worker);
        }
        if found.values().map(Vec::len).sum::<usize>() == WORKERS.iter().sum::<usize>() {
            return Ok(found);
        }
    }
    Err(Fault::new("workers", "no candidate id maps to some partition"))
}

/// Returns a job key for which `partition` is the primary partition of the team's job.
///
/// # Errors
///
/// Returns a [`Fault`] if none of [`CANDIDATES_MAX`] keys maps to the partition.
pub(crate) fn key(team: &id::Team, name: &str, partition: u32) -> Result<id::Key, Fault> {
    for number in 1..CANDIDATES_MAX {
        let key: id::Key = parse(&format!("{name}-{number}"))?;
        if id::Job::derive(team, &key).primary_partition(PARTITIONS).get() == partition {
            return Ok(key);
        }
    }
    Err(Fault::new("job key", "no candidate key maps to the partition"))
}

/// Parses an id, a name or a path.
///
/// # Errors
///
/// Returns a [`Fault`] with the text if it is not valid.
pub(crate) fn parse<Name>(text: &str) -> Result<Name, Fault>
where
    Name: std::str::FromStr,
    Name::Err: std::fmt::Display,
{
    text.parse().map_err(|error| Fault::new(text, error))
}
