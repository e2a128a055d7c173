//! Division of connections and slots among entries and their traffic threads.
//!
//! Every function is deterministic, so all threads that see the same lists agree without talking.

use std::cmp::Reverse;

use derive_more::{Display, FromStr};
use knapweedgap_core::size;
use rapidhash::v3::rapidhash_v3;

use crate::snapshot::{Entry, Snapshot, State, Upstream};

/// Position of a traffic thread in its entry, starting at 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub struct Thread(u32);

impl Thread {
    /// Wraps a position.
    pub const fn new(position: u32) -> Thread {
        Thread(position)
    }

    /// Returns the position.
    pub const fn get(self) -> u32 {
        self.0
    }
}

fn mix(left: u64, right: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&left.to_le_bytes());
    bytes[8..].copy_from_slice(&right.to_le_bytes());
    rapidhash_v3(&bytes)
}

/// Returns the connections that one entry may hold to an upstream: floor(limit / (2 × entries)).
///
/// Half of the limit is left for the replacements of all entries, which may run beside the old
/// ones.
pub fn entry_connections(limit: size::Connection, entries_configured: u32) -> size::Connection {
    size::Connection::new(limit.get() / entries_configured.max(1).saturating_mul(2))
}

/// Returns the part of [`entry_connections`] that belongs to one thread.
///
/// The remainder of the division goes to different threads for different upstreams, so that every
/// thread reaches some of the upstreams even when there are fewer connections than threads.
pub fn thread_connections(
    upstream: &Upstream,
    entries_configured: u32,
    threads: u32,
    thread: Thread,
) -> size::Connection {
    let entry = entry_connections(upstream.connections, entries_configured).get();
    let threads = threads.max(1);
    if thread.get() >= threads {
        return size::Connection::new(0);
    }
    let hash = rapidhash_v3(upstream.id.as_str().as_bytes());
    let first = u32::try_from(hash % u64::from(threads)).unwrap_or_default();
    let position = (thread.get() + first) % threads;
    let extra = u32::from(position < entry % threads);
    size::Connection::new(entry / threads + extra)
}

/// One traffic thread of one live entry while slots are dealt.
#[derive(Debug)]
struct Holder<'a> {
    entry: &'a Entry,
    thread: Thread,
    hash: u64,
    quota: u64,
}

/// Pass over the upstreams while slots are dealt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Holders with quota in the zone of the upstream.
    SameZone,
    /// All holders with quota.
    Quota,
    /// All holders.
    Rest,
}

/// Returns how many slots of each upstream belong to one traffic thread of this entry.
///
/// Each holder (a thread of a live entry) has an equal quota of all slots. The slots of an upstream
/// go first to holders in its availability zone, then to others with quota left, both in rendezvous
/// order (Thaler and Ravishankar 1998). Slots that are left because the holders with quota have no
/// more connections go to holders without quota, so that no slot lacks an owner.
///
/// A zone therefore borrows from other zones only what it lacks. That amount depends on the lists
/// alone, so it cannot oscillate with load.
pub fn deal_slots(snapshot: &Snapshot, upstreams: &[Upstream], thread: Thread) -> Vec<size::Slot> {
    let mut order: Vec<usize> = (0..upstreams.len()).collect();
    order.retain(|&position| upstreams[position].state == State::Live);
    order.sort_by(|&left, &right| upstreams[left].id.cmp(&upstreams[right].id));

    let total = order.iter().map(|&position| u64::from(upstreams[position].slots.get())).sum();
    let mut holders = holders(snapshot, total);
    let mut own = vec![0u32; upstreams.len()];
    let mut dealt: Vec<Vec<u32>> = vec![vec![0; holders.len()]; upstreams.len()];
    let mut left: Vec<u32> = upstreams.iter().map(|upstream| upstream.slots.get()).collect();

    for pass in [Pass::SameZone, Pass::Quota, Pass::Rest] {
        for &position in &order {
            if left[position] == 0 {
                continue;
            }
            let upstream = &upstreams[position];
            let ranked = rank(&holders, upstream, pass);
            // Each round gives a holder at most one slot, so that its slots spread over upstreams.
            loop {
                let before = left[position];
                for &number in &ranked {
                    let holder = &mut holders[number];
                    let limit = thread_connections(
                        upstream,
                        snapshot.entries_configured,
                        snapshot.traffic_threads,
                        holder.thread,
                    );
                    let given = &mut dealt[position][number];
                    let in_quota = holder.quota > 0 || pass == Pass::Rest;
                    if left[position] == 0 || !in_quota || *given >= limit.get() {
                        continue;
                    }
                    holder.quota = holder.quota.saturating_sub(1);
                    *given += 1;
                    left[position] -= 1;
                    if holder.thread == thread && holder.entry.id == snapshot.instance {
                        own[position] += 1;
                    }
                }
                if left[position] == before || left[position] == 0 {
                    break;
                }
            }
        }
    }
    own.into_iter().map(size::Slot::new).collect()
}

fn holders(snapshot: &Snapshot, total: u64) -> Vec<Holder<'_>> {
    let mut holders = Vec::new();
    for entry in &snapshot.entries {
        for thread in 0..snapshot.traffic_threads.max(1) {
            let hash = mix(rapidhash_v3(entry.id.as_str().as_bytes()), u64::from(thread));
            holders.push(Holder { entry, thread: Thread(thread), hash, quota: 0 });
        }
    }
    holders.sort_by(|left, right| {
        (left.hash, &left.entry.id, left.thread).cmp(&(right.hash, &right.entry.id, right.thread))
    });
    let count = holders.len().max(1) as u64;
    for (number, holder) in (0..).zip(&mut holders) {
        holder.quota = total / count + u64::from(number < total % count);
    }
    holders
}

fn rank(holders: &[Holder<'_>], upstream: &Upstream, pass: Pass) -> Vec<usize> {
    let hash = rapidhash_v3(upstream.id.as_str().as_bytes());
    let mut ranked: Vec<usize> = (0..holders.len()).collect();
    ranked.retain(|&number| pass != Pass::SameZone || holders[number].entry.zone == upstream.zone);
    ranked.sort_by_cached_key(|&number| Reverse(mix(hash, holders[number].hash)));
    ranked
}

/// Returns the share of the slots in this entry's zone that falls to one of its threads.
///
/// Policies without slot shares keep at most so many requests in flight in their own zone while
/// another zone has room.
pub fn zone_quota(snapshot: &Snapshot, upstreams: &[Upstream]) -> u64 {
    let near =
        |upstream: &&Upstream| upstream.state == State::Live && upstream.zone == snapshot.zone;
    let slots: u64 = upstreams.iter().filter(near).map(|up| u64::from(up.slots.get())).sum();
    let entries = snapshot.entries.iter().filter(|entry| entry.zone == snapshot.zone).count();
    let threads = entries.max(1) as u64 * u64::from(snapshot.traffic_threads.max(1));
    slots.div_ceil(threads)
}
