//! Submissions and cancellations.

use std::collections::BTreeSet;
use std::time::Instant;

use derive_more::{Display, Error};
use knapweedgap_core::{id, size};

use crate::command::{Action, Answer, Outcome, Request};
use crate::engine::Engine;
use crate::job::{self, BodyHash, Invalid, Spec};
use crate::log::Record;
use crate::pack;

/// Acceptance of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receipt {
    /// The job is committed, by this or an earlier submission.
    Recorded(id::Job),
    /// The job is being committed. An [`Answer`] to `Request::Submit` follows.
    Waiting(id::Job),
    /// Another partition keeps the job; submit it there.
    Delegated(id::Partition),
}

/// Rejection of a submission. Nothing runs.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// Fields are out of their bounds.
    #[display("the job is invalid: {}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid {
        /// Every fault.
        #[error(not(source))]
        faults: Vec<Invalid>,
    },
    /// The key was used for another body.
    #[display("job {job} has the same team and key but another body; use a new key")]
    Conflict {
        /// Job of the earlier submission.
        #[error(not(source))]
        job: id::Job,
    },
    /// No worker of the partition has this size.
    #[display(
        "no worker that the constraint admits has {size}; the largest available size is {largest}"
    )]
    TooLarge {
        /// Declared size.
        #[error(not(source))]
        size: size::Resources,
        /// Largest size of one admitted worker.
        #[error(not(source))]
        largest: size::Resources,
    },
    /// One task is larger than the quota of the team.
    #[display("one task of {size} exceeds the whole quota {quota} of the team")]
    OverQuota {
        /// Declared size.
        #[error(not(source))]
        size: size::Resources,
        /// Quota of the team in this partition.
        #[error(not(source))]
        quota: size::Resources,
    },
    /// The partition holds as many jobs or tasks as it may.
    #[display("the partition has {tasks} unfinished tasks and {jobs} jobs; submit again later")]
    Full {
        /// Unfinished tasks.
        #[error(not(source))]
        tasks: u32,
        /// Jobs with unfinished tasks.
        #[error(not(source))]
        jobs: usize,
    },
}

impl Engine {
    /// Submits a job.
    ///
    /// # Errors
    /// Returns the reason for which the job is refused. It is not recorded then.
    pub fn submit(&mut self, spec: Spec, body: BodyHash, now: Instant) -> Result<Receipt, Refusal> {
        spec.check().map_err(|faults| Refusal::Invalid { faults })?;
        let job = spec.id();
        if let Some(receipt) = self.earlier(job, body)? {
            return Ok(receipt);
        }
        self.check_capacity(&spec)?;
        self.batch.push(Record::JobSubmitted { job, body, spec: Box::new(spec) }, now);
        self.flush(now);
        Ok(Receipt::Waiting(job))
    }

    /// Records that another partition keeps a job that no worker of this one can hold.
    ///
    /// # Errors
    /// Returns the reason for which the job is refused. It is not recorded then.
    pub fn delegate(
        &mut self,
        job: id::Job,
        body: BodyHash,
        to: id::Partition,
        now: Instant,
    ) -> Result<Receipt, Refusal> {
        if let Some(receipt) = self.earlier(job, body)? {
            return Ok(receipt);
        }
        self.batch.push(Record::JobDelegated { job, body, to }, now);
        self.flush(now);
        Ok(Receipt::Waiting(job))
    }

    /// Cancels jobs. Jobs that are unknown or finished are left as they are.
    ///
    /// Returns the jobs whose cancellation is being committed; an [`Answer`] to `Request::Cancel`
    /// follows for each.
    pub fn cancel(&mut self, jobs: &[id::Job], now: Instant) -> Vec<id::Job> {
        let mut accepted = BTreeSet::new();
        for job in jobs {
            let live = self.state.job(job).is_some_and(|job| !job.cancelled);
            if !live && !self.batch.submitting.contains_key(job) {
                continue;
            }
            accepted.insert(*job);
        }
        let new: Vec<id::Job> =
            accepted.iter().filter(|job| !self.batch.cancelling.contains(*job)).copied().collect();
        if !new.is_empty() {
            self.batch.push_cancel(new, now);
            self.flush(now);
        }
        accepted.into_iter().collect()
    }

    fn earlier(&self, job: id::Job, body: BodyHash) -> Result<Option<Receipt>, Refusal> {
        let known = |earlier: BodyHash, receipt: Receipt| {
            if earlier == body { Ok(Some(receipt)) } else { Err(Refusal::Conflict { job }) }
        };
        if let Some(live) = self.state.job(&job) {
            return known(live.body, Receipt::Recorded(job));
        }
        if let Some(closed) = self.state.closed().get(&job) {
            return known(closed.body, Receipt::Recorded(job));
        }
        if let Some(delegated) = self.state.delegated(&job) {
            return known(delegated.body, Receipt::Delegated(delegated.to));
        }
        if let Some(earlier) = self.batch.submitting.get(&job) {
            return known(*earlier, Receipt::Waiting(job));
        }
        Ok(None)
    }

    fn check_capacity(&self, spec: &Spec) -> Result<(), Refusal> {
        if let Some(quota) = self.settings.quotas.of(&spec.team)
            && !quota.fits(&spec.size)
        {
            return Err(Refusal::OverQuota { size: spec.size, quota });
        }
        if self.vm_list_known {
            let largest = self.largest(&spec.constraint, &spec.size);
            if !largest.fits(&spec.size) {
                return Err(Refusal::TooLarge { size: spec.size, largest });
            }
        }
        let jobs = self.state.jobs().len() + self.batch.submitting.len();
        let tasks = self.state.unfinished();
        if jobs >= self.settings.jobs_max
            || tasks.saturating_add(spec.tasks) > self.settings.tasks_max
        {
            return Err(Refusal::Full { tasks, jobs });
        }
        Ok(())
    }

    /// Returns the size of an admitted worker that fits `need`, or else of the largest one.
    fn largest(&self, constraint: &job::Constraint, need: &size::Resources) -> size::Resources {
        let mut largest = size::Resources::default();
        for worker in self.workers.values() {
            let spec = &worker.spec;
            let admitted = pack::admits_at(constraint, &spec.zone, &spec.rack);
            if worker.unlisted || spec.leaving || !admitted {
                continue;
            }
            let available = worker.available();
            if available.fits(need) {
                return available;
            }
            let order = |size: &size::Resources| (size.accelerator, size.memory, size.processor);
            if order(&available) > order(&largest) {
                largest = available;
            }
        }
        largest
    }

    pub(super) fn answer(&mut self, request: Request, outcome: Outcome) {
        self.actions.push(Action::Answer(Answer { request, outcome }));
    }
}
