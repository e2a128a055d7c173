//! Check of a configuration before operators apply it.
//!
//! Places and faults are named in the terms of [`configuration`](crate::configuration). The adapter
//! of a platform translates a [`Place`] to the field of its own format.

pub mod difference;

use std::fmt;
use std::time::Duration;

use knapweedgap_core::{id, size};
use smol_str::SmolStr;

use crate::configuration::{Configuration, Limits, Queue};

/// Field of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// Name of a queue.
    Name,
    /// Host of a queue.
    Host,
    /// Prefix of a queue.
    Prefix,
    /// Service of a queue.
    Service,
    /// Priority of a queue.
    Priority,
    /// Number of failed runs after which a job fails.
    AttemptsMax,
    /// Factor of the objective.
    Slowdown,
    /// Constant part of the objective.
    LatencyTarget,
    /// Timeout of a request to a queue.
    Timeout,
    /// Time that the placement advice needs for an answer.
    DecisionTime,
    /// Additional time of the placement advice for each worker.
    TimePerWorker,
    /// Time for which placement advice is valid.
    Validity,
    /// Enforcement of the capacity by the workers of a service.
    EnforcesCapacity,
    /// Whether a service is a standby.
    Standby,
    /// Largest head of a request.
    HeadLen,
    /// Largest body of a request.
    BodyLen,
    /// Timeout for receiving a head.
    HeadTimeout,
    /// Time after which an idle connection is closed.
    IdleTimeout,
}

/// Part of a configuration to which a finding refers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// Version of the configuration.
    Version,
    /// Field of the queue with this index, starting at 0.
    Queue(usize, Field),
    /// Service as a whole.
    Service(id::Service),
    /// Limit on the requests of clients.
    Limit(Field),
}

/// What is wrong at a place.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The queue with the index `first` has the same name.
    DuplicateName {
        /// Name of both queues.
        name: SmolStr,
        /// Index of the queue to which the name refers.
        first: usize,
    },
    /// The queue with the index `by` has the same host and prefix, and takes all requests.
    Shadowed {
        /// Index of the queue that takes the requests.
        by: usize,
    },
    /// The service of a queue is not listed.
    UnlistedService(id::Service),
    /// No queue refers to the service.
    Unused,
    /// A text is empty.
    Empty,
    /// A prefix that doesn't start with `/`.
    Relative(SmolStr),
    /// A number or a time is 0.
    Zero,
    /// The timeout ends before the latency target.
    BelowTarget {
        /// Timeout of the queue.
        timeout: Duration,
        /// Latency target of the queue.
        target: Duration,
    },
    /// The factor of the objective is below 1 or not a finite number.
    Factor(f64),
    /// A size above what is supported.
    Unsupported {
        /// Configured size.
        len: size::Bytes,
        /// Largest supported size.
        len_max: size::Bytes,
    },
    /// The timeout of a head is above the time after which idle connections are closed.
    AboveIdle {
        /// Timeout of a head.
        timeout: Duration,
        /// Time after which an idle connection is closed.
        idle: Duration,
    },
    /// The timeout of a head is above the shortest timeout of a queue.
    AboveQueue {
        /// Timeout of a head.
        timeout: Duration,
        /// Index of the queue with the shortest timeout.
        queue: usize,
        /// Timeout of this queue.
        shortest: Duration,
    },
    /// The version is not higher than the one that it replaces.
    NotHigher {
        /// Version of the new configuration.
        version: u64,
        /// Version to be replaced.
        other: u64,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::DuplicateName { name, first } => {
                write!(f, "{name:?} is also the name of route {first}")
            }
            Fault::Shadowed { by } => {
                write!(f, "never matches, because route {by} has the same host and prefix")
            }
            Fault::UnlistedService(service) => write!(f, "service {service} is not listed"),
            Fault::Unused => f.write_str("no route refers to this service"),
            Fault::Empty => f.write_str("is empty"),
            Fault::Relative(prefix) => write!(f, "{prefix:?} doesn't start with \"/\""),
            Fault::Zero => f.write_str("is 0"),
            Fault::BelowTarget { timeout, target } => {
                write!(f, "{timeout:?} is below the latency target of {target:?}")
            }
            Fault::Factor(factor) => write!(f, "{factor} is not a finite number of at least 1"),
            Fault::Unsupported { len, len_max } => {
                write!(f, "{len} is above the largest supported size of {len_max}")
            }
            Fault::AboveIdle { timeout, idle } => {
                write!(f, "{timeout:?} is above the idle timeout of {idle:?}")
            }
            Fault::AboveQueue { timeout, queue, shortest } => write!(
                f,
                "{timeout:?} is above the shortest timeout of a route, {shortest:?} of route {queue}"
            ),
            Fault::NotHigher { version, other } => {
                write!(f, "{version} is not higher than the version {other} that it replaces")
            }
        }
    }
}

impl Fault {
    /// Returns how operators can correct the fault.
    pub fn remedy(&self) -> &'static str {
        match self {
            Fault::DuplicateName { .. } => "rename or remove one of the two routes",
            Fault::Shadowed { .. } => "remove one of the two routes or change a prefix",
            Fault::UnlistedService(_) => "list the service or name a listed one",
            Fault::Unused => "add a route to it, remove it or declare it as a standby",
            Fault::Empty => "set a text",
            Fault::Relative(_) => "add the leading \"/\"",
            Fault::Zero => "set a value above 0",
            Fault::BelowTarget { .. } => "raise the timeout or lower the latency target",
            Fault::Factor(_) => "set a factor of at least 1",
            Fault::Unsupported { .. } => "lower it to the supported size",
            Fault::AboveIdle { .. } => "lower it or raise the idle timeout",
            Fault::AboveQueue { .. } => "lower it or raise the timeout of the route",
            Fault::NotHigher { .. } => "raise the version",
        }
    }
}

/// Fault and where it is.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Part of the configuration to change.
    pub place: Place,
    /// What is wrong there.
    pub fault: Fault,
}

/// Returns the findings on the queues and services of a configuration.
pub fn configuration(configuration: &Configuration) -> Vec<Finding> {
    let mut findings = Vec::new();
    let queues = &configuration.queues;
    for (index, queue) in queues.iter().enumerate() {
        let mut add = |field, fault| {
            findings.push(Finding { place: Place::Queue(index, field), fault });
        };
        // `Configuration::queue_named` returns the first queue of a name.
        if let Some(first) = queues[..index].iter().position(|other| other.name == queue.name) {
            add(Field::Name, Fault::DuplicateName { name: queue.name.clone(), first });
        }
        // `Configuration::queue` returns the last one of queues with equal prefixes.
        if let Some(by) = queues.iter().rposition(|other| has_same_requests(queue, other))
            && by > index
        {
            add(Field::Prefix, Fault::Shadowed { by });
        }
        if queue.host.is_empty() {
            add(Field::Host, Fault::Empty);
        }
        if queue.prefix.is_empty() {
            add(Field::Prefix, Fault::Empty);
        } else if !queue.prefix.starts_with('/') {
            add(Field::Prefix, Fault::Relative(queue.prefix.clone()));
        }
        let policy = &queue.policy;
        if !configuration.services.contains_key(&policy.service) {
            add(Field::Service, Fault::UnlistedService(policy.service.clone()));
        }
        if policy.attempts_max == Some(0) {
            add(Field::AttemptsMax, Fault::Zero);
        }
        if !policy.slowdown.is_finite() || policy.slowdown < 1.0 {
            add(Field::Slowdown, Fault::Factor(policy.slowdown));
        }
        let (timeout, target) = (queue.timeout, policy.latency_target);
        if timeout.is_zero() {
            add(Field::Timeout, Fault::Zero);
        } else if timeout < target {
            add(Field::Timeout, Fault::BelowTarget { timeout, target });
        }
    }
    for (name, service) in &configuration.services {
        // The machines of a standby serve other services, so it needs no queue.
        if service.standby || queues.iter().any(|queue| queue.policy.service == *name) {
            continue;
        }
        findings.push(Finding { place: Place::Service(name.clone()), fault: Fault::Unused });
    }
    findings
}

fn has_same_requests(queue: &Queue, other: &Queue) -> bool {
    queue.prefix == other.prefix && queue.host.eq_ignore_ascii_case(&other.host)
}

/// Returns the findings on limits. They are compared with the timeouts of `queues`, and heads with
/// `head_len_max`, the largest size that is supported.
pub fn limits(limits: &Limits, queues: &[Queue], head_len_max: size::Bytes) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |field, fault| findings.push(Finding { place: Place::Limit(field), fault });
    for (field, len) in [(Field::HeadLen, limits.head_len), (Field::BodyLen, limits.body_len)] {
        if len.get() == 0 {
            add(field, Fault::Zero);
        }
    }
    if limits.head_len > head_len_max {
        let fault = Fault::Unsupported { len: limits.head_len, len_max: head_len_max };
        add(Field::HeadLen, fault);
    }
    let (timeout, idle) = (limits.head_timeout, limits.idle_timeout);
    for (field, time) in [(Field::HeadTimeout, timeout), (Field::IdleTimeout, idle)] {
        if time.is_zero() {
            add(field, Fault::Zero);
        }
    }
    if timeout > idle && !idle.is_zero() {
        add(Field::HeadTimeout, Fault::AboveIdle { timeout, idle });
    }
    let timeouts = queues.iter().map(|queue| queue.timeout).enumerate();
    let shortest = timeouts.filter(|(_, time)| !time.is_zero()).min_by_key(|(_, time)| *time);
    if let Some((queue, shortest)) = shortest
        && timeout > shortest
    {
        add(Field::HeadTimeout, Fault::AboveQueue { timeout, queue, shortest });
    }
    findings
}

/// Returns the finding on a version that is not higher than the `other`, which it replaces.
pub fn version(version: u64, other: u64) -> Option<Finding> {
    let fault = Fault::NotHigher { version, other };
    (version <= other).then_some(Finding { place: Place::Version, fault })
}
