//! Selection of a worker with enough free capacity.
//!
//! Workers are kept in buckets by the power of two of their free processor time, memory and
//! accelerators. The number of buckets is bounded, and a search examines a bounded sample, so its
//! cost does not grow with the number of workers.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use knapweedgap_core::{id, size};

use crate::job;

/// Most workers that one search examines.
pub const EXAMINED_MAX: usize = 64;
/// Most fitting workers among which one search chooses.
pub const CANDIDATES_MAX: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Bucket {
    accelerator: u32,
    memory: u32,
    processor: u32,
}

impl Bucket {
    fn of(size: &size::Resources) -> Bucket {
        let accelerator = u32::BITS - size.accelerator.get().leading_zeros();
        let memory = u64::BITS - size.memory.get().leading_zeros();
        let processor = u64::BITS - size.processor.milli().leading_zeros();
        Bucket { accelerator, memory, processor }
    }

    fn covers(&self, need: &Bucket) -> bool {
        self.accelerator >= need.accelerator
            && self.memory >= need.memory
            && self.processor >= need.processor
    }
}

/// Key of a worker in its bucket. The order by zone and rack lets a constraint select a range.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Location {
    zone: id::Zone,
    rack: id::Rack,
    worker: id::Worker,
}

/// Workers by free capacity.
#[derive(Debug, Default)]
pub struct Index {
    buckets: BTreeMap<Bucket, BTreeSet<Location>>,
    workers: BTreeMap<id::Worker, (Bucket, Location)>,
    last: Option<Location>,
}

impl Index {
    /// Sets the free capacity of a worker.
    pub fn insert(
        &mut self,
        worker: &id::Worker,
        zone: &id::Zone,
        rack: &id::Rack,
        free: &size::Resources,
    ) {
        let bucket = Bucket::of(free);
        if self.workers.get(worker).is_some_and(|(old, location)| {
            *old == bucket && location.zone == *zone && location.rack == *rack
        }) {
            return;
        }
        self.remove(worker);
        let location = Location { zone: zone.clone(), rack: rack.clone(), worker: worker.clone() };
        self.buckets.entry(bucket).or_default().insert(location.clone());
        self.workers.insert(worker.clone(), (bucket, location));
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &id::Worker) {
        let Some((bucket, location)) = self.workers.remove(worker) else { return };
        let Some(locations) = self.buckets.get_mut(&bucket) else { return };
        locations.remove(&location);
        if locations.is_empty() {
            self.buckets.remove(&bucket);
        }
    }

    /// Returns the worker with the lowest score in a sample that starts with the tightest buckets.
    ///
    /// `score` returns `None` for a worker that does not fit. The sample starts after the last
    /// examined worker, so that later searches reach the workers beyond the bound of one search.
    pub fn choose<Score, Rank>(
        &mut self,
        need: &size::Resources,
        constraint: &job::Constraint,
        mut score: Score,
    ) -> Option<id::Worker>
    where
        Score: FnMut(&id::Worker) -> Option<Rank>,
        Rank: Ord,
    {
        let need = Bucket::of(need);
        let mut examined = 0;
        let mut candidates = 0;
        let mut best: Option<(Rank, &Location)> = None;
        let mut last_examined: Option<&Location> = None;
        'buckets: for (bucket, locations) in &self.buckets {
            if !bucket.covers(&need) {
                continue;
            }
            for location in rotated(locations, self.last.as_ref()) {
                if !admits(constraint, location) {
                    continue;
                }
                if examined == EXAMINED_MAX || candidates == CANDIDATES_MAX {
                    break 'buckets;
                }
                examined += 1;
                last_examined = Some(location);
                let Some(rank) = score(&location.worker) else { continue };
                candidates += 1;
                if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                    best = Some((rank, location));
                }
            }
        }
        let chosen = best.map(|(_, location)| location.worker.clone());
        self.last = last_examined.cloned();
        chosen
    }
}

fn rotated<'locations>(
    locations: &'locations BTreeSet<Location>,
    last: Option<&'locations Location>,
) -> Box<dyn Iterator<Item = &'locations Location> + 'locations> {
    let Some(last) = last else { return Box::new(locations.iter()) };
    let after = locations.range((Bound::Excluded(last), Bound::Unbounded));
    Box::new(after.chain(locations.range(..=last)))
}

/// Returns `true` if the constraint admits workers in this zone and rack.
pub fn admits_at(constraint: &job::Constraint, zone: &id::Zone, rack: &id::Rack) -> bool {
    let zone_admitted = constraint.zones.is_empty() || constraint.zones.contains(zone);
    let rack_admitted = constraint.racks.is_empty() || constraint.racks.contains(rack);
    zone_admitted && rack_admitted
}

fn admits(constraint: &job::Constraint, location: &Location) -> bool {
    admits_at(constraint, &location.zone, &location.rack)
}
