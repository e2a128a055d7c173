//! Tests that the typed views contain the defaults and every value that is set.

use std::collections::BTreeMap;
use std::time::Duration;

use knapweedgap_core::rate::{PerSecond, Share};
use knapweedgap_core::size::{Accelerator, Bytes, Connection, Processor, Slot};
use knapweedgap_settings::effective::{Service, System, Team};
use knapweedgap_settings::path::Level;
use knapweedgap_settings::schema::{KEYS, Kind};
use knapweedgap_settings::{Key, Path, Tree, Value};
use serde_json::{Value as Json, json};

/// Guards against a default that the schema rejects.
#[test]
fn every_default_is_valid() {
    for key in KEYS {
        let entry = key.entry();
        let Some(default) = entry.default() else { continue };
        let json = default.to_json();
        assert_eq!(Value::from_json(&json, &entry.kind), Ok(default), "{key}");
        assert!(entry.levels.contains(&Level::Root), "{key}");
    }
    assert!(Tree::from_json(&json!({})).is_ok());
}

/// Guards against defaults that differ from the specified ones.
#[test]
fn the_defaults_are_the_documented_ones() {
    let service = Service::default();
    assert_eq!(service.slots_per_upstream, Slot::new(8));
    assert_eq!(service.connections_per_upstream, Connection::new(60));
    assert_eq!(service.configured_entries, 7);
    assert_eq!(service.connections_per_entry(), Connection::new(4));
    assert_eq!(service.retry_share, Share::from_milli(100));
    assert_eq!(service.retry_floor, PerSecond::new(3));
    let methods: Vec<String> =
        service.non_idempotent_methods.iter().map(ToString::to_string).collect();
    assert_eq!(methods, ["PATCH", "POST"]);
    assert_eq!(service.latency_target, None);
    let system = System::default();
    assert_eq!(system.partitions, 4);
    assert_eq!(system.worker_lease, Duration::from_secs(10));
    assert_eq!(system.worker_heartbeat, Duration::from_secs(1));
    assert_eq!(system.drain_notice, Duration::from_secs(2));
    assert_eq!(system.group_commit_interval, Duration::from_millis(20));
    assert_eq!(system.quarantine_failures, 3);
    assert_eq!(system.settings_history, 200);
    assert_eq!(Team::default().quota_processor, None);
}

/// Returns a valid value that differs from the default.
fn non_default(key: Key) -> Json {
    let entry = key.entry();
    let (min, max) = match entry.kind {
        Kind::Duration { min, max } => (Value::from(min), Value::from(max)),
        Kind::Bytes { min, max } => (min.into(), max.into()),
        Kind::Processor { min, max } => (min.into(), max.into()),
        Kind::Count { min, max } => (min.into(), max.into()),
        Kind::Share { min, max } => (min.into(), max.into()),
        Kind::Rate { min, max } => (min.into(), max.into()),
        Kind::Methods => return json!(["PUT"]),
        Kind::Weights => return json!({"zone-9": 3}),
    };
    if entry.default() == Some(min.clone()) { max.to_json() } else { min.to_json() }
}

/// Guards against a view that omits a key or reads it as a value of another kind.
#[test]
fn every_key_appears_in_a_view() {
    let service = "dispatch".parse().expect("valid");
    let team = "plans".parse().expect("valid");
    let views = |tree: &Tree| {
        (
            Service::read(tree, &Path::root(), &service),
            Team::read(tree, &team),
            System::read(tree, &Path::root()),
        )
    };
    let defaults = views(&Tree::default());
    for key in KEYS {
        let value = non_default(*key);
        let tree = Tree::default().set(&Path::root(), *key, &value).or_else(|_| {
            // The smallest value can contradict the default of another key; the largest one does not.
            let json = json!({"settings": {(key.to_string()): largest(*key)}});
            Tree::from_json(&json)
        });
        let tree = tree.unwrap_or_else(|findings| panic!("{key}: {findings}"));
        assert_ne!(views(&tree), defaults, "{key}");
    }
}

fn largest(key: Key) -> Json {
    match key.entry().kind {
        Kind::Duration { max, .. } => Value::from(max).to_json(),
        Kind::Count { max, .. } => Value::from(max).to_json(),
        Kind::Share { max, .. } => Value::from(max).to_json(),
        other => panic!("{key}: no largest value of {other:?}"),
    }
}

/// Guards against a view with the values of another place.
#[test]
fn a_view_is_read_from_its_place() {
    let json = json!({
        "settings": {"drain_notice": "3s"},
        "children": {
            "region-a": {
                "settings": {"drain_notice": "4s"},
                "children": {
                    "services": {"children": {"dispatch": {"settings": {"latency_target": "250ms"}}}},
                    "zone-1": {"settings": {"configured_entries": 5, "traffic_weights": {"z": 1}}},
                },
            },
            "teams": {
                "settings": {"quota_memory": "4GiB", "quota_accelerator": 2},
                "children": {"plans": {"settings": {"quota_processor": "1500m"}}},
            },
        },
    });
    let tree = Tree::from_json(&json).expect("valid");
    let zone: Path = "region-a/zone-1".parse().expect("valid");
    let service = Service::read(&tree, &zone, &"dispatch".parse().expect("valid"));
    assert_eq!(service.latency_target, Some(Duration::from_millis(250)));
    assert_eq!(service.configured_entries, 5);
    assert_eq!(service.traffic_weights, BTreeMap::from([("z".parse().expect("valid"), 1)]));
    assert_eq!(System::read(&tree, &zone).drain_notice, Duration::from_secs(4));
    let other: Path = "region-b".parse().expect("valid");
    assert_eq!(System::read(&tree, &other).drain_notice, Duration::from_secs(3));
    let team = Team::read(&tree, &"plans".parse().expect("valid"));
    assert_eq!(team.quota_processor, Some(Processor::from_milli(1500)));
    assert_eq!(team.quota_memory, Some(Bytes::new(4 << 30)));
    assert_eq!(team.quota_accelerator, Some(Accelerator::new(2)));
}
