//! Tests that each kind of fault is reported with its place and help, together with all others.

use knapweedgap_settings::finding::Code;
use knapweedgap_settings::{Key, Path, Tree, finding, tree};
use serde_json::{Value as Json, json};

fn faults(json: &Json) -> Vec<(Code, String)> {
    let findings = Tree::from_json(json).expect_err("the tree is faulty");
    for finding in findings.list() {
        assert!(!finding.help.is_empty(), "{finding}");
    }
    findings.list().iter().map(|finding| (finding.code, finding.place.clone())).collect()
}

/// Guards against a check that stops at the first fault of a tree.
#[test]
fn all_faults_are_reported_together() {
    let json = json!({
        "setings": {},
        "settings": {
            "queue_time": "5kg",
            "queue_length": "12",
            "drain_notice": "20min",
            "retry_shaer": "10%",
            "non_idempotent_methods": ["POST", "post", 3],
            "traffic_weights": {"zone 1": 1, "zone-2": 1001},
        },
        "children": {
            "a b": {},
            "region-a": {
                "settings": {"partitions": 3},
                "children": {"teams": {}, "services": {"children": {"x": {"children": {"y": {}}}}}},
            },
        },
    });
    let expected = [
        (Code::BadPath, "$.children[\"a b\"]"),
        (
            Code::BadPath,
            "$.children[\"region-a\"].children[\"services\"].children[\"x\"].children[\"y\"]",
        ),
        (Code::BadPath, "$.children[\"region-a\"].children[\"teams\"]"),
        (Code::WrongLevel, "$.children[\"region-a\"].settings.partitions"),
        (Code::UnknownField, "$.setings"),
        (Code::OutOfRange, "$.settings.drain_notice"),
        (Code::OutOfRange, "$.settings.non_idempotent_methods[1]"),
        (Code::WrongType, "$.settings.non_idempotent_methods[2]"),
        (Code::WrongType, "$.settings.queue_length"),
        (Code::WrongUnit, "$.settings.queue_time"),
        (Code::UnknownKey, "$.settings.retry_shaer"),
        (Code::BadPath, "$.settings.traffic_weights"),
        (Code::OutOfRange, "$.settings.traffic_weights[\"zone-2\"]"),
    ];
    let mut found = faults(&json);
    found.sort_by(|left, right| left.1.cmp(&right.1));
    let expected: Vec<(Code, String)> =
        expected.iter().map(|(code, place)| (*code, (*place).to_owned())).collect();
    assert_eq!(found, expected);
}

/// Guards against a help text that does not suggest the most similar key.
#[test]
fn a_misspelled_key_is_reported_with_the_most_similar_one() {
    let findings = Tree::from_json(&json!({"settings": {"retry_shaer": "10%"}})).expect_err("typo");
    assert!(findings.to_string().contains("did you mean retry_share?"), "{findings}");
}

/// Guards against undetected contradictions between the values of an inner place and those of a
/// service in an outer place.
#[test]
fn a_contradiction_between_a_place_and_a_service_of_the_root_is_found() {
    let json = json!({"children": {
        "region-a": {"settings": {"configured_entries": 20}},
        "services": {"children": {"dispatch": {"settings": {"connections_per_upstream": 30}}}},
    }});
    let place = "$.children[\"region-a\"].children[\"services\"].children[\"dispatch\"].settings.connections_per_upstream";
    assert_eq!(faults(&json), [(Code::Contradiction, place.to_owned())]);
}

/// Guards against a lease that expires after one lost heartbeat, and against objective weights that
/// are all zero.
#[test]
fn a_contradiction_on_one_node_is_found() {
    let json = json!({"settings": {"worker_lease": "2s", "worker_heartbeat": "1s"}});
    assert_eq!(faults(&json), [(Code::Contradiction, "$.settings.worker_heartbeat".to_owned())]);
    let json = json!({"settings": {
        "objective_latency": 0, "objective_throughput": 0, "objective_evictions": 0,
    }});
    assert_eq!(faults(&json).len(), 1);
}

/// Guards against weights that exclude all availability zones from the traffic.
#[test]
fn weights_that_are_all_zero_are_refused() {
    let place = "$.settings.traffic_weights".to_owned();
    let json = json!({"settings": {"traffic_weights": {"zone-1": 0, "zone-2": 0}}});
    assert_eq!(faults(&json), [(Code::OutOfRange, place)]);
}

/// Guards against a contradiction that is reported although one of its values was rejected and the
/// inherited value was compared instead.
#[test]
fn a_rejected_value_does_not_cause_a_contradiction() {
    let json = json!({"settings": {"request_deadline": "5min", "request_deadline_max": "5m"}});
    let place = "$.settings.request_deadline_max".to_owned();
    assert_eq!(faults(&json), [(Code::WrongUnit, place)]);
}

/// Guards against a tree that the key-value service cannot store.
#[test]
fn a_tree_over_the_size_limit_is_refused() {
    let mut services = serde_json::Map::new();
    for index in 0..20_000 {
        let node = json!({"settings": {"queue_length": 1, "queue_time": "1s"}});
        services.insert(format!("service-{index}"), node);
    }
    let json = json!({"children": {"services": {"children": services}}});
    assert!(json.to_string().len() > tree::LEN_MAX);
    assert_eq!(faults(&json), [(Code::TooLarge, "$".to_owned())]);
    let findings = Tree::parse(json.to_string().as_bytes()).expect_err("too large");
    assert_eq!(findings.list()[0].code, Code::TooLarge);
}

/// Guards against an unbounded check time, which grows with the product of places and services.
#[test]
fn too_many_places_are_refused() {
    let mut places = serde_json::Map::new();
    for index in 0..=tree::PLACES_MAX {
        places.insert(format!("p{index}"), json!({"settings": {"queue_length": 1}}));
    }
    assert_eq!(faults(&json!({"children": places})), [(Code::TooLarge, "$".to_owned())]);
}

/// Guards against unbounded memory use and check time for a tree within the size limit.
#[test]
fn too_many_combinations_of_places_and_services_are_refused() {
    let mut places = serde_json::Map::new();
    for index in 0..1000 {
        places.insert(format!("p{index}"), json!({"settings": {"configured_entries": 5}}));
    }
    let mut services = serde_json::Map::new();
    for index in 0..1000 {
        let node = json!({"settings": {"connections_per_upstream": 50}});
        services.insert(format!("s{index}"), node);
    }
    places.insert("services".to_owned(), json!({"children": services}));
    let json = json!({"children": places});
    assert!(json.to_string().len() < tree::LEN_MAX);
    assert_eq!(faults(&json), [(Code::TooLarge, "$".to_owned())]);
}

/// Guards against a response that quotes a large value or lists thousands of faults.
#[test]
fn the_report_is_bounded() {
    let mut settings = serde_json::Map::new();
    for index in 0..1000 {
        settings.insert(format!("key-{index}"), json!("x".repeat(1000)));
    }
    settings.insert("queue_time".to_owned(), json!("ä".repeat(1000)));
    let findings = Tree::from_json(&json!({"settings": settings})).expect_err("faulty");
    assert_eq!(findings.list().len(), finding::COUNT_MAX);
    assert!(
        findings.list().iter().all(|finding| finding.found.len() <= finding::QUOTE_LEN_MAX + 3)
    );
}

/// Guards against a stack overflow and against nodes below the largest depth of a path.
#[test]
fn a_tree_deeper_than_a_path_is_refused() {
    let mut json = json!({"settings": {"queue_length": 1}});
    for _ in 0..9 {
        json = json!({"children": {"a": json}});
    }
    assert_eq!(faults(&json).len(), 1);
    let deep =
        Path::service(&"a/b/c/d/e/f/g/h".parse().expect("valid"), &"x".parse().expect("valid"));
    let findings = Tree::default().set(&deep, Key::QueueLength, &json!(1)).expect_err("too deep");
    assert_eq!(findings.list()[0].code, Code::BadPath);
}
