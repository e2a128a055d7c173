//! Liveness of one peer.

use std::net::SocketAddr;
use std::time::Instant;

use derive_more::Display;
use knapweedgap_core::{id, revision};

use crate::record::Vm;
use crate::timing::{RECORD_EXPIRY, STATEMENT_MAX};

/// Liveness of a peer as this instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Liveness {
    /// The peer sends pings.
    #[display("alive")]
    Alive,
    /// The peer sent no ping for 1.5 s and a probe is running.
    #[display("suspect")]
    Suspect,
    /// The probe failed, so the peer's partitions may be taken.
    #[display("dead")]
    Dead,
    /// The probe failed, but the peer wrote to the key-value service since. Its partitions are not
    /// taken: two instances that cannot reach each other would take them back and forth.
    #[display("unreachable")]
    Unreachable,
}

/// Result of a probe that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The peer's machine refused the connection, which proves that the process has ended.
    Refused,
    /// Nothing answered in time.
    Timeout,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Statement {
    pub(crate) store_reachable: bool,
    pub(crate) at: Instant,
}

#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) previous: Option<id::Incarnation>,
    pub(crate) zone: Option<id::Zone>,
    pub(crate) address: Option<SocketAddr>,
    pub(crate) liveness: Liveness,
    pub(crate) heard_at: Instant,
    pub(crate) alive_since: Instant,
    pub(crate) probed_at: Option<Instant>,
    pub(crate) dead_at: Option<Instant>,
    pub(crate) refused: bool,
    pub(crate) listed: bool,
    pub(crate) draining: bool,
    pub(crate) settings: Option<revision::Revision>,
    pub(crate) statement: Option<Statement>,
    pub(crate) outage_stated_at: Option<Instant>,
    pub(crate) vm: Option<Vm>,
    pub(crate) vm_removed: bool,
    pub(crate) no_release_before: Option<Instant>,
}

impl Peer {
    pub(crate) fn new(incarnation: id::Incarnation, now: Instant) -> Peer {
        Peer {
            incarnation,
            previous: None,
            zone: None,
            address: None,
            liveness: Liveness::Alive,
            heard_at: now,
            alive_since: now,
            probed_at: None,
            dead_at: None,
            refused: false,
            listed: false,
            draining: false,
            settings: None,
            statement: None,
            outage_stated_at: None,
            vm: None,
            vm_removed: false,
            no_release_before: None,
        }
    }

    /// Notes the run that a message or record names. Returns false when it is a run that was
    /// already replaced.
    pub(crate) fn observe(&mut self, incarnation: id::Incarnation, now: Instant) -> bool {
        if self.incarnation == incarnation {
            return true;
        }
        if self.previous == Some(incarnation) {
            return false;
        }
        let fresh = Peer::new(incarnation, now);
        let old = std::mem::replace(self, fresh);
        self.previous = Some(old.incarnation);
        self.zone = old.zone;
        self.address = old.address;
        self.listed = old.listed;
        // Statements of the earlier run still bound what its reader may have concluded.
        self.outage_stated_at = old.outage_stated_at;
        true
    }

    /// Notes a sign of life.
    pub(crate) fn heard(&mut self, now: Instant) {
        self.heard_at = self.heard_at.max(now);
        self.probed_at = None;
        if matches!(self.liveness, Liveness::Dead | Liveness::Unreachable) {
            self.alive_since = now;
        }
        self.liveness = Liveness::Alive;
        self.dead_at = None;
        self.refused = false;
    }

    pub(crate) fn fail(&mut self, failure: Failure, now: Instant) {
        self.liveness = Liveness::Dead;
        self.refused = failure == Failure::Refused;
        self.probed_at = None;
        self.dead_at = Some(now);
    }

    /// Tells whether the record in a list asked for at this time proves that the peer renews its
    /// lease. A VM that was removed proves the opposite.
    pub(crate) fn outlived_lease(&self, asked_at: Instant) -> bool {
        let dead_at = self.dead_at.filter(|_| !self.vm_removed);
        dead_at.is_some_and(|dead_at| asked_at >= dead_at + RECORD_EXPIRY)
    }

    pub(crate) fn is_live(&self) -> bool {
        self.liveness != Liveness::Dead
    }

    /// Tells whether the peer stopped answering without a proof that it ended.
    pub(crate) fn is_silent(&self) -> bool {
        matches!(self.liveness, Liveness::Suspect | Liveness::Dead) && !self.refused
    }

    pub(crate) fn is_eligible(&self) -> bool {
        self.is_live() && !self.draining && self.vm != Some(Vm::Leaving)
    }

    /// Tells whether a release to the peer can succeed.
    pub(crate) fn can_take(&self, now: Instant) -> bool {
        let reachable = self.fresh_statement(now) == Some(true);
        let allowed = self.no_release_before.is_none_or(|at| now >= at);
        self.is_eligible() && self.liveness == Liveness::Alive && reachable && allowed
    }

    /// Returns whether the peer stated within 5 s that it reaches the key-value service.
    pub(crate) fn fresh_statement(&self, now: Instant) -> Option<bool> {
        let statement = self.statement?;
        let fresh = now.saturating_duration_since(statement.at) <= STATEMENT_MAX;
        fresh.then_some(statement.store_reachable)
    }

    /// Tells whether the peer stated only reachability within 5 s.
    pub(crate) fn clearly_reachable(&self, now: Instant) -> bool {
        let outage = self.outage_stated_at;
        let quiet = outage.is_none_or(|at| now.saturating_duration_since(at) > STATEMENT_MAX);
        quiet && self.fresh_statement(now) == Some(true)
    }
}
