//! Leases of workers without contact, as far as owners have to pass them on.
//!
//! An owner that has had no contact with a worker can't know when the leases end that earlier
//! owners granted to it. Its bound is the end of a lease that the previous owner may have granted
//! last. That bound would start anew with each owner, so an owner records in the log which workers
//! it grants no leases to, with the end of the leases that they have. It grants them leases again
//! only after the record has been removed from the log.
//!
//! A lease may outlast the bound that the next owner assumes, because the clock of its worker stood
//! still, or because an order for a former incarnation carried it. An owner that learns of such a
//! lease records its end and goes on to grant leases. The record is stored with the placement of the
//! next start at the latest.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision, size};

use super::Engine;
use super::fleet::Worker;
use super::observe::POLL_WAIT;
use crate::action::Action;
use crate::bounds::{ORDER_DELAY, drifted};
use crate::event::Event;
use crate::{lease, record};

/// Time after the first failed call, or after its answer to a poll is overdue, at which an
/// unreachable worker is recorded. A worker whose connections were reset answers again within half a
/// second.
const SILENCE_MIN: Duration = Duration::from_millis(800);
/// Time from the beginning of a term after which an unreachable worker is recorded that has not
/// answered in it. The first poll of a term is answered at once.
const FIRST_SILENCE_MIN: Duration = Duration::from_millis(300);

/// Leases that earlier owners granted, and the record of workers that get none.
#[derive(Debug)]
pub(super) struct Leases {
    handover: lease::Handover,
    withheld: BTreeMap<id::Worker, Withheld>,
    /// The log does not hold the current record.
    pub(super) is_dirty: bool,
    /// Generation of the last batch that contains the record; `None` before the first one.
    recorded_in: Option<u64>,
    /// Log entry that holds the record; `None` before the first one.
    pub(super) entry: Option<revision::Sequence>,
    pub(super) extended: Extended,
}

/// Leases that may outlast those that the next owner assumes.
#[derive(Debug, Default)]
pub(super) struct Extended {
    /// Times by which they have ended.
    ends: BTreeMap<id::Worker, lease::Time>,
    /// The log does not hold the current record.
    pub(super) is_dirty: bool,
    /// Generation of the last batch that contains the record; `None` before the first one.
    recorded_in: Option<u64>,
    /// Log entry that holds the record; `None` before the first one.
    pub(super) entry: Option<revision::Sequence>,
}

impl Extended {
    /// Replaces the record by the one of a log entry.
    pub(super) fn restore(&mut self, extended: Vec<record::Extended>) {
        self.ends = extended.into_iter().map(|record::Extended(id, end)| (id, end)).collect();
    }

    /// Raises the end of the leases of a worker.
    fn raise(&mut self, id: &id::Worker, end: lease::Time) {
        if self.ends.get(id).is_some_and(|&known| known >= end) {
            return;
        }
        self.ends.insert(id.clone(), end);
        self.is_dirty = true;
    }

    /// Returns the record for the batch of `generation`, which fits a value of `value_max`. It
    /// leaves out the leases that end until `assumed_end`, as the next owner assumes of any.
    fn take_record(
        &mut self,
        assumed_end: lease::Time,
        generation: u64,
        value_max: size::Bytes,
    ) -> Vec<record::Extended> {
        self.is_dirty = false;
        self.recorded_in = Some(generation);
        self.ends.retain(|_, end| *end > assumed_end);
        let mut room = value_max.get().saturating_sub(record::FRAME_LEN_MAX);
        let mut record = Vec::with_capacity(self.ends.len());
        for (id, &end) in &self.ends {
            let row = record::Extended(id.clone(), end);
            let Some(rest) = room.checked_sub(record::encoded_size(&row).get()) else { continue };
            room = rest;
            record.push(row);
        }
        record
    }
}

/// Worker to which this owner grants no leases.
#[derive(Debug)]
struct Withheld {
    /// Time by which all leases of the worker have ended.
    end: lease::Time,
    /// `end` is the bound on the leases of earlier owners that this owner took over.
    is_inherited: bool,
    state: State,
}

/// Whether the log holds that a worker gets no leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// No batch contains it yet.
    Unrecorded,
    /// A batch contains it.
    Recorded,
    /// The batch of this generation no longer contains it.
    Removed(u64),
}

impl Leases {
    pub(super) fn new(handover: lease::Handover) -> Leases {
        Leases {
            handover,
            withheld: BTreeMap::new(),
            is_dirty: false,
            recorded_in: None,
            entry: None,
            extended: Extended::default(),
        }
    }

    /// Returns `true` if the log may hold the record that the worker gets no leases.
    pub(super) fn is_withheld(&self, id: &id::Worker) -> bool {
        self.withheld.contains_key(id)
    }

    /// Replaces the record by the one of a log entry.
    pub(super) fn restore(&mut self, withheld: Vec<record::Withheld>) {
        let restored = withheld.into_iter().map(|record::Withheld(id, end)| {
            (id, Withheld { end, is_inherited: false, state: State::Recorded })
        });
        self.withheld = restored.collect();
    }

    /// Returns the record for the batch of `generation`, which fits a value of `value_max`. Without
    /// its row, the next owner assumes a later end of a worker's leases.
    pub(super) fn take_record(
        &mut self,
        generation: u64,
        value_max: size::Bytes,
    ) -> Vec<record::Withheld> {
        let mut room = value_max.get().saturating_sub(record::FRAME_LEN_MAX);
        self.is_dirty = false;
        self.recorded_in = Some(generation);
        let mut record = Vec::with_capacity(self.withheld.len());
        for (id, withheld) in &mut self.withheld {
            if matches!(withheld.state, State::Removed(_)) {
                continue;
            }
            let row = record::Withheld(id.clone(), withheld.end);
            let Some(rest) = room.checked_sub(record::encoded_size(&row).get()) else { continue };
            room = rest;
            withheld.state = State::Recorded;
            record.push(row);
        }
        record
    }

    /// Forgets the workers whose removal from the record is stored. `stored` is the number of
    /// stored generations of the log.
    pub(super) fn forget_removed(&mut self, stored: u64) {
        self.withheld.retain(|_, withheld| match withheld.state {
            State::Unrecorded | State::Recorded => true,
            State::Removed(generation) => generation >= stored,
        });
    }

    /// Removes a worker from the record with the batch of `generation`.
    pub(super) fn remove(&mut self, id: &id::Worker, generation: u64) {
        let Some(withheld) = self.withheld.get_mut(id) else { return };
        match withheld.state {
            State::Removed(_) => {}
            State::Unrecorded => {
                self.withheld.remove(id);
            }
            State::Recorded => {
                withheld.state = State::Removed(generation);
                self.is_dirty = true;
            }
        }
    }

    /// Adds a worker to the record. Returns `false` if it is in the record already.
    fn add(&mut self, id: id::Worker, end: lease::Time, is_inherited: bool) -> bool {
        if let Some(withheld) = self.withheld.get_mut(&id) {
            if !matches!(withheld.state, State::Removed(_)) {
                return false;
            }
            // No lease was granted since the removal, which may not be stored yet, but the clock of
            // the worker may have shown a later end.
            withheld.end = withheld.end.max(end);
            withheld.state = State::Recorded;
            self.is_dirty = true;
            return true;
        }
        let withheld = Withheld { end, is_inherited, state: State::Unrecorded };
        self.withheld.insert(id, withheld);
        self.is_dirty = true;
        true
    }

    /// Adds a worker to the record, or raises the end of its leases there.
    pub(super) fn extend(&mut self, id: id::Worker, end: lease::Time) {
        self.add(id.clone(), end, false);
        let Some(withheld) = self.withheld.get_mut(&id) else { return };
        withheld.is_inherited = false;
        if withheld.end < end {
            withheld.end = end;
            self.is_dirty = true;
        }
    }

    /// Returns the end of the last lease that an earlier owner may have granted to a worker.
    fn inherited_end(&self, id: &id::Worker, lease: Duration) -> lease::Time {
        let end = self.handover.renewals_end.after(drifted(lease) + ORDER_DELAY);
        self.extended.ends.get(id).map_or(end, |&extended| end.max(extended))
    }

    /// Returns when the extended leases of a worker have ended; `None` if the record has none.
    pub(super) fn extended_expiry(&self, id: &id::Worker) -> Option<Instant> {
        self.extended.ends.get(id).map(|&end| self.handover.clock.instant(end))
    }

    /// Returns `true` if a lease may end after those that the next owner assumes of any worker.
    pub(super) fn has_extended(&self, lease: Duration, now: Instant) -> bool {
        let assumed_end = self.assumed_end(lease, now);
        self.extended.ends.values().any(|&end| end > assumed_end)
    }

    /// Returns the end of a lease that is granted at `now`, as the next owner assumes it.
    fn assumed_end(&self, lease: Duration, now: Instant) -> lease::Time {
        self.handover.clock.time(now).after(drifted(lease) + ORDER_DELAY)
    }

    /// Returns the record of the extended leases for the batch of `generation`.
    pub(super) fn take_extended(
        &mut self,
        lease: Duration,
        generation: u64,
        value_max: size::Bytes,
        now: Instant,
    ) -> Vec<record::Extended> {
        let assumed_end = self.assumed_end(lease, now);
        self.extended.take_record(assumed_end, generation, value_max)
    }
}

impl Engine {
    /// Returns when the leases that earlier owners granted to a worker have ended.
    pub(super) fn inherited_expiry(&self, id: &id::Worker) -> Instant {
        let withheld = self.leases.withheld.get(id).map(|withheld| withheld.end);
        let end = withheld.unwrap_or_else(|| self.leases.inherited_end(id, self.bounds.lease));
        self.leases.handover.clock.instant(end)
    }

    /// Lowers the time after which no earlier owner renews a lease, because the previous owner has
    /// shown that its term has ended.
    pub fn renewals_ended(&mut self, renewals_end: lease::Time) {
        if renewals_end >= self.leases.handover.renewals_end {
            return;
        }
        self.leases.handover.renewals_end = renewals_end;
        let lease = self.bounds.lease;
        let inherited = self.leases.withheld.iter().filter(|(_, withheld)| withheld.is_inherited);
        let ends: Vec<(id::Worker, lease::Time)> =
            inherited.map(|(id, _)| (id.clone(), self.leases.inherited_end(id, lease))).collect();
        for (id, end) in ends {
            let Some(withheld) = self.leases.withheld.get_mut(&id) else { continue };
            if end < withheld.end {
                withheld.end = end;
                self.leases.is_dirty = true;
            }
        }
        for (id, worker) in &mut self.workers {
            if worker.is_expiry_inherited {
                let end = self.leases.inherited_end(id, lease);
                let expiry = self.leases.handover.clock.instant(end);
                worker.lease_expiry = worker.lease_expiry.min(expiry);
            }
        }
    }

    /// Records the leases of a worker that has answered if they may outlast those that the next
    /// owner assumes.
    pub(super) fn record_extension(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        if worker.lease_expiry > now + drifted(self.bounds.lease) + ORDER_DELAY {
            let end = self.leases.handover.clock.time_after(worker.lease_expiry);
            self.leases.extended.raise(id, end);
        }
    }

    /// Updates the record of workers that get no leases: adds those with runs and without contact,
    /// and removes those without runs.
    pub(super) fn withhold_leases(&mut self, now: Instant) {
        let generation = self.generation();
        let idle: Vec<id::Worker> =
            self.leases.withheld.keys().filter(|id| self.run_count(id) == 0).cloned().collect();
        for id in idle {
            self.leases.remove(&id, generation);
        }
        // While the store takes no commits, a worker that answers again could get no lease.
        if !self.store_available {
            return;
        }
        let term_started_at = self.term_started_at;
        self.withhold_from(now, "the worker does not answer", |worker| {
            let Some(last_report) = worker.last_report else {
                return worker.is_suspect && now >= term_started_at + FIRST_SILENCE_MIN;
            };
            let silent_since = last_report + POLL_WAIT;
            let since = worker.suspect_since.map_or(silent_since, |at| at.min(silent_since));
            worker.is_suspect && now >= since + SILENCE_MIN
        });
    }

    /// Returns `true` if the log holds the current records of the workers that get no leases and of
    /// those with extended leases.
    pub fn are_leases_stored(&self) -> bool {
        let (leases, extended) = (&self.leases, &self.leases.extended);
        let recorded_in = leases.recorded_in.max(extended.recorded_in);
        let is_stored = |generation: u64| generation < self.log.stored;
        !leases.is_dirty && !extended.is_dirty && recorded_in.is_none_or(is_stored)
    }

    /// Records the leases of all workers without contact, because the term is about to be released.
    /// The caller releases it once [`Engine::are_leases_stored`] returns `true`.
    pub fn prepare_release(&mut self, now: Instant) {
        let reason = "the worker does not answer and the owner releases the workload";
        self.withhold_from(now, reason, |worker| worker.is_suspect);
    }

    /// Adds the workers with runs for which `is_silent` returns `true` to the record.
    fn withhold_from<Silent>(&mut self, now: Instant, reason: &'static str, is_silent: Silent)
    where
        Silent: Fn(&Worker) -> bool,
    {
        for (id, worker) in &self.workers {
            if worker.loads.is_empty() || worker.lease_expired || !is_silent(worker) {
                continue;
            }
            let end = self.leases.handover.clock.time_after(worker.lease_expiry);
            if !self.leases.add(id.clone(), end, worker.is_expiry_inherited) {
                continue;
            }
            let runs = worker.loads.len();
            let remaining = worker.lease_expiry.saturating_duration_since(now);
            let worker = id.clone();
            self.actions.push(Action::Log(Event::Hold { worker, runs, remaining, reason }));
        }
    }

    /// Extends the lease expiry of a worker whose present incarnation may carry out a late start to
    /// a former one, and records it. The lease in that order refers to the clock of the former
    /// incarnation, so the bounds on earlier leases do not cover it.
    pub(super) fn expect_late_start(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.lease_expiry = worker.lease_expiry.max(now + self.bounds.late_start_lease);
        worker.is_expiry_inherited = false;
        let end = self.leases.handover.clock.time_after(worker.lease_expiry);
        self.leases.extend(id.clone(), end);
    }

    fn run_count(&self, id: &id::Worker) -> usize {
        let loads = self.workers.get(id).map_or(0, |worker| worker.loads.len());
        loads + self.orphans.get(id).map_or(0, Vec::len)
    }

    /// Records and logs, once a term, the workers with runs that the first list of the term does
    /// not contain.
    pub(super) fn withhold_from_orphans(&mut self, now: Instant) {
        if std::mem::replace(&mut self.orphans_noted, true) {
            return;
        }
        let orphans: Vec<(id::Worker, usize)> =
            self.orphans.iter().map(|(id, tasks)| (id.clone(), tasks.len())).collect();
        for (worker, runs) in orphans {
            let reason = match self.leases.withheld.get(&worker) {
                Some(_) => "the worker is not listed; an earlier owner recorded its leases",
                None => "the worker is not listed; an earlier owner may have renewed its lease",
            };
            let expiry = self.inherited_expiry(&worker);
            let end = self.leases.handover.clock.time_after(expiry);
            self.leases.add(worker.clone(), end, true);
            let remaining = expiry.saturating_duration_since(now);
            self.emit(Event::Hold { worker, runs, remaining, reason });
        }
    }
}
