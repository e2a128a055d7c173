//! Configuration by operators: queues of jobs and the services whose workers run them.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::{id, size};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Longest objective of a job. Multiples of it are added to times without an overflow.
pub const OBJECTIVE_MAX: Duration = Duration::from_secs(100 * 366 * 24 * 60 * 60);

/// Configuration of one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version, which increases with each change.
    pub version: u64,
    /// Queues that accept jobs.
    pub queues: Vec<Queue>,
    /// Services by name, to which the queues refer.
    pub services: BTreeMap<id::Service, Service>,
}

/// Queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name, to which accepted jobs refer.
    pub name: SmolStr,
    /// Host in the requests for this queue, compared without regard to case.
    pub host: SmolStr,
    /// Prefix of the path of requests for this queue.
    pub prefix: SmolStr,
    /// Timeout of a request to this queue.
    pub timeout: Duration,
    /// How the jobs of the queue run.
    pub policy: Policy,
}

/// How the jobs of a queue run. The record of a job holds the policy at its acceptance, which applies
/// once the queue is removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Service whose workers run the tasks.
    pub service: id::Service,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails; `None` in records of earlier
    /// releases, which don't hold it.
    pub attempts_max: Option<u32>,
    /// Factor of the objective, which is `slowdown` times the critical path of the job plus
    /// `latency_target`.
    pub slowdown: f64,
    /// Constant part of the objective.
    pub latency_target: Duration,
    /// Placement advice by an external service, which decides on which workers a step may run;
    /// `None` if all workers are allowed.
    pub advice: Option<Advice>,
}

impl Policy {
    /// Returns the time after its acceptance within which a job with this critical path has to be
    /// completed: [`OBJECTIVE_MAX`] if it is longer or the factor is negative or not a number.
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let scaled = Duration::try_from_secs_f64(critical_path.as_secs_f64() * self.slowdown);
        let objective = scaled.unwrap_or(OBJECTIVE_MAX).saturating_add(self.latency_target);
        objective.min(OBJECTIVE_MAX)
    }
}

/// Timing of the placement advice of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Advice {
    /// Time that the service needs for an answer.
    pub decision_time: Duration,
    /// Additional time for each worker in the request.
    pub time_per_worker: Duration,
    /// Time for which an answer is valid.
    pub validity: Duration,
}

/// Limits on the requests of clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Version of the configuration that sets them; 0 for the defaults.
    pub version: u64,
    /// Largest head of a request.
    pub head_len: size::Bytes,
    /// Largest body of a request.
    pub body_len: size::Bytes,
    /// Timeout for receiving the head of a request.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            version: 0,
            head_len: size::Bytes::new(16 * 1024),
            body_len: size::Bytes::new(256 * 1024),
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Service whose machines run tasks. The default neither enforces capacity nor is a standby.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Service {
    /// The workers refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
    /// The machines are off until they are moved to another service.
    pub standby: bool,
}

impl Configuration {
    /// Returns the queue of a request: the one for `host` with the longest prefix of `path`.
    /// Returns `None` if no queue matches.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = |queue: &&Queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(queue.prefix.as_str())
        };
        self.queues.iter().filter(matching).max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue with this name, or `None` if it is not configured.
    pub fn queue_named(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
