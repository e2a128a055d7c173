//! Finds the owner of a job's partition and forwards calls to it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use knapweedgap_operator::error::{Body, Code};
use knapweedgap_operator::{Route, codec};

use super::super::context::{Context, sleep};
use super::super::partition::Owned;
use super::{Answer, Scope};

/// Timeout of a call, including forwarding and commit. It is long enough for the takeover of a
/// partition whose owner has just failed.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before the owner of a partition is looked up again.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);

/// Instance that answers a call about a job.
pub(super) enum Owner {
    /// This instance, which owns the partition.
    Local(Rc<Owned>),
    /// No local owner: the answer of another instance, or an error.
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
    /// The call was not sent, or the peer reported that it is not the owner.
    NotRun,
    /// The call may have been sent and was not answered.
    Unknown,
}

impl Call<'_> {
    /// Finds the owner of the job's primary partition, or of the partition named in the scope.
    pub(super) async fn owner(&self, context: &Rc<Context>, scope: Scope) -> Owner {
        let Scope::Partition(partition) = scope else {
            let partitions = context.members.partitions();
            // With an unknown number of partitions, every job would be assigned to the first one
            // and would not be found later.
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

    /// Finds the owner of the partition that holds the job. This is the primary partition, unless
    /// it has delegated the job to another one.
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

    /// Finds the owner of a partition and forwards the call if that is another instance.
    ///
    /// Calls about jobs are idempotent, so the call is repeated until the partition has an owner
    /// that answers. If the timeout expires after a forwarded call got no answer, the result is
    /// "unknown", because the owner may still commit that call.
    pub(super) async fn owner_of(&self, context: &Rc<Context>, partition: id::Partition) -> Owner {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut may_be_applied = false;
        loop {
            if let Some(owned) = local(context, partition) {
                return Owner::Local(owned);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                let error = if may_be_applied { outcome_unknown() } else { owner_changing() };
                return Owner::Answered(Answer::error(&error));
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

/// Path prefix of a call that is addressed to one partition.
const PREFIX: &str = "/partitions/";

/// Splits the path of a call from another instance into its scope and the path of the API.
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

/// Returns `true` if the answer reports that the instance does not own the partition.
fn is_owner_changing(body: &[u8]) -> bool {
    codec::decode::<Body>(body).is_ok_and(|body| body.place == "partition")
}

pub(super) fn owner_changing() -> Body {
    let help = "the partition is changing owners; retry the call";
    Body::new(Code::NotRun, "partition", help)
}

fn settings_unknown() -> Body {
    let help = "the instance is starting and has not read the settings yet; retry the call";
    Body::new(Code::NotRun, "settings", help)
}

pub(super) fn outcome_unknown() -> Body {
    let help = "no answer before the timeout; retry the same call, it is idempotent";
    Body::new(Code::Unknown, "partition", help)
}
