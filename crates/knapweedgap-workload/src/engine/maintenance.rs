//! Maintenance of VMs in waves: evacuation of their workers, requests to the platform, and
//! progress.
//!
//! A VM may be taken down once in a wave, and the tasks on it are stopped for that once. So the log
//! holds the VMs whose maintenance has begun, and a new owner continues each wave with the others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision, size};

use super::Engine;
use super::fleet::Worker;
use super::phase::Phase;
use crate::wave::{State, Vm, Wave};
use crate::{record, task};

/// Time after which an unanswered request for maintenance is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Longest time for which the maintenance of a VM waits for tasks that can't resume elsewhere.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Request to the platform for the maintenance of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Number of the wave.
    pub wave: u64,
    /// VM to take down.
    pub vm: id::Vm,
}

/// Progress of a wave, as reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The maintenance of some VMs has not begun.
    Running,
    /// The maintenance of every VM that is still in the wave has begun or finished.
    Completed,
}

/// Stage of one VM of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    /// Since this time no new tasks are placed, and long-running tasks are stopped.
    Evacuating(Instant),
    /// Maintenance was requested at this time; the platform has not confirmed it.
    Requested(Instant),
    Down(Down),
    Finished,
}

/// VM whose maintenance has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Down {
    /// When the platform confirmed the maintenance, or when the term began if an earlier owner
    /// requested it.
    since: Instant,
    /// An earlier owner requested the maintenance.
    is_inherited: bool,
    /// Incarnation of the worker when the platform confirmed the maintenance; `None` if there was
    /// no worker.
    incarnation: Option<revision::Incarnation>,
}

/// Wave with the stages of its VMs.
#[derive(Debug)]
struct Rollout {
    wave: Wave,
    stages: BTreeMap<id::Vm, Stage>,
    /// Last progress that was stored for operators; `None` before the first report.
    reported: Option<Progress>,
}

/// State of all waves.
#[derive(Debug, Default)]
pub(super) struct Maintenance {
    rollouts: BTreeMap<u64, Rollout>,
    vms: BTreeMap<id::Vm, Vm>,
    /// Waves in the log that operators have not listed in this term.
    restored: BTreeMap<u64, record::Wave>,
    /// The log does not hold the current record.
    pub(super) is_dirty: bool,
    /// Log entry that holds the record; `None` before the first one.
    pub(super) entry: Option<revision::Sequence>,
}

impl Rollout {
    /// Creates a wave of which the log holds `known`. An earlier owner took down its VMs before
    /// `term_started_at`.
    fn new(wave: Wave, known: Option<record::Wave>, term_started_at: Instant) -> Rollout {
        let (begun, reported) = match known {
            Some(record::Wave::Completed) => (None, Some(Progress::Completed)),
            Some(record::Wave::Open(begun)) => (Some(begun), None),
            None => (Some(BTreeMap::new()), None),
        };
        let stage = |vm: &id::Vm| {
            let Some(begun) = &begun else { return Stage::Finished };
            match begun.get(vm) {
                None => Stage::Waiting,
                Some(&record::Maintenance::Down(incarnation)) => {
                    Stage::Down(Down { since: term_started_at, is_inherited: true, incarnation })
                }
                Some(record::Maintenance::Finished) => Stage::Finished,
            }
        };
        let stages = wave.vms.iter().map(|vm| (vm.clone(), stage(vm))).collect();
        Rollout { wave, stages, reported }
    }

    /// Returns the record for the log; `None` if no maintenance has begun.
    fn record(&self) -> Option<record::Wave> {
        if self.reported == Some(Progress::Completed) {
            return Some(record::Wave::Completed);
        }
        let mut begun = BTreeMap::new();
        for (vm, stage) in &self.stages {
            let maintenance = match stage {
                Stage::Waiting | Stage::Evacuating(_) | Stage::Requested(_) => continue,
                Stage::Down(down) => record::Maintenance::Down(down.incarnation),
                Stage::Finished => record::Maintenance::Finished,
            };
            begun.insert(vm.clone(), maintenance);
        }
        (!begun.is_empty()).then_some(record::Wave::Open(begun))
    }
}

impl Down {
    /// Returns `true` if the VM is up again and its worker has a new incarnation.
    fn has_restarted(&self, vm: Option<&Vm>, workers: &BTreeMap<id::Worker, Worker>) -> bool {
        let Some(vm) = vm.filter(|vm| vm.state == State::Up) else { return false };
        let Some(worker) = vm.worker.as_ref().and_then(|id| workers.get(id)) else { return false };
        self.incarnation.is_some_and(|incarnation| worker.listed.incarnation != incarnation)
    }
}

impl Maintenance {
    /// Replaces the progress of all waves by that of a log entry.
    pub(super) fn restore(&mut self, waves: BTreeMap<u64, record::Wave>) {
        self.restored = waves;
    }

    /// Returns the record for the next batch, which fits a value of `value_max`. The earliest waves
    /// are left out first.
    pub(super) fn take_record(&mut self, value_max: size::Bytes) -> BTreeMap<u64, record::Wave> {
        self.is_dirty = false;
        let mut record = self.restored.clone();
        for (&number, rollout) in &self.rollouts {
            record.extend(rollout.record().map(|wave| (number, wave)));
        }
        let room = value_max.get().saturating_sub(record::FRAME_LEN_MAX);
        let mut bytes = record::encoded_size(&record).get();
        while bytes > room
            && let Some((number, wave)) = record.pop_first()
        {
            self.restored.remove(&number);
            bytes = bytes.saturating_sub(record::encoded_size(&wave).get());
        }
        record
    }

    /// Returns the workers on VMs that are about to be taken down, or down.
    fn closed_workers(&self) -> BTreeSet<id::Worker> {
        let mut workers = BTreeSet::new();
        for rollout in self.rollouts.values() {
            for (vm, stage) in &rollout.stages {
                if matches!(stage, Stage::Waiting | Stage::Finished) {
                    continue;
                }
                workers.extend(self.vms.get(vm).and_then(|vm| vm.worker.clone()));
            }
        }
        workers
    }
}

impl Engine {
    /// Adds a wave that operators requested, unless its number is already known.
    pub fn wave_listed(&mut self, wave: Wave) {
        if self.maintenance.rollouts.contains_key(&wave.number) {
            return;
        }
        let known = self.maintenance.restored.remove(&wave.number);
        let number = wave.number;
        let rollout = Rollout::new(wave, known, self.term_started_at);
        self.maintenance.rollouts.insert(number, rollout);
    }

    /// Returns `true` while a wave is reported as running, so that the list of VMs is needed.
    pub fn needs_vms(&self) -> bool {
        self.maintenance
            .rollouts
            .values()
            .any(|rollout| rollout.reported == Some(Progress::Running))
    }

    /// Sets the list of VMs of the platform.
    pub fn vms_listed(&mut self, vms: Vec<Vm>) {
        self.maintenance.vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
    }

    /// Returns the requests for maintenance that are due, and marks them as sent at `now`.
    pub fn maintenance_due(&mut self, now: Instant) -> Vec<Request> {
        let mut due = Vec::new();
        let mut ready = BTreeSet::new();
        for rollout in self.maintenance.rollouts.values() {
            for (vm, stage) in &rollout.stages {
                let Stage::Evacuating(since) = stage else { continue };
                if self.is_evacuated(vm, *since, now) {
                    ready.insert(vm.clone());
                }
            }
        }
        for (&number, rollout) in &mut self.maintenance.rollouts {
            for (vm, stage) in &mut rollout.stages {
                match *stage {
                    Stage::Evacuating(_) if ready.contains(vm) => {}
                    Stage::Requested(at) if now.duration_since(at) > RETRY_INTERVAL => {}
                    _ => continue,
                }
                *stage = Stage::Requested(now);
                due.push(Request { wave: number, vm: vm.clone() });
            }
        }
        due
    }

    /// Handles the answer to a request for maintenance.
    pub fn maintenance_answered(
        &mut self,
        request: &Request,
        result: Result<(), crate::wave::Failure>,
        now: Instant,
    ) {
        let Maintenance { rollouts, vms, is_dirty, .. } = &mut self.maintenance;
        let Some(rollout) = rollouts.get_mut(&request.wave) else { return };
        let Some(stage) = rollout.stages.get_mut(&request.vm) else { return };
        *stage = match result {
            Ok(()) => {
                let worker = vms.get(&request.vm).and_then(|vm| vm.worker.as_ref());
                let worker = worker.and_then(|id| self.workers.get(id));
                let incarnation = worker.map(|worker| worker.listed.incarnation);
                Stage::Down(Down { since: now, is_inherited: false, incarnation })
            }
            Err(crate::wave::Failure::NotInWave) => Stage::Finished,
            Err(_) => return,
        };
        *is_dirty = true;
    }

    /// Returns the waves whose progress differs from the last stored report.
    pub fn waves_to_report(&mut self) -> Vec<(u64, Progress)> {
        let mut reports = Vec::new();
        for (&number, rollout) in &self.maintenance.rollouts {
            let is_completed = rollout
                .stages
                .values()
                .all(|stage| matches!(stage, Stage::Finished | Stage::Down(_)));
            let progress = if is_completed { Progress::Completed } else { Progress::Running };
            if rollout.reported != Some(progress) {
                reports.push((number, progress));
            }
        }
        reports
    }

    /// Records that the progress of a wave was stored.
    pub fn wave_reported(&mut self, number: u64, progress: Progress) {
        if let Some(rollout) = self.maintenance.rollouts.get_mut(&number) {
            rollout.reported = Some(progress);
            self.maintenance.is_dirty |= progress == Progress::Completed;
        }
    }

    /// Handles a wave that the store reports as completed in an earlier term.
    pub fn wave_completed(&mut self, number: u64) {
        let Some(rollout) = self.maintenance.rollouts.get_mut(&number) else { return };
        rollout.reported = Some(Progress::Completed);
        for stage in rollout.stages.values_mut() {
            *stage = Stage::Finished;
        }
        self.maintenance.is_dirty = true;
    }

    /// Ends the maintenance of VMs that are up again, starts to evacuate VMs up to the limit of
    /// their wave, and stops long-running tasks there.
    pub(super) fn advance_maintenance(&mut self, now: Instant) {
        self.finish_maintenance(now);
        self.reopen_workers(now);
        let mut begun = Vec::new();
        let maintenance_time = self.bounds.maintenance_time;
        let Maintenance { rollouts, vms, .. } = &mut self.maintenance;
        for rollout in rollouts.values_mut() {
            // The platform also lists the VMs that earlier owners took down.
            let unavailable = rollout.stages.iter().filter(|(vm, stage)| match stage {
                Stage::Evacuating(_) | Stage::Requested(_) => true,
                Stage::Down(down) if now.duration_since(down.since) < maintenance_time * 3 / 2 => {
                    true
                }
                _ => vms.get(*vm).is_some_and(|vm| vm.state == State::Maintenance),
            });
            let mut slots = rollout.wave.down_max.max(1).saturating_sub(unavailable.count());
            for (vm, stage) in &mut rollout.stages {
                if slots == 0 {
                    break;
                }
                let is_up = vms.get(vm).is_some_and(|vm| vm.state == State::Up);
                if *stage != Stage::Waiting || !is_up {
                    continue;
                }
                *stage = Stage::Evacuating(now);
                begun.push(vm.clone());
                slots -= 1;
            }
        }
        for vm in begun {
            let worker = self.maintenance.vms.get(&vm).and_then(|vm| vm.worker.clone());
            let Some(id) = worker else { continue };
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.in_maintenance = true;
            }
            self.note_state(&id, "closed for maintenance", now);
        }
        self.stop_for_maintenance(now);
    }

    /// Marks the VMs as finished whose maintenance has ended or has had the time to end.
    fn finish_maintenance(&mut self, now: Instant) {
        let maintenance_time = self.bounds.maintenance_time;
        let Maintenance { rollouts, vms, is_dirty, .. } = &mut self.maintenance;
        for rollout in rollouts.values_mut() {
            for (vm, stage) in &mut rollout.stages {
                let Stage::Down(down) = stage else { continue };
                // Without this evidence, a wave would stand still while owners are replaced in
                // quick succession.
                let has_restarted =
                    down.is_inherited && down.has_restarted(vms.get(vm), &self.workers);
                if has_restarted || now.duration_since(down.since) > maintenance_time * 2 {
                    *stage = Stage::Finished;
                    *is_dirty = true;
                }
            }
        }
    }

    /// Opens the workers that were closed for maintenance and whose VMs no wave takes down any
    /// more. A maintenance that restarts a worker opens it by its new incarnation, but a VM may
    /// also leave its wave, or have had its maintenance before.
    fn reopen_workers(&mut self, now: Instant) {
        if !self.workers.values().any(|worker| worker.in_maintenance) {
            return;
        }
        let closed = self.maintenance.closed_workers();
        let mut reopened = Vec::new();
        for (id, worker) in &mut self.workers {
            if worker.in_maintenance && !closed.contains(id) {
                worker.in_maintenance = false;
                worker.is_changed = true;
                reopened.push(id.clone());
            }
        }
        for id in reopened {
            self.note_state(&id, "open after maintenance", now);
            self.place_due = true;
        }
    }

    /// Stops long-running tasks on workers that are closed for maintenance, within the number of
    /// tasks of their step that may be unavailable.
    fn stop_for_maintenance(&mut self, now: Instant) {
        let mut candidates = Vec::new();
        for worker in self.workers.values() {
            if !worker.in_maintenance {
                continue;
            }
            candidates.extend(
                worker.loads.iter().filter(|(_, load)| load.long_running).map(|(&id, _)| id),
            );
        }
        for id in candidates {
            if !self.is_interruptible(id) {
                continue;
            }
            self.stop_task(id, "maintenance of its VM", now);
        }
    }

    /// Returns `true` if stopping this task keeps the number of unavailable tasks of its step
    /// within the limit.
    pub(super) fn is_interruptible(&self, id: task::Id) -> bool {
        self.is_interruptible_beside(id, &[])
    }

    /// Returns the same for a task that is stopped beside others.
    pub(super) fn is_interruptible_beside(&self, id: task::Id, others: &[task::Id]) -> bool {
        let Some(job) = self.jobs.get(&id.step.job) else { return false };
        let Some(step) = job.step(id.step) else { return false };
        let Some(task) = job.task(id) else { return false };
        if !matches!(task.phase, Phase::Running(_)) {
            return false;
        }
        let spec = job.spec().steps.get(usize::from(id.step.step));
        let Some(limit) = spec.and_then(|spec| spec.unavailable_max) else { return true };
        let unavailable = (0..).zip(&step.tasks).filter(|(index, task)| {
            let is_at_work =
                matches!(task.phase, Phase::Running(_)) && task.observation.progress >= 100;
            *index != id.index && (!is_at_work || others.contains(&id.step.task(*index)))
        });
        unavailable.count() < usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Returns `true` if the worker on a VM has no tasks, or if [`EVACUATION_TIMEOUT`] has passed
    /// since `since` and no long-running tasks are left, so that no limit on unavailable tasks
    /// applies.
    fn is_evacuated(&self, vm: &id::Vm, since: Instant, now: Instant) -> bool {
        let worker = self.maintenance.vms.get(vm).and_then(|vm| vm.worker.as_ref());
        let Some(worker) = worker.and_then(|id| self.workers.get(id)) else { return true };
        if worker.loads.is_empty() {
            return true;
        }
        let long_running = worker.loads.values().any(|load| load.long_running);
        !long_running && now.duration_since(since) > EVACUATION_TIMEOUT
    }
}
