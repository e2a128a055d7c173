//! Workers as the VM list and their reports show them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};

use crate::lease;

/// Earlier incarnations of a worker that are remembered, so that a late report of one of them is
/// not taken for a restart.
const PAST_INCARNATIONS_MAX: usize = 8;

/// A worker in the VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spec {
    /// Id.
    pub id: id::Worker,
    /// Availability zone.
    pub zone: id::Zone,
    /// Rack.
    pub rack: id::Rack,
    /// Capacity.
    pub capacity: size::Resources,
    /// Sum of the sizes of the upstreams that it hosts.
    pub reserved: size::Resources,
    /// Services of these upstreams.
    pub services: Vec<id::Service>,
    /// Whether the VM list shows it as leaving.
    pub leaving: bool,
}

impl Spec {
    /// Returns what is left for batch tasks.
    pub fn available(&self) -> size::Resources {
        self.capacity - self.reserved
    }
}

/// Last report of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Contact {
    /// Run of the worker's process.
    pub incarnation: id::Incarnation,
    /// Worker clock of the report.
    pub clock: Duration,
    /// Arrival of the report.
    pub at: Instant,
    /// Capacity that the worker measured.
    pub capacity: size::Resources,
}

/// Whether a report is news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It is older than one seen before.
    Stale,
    /// It continues the same incarnation.
    Same,
    /// It is the first, or the first of a new incarnation.
    New,
}

/// A worker of the partition.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Entry of the VM list.
    pub spec: Spec,
    /// Whether the VM list no longer has it.
    pub unlisted: bool,
    /// Last report.
    pub contact: Option<Contact>,
    /// Whether a heartbeat failed since the last report.
    pub unreachable: bool,
    /// End of the quarantine.
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

    /// Returns what is left for batch tasks: the smaller of the listed and the measured capacity
    /// in every dimension, less the reservations.
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

    /// Takes in the head of a report.
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

    /// Tells whether the worker may receive new tasks.
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
