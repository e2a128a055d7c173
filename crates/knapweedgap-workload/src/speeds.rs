//! Order in which the speeds of a run are sent.
//!
//! Calls on different connections may overtake each other, and a worker keeps the speed that arrives
//! last. So an order waits for the outcome of the one before it.

use std::collections::HashMap;

use knapweedgap_core::revision;

use crate::order::{Speed, Target};
use crate::task;

/// Orders of speed without an outcome.
#[derive(Debug, Default)]
pub struct Speeds {
    /// Runs with an order in flight, each with the order that follows it.
    in_flight: HashMap<(task::Id, revision::Run), Option<(Target, Speed)>>,
}

impl Speeds {
    /// Returns `true` if the order is to be sent now. Otherwise it replaces the one that follows the
    /// order in flight.
    pub fn begin(&mut self, target: &Target, order: &Speed) -> bool {
        let run = (order.task, order.run);
        let Some(next) = self.in_flight.get_mut(&run) else {
            self.in_flight.insert(run, None);
            return true;
        };
        *next = Some((target.clone(), *order));
        false
    }

    /// Handles the outcome of an order. Returns the order of the same run that is to be sent next.
    pub fn finish(&mut self, order: &Speed) -> Option<(Target, Speed)> {
        let run = (order.task, order.run);
        let next = self.in_flight.get_mut(&run)?.take();
        if next.is_none() {
            self.in_flight.remove(&run);
        }
        next
    }
}
