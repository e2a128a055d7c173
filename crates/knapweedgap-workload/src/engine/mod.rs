//! The engine of the workload.

mod advice;
mod commit;
mod fleet;
mod launch;
mod observe;
mod speed;
mod phase;
mod place;
mod request;
mod tick;
mod maintenance;
mod work;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use knapweedgap_core::{id, revision};

use crate::action::{Action, Ticket};
use crate::api::Answer;
use crate::bounds::Bounds;
use crate::configuration::Configuration;
use crate::event::Event;
use crate::{job, pressure, task, worker};

pub use commit::Batch;
pub use tick::TICK;
pub use maintenance::{Progress, Request as MaintenanceRequest};

use fleet::Worker;
use phase::Phase;
use work::Job;

/// Bits of a fencing token that count within one term of an owner; the bits above hold the epoch.
const FENCE_BITS: u32 = 20;

/// The engine. The crate documentation shows how it is driven.
#[derive(Debug)]
pub struct Engine {
    bounds: Bounds,
    epoch: revision::Epoch,
    /// When this term began.
    term_started_at: Instant,
    configuration: Option<Configuration>,
    jobs: BTreeMap<id::Job, Job>,
    closed: BTreeMap<id::Job, commit::Closed>,
    workers: BTreeMap<id::Worker, Worker>,
    /// Tasks on workers that are not listed, from before this term.
    orphans: BTreeMap<id::Worker, Vec<task::Id>>,
    /// Steps that may have tasks to place.
    ready: BTreeSet<task::Step>,
    /// Timed jobs with occurrences to come.
    timed: BTreeSet<id::Job>,
    /// Tasks whose stop must be repeated until their end is reported.
    stopping: BTreeSet<task::Id>,
    advice: BTreeMap<task::Step, advice::Advice>,
    maintenance: maintenance::Maintenance,
    pressure: pressure::Model,
    log: commit::Log,
    /// The store takes commits at the moment.
    store_available: bool,
    /// When the state of the fleet was last noted.
    load_logged_at: Option<Instant>,
    /// Something changed that may let a task be placed.
    place_due: bool,
    actions: Vec<Action>,
}

/// What must wait until the log holds the generation that it belongs to.
#[derive(Debug)]
enum Deferred {
    Answer(Ticket, Answer),
    Start(task::Id, revision::Run),
    Stop(task::Id),
}

impl Engine {
    /// Creates the engine of a term that began at `now`. The records of the log follow by
    /// [`Engine::replay`], then [`Engine::begin`].
    pub fn new(epoch: revision::Epoch, bounds: Bounds, now: Instant) -> Engine {
        Engine {
            bounds,
            epoch,
            term_started_at: now,
            configuration: None,
            jobs: BTreeMap::new(),
            closed: BTreeMap::new(),
            workers: BTreeMap::new(),
            orphans: BTreeMap::new(),
            ready: BTreeSet::new(),
            timed: BTreeSet::new(),
            stopping: BTreeSet::new(),
            advice: BTreeMap::new(),
            maintenance: maintenance::Maintenance::default(),
            pressure: pressure::Model::default(),
            log: commit::Log::default(),
            store_available: true,
            load_logged_at: None,
            place_due: true,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that the inputs since the last call have caused, in order.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Takes in whether the store takes commits. While it does not, new jobs are refused at once.
    pub fn set_store_available(&mut self, store_available: bool) {
        self.store_available = store_available;
    }

    /// Puts a configuration in force. An older version than the one in force is ignored.
    pub fn set_configuration(&mut self, configuration: Configuration) {
        let old = self.configuration.as_ref().map(|old| old.version);
        if old.is_some_and(|old| old >= configuration.version) {
            return;
        }
        let (version, queues) = (configuration.version, configuration.queues.len());
        self.emit(Event::Configuration { version, queues });
        self.configuration = Some(configuration);
        self.place_due = true;
    }

    /// Returns the number of workers that are known.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the version of the configuration in force.
    pub fn configuration_version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Takes in a worker of the platform's list.
    pub fn worker_listed(&mut self, listed: worker::Listed, now: Instant) {
        let id = listed.id.clone();
        let known = self.workers.get(&id).map(|worker| worker.listed.incarnation);
        if known.is_some_and(|known| known > listed.incarnation) {
            return;
        }
        if known.is_some_and(|known| known < listed.incarnation) {
            self.incarnation_ended(&id, listed.incarnation, "new lifetime listed", now);
        }
        match self.workers.get_mut(&id) {
            Some(worker) => {
                let drains = listed.draining && !worker.listed.draining;
                worker.listed = listed;
                worker.is_listed = true;
                worker.is_described = true;
                if drains {
                    self.move_off_draining(&id, now);
                }
            }
            None => self.add_worker(listed, now),
        }
        self.start_polling(&id);
        self.place_due = true;
    }

    /// Has a worker followed, unless it is already.
    fn start_polling(&mut self, id: &id::Worker) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.is_polled {
            worker.is_polled = true;
            self.actions.push(Action::StartPolling(id.clone()));
        }
    }

    /// Takes in that the platform no longer lists a worker. What runs there is kept until the
    /// worker reports or its lease has ended, because the list may be wrong.
    pub fn worker_unlisted(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.is_listed {
            return;
        }
        worker.is_listed = false;
        self.note_state(id, "unlisted", now);
    }

    /// Takes in the whole list of the platform; workers that it lacks are unlisted.
    pub fn workers_listed(&mut self, listed: Vec<worker::Listed>, now: Instant) {
        let ids: BTreeSet<id::Worker> = listed.iter().map(|listed| listed.id.clone()).collect();
        for listed in listed {
            self.worker_listed(listed, now);
        }
        let gone: Vec<id::Worker> =
            self.workers.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        for id in gone {
            self.worker_unlisted(&id, now);
        }
    }

    fn add_worker(&mut self, listed: worker::Listed, now: Instant) {
        let id = listed.id.clone();
        let incarnation = listed.incarnation;
        let lease_expiry = self.term_started_at + self.bounds.predecessor_grant;
        self.workers.insert(id.clone(), Worker::new(listed, self.first_fence(), lease_expiry));
        for task in self.orphans.remove(&id).unwrap_or_default() {
            let assignment = self.jobs.get(&task.step.job).and_then(|job| job.task(task)?.phase.assignment());
            let Some(assignment) = assignment else { continue };
            let (run, same) = (assignment.run, assignment.incarnation == incarnation);
            if !same {
                // The start may have been on its way when the worker started again.
                let fence = self.first_fence();
                let Some(job) = self.jobs.get_mut(&task.step.job) else { continue };
                job.change(task, |task| task.transition(|phase| phase.start_unconfirmed_in(incarnation, fence, now)));
                self.mark_dirty(task.step.job);
            }
            self.reserve(&id, task, run, now);
        }
        self.note_state(&id, "listed", now);
    }

    /// Returns the fencing token with which this term begins at each worker.
    fn first_fence(&self) -> revision::Fence {
        revision::Fence::new(self.epoch.get() << FENCE_BITS)
    }

    /// Ends the life of a worker: nothing that ran there runs any more.
    fn incarnation_ended(
        &mut self,
        id: &id::Worker,
        incarnation: revision::Incarnation,
        state: &'static str,
        now: Instant,
    ) {
        let unsettled = self.unlisted_runs(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        // A late order to the old life may be carried out by the new one until it has seen this.
        let fence = worker.raise_fence();
        for &(task, _) in &unsettled {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.release(task);
            }
            let Some(job) = self.jobs.get_mut(&task.step.job) else { continue };
            job.change(task, |task| task.transition(|phase| phase.start_unconfirmed_in(incarnation, fence, now)));
            self.mark_dirty(task.step.job);
        }
        self.mark_all_lost(id, state, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let mut listed = worker.listed.clone();
        listed.incarnation = incarnation;
        let (is_listed, is_polled) = (worker.is_listed, worker.is_polled);
        // The clock of the new life says nothing of the lease in a late order.
        let lease_expiry = if unsettled.is_empty() { now } else { now + self.bounds.predecessor_grant };
        *worker = Worker::new(listed, fence, lease_expiry);
        worker.is_listed = is_listed;
        worker.is_polled = is_polled;
        worker.is_described = false;
        for (task, run) in unsettled {
            self.reserve(id, task, run, now);
        }
        self.note_state(id, state, now);
    }

    /// Returns the tasks of a worker whose starts were sent and whose runs no report has listed.
    fn unlisted_runs(&self, id: &id::Worker) -> Vec<(task::Id, revision::Run)> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let mut runs = worker.runs();
        runs.retain(|&(id, _)| {
            let task = self.jobs.get(&id.step.job).and_then(|job| job.task(id));
            task.is_some_and(|task| !task.observation.listed && !matches!(task.phase, Phase::Planned(_)))
        });
        runs.retain(|&(task, run)| self.is_assigned(id, task, run));
        runs
    }

    /// Tells whether a run is the one in progress of its task, on this worker.
    fn is_assigned(&self, id: &id::Worker, task: task::Id, run: revision::Run) -> bool {
        let assignment = self.jobs.get(&task.step.job).and_then(|job| job.task(task)?.phase.assignment());
        assignment.is_some_and(|assignment| assignment.worker == *id && assignment.run == run)
    }

    /// Takes all tasks off a worker.
    fn mark_all_lost(&mut self, id: &id::Worker, reason: &'static str, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.surplus_runs.clear();
        for (task, run) in worker.runs() {
            // Another run of a task that was left to itself here may be in progress elsewhere.
            if self.is_assigned(id, task, run) {
                self.mark_lost(task, reason, now);
            }
            if let Some(worker) = self.workers.get_mut(id) {
                worker.release(task);
            }
        }
    }

    /// Takes a task off its worker: its run has ended without a report or never began.
    fn mark_lost(&mut self, id: task::Id, reason: &'static str, now: Instant) {
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let assignment = job.task(id).and_then(|task| task.phase.assignment().cloned());
        let Some(assignment) = assignment else { return };
        job.change(id, |task| {
            task.transition(|phase| phase.into_waiting(now));
            task.observation = work::Observation::default();
        });
        if let Some(worker) = self.workers.get_mut(&assignment.worker) {
            worker.release(id);
        }
        self.emit(Event::Lost { task: id, run: assignment.run, worker: assignment.worker, reason });
        self.task_unassigned(id, now);
    }

    /// Follows up on a task that is no longer on a worker.
    fn task_unassigned(&mut self, id: task::Id, now: Instant) {
        self.stopping.remove(&id);
        self.mark_dirty(id.step.job);
        self.place_due = true;
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        if job.state.is_final() {
            self.close_if_empty(id.step.job, now);
        } else if job.is_ready(id.step) {
            self.ready.insert(id.step);
        }
    }

    /// Enters a run into the books of its worker.
    fn reserve(&mut self, worker: &id::Worker, id: task::Id, run: revision::Run, now: Instant) {
        let job = self.jobs.get(&id.step.job);
        let step = job.and_then(|job| job.spec().steps.get(usize::from(id.step.step)));
        let unknown = job::Step::default();
        let step = step.unwrap_or(&unknown);
        let load = fleet::Load {
            run,
            size: step.size,
            fills: step.fills,
            tail_target: step.tail_target,
            tail: None,
            lasting: step.lasting,
            image: step.image.clone(),
            since: now,
            speed: 100,
        };
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.reserve(id, load);
        }
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Log(event));
    }

    fn note_state(&mut self, id: &id::Worker, state: &'static str, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let (incarnation, contact_age) = (worker.listed.incarnation, worker.report_age(now));
        let worker = id.clone();
        self.emit(Event::Worker { worker, incarnation, state, contact_age });
    }
}
