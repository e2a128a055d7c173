//! Membership as shown by the administration API.

use knapweedgap_core::id;
use knapweedgap_membership::Liveness;
use knapweedgap_operator::doctor::{Finding, Severity};
use knapweedgap_operator::instance;

use super::super::context::Context;
use super::Members;

impl Members {
    /// Returns the number of partitions, or 0 until the settings are known.
    pub(crate) fn partitions(&self) -> u32 {
        self.identity.borrow().partitions
    }

    /// Returns the partitions owned by one instance according to the owner records read last.
    pub(crate) fn owned_by(&self, instance: &id::Instance) -> Vec<id::Partition> {
        let engine = self.engine.borrow();
        let all = (0..self.partitions()).map(id::Partition::new);
        let of = |partition: &id::Partition| {
            engine.owner(*partition).is_some_and(|owner| owner.instance == *instance)
        };
        all.filter(of).collect()
    }

    /// Returns all partitions that are not in `reached`.
    pub(crate) fn partitions_without(&self, reached: &[id::Partition]) -> Vec<id::Partition> {
        let all = (0..self.partitions()).map(id::Partition::new);
        all.filter(|partition| !reached.contains(partition)).collect()
    }

    /// Returns the records of the peers for operators.
    pub(crate) fn peer_records(&self, context: &Context) -> Vec<instance::Record> {
        let mut peer_records = Vec::new();
        let peers: Vec<_> = {
            let engine = self.engine.borrow();
            let peers = engine.peers();
            peers
                .map(|peer| {
                    (
                        peer.id.clone(),
                        peer.incarnation,
                        peer.liveness,
                        peer.zone.cloned(),
                        peer.settings,
                        peer.draining,
                        peer.store_reachable,
                    )
                })
                .collect()
        };
        for (peer, incarnation, liveness, zone, settings, draining, store) in peers {
            // An instance that ended after an announced shutdown is no longer in the installation.
            if draining && liveness == Liveness::Dead {
                continue;
            }
            let record = self.record(&peer);
            let state = match liveness {
                Liveness::Alive if draining => instance::State::Draining,
                Liveness::Alive => instance::State::Serving,
                _ => instance::State::Suspect,
            };
            let address = record.as_ref().map(|record| record.addresses.operator.to_string());
            let zone = zone.or(record.map(|record| record.zone));
            peer_records.push(instance::Record {
                partitions: self.owned_by(&peer),
                instance: peer,
                incarnation,
                zone: zone.unwrap_or_else(|| context.config.zone.clone()),
                state,
                address: address.unwrap_or_default(),
                settings_revision: settings.unwrap_or_default(),
                store_reachable: store.unwrap_or(false),
            });
        }
        peer_records
    }

    /// Returns a finding for each partition whose owner is not alive.
    pub(crate) fn findings(&self) -> Vec<Finding> {
        let engine = self.engine.borrow();
        let mut findings = Vec::new();
        for partition in (0..self.partitions()).map(id::Partition::new) {
            let Some(owner) = engine.owner(partition) else { continue };
            if engine.liveness(&owner.instance).is_none_or(|state| state == Liveness::Alive) {
                continue;
            }
            findings.push(Finding {
                severity: Severity::Warning,
                code: "owner_unreachable".into(),
                place: format!("partition {partition}"),
                help: format!(
                    "owner {} does not answer; another instance takes over automatically within \
                     seconds if the key-value service is reachable",
                    owner.instance
                ),
            });
        }
        findings
    }
}
