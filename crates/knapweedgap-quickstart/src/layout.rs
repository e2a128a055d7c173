//! Names and sizes of the components.

use std::collections::BTreeMap;

use knapweedgap_core::{id, size};
use knapweedgap_membership::rendezvous;

use crate::fault::Fault;

/// Partitions of a new installation, the default of the setting `partitions`.
pub(crate) const PARTITIONS: u32 = 4;
/// Partition of the bulk work, with [`WORKERS`]`[0]` workers, so that one may die.
pub(crate) const BULK: u32 = 0;
/// Partition with a single worker, so that urgent work meets low work there.
pub(crate) const CONTENDED: u32 = 1;
/// Partition of the jobs of the second team.
pub(crate) const SECOND: u32 = 2;
/// Workers of each partition, six in all.
const WORKERS: [usize; PARTITIONS as usize] = [3, 1, 1, 1];
/// Names that are tried until every partition has its workers.
const TRIED_MAX: u32 = 10_000;

/// Capacity of each worker.
pub(crate) fn worker_capacity() -> size::Resources {
    resources(4, 8)
}

/// Part of the host's capacity that a runner reserves.
pub(crate) fn runner_capacity() -> size::Resources {
    resources(1, 1)
}

/// Returns whole processors and GiB of memory.
pub(crate) fn resources(cores: u32, gib: u64) -> size::Resources {
    size::Resources {
        processor: size::Processor::from_cores(cores),
        memory: size::Bytes::new(gib << 30),
        accelerator: size::Accelerator::new(0),
    }
}

/// Returns the ids of the workers by partition. A worker's partition follows from its id alone.
///
/// # Errors
///
/// A partition has too few workers after the names that may be tried.
pub(crate) fn workers() -> Result<BTreeMap<u32, Vec<id::Worker>>, Fault> {
    let mut chosen: BTreeMap<u32, Vec<id::Worker>> = BTreeMap::new();
    for number in 1..TRIED_MAX {
        let worker: id::Worker = parse(&format!("worker-{number}"))?;
        let partition = rendezvous::partition(&worker, PARTITIONS).get();
        let wanted = WORKERS.get(partition as usize).copied().unwrap_or_default();
        let ids = chosen.entry(partition).or_default();
        if ids.len() < wanted {
            ids.push(worker);
        }
        if chosen.values().map(Vec::len).sum::<usize>() == WORKERS.iter().sum::<usize>() {
            return Ok(chosen);
        }
    }
    Err(Fault::new("workers", "no id was found for some partition"))
}

/// Returns a key under which the team's job has its home in the partition.
///
/// # Errors
///
/// No key was found after those that may be tried.
pub(crate) fn key(team: &id::Team, name: &str, partition: u32) -> Result<id::Key, Fault> {
    for number in 1..TRIED_MAX {
        let key: id::Key = parse(&format!("{name}-{number}"))?;
        if id::Job::derive(team, &key).primary_partition(PARTITIONS).get() == partition {
            return Ok(key);
        }
    }
    Err(Fault::new("job key", "no key was found for the partition"))
}

/// Parses a name.
///
/// # Errors
///
/// The name is not valid.
pub(crate) fn parse<Name>(text: &str) -> Result<Name, Fault>
where
    Name: std::str::FromStr,
    Name::Err: std::fmt::Display,
{
    text.parse().map_err(|error| Fault::new(text, error))
}
