//! Tests of merging patches and of the conflict report after a concurrent change.

mod common;

use common::{path, setting, tree};
use knapweedgap_core::revision::Revision;
use knapweedgap_settings::finding::Code;
use knapweedgap_settings::patch::{Error, Operation};
use knapweedgap_settings::{Document, Key, Patch, Path, Record};
use proptest::prelude::*;
use serde_json::json;

fn parse(text: &str) -> Path {
    text.parse().expect("valid path")
}

/// Applies a patch as the daemon does and adds the record of the change to the history.
fn apply(document: &mut Document, history: &mut Vec<Record>, patch: &Patch) -> Result<(), Error> {
    let merged = patch.merge(document, history)?;
    if merged.changes.is_empty() {
        return Ok(());
    }
    *document = merged.document;
    history.push(Record {
        revision: document.revision,
        author: patch.author.clone(),
        at_ms: 0,
        changes: merged.changes,
    });
    Ok(())
}

/// Returns a document and its history after a change that is based on revision 0.
fn concurrently_changed() -> (Document, Vec<Record>) {
    let mut document = Document::default();
    let mut history = Vec::new();
    let first = Patch::builder(Revision::new(0))
        .author("first")
        .set(&parse("region-a"), Key::QueueLength, 5)
        .set(&parse("region-b"), Key::QueueLength, 6)
        .build();
    apply(&mut document, &mut history, &first).expect("the first patch applies");
    (document, history)
}

/// Guards against a lost update: the later of two operators overwrites the value set by the other.
#[test]
fn a_conflict_lists_the_concurrent_changes() {
    let (document, history) = concurrently_changed();
    let patch =
        Patch::builder(Revision::new(0)).set(&parse("region-a"), Key::QueueLength, 9).build();
    let Err(Error::Conflict(conflict)) = patch.merge(&document, &history) else {
        panic!("the patch overwrites a value that its author has not seen");
    };
    let paths = |changes: &[knapweedgap_settings::Change]| -> Vec<String> {
        changes.iter().map(|change| change.path.to_string()).collect()
    };
    assert_eq!(paths(&conflict.overlapping), ["region-a"]);
    assert_eq!(paths(&conflict.changed), ["region-a", "region-b"]);
    assert_eq!((conflict.base.get(), conflict.current.get()), (0, 1));
}

/// Guards against a conflict between operators who change different values.
#[test]
fn changes_of_different_values_merge() {
    let (document, history) = concurrently_changed();
    let patch =
        Patch::builder(Revision::new(0)).set(&parse("region-a"), Key::QueueTime, "1s").build();
    let merged = patch.merge(&document, &history).expect("the values differ");
    assert_eq!(merged.document.revision, Revision::new(2));
    assert!(merged.document.tree.get(&parse("region-a"), Key::QueueLength).is_some());
}

/// Guards against a merge without knowledge of all changes since the base.
#[test]
fn a_base_older_than_the_history_is_a_conflict() {
    let (document, _) = concurrently_changed();
    let patch = Patch::builder(Revision::new(0)).set(&parse("/"), Key::QueueTime, "1s").build();
    assert!(matches!(patch.merge(&document, &[]), Err(Error::Conflict(_))));
}

/// Guards against a patch whose base is newer than the current revision, as after the restoration of
/// a backup.
#[test]
fn a_base_newer_than_the_current_revision_is_a_conflict() {
    let (document, history) = concurrently_changed();
    let patch = Patch::builder(Revision::new(7)).set(&parse("/"), Key::QueueTime, "1s").build();
    assert!(matches!(patch.merge(&document, &history), Err(Error::Conflict(_))));
}

/// Guards against two disjoint changes that are valid separately but contradict each other.
#[test]
fn a_merge_checks_the_whole_tree() {
    let mut document = Document::default();
    let mut history = Vec::new();
    let first =
        Patch::builder(Revision::new(0)).set(&parse("/"), Key::WorkerHeartbeat, "3s").build();
    apply(&mut document, &mut history, &first).expect("valid alone");
    let second = Patch::builder(Revision::new(0)).set(&parse("/"), Key::WorkerLease, "6s").build();
    assert!(second.merge(&Document::default(), &[]).is_ok());
    let Err(Error::Invalid(findings)) = second.merge(&document, &history) else {
        panic!("the lease is shorter than three heartbeats");
    };
    assert_eq!(findings.list()[0].code, Code::Contradiction);
}

/// Guards against a patch whose faults are reported one at a time.
#[test]
fn all_faults_of_a_patch_are_reported_together() {
    let operation = |path: &str, key: &str| Operation::Set {
        path: path.to_owned(),
        key: key.to_owned(),
        value: json!("1s"),
    };
    let mut patch = Patch::builder(Revision::new(0)).build();
    patch.operations = vec![operation("a//b", "queue_time"), operation("/", "queue_tme")];
    let Err(Error::Invalid(findings)) = patch.merge(&Document::default(), &[]) else {
        panic!("the patch is faulty");
    };
    let places: Vec<&str> = findings.list().iter().map(|finding| finding.place.as_str()).collect();
    assert_eq!(places, ["$.operations[0].path", "$.operations[1].key"]);
}

/// Guards against a new revision without a change.
#[test]
fn a_patch_without_effect_keeps_the_revision() {
    let (document, history) = concurrently_changed();
    let patch = Patch::builder(document.revision)
        .set(&parse("region-a"), Key::QueueLength, 5)
        .unset(&parse("region-c"), Key::QueueLength)
        .build();
    let merged = patch.merge(&document, &history).expect("valid");
    assert!(merged.changes.is_empty());
    assert_eq!(merged.document, document);
}

/// Guards against a change of the number of partitions, from which the primary partition of existing
/// jobs is derived.
#[test]
fn the_number_of_partitions_is_fixed_by_the_first_revision() {
    let partitions = |base, count: u32| {
        Patch::builder(Revision::new(base)).set(&parse("/"), Key::Partitions, count).build()
    };
    let mut document = Document::default();
    let mut history = Vec::new();
    apply(&mut document, &mut history, &partitions(0, 28)).expect("the first revision sets it");
    let Err(Error::Invalid(findings)) = partitions(1, 14).merge(&document, &history) else {
        panic!("the number of partitions changed");
    };
    assert_eq!(findings.list()[0].code, Code::Fixed);
    let unset = Patch::builder(Revision::new(1)).unset(&parse("/"), Key::Partitions).build();
    assert!(matches!(unset.merge(&document, &history), Err(Error::Invalid(_))));
    assert!(partitions(1, 28).merge(&document, &history).is_ok());
}

proptest! {
    /// Guards against a merge whose result differs from that of applying the changes in sequence.
    #[test]
    fn a_merge_equals_the_changes_in_sequence(
        tree in tree(), left in path(), right in path(), (a, x) in setting(), (b, y) in setting(),
    ) {
        let start = Document { revision: Revision::new(3), tree };
        let first = Patch::builder(start.revision).set(&left, a, x.clone()).build();
        let second = Patch::builder(start.revision).set(&right, b, y.clone()).build();
        let mut document = start.clone();
        let mut history = Vec::new();
        if apply(&mut document, &mut history, &first).is_err() {
            return Ok(());
        }
        match second.merge(&document, &history) {
            Ok(merged) => {
                prop_assert_eq!(document.tree.set(&right, b, &y), Ok(merged.document.tree));
            }
            Err(Error::Conflict(_)) => prop_assert_eq!((left, a), (right, b)),
            Err(Error::Invalid(findings)) => {
                let fixed = findings.list().iter().all(|finding| finding.code == Code::Fixed);
                prop_assert_eq!(fixed, b == Key::Partitions && document.tree.set(&right, b, &y).is_ok());
                prop_assert!(fixed || document.tree.set(&right, b, &y).is_err());
            }
        }
    }

    /// Guards against a panic on an invalid patch.
    #[test]
    fn an_arbitrary_patch_never_panics(json in common::json(), path in ".{0,12}", key in ".{0,12}") {
        let _ = serde_json::from_value::<Patch>(json.clone());
        let operations = vec![Operation::Set { path, key, value: json }];
        let patch = Patch { base: Revision::new(0), author: String::new(), operations };
        let _ = patch.merge(&Document::default(), &[]);
    }
}
