//! Checker of settings: G9.

use std::collections::BTreeMap;

use derive_more::Display;
use knapweedgap_core::{id, revision};

/// Settings revision that an instance reported. Observations of the same instance are in the order
/// in which its answers arrived.
#[derive(Debug, Clone)]
#[expect(missing_docs, reason = "the id says what it is")]
pub struct Observation {
    pub instance: id::Instance,
    /// Time at which the answer arrived, in microseconds since the start of the test.
    pub at_us: u64,
    /// Revision in force.
    pub revision: revision::Revision,
}

/// Violation of G9.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[expect(missing_docs, reason = "the ids of instances need no comment")]
pub enum Violation {
    /// An instance returned to an older revision.
    #[display("G9: {instance} regressed from revision {from} to {to}")]
    Regressed {
        instance: id::Instance,
        /// Revision reported before.
        from: revision::Revision,
        /// Lower revision reported later.
        to: revision::Revision,
    },
    /// An accepted change was not in force within the bound.
    #[display("G9: revision {revision} was not in force at {instance} within the bound")]
    Late {
        instance: id::Instance,
        /// Accepted revision.
        revision: revision::Revision,
    },
}

/// Returns a violation for each step of an instance to an older revision.
pub fn check_order(observations: &[Observation]) -> Vec<Violation> {
    let mut highest: BTreeMap<&id::Instance, revision::Revision> = BTreeMap::new();
    let mut violations = Vec::new();
    for observation in observations {
        let highest = highest.entry(&observation.instance).or_default();
        if observation.revision < *highest {
            violations.push(Violation::Regressed {
                instance: observation.instance.clone(),
                from: *highest,
                to: observation.revision,
            });
        }
        *highest = observation.revision.max(*highest);
    }
    violations
}

/// Returns a violation for each instance that did not report `revision` or a newer one by
/// `accepted_us + bound_us`. Times are in microseconds since the start of the test.
pub fn check_in_force(
    observations: &[Observation],
    instances: &[id::Instance],
    revision: revision::Revision,
    accepted_us: u64,
    bound_us: u64,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for instance in instances {
        let mut own = observations.iter().filter(|one| one.instance == *instance);
        let in_time =
            own.any(|one| one.revision >= revision && one.at_us <= accepted_us + bound_us);
        if !in_time {
            violations.push(Violation::Late { instance: instance.clone(), revision });
        }
    }
    violations
}
