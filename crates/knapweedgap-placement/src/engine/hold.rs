//! Holds: capacity of a worker that is withheld from other jobs until it suffices for a task.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use crate::engine::Engine;
use crate::job::Priority;
use crate::pack;

/// Time that the first blocked job waits before capacity is held for it. Without a hold, a stream
/// of small tasks could starve a large one.
pub const HOLD_DELAY: Duration = Duration::from_secs(60);
/// Time after which a hold for a blocked job ends.
const JOB_HOLD_TIMEOUT: Duration = Duration::from_secs(600);
/// Workers that one search for capacity to hold examines.
const EXAMINED_MAX: usize = 64;

/// Capacity of one worker that is withheld from other jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Withheld capacity.
    pub size: size::Resources,
    /// Time at which the hold ends.
    pub until: Instant,
    /// Job that may use the capacity; `None` for any urgent job.
    pub job: Option<id::Job>,
}

impl Engine {
    /// Returns the capacity of a worker that is withheld from the job.
    pub(super) fn held_for_others(
        &self,
        worker: &id::Worker,
        job: &id::Job,
        now: Instant,
    ) -> size::Resources {
        match self.holds.get(worker) {
            Some(hold) if now < hold.until && hold.job != Some(*job) => hold.size,
            _ => size::Resources::default(),
        }
    }

    /// Tracks the first blocked job, and holds capacity for it after [`HOLD_DELAY`].
    pub(super) fn track_blocked(&mut self, id: &id::Job, now: Instant) {
        let since = match self.blocked {
            Some((blocked, since)) if blocked == *id => since,
            _ => {
                self.blocked = Some((*id, now));
                return;
            }
        };
        let held_for_job = self.holds.values().any(|hold| hold.job.is_some());
        if held_for_job || now < since + HOLD_DELAY {
            return;
        }
        let Some(job) = self.state.job(id) else { return };
        let need = job.spec.size;
        let schedulable = self.workers.values().filter(|worker| {
            worker.is_schedulable(now) && !self.holds.contains_key(&worker.spec.id)
        });
        let admitted = schedulable.filter(|worker| {
            let spec = &worker.spec;
            pack::admits_at(&job.spec.constraint, &spec.zone, &spec.rack)
                && worker.available().fits(&need)
        });
        let best = admitted.take(EXAMINED_MAX).max_by_key(|worker| self.free(worker).processor);
        let Some(worker) = best.map(|worker| worker.spec.id.clone()) else { return };
        self.holds
            .insert(worker, Hold { size: need, until: now + JOB_HOLD_TIMEOUT, job: Some(*id) });
    }

    /// Drops holds for which no task waits.
    pub(super) fn drop_unneeded_holds(&mut self) {
        let urgent = self.ready.first().is_some_and(|position| position.0 == Priority::Urgent);
        let positions = &self.positions;
        self.holds.retain(|_, hold| hold.job.map_or(urgent, |job| positions.contains_key(&job)));
    }
}
