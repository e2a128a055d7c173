//! Ids of the objects that the system schedules, routes to and communicates with.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::macros::{name, number};
use crate::parse;

/// Maximum length of a name, in bytes.
pub const NAME_LEN_MAX: usize = 128;

pub(crate) const NAME_HELP: &str = "use 1 to 128 of the characters A-Z a-z 0-9 . _ - :";

pub(crate) fn is_name(text: &str) -> bool {
    let length_ok = !text.is_empty() && text.len() <= NAME_LEN_MAX;
    length_ok && text.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"._-:".contains(&byte))
}

name!(
    /// Daemon process; the id is set in its settings file.
    Instance, "instance id"
);
name!(
    /// Machine that runs tasks.
    Worker, "worker id"
);
name!(
    /// Server that answers the requests of a service.
    Upstream, "upstream id"
);
name!(
    /// Machine of the platform; the id is the one in the VM list.
    Vm, "VM id"
);
name!(
    /// Availability zone, as named in the VM list.
    Zone, "availability zone"
);
name!(
    /// Rack inside an availability zone.
    Rack, "rack id"
);
name!(
    /// Service; the name is the first path segment of its requests.
    Service, "service name"
);
name!(
    /// Team that submits jobs under a quota.
    Team, "team name"
);
name!(
    /// Class of batch tasks that cause similar interference.
    Class, "class name"
);
name!(
    /// Client request; the id is unique across all instances.
    Request, "request id"
);
name!(
    /// Idempotency key: a client may repeat a request or a submission with the same key without
    /// executing it twice.
    Key, "idempotency key"
);

number!(
    /// Part of the fleet that has at most one owner at a time.
    Partition, u32, "partition number"
);
number!(
    /// Number of an attempt to run a task, starting at 1.
    Attempt, u32, "attempt number"
);
number!(
    /// Random number that a process draws when it starts. It distinguishes the process from earlier
    /// ones with the same id.
    Incarnation, u64, "incarnation"
);

/// Job id, derived from the team and the idempotency key so that a repeated submission maps to the
/// same record. Its text form is 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "SmolStr", into = "SmolStr")]
pub struct Job(u64);

impl Job {
    /// Number of digits of an id in text.
    pub const TEXT_LEN: usize = 16;

    /// Derives the id from a hash of the team and the key.
    ///
    /// The output of rapidhash version 3 is fixed, so all versions of the daemon derive the same id.
    pub fn derive(team: &Team, key: &Key) -> Job {
        let text = format_smolstr!("{team}/{key}");
        Job(rapidhash::v3::rapidhash_v3(text.as_bytes()))
    }

    /// Creates a job id from its hash.
    pub const fn new(hash: u64) -> Job {
        Job(hash)
    }

    /// Returns the hash.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the partition, out of `count`, that stores this job.
    ///
    /// All instances must map a job to the same partition, so `count` stays fixed for the lifetime
    /// of an installation. 0 is treated as 1.
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
        if text.len() != Job::TEXT_LEN || !digits {
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

/// Task of a job. Its text form is `<job>.<index>`.
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
