//! Index of the largest workers, by what steps require of them.

use std::collections::BTreeMap;
use std::time::Instant;

use knapweedgap_core::{id, size};
use smol_str::SmolStr;

use super::Engine;
use super::fleet::Worker;
use super::place::has_label;
use crate::{job, packing};

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

    /// Returns `true` if the worker belongs to the service and has the required label.
    pub(super) fn contains(&self, worker: &Worker) -> bool {
        worker.listed.service == self.service
            && has_label(&worker.listed.labels, self.requires.as_deref())
    }
}

/// What counts as the room of a worker.
#[derive(Debug, Clone, Copy)]
enum Basis {
    /// Free capacity of the workers that are open for tasks.
    Free(Instant),
    /// Capacity of all workers.
    Capacity,
}

/// Sizes that no other worker of a class covers. It does not follow later changes: during a
/// placement pass no capacity becomes free, so a size that fits nowhere fits nowhere until it ends.
#[derive(Debug)]
pub(super) struct Room {
    basis: Basis,
    largest: BTreeMap<Class, Vec<size::Resources>>,
}

impl Room {
    /// Creates the index of the capacity that is free at `now`.
    pub(super) fn free(now: Instant) -> Room {
        Room { basis: Basis::Free(now), largest: BTreeMap::new() }
    }

    /// Returns the room that a task of a step needs: what it reserves, and for a best-effort task the
    /// processor time that it must find unused.
    pub(super) fn demand(step: &job::Step) -> size::Resources {
        if !step.best_effort {
            return step.size;
        }
        size::Resources {
            processor: packing::unused_processor_min(step.size.processor),
            ..step.size
        }
    }

    /// Creates the index of the capacity of idle workers.
    pub(super) fn capacity() -> Room {
        Room { basis: Basis::Capacity, largest: BTreeMap::new() }
    }

    /// Returns `false` if no worker has room for a task of the size.
    pub(super) fn fits(&mut self, engine: &Engine, class: Class, size: &size::Resources) -> bool {
        let basis = self.basis;
        let largest = self.largest.entry(class);
        let largest = largest.or_insert_with_key(|class| find_largest(engine, class, basis));
        largest.iter().any(|room| room.fits(size))
    }

    /// Discards what is known about a class, because a search has shown that it is outdated.
    pub(super) fn forget(&mut self, class: &Class) {
        self.largest.remove(class);
    }
}

fn find_largest(engine: &Engine, class: &Class, basis: Basis) -> Vec<size::Resources> {
    let mut largest: Vec<size::Resources> = Vec::new();
    for worker in engine.workers.values() {
        if !class.contains(worker) {
            continue;
        }
        let room = match basis {
            Basis::Free(now) if !worker.is_open(now) => continue,
            Basis::Free(_) if class.best_effort => size::Resources {
                processor: size::Processor::from_milli(worker.unused_processor()),
                ..worker.free()
            },
            Basis::Free(_) => worker.free(),
            Basis::Capacity => worker.listed.capacity,
        };
        if largest.iter().any(|known| known.fits(&room)) {
            continue;
        }
        largest.retain(|known| !room.fits(known));
        largest.push(room);
    }
    largest
}
