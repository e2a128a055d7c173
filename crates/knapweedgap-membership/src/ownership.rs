//! Life cycle of the ownership of one partition by this instance.

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

/// The compare-and-swap of the owner record is not yet answered.
#[derive(Debug)]
pub struct Candidate {
    asked_at: Instant,
    predecessor: Predecessor,
}

/// The owner record names this instance.
#[derive(Debug)]
pub struct Owner {
    revision: revision::Revision,
    asked_at: Instant,
    hold_from: Instant,
    predecessor: Predecessor,
    validated_at: Instant,
    permitted: bool,
}

/// This instance has stopped acting for the partition and waits for the next owner.
#[derive(Debug)]
pub struct Released {
    revision: revision::Revision,
    to: id::Instance,
    since: Instant,
    sent_at: Instant,
}

impl<State> Ownership<State> {
    /// Returns the partition.
    pub fn partition(&self) -> id::Partition {
        self.partition
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> revision::Epoch {
        self.epoch
    }
}

impl Ownership<Candidate> {
    /// Starts to take a partition.
    pub fn new(
        partition: id::Partition,
        epoch: revision::Epoch,
        predecessor: Predecessor,
        now: Instant,
    ) -> Self {
        Ownership { partition, epoch, state: Candidate { asked_at: now, predecessor } }
    }

    /// The owner record was written with this revision.
    ///
    /// The ownership counts as validated from the time of the question, because the answer may
    /// have been on its way for long.
    pub fn won(self, revision: revision::Revision, now: Instant) -> Ownership<Owner> {
        let state = Owner {
            revision,
            asked_at: self.state.asked_at,
            hold_from: now,
            predecessor: self.state.predecessor,
            validated_at: self.state.asked_at,
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

    /// Returns the time at which the takeover was asked for.
    pub fn asked_at(&self) -> Instant {
        self.state.asked_at
    }

    /// Returns the latest time at which the owner record is known to have named this instance.
    pub fn validated_at(&self) -> Instant {
        self.state.validated_at
    }

    /// The owner record was read with a question asked at this time and names this instance.
    pub fn validate(&mut self, asked_at: Instant, now: Instant) {
        self.state.validated_at = self.state.validated_at.max(asked_at);
        self.state.permitted |= grant::is_validated(self.state.validated_at, now);
    }

    /// Tells whether worker grants may be renewed. `outage` states whether a majority cannot reach
    /// the key-value service.
    ///
    /// An outage extends the permission but does not bring it back, because a new owner may have
    /// replaced tasks in between.
    pub fn permits_grant(&mut self, outage: bool, now: Instant) -> bool {
        let validated = grant::is_validated(self.state.validated_at, now);
        self.state.permitted &= validated || outage;
        self.state.permitted
    }

    /// Starts the hold on replacements anew unless it had ended at `seen_at`, the time of the call
    /// before. Called while a majority may have stated an outage, because the earlier owner may
    /// then still renew grants.
    pub fn extend_hold(&mut self, lease: Duration, seen_at: Instant, now: Instant) {
        let unknown = self.state.predecessor == Predecessor::Unknown;
        if unknown && seen_at < self.replacement_at(lease) {
            self.state.hold_from = self.state.hold_from.max(now);
        }
    }

    /// Returns the time from which a task on an unreachable worker may be replaced.
    pub fn replacement_at(&self, lease: Duration) -> Instant {
        grant::replacement_at(self.state.predecessor, self.state.hold_from, lease)
    }

    /// Hands the partition over to a peer.
    pub fn release(self, to: id::Instance, now: Instant) -> Ownership<Released> {
        let state = Released { revision: self.state.revision, to, since: now, sent_at: now };
        Ownership { partition: self.partition, epoch: self.epoch, state }
    }
}

impl Ownership<Released> {
    /// Returns the revision of the owner record to replace.
    pub fn revision(&self) -> revision::Revision {
        self.state.revision
    }

    /// Returns the peer that is to take the partition.
    pub fn to(&self) -> &id::Instance {
        &self.state.to
    }

    /// Returns the time at which this peer was chosen.
    pub fn since(&self) -> Instant {
        self.state.since
    }

    /// Returns the time of the last send.
    pub fn sent_at(&self) -> Instant {
        self.state.sent_at
    }

    /// The release was sent again.
    pub fn resend(&mut self, now: Instant) {
        self.state.sent_at = now;
    }

    /// Chooses another peer.
    pub fn redirect(self, to: id::Instance, now: Instant) -> Ownership<Released> {
        let state = Released { to, since: now, sent_at: now, ..self.state };
        Ownership { partition: self.partition, epoch: self.epoch, state }
    }

    /// Takes the partition back with the next epoch.
    pub fn reclaim(self, now: Instant) -> Ownership<Candidate> {
        Ownership::new(self.partition, self.epoch.next(), Predecessor::Released, now)
    }
}
