//! Placement of waiting tasks.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use crate::contribution;
use crate::engine::{Engine, Turn};
use crate::interference::{self, Step};
use crate::job::{Job, Priority};
use crate::log::{self, Record};
use crate::task::Assignment;
use crate::worker::Worker;

/// Jobs without room that one pass looks at, so that a pass has a bounded cost.
const BLOCKED_MAX: usize = 64;
/// Wait before a pass goes on after it met [`BLOCKED_MAX`] jobs without room.
const NEXT_PASS: Duration = Duration::from_millis(10);
/// Records that may wait for the key-value service before placement pauses.
const WAITING_MAX: usize = 4 * log::RECORDS_MAX;
/// Tasks of one job whose racks are looked at to spread the next one.
const SPREAD_SAMPLE: usize = 256;
/// Steps in which the expected slowdown of a service is compared. Within a step, best fit decides.
const SLOWDOWN_STEP: f64 = 0.05;

/// What became of the next task of a job.
enum Attempt {
    Placed,
    NoTask,
    OverQuota,
    NoRoom,
}

/// Order of the workers with room; the lowest is chosen.
type Rank = (bool, u64, u32, u32, size::Processor);

impl Engine {
    /// Places waiting tasks in the order of priority and submission.
    pub(super) fn place(&mut self, now: Instant) {
        if self.place_at.is_none_or(|at| at > now) {
            return;
        }
        self.place_at = None;
        self.drop_needless_holds();
        let from_first = self.cursor.is_none();
        let mut first_blocked = None;
        let mut blocked = 0;
        let mut turn = self.first_turn();
        while let Some(current) = turn {
            let attempt = self.place_job(&current, now);
            if self.batch.waiting() >= WAITING_MAX {
                // The next commit goes on with the same job.
                self.cursor = Some(current);
                self.paused = true;
                return;
            }
            turn = self.turn_after(&current);
            match attempt {
                Attempt::Placed | Attempt::NoTask => continue,
                Attempt::OverQuota => {}
                Attempt::NoRoom if from_first && current.0 != Priority::Urgent => {
                    first_blocked.get_or_insert(current.2);
                }
                Attempt::NoRoom => {}
            }
            blocked += 1;
            if blocked < BLOCKED_MAX {
                continue;
            }
            if let Some(first_blocked) = first_blocked {
                self.note_blocked(&first_blocked, now);
            }
            self.cursor = turn;
            self.place_at = turn.map(|_| now + NEXT_PASS);
            return;
        }
        if let Some(first_blocked) = first_blocked {
            self.note_blocked(&first_blocked, now);
        }
        self.cursor = None;
        if std::mem::take(&mut self.recheck) {
            // Room came free while the pass was past the first jobs.
            self.place_at = Some(now + NEXT_PASS);
        }
    }

    /// Returns the turn at which a pass begins: the first urgent job, or else where the last pass
    /// ended.
    fn first_turn(&self) -> Option<Turn> {
        let first = *self.ready.first()?;
        let Some(cursor) = self.cursor else { return Some(first) };
        if first.0 == Priority::Urgent && cursor.0 != Priority::Urgent {
            return Some(first);
        }
        self.ready.range(cursor..).next().copied().or(Some(first))
    }

    /// Returns the turn after this one. Urgent jobs are looked at in every pass; the others go on
    /// where the last pass ended.
    fn turn_after(&self, current: &Turn) -> Option<Turn> {
        let next =
            self.ready.range((std::ops::Bound::Excluded(current), std::ops::Bound::Unbounded));
        let next = next.cloned().next()?;
        let leaves_urgent = current.0 == Priority::Urgent && next.0 != Priority::Urgent;
        match &self.cursor {
            Some(cursor) if leaves_urgent => self.ready.range(*cursor..).next().cloned(),
            _ => Some(next),
        }
    }

    fn place_job(&mut self, turn: &Turn, now: Instant) -> Attempt {
        loop {
            match self.place_task(&turn.2, now) {
                Attempt::Placed if self.batch.waiting() < WAITING_MAX => {}
                other => return other,
            }
        }
    }

    fn place_task(&mut self, id: &id::Job, now: Instant) -> Attempt {
        let Some(job) = self.state.job(id) else { return Attempt::NoTask };
        if job.cancelled || self.batch.cancelling.contains(id) {
            return Attempt::NoTask;
        }
        let Some(task) = self.next_task(id, job) else { return Attempt::NoTask };
        let size = job.spec.size;
        let team = &job.spec.team;
        let used = self.state.usage().of(team) + self.batch.usage.of(team);
        if !self.settings.quotas.allows(team, used, size) {
            return Attempt::OverQuota;
        }
        let Some(worker) = self.choose(id, task, now) else {
            if job_priority(&self.state, id) == Some(Priority::Urgent) {
                self.evict_for_urgent(id, now);
            }
            return Attempt::NoRoom;
        };
        self.commit_to(task, &worker, now);
        Attempt::Placed
    }

    fn commit_to(&mut self, task: id::Task, worker: &id::Worker, now: Instant) {
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
            *self.batch.fresh.entry(task.job).or_default() += 1;
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

    /// Returns the next task of the job that waits and has no record on its way.
    fn next_task(&self, id: &id::Job, job: &Job) -> Option<id::Task> {
        let placing = self.batch.fresh.get(id).copied().unwrap_or_default();
        let returned = job.returned.iter().copied();
        let of = |index| id::Task { job: *id, index };
        if let Some(index) =
            returned.into_iter().find(|index| !self.batch.busy.contains(&of(*index)))
        {
            return Some(of(index));
        }
        let fresh = job.fresh + placing;
        (fresh < job.spec.tasks).then_some(of(fresh))
    }

    /// Chooses a worker, first one with room for the use that the class is known for, else one
    /// with room for the declared size.
    fn choose(&mut self, id: &id::Job, task: id::Task, now: Instant) -> Option<id::Worker> {
        let job = self.state.job(id)?;
        let declared = job.spec.size;
        let expected = self.usage.headroom(&job.spec.class, &declared);
        if expected != declared
            && let Some(worker) = self.choose_for(id, task, &expected, now)
        {
            return Some(worker);
        }
        self.choose_for(id, task, &declared, now)
    }

    fn choose_for(
        &mut self,
        id: &id::Job,
        task: id::Task,
        need: &size::Resources,
        now: Instant,
    ) -> Option<id::Worker> {
        // The index is taken out so that the rank can read the rest of the engine.
        let mut index = std::mem::take(&mut self.index);
        let chosen = self.state.job(id).and_then(|job| {
            let neighbours = self.neighbours(id, job);
            index.choose(need, &job.spec.constraint, |worker| {
                let worker = self.workers.get(worker)?;
                self.rank(job, task, worker, need, &neighbours, now)
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
        neighbours: &[&Worker],
        now: Instant,
    ) -> Option<Rank> {
        if !worker.is_open(now) || self.batch.quarantining.contains(&worker.spec.id) {
            return None;
        }
        let urgent = job.spec.priority == Priority::Urgent;
        let mut free = self.free(worker);
        if !urgent {
            free -= self.held(&worker.spec.id, &task.job, now);
        }
        if !free.fits(need) {
            return None;
        }
        let step = self.interference.step(&worker.spec.id);
        if step != Step::Free && !urgent {
            return None;
        }
        if !urgent && !self.is_tolerable(worker, job) {
            return None;
        }
        let failed = job
            .tasks
            .get(&task.index)
            .is_some_and(|any| any.history().failed_on.contains(&worker.spec.id));
        let slowdown = self.slowdown(worker, job);
        let same_rack = neighbours.iter().filter(|other| other.spec.rack == worker.spec.rack);
        let same_zone = neighbours.iter().filter(|other| other.spec.zone == worker.spec.zone);
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let left = (free - *need).processor;
        Some((failed, slowdown, count(same_zone.count()), count(same_rack.count()), left))
    }

    /// Tells whether the worker's services are expected to stay within their targets when a task
    /// of the job joins the worker.
    fn is_tolerable(&self, worker: &Worker, job: &Job) -> bool {
        if worker.spec.services.is_empty() {
            return true;
        }
        let id = &worker.spec.id;
        if self.batch.placing.contains_key(id) {
            // The classes of placements on their way are not in the committed state yet.
            return false;
        }
        let room = worker.available().processor;
        let pressure = |job: &Job| contribution::pressure(job.spec.size.processor, room);
        let mut mix = vec![(job.spec.class.clone(), pressure(job))];
        for task in self.state.attempts(id).into_iter().flat_map(|attempts| attempts.keys()) {
            let Some(job) = self.state.job(&task.job) else { continue };
            contribution::add(&mut mix, &job.spec.class, pressure(job));
        }
        let limit = interference::Threshold::new(&self.settings.weights).admit();
        let mut services = worker.spec.services.iter();
        services.all(|service| self.contribution.expect(id, service, &mix) <= limit)
    }

    /// Returns what a task of the job is expected to add to the latency / target of the worker's
    /// services, in steps.
    fn slowdown(&self, worker: &Worker, job: &Job) -> u64 {
        let room = worker.available().processor;
        let pressure = contribution::pressure(job.spec.size.processor, room);
        let services = worker.spec.services.iter();
        let added = services
            .map(|service| self.contribution.pair(service, &job.spec.class).mean * pressure)
            .fold(0.0, f64::max);
        (added / SLOWDOWN_STEP) as u64
    }

    /// Returns the workers of a sample of the job's attempts when the job is to be spread.
    fn neighbours(&self, id: &id::Job, job: &Job) -> Vec<&Worker> {
        if !job.spec.constraint.spread {
            return Vec::new();
        }
        let committed = job.tasks.values().filter_map(|task| Some(&task.assignment()?.worker));
        let placing = self.batch.placing_of(id);
        let workers = committed.chain(placing).take(SPREAD_SAMPLE);
        workers.filter_map(|worker| self.workers.get(worker)).collect()
    }

    /// Enters the job into the order of placement, or removes it when nothing waits.
    pub(super) fn refresh_ready(&mut self, id: &id::Job) {
        let Some(job) = self.state.job(id) else {
            if let Some(turn) = self.turns.remove(id) {
                self.ready.remove(&turn);
            }
            return;
        };
        let turn = (job.spec.priority, job.order, *id);
        if job.cancelled || job.waiting() == 0 {
            self.turns.remove(id);
            self.ready.remove(&turn);
        } else {
            self.turns.insert(*id, turn);
            self.ready.insert(turn);
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
