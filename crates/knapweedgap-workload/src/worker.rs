//! Workers in the platform's list, and their reports.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::{id, parse, revision, size};
use smol_str::SmolStr;

use crate::task;

/// Time on the monotonic clock of one incarnation of a worker, written in milliseconds as `1500ms`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Clock(u64);

impl Clock {
    /// Wraps a number of milliseconds.
    pub const fn from_millis(millis: u64) -> Clock {
        Clock(millis)
    }

    /// Returns the number of milliseconds.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the time `duration` later, in whole milliseconds.
    pub fn after(self, duration: Duration) -> Clock {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Clock(self.0.saturating_add(millis))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Clock) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Clock {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Clock {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Clock, parse::Error> {
        let error = || parse::Error::new("worker time", text, "write milliseconds as 1500ms");
        let digits = text.strip_suffix("ms").ok_or_else(error)?;
        digits.parse().map(Clock).map_err(|_| error())
    }
}

/// Entry of a worker in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Id, which stays the same when the worker restarts.
    pub id: id::Worker,
    /// Incarnation of the worker's process; it grows with each restart.
    pub incarnation: revision::Incarnation,
    /// Service that its machine belongs to.
    pub service: id::Service,
    /// Address at which the worker accepts orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Labels, for example its kind and its rack.
    pub labels: Vec<SmolStr>,
    /// Rack, if the platform names one.
    pub rack: Option<SmolStr>,
    /// Total processors, memory and accelerators.
    pub capacity: size::Resources,
    /// The worker accepts no new tasks and will leave.
    pub draining: bool,
    /// Time for which the worker remains slow after its start; zero if it is not slow.
    pub slow_for: Duration,
}

/// Reason why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cause {
    /// The run finished its work.
    #[display("done")]
    Done,
    /// The run failed, because of the task or the worker.
    #[display("failed")]
    Failed,
    /// The run was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// The lease of the worker expired.
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("broken")]
    GangEnded,
    /// The other members of its gang did not start in time.
    #[display("alone")]
    GangIncomplete,
}

/// Ended run in the report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Position in the worker's sequence of ended runs.
    pub number: revision::End,
    /// Task of the run.
    pub task: task::Id,
    /// Number of the run.
    pub run: revision::Run,
    /// Reason of the end, from which the engine decides whether to restart the task.
    pub cause: Cause,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// Run in progress in the report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// Task of the run.
    pub task: task::Id,
    /// Number of the run.
    pub run: revision::Run,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Progress in percent; 100 for a long-running task that has finished its startup.
    pub progress: u32,
    /// Measurement over the last half second: tail latency in milliseconds for a serving task,
    /// processor use in thousandths of a core for any other; `None` if there is none.
    pub measure: Option<u64>,
}

/// Answer of a worker to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Incarnation of the worker, if the answer contains one.
    pub incarnation: Option<revision::Incarnation>,
    /// Clock of the worker when it answered.
    pub clock: Clock,
    /// Shortest time until the worker leaves; `None` while it is not draining.
    pub leaves_in: Option<Duration>,
    /// Runs in progress.
    pub running: Vec<Running>,
    /// First [`ENDED_MAX`] ended runs that are not acknowledged, in order.
    pub ended: Vec<Ended>,
    /// Number of rows that could not be decoded. A report with such rows does not prove that a run
    /// is missing from it.
    pub undecoded: u32,
}

impl Report {
    /// Returns `true` if the report lists all runs that a complete one would list.
    pub fn is_complete(&self) -> bool {
        self.ended.len() < ENDED_MAX && self.undecoded == 0
    }
}

/// Largest number of ended runs in one report.
pub const ENDED_MAX: usize = 500;
