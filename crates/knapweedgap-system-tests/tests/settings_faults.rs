//! Test of settings with concurrent operators, an unavailable store and restarts of instances (G9).

use std::time::Duration;

use knapweedgap_core::{id, revision};
use knapweedgap_system_tests::checker::settings::{check_in_force, check_order};
use knapweedgap_system_tests::cluster::{Cluster, Signal};
use knapweedgap_system_tests::watcher::Watcher;
use serde_json::{Value, json};

/// Longest time from the acceptance of a change until it is in force, in microseconds. It is the
/// target of the design for installations of today's size.
const BOUND_US: u64 = 2_000_000;

/// Accepted change of the settings.
struct Accepted {
    revision: revision::Revision,
    at_us: u64,
    /// Instances that were not being restarted when the change was accepted.
    instances: Vec<id::Instance>,
}

fn ids(cluster: &Cluster, indices: &[usize]) -> Vec<id::Instance> {
    indices.iter().map(|index| cluster.entries[*index].name.parse().expect("an id")).collect()
}

fn patch(cluster: &Cluster, entry: usize, base: u64, deadline: &str) -> (u16, Value) {
    let body = json!({
        "base": base, "author": format!("operator-{entry}"),
        "operations": [{
            "op": "set", "path": "services/dispatch", "key": "request_deadline", "value": deadline,
        }],
    });
    let answer =
        cluster.call_operator(entry, "PATCH", "/v1/settings", Some(&body)).expect("an answer");
    (answer.status, answer.body)
}

fn revision_at(cluster: &Cluster, entry: usize) -> u64 {
    let answer = cluster.call_operator(entry, "GET", "/v1/settings", None).expect("an answer");
    answer.body["revision"].as_u64().expect("a revision")
}

/// Guards against an instance that returns to an older revision or misses an accepted change, an
/// operator whose conflicting change overwrites that of another, and a change that is accepted while
/// the store is unavailable.
#[test]
fn settings_never_regress_and_are_in_force_in_time() {
    let mut cluster = Cluster::builder().entries(4).runners(1).seed(17).start();
    let watcher = Watcher::start(&cluster);
    let mut accepted = Vec::new();
    let mut record = |cluster: &Cluster, running: &[usize], body: &Value, at_us: u64| {
        let revision = revision::Revision::new(body["revision"].as_u64().expect("a revision"));
        accepted.push(Accepted { revision, at_us, instances: ids(cluster, running) });
    };

    // Two operators concurrently change the same value based on the same revision.
    for round in 0..5 {
        let base = revision_at(&cluster, 0);
        let both = std::thread::scope(|scope| {
            let cluster = &cluster;
            let first = scope.spawn(move || patch(cluster, 0, base, &format!("{}s", 2 + round)));
            let second = scope.spawn(move || patch(cluster, 1, base, &format!("{}s", 9 + round)));
            [first.join().expect("an operator"), second.join().expect("an operator")]
        });
        let won: Vec<_> = both.iter().filter(|(status, _)| *status == 200).collect();
        let conflicts = both.iter().filter(|(status, _)| *status == 409).count();
        assert_eq!((won.len(), conflicts), (1, 1), "{both:?}");
        record(&cluster, &[0, 1, 2, 3], &won[0].1, watcher.now_us());
        cluster.wait_until("entry 0 has the new revision", Duration::from_secs(2), || {
            revision_at(&cluster, 0) > base
        });
    }

    // All entries restart one by one, and settings change while each of them is stopped.
    for restarted in 0..4 {
        let other = (restarted + 1) % 4;
        let running: Vec<usize> = (0..4).filter(|index| *index != restarted).collect();
        cluster.signal_entry(restarted, Signal::Terminate);
        let base = revision_at(&cluster, other);
        let (status, body) = patch(&cluster, other, base, &format!("{}ms", 700 + restarted));
        assert_eq!(status, 200, "{body}");
        record(&cluster, &running, &body, watcher.now_us());
        assert!(
            cluster.wait_entry(restarted, Duration::from_secs(10)),
            "entry {restarted} reported an error at its shutdown"
        );
        cluster.start_entry(restarted);
        cluster.wait_ready();
    }

    // During an outage of the store changes are refused, and a starting entry receives the settings
    // from its peers.
    cluster.signal_entry(3, Signal::Kill);
    cluster.set_store_fault(json!({ "outage": true }));
    let base = revision_at(&cluster, 0);
    let (status, body) = patch(&cluster, 0, base, "5s");
    assert_eq!(status, 503, "{body}");
    cluster.start_entry(3);
    cluster.wait_until("the started entry has the settings", Duration::from_secs(10), || {
        let answer = cluster.call_operator(3, "GET", "/v1/settings", None);
        answer.is_ok_and(|answer| answer.body["revision"] == json!(base))
    });
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(revision_at(&cluster, 0), base, "a refused change is in force");
    cluster.set_store_fault(json!({ "outage": false }));
    cluster.wait_ready();
    let (status, body) = patch(&cluster, 3, base, "6s");
    assert_eq!(status, 200, "{body}");
    record(&cluster, &[0, 1, 2, 3], &body, watcher.now_us());
    std::thread::sleep(Duration::from_micros(BOUND_US));

    let observations = watcher.finish();
    let mut violations = check_order(&observations);
    for one in &accepted {
        violations.extend(check_in_force(
            &observations,
            &one.instances,
            one.revision,
            one.at_us,
            BOUND_US,
        ));
    }
    println!("{} changes, {} observations", accepted.len(), observations.len());
    let violations: Vec<String> = violations.iter().map(ToString::to_string).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
