//! Availability zones that operators evacuate. No task is started on their workers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::id;

/// Evacuated zones, and up to which time all changes of them are known.
#[derive(Debug)]
pub struct Zones {
    /// Each evacuated zone, and when it was learned.
    evacuated: BTreeMap<id::Zone, Instant>,
    /// All changes up to this time have been applied; `None` before the zones were first read.
    confirmed_at: Option<Instant>,
    /// The knowledge was too old at the last check.
    is_outdated: bool,
}

impl Default for Zones {
    fn default() -> Zones {
        Zones { evacuated: BTreeMap::new(), confirmed_at: None, is_outdated: true }
    }
}

/// Change of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The zone is evacuated.
    Evacuated(id::Zone),
    /// The evacuation ended. It had been known for this time.
    Returned(id::Zone, Duration),
}

impl Change {
    /// Returns the zone that has changed.
    pub fn zone(&self) -> &id::Zone {
        match self {
            Change::Evacuated(zone) | Change::Returned(zone, _) => zone,
        }
    }
}

impl Zones {
    /// Returns `true` if no task may start on a worker of the zone. A zone without a listed worker is
    /// remembered as well.
    pub fn contains(&self, zone: &id::Zone) -> bool {
        self.evacuated.contains_key(zone)
    }

    /// Returns the number of evacuated zones.
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Replaces the set of evacuated zones and returns what has changed.
    pub fn replace(&mut self, zones: &BTreeSet<id::Zone>, now: Instant) -> Vec<Change> {
        let returned: Vec<id::Zone> =
            self.evacuated.keys().filter(|zone| !zones.contains(*zone)).cloned().collect();
        let returned = returned.iter().filter_map(|zone| self.remove(zone, now));
        let mut changes: Vec<Change> = returned.collect();
        changes.extend(zones.iter().filter_map(|zone| self.add(zone.clone(), now)));
        changes
    }

    /// Adds a zone. Returns `None` if it is evacuated already.
    pub fn add(&mut self, zone: id::Zone, now: Instant) -> Option<Change> {
        if self.contains(&zone) {
            return None;
        }
        self.evacuated.insert(zone.clone(), now);
        Some(Change::Evacuated(zone))
    }

    /// Removes a zone. Returns `None` if it is not evacuated.
    pub fn remove(&mut self, zone: &id::Zone, now: Instant) -> Option<Change> {
        let (zone, learned_at) = self.evacuated.remove_entry(zone)?;
        Some(Change::Returned(zone, now.saturating_duration_since(learned_at)))
    }

    /// Notes that all changes up to `at` have been applied.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the time since the last confirmation; [`Duration::MAX`] before the first one.
    pub fn age(&self, now: Instant) -> Duration {
        let confirmed_at = self.confirmed_at;
        confirmed_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Returns `true` if an evacuation may be missing, because the knowledge is older than `age_max`.
    pub fn is_outdated(&self, age_max: Option<Duration>, now: Instant) -> bool {
        age_max.is_some_and(|age_max| self.age(now) > age_max)
    }

    /// Notes the result of a check. Returns `true` if it differs from that of the last one.
    pub fn note_outdated(&mut self, is_outdated: bool) -> bool {
        std::mem::replace(&mut self.is_outdated, is_outdated) != is_outdated
    }
}
