//! Tests of the settings checker with synthetic observations.

use knapweedgap_core::{id, revision};
use knapweedgap_system_tests::checker::settings::{
    Observation, Violation, check_in_force, check_order,
};

fn observed(at_us: u64, instance: &str, revision: u64) -> Observation {
    let instance = instance.parse().expect("an id");
    Observation { instance, at_us, revision: revision::Revision::new(revision) }
}

/// Guards against a checker that misses an instance that returns to an older revision, even if it
/// later reports the newer one again.
#[test]
fn a_lower_revision_is_found() {
    assert_eq!(check_order(&[observed(1, "a", 1), observed(2, "b", 0), observed(3, "a", 2)]), []);
    let regressed = check_order(&[observed(1, "a", 2), observed(2, "a", 1), observed(3, "a", 2)]);
    assert!(matches!(regressed[..], [Violation::Regressed { .. }]));
}

/// Guards against a checker that accepts a change that one of the instances applies too late.
#[test]
fn a_change_that_is_late_at_one_instance_is_found() {
    let instances: Vec<id::Instance> = ["a", "b"].map(|id| id.parse().expect("an id")).into();
    let revision = revision::Revision::new(2);
    let observations = [observed(5, "a", 2), observed(20, "b", 2)];
    let found = check_in_force(&observations, &instances, revision, 4, 10);
    let instance = instances[1].clone();
    assert_eq!(found, [Violation::Late { instance, revision }]);
    assert_eq!(check_in_force(&observations, &instances, revision, 4, 16), []);
}
