//! Life cycle of this instance's ownership of one partition.

use std::time::{Duration, Instant};

use knapweedgap_core::{id, revision};

use crate::grant::{self, Predecessor};

/// Ownership of a partition in one state: [`Candidate`], [`Owner`] or [`Released`].
#[derive(Debug)]
pub struct Ownership<State> {
    partition: id::Partition,
    epoch: revision::Epoch,
    state: State,
}

/// State: the compare-and-swap of the owner record has no result yet.
#[derive(Debug)]
pub struct Candidate {
    requested_at: Instant,
    predecessor: Predecessor,
}

/// State: the owner record names this instance.
#[derive(Debug)]
pub struct Owner {
    revision: revision::Revision,
    requested_at: Instant,
    delay_from: Instant,
    predecessor: Predecessor,
    validated_at: Instant,
    permitted: bool,
}

/// State: this instance has stopped acting for the partition and waits for the next owner.
#[derive(Debug)]
pub struct Released {
    revision: revision::Revision,
    to: id::Instance,
    chosen_at: Instant,
    sent_at: Instant,
}

impl<State> Ownership<State> {
    /// Returns the partition that is owned, requested or handed over.
    pub fn partition(&self) -> id::Partition {
        self.partition
    }

    /// Returns the epoch that the owner record has under this ownership.
    pub fn epoch(&self) -> revision::Epoch {
        self.epoch
    }
}

impl Ownership<Candidate> {
    /// Creates the state of a take that was requested at `now`.
    pub fn new(
        partition: id::Partition,
        epoch: revision::Epoch,
        predecessor: Predecessor,
        now: Instant,
    ) -> Self {
        Ownership { partition, epoch, state: Candidate { requested_at: now, predecessor } }
    }

    /// Applies that the owner record was written with this revision.
    ///
    /// The ownership counts as validated at the time of the request, because the response may have
    /// been in transit for long.
    pub fn confirm(self, revision: revision::Revision, now: Instant) -> Ownership<Owner> {
        let state = Owner {
            revision,
            requested_at: self.state.requested_at,
            delay_from: now,
            predecessor: self.state.predecessor,
            validated_at: self.state.requested_at,
            permitted: true,
        };
        Ownership { partition: self.partition, epoch: self.epoch, state }
    }
}

impl Ownership<Owner> {
    /// Returns the revision of the owner record.
    pub fn revision(&self) -> revision::Revision {
        self.state.revision
    }

    /// Returns the time at which the takeover was requested.
    pub fn requested_at(&self) -> Instant {
        self.state.requested_at
    }

    /// Returns the latest time at which the owner record is known to have named this instance.
    pub fn validated_at(&self) -> Instant {
        self.state.validated_at
    }

    /// Applies that the owner record, in a read requested at `requested_at`, names this instance.
    pub fn validate(&mut self, requested_at: Instant, now: Instant) {
        self.state.validated_at = self.state.validated_at.max(requested_at);
        self.state.permitted |= grant::is_validated(self.state.validated_at, now);
    }

    /// Returns `true` if worker grants may be renewed. `outage` is `true` while a majority cannot
    /// reach the key-value service.
    ///
    /// An outage extends the permission but does not restore it, because a new owner may have
    /// replaced tasks in the meantime.
    pub fn permits_grant(&mut self, outage: bool, now: Instant) -> bool {
        let validated = grant::is_validated(self.state.validated_at, now);
        self.state.permitted &= validated || outage;
        self.state.permitted
    }

    /// Restarts the replacement delay unless it had ended at `last_call_at`, the time of the
    /// previous call. Called while a majority may have reported an outage, because the earlier
    /// owner may then still renew grants.
    pub fn extend_replacement_delay(
        &mut self,
        lease: Duration,
        last_call_at: Instant,
        now: Instant,
    ) {
        let unknown = self.state.predecessor == Predecessor::Unknown;
        if unknown && last_call_at < self.replacement_at(lease) {
            self.state.delay_from = self.state.delay_from.max(now);
        }
    }

    /// Returns the time from which a task on an unreachable worker may be replaced.
    pub fn replacement_at(&self, lease: Duration) -> Instant {
        grant::replacement_at(self.state.predecessor, self.state.delay_from, lease)
    }

    /// Starts to hand the partition over to a peer.
    pub fn release(self, to: id::Instance, now: Instant) -> Ownership<Released> {
        let state = Released { revision: self.state.revision, to, chosen_at: now, sent_at: now };
        Ownership { partition: self.partition, epoch: self.epoch, state }
    }
}

impl Ownership<Released> {
    /// Returns the revision of the owner record to replace.
    pub fn revision(&self) -> revision::Revision {
        self.state.revision
    }

    /// Returns the peer that is to become the owner.
    pub fn to(&self) -> &id::Instance {
        &self.state.to
    }

    /// Returns the time at which this peer was chosen.
    pub fn chosen_at(&self) -> Instant {
        self.state.chosen_at
    }

    /// Returns the time at which the release was last sent.
    pub fn sent_at(&self) -> Instant {
        self.state.sent_at
    }

    /// Records that the release was sent again.
    pub fn mark_resent(&mut self, now: Instant) {
        self.state.sent_at = now;
    }

    /// Starts to hand the partition over to another peer.
    pub fn redirect(self, to: id::Instance, now: Instant) -> Ownership<Released> {
        let state = Released { to, chosen_at: now, sent_at: now, ..self.state };
        Ownership { partition: self.partition, epoch: self.epoch, state }
    }

    /// Starts to take the partition back with the next epoch.
    pub fn reclaim(self, now: Instant) -> Ownership<Candidate> {
        Ownership::new(self.partition, self.epoch.next(), Predecessor::Released, now)
    }
}
