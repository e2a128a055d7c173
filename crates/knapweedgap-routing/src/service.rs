//! State of one service in one router: candidates, queue and response times.

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
use crate::upstream::{Group, SLOW_TIMEOUT, Upstream};

/// Validity of a load report, in mean response times. With half of it, free slots are not borrowed
/// for lack of a report; twice as much changes nothing (`docs/decisions/routing.md`).
const REPORT_AGE_RESPONSES: u32 = 2;

/// Shortest validity of a load report.
const REPORT_AGE_MIN: Duration = Duration::from_millis(20);

/// Longest validity of a load report.
const REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// Number of own slots for each request that a thread may have in flight at upstreams without a
/// load report.
///
/// The responses carry the missing reports. Without a limit these requests queue at upstreams as
/// soon as the offered load exceeds the capacity (`docs/decisions/routing.md`).
const OWN_SLOTS_PER_UNREPORTED: u32 = 8;

/// Number of queued requests that are checked for one that may use a free slot. Only retries, which
/// avoid the upstreams that they have tried, require more than one.
const QUEUE_SCAN_MAX: usize = 8;

/// Number of draws for one allowed candidate. If every draw fails, all candidates are checked.
const DRAWS_MAX: usize = 4;

/// A request in the queue.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) until: Instant,
    tried: Vec<id::Upstream>,
}

/// Time at which the state of an upstream is due for an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Instant,
    upstream: usize,
}

/// Upstream chosen for a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Choice {
    pub(crate) upstream: usize,
    /// Whether the upstream has no recent load report.
    pub(crate) unreported: bool,
}

#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) limits: Limits,
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) queue: VecDeque<Waiting>,
    pub(crate) budget: Budget,
    /// Whether the service is no longer in the snapshot.
    pub(crate) removed: bool,
    /// Time at which a slot may have become free; absent if none has since the queue was last
    /// checked.
    changed: Option<Instant>,
    policy: Policy,
    positions: HashMap<id::Upstream, usize>,
    free_positions: Vec<usize>,
    groups: [Candidates; Group::ALL.len()],
    response: Estimate,
    in_flight: u64,
    same_zone_in_flight: u64,
    same_zone_quota: u64,
    live: usize,
    unreported_in_flight: u32,
    unreported_max: u32,
    cursor: usize,
    queue_expires_at: Option<Instant>,
    report_expiries: VecDeque<Timer>,
    ejection_ends: BinaryHeap<Reverse<Timer>>,
    /// Times at which slow upstreams count as normal again, earliest first.
    slow_timeouts: VecDeque<Timer>,
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
            free_positions: Vec::new(),
            groups: Default::default(),
            response: Estimate::new(SERVICE_WEIGHT),
            in_flight: 0,
            same_zone_in_flight: 0,
            same_zone_quota: 0,
            live: 0,
            unreported_in_flight: 0,
            unreported_max: 0,
            cursor: 0,
            queue_expires_at: None,
            report_expiries: VecDeque::new(),
            ejection_ends: BinaryHeap::new(),
            slow_timeouts: VecDeque::new(),
        }
    }

    /// Applies the upstreams of a new snapshot and keeps the load, response times and ejections of
    /// known ones.
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
        let own = share::assign_slots(snapshot, upstreams, thread);
        self.same_zone_quota = share::zone_quota(snapshot, upstreams);
        self.live = 0;
        let own_sum: u32 = own.iter().map(|slots| slots.get()).sum();
        self.unreported_max = (own_sum / OWN_SLOTS_PER_UNREPORTED).max(1);
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
            upstream.same_zone = spec.zone == snapshot.zone;
            upstream.own_slots = own.get();
            upstream.connections_max = connections.get();
            self.live += usize::from(!upstream.leaving);
        }
        self.same_zone_in_flight = 0;
        for position in 0..self.upstreams.len() {
            let upstream = &self.upstreams[position];
            self.same_zone_in_flight +=
                if upstream.same_zone { u64::from(upstream.in_flight) } else { 0 };
            self.regroup(position);
        }
        self.update_free_positions(upstreams);
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
            // Another address under the same id is another process, to which no measurement
            // applies. Requests in flight keep the old position until they end.
            upstream.leaving = true;
        }
        let upstream = Upstream::new(spec.clone());
        let position = match self.free_positions.pop() {
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

    /// Makes the positions of upstreams that are no longer listed available once they are idle.
    fn update_free_positions(&mut self, upstreams: &[snapshot::Upstream]) {
        let listed: std::collections::HashSet<&id::Upstream> =
            upstreams.iter().map(|spec| &spec.id).collect();
        self.positions.retain(|id, _| listed.contains(id));
        let used: std::collections::HashSet<usize> = self.positions.values().copied().collect();
        self.free_positions.clear();
        for (position, upstream) in self.upstreams.iter().enumerate() {
            if upstream.in_flight == 0 && !used.contains(&position) {
                self.free_positions.push(position);
            }
        }
    }

    /// Moves an upstream to the set of candidates for its state.
    fn regroup(&mut self, position: usize) {
        let group = self.upstreams[position].group(self.policy, &self.response);
        let previous = self.upstreams[position].candidate;
        if previous.map(|(group, _)| group) == group {
            return;
        }
        if let Some((group, index)) = previous
            && let Some(moved) = self.groups[group as usize].remove(index)
        {
            self.upstreams[moved].candidate = Some((group, index));
        }
        self.upstreams[position].candidate =
            group.map(|group| (group, self.groups[group as usize].insert(position)));
    }

    /// Chooses an upstream that can take a request now.
    pub(crate) fn choose(
        &mut self,
        tried: &[id::Upstream],
        rng: &mut fastrand::Rng,
    ) -> Option<Choice> {
        let mut order = Group::ALL;
        let same_zone_full = self.same_zone_in_flight >= self.same_zone_quota;
        if !self.policy.divides_slots() && same_zone_full {
            order.swap(Group::OwnSameZone as usize, Group::OwnOtherZone as usize);
        }
        for group in order {
            if self.groups[group as usize].is_empty() {
                continue;
            }
            let unreported_full = self.unreported_in_flight >= self.unreported_max;
            if group.is_unreported() && unreported_full {
                continue;
            }
            if let Some(upstream) = self.choose_from(group, tried, rng) {
                return Some(Choice { upstream, unreported: group.is_unreported() });
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
                self.upstreams[*position].candidate.is_some_and(|(other, _)| other == group)
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
        for candidate in &mut drawn[..wanted] {
            for _ in 0..DRAWS_MAX {
                *candidate = candidates.draw(rng).filter(allowed);
                if candidate.is_some() {
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

    /// Counts a request that is sent to the chosen upstream.
    pub(crate) fn start(&mut self, chosen: Choice) {
        let upstream = &mut self.upstreams[chosen.upstream];
        upstream.record_start();
        self.in_flight += 1;
        self.same_zone_in_flight += u64::from(upstream.same_zone);
        self.unreported_in_flight += u32::from(chosen.unreported);
        self.regroup(chosen.upstream);
    }

    /// Frees the slot of an attempt and records its outcome.
    pub(crate) fn end(
        &mut self,
        key: Key,
        outcome: Outcome,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) {
        let upstream = &mut self.upstreams[key.upstream];
        upstream.record_end();
        self.in_flight = self.in_flight.saturating_sub(1);
        if upstream.same_zone {
            self.same_zone_in_flight = self.same_zone_in_flight.saturating_sub(1);
        }
        self.unreported_in_flight -= u32::from(key.unreported).min(self.unreported_in_flight);
        let elapsed = now.saturating_duration_since(key.started);
        let load = match outcome {
            Outcome::Answered { slots_in_use } => {
                upstream.record_response(elapsed, now);
                self.response.add(elapsed);
                upstream.ejection.record_success();
                slots_in_use
            }
            // A full upstream is healthy. One that refuses with free slots, or reports no load, is
            // about to stop, which the list does not show yet.
            Outcome::Refused { slots_in_use: Some(load) } if load >= upstream.spec.slots => {
                upstream.ejection.record_success();
                Some(load)
            }
            Outcome::Refused { .. } | Outcome::ConnectFailed | Outcome::Broken => {
                if let Some(at) = upstream.ejection.record_failure(&self.limits, now, rng) {
                    self.ejection_ends.push(Reverse(Timer { at, upstream: key.upstream }));
                }
                None
            }
            Outcome::TimedOut => {
                upstream.record_response(elapsed, now);
                None
            }
            Outcome::Abandoned => None,
        };
        if self.upstreams[key.upstream].is_slow(&self.response) {
            self.slow_timeouts.push_back(Timer { at: now + SLOW_TIMEOUT, upstream: key.upstream });
        }
        if let Some(load) = load {
            let age = self.response.mean() * REPORT_AGE_RESPONSES;
            let at = now + age.clamp(REPORT_AGE_MIN, REPORT_AGE_MAX);
            let refused = matches!(outcome, Outcome::Refused { .. });
            self.upstreams[key.upstream].record_load(load.get(), refused, at);
            self.report_expiries.push_back(Timer { at, upstream: key.upstream });
        }
        self.regroup(key.upstream);
        self.changed = Some(now);
    }

    /// Applies what is due: expired load reports, slow upstreams that count as normal again, and
    /// ends of ejections.
    pub(crate) fn advance(&mut self, now: Instant) {
        while let Some(timer) =
            self.report_expiries.front().copied().filter(|timer| timer.at <= now)
        {
            self.report_expiries.pop_front();
            if self.upstreams[timer.upstream].expire_load(now) {
                self.regroup(timer.upstream);
                self.changed = Some(now);
            }
        }
        while let Some(timer) = self.slow_timeouts.front().copied().filter(|timer| timer.at <= now)
        {
            self.slow_timeouts.pop_front();
            if self.upstreams[timer.upstream].reset_slowness(&self.response, now) {
                self.regroup(timer.upstream);
                self.changed = Some(now);
            }
        }
        while let Some(Reverse(timer)) = self.ejection_ends.peek().copied() {
            if timer.at > now {
                break;
            }
            self.ejection_ends.pop();
            if self.upstreams[timer.upstream].ejection.expire(now) {
                self.regroup(timer.upstream);
                self.changed = Some(now);
            }
        }
    }

    /// Adds a request to the queue and returns its latest start.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal if the queue is full or the expected wait is too long.
    pub(crate) fn enqueue(
        &mut self,
        request: &Request<Accepted>,
        ticket: Ticket,
        now: Instant,
    ) -> Result<Instant, Reason> {
        if self.queue.len() >= self.limits.queue {
            return Err(Reason::QueueFull);
        }
        let time_left = request.deadline().saturating_duration_since(now);
        // The attempt itself must complete before the deadline. If the deadline is short for this
        // service, half of the time is still available for the wait.
        let reserve = self.response.upper_bound().min(time_left / 2);
        let until = now + time_left.saturating_sub(reserve).min(self.limits.wait);
        if now + self.expected_wait() > until {
            return Err(Reason::TooLate);
        }
        let first = self.queue.front();
        if first.is_some_and(|waiting| !waiting.tried.is_empty()) {
            // The first request waits only for upstreams that it has not tried. Another upstream
            // may be free for this request.
            self.changed = Some(now);
        }
        let waiting = Waiting { ticket, until, tried: request.tried().to_vec() };
        if request.tried().is_empty() {
            self.queue.push_back(waiting);
        } else {
            // A retry has already waited.
            self.queue.push_front(waiting);
        }
        self.queue_expires_at = Some(self.queue_expires_at.map_or(until, |at| at.min(until)));
        Ok(until)
    }

    /// Estimates the wait of a request at the end of the queue, from the rate at which requests
    /// end.
    fn expected_wait(&self) -> Duration {
        if self.in_flight == 0 {
            return Duration::ZERO;
        }
        let ahead = self.queue.len() as f64;
        self.response.mean().mul_f64(ahead / self.in_flight as f64)
    }

    /// Returns and clears whether a slot may have become free since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        self.changed.take().is_some()
    }

    /// Removes and returns the next queued request that can be sent now.
    pub(crate) fn dequeue(&mut self, rng: &mut fastrand::Rng) -> Option<(Ticket, Choice)> {
        for number in 0..self.queue.len().min(QUEUE_SCAN_MAX) {
            let tried = std::mem::take(&mut self.queue[number].tried);
            let chosen = self.choose(&tried, rng);
            self.queue[number].tried = tried;
            let Some(chosen) = chosen else { continue };
            let waiting = self.queue.remove(number)?;
            return Some((waiting.ticket, chosen));
        }
        None
    }

    /// Removes and returns the queued requests that can no longer start in time.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        let mut expired = Vec::new();
        if self.queue_expires_at.is_none_or(|at| at > now) {
            return expired;
        }
        self.queue.retain(|waiting| {
            let is_late = waiting.until <= now;
            if is_late {
                expired.push(waiting.ticket);
            }
            !is_late
        });
        self.queue_expires_at = self.queue.iter().map(|waiting| waiting.until).min();
        expired
    }

    /// Removes one request from the queue. Returns `false` if it is not queued.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        let found = self.queue.iter().position(|waiting| waiting.ticket == ticket);
        found.and_then(|number| self.queue.remove(number)).is_some()
    }

    /// Returns `true` if a live upstream is left that the request has not tried.
    pub(crate) fn has_untried(&self, tried: &[id::Upstream]) -> bool {
        let is_live = |id: &&id::Upstream| {
            self.positions.get(*id).is_some_and(|&position| !self.upstreams[position].leaving)
        };
        self.live > tried.iter().filter(is_live).count()
    }

    /// Returns when [`Service::advance`] or [`Service::expire`] must be called for a queued
    /// request, or `None` if none is queued.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let report = self.report_expiries.front().map(|timer| timer.at);
        let ejection = self.ejection_ends.peek().map(|Reverse(timer)| timer.at);
        [self.queue_expires_at, report, ejection, self.changed].into_iter().flatten().min()
    }

    pub(crate) fn in_flight(&self) -> u64 {
        self.in_flight
    }
}
