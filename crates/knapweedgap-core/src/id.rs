//! Ids of the things that the system schedules, routes to and talks to.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::macros::{name, number};
use crate::parse;

/// Longest name, in bytes.
pub const NAME_LEN_MAX: usize = 128;

pub(crate) const NAME_HELP: &str = "use 1 to 128 of the characters A-Z a-z 0-9 . _ - :";

pub(crate) fn is_name(text: &str) -> bool {
    let length_ok = !text.is_empty() && text.len() <= NAME_LEN_MAX;
    length_ok && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte))
}

name!(
    /// One daemon process, named in its own settings file.
    Instance, "instance id"
);
name!(
    /// One machine that runs tasks.
    Worker, "worker id"
);
name!(
    /// One runner of a service.
    Upstream, "upstream id"
);
name!(
    /// One machine of the platform, as the VM list names it.
    Vm, "VM id"
);
name!(
    /// One availability zone.
    Zone, "availability zone"
);
name!(
    /// One rack inside an availability zone.
    Rack, "rack id"
);
name!(
    /// One service, the first path segment of its requests.
    Service, "service name"
);
name!(
    /// One team with a quota.
    Team, "team name"
);
name!(
    /// One class of batch work whose tasks interfere alike.
    Class, "class name"
);
name!(
    /// One client request, unique over all instances.
    Request, "request id"
);
name!(
    /// Key under which a client may repeat a request or a submission without running it twice.
    Key, "idempotency key"
);

number!(
    /// One share of the fleet with a single owner at a time.
    Partition, u32, "partition number"
);
number!(
    /// Count of runs of one task, starting at 1.
    Attempt, u32, "attempt number"
);
number!(
    /// One run of a process, drawn at random when the process starts.
    Incarnation, u64, "incarnation"
);

/// One job, derived from its team and idempotency key so that a repeated submission meets the
/// same record. Written as 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Job(u64);

impl Job {
    /// Derives the id from the hash of the team and the key.
    ///
    /// Rapidhash version 3 has a fixed output, so all versions of the daemon agree on the id.
    pub fn derive(team: &Team, key: &Key) -> Job {
        let text = format_smolstr!("{team}/{key}");
        Job(rapidhash::v3::rapidhash_v3(text.as_bytes()))
    }

    /// Wraps a plain hash.
    pub const fn new(hash: u64) -> Job {
        Job(hash)
    }

    /// Returns the plain hash.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the partition that keeps this job, out of `count` partitions.
    ///
    /// The job must meet the same partition from every instance, so `count` is fixed for the life
    /// of an installation.
    pub fn primary_partition(self, count: u32) -> Partition {
        let index = self.0 % u64::from(count.max(1));
        Partition::new(u32::try_from(index).unwrap_or_default())
    }
}

impl fmt::Debug for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Job({self})")
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Job {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Job, parse::Error> {
        let error = || parse::Error::new("job id", text, "write 16 lower-case hexadecimal digits");
        let digits = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if text.len() != 16 || !digits {
            return Err(error());
        }
        u64::from_str_radix(text, 16).map(Job).map_err(|_| error())
    }
}

impl TryFrom<SmolStr> for Job {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Job, parse::Error> {
        text.parse()
    }
}

impl From<Job> for SmolStr {
    fn from(job: Job) -> SmolStr {
        format_smolstr!("{job}")
    }
}

/// One task of a job, written as `<job>.<index>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Task {
    /// Job that the task belongs to.
    pub job: Job,
    /// Position of the task in its job, starting at 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl FromStr for Task {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Task, parse::Error> {
        let error = || parse::Error::new("task id", text, "write <job id>.<index>");
        let (job, index) = text.split_once('.').ok_or_else(error)?;
        let job = job.parse().map_err(|_| error())?;
        let index = index.parse().map_err(|_| error())?;
        Ok(Task { job, index })
    }
}

impl TryFrom<SmolStr> for Task {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Task, parse::Error> {
        text.parse()
    }
}

impl From<Task> for SmolStr {
    fn from(task: Task) -> SmolStr {
        format_smolstr!("{task}")
    }
}
