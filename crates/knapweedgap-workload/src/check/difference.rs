//! Differences between two configurations.

use knapweedgap_core::id;
use smol_str::{SmolStr, format_smolstr};

use super::Field;
use crate::configuration::{Advice, Configuration, Limits, Queue, Service};

/// What differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// Queue with this name. Of several with one name, the first is compared.
    Queue(SmolStr),
    /// Service with this name.
    Service(id::Service),
    /// Limits on the requests of clients.
    Limits,
}

/// How a subject differs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Only the new configuration has it.
    Added,
    /// Only the old configuration has it.
    Removed,
    /// A field has another value. Times have a unit; texts are quoted.
    Changed {
        /// The field.
        field: Field,
        /// Value in the old configuration.
        old: SmolStr,
        /// Value in the new configuration.
        new: SmolStr,
    },
}

/// One difference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// What differs.
    pub subject: Subject,
    /// How it differs.
    pub change: Change,
}

type Values = Vec<(Field, SmolStr)>;

/// Returns the differences between the queues and services of two configurations: queues in the
/// order of the old configuration, then added ones, then services by name.
pub fn configurations(old: &Configuration, new: &Configuration) -> Vec<Difference> {
    let mut differences = Vec::new();
    for (index, queue) in old.queues.iter().enumerate() {
        if old.queues[..index].iter().any(|other| other.name == queue.name) {
            continue;
        }
        let now = new.queue_named(&queue.name).map(queue_values);
        let subject = Subject::Queue(queue.name.clone());
        compare(&mut differences, subject, Some(queue_values(queue)), now);
    }
    for (index, queue) in new.queues.iter().enumerate() {
        let is_repeated = new.queues[..index].iter().any(|other| other.name == queue.name);
        if is_repeated || old.queue_named(&queue.name).is_some() {
            continue;
        }
        let subject = Subject::Queue(queue.name.clone());
        compare(&mut differences, subject, None, Some(queue_values(queue)));
    }
    let mut names: Vec<&id::Service> = old.services.keys().chain(new.services.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let before = old.services.get(name).map(service_values);
        let now = new.services.get(name).map(service_values);
        compare(&mut differences, Subject::Service(name.clone()), before, now);
    }
    differences
}

/// Returns the differences between limits, without their versions.
pub fn limits(old: &Limits, new: &Limits) -> Vec<Difference> {
    let mut differences = Vec::new();
    let (old, new) = (limit_values(old), limit_values(new));
    compare(&mut differences, Subject::Limits, Some(old), Some(new));
    differences
}

fn compare(
    differences: &mut Vec<Difference>,
    subject: Subject,
    old: Option<Values>,
    new: Option<Values>,
) {
    let (old, new) = match (old, new) {
        (Some(old), Some(new)) => (old, new),
        (None, Some(_)) => {
            differences.push(Difference { subject, change: Change::Added });
            return;
        }
        (Some(_), None) => {
            differences.push(Difference { subject, change: Change::Removed });
            return;
        }
        (None, None) => return,
    };
    // Both lists hold the same fields in the same order.
    for ((field, old), (_, new)) in old.into_iter().zip(new) {
        if old == new {
            continue;
        }
        let change = Change::Changed { field, old, new };
        differences.push(Difference { subject: subject.clone(), change });
    }
}

fn queue_values(queue: &Queue) -> Values {
    let policy = &queue.policy;
    let advice = |time: fn(&Advice) -> std::time::Duration| match &policy.advice {
        Some(advice) => format_smolstr!("{:?}", time(advice)),
        None => "none".into(),
    };
    let attempts = policy.attempts_max.map(|attempts| format_smolstr!("{attempts}"));
    vec![
        (Field::Host, format_smolstr!("{:?}", queue.host)),
        (Field::Prefix, format_smolstr!("{:?}", queue.prefix)),
        (Field::Service, format_smolstr!("{}", policy.service)),
        (Field::Priority, format_smolstr!("{}", policy.priority)),
        (Field::AttemptsMax, attempts.unwrap_or_else(|| "none".into())),
        (Field::Slowdown, format_smolstr!("{}", policy.slowdown)),
        (Field::LatencyTarget, format_smolstr!("{:?}", policy.latency_target)),
        (Field::Timeout, format_smolstr!("{:?}", queue.timeout)),
        (Field::DecisionTime, advice(|advice| advice.decision_time)),
        (Field::TimePerWorker, advice(|advice| advice.time_per_worker)),
        (Field::Validity, advice(|advice| advice.validity)),
    ]
}

fn service_values(service: &Service) -> Values {
    vec![
        (Field::EnforcesCapacity, format_smolstr!("{}", service.enforces_capacity)),
        (Field::Standby, format_smolstr!("{}", service.standby)),
    ]
}

fn limit_values(limits: &Limits) -> Values {
    vec![
        (Field::HeadLen, format_smolstr!("{}", limits.head_len)),
        (Field::BodyLen, format_smolstr!("{}", limits.body_len)),
        (Field::HeadTimeout, format_smolstr!("{:?}", limits.head_timeout)),
        (Field::IdleTimeout, format_smolstr!("{:?}", limits.idle_timeout)),
    ]
}
