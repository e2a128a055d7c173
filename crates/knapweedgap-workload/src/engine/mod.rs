//! Engine of the workload: admission, placement, leases and recovery of jobs, without I/O.

mod advice;
mod commit;
mod eviction;
mod evidence;
mod fleet;
mod idle;
mod launch;
mod leases;
mod losses;
mod maintenance;
mod observe;
mod overdue;
mod paced;
mod phase;
mod place;
mod request;
mod reservation;
mod room;
mod rotation;
mod search;
mod speed;
mod standing;
mod suspicion;
mod tick;
mod withdrawals;
mod work;
mod zones;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision, size};
use smol_str::SmolStr;

use crate::action::{Action, Ticket};
use crate::admission::Load;
use crate::api::Answer;
use crate::bounds::Bounds;
use crate::configuration::Configuration;
use crate::event::Event;
use crate::history::Change;
use crate::observer::Observer;
use crate::{evacuation, interference, job, lease, loss, task, worker};

pub use commit::Batch;
pub use maintenance::{Progress, Request as MaintenanceRequest};
pub use tick::TICK;
pub use withdrawals::WITHDRAWALS_MAX;

use evidence::{Evidence, Verdict};
use fleet::Worker;
use leases::Leases;
use losses::Losses;
use phase::Phase;
use work::Job;

/// Number of low bits of a fencing token that count within one term. The higher bits contain the
/// epoch.
const FENCE_BITS: u32 = 20;

/// State of the workload during one term of its owner. The crate documentation shows how to drive
/// it.
#[derive(Debug)]
pub struct Engine {
    bounds: Bounds,
    epoch: revision::Epoch,
    term_started_at: Instant,
    configuration: Option<Configuration>,
    jobs: BTreeMap<id::Job, Job>,
    closed: BTreeMap<id::Job, commit::Closed>,
    withdrawals: withdrawals::Withdrawals,
    workers: BTreeMap<id::Worker, Worker>,
    /// Fencing token that a newly listed worker starts with. A worker that was forgotten may have
    /// seen it.
    least_fence: revision::Fence,
    leases: Leases,
    /// All changes of the list of workers up to this time have been applied; `None` before the list
    /// was first read.
    list_confirmed_at: Option<Instant>,
    /// The list of workers was too old at the last check.
    is_list_outdated: bool,
    /// Zones that operators evacuate.
    zones: evacuation::Zones,
    /// Tasks placed before this term on workers that have not been listed since.
    orphans: BTreeMap<id::Worker, Vec<task::Id>>,
    /// The orphans of the first list of workers have been recorded and logged.
    orphans_noted: bool,
    /// Steps whose dependencies are done and that may have waiting tasks.
    ready: BTreeSet<task::Step>,
    /// Timed jobs with occurrences that have not begun.
    timed: BTreeSet<id::Job>,
    /// Tasks whose stop is repeated until a report lists their end.
    stopping: BTreeSet<task::Id>,
    advice: advice::Advice,
    maintenance: maintenance::Maintenance,
    interference: interference::Model,
    log: commit::Log,
    /// The store accepts commits. While it does not, new jobs are refused.
    store_available: bool,
    observer: Observer,
    /// When the state of the fleet was last logged.
    load_logged_at: Option<Instant>,
    /// A change since the last placement pass may let a waiting task be placed.
    place_due: bool,
    /// The number of attempts that a queue allows may have changed since the last tick.
    attempts_due: bool,
    /// Steps that placement passes try in turn.
    rotation: rotation::Rotation,
    searches: search::Searches,
    reservations: reservation::Reservations,
    /// Largest processors and largest memory of a worker at the last placement pass.
    largest_worker: size::Resources,
    idle: idle::Idle,
    standing: standing::Standing,
    /// Load of each queue to which a job was submitted since the last tick, with what was accepted
    /// since.
    loads: BTreeMap<SmolStr, Load>,
    /// Searches for another worker for a slow run since the last tick.
    eviction_searches: u32,
    /// Passes over the fleet for a worker since the load was last logged.
    search_count: u64,
    /// Tasks placed since the load was last logged.
    placed_count: u64,
    losses: Losses,
    overdue: overdue::Overdue,
    suspicion: suspicion::Services,
    actions: Vec<Action>,
}

/// Effect that is deferred until the log generation that it belongs to is stored.
#[derive(Debug)]
enum Deferred {
    Answer(Ticket, Answer),
    Start(task::Id, revision::Run),
    Stop(task::Id),
}

impl Engine {
    /// Creates the engine of a term that starts at `now`. The caller then passes the log entries to
    /// [`Engine::replay`] and calls [`Engine::begin`].
    pub fn new(
        epoch: revision::Epoch,
        bounds: Bounds,
        handover: lease::Handover,
        now: Instant,
    ) -> Engine {
        Engine {
            bounds,
            epoch,
            term_started_at: now,
            configuration: None,
            jobs: BTreeMap::new(),
            closed: BTreeMap::new(),
            withdrawals: withdrawals::Withdrawals::default(),
            workers: BTreeMap::new(),
            least_fence: revision::Fence::default(),
            leases: Leases::new(handover),
            list_confirmed_at: None,
            is_list_outdated: true,
            zones: evacuation::Zones::default(),
            orphans: BTreeMap::new(),
            orphans_noted: false,
            ready: BTreeSet::new(),
            timed: BTreeSet::new(),
            stopping: BTreeSet::new(),
            advice: advice::Advice::default(),
            maintenance: maintenance::Maintenance::default(),
            interference: interference::Model::default(),
            log: commit::Log::default(),
            store_available: true,
            observer: Observer::default(),
            load_logged_at: None,
            place_due: true,
            attempts_due: false,
            rotation: rotation::Rotation::default(),
            searches: search::Searches::default(),
            reservations: reservation::Reservations::default(),
            largest_worker: size::Resources::default(),
            idle: idle::Idle::default(),
            standing: standing::Standing::default(),
            loads: BTreeMap::new(),
            eviction_searches: 0,
            search_count: 0,
            placed_count: 0,
            losses: Losses::default(),
            overdue: overdue::Overdue::default(),
            suspicion: suspicion::Services::default(),
            actions: Vec::new(),
        }
    }

    /// Returns and clears the pending actions, in the order in which the caller must perform them.
    pub fn actions(&mut self) -> Vec<Action> {
        self.log_losses();
        std::mem::take(&mut self.actions)
    }

    /// Sets whether the store accepts commits. While it does not, new jobs are refused at once.
    pub fn set_store_available(&mut self, store_available: bool) {
        self.store_available = store_available;
    }

    /// Records how late this owner is: its timers, or all answers on its link. While it is delayed,
    /// the silence of workers proves nothing.
    pub fn record_delay(&mut self, delay: Duration, now: Instant) {
        if self.observer.record(delay, now) {
            self.emit(Event::Delay { delayed: self.observer.is_delayed(), delay });
        }
    }

    /// Applies a configuration unless its version is not newer than the applied one.
    pub fn set_configuration(&mut self, configuration: Configuration) {
        let old = self.configuration.as_ref().map(|old| old.version);
        if old.is_some_and(|old| old >= configuration.version) {
            return;
        }
        let (version, queues) = (configuration.version, configuration.queues.len());
        self.emit(Event::Configuration { version, queues });
        self.configuration = Some(configuration);
        self.loads.clear();
        self.attempts_due = true;
        self.place_due = true;
    }

    /// Returns the number of workers that the engine tracks, including unlisted ones with an
    /// unexpired lease or with tasks.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the version of the applied configuration; `None` before the first one.
    pub fn configuration_version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|configuration| configuration.version)
    }

    /// Returns `true` if new tasks may be placed on a worker.
    pub fn has_open_worker(&self, now: Instant) -> bool {
        self.workers.values().any(|worker| worker.is_open(now))
    }

    /// Notes that the list of workers has all changes up to `at`.
    pub fn list_confirmed(&mut self, at: Instant) {
        self.list_confirmed_at = self.list_confirmed_at.max(Some(at));
    }

    /// Returns the age of the list of workers; [`Duration::MAX`] before it was first read.
    pub fn list_age(&self, now: Instant) -> Duration {
        let confirmed_at = self.list_confirmed_at;
        confirmed_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Returns `true` if workers that leave may be missing from the list, and logs each change.
    fn check_list(&mut self, now: Instant) -> bool {
        let age = self.list_age(now);
        let is_outdated = age > self.bounds.list_age_max();
        if is_outdated != self.is_list_outdated {
            self.is_list_outdated = is_outdated;
            self.place_due |= !is_outdated;
            self.emit(Event::List { is_outdated, age });
        }
        is_outdated
    }

    /// Handles a worker in the list of the platform. An entry of another incarnation than the known
    /// one is used once the worker has answered as that incarnation.
    pub fn worker_listed(&mut self, listed: worker::Listed, now: Instant) {
        let id = listed.id.clone();
        let known = self.workers.get(&id).map(|worker| worker.listed.incarnation);
        if known.is_some_and(|known| known != listed.incarnation) {
            self.incarnation_listed(listed, now);
            return;
        }
        match self.workers.get_mut(&id) {
            Some(worker) => {
                let starts_draining = listed.draining && !worker.listed.draining;
                let draining = listed.draining || worker.has_reported_drain;
                worker.listed = worker::Listed { draining, ..listed };
                worker.is_listed = true;
                worker.is_described = true;
                worker.is_changed = true;
                if starts_draining {
                    self.note_state(&id, "listed as draining", now);
                    self.stop_for_drain(&id, now);
                }
            }
            None => self.add_worker(listed, now),
        }
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.note_slowness(now);
        }
        self.refresh_zone(&id);
        self.start_polling(&id);
        self.place_due = true;
    }

    /// Handles an entry of another incarnation than the known one.
    fn incarnation_listed(&mut self, listed: worker::Listed, now: Instant) {
        let id = listed.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if let Some(known) = &mut worker.announced {
            // The time for which the worker remains slow passes from entry to entry.
            let slow_for = listed.slow_for;
            if (worker::Listed { slow_for, ..known.listed.clone() }) == listed {
                // Counted from when the first entry was read.
                let read_for = now.saturating_duration_since(known.at);
                known.listed.slow_for =
                    if slow_for.is_zero() { slow_for } else { slow_for.saturating_add(read_for) };
                return;
            }
        }
        let is_later = worker.listed.incarnation < listed.incarnation;
        worker.announced = Some(fleet::Announced { listed, at: now });
        if !is_later {
            // Mostly an outdated copy of the list. The next regular poll shows whether it is not.
            return;
        }
        self.note_state(&id, "another incarnation listed", now);
        if !self.unlisted_runs(&id).is_empty() {
            self.expect_late_start(&id, now);
        }
        self.judge(&id, Evidence::OtherIncarnationListed, now);
    }

    /// Asks the caller to poll a worker in a loop, unless it already does.
    fn start_polling(&mut self, id: &id::Worker) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.is_polled {
            worker.is_polled = true;
            self.actions.push(Action::StartPolling(id.clone()));
        }
    }

    /// Handles the removal of a worker from the list of the platform. Its tasks stay assigned until
    /// a report or the expiry of its lease shows their end, because the list may be wrong.
    pub fn worker_unlisted(&mut self, id: &id::Worker, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.is_listed {
            return;
        }
        worker.is_listed = false;
        worker.announced = None;
        self.note_state(id, "unlisted", now);
        self.judge(id, Evidence::Unlisted, now);
    }

    /// Draws the consequences of an observation of a worker.
    fn judge(&mut self, id: &id::Worker, evidence: Evidence, now: Instant) {
        match evidence.verdict() {
            Verdict::Ended(cause) => self.mark_all_lost(id, cause, now),
            Verdict::Suspect => self.mark_suspect(id, now),
            Verdict::Ask => {
                self.start_polling(id);
                self.actions.push(Action::Poll(id.clone()));
            }
            Verdict::Keep => {}
        }
    }

    /// Handles the complete list of the platform. Known workers that are not in it become unlisted.
    pub fn workers_listed(&mut self, listed: Vec<worker::Listed>, now: Instant) {
        let ids: BTreeSet<id::Worker> = listed.iter().map(|listed| listed.id.clone()).collect();
        for listed in listed {
            self.worker_listed(listed, now);
        }
        let unlisted: Vec<id::Worker> =
            self.workers.keys().filter(|id| !ids.contains(*id)).cloned().collect();
        for id in unlisted {
            self.worker_unlisted(&id, now);
        }
        self.withhold_from_orphans(now);
    }

    fn add_worker(&mut self, listed: worker::Listed, now: Instant) {
        let id = listed.id.clone();
        let (incarnation, draining) = (listed.incarnation, listed.draining);
        let fence = self.first_fence().max(self.least_fence);
        let mut worker = Worker::new(listed, fence, self.inherited_expiry(&id));
        worker.is_expiry_inherited = true;
        self.workers.insert(id.clone(), worker);
        for task in self.orphans.remove(&id).unwrap_or_default() {
            let Some(assignment) = self.assignment(task) else { continue };
            let (run, same) = (assignment.run, assignment.incarnation == incarnation);
            if !same {
                // The start may have been in transit when the worker restarted.
                let fence = self.first_fence();
                let Some(job) = self.jobs.get_mut(&task.step.job) else { continue };
                job.change(task, |task| {
                    task.transition(|phase| phase.start_unconfirmed_in(incarnation, fence, now))
                });
                self.mark_dirty(task.step.job);
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.is_successor = true;
                }
                self.expect_late_start(&id, now);
            }
            self.reserve(&id, task, run, now);
            self.forget_speed(&id, task);
        }
        self.note_state(&id, "listed", now);
        if draining {
            self.stop_for_drain(&id, now);
        }
    }

    /// Returns the lowest fencing token of this term, which each worker starts with.
    fn first_fence(&self) -> revision::Fence {
        revision::Fence::new(self.epoch.get() << FENCE_BITS)
    }

    /// Replaces the incarnation of a worker, which has sent `report`. All runs of the former one
    /// have ended, except that a start which no report has confirmed may be carried out by the new
    /// one, and that runs in the report are runs of the new one. A worker whose clock was set may
    /// name another incarnation without a restart.
    fn incarnation_ended(
        &mut self,
        id: &id::Worker,
        incarnation: revision::Incarnation,
        report: &worker::Report,
        now: Instant,
    ) {
        let evidence = Evidence::OtherIncarnationAnswered(incarnation);
        let unconfirmed = self.unconfirmed_runs(id, report);
        let Some(worker) = self.workers.get_mut(id) else { return };
        // The new incarnation may carry out a late order to the former one until it has seen this
        // fencing token.
        let fence = worker.raise_fence();
        for &(task, _) in &unconfirmed {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.release(task);
            }
            let Some(job) = self.jobs.get_mut(&task.step.job) else { continue };
            job.change(task, |task| {
                task.transition(|phase| phase.start_unconfirmed_in(incarnation, fence, now))
            });
            self.mark_dirty(task.step.job);
        }
        self.judge(id, evidence, now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let announced = worker.announced.take();
        let announced = announced.filter(|known| known.listed.incarnation == incarnation);
        let is_described = announced.is_some();
        let read_at = announced.as_ref().map_or(now, |announced| announced.at);
        let listed = announced.map_or_else(
            || worker::Listed { incarnation, slow_for: Duration::ZERO, ..worker.listed.clone() },
            |announced| announced.listed,
        );
        let (is_listed, is_polled) = (worker.is_listed, worker.is_polled);
        *worker = Worker::new(listed, fence, now);
        worker.is_listed = is_listed;
        worker.is_polled = is_polled;
        worker.is_described = is_described;
        worker.is_successor = true;
        worker.note_slowness(read_at);
        self.refresh_zone(id);
        if !unconfirmed.is_empty() {
            self.expect_late_start(id, now);
        }
        for (task, run) in unconfirmed {
            self.reserve(id, task, run, now);
        }
        self.note_state(id, "new incarnation answered", now);
    }

    /// Returns the runs on a worker that its next incarnation, which has sent `report`, may have:
    /// those that no earlier report has listed, and those in this report.
    fn unconfirmed_runs(
        &self,
        id: &id::Worker,
        report: &worker::Report,
    ) -> Vec<(task::Id, revision::Run)> {
        let running = report.running.iter().map(|running| (running.task, running.run));
        let ended = report.ended.iter().map(|ended| (ended.task, ended.run));
        let reported: BTreeSet<(task::Id, revision::Run)> = running.chain(ended).collect();
        let mut runs = self.sent_runs(id);
        let is_complete = report.is_complete();
        runs.retain(|&(task, run)| {
            !is_complete || !self.is_listed(task) || reported.contains(&(task, run))
        });
        runs
    }

    /// Returns the runs on a worker whose start was sent and that no report has listed.
    fn unlisted_runs(&self, id: &id::Worker) -> Vec<(task::Id, revision::Run)> {
        let mut runs = self.sent_runs(id);
        runs.retain(|&(task, _)| !self.is_listed(task));
        runs
    }

    /// Returns the runs on a worker whose start was sent.
    fn sent_runs(&self, id: &id::Worker) -> Vec<(task::Id, revision::Run)> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let mut runs = worker.runs();
        runs.retain(|&(task, run)| {
            let phase = self.jobs.get(&task.step.job).and_then(|job| Some(&job.task(task)?.phase));
            let is_sent = phase.is_some_and(|phase| !matches!(phase, Phase::Planned(_)));
            is_sent && self.is_assigned(id, task, run)
        });
        runs
    }

    /// Returns `true` if a report has listed the current run of a task.
    fn is_listed(&self, id: task::Id) -> bool {
        let task = self.jobs.get(&id.step.job).and_then(|job| job.task(id));
        task.is_some_and(|task| task.observation.listed)
    }

    /// Returns the current assignment of a task; `None` if it has none.
    fn assignment(&self, id: task::Id) -> Option<&phase::Assignment> {
        self.jobs.get(&id.step.job)?.task(id)?.phase.assignment()
    }

    /// Returns `true` if the run is the current one of its task and is assigned to this worker.
    fn is_assigned(&self, id: &id::Worker, task: task::Id, run: revision::Run) -> bool {
        let assignment = self.assignment(task);
        assignment.is_some_and(|assignment| assignment.worker == *id && assignment.run == run)
    }

    /// Marks all runs on a worker as lost and releases their capacity.
    fn mark_all_lost(&mut self, id: &id::Worker, cause: loss::Cause, now: Instant) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.surplus_runs.clear();
        for (task, run) in worker.runs() {
            // A load may belong to a surplus run whose task is assigned to another worker.
            if self.is_assigned(id, task, run) {
                self.mark_lost(task, cause, now);
            }
            if let Some(worker) = self.workers.get_mut(id) {
                worker.release(task);
            }
        }
    }

    /// Returns a task to waiting, because its run has ended without a report or never began.
    fn mark_lost(&mut self, id: task::Id, cause: loss::Cause, now: Instant) {
        self.note_loss(id, cause, now);
        self.note(id, Change::Freed(cause), now);
        let Some(job) = self.jobs.get_mut(&id.step.job) else { return };
        let assignment = job.task(id).and_then(|task| task.phase.assignment().cloned());
        let Some(assignment) = assignment else { return };
        let step = job.spec().steps.get(usize::from(id.step.step));
        // Tasks that allow copies record their failed runs, and long-running ones have no limit.
        let counts_late = step.is_some_and(|step| !step.copies && !step.long_running);
        let has_begun = job.task(id).is_some_and(|task| {
            !matches!(task.phase, Phase::Planned(_) | Phase::Sent(_) | Phase::Unconfirmed(_))
        });
        job.change(id, |task| {
            task.transition(|phase| phase.into_waiting(now));
            task.observation = work::Observation::default();
            if counts_late && cause.may_have_failed() {
                task.give_up(assignment.run);
            }
        });
        if let Some(worker) = self.workers.get_mut(&assignment.worker) {
            worker.release(id);
        }
        self.task_unassigned(id, now);
        if !has_begun {
            self.stop_incomplete_gang(id, assignment.run, now);
        }
    }

    /// Closes the job of a task that is no longer assigned, or queues the step of the task for
    /// placement. Fails the job if the task has no attempts left.
    fn task_unassigned(&mut self, id: task::Id, now: Instant) {
        self.stopping.remove(&id);
        self.mark_dirty(id.step.job);
        self.place_due = true;
        let Some(job) = self.jobs.get(&id.step.job) else { return };
        if job.state.is_final() {
            self.close_if_empty(id.step.job, now);
            return;
        }
        if job.is_ready(id.step) {
            self.ready.insert(id.step);
        }
        self.check_attempts(id, now);
    }

    /// Reserves the capacity of a run on its worker. The size of a run whose job is closed is
    /// unknown, so the run reserves the whole worker.
    fn reserve(&mut self, worker: &id::Worker, id: task::Id, run: revision::Run, now: Instant) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        let job = self.jobs.get(&id.step.job);
        let step = job.and_then(|job| job.spec().steps.get(usize::from(id.step.step)));
        let unknown = job::Step { size: worker.listed.capacity, ..job::Step::default() };
        let step = step.unwrap_or(&unknown);
        let load = fleet::Load {
            run,
            size: step.size,
            best_effort: step.best_effort,
            tail_target: step.tail_target,
            tail: None,
            long_running: step.long_running,
            image: step.image.clone(),
            since: now,
            estimate: step.estimate,
            speed: 100,
            confirmation: fleet::Confirmation::Ordered,
            evict_at: None,
        };
        worker.reserve(id, load);
    }

    fn emit(&mut self, event: Event) {
        self.actions.push(Action::Log(event));
    }

    /// Logs a change in the state of a worker as the engine sees it.
    fn note_state(&mut self, id: &id::Worker, state: &'static str, now: Instant) {
        let Some(worker) = self.workers.get(id) else { return };
        let (incarnation, contact_age) = (worker.listed.incarnation, worker.report_age(now));
        let worker = id.clone();
        self.emit(Event::Worker { worker, incarnation, state, contact_age });
    }
}
