//! Calls about jobs. Each is answered by the owner of the job's partition.

use std::rc::Rc;

use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::id;
use knapweedgap_operator::error::{Body, Code};
use knapweedgap_operator::job::{Accepted, Cancelled, Filter, List, Status, Submission};
use knapweedgap_operator::{Route, codec};
use knapweedgap_placement::command::{Outcome, Request};
use knapweedgap_placement::engine::{Receipt, Refusal};
use knapweedgap_placement::job::BodyHash;
use knapweedgap_settings::effective;

use super::super::context::Context;
use super::super::partition::Owned;
use super::owner::{CALL_TIMEOUT, Call, Owner, outcome_unknown, owner_changing};
use super::{Answer, Scope, convert};

/// Page length if the call has no limit.
const JOBS_PER_PAGE: usize = 100;
/// Maximum page length.
const JOBS_PER_PAGE_MAX: usize = 1000;

/// Submits a job.
pub(super) async fn submit(context: &Rc<Context>, body: &[u8], scope: Scope) -> Answer {
    let submission = match Submission::decode(body) {
        Ok(submission) => submission,
        Err(findings) => return Answer::error(&Body::invalid(findings)),
    };
    let job = submission.job();
    let call = Call { route: Route::Submit, body, job };
    if let Some(error) = check_team(context, &submission) {
        return Answer::error(&error);
    }
    let owned = match call.owner(context, scope).await {
        Owner::Local(owned) => owned,
        Owner::Answered(answer) => return answer,
    };
    match submit_local(context, &owned, &submission).await {
        Ok(Location::Local(accepted)) => Answer::ok(&accepted),
        Ok(Location::Delegated(partition)) => match call.owner_of(context, partition).await {
            Owner::Local(owned) => match submit_local(context, &owned, &submission).await {
                Ok(Location::Local(accepted)) => Answer::ok(&accepted),
                // Only the primary partition delegates a job.
                Ok(Location::Delegated(_)) => Answer::error(&owner_changing()),
                Err(error) => Answer::error(&error),
            },
            Owner::Answered(answer) => answer,
        },
        Err(error) => Answer::error(&error),
    }
}

/// Partition that holds a submitted job.
enum Location {
    /// The partition that received the submission.
    Local(Accepted),
    /// Another partition, to which the submission must be sent.
    Delegated(id::Partition),
}

/// Returns an error if the submission exceeds the limits of its team.
fn check_team(context: &Context, submission: &Submission) -> Option<Body> {
    let team = context.tree.query(|tree| effective::Team::read(tree, submission.team()));
    if submission.tasks() > team.job_tasks_max {
        let help =
            format!("team {} may submit {} tasks per job", submission.team(), team.job_tasks_max);
        return Some(Body::new(Code::Refused, "$.tasks", help));
    }
    None
}

async fn submit_local(
    context: &Rc<Context>,
    owned: &Rc<Owned>,
    submission: &Submission,
) -> Result<Location, Body> {
    let team = context.tree.query(|tree| effective::Team::read(tree, submission.team()));
    let spec = convert::spec(submission, &team);
    // Hashing the canonical form keeps a repeated submission with other white space from being
    // a conflict.
    let hash = BodyHash::of(&codec::encode(submission));
    let now = context.now();
    let mut receipt =
        owned.input(|engine| engine.submit(spec.clone(), hash, now)).ok_or_else(owner_changing)?;
    let primary = spec.id().primary_partition(context.members.partitions());
    if matches!(receipt, Err(Refusal::TooLarge { .. })) && owned.partition == primary {
        let Some(to) = context.fleet.partition_for(context, &spec) else {
            let largest = context.fleet.largest_available(context, &spec);
            return Err(refused(&Refusal::TooLarge { size: spec.size, largest }));
        };
        let delegated = owned.input(|engine| engine.delegate(spec.id(), hash, to, now));
        receipt = delegated.ok_or_else(owner_changing)?;
        if let Ok(Receipt::Waiting(job)) = receipt {
            wait(owned, Request::Submit(job)).await?;
            return Ok(Location::Delegated(to));
        }
    }
    let partition = owned.partition;
    match receipt.map_err(|refusal| refused(&refusal))? {
        Receipt::Recorded(job) => Ok(Location::Local(Accepted { job, partition, repeated: true })),
        Receipt::Delegated(to) => Ok(Location::Delegated(to)),
        Receipt::Waiting(job) => {
            wait(owned, Request::Submit(job)).await?;
            Ok(Location::Local(Accepted { job, partition, repeated: false }))
        }
    }
}

/// Waits for the commit of a request, at most [`CALL_TIMEOUT`].
async fn wait(owned: &Owned, request: Request) -> Result<(), Body> {
    let waiter = owned.wait(request);
    let committed = async { waiter.recv().await.ok() };
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        None
    };
    match committed.or(timeout).await {
        Some(Outcome::Recorded) => Ok(()),
        Some(Outcome::NotRun) => {
            let help = "the key-value service does not answer; retry the call later";
            Err(Body::new(Code::NotRun, "store", help))
        }
        None => Err(outcome_unknown()),
    }
}

fn refused(refusal: &Refusal) -> Body {
    let code = match refusal {
        Refusal::Conflict { .. } => Code::Conflict,
        Refusal::Full { .. } => Code::NotRun,
        _ => Code::Refused,
    };
    let place = match refusal {
        Refusal::Conflict { .. } => "$.key",
        Refusal::TooLarge { .. } | Refusal::OverQuota { .. } => "$.size",
        _ => "$",
    };
    Body::new(code, place, refusal.to_string())
}

/// Returns the status of one job.
pub(super) async fn show(context: &Rc<Context>, job: id::Job, scope: Scope) -> Answer {
    let call = Call { route: Route::Job(job), body: &[], job };
    match call.holder(context, scope).await {
        Owner::Local(owned) => Answer::of(status(&owned, job)),
        Owner::Answered(answer) => answer,
    }
}

fn status(owned: &Owned, job: id::Job) -> Result<Status, Body> {
    let status = owned.query(|engine| convert::status(engine, &job)).ok_or_else(owner_changing)?;
    status.ok_or_else(|| {
        let help = "no such job; look it up with `knapweedgap job list`";
        Body::new(Code::NotFound, job.to_string(), help)
    })
}

/// Cancels one job.
pub(super) async fn cancel(context: &Rc<Context>, job: id::Job, scope: Scope) -> Answer {
    let call = Call { route: Route::Cancel(job), body: &[], job };
    match call.holder(context, scope).await {
        Owner::Local(owned) => Answer::of(cancel_local(context, &owned, job).await),
        Owner::Answered(answer) => answer,
    }
}

async fn cancel_local(
    context: &Rc<Context>,
    owned: &Rc<Owned>,
    job: id::Job,
) -> Result<Cancelled, Body> {
    let now = context.now();
    let accepted = owned.input(|engine| engine.cancel(&[job], now)).ok_or_else(owner_changing)?;
    if !accepted.is_empty() {
        wait(owned, Request::Cancel(job)).await?;
    }
    let status = status(owned, job)?;
    Ok(Cancelled { job, state: status.state })
}

/// Lists the jobs that match the filter, of all partitions and ordered by id.
pub(super) async fn list(context: &Rc<Context>, filter: &Filter, scope: Scope) -> Answer {
    let limit =
        filter.limit.map_or(JOBS_PER_PAGE, |limit| usize::try_from(limit).unwrap_or(JOBS_PER_PAGE));
    let limit = limit.clamp(1, JOBS_PER_PAGE_MAX);
    let mut list = List::default();
    let mut reached = Vec::new();
    for owned in context.partitions.all() {
        let jobs = owned.query(|engine| {
            let mut jobs = Vec::new();
            for job_status in engine.list(filter.after, JOBS_PER_PAGE_MAX) {
                jobs.extend(convert::status(engine, &job_status.job));
            }
            jobs
        });
        let Some(jobs) = jobs else { continue };
        reached.push(owned.partition);
        list.jobs.extend(jobs.into_iter().filter(|job| matches_filter(filter, job)));
    }
    if scope == Scope::Installation {
        let route = Route::Jobs(Filter { limit: Some(JOBS_PER_PAGE_MAX as u32), ..filter.clone() });
        for reply in super::status::query_peers::<List>(context, &route).await {
            reached.extend(context.members.owned_by(&reply.peer));
            list.jobs.extend(reply.answer.jobs);
        }
        list.missing = context.members.partitions_without(&reached);
    }
    list.jobs.sort_by_key(|job| job.job);
    list.jobs.dedup_by_key(|job| job.job);
    if list.jobs.len() > limit {
        list.jobs.truncate(limit);
        list.next = list.jobs.last().map(|job| job.job);
    }
    Answer::ok(&list)
}

fn matches_filter(filter: &Filter, job: &Status) -> bool {
    let class_matches = match &filter.class {
        Some(class) => job.class.as_ref() == Some(class),
        None => true,
    };
    class_matches
        && filter.team.as_ref().is_none_or(|team| *team == job.team)
        && filter.state.is_none_or(|state| state == job.state)
}
