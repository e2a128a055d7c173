//! Work that becomes due at a time.

use std::time::{Duration, Instant};

use knapweedgap_core::id;

use crate::engine::Engine;
use crate::log::Record;
use crate::task::Cause;

/// Interval at which the ends of attempts on a lost worker are recorded again, in case the commit
/// failed.
const LOST_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Most finished jobs that one record drops.
const DROPPED_JOBS_MAX: usize = 256;

impl Engine {
    /// Does the work that is due. Call it at the time that [`Engine::next_wake`] returns; late or
    /// additional calls are allowed.
    pub fn tick(&mut self, now: Instant) {
        self.end_lost_attempts(now);
        self.release_quarantined(now);
        self.drop_expired_jobs(now);
        self.expire_holds(now);
        self.place(now);
        self.flush(now);
    }

    /// Ends the attempts on workers whose latest possible lease has ended.
    fn end_lost_attempts(&mut self, now: Instant) {
        while let Some((at, worker)) = self.deadlines.first().cloned() {
            if at > now {
                return;
            }
            self.clear_deadline(&worker);
            let placing = self.batch.placing.contains_key(&worker);
            let attempts = self.attempts_on(&worker);
            if placing || !attempts.is_empty() {
                self.set_deadline(&worker, now + LOST_RETRY_INTERVAL);
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
        while let Some((at, id)) = self.quarantine_ends.first().cloned() {
            if at > now {
                return;
            }
            self.quarantine_ends.remove(&(at, id.clone()));
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            if worker.quarantined.is_none_or(|until| until > now) {
                continue;
            }
            worker.quarantined = None;
            self.refresh_worker(&id);
            self.schedule_placement(now);
        }
    }

    fn expire_holds(&mut self, now: Instant) {
        let before = self.holds.len();
        self.holds.retain(|_, hold| hold.until > now);
        if self.holds.len() < before {
            self.schedule_placement(now);
        }
    }

    /// Records when jobs finished. After a replay, the retention of finished jobs starts again.
    pub(super) fn record_close_times(&mut self, now: Instant) {
        let new = self.state.close_order().range(self.next_close_order..);
        let orders: Vec<u64> = new.map(|(order, _)| *order).collect();
        for order in orders {
            self.close_times.push_back((now, order));
            self.next_close_order = order + 1;
        }
    }

    pub(super) fn retention_due(&self) -> Option<Instant> {
        if self.batch.dropping_jobs {
            return None;
        }
        let (at, _) = self.close_times.front()?;
        if self.close_times.len() > self.settings.retained_max {
            return Some(*at);
        }
        Some(*at + self.settings.retention)
    }

    fn drop_expired_jobs(&mut self, now: Instant) {
        self.drop_close_times();
        let mut jobs: Vec<id::Job> = Vec::new();
        if self.batch.dropping_jobs {
            return;
        }
        let excess = self.close_times.len().saturating_sub(self.settings.retained_max);
        for (position, (at, order)) in self.close_times.iter().take(DROPPED_JOBS_MAX).enumerate() {
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

    /// Drops the finish times of jobs that a committed record dropped.
    pub(super) fn drop_close_times(&mut self) {
        while let Some((_, order)) = self.close_times.front() {
            if self.state.close_order().contains_key(order) {
                return;
            }
            self.close_times.pop_front();
        }
    }
}
