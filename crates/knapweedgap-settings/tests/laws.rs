//! Properties of set, unset, effective values, diff and the JSON form.

mod common;

use common::{json, path, setting, tree};
use knapweedgap_settings::effective::Service;
use knapweedgap_settings::tree::Source;
use knapweedgap_settings::{Key, Path, Tree, Value};
use proptest::prelude::*;

fn parse(text: &str) -> Path {
    text.parse().expect("valid path")
}

proptest! {
    /// Guards against a set value that is not effective on its own node.
    #[test]
    fn a_set_value_is_effective_on_its_node(
        tree in tree(), path in path(), (key, value) in setting(),
    ) {
        let Ok(after) = tree.set(&path, key, &value) else { return Ok(()) };
        let effective = after.effective(&path, key);
        prop_assert_eq!(effective.source, Source::Node(path.clone()));
        let stored = Value::from_json(&value, &key.entry().kind).expect("valid");
        prop_assert_eq!(effective.value.as_ref(), Some(&stored));
        prop_assert_eq!(after.get(&path, key), Some(&stored));
    }

    /// Guards against a value that is not inherited by the subtree of its node, and against one that
    /// takes precedence over an override in the subtree.
    #[test]
    fn a_value_is_inherited_by_the_subtree_unless_overridden(
        tree in tree(),
        (parent, child) in (path(), path()).prop_filter("the child is in the subtree of the parent",
            |(parent, child)| parent.contains(child)),
        (key, value) in setting(),
    ) {
        let Ok(after) = tree.set(&parent, key, &value) else { return Ok(()) };
        let effective = after.effective(&child, key);
        let overriding = child.lookup().into_iter()
            .take_while(|node| *node != parent)
            .find(|node| after.get(node, key).is_some());
        let expected = overriding.unwrap_or(parent);
        prop_assert_eq!(effective.value.as_ref(), after.get(&expected, key));
        prop_assert_eq!(effective.source, Source::Node(expected));
    }

    /// Guards against a set or an unset that changes another value.
    #[test]
    fn only_the_given_value_changes(tree in tree(), path in path(), (key, value) in setting()) {
        if let Ok(after) = tree.set(&path, key, &value) {
            for change in tree.diff(&after) {
                prop_assert_eq!((&change.path, change.key), (&path, key));
            }
        }
        if let Ok(after) = tree.unset(&path, key) {
            for change in tree.diff(&after) {
                prop_assert_eq!((&change.path, change.key), (&path, key));
            }
        }
    }

    /// Guards against remains of a value in the tree after it is unset.
    #[test]
    fn unset_undoes_set(tree in tree(), path in path(), (key, value) in setting()) {
        let Ok(without) = tree.unset(&path, key) else { return Ok(()) };
        prop_assert_eq!(without.get(&path, key), None);
        let Ok(with) = without.set(&path, key, &value) else { return Ok(()) };
        prop_assert_eq!(with.unset(&path, key), Ok(without));
    }

    /// Guards against a stored tree that is rejected or read as a different tree.
    #[test]
    fn the_json_form_round_trips(tree in tree()) {
        let text = serde_json::to_vec(&tree).expect("a tree is JSON");
        prop_assert_eq!(serde_json::from_slice::<Tree>(&text).ok(), Some(tree.clone()));
        prop_assert_eq!(Tree::parse(&text), Ok(tree));
    }

    /// Guards against a diff with missing or superfluous changes.
    #[test]
    fn a_diff_lists_exactly_the_changed_values(left in tree(), right in tree()) {
        let changes = left.diff(&right);
        prop_assert_eq!(changes.is_empty(), left == right);
        for change in &changes {
            prop_assert_ne!(&change.before, &change.after);
            let stored = right.get(&change.path, change.key).map(|value| value.to_json());
            prop_assert_eq!(&change.after, &stored);
        }
        let back = right.diff(&left);
        prop_assert_eq!(back.len(), changes.len());
    }

    /// Guards against a change that is accepted although the whole tree would be rejected, and vice
    /// versa. For a change, only the rules that involve its key are checked.
    #[test]
    fn a_change_is_checked_like_the_whole_tree(
        tree in tree(), path in path(), (key, value) in setting(),
    ) {
        let mut json = tree.to_json();
        let mut node = &mut json;
        for name in path.names() {
            node = &mut node["children"][name.as_str()];
        }
        node["settings"][key.to_string()] = value.clone();
        prop_assert_eq!(tree.set(&path, key, &value), Tree::from_json(&json));
    }

    /// Guards against a panic, and against an accepted tree whose canonical form is a different tree.
    #[test]
    fn arbitrary_json_never_panics(json in json()) {
        match Tree::from_json(&json) {
            Ok(tree) => prop_assert_eq!(Tree::from_json(&tree.to_json()), Ok(tree)),
            Err(findings) => prop_assert!(!findings.is_empty()),
        }
    }

    /// Guards against a panic on stored bytes that are not JSON.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        let _ = Tree::parse(&bytes);
    }

    /// Guards against a panic on a path and against a path that does not round-trip.
    #[test]
    fn paths_round_trip(text in "(/|[a-z/]{0,12}|(services|teams|a|b/c)(/(services|teams|d)){0,9})") {
        if let Ok(path) = text.parse::<Path>() {
            prop_assert_eq!(path.to_string(), text);
        }
    }

    /// Guards against an undetected contradiction that affects only a service of an outer place as
    /// seen from an inner place.
    #[test]
    fn no_service_of_an_accepted_tree_has_contradictory_values(tree in tree()) {
        for place in ["/", "region-a", "region-a/zone-1", "region-a/zone-2", "region-b", "c"] {
            for service in ["dispatch", "portal", "other"] {
                let view = Service::read(&tree, &parse(place), &service.parse().expect("valid"));
                prop_assert!(view.connections_per_entry().get() >= 1, "{} {}", place, service);
                prop_assert!(view.request_deadline <= view.request_deadline_max);
            }
        }
    }

    /// Guards against a value of one kind that is accepted under another.
    #[test]
    fn a_value_is_rejected_under_a_key_of_another_kind(
        ((_, value), (right, _)) in (setting(), setting()).prop_filter(
            "the kinds differ", |((left, value), (right, _))| {
                let (left, right) = (left.entry().kind, right.entry().kind);
                // A whole number without a unit is valid both as bytes and as processors.
                let plain = value.as_str().is_some_and(|text| text.parse::<u64>().is_ok());
                std::mem::discriminant(&left) != std::mem::discriminant(&right) && !plain
            }),
    ) {
        prop_assert!(Value::from_json(&value, &right.entry().kind).is_err());
    }
}

/// Guards against an instance that rejects a stored tree which another version accepted, and
/// against one that accepts a stored value which its types cannot represent.
#[test]
fn a_stored_tree_is_checked_for_valid_values_but_not_for_contradictions() {
    let contradiction = r#"{"settings": {"worker_lease": "1s", "worker_heartbeat": "1s"}}"#;
    assert!(Tree::parse(contradiction.as_bytes()).is_err());
    assert!(serde_json::from_str::<Tree>(contradiction).is_ok());
    let faulty = r#"{"settings": {"worker_lease": "1kg"}}"#;
    assert!(serde_json::from_str::<Tree>(faulty).is_err());
}

/// Guards against a lookup order other than the documented one.
#[test]
fn the_lookup_goes_from_the_nearest_place_outwards() {
    let order: Vec<String> =
        parse("region-a/services/dispatch").lookup().iter().map(Path::to_string).collect();
    let expected = [
        "region-a/services/dispatch",
        "region-a/services",
        "region-a",
        "services/dispatch",
        "services",
        "/",
    ];
    assert_eq!(order, expected);
}

/// Guards against a service in a place that does not inherit the value of the service in the root.
#[test]
fn a_service_in_a_place_inherits_from_the_service_in_the_root() {
    let value = serde_json::json!(7);
    let tree = Tree::default().set(&parse("services/dispatch"), Key::QueueLength, &value);
    let tree = tree.expect("valid");
    let effective = tree.effective(&parse("a/b/services/dispatch"), Key::QueueLength);
    assert_eq!(effective.value, Some(Value::Count(7)));
    assert_eq!(effective.source, Source::Node(parse("services/dispatch")));
}
