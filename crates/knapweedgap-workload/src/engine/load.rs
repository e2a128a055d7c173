//! Load that a newcomer finds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use super::Engine;
use super::room::{Class, Room};
use super::work::{Job, Step};
use crate::admission::Load;
use crate::backlog::{self, Backlog};
use crate::configuration::{Policy, Queue};
use crate::job;
use crate::rank::{self, Rank};
use crate::turn::{Caller, Turns};

/// Accepted work and processors of a service, computed once for the jobs that arrive between two
/// ticks.
#[derive(Debug)]
pub(super) struct Service {
    backlog: Backlog,
    /// Processor time that long-running tasks are expected to leave unused, in thousandths of a core.
    processors: u64,
    /// Capacity of each worker that long-running tasks don't reserve.
    rooms: BTreeMap<id::Worker, size::Resources>,
    /// Parts of the processors that tasks of each shape could use.
    parts: BTreeMap<Shape, Part>,
}

/// Which workers a task of a step fits, and its processors, memory and accelerators.
type Shape = (Class, (u64, u64, u64));

/// Part of the processors of some workers, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default)]
struct Part {
    usable: u64,
    capacity: u64,
    /// No worker has room for a task, not even among those that take no tasks now.
    is_without_room: bool,
}

impl Engine {
    /// Returns the load that a new job of a queue finds.
    pub(super) fn load(&mut self, queue: &Queue, spec: &job::Spec, now: Instant) -> Load {
        let name = &queue.policy.service;
        if !self.loads.contains_key(name) {
            let service = self.present_load(name, now);
            self.job_visits += self.jobs.len() as u64;
            self.loads.insert(name.clone(), service);
        }
        let processors = self.usable_processors(queue, spec, now);
        let Some(service) = self.loads.get(name) else { return Load::default() };
        let objective = queue.policy.objective(spec.declared_critical_path());
        let ranks = spec.steps.iter().map(|step| rank_of(&queue.policy, step, now, objective, now));
        let work = ranks.max().map_or(0, |last| service.backlog.ahead_of(&last));
        Load { work, processors }
    }

    /// Returns the processors of the service that tasks of each step of a job could use: wide ones leave
    /// a part of each worker unused. Returns 0 if long-running tasks leave no room for one. Long-running
    /// jobs are not judged by it.
    fn usable_processors(&mut self, queue: &Queue, spec: &job::Spec, now: Instant) -> u64 {
        let name = &queue.policy.service;
        let Some(mut service) = self.loads.remove(name) else { return 0 };
        let mut processors = service.processors;
        for step in &spec.steps {
            let size = step.reserved_size();
            if spec.is_long_running() || size.processor.milli() == 0 {
                continue;
            }
            let class = Class::new(name, step);
            let accelerators = u64::from(size.accelerator.get());
            let sizes = (size.processor.milli(), size.memory.get(), accelerators);
            let part = service.parts.entry((class, sizes));
            let part =
                *part.or_insert_with_key(|(class, _)| self.part(&service.rooms, class, step, now));
            if part.is_without_room {
                processors = 0;
            } else if part.usable > 0 {
                // The other work is on all workers, so each gives the same part.
                let whole = u128::from(service.processors) * u128::from(part.usable);
                let usable = whole / u128::from(part.capacity.max(1));
                processors = processors.min(u64::try_from(usable).unwrap_or(u64::MAX));
            }
        }
        self.loads.insert(name.clone(), service);
        processors
    }

    fn part(
        &self,
        rooms: &BTreeMap<id::Worker, size::Resources>,
        class: &Class,
        step: &job::Step,
        now: Instant,
    ) -> Part {
        let size = step.reserved_size();
        let mut part = Part { is_without_room: true, ..Part::default() };
        for (id, room) in rooms {
            let Some(worker) = self.workers.get(id) else { continue };
            if !room.fits(&size) || !class.contains(worker) {
                continue;
            }
            part.is_without_room = false;
            if worker.is_open(now) {
                // Only processors count, because the work ahead is in processors.
                let (each, capacity) = (size.processor.milli().max(1), room.processor.milli());
                part.usable += capacity / each * each;
                part.capacity += capacity;
            }
        }
        part
    }

    /// Adds an accepted job to the known load of its service.
    pub(super) fn add_load(&mut self, id: id::Job, now: Instant) {
        let Some(job) = self.jobs.get(&id) else { return };
        let service = self.policy_of(job).service.clone();
        let Some(mut known) = self.loads.remove(&service) else { return };
        self.add_work(job, &mut known.backlog, &mut Room::default(), now);
        self.job_visits += 1;
        self.loads.insert(service, known);
    }

    /// Returns the time after which a refused caller should come back, if room is expected after `room`.
    pub(super) fn turn(
        &mut self,
        queue: &Queue,
        spec: &job::Spec,
        load: &Load,
        room: Duration,
        now: Instant,
    ) -> Duration {
        let mut requested = 0u64;
        for step in &spec.steps {
            let each = work(step, step.estimate);
            requested = requested.saturating_add(each.saturating_mul(u64::from(step.count)));
        }
        self.turns.retain(|_, turns| !turns.is_over(now));
        let turns = self.turns.entry(queue.name.clone()).or_insert_with(|| Turns::new(now));
        let critical_path = spec.declared_critical_path();
        let slack = queue.policy.objective(critical_path).saturating_sub(critical_path);
        turns.take(now, &Caller { room, slack, work: requested }, load.processors)
    }

    fn present_load(&self, service: &id::Service, now: Instant) -> Service {
        let mut processors = 0;
        let mut rooms = BTreeMap::new();
        for (id, worker) in &self.workers {
            if worker.listed.service == *service {
                rooms.insert(id.clone(), worker.room_beside_long_running());
            }
            if worker.listed.service == *service && worker.is_open(now) {
                processors += worker.unused_by_long_running();
            }
        }
        let mut backlog = Backlog::new(now);
        let mut capacity = Room::default();
        for job in self.jobs.values() {
            if !job.state.is_final() && self.policy_of(job).service == *service {
                self.add_work(job, &mut backlog, &mut capacity, now);
            }
        }
        Service { backlog, processors, rooms, parts: BTreeMap::new() }
    }

    /// Adds the work of all tasks of a job that are not done and that some worker could run, except
    /// long-running ones. Work without a worker takes no capacity from other jobs.
    fn add_work(&self, job: &Job, backlog: &mut Backlog, capacity: &mut Room, now: Instant) {
        let policy = self.policy_of(job);
        let objective = policy.objective(job.critical_path);
        for occurrence in job.occurrences.values() {
            for (spec, step) in job.spec().steps.iter().zip(&occurrence.steps) {
                if spec.long_running || step.is_done() || !self.has_worker(job, spec, capacity) {
                    continue;
                }
                let rank = rank_of(policy, spec, job.accepted_at, objective, now);
                let waiting = spec.estimate.saturating_mul(saturated(step.waiting.len()));
                backlog.add_waiting(&rank, work(spec, waiting));
                let running = work(spec, remaining(spec, step, now));
                if spec.best_effort {
                    // Its processors are not reserved, so it delays no more urgent task.
                    backlog.add_waiting(&rank, running);
                } else {
                    backlog.add_running(running);
                }
            }
        }
    }

    /// Returns `false` if no worker has the label that a step requires and is large enough. A step
    /// without a label fitted some worker at its admission, and any worker of its service will do.
    pub(super) fn has_worker(&self, job: &Job, step: &job::Step, capacity: &mut Room) -> bool {
        if step.requires.is_none() {
            return true;
        }
        capacity.fits(self, Class::new(&self.policy_of(job).service, step), &step.reserved_size())
    }
}

fn rank_of(
    policy: &Policy,
    step: &job::Step,
    accepted_at: Instant,
    objective: Duration,
    now: Instant,
) -> Rank {
    let step = rank::Step {
        long_running: step.long_running,
        priority: policy.priority,
        accepted_at,
        objective,
        run_time: step.estimate,
    };
    step.rank(now)
}

/// Returns the time that the runs of a step are expected to go on, together.
fn remaining(spec: &job::Step, step: &Step, now: Instant) -> Duration {
    let mut sum = Duration::ZERO;
    if step.assigned() == 0 {
        return sum;
    }
    for task in &step.tasks {
        if task.phase.assignment().is_none() {
            continue;
        }
        let since = task.observation.confirmed_at.unwrap_or(now);
        let elapsed = now.saturating_duration_since(since);
        sum = sum.saturating_add(backlog::remaining(spec.estimate, elapsed));
    }
    sum
}

/// Returns the work of tasks of a step that run for `time` together, in thousandths of a core times
/// milliseconds.
fn work(spec: &job::Step, time: Duration) -> u64 {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    spec.size.processor.milli().saturating_mul(millis)
}

fn saturated(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
