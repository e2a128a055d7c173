//! Runs that are freed before a report shows their end, and what the decision was based on.

use std::fmt;
use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::revision;

use crate::order::Refusal;
use crate::{task, worker};

/// Observation that freed the runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cause {
    /// All leases of the worker have ended.
    #[display("leases_ended")]
    LeasesEnded,
    /// The worker was not listed in this term, and all leases of earlier owners have ended.
    #[display("unlisted_leases_ended lease_overrun_ms={}", overrun.as_millis())]
    UnlistedLeasesEnded {
        /// Time since these leases have ended.
        overrun: Duration,
    },
    /// Another incarnation of the worker answered a poll.
    #[display("other_incarnation answered={answered}")]
    OtherIncarnation {
        /// Incarnation that the answer names.
        answered: revision::Incarnation,
    },
    /// A report that would list the run if it existed does not list it.
    #[display("missing poll_fence={fence} poll_age_ms={}", age.as_millis())]
    Missing {
        /// Fencing token of the poll.
        fence: revision::Fence,
        /// Time since the poll was sent.
        age: Duration,
    },
    /// The worker refused the start.
    #[display("start_refused reason=\"{_0}\"")]
    StartRefused(Refusal),
    /// The connection for the start was refused.
    #[display("connection_refused")]
    ConnectionRefused,
    /// The worker could get no lease, so the start was not sent.
    #[display("start_not_sent")]
    StartNotSent,
    /// A copy of the task may start beside the run, because its worker does not answer.
    #[display("detached")]
    Detached,
}

impl Cause {
    /// Returns `true` if the run may have failed before, and its failure may still be reported.
    pub const fn may_have_failed(self) -> bool {
        matches!(self, Cause::LeasesEnded | Cause::UnlistedLeasesEnded { .. })
    }

    /// Returns the name, under which freed runs are counted in the metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Cause::LeasesEnded => "leases_ended",
            Cause::UnlistedLeasesEnded { .. } => "unlisted_leases_ended",
            Cause::OtherIncarnation { .. } => "other_incarnation",
            Cause::Missing { .. } => "missing",
            Cause::StartRefused(_) => "start_refused",
            Cause::ConnectionRefused => "connection_refused",
            Cause::StartNotSent => "start_not_sent",
            Cause::Detached => "detached",
        }
    }
}

/// Worker of freed runs, as the owner knew it.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display(
    "lifetime={incarnation} announced={} contact_age_ms={} fence={fence} lease_remaining_ms={} lease_overrun_ms={} lease_inherited={is_expiry_inherited} listed={is_listed} draining={is_draining} suspect_age_ms={} withheld={is_withheld}",
    Optional(*announced), Millis(*contact_age), lease_remaining.as_millis(), lease_overrun.as_millis(),
    Millis(*suspect_age)
)]
pub struct Worker {
    /// Known incarnation.
    pub incarnation: revision::Incarnation,
    /// Other incarnation in the platform's list, which the worker has not answered as.
    pub announced: Option<revision::Incarnation>,
    /// Time since the last report; `None` before the first one.
    pub contact_age: Option<Duration>,
    /// Fencing token of the orders to the worker.
    pub fence: revision::Fence,
    /// Time until all leases have ended.
    pub lease_remaining: Duration,
    /// Time since all leases have ended.
    pub lease_overrun: Duration,
    /// The end of the leases is the bound on those of earlier owners.
    pub is_expiry_inherited: bool,
    /// The platform lists the worker.
    pub is_listed: bool,
    /// The worker accepts no new tasks and will leave.
    pub is_draining: bool,
    /// Time since a call first failed after the last report; `None` if none has.
    pub suspect_age: Option<Duration>,
    /// The log may hold the record that the worker gets no leases.
    pub is_withheld: bool,
}

/// Freed run.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display(
    "lifetime={incarnation} phase={phase} start_age_ms={} start_fence={} confirmed_age_ms={} reported={is_reported} proof={}",
    Millis(*start_age), Optional(*start_fence), Millis(*confirmed_age), Optional(*proof)
)]
pub struct Run {
    /// Task of the run.
    pub task: task::Id,
    /// Number of the run.
    pub number: revision::Run,
    /// Incarnation of the worker that the run was assigned to.
    pub incarnation: revision::Incarnation,
    /// Phase that the task left.
    pub phase: &'static str,
    /// Time since this owner sent the start; `None` if it did not.
    pub start_age: Option<Duration>,
    /// Fencing token of that start.
    pub start_fence: Option<revision::Fence>,
    /// Time since the start was answered or a report first listed the run; `None` if neither has
    /// happened.
    pub confirmed_age: Option<Duration>,
    /// A report to this owner has listed the run.
    pub is_reported: bool,
    /// Condition on a report that proves the end of the run by not listing it.
    pub proof: Option<Proof>,
}

/// How a report shows a run that was freed before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Sighting {
    /// The run is in progress.
    #[display("running")]
    Running,
    /// The run has ended.
    #[display("ended cause={_0}")]
    Ended(worker::Cause),
}

impl Sighting {
    /// Returns the name, under which these runs are counted in the metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Sighting::Running => "running",
            Sighting::Ended(_) => "ended",
        }
    }
}

/// Condition under which a report that does not list a run proves that the run does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Proof {
    /// The report was requested within this time.
    #[display("requested_after proof_age_ms={}", _0.as_millis())]
    RequestedAfter(Duration),
    /// The report was requested with at least this fencing token.
    #[display("fence proof_fence={_0}")]
    Fence(revision::Fence),
}

/// Value that may be absent, in a log line.
struct Optional<Value>(Option<Value>);

impl<Value> fmt::Display for Optional<Value>
where
    Value: fmt::Display,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// Duration that may be absent, in milliseconds.
struct Millis(Option<Duration>);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Optional(self.0.map(|duration| duration.as_millis())).fmt(f)
    }
}
