//! What operators configure: queues of jobs and the services whose workers run them.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::id;
use smol_str::SmolStr;

/// Configuration of one version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version; it grows with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
}

/// Queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: SmolStr,
    /// Host that requests for this queue name.
    pub host: SmolStr,
    /// Start of the path of requests for this queue.
    pub prefix: SmolStr,
    /// Service whose workers run the tasks.
    pub service: id::Service,
    /// Urgency; 0 goes first.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub attempts_max: u32,
    /// Part of the objective: multiple of the longest chain of work.
    pub slowdown: f64,
    /// Part of the objective: time added to the multiple.
    pub latency_target: Duration,
    /// Time after which a request to this queue is given up.
    pub timeout: Duration,
    /// An outside service says which workers may run a step.
    pub advice: Option<Advice>,
}

/// How the placement advice of a queue behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Advice {
    /// Time of one answer.
    pub decision_time: Duration,
    /// Time added for each worker in the question.
    pub time_per_worker: Duration,
    /// How long an answer may be used.
    pub validity: Duration,
}

/// Service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Service {
    /// The workers refuse tasks that do not fit.
    pub enforces_capacity: bool,
    /// The machines are switched off until they are moved to another service.
    pub standby: bool,
}

impl Configuration {
    /// Returns the queue of a request: the one with the longest prefix of `path` at `host`.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = |queue: &&Queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(queue.prefix.as_str())
        };
        self.queues.iter().filter(matching).max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue of a name.
    pub fn queue_named(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
