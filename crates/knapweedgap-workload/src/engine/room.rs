//! Index of the free capacity of the fleet during one placement pass.

use std::collections::BTreeMap;
use std::time::Instant;

use knapweedgap_core::{id, size};
use smol_str::SmolStr;

use super::Engine;
use super::place::Plan;

/// Service and required label, which decide which workers are eligible for a step.
type Class = (id::Service, Option<SmolStr>);

/// Largest free sizes among the workers that are eligible for a class of steps. No capacity becomes
/// free during a pass, so a size that none of them covers fits no worker until the pass ends.
#[derive(Debug, Default)]
pub(super) struct Room(BTreeMap<Class, Vec<size::Resources>>);

impl Room {
    /// Returns `false` if no worker has room for a task of the step. `true` does not mean that one
    /// has: the index is not updated after a placement.
    pub(super) fn fits(&mut self, engine: &Engine, plan: &Plan, now: Instant) -> bool {
        let largest = self.0.entry(class(plan)).or_insert_with(|| largest_free(engine, plan, now));
        let size = plan.reserved_size();
        largest.iter().any(|free| free.fits(&size))
    }

    /// Discards what is known about the class of a step, because a search has shown that it is
    /// outdated.
    pub(super) fn forget(&mut self, plan: &Plan) {
        self.0.remove(&class(plan));
    }
}

fn class(plan: &Plan) -> Class {
    (plan.service.clone(), plan.step.requires.clone())
}

/// Returns the free sizes of the eligible workers that no other one covers.
fn largest_free(engine: &Engine, plan: &Plan, now: Instant) -> Vec<size::Resources> {
    let mut largest: Vec<size::Resources> = Vec::new();
    for worker in engine.workers.values() {
        if !plan.is_eligible(worker, now) {
            continue;
        }
        let free = worker.free();
        if largest.iter().any(|known| known.fits(&free)) {
            continue;
        }
        largest.retain(|known| !free.fits(known));
        largest.push(free);
    }
    largest
}
