//! The engine of one owned partition.

mod batch;
mod commit;
mod evict;
mod explain;
mod hold;
mod observe;
mod place;
mod submit;
mod tick;
mod view;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use knapweedgap_core::{id, revision, size};

use crate::command::Action;
use crate::settings::Settings;
use crate::state::State;
use crate::worker::{self, Worker};
use crate::{contribution, interference, job, lease, log, pack, replay, usage};

pub use submit::{Receipt, Refusal};
pub use view::{Counts, Phase, Status};

/// Ownership of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Owner {
    pub partition: id::Partition,
    /// Sent with every heartbeat and command, so that workers refuse an earlier owner.
    pub epoch: revision::Epoch,
}

/// Position of a job in the order of placement: by priority, then by submission.
type Position = (job::Priority, u64, id::Job);

/// The engine of one owned partition. The crate documentation shows how to drive it.
#[derive(Debug)]
pub struct Engine {
    owner: Owner,
    settings: Settings,
    state: State,
    sequence: revision::Sequence,
    checkpointed: revision::Sequence,
    takeover: Instant,
    validated: Option<Instant>,
    workers: BTreeMap<id::Worker, Worker>,
    vm_list_known: bool,
    index: pack::Index,
    ready: BTreeSet<Position>,
    positions: BTreeMap<id::Job, Position>,
    cursor: Option<Position>,
    evict_cursor: Option<id::Worker>,
    place_at: Option<Instant>,
    paused: bool,
    recheck: bool,
    holds: BTreeMap<id::Worker, hold::Hold>,
    blocked: Option<(id::Job, Instant)>,
    deadlines: BTreeSet<(Instant, id::Worker)>,
    deadline_of: BTreeMap<id::Worker, Instant>,
    quarantine_ends: BTreeSet<(Instant, id::Worker)>,
    close_times: VecDeque<(Instant, u64)>,
    next_close_order: u64,
    batch: batch::Batch,
    interference: interference::Model,
    contribution: contribution::Model,
    usage: usage::Model,
    throttled: BTreeSet<id::Task>,
    actions: Vec<Action>,
}

impl Engine {
    /// Creates the engine of a partition without a log.
    pub fn new(owner: Owner, settings: Settings, now: Instant) -> Engine {
        Engine::with_state(owner, settings, State::default(), revision::Sequence::default(), now)
    }

    /// Rebuilds the engine of a partition from its checkpoint and the entries after it.
    ///
    /// Skips entries that the checkpoint contains.
    ///
    /// # Errors
    /// Returns the entry and the record that contradict the state, an unknown format version or a
    /// gap in the sequence.
    pub fn replay(
        owner: Owner,
        settings: Settings,
        checkpoint: Option<log::Checkpoint>,
        entries: &[log::Entry],
        now: Instant,
    ) -> Result<Engine, replay::Error> {
        let (state, sequence) = replay::rebuild(checkpoint, entries)?;
        Ok(Engine::with_state(owner, settings, state, sequence, now))
    }

    fn with_state(
        owner: Owner,
        settings: Settings,
        state: State,
        sequence: revision::Sequence,
        now: Instant,
    ) -> Engine {
        let mut engine = Engine {
            owner,
            settings,
            sequence,
            checkpointed: sequence,
            takeover: now,
            validated: Some(now),
            workers: BTreeMap::new(),
            vm_list_known: false,
            index: pack::Index::default(),
            ready: BTreeSet::new(),
            positions: BTreeMap::new(),
            cursor: None,
            evict_cursor: None,
            place_at: None,
            paused: false,
            recheck: false,
            holds: BTreeMap::new(),
            blocked: None,
            deadlines: BTreeSet::new(),
            deadline_of: BTreeMap::new(),
            quarantine_ends: BTreeSet::new(),
            close_times: VecDeque::new(),
            next_close_order: 0,
            batch: batch::Batch::new(),
            interference: interference::Model::default(),
            contribution: contribution::Model::default(),
            usage: usage::Model::default(),
            throttled: BTreeSet::new(),
            actions: Vec::new(),
            state,
        };
        engine.record_close_times(now);
        engine.rebuild_ready();
        let assigned: Vec<id::Worker> = engine.state.assigned_workers().cloned().collect();
        for worker in assigned {
            engine.set_deadline(&worker, lease::latest_end_after_takeover(now));
        }
        engine
    }

    /// Returns and clears the actions that the inputs since the last call caused, in order.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the time at which [`Engine::tick`] must be called next, or `None` if nothing is due
    /// before the next input.
    pub fn next_wake(&self) -> Option<Instant> {
        let lease_end = self.deadlines.first().map(|(at, _)| *at);
        let quarantine_end = self.quarantine_ends.first().map(|(at, _)| *at);
        let retention_end = self.retention_due();
        let hold_end = self.holds.values().map(|hold| hold.until).min();
        let due =
            [self.batch.due(), self.place_at, lease_end, quarantine_end, retention_end, hold_end];
        due.into_iter().flatten().min()
    }

    /// Sets the workers of the partition from the VM list.
    ///
    /// A worker that is no longer listed receives no new tasks. Its attempts end only with a
    /// report or with its lease, because the list may be wrong.
    pub fn set_workers(&mut self, specs: Vec<worker::Spec>, now: Instant) {
        self.vm_list_known = true;
        let listed: BTreeSet<id::Worker> = specs.iter().map(|spec| spec.id.clone()).collect();
        for spec in specs {
            let id = spec.id.clone();
            match self.workers.get_mut(&id) {
                Some(worker) if worker.spec == spec && !worker.unlisted => continue,
                Some(worker) => {
                    worker.spec = spec;
                    worker.unlisted = false;
                }
                None => {
                    let mut worker = Worker::new(spec);
                    let health = self.state.health(&id).filter(|health| health.level > 0);
                    worker.quarantined = health.map(|health| now + health.duration());
                    if let Some(until) = worker.quarantined {
                        self.quarantine_ends.insert((until, id.clone()));
                    }
                    self.workers.insert(id.clone(), worker);
                }
            }
            self.refresh_worker(&id);
            self.reclaim_capacity(&id, now);
        }
        let unlisted: Vec<id::Worker> =
            self.workers.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in unlisted {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.unlisted = true;
            }
            self.refresh_worker(&id);
            if self.state.attempts(&id).is_none() && !self.batch.placing.contains_key(&id) {
                self.workers.remove(&id);
                self.interference.remove(&id);
                self.contribution.remove(&id);
            }
        }
        self.schedule_placement(now);
    }

    /// Replaces the settings and schedules a placement pass.
    pub fn set_settings(&mut self, settings: Settings, now: Instant) {
        self.settings = settings;
        self.schedule_placement(now);
    }

    /// Records that a check sent at `sent` confirmed the ownership. Leases may be renewed for 20 s
    /// from `sent`. A time before the last recorded one has no effect.
    pub fn ownership_validated(&mut self, sent: Instant) {
        self.validated = Some(self.validated.map_or(sent, |last| last.max(sent)));
    }

    /// Returns `true` if the ownership was validated recently enough to renew leases.
    fn may_renew(&self, now: Instant) -> bool {
        self.validated
            .is_some_and(|at| now.saturating_duration_since(at) <= lease::OWNERSHIP_VALIDITY)
    }

    /// Returns the free capacity of a worker, less uncommitted placements.
    fn free(&self, worker: &Worker) -> size::Resources {
        let id = &worker.spec.id;
        let placing = self.batch.placing.get(id).copied().unwrap_or_default();
        worker.available() - (self.state.committed(id) + placing)
    }

    /// Inserts a worker into the index, or removes it if it cannot receive tasks for a reason other
    /// than the age of its last report.
    fn refresh_worker(&mut self, id: &id::Worker) {
        let Some(worker) = self.workers.get(id) else {
            self.index.remove(id);
            return;
        };
        let excluded = worker.unlisted || worker.spec.leaving || worker.quarantined.is_some();
        if excluded || worker.contact.is_none() || worker.unreachable {
            self.index.remove(id);
            return;
        }
        let free = self.free(worker);
        self.index.insert(id, &worker.spec.zone, &worker.spec.rack, &free);
    }

    /// Sets the time at which the attempts on a worker count as lost unless it reports earlier.
    fn set_deadline(&mut self, worker: &id::Worker, at: Instant) {
        if let Some(old) = self.deadline_of.insert(worker.clone(), at) {
            self.deadlines.remove(&(old, worker.clone()));
        }
        self.deadlines.insert((at, worker.clone()));
    }

    fn clear_deadline(&mut self, worker: &id::Worker) {
        if let Some(old) = self.deadline_of.remove(worker) {
            self.deadlines.remove(&(old, worker.clone()));
        }
    }

    /// Returns the latest end of any lease of a worker.
    fn latest_end(&self, worker: &id::Worker) -> Instant {
        let contact = self.workers.get(worker).and_then(|worker| worker.contact.as_ref());
        match contact {
            Some(contact) => lease::latest_end(contact.at),
            None => lease::latest_end_after_takeover(self.takeover),
        }
    }

    fn schedule_placement(&mut self, now: Instant) {
        self.place_at = Some(self.place_at.map_or(now, |at| at.min(now)));
        self.recheck |= self.cursor.is_some();
    }
}
