//! Index of the largest workers, by what steps require of them.

use std::collections::BTreeMap;

use knapweedgap_core::{id, size};
use smol_str::SmolStr;

use super::Engine;
use super::fleet::Worker;
use super::place::has_label;
use crate::job;

/// Service and required label, which decide which workers are eligible for a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Class {
    service: id::Service,
    requires: Option<SmolStr>,
    best_effort: bool,
}

impl Class {
    /// Returns the class of a step whose tasks run on workers of `service`.
    pub(super) fn new(service: &id::Service, step: &job::Step) -> Class {
        let (service, requires) = (service.clone(), step.requires.clone());
        Class { service, requires, best_effort: step.best_effort }
    }

    pub(super) fn is_best_effort(&self) -> bool {
        self.best_effort
    }

    /// Returns `true` if the worker belongs to the service and has the required label.
    pub(super) fn contains(&self, worker: &Worker) -> bool {
        worker.listed.service == self.service
            && has_label(&worker.listed.labels, self.requires.as_deref())
    }
}

/// Capacities of idle workers that no other worker of a class covers. Those of evacuated zones are
/// left out.
#[derive(Debug, Default)]
pub(super) struct Room {
    counts_evacuated: bool,
    largest: BTreeMap<Class, Vec<size::Resources>>,
}

impl Room {
    /// Creates an index that also covers the workers of evacuated zones.
    pub(super) fn with_evacuated() -> Room {
        Room { counts_evacuated: true, ..Room::default() }
    }

    /// Returns `false` if no worker has room for a task of the size.
    pub(super) fn fits(&mut self, engine: &Engine, class: Class, size: &size::Resources) -> bool {
        let largest = self.largest.entry(class);
        let counts_evacuated = self.counts_evacuated;
        let largest =
            largest.or_insert_with_key(|class| find_largest(engine, class, counts_evacuated));
        largest.iter().any(|room| room.fits(size))
    }
}

fn find_largest(engine: &Engine, class: &Class, counts_evacuated: bool) -> Vec<size::Resources> {
    let mut largest: Vec<size::Resources> = Vec::new();
    for worker in engine.workers.values() {
        if !class.contains(worker) || (worker.is_evacuated && !counts_evacuated) {
            continue;
        }
        let room = worker.listed.capacity;
        if largest.iter().any(|known| known.fits(&room)) {
            continue;
        }
        largest.retain(|known| !room.fits(known));
        largest.push(room);
    }
    largest
}
