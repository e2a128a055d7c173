//! Check of a configuration before it is applied.

use std::time::Duration;

use knapweedgap_core::size;
use knapweedgap_workload::check::difference::{self, Change, Difference, Subject};
use knapweedgap_workload::check::{self, Fault, Field, Finding, Place};
use knapweedgap_workload::configuration::{Configuration, Limits, Policy, Queue, Service};

const HEAD_LEN_MAX: size::Bytes = size::Bytes::new(64 * 1024);

fn queue(name: &str, prefix: &str) -> Queue {
    let policy = Policy {
        service: "s".parse().expect("valid"),
        priority: 0,
        attempts_max: Some(3),
        slowdown: 1.5,
        latency_target: Duration::from_millis(300),
        advice: None,
    };
    let timeout = Duration::from_secs(4);
    Queue { name: name.into(), host: "h".into(), prefix: prefix.into(), timeout, policy }
}

fn valid() -> Configuration {
    let services = [("s".parse().expect("valid"), Service::default())];
    let queues = vec![queue("all", "/"), queue("a", "/a"), queue("b", "/b")];
    Configuration { version: 2, queues, services: services.into() }
}

/// Returns the findings after `change` of the second queue.
fn changed(change: impl FnOnce(&mut Queue)) -> Vec<(Place, Fault)> {
    let mut configuration = valid();
    change(&mut configuration.queues[1]);
    let findings = check::configuration(&configuration);
    findings.into_iter().map(|Finding { place, fault }| (place, fault)).collect()
}

/// Guards against findings on a valid configuration: a shorter prefix of the same host, the default
/// limits and a standby without a queue.
#[test]
fn accepts_valid_configuration() {
    let mut configuration = valid();
    let standby = Service { standby: true, ..Service::default() };
    configuration.services.insert("spare".parse().expect("valid"), standby);
    assert_eq!(check::configuration(&configuration), []);
    assert_eq!(check::limits(&Limits::default(), &configuration.queues, HEAD_LEN_MAX), []);
    assert_eq!(check::version(2, 1), None);
}

/// Guards against naming the wrong one of two queues with the same requests: the check must agree
/// with the queue that requests get.
#[test]
fn names_shadowed_queue() {
    let mut configuration = valid();
    configuration.queues[2].prefix = "/a".into();
    configuration.queues[2].host = "H".into();
    let found = check::configuration(&configuration);
    let (place, fault) = (Place::Queue(1, Field::Prefix), Fault::Shadowed { by: 2 });
    assert_eq!(found, [Finding { place, fault }]);
    assert_eq!(configuration.queue("h", "/a/1").map(|queue| queue.name.as_str()), Some("b"));
}

/// Guards against a fault of a queue that is not found, or found at another place.
#[test]
fn finds_faults_of_queues() {
    let at = |field, fault| vec![(Place::Queue(1, field), fault)];
    let duplicate = Fault::DuplicateName { name: "all".into(), first: 0 };
    assert_eq!(changed(|queue| queue.name = "all".into()), at(Field::Name, duplicate));
    assert_eq!(changed(|queue| queue.host = "".into()), at(Field::Host, Fault::Empty));
    assert_eq!(changed(|queue| queue.prefix = "".into()), at(Field::Prefix, Fault::Empty));
    let relative = Fault::Relative("a".into());
    assert_eq!(changed(|queue| queue.prefix = "a".into()), at(Field::Prefix, relative));
    let attempts = changed(|queue| queue.policy.attempts_max = Some(0));
    assert_eq!(attempts, at(Field::AttemptsMax, Fault::Zero));
    assert_eq!(changed(|queue| queue.timeout = Duration::ZERO), at(Field::Timeout, Fault::Zero));
    let (timeout, target) = (Duration::from_millis(299), Duration::from_millis(300));
    let below = Fault::BelowTarget { timeout, target };
    assert_eq!(changed(|queue| queue.timeout = timeout), at(Field::Timeout, below));
    assert_eq!(changed(|queue| queue.timeout = target), []);
    for factor in [0.99, -1.0, f64::NAN, f64::INFINITY] {
        let found = changed(|queue| queue.policy.slowdown = factor);
        assert_eq!(found.len(), 1, "{factor}");
        assert_eq!(found[0].0, Place::Queue(1, Field::Slowdown));
    }
    assert_eq!(changed(|queue| queue.policy.slowdown = 1.0), []);
    let other = || "other".parse().expect("valid");
    let unlisted = changed(|queue| queue.policy.service = other());
    assert_eq!(unlisted, at(Field::Service, Fault::UnlistedService(other())));
}

/// Guards against a service without workers' tasks that goes unnoticed.
#[test]
fn finds_unused_service() {
    let mut configuration = valid();
    configuration.services.insert("spare".parse().expect("valid"), Service::default());
    let place = Place::Service("spare".parse().expect("valid"));
    assert_eq!(check::configuration(&configuration), [Finding { place, fault: Fault::Unused }]);
}

/// Guards against limits that rule out requests or contradict each other, and against a version
/// that the entries ignore.
#[test]
fn finds_faults_of_limits() {
    let queues = valid().queues;
    let found = |limits: Limits| -> Vec<(Place, Fault)> {
        let findings = check::limits(&limits, &queues, HEAD_LEN_MAX);
        findings.into_iter().map(|Finding { place, fault }| (place, fault)).collect()
    };
    let head_len = |len| Limits { head_len: size::Bytes::new(len), ..Limits::default() };
    assert_eq!(found(head_len(65_536)), []);
    let fault = Fault::Unsupported { len: size::Bytes::new(65_537), len_max: HEAD_LEN_MAX };
    assert_eq!(found(head_len(65_537)), [(Place::Limit(Field::HeadLen), fault)]);
    let zero = Limits {
        version: 1,
        head_len: size::Bytes::new(0),
        body_len: size::Bytes::new(0),
        head_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let fields = [Field::HeadLen, Field::BodyLen, Field::HeadTimeout, Field::IdleTimeout];
    assert_eq!(found(zero), fields.map(|field| (Place::Limit(field), Fault::Zero)));
    let (timeout, idle) = (Duration::from_millis(4001), Duration::from_secs(4));
    let slow = Limits { head_timeout: timeout, idle_timeout: idle, ..Limits::default() };
    let above = [
        Fault::AboveIdle { timeout, idle },
        Fault::AboveQueue { timeout, queue: 0, shortest: Duration::from_secs(4) },
    ];
    assert_eq!(found(slow), above.map(|fault| (Place::Limit(Field::HeadTimeout), fault)));
    assert!(check::version(2, 2).is_some());
}

/// Guards against a difference that is missed, or reported though only the order changed.
#[test]
fn lists_differences() {
    let old = valid();
    let mut new = valid();
    new.queues.reverse();
    assert_eq!(difference::configurations(&old, &new), []);
    new.queues[0].name = "c".into();
    new.queues[1].timeout = Duration::from_secs(5);
    new.services.insert("t".parse().expect("valid"), Service::default());
    let changed =
        |field, old: &str, new: &str| Change::Changed { field, old: old.into(), new: new.into() };
    let expected = [
        (Subject::Queue("a".into()), changed(Field::Timeout, "4s", "5s")),
        (Subject::Queue("b".into()), Change::Removed),
        (Subject::Queue("c".into()), Change::Added),
        (Subject::Service("t".parse().expect("valid")), Change::Added),
    ];
    let expected = expected.map(|(subject, change)| Difference { subject, change });
    assert_eq!(difference::configurations(&old, &new), expected);
    let limits = Limits { version: 9, body_len: size::Bytes::new(1024), ..Limits::default() };
    let change = changed(Field::BodyLen, "256KiB", "1KiB");
    let expected = [Difference { subject: Subject::Limits, change }];
    assert_eq!(difference::limits(&Limits::default(), &limits), expected);
}
