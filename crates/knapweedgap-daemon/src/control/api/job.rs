//! Calls about jobs. Each goes to the owner of the job's partition.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::Method;
use knapweedgap_core::id;
use knapweedgap_operator::error::{Body, Code};
use knapweedgap_operator::job::{Accepted, Cancelled, Filter, List, Status, Submission};
use knapweedgap_operator::{Route, codec};
use knapweedgap_placement::command::{Outcome, Request};
use knapweedgap_placement::engine::{Receipt, Refusal};
use knapweedgap_placement::job::BodyHash;
use knapweedgap_settings::effective;

use super::super::context::{Context, sleep};
use super::super::partition::Owned;
use super::{Answer, Scope, convert};

/// Longest time for a call, forwarding and commit included. It covers the takeover of a partition
/// whose owner just died.
const CALL_TIME: Duration = Duration::from_secs(8);
/// Wait before the owner of a partition is looked up again.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);
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
    match call.owner(context, scope).await {
        Owner::Here(owned) => Answer::of(submit_here(context, &owned, &submission).await),
        Owner::Answered(answer) => answer,
    }
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
) -> Result<Accepted, Body> {
    let team = context.tree.ask(|tree| effective::Team::read(tree, submission.team()));
    let spec = convert::spec(submission, &team);
    // The canonical form is hashed, so that white space in a repeated submission is no conflict.
    let hash = BodyHash::of(&codec::encode(submission));
    let now = context.now();
    let receipt = owned.input(|engine| engine.submit(spec, hash, now)).ok_or_else(moved)?;
    let partition = owned.partition;
    match receipt.map_err(|refusal| refused(&refusal))? {
        Receipt::Recorded(job) => Ok(Accepted { job, partition, repeated: true }),
        Receipt::Waiting(job) => {
            wait(owned, Request::Submit(job)).await?;
            Ok(Accepted { job, partition, repeated: false })
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

fn moved() -> Body {
    let help = "the partition is changing its owner; send the call again";
    Body::new(Code::NotRun, "partition", help)
}

fn unknown() -> Body {
    let help = "no answer in time; send the same call again, it has the same effect as one";
    Body::new(Code::Unknown, "partition", help)
}

/// Shows one job.
pub(super) async fn show(context: &Rc<Context>, job: id::Job, scope: Scope) -> Answer {
    let call = Call { route: Route::Job(job), body: &[], job };
    match call.owner(context, scope).await {
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
    match call.owner(context, scope).await {
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

/// Where a call about a job is answered.
enum Owner {
    Here(Rc<Owned>),
    Answered(Answer),
}

/// Call about one job.
struct Call<'a> {
    route: Route,
    body: &'a [u8],
    job: id::Job,
}

impl Call<'_> {
    /// Finds the owner of the job's partition, and lets it answer if it is another instance.
    ///
    /// Every call about a job has the same effect once or twice, so it is repeated until the
    /// partition has an owner that answers. If the time ends after a forwarded call got no answer,
    /// the answer is "unknown": the owner may still commit what it was sent.
    async fn owner(&self, context: &Rc<Context>, scope: Scope) -> Owner {
        let partition = self.job.home(context.members.partitions());
        let deadline = Instant::now() + CALL_TIME;
        let mut may_be_applied = false;
        loop {
            if let Some(owned) = context.partitions.get(partition)
                && owned.ask(|_| ()).is_some()
            {
                return Owner::Here(owned);
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() || scope == Scope::Local {
                let fault = if may_be_applied { unknown() } else { moved() };
                return Owner::Answered(Answer::fault(&fault));
            }
            match self.forward(context, partition, left).await {
                Forwarded::Answered(answer) => return Owner::Answered(answer),
                Forwarded::Unknown => may_be_applied = true,
                Forwarded::NotRun => {}
            }
            sleep(LOOKUP_INTERVAL).await;
        }
    }

    async fn forward(
        &self,
        context: &Rc<Context>,
        partition: id::Partition,
        left: Duration,
    ) -> Forwarded {
        let owner = context.members.ask(|engine| engine.owner(partition).cloned());
        let Some(owner) = owner else { return Forwarded::NotRun };
        let Some(sender) = context.links.sender(&owner.instance) else { return Forwarded::NotRun };
        let method: Method = self.route.method();
        let body = String::from_utf8_lossy(self.body);
        let path = self.route.to_string();
        let reply = sender.forward(method.as_ref(), &path, &body, left).await;
        let Ok(reply) = reply else { return Forwarded::Unknown };
        let not_run = Code::NotRun.status();
        if reply.status == not_run && is_moved(reply.body.as_bytes()) {
            return Forwarded::NotRun;
        }
        Forwarded::Answered(Answer {
            status: reply.status,
            body: reply.body.into_bytes(),
            ..Answer::ok(&())
        })
    }
}

/// Result of a call that was forwarded to the owner of a partition.
enum Forwarded {
    Answered(Answer),
    /// The call was not sent, or the peer answered that it is not the owner.
    NotRun,
    /// The call may have been sent, and no answer came.
    Unknown,
}

/// Tells whether the asked instance no longer owns the partition.
fn is_moved(body: &[u8]) -> bool {
    codec::decode::<Body>(body).is_ok_and(|body| body.place == "partition")
}
