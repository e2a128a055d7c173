//! Workers as the platform lists them and as they report.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use derive_more::Display;
use knapweedgap_core::{id, parse, revision, size};
use smol_str::SmolStr;

use crate::task;

/// Time on the steady clock of one life of a worker, written in milliseconds as `1500ms`.
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

    /// Returns the time since `earlier`, or zero.
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

/// What the platform lists of one worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Worker.
    pub id: id::Worker,
    /// Life of the worker.
    pub incarnation: revision::Incarnation,
    /// Service that its machine belongs to.
    pub service: id::Service,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Labels, for example its kind and its rack.
    pub labels: Vec<SmolStr>,
    /// Rack, if the platform names one.
    pub rack: Option<SmolStr>,
    /// Size.
    pub capacity: size::Resources,
    /// It takes no new tasks and will leave.
    pub draining: bool,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Cause {
    /// It finished its work.
    #[display("done")]
    Done,
    /// It failed, by its own fault or that of the worker.
    #[display("failed")]
    Failed,
    /// It was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// The lease of the worker ran out.
    #[display("lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[display("broken")]
    GangEnded,
    /// The other members of its gang did not come in time.
    #[display("alone")]
    GangIncomplete,
}

/// Ended run in the report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Position in the list of the worker.
    pub number: revision::End,
    /// Task.
    pub task: task::Id,
    /// Start of the task that ended.
    pub run: revision::Run,
    /// How it ended.
    pub cause: Cause,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
}

/// Run in progress in the report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// Task.
    pub task: task::Id,
    /// Start of the task.
    pub run: revision::Run,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: SmolStr,
    /// Progress in percent; 100 for a lasting task that is at work.
    pub progress: u32,
    /// Measured over the last half second: tail latency in milliseconds for a task that serves
    /// users, processor use in thousandths of a core for any other.
    pub measure: Option<u64>,
}

/// Answer of a worker to a renewal of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Life of the worker, if it names one.
    pub incarnation: Option<revision::Incarnation>,
    /// Its clock when it answered.
    pub clock: Clock,
    /// Least time until it leaves, while it drains.
    pub leaves_in: Option<Duration>,
    /// Runs in progress.
    pub running: Vec<Running>,
    /// Ended runs that were not acknowledged, in order, [`ENDED_PAGE`] at most.
    pub ended: Vec<Ended>,
}

/// Ended runs that one report holds at most.
pub const ENDED_PAGE: usize = 500;
