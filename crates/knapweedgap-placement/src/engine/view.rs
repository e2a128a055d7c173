//! Read access to the state, for operators and the caller.

use std::time::Instant;

use knapweedgap_core::{id, revision, size};
use smol_str::SmolStr;

use crate::command::Heartbeat;
use crate::engine::{Engine, Owner};
use crate::job::{End, Tally};
use crate::state::State;
use crate::task::Any;

/// Phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Phase {
    /// No task has an attempt.
    #[display("queued")]
    Queued,
    /// At least one task has an attempt.
    #[display("active")]
    Active,
    /// The job is cancelled, and the stop of at least one attempt is not confirmed.
    #[display("cancelling")]
    Cancelling,
    /// Every task is finished.
    #[display("{_0}")]
    Finished(End),
}

/// Status of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Status {
    pub job: id::Job,
    pub team: id::Team,
    pub phase: Phase,
    /// Tasks that wait to be placed.
    pub waiting: u32,
    /// Tasks with an attempt that may be running.
    pub active: u32,
    /// Finished tasks by outcome.
    pub tally: Tally,
    /// Reason of the last failure; `None` if no task failed.
    pub reason: Option<SmolStr>,
}

/// Number of jobs, tasks, workers and records of the partition.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs with unfinished tasks.
    pub jobs: usize,
    /// Finished jobs within their retention.
    pub closed: usize,
    /// Tasks that are not finished, placed or not.
    pub unfinished: u32,
    /// Workers in the VM list.
    pub workers: usize,
    /// Workers that may receive new tasks.
    pub schedulable: usize,
    /// Workers in quarantine.
    pub quarantined: usize,
    /// Uncommitted records.
    pub uncommitted: usize,
}

impl Engine {
    /// Returns the partition and the epoch of this owner.
    pub fn owner(&self) -> Owner {
        self.owner
    }

    /// Returns the state after the last committed entry.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the position of the last committed entry.
    pub fn sequence(&self) -> revision::Sequence {
        self.sequence
    }

    /// Returns every worker with the content of its next heartbeat.
    pub fn heartbeats(&self, now: Instant) -> impl Iterator<Item = (&id::Worker, Heartbeat)> {
        self.workers.keys().map(move |worker| (worker, self.heartbeat(worker, now)))
    }

    /// Returns the status of one job, or `None` if it is unknown or its retention has ended.
    pub fn status(&self, job: &id::Job) -> Option<Status> {
        if let Some(live) = self.state.job(job) {
            let active = live.tasks.values().filter(|task| task.assignment().is_some()).count();
            let phase = match (live.cancelled, active) {
                (true, _) => Phase::Cancelling,
                (false, 0) => Phase::Queued,
                (false, _) => Phase::Active,
            };
            return Some(Status {
                job: *job,
                team: live.spec.team.clone(),
                phase,
                waiting: live.waiting(),
                active: u32::try_from(active).unwrap_or(u32::MAX),
                tally: live.tally,
                reason: live.reason.clone(),
            });
        }
        let closed = self.state.closed().get(job)?;
        Some(Status {
            job: *job,
            team: closed.team.clone(),
            phase: Phase::Finished(closed.end),
            waiting: 0,
            active: 0,
            tally: closed.tally,
            reason: closed.reason.clone(),
        })
    }

    /// Returns up to `limit` jobs with an id above `after`, in the order of their ids.
    pub fn list(&self, after: Option<id::Job>, limit: usize) -> Vec<Status> {
        let from = after.map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let range = (from, std::ops::Bound::Unbounded);
        let live = self.state.jobs().range(range).map(|(id, _)| *id).take(limit);
        let closed = self.state.closed().range(range).map(|(id, _)| *id).take(limit);
        let mut ids: Vec<id::Job> = live.chain(closed).collect();
        ids.sort();
        ids.truncate(limit);
        ids.iter().filter_map(|id| self.status(id)).collect()
    }

    /// Returns the state of a task that was placed and is not finished.
    pub fn task(&self, task: &id::Task) -> Option<&Any> {
        self.state.task(task)
    }

    /// Returns the free capacity of a worker, or `None` if the worker is unknown.
    pub fn free_capacity(&self, worker: &id::Worker) -> Option<size::Resources> {
        self.workers.get(worker).map(|worker| self.free(worker))
    }

    /// Returns the counts at `now`.
    pub fn counts(&self, now: Instant) -> Counts {
        let listed = self.workers.values().filter(|worker| !worker.unlisted);
        Counts {
            jobs: self.state.jobs().len(),
            closed: self.state.closed().len(),
            unfinished: self.state.unfinished(),
            workers: listed.count(),
            schedulable: self.workers.values().filter(|worker| worker.is_schedulable(now)).count(),
            quarantined: self
                .workers
                .values()
                .filter(|worker| worker.quarantined.is_some())
                .count(),
            uncommitted: self.batch.uncommitted(),
        }
    }
}
