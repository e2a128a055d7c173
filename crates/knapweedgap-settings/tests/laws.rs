//! Laws of set, unset, effective value, diff and the JSON form.

mod common;

use common::{json, path, setting, tree};
use knapweedgap_settings::tree::Source;
use knapweedgap_settings::{Key, Path, Tree, Value};
use proptest::prelude::*;

fn parse(text: &str) -> Path {
    text.parse().expect("valid path")
}

proptest! {
    /// Guards against a set value that does not hold on its own node.
    #[test]
    fn a_set_value_holds_on_its_node(tree in tree(), path in path(), (key, value) in setting()) {
        let Ok(after) = tree.set(&path, key, &value) else { return Ok(()) };
        let effective = after.effective(&path, key);
        prop_assert_eq!(effective.source, Source::Node(path.clone()));
        let stored = Value::from_json(&value, &key.entry().kind).expect("valid");
        prop_assert_eq!(effective.value.as_ref(), Some(&stored));
        prop_assert_eq!(after.get(&path, key), Some(&stored));
    }

    /// Guards against a value on a parent that does not hold beneath it, and against one that
    /// hides the override of a child.
    #[test]
    fn a_value_holds_beneath_its_node_unless_overridden(
        tree in tree(), parent in path(), child in path(), (key, value) in setting(),
    ) {
        prop_assume!(parent.contains(&child));
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
    fn only_the_named_value_changes(tree in tree(), path in path(), (key, value) in setting()) {
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

    /// Guards against traces that a value leaves after it is unset.
    #[test]
    fn unset_undoes_set(tree in tree(), path in path(), (key, value) in setting()) {
        let Ok(without) = tree.unset(&path, key) else { return Ok(()) };
        prop_assert_eq!(without.get(&path, key), None);
        let Ok(with) = without.set(&path, key, &value) else { return Ok(()) };
        prop_assert_eq!(with.unset(&path, key), Ok(without));
    }

    /// Guards against a tree whose stored form is rejected or read differently.
    #[test]
    fn the_json_form_round_trips(tree in tree()) {
        let text = serde_json::to_vec(&tree).expect("a tree is JSON");
        prop_assert_eq!(Tree::parse(&text), Ok(tree));
    }

    /// Guards against a diff that leaves out a change or lists one too many.
    #[test]
    fn a_diff_leads_to_the_other_tree(left in tree(), right in tree()) {
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

    /// Guards against a panic, and against a tree that is accepted but not stable.
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

    /// Guards against a value of one kind that is accepted under another.
    #[test]
    fn a_value_is_rejected_under_a_key_of_another_kind(
        (left, value) in setting(), (right, _) in setting(),
    ) {
        let (left, right) = (left.entry().kind, right.entry().kind);
        prop_assume!(std::mem::discriminant(&left) != std::mem::discriminant(&right));
        // "0" and whole numbers are both plain bytes and whole cores.
        prop_assume!(value.as_str().is_none_or(|text| text.parse::<u64>().is_err()));
        prop_assert!(Value::from_json(&value, &right).is_err());
    }
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

/// Guards against a service in a place that misses the value of the service in the root.
#[test]
fn a_service_in_a_place_inherits_from_the_service_in_the_root() {
    let value = serde_json::json!(7);
    let tree = Tree::default().set(&parse("services/dispatch"), Key::QueueLength, &value);
    let tree = tree.expect("valid");
    let effective = tree.effective(&parse("a/b/services/dispatch"), Key::QueueLength);
    assert_eq!(effective.value, Some(Value::Count(7)));
    assert_eq!(effective.source, Source::Node(parse("services/dispatch")));
}
