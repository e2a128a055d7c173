//! One service in one router: candidates, queue and learned times.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedgap_core::id;

use crate::budget::Budget;
use crate::candidates::Candidates;
use crate::decision::{Outcome, Reason, Ticket};
use crate::estimate::{Estimate, SERVICE_WEIGHT};
use crate::permit::Key;
use crate::policy::Policy;
use crate::request::{Accepted, Request};
use crate::share::{self, Thread};
use crate::snapshot::{self, Limits, Snapshot};
use crate::upstream::{Group, SLOW_TIME, Upstream};

/// Mean response times for which a load report counts. With half of it, slots that are free are not
/// lent for lack of a report; twice as much changes nothing (`docs/decisions/routing.md`).
const REPORT_AGE_RESPONSES: u32 = 2;

/// Shortest and longest time for which a load report counts.
const REPORT_AGE_MIN: Duration = Duration::from_millis(20);
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// A thread may have one request without a report of free slots in flight for so many own slots.
///
/// Their answers bring the missing reports. Without a limit these requests queue at upstreams as
/// soon as the offered load exceeds the capacity (`docs/decisions/routing.md`).
const OWN_PER_UNREPORTED: u32 = 8;

/// Queued requests that are looked at for one that may use a free slot. More than one is needed
/// only because a retry must avoid the upstreams it already tried.
const QUEUE_LOOK: usize = 8;

/// Draws of one candidate until one is allowed and differs from the first. If all fail, a request
/// that avoids some upstreams looks at all candidates.
const DRAWS: usize = 4;

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) until: Instant,
    tried: Vec<id::Upstream>,
}

/// Event at a known time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Instant,
    upstream: usize,
}

/// An upstream chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Chosen {
    pub(crate) upstream: usize,
    pub(crate) unreported: bool,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) limits: Limits,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) queue: VecDeque<Waiting>,
    pub(crate) budget: Budget,
    /// The service is no longer in the snapshot.
    pub(crate) removed: bool,
    /// When a slot may have become free since the queue was last looked at.
    changed: Option<Instant>,
    policy: Policy,
    positions: HashMap<id::Upstream, usize>,
    vacant: Vec<usize>,
    groups: [Candidates; Group::ALL.len()],
    response: Estimate,
    in_flight: u64,
    near_in_flight: u64,
    near_quota: u64,
    live: usize,
    unreported_in_flight: u32,
    unreported_max: u32,
    cursor: usize,
    queue_expires: Option<Instant>,
    reports: VecDeque<Timer>,
    ejections: BinaryHeap<Reverse<Timer>>,
    /// Times at which slow upstreams are tried again, earliest first.
    slow: VecDeque<Timer>,
}

impl Service {
    pub(crate) fn new(policy: Policy, limits: Limits, threads: u32, now: Instant) -> Service {
        Service {
            limits,
            upstreams: Vec::new(),
            queue: VecDeque::new(),
            budget: Budget::new(&limits, threads, now),
            removed: false,
            changed: None,
            policy,
            positions: HashMap::new(),
            vacant: Vec::new(),
            groups: Default::default(),
            response: Estimate::new(SERVICE_WEIGHT),
            in_flight: 0,
            near_in_flight: 0,
            near_quota: 0,
            live: 0,
            unreported_in_flight: 0,
            unreported_max: 0,
            cursor: 0,
            queue_expires: None,
            reports: VecDeque::new(),
            ejections: BinaryHeap::new(),
            slow: VecDeque::new(),
        }
    }

    /// Takes over the upstreams of a new snapshot and keeps what was learned about known ones.
    pub(crate) fn update(
        &mut self,
        snapshot: &Snapshot,
        upstreams: &[snapshot::Upstream],
        thread: Thread,
        now: Instant,
    ) {
        for upstream in &mut self.upstreams {
            upstream.leaving = true;
        }
        let own = share::deal_slots(snapshot, upstreams, thread);
        self.near_quota = share::zone_quota(snapshot, upstreams);
        self.live = 0;
        let own_sum: u32 = own.iter().map(|slots| slots.get()).sum();
        self.unreported_max = (own_sum / OWN_PER_UNREPORTED).max(1);
        for (spec, own) in upstreams.iter().zip(own) {
            let position = self.position(spec);
            let connections = share::thread_connections(
                spec,
                snapshot.entries_configured,
                snapshot.traffic_threads,
                thread,
            );
            let upstream = &mut self.upstreams[position];
            upstream.leaving = spec.state == snapshot::State::Leaving;
            upstream.near = spec.zone == snapshot.zone;
            upstream.own = own.get();
            upstream.connections = connections.get();
            self.live += usize::from(!upstream.leaving);
        }
        self.near_in_flight = 0;
        for position in 0..self.upstreams.len() {
            let upstream = &self.upstreams[position];
            self.near_in_flight += if upstream.near { u64::from(upstream.local) } else { 0 };
            self.regroup(position);
        }
        self.release_gone(upstreams);
        self.changed = Some(now);
    }

    fn position(&mut self, spec: &snapshot::Upstream) -> usize {
        if let Some(&position) = self.positions.get(&spec.id) {
            let upstream = &mut self.upstreams[position];
            if upstream.spec.address == spec.address {
                if *upstream.spec != *spec {
                    upstream.spec = spec.clone().into();
                }
                return position;
            }
            // Another address under the same id is another process: nothing learned applies to it.
            // Requests in flight keep the old position until they end.
            upstream.leaving = true;
        }
        let upstream = Upstream::new(spec.clone());
        let position = match self.vacant.pop() {
            Some(position) => {
                self.upstreams[position] = upstream;
                position
            }
            None => {
                self.upstreams.push(upstream);
                self.upstreams.len() - 1
            }
        };
        self.positions.insert(spec.id.clone(), position);
        position
    }

    /// Makes the positions of upstreams that left the list available once they are idle.
    fn release_gone(&mut self, upstreams: &[snapshot::Upstream]) {
        let listed: std::collections::HashSet<&id::Upstream> =
            upstreams.iter().map(|spec| &spec.id).collect();
        self.positions.retain(|id, _| listed.contains(id));
        let used: std::collections::HashSet<usize> = self.positions.values().copied().collect();
        self.vacant.clear();
        for (position, upstream) in self.upstreams.iter().enumerate() {
            if upstream.local == 0 && !used.contains(&position) {
                self.vacant.push(position);
            }
        }
    }

    /// Puts an upstream into the set of candidates that fits its state.
    fn regroup(&mut self, position: usize) {
        let group = self.upstreams[position].group(self.policy, &self.response);
        let previous = self.upstreams[position].place;
        if previous.map(|(group, _)| group) == group {
            return;
        }
        if let Some((group, place)) = previous
            && let Some(moved) = self.groups[group as usize].remove(place)
        {
            self.upstreams[moved].place = Some((group, place));
        }
        self.upstreams[position].place =
            group.map(|group| (group, self.groups[group as usize].insert(position)));
    }

    /// Chooses an upstream that can take a request now.
    pub(crate) fn choose(
        &mut self,
        tried: &[id::Upstream],
        rng: &mut fastrand::Rng,
    ) -> Option<Chosen> {
        let mut order = Group::ALL;
        let near_full = self.near_in_flight >= self.near_quota;
        if !self.policy.divides_slots() && near_full {
            order.swap(Group::OwnNear as usize, Group::OwnFar as usize);
        }
        for group in order {
            if self.groups[group as usize].is_empty() {
                continue;
            }
            let may_be_full = self.unreported_in_flight >= self.unreported_max;
            if group.is_unreported() && may_be_full {
                continue;
            }
            if let Some(upstream) = self.choose_from(group, tried, rng) {
                return Some(Chosen { upstream, unreported: group.is_unreported() });
            }
        }
        None
    }

    fn choose_from(
        &mut self,
        group: Group,
        tried: &[id::Upstream],
        rng: &mut fastrand::Rng,
    ) -> Option<usize> {
        let candidates = &self.groups[group as usize];
        let allowed = |position: &usize| !tried.contains(&self.upstreams[*position].spec.id);
        if self.policy == Policy::RoundRobin {
            let count = self.upstreams.len();
            let in_group = |position: &usize| {
                self.upstreams[*position].place.is_some_and(|(other, _)| other == group)
            };
            let start = self.cursor;
            let found = (start..start + count)
                .map(|number| number % count)
                .find(|position| in_group(position) && allowed(position))?;
            self.cursor = found + 1;
            return Some(found);
        }
        let mut drawn = [None; 2];
        let wanted = if self.policy == Policy::Random { 1 } else { 2 };
        for slot in &mut drawn[..wanted] {
            for _ in 0..DRAWS {
                *slot = candidates.draw(rng).filter(allowed);
                if slot.is_some() {
                    break;
                }
            }
        }
        match drawn {
            [Some(first), Some(second)] => {
                let score =
                    |position: usize| self.upstreams[position].score(self.policy, &self.response);
                Some(if score(second) < score(first) { second } else { first })
            }
            [Some(found), None] | [None, Some(found)] => Some(found),
            [None, None] => candidates.as_slice().iter().copied().find(allowed),
        }
    }

    /// Counts a request that goes to the chosen upstream.
    pub(crate) fn start(&mut self, chosen: Chosen) {
        let upstream = &mut self.upstreams[chosen.upstream];
        upstream.start();
        self.in_flight += 1;
        self.near_in_flight += u64::from(upstream.near);
        self.unreported_in_flight += u32::from(chosen.unreported);
        self.regroup(chosen.upstream);
    }

    /// Frees the slot of an attempt and learns from its outcome.
    pub(crate) fn end(
        &mut self,
        key: Key,
        outcome: Outcome,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) {
        let upstream = &mut self.upstreams[key.upstream];
        upstream.end();
        self.in_flight = self.in_flight.saturating_sub(1);
        if upstream.near {
            self.near_in_flight = self.near_in_flight.saturating_sub(1);
        }
        self.unreported_in_flight -= u32::from(key.unreported).min(self.unreported_in_flight);
        let elapsed = now.saturating_duration_since(key.started);
        let load = match outcome {
            Outcome::Answered { slots_in_use } => {
                upstream.learn_response(elapsed, now);
                self.response.learn(elapsed);
                upstream.ejection.succeed();
                slots_in_use
            }
            // A full upstream works. One that refuses with free slots, or without a figure, is about
            // to stop, and the list does not show it yet.
            Outcome::Refused { slots_in_use: Some(load) } if load >= upstream.spec.slots => {
                upstream.ejection.succeed();
                Some(load)
            }
            Outcome::Refused { .. } | Outcome::ConnectFailed | Outcome::Broken => {
                if let Some(at) = upstream.ejection.fail(&self.limits, now, rng) {
                    self.ejections.push(Reverse(Timer { at, upstream: key.upstream }));
                }
                None
            }
            Outcome::TimedOut => {
                upstream.learn_response(elapsed, now);
                None
            }
            Outcome::Abandoned => None,
        };
        if self.upstreams[key.upstream].is_slow(&self.response) {
            self.slow.push_back(Timer { at: now + SLOW_TIME, upstream: key.upstream });
        }
        if let Some(load) = load {
            let age = self.response.mean() * REPORT_AGE_RESPONSES;
            let at = now + age.clamp(REPORT_AGE_MIN, REPORT_AGE_MAX);
            let refused = matches!(outcome, Outcome::Refused { .. });
            self.upstreams[key.upstream].learn_load(load.get(), refused, at);
            self.reports.push_back(Timer { at, upstream: key.upstream });
        }
        self.regroup(key.upstream);
        self.changed = Some(now);
    }

    /// Applies what is due: reports that are too old, slow upstreams to try again and ejections
    /// that end.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(timer) = self.reports.front().copied().filter(|timer| timer.at <= now) {
            self.reports.pop_front();
            if self.upstreams[timer.upstream].forget_load(now) {
                self.regroup(timer.upstream);
                self.changed = Some(now);
            }
        }
        while let Some(timer) = self.slow.front().copied().filter(|timer| timer.at <= now) {
            self.slow.pop_front();
            if self.upstreams[timer.upstream].forget_slowness(&self.response, now) {
                self.regroup(timer.upstream);
                self.changed = Some(now);
            }
        }
        while let Some(Reverse(timer)) = self.ejections.peek().copied() {
            if timer.at > now {
                break;
            }
            self.ejections.pop();
            if self.upstreams[timer.upstream].ejection.end(now) {
                self.regroup(timer.upstream);
                self.changed = Some(now);
            }
        }
    }

    /// Puts a request into the queue, or tells why it cannot wait.
    pub(crate) fn enqueue(
        &mut self,
        request: &Request<Accepted>,
        ticket: Ticket,
        now: Instant,
    ) -> Result<Instant, Reason> {
        if self.queue.len() >= self.limits.queue {
            return Err(Reason::QueueFull);
        }
        let left = request.deadline().saturating_duration_since(now);
        // The time of the attempt itself must fit before the deadline. A deadline that is short for
        // this service still leaves half of it for waiting.
        let reserve = self.response.high().min(left / 2);
        let until = now + left.saturating_sub(reserve).min(self.limits.wait);
        if now + self.expected_wait() > until {
            return Err(Reason::TooLate);
        }
        let first = self.queue.front();
        if first.is_some_and(|waiting| !waiting.tried.is_empty()) {
            // The first one waits for certain upstreams only. Others may be free for this request.
            self.changed = Some(now);
        }
        let waiting = Waiting { ticket, until, tried: request.tried().to_vec() };
        if request.tried().is_empty() {
            self.queue.push_back(waiting);
        } else {
            // A retry has waited already.
            self.queue.push_front(waiting);
        }
        self.queue_expires = Some(self.queue_expires.map_or(until, |at| at.min(until)));
        Ok(until)
    }

    /// Estimates the wait at the end of the queue from the rate at which requests end.
    fn expected_wait(&self) -> Duration {
        if self.in_flight == 0 {
            return Duration::ZERO;
        }
        let ahead = self.queue.len() as f64;
        self.response.mean().mul_f64(ahead / self.in_flight as f64)
    }

    /// Tells whether a slot may have become free since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        self.changed.take().is_some()
    }

    /// Takes the next queued request that can go now.
    pub(crate) fn dequeue(&mut self, rng: &mut fastrand::Rng) -> Option<(Ticket, Chosen)> {
        for number in 0..self.queue.len().min(QUEUE_LOOK) {
            let tried = std::mem::take(&mut self.queue[number].tried);
            let chosen = self.choose(&tried, rng);
            self.queue[number].tried = tried;
            let Some(chosen) = chosen else { continue };
            let waiting = self.queue.remove(number)?;
            return Some((waiting.ticket, chosen));
        }
        None
    }

    /// Removes the queued requests that can no longer start in time.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let mut expired = Vec::new();
        if self.queue_expires.is_none_or(|at| at > now) {
            return expired;
        }
        self.queue.retain(|waiting| {
            let late = waiting.until <= now;
            if late {
                expired.push(waiting.ticket);
            }
            !late
        });
        self.queue_expires = self.queue.iter().map(|waiting| waiting.until).min();
        expired
    }

    /// Removes one request from the queue.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        let found = self.queue.iter().position(|waiting| waiting.ticket == ticket);
        found.and_then(|number| self.queue.remove(number)).is_some()
    }

    /// Tells whether a live upstream is left that the request has not tried.
    pub(crate) fn has_untried(&self, tried: &[id::Upstream]) -> bool {
        let is_live = |id: &&id::Upstream| {
            self.positions.get(*id).is_some_and(|&position| !self.upstreams[position].leaving)
        };
        self.live > tried.iter().filter(is_live).count()
    }

    /// Returns when [`Service::advance`] or [`Service::expire`] has something to do for a queued
    /// request.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let report = self.reports.front().map(|timer| timer.at);
        let ejection = self.ejections.peek().map(|Reverse(timer)| timer.at);
        [self.queue_expires, report, ejection, self.changed].into_iter().flatten().min()
    }

    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight
    }
}
