//! Steps of one partition.

use std::time::Instant;

use knapweedgap_core::{id, revision};

use super::{Engine, Known, Slot};
use crate::action::Action;
use crate::grant::{self, Predecessor};
use crate::ownership::{Owner, Ownership, Released};
use crate::rendezvous;
use crate::timing::{RELEASE_RETRY, RELEASE_TIMEOUT, REBALANCE_DELAY, TAKE_DELAY};

impl Engine {
    pub(super) fn step(&mut self, partition: id::Partition, now: Instant) {
        let next = match self.slots.remove(&partition) {
            Some(Slot::Owner(owner)) => Some(self.step_owner(owner, now)),
            Some(Slot::Released(released)) => Some(self.step_released(released, now)),
            Some(Slot::Candidate(candidate)) => Some(Slot::Candidate(candidate)),
            None => self.step_vacant(partition, now),
        };
        if let Some(next) = next {
            self.slots.insert(partition, next);
        }
    }

    fn step_vacant(&mut self, partition: id::Partition, now: Instant) -> Option<Slot> {
        // Without the owner records, every partition would look free.
        self.known_revision?;
        if !self.is_eligible() {
            return None;
        }
        if let Some(ready_at) = self.is_starting(now) {
            self.note(ready_at);
            return None;
        }
        match self.retry.get(&partition).copied() {
            Some(retry_at) if now < retry_at => {
                self.note(retry_at);
                return None;
            }
            _ => self.retry.remove(&partition),
        };
        if let Some(slot) = self.accept_offer(partition, now) {
            return Some(slot);
        }
        let known = self.known.get(&partition);
        if known.is_some_and(|known| !self.is_orphan(known)) {
            self.orphaned.remove(&partition);
            return None;
        }
        let since = *self.orphaned.entry(partition).or_insert(now);
        let known = self.known.get(&partition);
        let (expect, epoch, predecessor) = match known {
            None => (None, revision::Epoch::default().next(), Predecessor::None),
            // The revision to expect follows with the next read of the owner records.
            Some(known) => {
                let revision = known.revision?;
                (Some(revision), known.owner.epoch.next(), Predecessor::Unknown)
            }
        };
        let take_at = since + TAKE_DELAY * self.rank(partition, known);
        if now < take_at {
            self.note(take_at);
            return None;
        }
        Some(self.take(partition, expect, epoch, predecessor, now))
    }

    fn accept_offer(&mut self, partition: id::Partition, now: Instant) -> Option<Slot> {
        let offer = self.offers.remove(&partition)?;
        let newer = |known: &Known| known.owner.epoch > offer.epoch;
        if self.known.get(&partition).is_some_and(newer) {
            return None;
        }
        let (expect, epoch) = (Some(offer.revision), offer.epoch.next());
        Some(self.take(partition, expect, epoch, Predecessor::Released, now))
    }

    fn take(
        &mut self,
        partition: id::Partition,
        expect: Option<revision::Revision>,
        epoch: revision::Epoch,
        predecessor: Predecessor,
        now: Instant,
    ) -> Slot {
        self.actions.push(Action::Take { partition, expect, epoch });
        Slot::Candidate(Ownership::new(partition, epoch, predecessor, now))
    }

    fn step_owner(&mut self, owner: Ownership<Owner>, now: Instant) -> Slot {
        // In an outage of the key-value service the next owner could not take the partition.
        if !grant::is_validated(owner.validated_at(), now) {
            return Slot::Owner(owner);
        }
        let Some(to) = self.successor(owner.partition(), now) else {
            return Slot::Owner(owner);
        };
        let released = owner.release(to, now);
        self.send_release(&released);
        Slot::Released(released)
    }

    fn step_released(&mut self, mut released: Ownership<Released>, now: Instant) -> Slot {
        let target = self.peers.get(released.to());
        let usable = target.is_some_and(|peer| peer.is_eligible());
        let timeout_at = released.since() + RELEASE_TIMEOUT;
        if usable && now < timeout_at {
            let send_at = released.sent_at() + RELEASE_RETRY;
            if now >= send_at {
                released.resend(now);
                self.send_release(&released);
            }
            self.note((released.sent_at() + RELEASE_RETRY).min(timeout_at));
            return Slot::Released(released);
        }
        let (partition, to) = (released.partition(), released.to().clone());
        if self.is_eligible() {
            self.back_off(&to, now);
            let expect = Some(released.revision());
            let candidate = released.reclaim(now);
            let epoch = candidate.epoch();
            self.actions.push(Action::Take { partition, expect, epoch });
            return Slot::Candidate(candidate);
        }
        // A draining instance asks the same peer again when there is no other.
        let other = self.draining_successor(partition, Some(&to), now);
        let Some(to) = other.or(usable.then_some(to)) else {
            self.note(now + RELEASE_RETRY);
            return Slot::Released(released);
        };
        let released = released.redirect(to, now);
        self.send_release(&released);
        Slot::Released(released)
    }

    fn send_release(&mut self, released: &Ownership<Released>) {
        self.actions.push(Action::Release {
            partition: released.partition(),
            to: released.to().clone(),
            epoch: released.epoch(),
            revision: released.revision(),
        });
    }

    /// Returns the peer that is to get a partition of this instance, if any.
    fn successor(&mut self, partition: id::Partition, now: Instant) -> Option<id::Instance> {
        if !self.is_eligible() {
            return self.draining_successor(partition, None, now);
        }
        let first = self.order(partition).first().map(|id| (*id).clone())?;
        let peer = self.peers.get(&first)?;
        let mut ready_at = peer.alive_since + REBALANCE_DELAY;
        ready_at = peer.no_release_before.map_or(ready_at, |at| at.max(ready_at));
        if now < ready_at {
            self.note(ready_at);
            return None;
        }
        // Balance moves one partition at a time, so that work waits for one replay only.
        let moving = self.slots.values().any(|slot| matches!(slot, Slot::Released(_)));
        if moving || !self.peers.get(&first).is_some_and(|peer| peer.can_take(now)) {
            return None;
        }
        Some(first)
    }

    fn draining_successor(
        &mut self,
        partition: id::Partition,
        except: Option<&id::Instance>,
        now: Instant,
    ) -> Option<id::Instance> {
        let able = self.peers.iter().filter(|(_, peer)| peer.can_take(now)).map(|(id, _)| id);
        let able = able.filter(|id| Some(*id) != except);
        if let Some(first) = rendezvous::order(partition, able).first() {
            return Some((*first).clone());
        }
        let retries = self.peers.values().filter_map(|peer| peer.no_release_before);
        if let Some(retry_at) = retries.filter(|at| *at > now).min() {
            self.note(retry_at);
        }
        None
    }

    /// Orders the live instances that may own partitions.
    fn order(&self, partition: id::Partition) -> Vec<&id::Instance> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.is_eligible()).map(|(id, _)| id);
        let own = self.is_eligible().then_some(&self.identity.id);
        rendezvous::order(partition, peers.chain(own))
    }

    /// Returns how many instances go before this one in taking a partition.
    fn rank(&self, partition: id::Partition, known: Option<&Known>) -> u32 {
        // The record names this run, but its answer was lost or a release was withdrawn.
        let own = known.is_some_and(|known| {
            known.owner.instance == self.identity.id
                && known.owner.incarnation == self.identity.incarnation
        });
        if own {
            return 0;
        }
        let order = self.order(partition);
        let rank = order.iter().position(|id| **id == self.identity.id).unwrap_or(order.len());
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Tells whether the owner of a partition has certainly or probably ended.
    pub(super) fn is_orphan(&self, known: &Known) -> bool {
        let owner = &known.owner;
        // Only a partition that this instance does not hold is asked for.
        if owner.instance == self.identity.id {
            return true;
        }
        let Some(peer) = self.peers.get(&owner.instance) else { return false };
        if peer.incarnation == owner.incarnation {
            let proven = peer.refused || !peer.listed;
            return !peer.is_live() && (proven || !self.is_isolated());
        }
        if peer.previous == Some(owner.incarnation) {
            return true;
        }
        // An instance writes its record before it takes a partition, so a later list that names
        // another run shows that the owner's run has ended.
        match (self.list_revision, known.revision) {
            (Some(list), Some(owner)) => list >= owner,
            _ => false,
        }
    }
}
