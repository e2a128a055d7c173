//! Calls about jobs. Each goes to the owner of the job's partition.

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
use super::owner::{CALL_TIME, Call, Owner, moved, unknown};
use super::{Answer, Scope, convert};

/// Jobs in one page when the call names no limit.
const PAGE_LEN: usize = 100;
/// Most jobs in one page.
const PAGE_LEN_MAX: usize = 1000;

/// Submits a job.
pub(super) async fn submit(context: &Rc<Context>, body: &[u8], scope: Scope) -> Answer {
    let submission = match Submission::decode(body) {
        Ok(submission) => submission,
        Err(findings) => return Answer::fault(&Body::invalid(findings)),
    };
    let job = submission.job();
    let call = Call { route: Route::Submit, body, job };
    if let Some(fault) = check_team(context, &submission) {
        return Answer::fault(&fault);
    }
    let owned = match call.owner(context, scope).await {
        Owner::Here(owned) => owned,
        Owner::Answered(answer) => return answer,
    };
    match submit_here(context, &owned, &submission).await {
        Ok(Kept::Here(accepted)) => Answer::ok(&accepted),
        Ok(Kept::At(partition)) => match call.at(context, partition).await {
            Owner::Here(owned) => match submit_here(context, &owned, &submission).await {
                Ok(Kept::Here(accepted)) => Answer::ok(&accepted),
                // Only the home partition delegates a job.
                Ok(Kept::At(_)) => Answer::fault(&moved()),
                Err(error) => Answer::fault(&error),
            },
            Owner::Answered(answer) => answer,
        },
        Err(error) => Answer::fault(&error),
    }
}

/// Where a submitted job is kept.
enum Kept {
    /// In the partition that was asked.
    Here(Accepted),
    /// In another partition, where it is to be submitted.
    At(id::Partition),
}

/// Checks the limits of the team.
fn check_team(context: &Context, submission: &Submission) -> Option<Body> {
    let team = context.tree.ask(|tree| effective::Team::read(tree, submission.team()));
    if submission.tasks() > team.job_tasks_max {
        let help = format!("team {} may submit {} tasks", submission.team(), team.job_tasks_max);
        return Some(Body::new(Code::Refused, "$.tasks", help));
    }
    None
}

async fn submit_here(
    context: &Rc<Context>,
    owned: &Rc<Owned>,
    submission: &Submission,
) -> Result<Kept, Body> {
    let team = context.tree.ask(|tree| effective::Team::read(tree, submission.team()));
    let spec = convert::spec(submission, &team);
    // The canonical form is hashed, so that white space in a repeated submission is no conflict.
    let hash = BodyHash::of(&codec::encode(submission));
    let now = context.now();
    let mut receipt =
        owned.input(|engine| engine.submit(spec.clone(), hash, now)).ok_or_else(moved)?;
    let home = spec.id().primary_partition(context.members.partitions());
    if matches!(receipt, Err(Refusal::TooLarge { .. })) && owned.partition == home {
        let Some(to) = context.fleet.partition_for(context, &spec) else {
            let largest = context.fleet.largest(context, &spec);
            return Err(refused(&Refusal::TooLarge { size: spec.size, largest }));
        };
        let delegated = owned.input(|engine| engine.delegate(spec.id(), hash, to, now));
        receipt = delegated.ok_or_else(moved)?;
        if let Ok(Receipt::Waiting(job)) = receipt {
            wait(owned, Request::Submit(job)).await?;
            return Ok(Kept::At(to));
        }
    }
    let partition = owned.partition;
    match receipt.map_err(|refusal| refused(&refusal))? {
        Receipt::Recorded(job) => Ok(Kept::Here(Accepted { job, partition, repeated: true })),
        Receipt::Delegated(to) => Ok(Kept::At(to)),
        Receipt::Waiting(job) => {
            wait(owned, Request::Submit(job)).await?;
            Ok(Kept::Here(Accepted { job, partition, repeated: false }))
        }
    }
}

/// Waits for the commit of a request.
async fn wait(owned: &Owned, request: Request) -> Result<(), Body> {
    let waiter = owned.wait(request);
    let committed = async { waiter.recv().await.ok() };
    let late = async {
        Timer::after(CALL_TIME).await;
        None
    };
    match committed.or(late).await {
        Some(Outcome::Recorded) => Ok(()),
        Some(Outcome::NotRun) => {
            let help = "the key-value service does not answer; send the call again later";
            Err(Body::new(Code::NotRun, "store", help))
        }
        None => Err(unknown()),
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

/// Shows one job.
pub(super) async fn show(context: &Rc<Context>, job: id::Job, scope: Scope) -> Answer {
    let call = Call { route: Route::Job(job), body: &[], job };
    match call.keeper(context, scope).await {
        Owner::Here(owned) => Answer::of(status(&owned, job)),
        Owner::Answered(answer) => answer,
    }
}

fn status(owned: &Owned, job: id::Job) -> Result<Status, Body> {
    let status = owned.ask(|engine| convert::status(engine, &job)).ok_or_else(moved)?;
    status.ok_or_else(|| {
        let help = "no such job; look it up with `knapweedgap job list`";
        Body::new(Code::NotFound, job.to_string(), help)
    })
}

/// Cancels one job.
pub(super) async fn cancel(context: &Rc<Context>, job: id::Job, scope: Scope) -> Answer {
    let call = Call { route: Route::Cancel(job), body: &[], job };
    match call.keeper(context, scope).await {
        Owner::Here(owned) => Answer::of(cancel_here(context, &owned, job).await),
        Owner::Answered(answer) => answer,
    }
}

async fn cancel_here(
    context: &Rc<Context>,
    owned: &Rc<Owned>,
    job: id::Job,
) -> Result<Cancelled, Body> {
    let now = context.now();
    let accepted = owned.input(|engine| engine.cancel(&[job], now)).ok_or_else(moved)?;
    if !accepted.is_empty() {
        wait(owned, Request::Cancel(job)).await?;
    }
    let status = status(owned, job)?;
    Ok(Cancelled { job, state: status.state })
}

/// Lists jobs of all partitions in the order of their ids.
pub(super) async fn list(context: &Rc<Context>, filter: &Filter, scope: Scope) -> Answer {
    let limit = filter.limit.map_or(PAGE_LEN, |limit| usize::try_from(limit).unwrap_or(PAGE_LEN));
    let limit = limit.clamp(1, PAGE_LEN_MAX);
    let mut list = List::default();
    let mut answered = Vec::new();
    for owned in context.partitions.all() {
        let jobs = owned.ask(|engine| {
            let mut jobs = Vec::new();
            for placed in engine.list(filter.after, PAGE_LEN_MAX) {
                jobs.extend(convert::status(engine, &placed.job));
            }
            jobs
        });
        let Some(jobs) = jobs else { continue };
        answered.push(owned.partition);
        list.jobs.extend(jobs.into_iter().filter(|job| passes(filter, job)));
    }
    if scope == Scope::Installation {
        let route = Route::Jobs(Filter { limit: Some(PAGE_LEN_MAX as u32), ..filter.clone() });
        for part in super::status::ask_all::<List>(context, &route).await {
            answered.extend(context.members.owned_by(&part.peer));
            list.jobs.extend(part.answer.jobs);
        }
        list.missing = context.members.partitions_without(&answered);
    }
    list.jobs.sort_by_key(|job| job.job);
    list.jobs.dedup_by_key(|job| job.job);
    if list.jobs.len() > limit {
        list.jobs.truncate(limit);
        list.next = list.jobs.last().map(|job| job.job);
    }
    Answer::ok(&list)
}

fn passes(filter: &Filter, job: &Status) -> bool {
    let class_passes = match &filter.class {
        Some(class) => job.class.as_ref() == Some(class),
        None => true,
    };
    class_passes
        && filter.team.as_ref().is_none_or(|team| *team == job.team)
        && filter.state.is_none_or(|state| state == job.state)
}
