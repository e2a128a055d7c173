//! The checker of settings finds every breach in forged observations.

use knapweedgap_core::{id, revision};
use knapweedgap_system_tests::checker::settings::{
    Observation, Violation, check_in_force, check_order,
};

fn seen(at_us: u64, instance: &str, revision: u64) -> Observation {
    let instance = instance.parse().expect("an id");
    Observation { instance, at_us, revision: revision::Revision::new(revision) }
}

/// Guards against a blind eye for an instance that goes back, also after it went on again.
#[test]
fn a_lower_revision_is_found() {
    assert_eq!(check_order(&[seen(1, "a", 1), seen(2, "b", 0), seen(3, "a", 2)]), []);
    let back = check_order(&[seen(1, "a", 2), seen(2, "a", 1), seen(3, "a", 2)]);
    assert!(matches!(back[..], [Violation::WentBack { .. }]));
}

/// Guards against a change that is late at one instance, or never shown by it.
#[test]
fn a_change_that_is_late_at_one_instance_is_found() {
    let instances: Vec<id::Instance> = ["a", "b"].map(|id| id.parse().expect("an id")).into();
    let revision = revision::Revision::new(2);
    let late = [seen(5, "a", 2), seen(20, "b", 2)];
    let found = check_in_force(&late, &instances, revision, 4, 10);
    let instance = instances[1].clone();
    assert_eq!(found, [Violation::Late { instance, revision }]);
    assert_eq!(check_in_force(&late, &instances, revision, 4, 16), []);
}
