//! Waves of maintenance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use knapweedgap_core::id;

use super::Engine;
use super::phase::Phase;
use crate::task;
use crate::wave::{State, Vm, Wave};

/// Time after which a maintenance without an answer is asked for again.
const RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Time that a VM may take to be emptied of work that can't resume elsewhere.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(4);

/// Maintenance that the platform is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Wave.
    pub wave: u64,
    /// VM.
    pub vm: id::Vm,
}

/// Progress of a wave that operators see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Some VMs have yet to have their maintenance.
    Running,
    /// All VMs that stay have had it.
    Completed,
}

/// State of one VM of a wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Waiting,
    /// No new tasks are placed, and lasting ones move away.
    Evacuating(Instant),
    /// Asked for; the platform has not confirmed it.
    Requested(Instant),
    /// Begun at this time.
    Down(Instant),
    Finished,
}

/// Wave with the turns of its VMs.
#[derive(Debug)]
struct Rollout {
    wave: Wave,
    stages: BTreeMap<id::Vm, Stage>,
    reported: Option<Progress>,
}

/// Books of the waves.
#[derive(Debug, Default)]
pub(super) struct Maintenance {
    rollouts: BTreeMap<u64, Rollout>,
    vms: BTreeMap<id::Vm, Vm>,
}

impl Engine {
    /// Takes in a wave that operators ask for.
    pub fn wave_listed(&mut self, wave: Wave) {
        if self.maintenance.rollouts.contains_key(&wave.number) {
            return;
        }
        let stages = wave.vms.iter().map(|vm| (vm.clone(), Stage::Waiting)).collect();
        self.maintenance.rollouts.insert(wave.number, Rollout { wave, stages, reported: None });
    }

    /// Tells whether the list of VMs is needed.
    pub fn needs_vms(&self) -> bool {
        self.maintenance.rollouts.values().any(|rollout| rollout.reported != Some(Progress::Completed))
    }

    /// Takes in the platform's list of VMs.
    pub fn vms_listed(&mut self, vms: Vec<Vm>) {
        self.maintenance.vms = vms.into_iter().map(|vm| (vm.id.clone(), vm)).collect();
    }

    /// Returns the maintenance that is due to be asked for.
    pub fn maintenance_due(&mut self, now: Instant) -> Vec<Request> {
        let mut due = Vec::new();
        let maintenance_time = self.bounds.maintenance_time;
        let mut ready = BTreeSet::new();
        for rollout in self.maintenance.rollouts.values() {
            for (vm, stage) in &rollout.stages {
                let Stage::Evacuating(since) = stage else { continue };
                if self.is_empty(vm, *since, now) {
                    ready.insert(vm.clone());
                }
            }
        }
        for (&number, rollout) in &mut self.maintenance.rollouts {
            for (vm, stage) in &mut rollout.stages {
                match *stage {
                    Stage::Evacuating(_) if ready.contains(vm) => {}
                    Stage::Requested(at) if now.duration_since(at) > RETRY_INTERVAL => {}
                    Stage::Down(at) if now.duration_since(at) > maintenance_time * 2 => {
                        *stage = Stage::Finished;
                        continue;
                    }
                    _ => continue,
                }
                *stage = Stage::Requested(now);
                due.push(Request { wave: number, vm: vm.clone() });
            }
        }
        due
    }

    /// Takes in the answer to a request for maintenance.
    pub fn maintenance_answered(
        &mut self,
        request: &Request,
        result: Result<(), crate::wave::Failure>,
        now: Instant,
    ) {
        let Some(rollout) = self.maintenance.rollouts.get_mut(&request.wave) else { return };
        let Some(stage) = rollout.stages.get_mut(&request.vm) else { return };
        match result {
            Ok(()) => *stage = Stage::Down(now),
            Err(crate::wave::Failure::NotInWave) => *stage = Stage::Finished,
            Err(_) => {}
        }
    }

    /// Returns waves whose progress has to be reported to operators.
    pub fn waves_to_report(&mut self) -> Vec<(u64, Progress)> {
        let mut reports = Vec::new();
        for (&number, rollout) in &self.maintenance.rollouts {
            let done =
                rollout.stages.values().all(|stage| matches!(stage, Stage::Finished | Stage::Down(_)));
            let progress = if done { Progress::Completed } else { Progress::Running };
            if rollout.reported != Some(progress) {
                reports.push((number, progress));
            }
        }
        reports
    }

    /// Takes in that the progress of a wave was stored.
    pub fn wave_reported(&mut self, number: u64, progress: Progress) {
        if let Some(rollout) = self.maintenance.rollouts.get_mut(&number) {
            rollout.reported = Some(progress);
        }
    }

    /// Takes in that the store says a wave is completed, from an earlier term.
    pub fn wave_was_completed(&mut self, number: u64) {
        let Some(rollout) = self.maintenance.rollouts.get_mut(&number) else { return };
        rollout.reported = Some(Progress::Completed);
        for stage in rollout.stages.values_mut() {
            *stage = Stage::Finished;
        }
    }

    /// Begins to empty the VMs whose turn it is and moves lasting tasks away.
    pub(super) fn advance_maintenance(&mut self, now: Instant) {
        let mut begun = Vec::new();
        let maintenance_time = self.bounds.maintenance_time;
        for rollout in self.maintenance.rollouts.values_mut() {
            let down = rollout.stages.values().filter(|stage| match stage {
                Stage::Evacuating(_) | Stage::Requested(_) => true,
                Stage::Down(at) => now.duration_since(*at) < maintenance_time * 3 / 2,
                Stage::Waiting | Stage::Finished => false,
            });
            let mut room = rollout.wave.down_max.max(1).saturating_sub(down.count());
            for (vm, stage) in &mut rollout.stages {
                if room == 0 {
                    break;
                }
                let up = self.maintenance.vms.get(vm).is_some_and(|vm| vm.state == State::Up);
                if *stage != Stage::Waiting || !up {
                    continue;
                }
                *stage = Stage::Evacuating(now);
                begun.push(vm.clone());
                room -= 1;
            }
        }
        for vm in begun {
            let worker = self.maintenance.vms.get(&vm).and_then(|vm| vm.worker.clone());
            let Some(id) = worker else { continue };
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.maintenance = true;
            }
            self.note_state(&id, "closed for maintenance", now);
        }
        self.move_long_running(now);
    }

    /// Stops lasting tasks on workers that are closed for maintenance, within the number of tasks
    /// of their step that may be unavailable.
    fn move_long_running(&mut self, now: Instant) {
        let mut candidates = Vec::new();
        for worker in self.workers.values() {
            if !worker.maintenance {
                continue;
            }
            candidates
                .extend(worker.loads.iter().filter(|(_, load)| load.lasting).map(|(&id, _)| id));
        }
        for id in candidates {
            if !self.is_interruptible(id) {
                continue;
            }
            self.stop_task(id, "maintenance of its VM", now);
        }
    }

    /// Tells whether one more task of a lasting step may be made unavailable.
    fn is_interruptible(&self, id: task::Id) -> bool {
        let Some(job) = self.jobs.get(&id.step.job) else { return false };
        let Some(step) = job.step(id.step) else { return false };
        let Some(task) = job.task(id) else { return false };
        if !matches!(task.phase, Phase::Running(_)) {
            return false;
        }
        let spec = job.spec().steps.get(usize::from(id.step.step));
        let Some(limit) = spec.and_then(|spec| spec.unavailable_max) else { return true };
        let away = step
            .tasks
            .iter()
            .filter(|task| !matches!(task.phase, Phase::Running(_)) || task.observation.progress < 100);
        let itself = usize::from(task.observation.progress < 100);
        away.count() - itself < usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Tells whether a VM is free of work, or has been emptied for long enough that only work
    /// without a budget is left.
    fn is_empty(&self, vm: &id::Vm, since: Instant, now: Instant) -> bool {
        let worker = self.maintenance.vms.get(vm).and_then(|vm| vm.worker.as_ref());
        let Some(worker) = worker.and_then(|id| self.workers.get(id)) else { return true };
        if worker.loads.is_empty() {
            return true;
        }
        let lasting = worker.loads.values().any(|load| load.lasting);
        !lasting && now.duration_since(since) > EVACUATION_TIMEOUT
    }
}
