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

/// Result of an accepted submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Receipt {
    /// The job is committed, by this or an earlier submission.
    Recorded(id::Job),
    /// The commit of the job is pending. An [`Answer`] to [`Request::Submit`] follows.
    Waiting(id::Job),
    /// Another partition stores the job; submit it there.
    Delegated(id::Partition),
}

/// Reason for which a submission is refused. Nothing is recorded or run.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// Fields are out of their bounds.
    #[display("the job is invalid: {}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid {
        /// Every fault.
        #[error(not(source))]
        faults: Vec<Invalid>,
    },
    /// An earlier submission used the key with another body.
    #[display("job {job} has the same team and key but another body; use a new key")]
    Conflict {
        /// Job of the earlier submission.
        #[error(not(source))]
        job: id::Job,
    },
    /// No worker that the constraint admits is large enough for one task.
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
    /// One task exceeds the quota of the team.
    #[display("one task of {size} exceeds the whole quota {quota} of the team")]
    OverQuota {
        /// Declared size.
        #[error(not(source))]
        size: size::Resources,
        /// Quota of the team in this partition.
        #[error(not(source))]
        quota: size::Resources,
    },
    /// The partition has reached its limit on jobs or tasks.
    #[display("the partition has {tasks} unfinished tasks and {jobs} jobs; submit again later")]
    Full {
        /// Unfinished tasks of the partition.
        #[error(not(source))]
        tasks: u32,
        /// Jobs with unfinished tasks.
        #[error(not(source))]
        jobs: usize,
    },
}

impl Engine {
    /// Submits a job. `body` identifies a repeated submission.
    ///
    /// # Errors
    /// Returns the reason if the job is refused. It is not recorded then.
    pub fn submit(&mut self, spec: Spec, body: BodyHash, now: Instant) -> Result<Receipt, Refusal> {
        spec.check().map_err(|faults| Refusal::Invalid { faults })?;
        let job = spec.id();
        if let Some(receipt) = self.find_earlier(job, body)? {
            return Ok(receipt);
        }
        self.check_capacity(&spec)?;
        self.batch.push(Record::JobSubmitted { job, body, spec: Box::new(spec) }, now);
        self.flush(now);
        Ok(Receipt::Waiting(job))
    }

    /// Records that partition `to` stores a job that fits no worker of this partition.
    ///
    /// # Errors
    /// Returns the reason if the job is refused. It is not recorded then.
    pub fn delegate(
        &mut self,
        job: id::Job,
        body: BodyHash,
        to: id::Partition,
        now: Instant,
    ) -> Result<Receipt, Refusal> {
        if let Some(receipt) = self.find_earlier(job, body)? {
            return Ok(receipt);
        }
        self.batch.push(Record::JobDelegated { job, body, to }, now);
        self.flush(now);
        Ok(Receipt::Waiting(job))
    }

    /// Cancels jobs. Unknown and finished jobs are skipped.
    ///
    /// Returns the jobs whose cancellation is pending; an [`Answer`] to [`Request::Cancel`] follows
    /// for each.
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

    fn find_earlier(&self, job: id::Job, body: BodyHash) -> Result<Option<Receipt>, Refusal> {
        let check_body = |earlier: BodyHash, receipt: Receipt| {
            if earlier == body { Ok(Some(receipt)) } else { Err(Refusal::Conflict { job }) }
        };
        if let Some(live) = self.state.job(&job) {
            return check_body(live.body, Receipt::Recorded(job));
        }
        if let Some(closed) = self.state.closed().get(&job) {
            return check_body(closed.body, Receipt::Recorded(job));
        }
        if let Some(delegated) = self.state.delegated(&job) {
            return check_body(delegated.body, Receipt::Delegated(delegated.to));
        }
        if let Some(earlier) = self.batch.submitting.get(&job) {
            return check_body(*earlier, Receipt::Waiting(job));
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

    /// Returns the available size of an admitted worker that fits `need`, or else of the largest
    /// admitted worker.
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
