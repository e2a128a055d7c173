//! Finds the owner of a job's partition and passes calls on to it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_operator::error::{Body, Code};
use knapweedgap_operator::{Route, codec};

use super::super::context::{Context, sleep};
use super::super::partition::Owned;
use super::{Answer, Scope};

/// Longest time for a call, forwarding and commit included. It covers the takeover of a partition
/// whose owner just died.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Wait before the owner of a partition is looked up again.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);

/// Where a call about a job is answered.
pub(super) enum Owner {
    /// By this instance.
    Local(Rc<Owned>),
    /// By another instance, with this answer.
    Answered(Answer),
}

/// Call about one job.
pub(super) struct Call<'a> {
    pub(super) route: Route,
    pub(super) body: &'a [u8],
    pub(super) job: id::Job,
}

/// Result of a call that was forwarded to the owner of a partition.
enum Forwarded {
    Answered(Answer),
    /// The call was not sent, or the peer answered that it is not the owner.
    NotRun,
    /// The call may have been sent, and no answer came.
    Unknown,
}

impl Call<'_> {
    /// Finds the owner of the job's home partition, or of the partition that the call names.
    pub(super) async fn owner(&self, context: &Rc<Context>, scope: Scope) -> Owner {
        let Scope::Partition(partition) = scope else {
            let partitions = context.members.partitions();
            // Without their number every job would have its home in the first partition, where
            // nobody looks for it later.
            if partitions == 0 {
                return Owner::Answered(Answer::error(&settings_unknown()));
            }
            return self.owner_of(context, self.job.primary_partition(partitions)).await;
        };
        match local(context, partition) {
            Some(owned) => Owner::Local(owned),
            None => Owner::Answered(Answer::error(&owner_changing())),
        }
    }

    /// Finds the owner of the partition that keeps the job, which the home partition knows.
    pub(super) async fn holder(&self, context: &Rc<Context>, scope: Scope) -> Owner {
        let found = self.owner(context, scope).await;
        let Owner::Local(owned) = &found else { return found };
        let delegated =
            owned.query(|engine| engine.state().delegated(&self.job).map(|delegated| delegated.to));
        match delegated.flatten() {
            Some(partition) => self.owner_of(context, partition).await,
            None => found,
        }
    }

    /// Finds the owner of a partition, and lets it answer if it is another instance.
    ///
    /// Every call about a job has the same effect once or twice, so it is repeated until the
    /// partition has an owner that answers. If the time ends after a forwarded call got no answer,
    /// the answer is "unknown": the owner may still commit what it was sent.
    pub(super) async fn owner_of(&self, context: &Rc<Context>, partition: id::Partition) -> Owner {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut may_be_applied = false;
        loop {
            if let Some(owned) = local(context, partition) {
                return Owner::Local(owned);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let fault = if may_be_applied { outcome_unknown() } else { owner_changing() };
                return Owner::Answered(Answer::error(&fault));
            }
            match self.forward(context, partition, remaining).await {
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
        remaining: Duration,
    ) -> Forwarded {
        let owner = context.members.query(|engine| engine.owner(partition).cloned());
        let Some(owner) = owner else { return Forwarded::NotRun };
        let Some(sender) = context.links.sender(&owner.instance) else { return Forwarded::NotRun };
        let method = self.route.method();
        let body = String::from_utf8_lossy(self.body);
        let path = format!("{PREFIX}{partition}{}", self.route);
        let reply = sender.forward(method.as_ref(), &path, &body, remaining).await;
        let Ok(reply) = reply else { return Forwarded::Unknown };
        let not_run_status = Code::NotRun.status();
        if reply.status == not_run_status && is_owner_changing(reply.body.as_bytes()) {
            return Forwarded::NotRun;
        }
        Forwarded::Answered(Answer {
            status: reply.status,
            body: reply.body.into_bytes(),
            ..Answer::ok(&())
        })
    }
}

/// Prefix of the path of a call that is meant for one partition.
const PREFIX: &str = "/partitions/";

/// Splits the path of a call between instances into its scope and the path of the API.
pub(crate) fn scope(path: &str) -> (Scope, &str) {
    let parse_partition = || {
        let rest = path.strip_prefix(PREFIX)?;
        let end = rest.find('/')?;
        let partition = rest[..end].parse().ok()?;
        Some((Scope::Partition(partition), &rest[end..]))
    };
    parse_partition().unwrap_or((Scope::Local, path))
}

fn local(context: &Context, partition: id::Partition) -> Option<Rc<Owned>> {
    let owned = context.partitions.get(partition)?;
    owned.query(|_| ())?;
    Some(owned)
}

/// Tells whether the asked instance no longer owns the partition.
fn is_owner_changing(body: &[u8]) -> bool {
    codec::decode::<Body>(body).is_ok_and(|body| body.place == "partition")
}

pub(super) fn owner_changing() -> Body {
    let help = "the partition is changing its owner; send the call again";
    Body::new(Code::NotRun, "partition", help)
}

fn settings_unknown() -> Body {
    let help = "the instance is starting and does not know the settings yet; send the call again";
    Body::new(Code::NotRun, "settings", help)
}

pub(super) fn outcome_unknown() -> Body {
    let help = "no answer in time; send the same call again, it has the same effect as one";
    Body::new(Code::Unknown, "partition", help)
}
