//! Workers of a partition: their entries of the VM list and their reports.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use crate::lease;

/// Most stored earlier incarnations of a worker. They keep a late report of an earlier incarnation
/// from being treated as a restart.
const PAST_INCARNATIONS_MAX: usize = 8;

/// A worker in the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(missing_docs, reason = "field names are self-explanatory")]
pub struct Spec {
    pub id: id::Worker,
    pub zone: id::Zone,
    pub rack: id::Rack,
    /// Capacity in the VM list, including the reservations.
    pub capacity: size::Resources,
    /// Sum of the sizes of the upstreams that the worker hosts.
    pub reserved: size::Resources,
    /// Services of these upstreams.
    pub services: Vec<id::Service>,
    /// Whether the VM list marks the worker as leaving. It receives no new tasks then.
    pub leaving: bool,
}

impl Spec {
    /// Returns the capacity for batch tasks: the listed capacity less the reservations.
    pub fn available(&self) -> size::Resources {
        self.capacity - self.reserved
    }
}

/// Last report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Process of the worker; a restart changes it.
    pub incarnation: id::Incarnation,
    /// Monotonic clock of the worker at the time of the report.
    pub clock: Duration,
    /// Arrival time of the report.
    pub at: Instant,
    /// Capacity that the worker measured.
    pub capacity: size::Resources,
}

/// Relation of a report to the reports before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Older than an earlier report.
    Stale,
    /// Newer report of the same incarnation.
    Same,
    /// First report of the worker or of a new incarnation.
    New,
}

/// A worker of the partition.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Last entry in the VM list.
    pub spec: Spec,
    /// Whether the VM list no longer contains the worker.
    pub unlisted: bool,
    /// Last report; `None` if the worker has not reported to this owner.
    pub contact: Option<Contact>,
    /// Whether a heartbeat failed since the last report.
    pub unreachable: bool,
    /// End of the quarantine; `None` if the worker is not in quarantine.
    pub quarantined: Option<Instant>,
    past_incarnations: VecDeque<id::Incarnation>,
}

impl Worker {
    /// Creates a worker that has not reported yet.
    pub fn new(spec: Spec) -> Worker {
        Worker {
            spec,
            unlisted: false,
            contact: None,
            unreachable: false,
            quarantined: None,
            past_incarnations: VecDeque::new(),
        }
    }

    /// Returns the capacity for batch tasks: the smaller of the listed and the measured capacity in
    /// every dimension, less the reservations.
    pub fn available(&self) -> size::Resources {
        let listed = self.spec.capacity;
        let Some(contact) = &self.contact else { return self.spec.available() };
        let smaller = size::Resources {
            processor: listed.processor.min(contact.capacity.processor),
            memory: listed.memory.min(contact.capacity.memory),
            accelerator: listed.accelerator.min(contact.capacity.accelerator),
        };
        smaller - self.spec.reserved
    }

    /// Records the header of a report unless it is stale.
    pub fn record_contact(&mut self, contact: Contact) -> Freshness {
        if self.past_incarnations.contains(&contact.incarnation) {
            return Freshness::Stale;
        }
        let freshness = match &self.contact {
            Some(last) if last.incarnation == contact.incarnation => {
                if contact.clock <= last.clock {
                    return Freshness::Stale;
                }
                Freshness::Same
            }
            Some(last) => {
                self.past_incarnations.push_back(last.incarnation);
                let excess = self.past_incarnations.len().saturating_sub(PAST_INCARNATIONS_MAX);
                self.past_incarnations.drain(..excess);
                Freshness::New
            }
            None => Freshness::New,
        };
        self.contact = Some(contact);
        self.unreachable = false;
        freshness
    }

    /// Returns `true` if the worker may receive new tasks.
    pub fn is_schedulable(&self, now: Instant) -> bool {
        let recent = self.contact.as_ref().is_some_and(|contact| {
            now.saturating_duration_since(contact.at) <= lease::REPORT_AGE_MAX
        });
        recent
            && !self.unreachable
            && !self.unlisted
            && !self.spec.leaving
            && self.quarantined.is_none()
    }
}
