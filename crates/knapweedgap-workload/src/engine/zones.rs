//! Evacuated availability zones: changes by operators, and their workers.

use std::collections::BTreeSet;
use std::time::Instant;

use knapweedgap_core::id;

use super::Engine;
use crate::evacuation::Change;
use crate::event::Event;

impl Engine {
    /// Replaces the set of evacuated zones. The caller passes it before the first configuration, so
    /// that nothing is placed without it.
    pub fn set_evacuated_zones(&mut self, zones: &BTreeSet<id::Zone>, now: Instant) {
        for change in self.zones.replace(zones, now) {
            self.zone_changed(&change);
        }
    }

    /// Excludes the workers of a zone from all starts, until [`Engine::return_zone`]. Their runs
    /// continue.
    pub fn evacuate_zone(&mut self, zone: id::Zone, now: Instant) {
        if let Some(change) = self.zones.add(zone, now) {
            self.zone_changed(&change);
        }
    }

    /// Ends the evacuation of a zone. Its workers take starts at once.
    pub fn return_zone(&mut self, zone: &id::Zone, now: Instant) {
        if let Some(change) = self.zones.remove(zone, now) {
            self.zone_changed(&change);
        }
    }

    /// Notes that all changes of the evacuated zones up to `at` have been applied.
    pub fn zones_confirmed(&mut self, at: Instant) {
        self.zones.confirm(at);
    }

    /// Returns the availability zone of each worker that the engine tracks, including unlisted ones
    /// with an unexpired lease or with tasks.
    pub fn worker_zones(&self) -> impl Iterator<Item = &id::Zone> {
        self.workers.values().map(|worker| &worker.listed.zone)
    }

    /// Returns the availability zone of a worker; `None` if the engine does not track it.
    pub fn zone_of(&self, worker: &id::Worker) -> Option<&id::Zone> {
        self.workers.get(worker).map(|worker| &worker.listed.zone)
    }

    /// Returns `false` if no start may be sent to the worker, although it was ordered: its zone has
    /// been evacuated since, or may have been.
    pub fn admits_start(&self, worker: &id::Worker, now: Instant) -> bool {
        let is_evacuated = self.workers.get(worker).is_some_and(|worker| worker.is_evacuated);
        !is_evacuated && !self.zones.is_outdated(self.bounds.evacuation_age_max(), now)
    }

    /// Returns `true` if the evacuation of a zone may be missing, and logs each change.
    pub(super) fn check_zones(&mut self, now: Instant) -> bool {
        let is_outdated = self.zones.is_outdated(self.bounds.evacuation_age_max(), now);
        if self.zones.note_outdated(is_outdated) {
            self.place_due |= !is_outdated;
            if self.bounds.evacuation_age_max().is_some() {
                let age = self.zones.age(now);
                self.emit(Event::Zones { is_outdated, age });
            }
        }
        is_outdated
    }

    /// Updates the exclusion of a worker whose entry is new or has changed.
    pub(super) fn refresh_zone(&mut self, id: &id::Worker) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let is_evacuated = self.zones.contains(&worker.listed.zone);
        worker.is_changed |= worker.is_evacuated != is_evacuated;
        worker.is_evacuated = is_evacuated;
    }

    fn zone_changed(&mut self, change: &Change) {
        let is_evacuated = matches!(change, Change::Evacuated(_));
        let (mut workers, mut runs) = (0, 0);
        for worker in self.workers.values_mut() {
            if worker.listed.zone != *change.zone() {
                continue;
            }
            workers += 1;
            runs += worker.loads.len();
            worker.is_evacuated = is_evacuated;
            // Searches in vain don't cover the worker any more.
            worker.is_changed = true;
        }
        self.place_due = true;
        self.loads.clear();
        let zones = self.zones.count();
        let change = change.clone();
        self.emit(Event::Evacuation { change, workers, runs, zones });
    }
}
