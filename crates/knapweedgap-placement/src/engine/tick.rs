//! Work that becomes due with time.

use std::time::{Duration, Instant};

use knapweedgap_core::id;

use crate::engine::Engine;
use crate::log::Record;
use crate::task::Cause;

/// Wait before the ends of attempts on a lost worker are recorded again, in case the commit
/// failed.
const LOST_AGAIN: Duration = Duration::from_secs(1);
/// Finished jobs that one record drops.
const FORGET_MAX: usize = 256;

impl Engine {
    /// Does what is due. Call it at the time that [`Engine::next_wake`] returns; a later or an
    /// additional call does no harm.
    pub fn tick(&mut self, now: Instant) {
        self.end_lost(now);
        self.release_quarantined(now);
        self.forget_old(now);
        self.release_holds(now);
        self.place(now);
        self.flush(now);
    }

    /// Ends the attempts on workers whose latest possible lease has ended.
    fn end_lost(&mut self, now: Instant) {
        while let Some((at, worker)) = self.deadlines.first().cloned() {
            if at > now {
                return;
            }
            self.clear_deadline(&worker);
            let placing = self.batch.placing.contains_key(&worker);
            let attempts = self.attempts_on(&worker);
            if placing || !attempts.is_empty() {
                self.set_deadline(&worker, now + LOST_AGAIN);
            }
            if let Some(known) = self.workers.get_mut(&worker) {
                known.unreachable = true;
            }
            self.refresh_worker(&worker);
            for task in attempts {
                self.end_attempt(task, Cause::Lost, None, now);
            }
        }
    }

    fn release_quarantined(&mut self, now: Instant) {
        while let Some((at, id)) = self.releases.first().cloned() {
            if at > now {
                return;
            }
            self.releases.remove(&(at, id.clone()));
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            if worker.quarantined.is_none_or(|until| until > now) {
                continue;
            }
            worker.quarantined = None;
            self.refresh_worker(&id);
            self.place_soon(now);
        }
    }

    fn release_holds(&mut self, now: Instant) {
        let before = self.holds.len();
        self.holds.retain(|_, hold| hold.until > now);
        if self.holds.len() < before {
            self.place_soon(now);
        }
    }

    /// Notes when jobs finished. After a replay, the retention of the kept jobs starts again.
    pub(super) fn note_closed(&mut self, now: Instant) {
        let new = self.state.close_order().range(self.closed_seen..);
        let orders: Vec<u64> = new.map(|(order, _)| *order).collect();
        for order in orders {
            self.closed_at.push_back((now, order));
            self.closed_seen = order + 1;
        }
    }

    pub(super) fn retention_due(&self) -> Option<Instant> {
        if self.batch.forgetting {
            return None;
        }
        let (at, _) = self.closed_at.front()?;
        if self.closed_at.len() > self.settings.retained_max {
            return Some(*at);
        }
        Some(*at + self.settings.retention)
    }

    fn forget_old(&mut self, now: Instant) {
        self.drop_forgotten();
        let mut jobs: Vec<id::Job> = Vec::new();
        if self.batch.forgetting {
            return;
        }
        let excess = self.closed_at.len().saturating_sub(self.settings.retained_max);
        for (position, (at, order)) in self.closed_at.iter().take(FORGET_MAX).enumerate() {
            let expired = now >= *at + self.settings.retention;
            if !expired && position >= excess {
                break;
            }
            jobs.extend(self.state.close_order().get(order));
        }
        if !jobs.is_empty() {
            self.batch.push(Record::JobsForgotten { jobs }, now);
        }
    }

    /// Drops the times of jobs that a committed record dropped.
    pub(super) fn drop_forgotten(&mut self) {
        while let Some((_, order)) = self.closed_at.front() {
            if self.state.close_order().contains_key(order) {
                return;
            }
            self.closed_at.pop_front();
        }
    }
}
