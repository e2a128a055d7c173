//! Rendezvous hashing after Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
//! Rates", IEEE/ACM Transactions on Networking 6(1), 1998.

use knapweedgap_core::id;
use rapidhash::v3::rapidhash_v3;

/// Returns the weight of an instance for a partition.
///
/// Rapidhash version 3 has a fixed output, so all releases agree. The weight does not depend on
/// the incarnation, so a restarted instance gets the same partitions.
pub fn weight(partition: id::Partition, instance: &id::Instance) -> u64 {
    let mut bytes = Vec::with_capacity(id::NAME_LEN_MAX + 4);
    bytes.extend(partition.get().to_le_bytes());
    bytes.extend(instance.as_str().as_bytes());
    rapidhash_v3(&bytes)
}

/// Orders the instances by falling weight for a partition; equal weights are ordered by id.
pub fn order<'a, Instances>(partition: id::Partition, instances: Instances) -> Vec<&'a id::Instance>
where
    Instances: IntoIterator<Item = &'a id::Instance>,
{
    let mut order: Vec<(u64, &id::Instance)> =
        instances.into_iter().map(|instance| (weight(partition, instance), instance)).collect();
    order.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    order.dedup();
    order.into_iter().map(|(_, instance)| instance).collect()
}

/// Returns the partition of a worker, out of `count` partitions: the one with the highest weight.
///
/// The partition depends only on the id, so a worker stays in it for as long as it exists.
pub fn partition(worker: &id::Worker, count: u32) -> id::Partition {
    let weigh = |number: u32| {
        let mut bytes = Vec::with_capacity(id::NAME_LEN_MAX + 4);
        bytes.extend(worker.as_str().as_bytes());
        bytes.extend(number.to_le_bytes());
        rapidhash_v3(&bytes)
    };
    let best = (0..count).max_by_key(|number| weigh(*number));
    id::Partition::new(best.unwrap_or_default())
}
