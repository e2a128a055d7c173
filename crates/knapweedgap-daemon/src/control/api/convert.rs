//! Conversion between the types of the placement engine and those of the administration API.

use knapweedgap_core::id;
use knapweedgap_operator::job::{Counts, Priority, State, Status, Submission};
use knapweedgap_placement::engine::{Engine, Phase};
use knapweedgap_placement::job::{self, Constraint, End, Spec};
use knapweedgap_settings::effective;

/// Returns the job specification of a submission. The team's settings supply the retry limit if
/// the submission has none.
pub(super) fn spec(submission: &Submission, team: &effective::Team) -> Spec {
    let constraint = Constraint {
        zones: submission.zones().clone(),
        racks: submission.racks().clone(),
        spread: false,
    };
    Spec {
        team: submission.team().clone(),
        key: submission.key().clone(),
        class: submission.class().clone(),
        priority: priority(submission.priority()),
        tasks: submission.tasks(),
        size: submission.size(),
        run_time: submission.run_time(),
        retry_limit: submission.retry_limit().unwrap_or(team.job_retry_limit),
        constraint,
        payload: String::new(),
    }
}

fn priority(priority: Priority) -> job::Priority {
    match priority {
        Priority::Low => job::Priority::Low,
        Priority::Normal => job::Priority::Normal,
        Priority::Urgent => job::Priority::Urgent,
    }
}

fn operator_priority(priority: job::Priority) -> Priority {
    match priority {
        job::Priority::Low => Priority::Low,
        job::Priority::Normal => Priority::Normal,
        job::Priority::Urgent => Priority::Urgent,
    }
}

/// Returns the status of a job for operators, or `None` if the engine has no such job.
pub(super) fn status(engine: &Engine, job: &id::Job) -> Option<Status> {
    let engine_status = engine.status(job)?;
    let active_job = engine.state().job(job);
    let spec = active_job.map(|active_job| &active_job.spec);
    let mut evictions = 0;
    let mut retries = 0;
    for task in active_job.iter().flat_map(|active_job| active_job.tasks.values()) {
        evictions += task.history().resumed;
        retries += task.history().failures;
    }
    let tasks = Counts {
        pending: engine_status.waiting,
        running: engine_status.active,
        finished: engine_status.tally.succeeded,
        failed: engine_status.tally.failed,
        cancelled: engine_status.tally.cancelled,
        ..Counts::default()
    };
    Some(Status {
        job: engine_status.job,
        team: engine_status.team,
        key: spec.map(|spec| spec.key.clone()),
        class: spec.map(|spec| spec.class.clone()),
        priority: spec.map(|spec| operator_priority(spec.priority)),
        state: state(engine_status.phase),
        partition: engine.owner().partition,
        tasks,
        evictions,
        retries,
        detail: engine_status.reason.map(|reason| reason.to_string()),
    })
}

fn state(phase: Phase) -> State {
    match phase {
        Phase::Queued => State::Pending,
        Phase::Active => State::Running,
        Phase::Cancelling => State::Cancelling,
        Phase::Finished(End::Succeeded) => State::Finished,
        Phase::Finished(End::Failed) => State::Failed,
        Phase::Finished(End::Cancelled) => State::Cancelled,
    }
}
