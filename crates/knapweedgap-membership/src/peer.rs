//! Liveness and reports of one peer.

use std::net::SocketAddr;
use std::time::Instant;

use derive_more::Display;
use knapweedgap_core::{id, revision};

use crate::record::Vm;
use crate::timing::{RECORD_EXPIRY_DELAY, REPORT_AGE_MAX};

/// Liveness of a peer as this instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Liveness {
    /// The last contact is recent.
    #[display("alive")]
    Alive,
    /// The last contact was 1.5 s ago or earlier, and a probe is in progress.
    #[display("suspect")]
    Suspect,
    /// The probe failed, so the peer's partitions may be taken.
    #[display("dead")]
    Dead,
    /// The probe failed, but the peer has written to the key-value service since. Its partitions
    /// are not taken, because two instances that cannot reach each other would take them from each
    /// other repeatedly.
    #[display("unreachable")]
    Unreachable,
}

/// Cause of a failed probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The peer's machine refused the connection, which proves that the process has ended.
    Refused,
    /// The handshake did not complete in time.
    Timeout,
}

/// Reachability of the key-value service as a peer reported it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reachability {
    pub(crate) store_reachable: bool,
    pub(crate) reported_at: Instant,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) previous_incarnation: Option<id::Incarnation>,
    pub(crate) zone: Option<id::Zone>,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) liveness: Liveness,
    pub(crate) last_contact_at: Instant,
    pub(crate) alive_since: Instant,
    pub(crate) probed_at: Option<Instant>,
    pub(crate) dead_at: Option<Instant>,
    pub(crate) connection_refused: bool,
    pub(crate) listed: bool,
    pub(crate) draining: bool,
    pub(crate) settings: Option<revision::Revision>,
    pub(crate) reachability: Option<Reachability>,
    pub(crate) outage_reported_at: Option<Instant>,
    pub(crate) vm: Option<Vm>,
    pub(crate) vm_removed: bool,
    pub(crate) release_backoff_until: Option<Instant>,
}

impl Peer {
    pub(crate) fn new(incarnation: id::Incarnation, now: Instant) -> Peer {
        Peer {
            incarnation,
            previous_incarnation: None,
            zone: None,
            address: None,
            liveness: Liveness::Alive,
            last_contact_at: now,
            alive_since: now,
            probed_at: None,
            dead_at: None,
            connection_refused: false,
            listed: false,
            draining: false,
            settings: None,
            reachability: None,
            outage_reported_at: None,
            vm: None,
            vm_removed: false,
            release_backoff_until: None,
        }
    }

    /// Applies the incarnation that a message or record names. Returns `false` if a later
    /// incarnation has already replaced it.
    pub(crate) fn observe_incarnation(
        &mut self,
        incarnation: id::Incarnation,
        now: Instant,
    ) -> bool {
        if self.incarnation == incarnation {
            return true;
        }
        if self.previous_incarnation == Some(incarnation) {
            return false;
        }
        let restarted = Peer::new(incarnation, now);
        let old = std::mem::replace(self, restarted);
        self.previous_incarnation = Some(old.incarnation);
        self.zone = old.zone;
        self.address = old.address;
        self.listed = old.listed;
        // Another instance may still act on an outage that the earlier incarnation reported.
        self.outage_reported_at = old.outage_reported_at;
        true
    }

    /// Records a ping or handshake of the peer.
    pub(crate) fn record_contact(&mut self, now: Instant) {
        self.last_contact_at = self.last_contact_at.max(now);
        self.probed_at = None;
        if matches!(self.liveness, Liveness::Dead | Liveness::Unreachable) {
            self.alive_since = now;
        }
        self.liveness = Liveness::Alive;
        self.dead_at = None;
        self.connection_refused = false;
    }

    pub(crate) fn record_probe_failure(&mut self, failure: Failure, now: Instant) {
        self.liveness = Liveness::Dead;
        self.connection_refused = failure == Failure::Refused;
        self.probed_at = None;
        self.dead_at = Some(now);
    }

    /// Returns `true` if the record in a list requested at this time proves that the peer renews
    /// its lease. The removal of its VM proves that it does not.
    pub(crate) fn has_renewed_lease(&self, requested_at: Instant) -> bool {
        let dead_at = self.dead_at.filter(|_| !self.vm_removed);
        dead_at.is_some_and(|dead_at| requested_at >= dead_at + RECORD_EXPIRY_DELAY)
    }

    pub(crate) fn is_live(&self) -> bool {
        self.liveness != Liveness::Dead
    }

    /// Returns `true` if the peer stopped answering without proof that its process has ended.
    pub(crate) fn is_unresponsive(&self) -> bool {
        matches!(self.liveness, Liveness::Suspect | Liveness::Dead) && !self.connection_refused
    }

    pub(crate) fn is_eligible(&self) -> bool {
        self.is_live() && !self.draining && self.vm != Some(Vm::Leaving)
    }

    /// Returns `true` if a release to the peer can succeed.
    pub(crate) fn can_accept_release(&self, now: Instant) -> bool {
        let reachable = self.recent_store_reachable(now) == Some(true);
        let backoff_ended = self.release_backoff_until.is_none_or(|until| now >= until);
        self.is_eligible() && self.liveness == Liveness::Alive && reachable && backoff_ended
    }

    /// Returns whether the peer reaches the key-value service by its last report, or `None` if the
    /// last report is older than 5 s.
    pub(crate) fn recent_store_reachable(&self, now: Instant) -> Option<bool> {
        let reported = self.reachability?;
        let is_recent = now.saturating_duration_since(reported.reported_at) <= REPORT_AGE_MAX;
        is_recent.then_some(reported.store_reachable)
    }

    /// Returns `true` if the peer reported within 5 s that it reaches the key-value service, and
    /// did not report the opposite within that time.
    pub(crate) fn reports_no_outage(&self, now: Instant) -> bool {
        let outage = self.outage_reported_at;
        let no_outage = outage.is_none_or(|at| now.saturating_duration_since(at) > REPORT_AGE_MAX);
        no_outage && self.recent_store_reachable(now) == Some(true)
    }
}
