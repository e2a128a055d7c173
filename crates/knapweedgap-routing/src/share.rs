//! Division of connections and slots among entries and their traffic threads.
//!
//! Every function is deterministic, so all threads with the same lists agree without communication.

use std::cmp::Reverse;

use derive_more::{Display, FromStr};
use knapweedgap_core::size;
use rapidhash::v3::rapidhash_v3;

use crate::snapshot::{Entry, Snapshot, State, Upstream};

/// Position of a traffic thread in its entry, starting at 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
pub struct Thread(u32);

impl Thread {
    /// Creates the position of a thread, starting at 0.
    pub const fn new(position: u32) -> Thread {
        Thread(position)
    }

    /// Returns the position, starting at 0.
    pub const fn get(self) -> u32 {
        self.0
    }
}

fn hash_pair(left: u64, right: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&left.to_le_bytes());
    bytes[8..].copy_from_slice(&right.to_le_bytes());
    rapidhash_v3(&bytes)
}

/// Returns the number of connections that one entry may hold to an upstream:
/// floor(limit / (2 × entries)).
///
/// Half of the limit is reserved for the replacements of all entries, which may run at the same
/// time as the old ones.
pub fn entry_connections(limit: size::Connection, entries_configured: u32) -> size::Connection {
    size::Connection::new(limit.get() / entries_configured.max(1).saturating_mul(2))
}

/// Returns the share of [`entry_connections`] that belongs to one thread.
///
/// The remainder of the division is assigned to different threads for different upstreams, so that
/// every thread reaches some of the upstreams even if there are fewer connections than threads.
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

/// One traffic thread of one live entry during the assignment of slots.
#[derive(Debug)]
struct Holder<'a> {
    entry: &'a Entry,
    thread: Thread,
    hash: u64,
    quota: u64,
}

/// Pass over the upstreams during the assignment of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// Holders with quota left, in the availability zone of the upstream.
    SameZone,
    /// All holders with quota left.
    Quota,
    /// All holders, whether or not quota is left.
    Remainder,
}

/// Returns the number of slots of each upstream that belong to one traffic thread of this entry.
///
/// Each holder (a thread of a live entry) has an equal quota of all slots. The slots of an upstream
/// are assigned first to holders in its availability zone, then to others with quota left, both in
/// rendezvous order (Thaler and Ravishankar 1998). Slots that remain because the holders with quota
/// have no more connections are assigned to holders without quota, so that every slot has an owner.
///
/// A zone therefore borrows from other zones only what it lacks. That amount depends on the lists
/// alone, so it cannot oscillate with load.
pub fn assign_slots(
    snapshot: &Snapshot,
    upstreams: &[Upstream],
    thread: Thread,
) -> Vec<size::Slot> {
    let mut order: Vec<usize> = (0..upstreams.len()).collect();
    order.retain(|&position| upstreams[position].state == State::Live);
    order.sort_by(|&left, &right| upstreams[left].id.cmp(&upstreams[right].id));

    let total = order.iter().map(|&position| u64::from(upstreams[position].slots.get())).sum();
    let mut holders = holders(snapshot, total);
    let mut own = vec![0u32; upstreams.len()];
    let mut assigned: Vec<Vec<u32>> = vec![vec![0; holders.len()]; upstreams.len()];
    let mut unassigned: Vec<u32> = upstreams.iter().map(|upstream| upstream.slots.get()).collect();

    for pass in [Pass::SameZone, Pass::Quota, Pass::Remainder] {
        for &position in &order {
            if unassigned[position] == 0 {
                continue;
            }
            let upstream = &upstreams[position];
            let ranked = rank(&holders, upstream, pass);
            // Each round assigns at most one slot to a holder, so that its slots are spread over
            // the upstreams.
            loop {
                let before = unassigned[position];
                for &number in &ranked {
                    let holder = &mut holders[number];
                    let limit = thread_connections(
                        upstream,
                        snapshot.entries_configured,
                        snapshot.traffic_threads,
                        holder.thread,
                    );
                    let count = &mut assigned[position][number];
                    let in_quota = holder.quota > 0 || pass == Pass::Remainder;
                    if unassigned[position] == 0 || !in_quota || *count >= limit.get() {
                        continue;
                    }
                    holder.quota = holder.quota.saturating_sub(1);
                    *count += 1;
                    unassigned[position] -= 1;
                    if holder.thread == thread && holder.entry.id == snapshot.instance {
                        own[position] += 1;
                    }
                }
                if unassigned[position] == before || unassigned[position] == 0 {
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
            let hash = hash_pair(rapidhash_v3(entry.id.as_str().as_bytes()), u64::from(thread));
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
    ranked.sort_by_cached_key(|&number| Reverse(hash_pair(hash, holders[number].hash)));
    ranked
}

/// Returns one thread's share of the slots in this entry's availability zone.
///
/// Under policies without slot shares, a thread with this many requests in flight in its own zone
/// uses other zones first.
pub fn zone_quota(snapshot: &Snapshot, upstreams: &[Upstream]) -> u64 {
    let in_zone =
        |upstream: &&Upstream| upstream.state == State::Live && upstream.zone == snapshot.zone;
    let slots: u64 = upstreams.iter().filter(in_zone).map(|up| u64::from(up.slots.get())).sum();
    let entries = snapshot.entries.iter().filter(|entry| entry.zone == snapshot.zone).count();
    let threads = entries.max(1) as u64 * u64::from(snapshot.traffic_threads.max(1));
    slots.div_ceil(threads)
}
