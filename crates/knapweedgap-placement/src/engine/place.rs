//! Placement of waiting tasks.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use crate::contribution;
use crate::engine::{Engine, Position};
use crate::interference::{self, Step};
use crate::job::{Job, Priority};
use crate::log::{self, Record};
use crate::task::Assignment;
use crate::worker::Worker;

/// Jobs without a fitting worker that one pass examines. Bounds the cost of a pass.
const BLOCKED_MAX: usize = 64;
/// Wait before a pass continues after [`BLOCKED_MAX`] jobs without a fitting worker.
const PASS_INTERVAL: Duration = Duration::from_millis(10);
/// Number of waiting records at which placement pauses until the next commit.
const WAITING_RECORDS_MAX: usize = 4 * log::RECORDS_MAX;
/// Tasks of one job whose zones and racks are examined to spread the next task.
const SPREAD_SAMPLE_MAX: usize = 256;
/// Granularity at which expected slowdowns of a service are compared. Best fit breaks ties.
const SLOWDOWN_STEP: f64 = 0.05;

/// Result of placing the next task of a job.
enum Outcome {
    Placed,
    NoTask,
    OverQuota,
    NoCapacity,
}

/// Rank of a worker with free capacity; the lowest is chosen. The parts are: whether the task
/// failed on the worker, the expected slowdown, tasks of the job in the zone and in the rack, and
/// the processor time left after the placement.
type Rank = (bool, u64, u32, u32, size::Processor);

impl Engine {
    /// Places waiting tasks in the order of priority and submission.
    pub(super) fn place(&mut self, now: Instant) {
        if self.place_at.is_none_or(|at| at > now) {
            return;
        }
        self.place_at = None;
        self.drop_unneeded_holds();
        let from_first = self.cursor.is_none();
        let mut first_blocked = None;
        let mut blocked = 0;
        let mut position = self.first_position();
        while let Some(current) = position {
            let outcome = self.place_job(&current, now);
            if self.batch.waiting() >= WAITING_RECORDS_MAX {
                // The pass continues with this job after the next commit.
                self.cursor = Some(current);
                self.paused = true;
                return;
            }
            position = self.position_after(&current);
            match outcome {
                Outcome::Placed | Outcome::NoTask => continue,
                Outcome::OverQuota => {}
                Outcome::NoCapacity if from_first && current.0 != Priority::Urgent => {
                    first_blocked.get_or_insert(current.2);
                }
                Outcome::NoCapacity => {}
            }
            blocked += 1;
            if blocked < BLOCKED_MAX {
                continue;
            }
            if let Some(first_blocked) = first_blocked {
                self.track_blocked(&first_blocked, now);
            }
            self.cursor = position;
            self.place_at = position.map(|_| now + PASS_INTERVAL);
            return;
        }
        if let Some(first_blocked) = first_blocked {
            self.track_blocked(&first_blocked, now);
        }
        self.cursor = None;
        if std::mem::take(&mut self.recheck) {
            // Capacity was freed after the pass had left the first jobs.
            self.place_at = Some(now + PASS_INTERVAL);
        }
    }

    /// Returns the position at which a pass begins: the first urgent job, or else the position at
    /// which the last pass ended.
    fn first_position(&self) -> Option<Position> {
        let first = *self.ready.first()?;
        let Some(cursor) = self.cursor else { return Some(first) };
        if first.0 == Priority::Urgent && cursor.0 != Priority::Urgent {
            return Some(first);
        }
        self.ready.range(cursor..).next().copied().or(Some(first))
    }

    /// Returns the position after this one. Every pass examines the urgent jobs, then continues
    /// where the last pass ended.
    fn position_after(&self, current: &Position) -> Option<Position> {
        let next =
            self.ready.range((std::ops::Bound::Excluded(current), std::ops::Bound::Unbounded));
        let next = next.cloned().next()?;
        let leaves_urgent = current.0 == Priority::Urgent && next.0 != Priority::Urgent;
        match &self.cursor {
            Some(cursor) if leaves_urgent => self.ready.range(*cursor..).next().cloned(),
            _ => Some(next),
        }
    }

    fn place_job(&mut self, position: &Position, now: Instant) -> Outcome {
        loop {
            match self.place_task(&position.2, now) {
                Outcome::Placed if self.batch.waiting() < WAITING_RECORDS_MAX => {}
                other => return other,
            }
        }
    }

    fn place_task(&mut self, id: &id::Job, now: Instant) -> Outcome {
        let Some(job) = self.state.job(id) else { return Outcome::NoTask };
        if job.cancelled || self.batch.cancelling.contains(id) {
            return Outcome::NoTask;
        }
        let Some(task) = self.next_task(id, job) else { return Outcome::NoTask };
        let size = job.spec.size;
        let team = &job.spec.team;
        let used = self.state.usage().of(team) + self.batch.usage.of(team);
        if !self.settings.quotas.allows(team, used, size) {
            return Outcome::OverQuota;
        }
        let Some(worker) = self.choose(id, task, now) else {
            if job_priority(&self.state, id) == Some(Priority::Urgent) {
                self.evict_for_urgent(id, now);
            }
            return Outcome::NoCapacity;
        };
        self.record_placement(task, &worker, now);
        Outcome::Placed
    }

    fn record_placement(&mut self, task: id::Task, worker: &id::Worker, now: Instant) {
        let Some(job) = self.state.job(&task.job) else { return };
        let contact = self.workers.get(worker).and_then(|worker| worker.contact.as_ref());
        let Some(contact) = contact else { return };
        let last = job.tasks.get(&task.index).map(|any| any.history().attempt.get());
        let attempt = id::Attempt::new(last.unwrap_or_default() + 1);
        let size = job.spec.size;
        let assignment = Assignment { worker: worker.clone(), incarnation: contact.incarnation };
        *self.batch.placing.entry(worker.clone()).or_default() += size;
        self.batch.usage.add(&job.spec.team, size);
        if last.is_none() {
            *self.batch.first_placements.entry(task.job).or_default() += 1;
        }
        let urgent = job.spec.priority == Priority::Urgent;
        self.batch.push(Record::TaskPlaced { task, attempt, assignment }, now);
        if self.holds.get(worker).is_some_and(|hold| match hold.job {
            Some(job) => job == task.job,
            None => urgent,
        }) {
            self.holds.remove(worker);
        }
        self.refresh_worker(worker);
    }

    /// Returns the next waiting task of the job that has no uncommitted record.
    fn next_task(&self, id: &id::Job, job: &Job) -> Option<id::Task> {
        let placing = self.batch.first_placements.get(id).copied().unwrap_or_default();
        let requeued = job.requeued.iter().copied();
        let task = |index| id::Task { job: *id, index };
        if let Some(index) =
            requeued.into_iter().find(|index| !self.batch.busy.contains(&task(*index)))
        {
            return Some(task(index));
        }
        let first_unplaced = job.first_unplaced + placing;
        (first_unplaced < job.spec.tasks).then_some(task(first_unplaced))
    }

    /// Chooses a worker with capacity for the expected usage of the class, or else for the declared
    /// size.
    fn choose(&mut self, id: &id::Job, task: id::Task, now: Instant) -> Option<id::Worker> {
        let job = self.state.job(id)?;
        let declared = job.spec.size;
        let expected = self.usage.headroom(&job.spec.class, &declared);
        if expected != declared
            && let Some(worker) = self.choose_for_size(id, task, &expected, now)
        {
            return Some(worker);
        }
        self.choose_for_size(id, task, &declared, now)
    }

    fn choose_for_size(
        &mut self,
        id: &id::Job,
        task: id::Task,
        need: &size::Resources,
        now: Instant,
    ) -> Option<id::Worker> {
        // The index leaves the engine during the search so that `rank` can borrow the engine.
        let mut index = std::mem::take(&mut self.index);
        let chosen = self.state.job(id).and_then(|job| {
            let sibling_workers = self.sibling_workers(id, job);
            index.choose(need, &job.spec.constraint, |worker| {
                let worker = self.workers.get(worker)?;
                self.rank(job, task, worker, need, &sibling_workers, now)
            })
        });
        self.index = index;
        chosen
    }

    fn rank(
        &self,
        job: &Job,
        task: id::Task,
        worker: &Worker,
        need: &size::Resources,
        sibling_workers: &[&Worker],
        now: Instant,
    ) -> Option<Rank> {
        if !worker.is_schedulable(now) || self.batch.quarantining.contains(&worker.spec.id) {
            return None;
        }
        let urgent = job.spec.priority == Priority::Urgent;
        let mut free = self.free(worker);
        if !urgent {
            free -= self.held_for_others(&worker.spec.id, &task.job, now);
        }
        if !free.fits(need) {
            return None;
        }
        let step = self.interference.step(&worker.spec.id);
        if step != Step::Free && !urgent {
            return None;
        }
        if !urgent && !self.is_within_targets(worker, job) {
            return None;
        }
        let failed = job
            .tasks
            .get(&task.index)
            .is_some_and(|any| any.history().failed_on.contains(&worker.spec.id));
        let slowdown = self.slowdown(worker, job);
        let same_rack = sibling_workers.iter().filter(|other| other.spec.rack == worker.spec.rack);
        let same_zone = sibling_workers.iter().filter(|other| other.spec.zone == worker.spec.zone);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let remaining = (free - *need).processor;
        Some((failed, slowdown, count(same_zone.count()), count(same_rack.count()), remaining))
    }

    /// Returns `true` if the services of the worker are expected to stay within their targets after
    /// a task of the job is placed on it.
    fn is_within_targets(&self, worker: &Worker, job: &Job) -> bool {
        if worker.spec.services.is_empty() {
            return true;
        }
        let id = &worker.spec.id;
        if self.batch.placing.contains_key(id) {
            // The committed state does not contain the classes of uncommitted placements.
            return false;
        }
        let capacity = worker.available().processor;
        let load = |job: &Job| contribution::load(job.spec.size.processor, capacity);
        let mut mix = vec![(job.spec.class.clone(), load(job))];
        for task in self.state.attempts(id).into_iter().flat_map(|attempts| attempts.keys()) {
            let Some(job) = self.state.job(&task.job) else { continue };
            contribution::add_load(&mut mix, &job.spec.class, load(job));
        }
        let limit = interference::Threshold::new(&self.settings.weights).admission_limit();
        let mut services = worker.spec.services.iter();
        services.all(|service| self.contribution.predict(id, service, &mix) <= limit)
    }

    /// Returns the largest increase of latency / target that a task of the job is expected to cause
    /// for a service of the worker, in units of [`SLOWDOWN_STEP`].
    fn slowdown(&self, worker: &Worker, job: &Job) -> u64 {
        let capacity = worker.available().processor;
        let load = contribution::load(job.spec.size.processor, capacity);
        let services = worker.spec.services.iter();
        let added = services
            .map(|service| self.contribution.coefficient(service, &job.spec.class).mean * load)
            .fold(0.0, f64::max);
        (added / SLOWDOWN_STEP) as u64
    }

    /// Returns the workers of a sample of the job's attempts if the job requests spreading, else
    /// nothing.
    fn sibling_workers(&self, id: &id::Job, job: &Job) -> Vec<&Worker> {
        if !job.spec.constraint.spread {
            return Vec::new();
        }
        let committed = job.tasks.values().filter_map(|task| Some(&task.assignment()?.worker));
        let placing = self.batch.placing_of(id);
        let workers = committed.chain(placing).take(SPREAD_SAMPLE_MAX);
        workers.filter_map(|worker| self.workers.get(worker)).collect()
    }

    /// Inserts the job into the order of placement, or removes it if no task waits.
    pub(super) fn refresh_ready(&mut self, id: &id::Job) {
        let Some(job) = self.state.job(id) else {
            if let Some(position) = self.positions.remove(id) {
                self.ready.remove(&position);
            }
            return;
        };
        let position = (job.spec.priority, job.order, *id);
        if job.cancelled || job.waiting() == 0 {
            self.positions.remove(id);
            self.ready.remove(&position);
        } else {
            self.positions.insert(*id, position);
            self.ready.insert(position);
        }
    }

    pub(super) fn rebuild_ready(&mut self) {
        let ids: Vec<id::Job> = self.state.jobs().keys().copied().collect();
        for id in ids {
            self.refresh_ready(&id);
        }
    }
}

fn job_priority(state: &crate::state::State, id: &id::Job) -> Option<Priority> {
    state.job(id).map(|job| job.spec.priority)
}
