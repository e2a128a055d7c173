//! Submission of the batch jobs and waits for their results.

use std::time::{Duration, Instant};

use async_io::Timer;
use knapweedgap_core::{id, size};
use knapweedgap_operator::job::{Priority, State, Submission};
use knapweedgap_operator::{Caller, Transport};

use crate::fault::Fault;
use crate::layout;

/// Interval between reads of the state of a job.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Submitted job.
pub(crate) struct Job {
    pub(crate) id: id::Job,
    /// Name in progress and failure messages.
    pub(crate) name: String,
    pub(crate) tasks: usize,
}

/// Job to submit. All its tasks have the same size and run time.
pub(crate) struct Work {
    pub(crate) team: &'static str,
    pub(crate) name: &'static str,
    pub(crate) partition: u32,
    pub(crate) priority: Priority,
    pub(crate) tasks: u32,
    pub(crate) size: size::Resources,
    pub(crate) run_time: Duration,
}

impl Work {
    /// Submits the job twice and checks that the second call returns the existing job.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the submission is refused or creates two jobs.
    pub(crate) async fn submit<T>(&self, caller: &Caller<T>) -> Result<Job, Fault>
    where
        T: Transport,
    {
        let team: id::Team = layout::parse(self.team)?;
        let key = layout::key(&team, self.name, self.partition)?;
        let submission = Submission::builder(team, key, layout::parse("quickstart")?)
            .priority(self.priority)
            .tasks(self.tasks)
            .size(self.size)
            .run_time(self.run_time)
            .build();
        let submission = submission.map_err(|findings| Fault::new(self.name, findings))?;
        let submit = || async {
            caller.submit(&submission).await.map_err(|error| Fault::new(self.name, error))
        };
        let first = submit().await?;
        let second = submit().await?;
        if first.job != second.job || !second.repeated {
            return Err(Fault::new(self.name, "a repeated submission created a second job"));
        }
        Ok(Job { id: first.job, name: self.name.to_owned(), tasks: self.tasks as usize })
    }
}

impl Job {
    /// Waits until the job has finished, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if the job ends in another state or does not finish in time.
    pub(crate) async fn wait_finished<T>(
        &self,
        caller: &Caller<T>,
        timeout: Duration,
    ) -> Result<(), Fault>
    where
        T: Transport,
    {
        let deadline = Instant::now() + timeout;
        loop {
            let status = caller.job(self.id).await;
            let status = status.map_err(|error| Fault::new(&self.name, error))?;
            if status.state == State::Finished {
                return Ok(());
            }
            if status.state.is_final() || Instant::now() > deadline {
                let reason = format!("{} after {timeout:?}: {:?}", status.state, status.tasks);
                return Err(Fault::new(&self.name, reason));
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

/// Waits until `condition` is met, for at most `timeout`. Returns `true` if it was met in time.
pub(crate) async fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    while !condition() {
        if Instant::now() > deadline {
            return false;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    true
}
