//! Decisions of one tick about one partition: take, keep, release or reclaim it.

use std::time::Instant;

use knapweedgap_core::{id, revision};

use super::{Engine, Known, State};
use crate::action::Action;
use crate::grant::{self, Predecessor};
use crate::ownership::{Owner, Ownership, Released};
use crate::rendezvous;
use crate::timing::{REBALANCE_DELAY, RELEASE_INTERVAL, RELEASE_TIMEOUT, TAKE_DELAY};

impl Engine {
    pub(super) fn step(&mut self, partition: id::Partition, now: Instant) {
        let next = match self.ownerships.remove(&partition) {
            Some(State::Owner(owner)) => Some(self.step_owner(owner, now)),
            Some(State::Released(released)) => Some(self.step_released(released, now)),
            Some(State::Candidate(candidate)) => Some(State::Candidate(candidate)),
            None => self.step_unowned(partition, now),
        };
        if let Some(next) = next {
            self.ownerships.insert(partition, next);
        }
    }

    fn step_unowned(&mut self, partition: id::Partition, now: Instant) -> Option<State> {
        // Until the owner records are read, every partition would appear to have no owner.
        self.owners_revision?;
        if !self.is_eligible() {
            return None;
        }
        if let Some(ready_at) = self.start_delay_end(now) {
            self.schedule_wake(ready_at);
            return None;
        }
        match self.retry_at.get(&partition).copied() {
            Some(retry_at) if now < retry_at => {
                self.schedule_wake(retry_at);
                return None;
            }
            _ => self.retry_at.remove(&partition),
        };
        if let Some(state) = self.accept_release(partition, now) {
            return Some(state);
        }
        let known = self.known.get(&partition);
        if known.is_some_and(|known| !self.is_orphan(known)) {
            self.orphaned_since.remove(&partition);
            return None;
        }
        let since = *self.orphaned_since.entry(partition).or_insert(now);
        let known = self.known.get(&partition);
        let (expect, epoch, predecessor) = match known {
            None => (None, revision::Epoch::default().next(), Predecessor::None),
            // If the owner is known only from a ping, the next read of the records gives the
            // revision to expect.
            Some(known) => {
                let revision = known.revision?;
                (Some(revision), known.owner.epoch.next(), Predecessor::Unknown)
            }
        };
        let take_at = since + TAKE_DELAY * self.rank(partition, known);
        if now < take_at {
            self.schedule_wake(take_at);
            return None;
        }
        Some(self.take(partition, expect, epoch, predecessor, now))
    }

    fn accept_release(&mut self, partition: id::Partition, now: Instant) -> Option<State> {
        let release = self.releases.remove(&partition)?;
        let newer = |known: &Known| known.owner.epoch > release.epoch;
        if self.known.get(&partition).is_some_and(newer) {
            return None;
        }
        let (expect, epoch) = (Some(release.revision), release.epoch.next());
        Some(self.take(partition, expect, epoch, Predecessor::Released, now))
    }

    fn take(
        &mut self,
        partition: id::Partition,
        expect: Option<revision::Revision>,
        epoch: revision::Epoch,
        predecessor: Predecessor,
        now: Instant,
    ) -> State {
        self.actions.push(Action::Take { partition, expect, epoch });
        State::Candidate(Ownership::new(partition, epoch, predecessor, now))
    }

    fn step_owner(&mut self, owner: Ownership<Owner>, now: Instant) -> State {
        // The next owner could not take the partition during an outage of the key-value service.
        if !grant::is_validated(owner.validated_at(), now) {
            return State::Owner(owner);
        }
        let Some(to) = self.successor(owner.partition(), now) else {
            return State::Owner(owner);
        };
        let released = owner.release(to, now);
        self.send_release(&released);
        State::Released(released)
    }

    fn step_released(&mut self, mut released: Ownership<Released>, now: Instant) -> State {
        let target = self.peers.get(released.to());
        let target_eligible = target.is_some_and(|peer| peer.is_eligible());
        let timeout_at = released.chosen_at() + RELEASE_TIMEOUT;
        if target_eligible && now < timeout_at {
            let send_at = released.sent_at() + RELEASE_INTERVAL;
            if now >= send_at {
                released.mark_resent(now);
                self.send_release(&released);
            }
            self.schedule_wake((released.sent_at() + RELEASE_INTERVAL).min(timeout_at));
            return State::Released(released);
        }
        let (partition, to) = (released.partition(), released.to().clone());
        if self.is_eligible() {
            self.back_off(&to, now);
            let expect = Some(released.revision());
            let candidate = released.reclaim(now);
            let epoch = candidate.epoch();
            self.actions.push(Action::Take { partition, expect, epoch });
            return State::Candidate(candidate);
        }
        // A draining instance releases to the same peer again if there is no other.
        let other = self.draining_successor(partition, Some(&to), now);
        let Some(to) = other.or(target_eligible.then_some(to)) else {
            self.schedule_wake(now + RELEASE_INTERVAL);
            return State::Released(released);
        };
        let released = released.redirect(to, now);
        self.send_release(&released);
        State::Released(released)
    }

    fn send_release(&mut self, released: &Ownership<Released>) {
        self.actions.push(Action::Release {
            partition: released.partition(),
            to: released.to().clone(),
            epoch: released.epoch(),
            revision: released.revision(),
        });
    }

    /// Returns the peer to which a partition of this instance is released now, if any.
    fn successor(&mut self, partition: id::Partition, now: Instant) -> Option<id::Instance> {
        if !self.is_eligible() {
            return self.draining_successor(partition, None, now);
        }
        let first = self.order(partition).first().map(|id| (*id).clone())?;
        let peer = self.peers.get(&first)?;
        let mut ready_at = peer.alive_since + REBALANCE_DELAY;
        ready_at = peer.release_backoff_until.map_or(ready_at, |at| at.max(ready_at));
        if now < ready_at {
            self.schedule_wake(ready_at);
            return None;
        }
        // Rebalancing moves one partition at a time, so that only one partition's work waits for
        // the replay of its log.
        let moving = self.ownerships.values().any(|state| matches!(state, State::Released(_)));
        if moving || !self.peers.get(&first).is_some_and(|peer| peer.can_accept_release(now)) {
            return None;
        }
        Some(first)
    }

    /// Returns the first peer in rendezvous order that can accept a release, other than `except`.
    fn draining_successor(
        &mut self,
        partition: id::Partition,
        except: Option<&id::Instance>,
        now: Instant,
    ) -> Option<id::Instance> {
        let accepting =
            self.peers.iter().filter(|(_, peer)| peer.can_accept_release(now)).map(|(id, _)| id);
        let candidates = accepting.filter(|id| Some(*id) != except);
        if let Some(first) = rendezvous::order(partition, candidates).first() {
            return Some((*first).clone());
        }
        let backoffs = self.peers.values().filter_map(|peer| peer.release_backoff_until);
        if let Some(backoff_until) = backoffs.filter(|until| *until > now).min() {
            self.schedule_wake(backoff_until);
        }
        None
    }

    /// Returns the live instances that may own partitions, in rendezvous order.
    fn order(&self, partition: id::Partition) -> Vec<&id::Instance> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.is_eligible()).map(|(id, _)| id);
        let own = self.is_eligible().then_some(&self.identity.id);
        rendezvous::order(partition, peers.chain(own))
    }

    /// Returns how many instances precede this one in the order to take a partition.
    fn rank(&self, partition: id::Partition, known: Option<&Known>) -> u32 {
        // The record names this incarnation although it holds no ownership if the result of the
        // write was lost or a release was withdrawn.
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

    /// Returns `true` if the owner of a partition has certainly or probably ended.
    pub(super) fn is_orphan(&self, known: &Known) -> bool {
        let owner = &known.owner;
        // The caller passes only partitions that this instance does not hold.
        if owner.instance == self.identity.id {
            return true;
        }
        let Some(peer) = self.peers.get(&owner.instance) else { return false };
        if peer.incarnation == owner.incarnation {
            let proven = peer.connection_refused || !peer.listed;
            return !peer.is_live() && (proven || !self.is_isolated());
        }
        if peer.previous_incarnation == Some(owner.incarnation) {
            return true;
        }
        // An instance writes its record before it takes a partition, so a later list that names
        // another incarnation proves that the owner's incarnation has ended.
        match (self.list_revision, known.revision) {
            (Some(list), Some(owner)) => list >= owner,
            _ => false,
        }
    }
}
