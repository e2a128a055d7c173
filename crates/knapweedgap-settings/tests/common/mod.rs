//! Strategies that generate paths, values and trees.

use knapweedgap_settings::schema::{KEYS, Kind};
use knapweedgap_settings::{Key, Path, Tree, Value};
use proptest::prelude::*;
use serde_json::{Value as Json, json};

/// Generates paths that often are ancestors of each other, so that inheritance is exercised.
pub fn path() -> impl Strategy<Value = Path> {
    let texts = [
        "/",
        "region-a",
        "region-a/zone-1",
        "region-b",
        "services",
        "services/dispatch",
        "services/portal",
        "region-a/services",
        "region-a/services/dispatch",
        "region-a/zone-1/services/dispatch",
        "teams",
        "teams/plans",
    ];
    prop::sample::select(texts.to_vec()).prop_map(|text| text.parse().expect("valid path"))
}

pub fn key() -> impl Strategy<Value = Key> {
    prop::sample::select(KEYS.to_vec())
}

/// Generates a key with a value of its kind and range. Keys whose values can contradict each other
/// across places are overrepresented.
pub fn setting() -> impl Strategy<Value = (Key, Json)> {
    let contradicting = prop::sample::select(vec![
        Key::ConnectionsPerUpstream,
        Key::ConfiguredEntries,
        Key::RequestDeadline,
        Key::RequestDeadlineMax,
    ]);
    (prop_oneof![2 => key(), 1 => contradicting], 0u8..4)
        .prop_map(|(key, choice)| (key, value(key, choice)))
}

fn value(key: Key, choice: u8) -> Json {
    let entry = key.entry();
    let select = |min: Value, max: Value| match choice {
        0 => min.to_json(),
        1 => max.to_json(),
        _ => entry.default().unwrap_or(min).to_json(),
    };
    match entry.kind {
        Kind::Duration { min, max } => select(min.into(), max.into()),
        Kind::Bytes { min, max } => select(min.into(), max.into()),
        Kind::Processor { min, max } => select(min.into(), max.into()),
        Kind::Count { min, max } => select(min.into(), max.into()),
        Kind::Share { min, max } => select(min.into(), max.into()),
        Kind::Rate { min, max } => select(min.into(), max.into()),
        Kind::Methods => [json!([]), json!(["POST"]), json!(["PUT", "DELETE"]), json!(["GET"])]
            [usize::from(choice)]
        .clone(),
        Kind::Weights => [json!({}), json!({"a": 1}), json!({"a": 0, "b": 1000}), json!({"z": 7})]
            [usize::from(choice)]
        .clone(),
    }
}

/// Generates a valid tree; values that the tree rejects are skipped.
pub fn tree() -> impl Strategy<Value = Tree> {
    prop::collection::vec((path(), setting()), 0..24).prop_map(|steps| {
        let mut tree = Tree::default();
        for (path, (key, value)) in steps {
            tree = tree.set(&path, key, &value).unwrap_or(tree);
        }
        tree
    })
}

/// Generates arbitrary JSON, in which field names of the tree are frequent.
#[allow(dead_code, reason = "each test file uses only some of these functions")]
pub fn json() -> impl Strategy<Value = Json> {
    let leaf = prop_oneof![
        Just(Json::Null),
        any::<bool>().prop_map(Json::from),
        any::<i64>().prop_map(Json::from),
        any::<f64>().prop_map(Json::from),
        ".{0,12}".prop_map(Json::from),
        "[0-9]{1,20}(us|ms|s|min|h|KiB|TiB|m|%|/s)".prop_map(Json::from),
        setting().prop_map(|(_, value)| value),
    ];
    let name = prop_oneof![
        Just("settings".to_owned()),
        Just("children".to_owned()),
        Just("services".to_owned()),
        Just("teams".to_owned()),
        key().prop_map(|key| key.to_string()),
        ".{0,6}",
    ];
    leaf.prop_recursive(12, 96, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Json::from),
            prop::collection::btree_map(name.clone(), inner, 0..6)
                .prop_map(|map| Json::Object(map.into_iter().collect())),
        ]
    })
}
