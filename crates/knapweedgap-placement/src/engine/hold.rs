//! Room of a worker that is kept for one use until it is large enough.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use crate::engine::Engine;
use crate::job::Priority;
use crate::pack;

/// Time for which the first job without room waits before room is kept for it. Without that, a
/// stream of small tasks could keep a large one waiting for ever.
pub const HOLD_DELAY: Duration = Duration::from_secs(60);
/// Time for which room is kept for a job that waited.
const JOB_HOLD_TIMEOUT: Duration = Duration::from_secs(600);
/// Workers that a search for room to keep looks at.
const EXAMINED_MAX: usize = 64;

/// Room of one worker that other jobs do not receive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// Size that is kept free.
    pub size: size::Resources,
    /// End of the hold.
    pub until: Instant,
    /// Job for which the room is kept; `None` for any urgent job.
    pub job: Option<id::Job>,
}

impl Engine {
    /// Returns the size on a worker that is kept from the job.
    pub(super) fn held_for_others(&self, worker: &id::Worker, job: &id::Job, now: Instant) -> size::Resources {
        match self.holds.get(worker) {
            Some(hold) if now < hold.until && hold.job != Some(*job) => hold.size,
            _ => size::Resources::default(),
        }
    }

    /// Notes the first job without room, and keeps room for it when it has waited long enough.
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
        let schedulable = self
            .workers
            .values()
            .filter(|worker| worker.is_schedulable(now) && !self.holds.contains_key(&worker.spec.id));
        let admitted = schedulable.filter(|worker| {
            let spec = &worker.spec;
            pack::admits_at(&job.spec.constraint, &spec.zone, &spec.rack)
                && worker.available().fits(&need)
        });
        let best = admitted.take(EXAMINED_MAX).max_by_key(|worker| self.free(worker).processor);
        let Some(worker) = best.map(|worker| worker.spec.id.clone()) else { return };
        self.holds.insert(worker, Hold { size: need, until: now + JOB_HOLD_TIMEOUT, job: Some(*id) });
    }

    /// Drops holds that nothing waits for any more.
    pub(super) fn drop_needless_holds(&mut self) {
        let urgent = self.ready.first().is_some_and(|position| position.0 == Priority::Urgent);
        let positions = &self.positions;
        self.holds.retain(|_, hold| hold.job.map_or(urgent, |job| positions.contains_key(&job)));
    }
}
