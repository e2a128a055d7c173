//! Rendezvous hashing, from Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
//! Rates", IEEE/ACM Transactions on Networking 6(1), 1998.

use knapweedgap_core::id;
use rapidhash::v3::rapidhash_v3;

/// Returns the weight of an instance for a partition.
///
/// The output of rapidhash version 3 is fixed, so all releases compute the same weights. The weight
/// does not depend on the incarnation, so a restarted instance gets the same partitions.
pub fn weight(partition: id::Partition, instance: &id::Instance) -> u64 {
    let mut bytes = Vec::with_capacity(id::NAME_LEN_MAX + 4);
    bytes.extend(partition.get().to_le_bytes());
    bytes.extend(instance.as_str().as_bytes());
    rapidhash_v3(&bytes)
}

/// Returns the instances in order of descending weight for a partition, and by id when weights are
/// equal. Repeated instances are returned once.
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

/// Returns the partition of a worker, which is the one of `count` partitions with the highest
/// weight. Returns partition 0 if `count` is 0.
///
/// The partition depends only on the worker's id and `count`, so it never changes for a worker.
pub fn partition(worker: &id::Worker, count: u32) -> id::Partition {
    let weight = |number: u32| {
        let mut bytes = Vec::with_capacity(id::NAME_LEN_MAX + 4);
        bytes.extend(worker.as_str().as_bytes());
        bytes.extend(number.to_le_bytes());
        rapidhash_v3(&bytes)
    };
    let heaviest = (0..count).max_by_key(|number| weight(*number));
    id::Partition::new(heaviest.unwrap_or_default())
}
