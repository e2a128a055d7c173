//! Checker of settings: G9.

use std::collections::BTreeMap;

use derive_more::Display;
use knapweedgap_core::{id, revision};

/// Revision that one instance showed. Several observations of an instance are in the order in
/// which its answers arrived.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Instance.
    pub instance: id::Instance,
    /// Time at which the answer arrived, in microseconds since the start of the test.
    pub at_us: u64,
    /// Revision in force.
    pub revision: revision::Revision,
}

/// Breach of G9.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// An instance went back.
    #[display("G9: {instance} went back from revision {from} to {to}")]
    WentBack {
        /// Instance.
        instance: id::Instance,
        /// Revision shown before.
        from: revision::Revision,
        /// Lower revision shown later.
        to: revision::Revision,
    },
    /// An accepted change was not in force in time.
    #[display("G9: revision {revision} was not in force at {instance} within the bound")]
    Late {
        /// Instance.
        instance: id::Instance,
        /// Accepted revision.
        revision: revision::Revision,
    },
}

/// Finds instances that went back.
pub fn check_order(observations: &[Observation]) -> Vec<Violation> {
    let mut highest: BTreeMap<&id::Instance, revision::Revision> = BTreeMap::new();
    let mut violations = Vec::new();
    for seen in observations {
        let highest = highest.entry(&seen.instance).or_default();
        if seen.revision < *highest {
            violations.push(Violation::WentBack {
                instance: seen.instance.clone(),
                from: *highest,
                to: seen.revision,
            });
        }
        *highest = seen.revision.max(*highest);
    }
    violations
}

/// Finds instances that did not show a revision accepted at `accepted_us` by `accepted_us +
/// bound_us`.
pub fn check_in_force(
    observations: &[Observation],
    instances: &[id::Instance],
    revision: revision::Revision,
    accepted_us: u64,
    bound_us: u64,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for instance in instances {
        let mut seen = observations.iter().filter(|seen| seen.instance == *instance);
        let in_time =
            seen.any(|seen| seen.revision >= revision && seen.at_us <= accepted_us + bound_us);
        if !in_time {
            violations.push(Violation::Late { instance: instance.clone(), revision });
        }
    }
    violations
}
