//! Router of one traffic thread.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use knapweedgap_core::id;

use crate::decision::{Action, Decision, Dispatch, Outcome, Reason, Settled, Ticket};
use crate::permit::{Dropped, Key, Permit};
use crate::policy::Policy;
use crate::request::{Accepted, Answer, Dispatched, Kind, Request};
use crate::service::{Choice, Service};
use crate::share::Thread;
use crate::snapshot::{self, Snapshot};

/// Counters of one router since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of permits that were dropped without completion. A value above zero shows a fault of
    /// the caller.
    pub permits_dropped: u64,
    /// Number of retries that the budget allowed.
    pub retries: u64,
    /// Number of retries that the budget refused.
    pub retries_refused: u64,
    /// Number of requests in flight now.
    pub in_flight: u64,
    /// Number of requests in the queues now.
    pub queued: u64,
}

/// Routing state and decisions of one traffic thread.
#[derive(Debug)]
pub struct Router {
    policy: Policy,
    thread: Thread,
    rng: fastrand::Rng,
    snapshot: Arc<Snapshot>,
    services: Vec<Service>,
    positions: HashMap<id::Service, usize>,
    dropped: Dropped,
    next_ticket: u64,
    stats: Stats,
}

impl Router {
    /// Creates the router of one traffic thread.
    pub fn new(
        policy: Policy,
        thread: Thread,
        snapshot: Arc<Snapshot>,
        rng: fastrand::Rng,
        now: Instant,
    ) -> Router {
        let mut router = Router {
            policy,
            thread,
            rng,
            snapshot: Arc::clone(&snapshot),
            services: Vec::new(),
            positions: HashMap::new(),
            dropped: Dropped::default(),
            next_ticket: 0,
            stats: Stats::default(),
        };
        // Nothing is queued yet, so no action follows.
        drop(router.update(snapshot, now));
        router
    }

    /// Returns the snapshot in use, which the caller compares with the published one.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the counters and the current numbers of requests.
    pub fn stats(&self) -> Stats {
        let in_flight = self.services.iter().map(Service::in_flight).sum();
        let queued = self.services.iter().map(|service| service.queue.len() as u64).sum();
        Stats { in_flight, queued, ..self.stats }
    }

    /// Applies a new snapshot. Upstreams that are leaving or no longer listed get no new requests;
    /// their requests in flight finish.
    pub fn update(&mut self, snapshot: Arc<Snapshot>, now: Instant) -> Vec<Action> {
        self.release_dropped(now);
        for service in &mut self.services {
            service.removed = true;
        }
        let same_shares = self.snapshot.has_same_shares(&snapshot);
        for spec in &snapshot.services {
            let known = self.positions.get(&spec.id).copied();
            let position = match known {
                Some(position) => position,
                None => {
                    let threads = snapshot.traffic_threads;
                    self.services.push(Service::new(self.policy, spec.limits, threads, now));
                    self.positions.insert(spec.id.clone(), self.services.len() - 1);
                    self.services.len() - 1
                }
            };
            let service = &mut self.services[position];
            service.removed = false;
            service.limits = spec.limits;
            if known.is_some() && same_shares && is_unchanged(&self.snapshot, spec) {
                continue;
            }
            service.update(&snapshot, &spec.upstreams, self.thread, now);
        }
        for service in self.services.iter_mut().filter(|service| service.removed) {
            service.update(&snapshot, &[], self.thread, now);
        }
        self.snapshot = snapshot;
        let mut actions = Vec::new();
        for service in &mut self.services {
            if service.has_untried(&[]) {
                continue;
            }
            let reason = if service.removed { Reason::UnknownService } else { Reason::NoUpstream };
            for waiting in service.queue.drain(..) {
                actions.push(Action::Refuse { ticket: waiting.ticket, reason });
            }
        }
        actions.extend(self.expire(now));
        actions
    }

    /// Decides about a request that was read from a client or is to be retried.
    pub fn admit(&mut self, request: &Request<Accepted>, now: Instant) -> Decision {
        self.release_dropped(now);
        let found = self.positions.get(request.service()).copied();
        let Some(position) = found.filter(|&position| !self.services[position].removed) else {
            return Decision::Refuse(Reason::UnknownService);
        };
        let service = &mut self.services[position];
        if request.deadline() <= now {
            return Decision::Refuse(Reason::TooLate);
        }
        if !service.has_untried(request.tried()) {
            return Decision::Refuse(Reason::NoUpstream);
        }
        if request.tried().is_empty() {
            service.budget.deposit(&service.limits);
        }
        service.advance(now);
        // Queued requests precede new ones, but not retries.
        let may_start = service.queue.is_empty() || !request.tried().is_empty();
        if may_start && let Some(chosen) = service.choose(request.tried(), &mut self.rng) {
            return Decision::Dispatch(self.start(position, chosen, now));
        }
        let ticket = Ticket(self.next_ticket);
        match service.enqueue(request, ticket, now) {
            Ok(until) => {
                self.next_ticket += 1;
                Decision::Queue { ticket, until }
            }
            Err(reason) => Decision::Refuse(reason),
        }
    }

    /// Ends an attempt: frees the slot, records the outcome, and returns the actions for queued
    /// requests.
    ///
    /// Most callers use [`Router::settle`], which also decides about a retry.
    pub fn complete(&mut self, permit: Permit, outcome: Outcome, now: Instant) -> Vec<Action> {
        self.release_dropped(now);
        let mut actions = Vec::new();
        let Some(key) = permit.into_key(&self.dropped) else { return actions };
        let service = &mut self.services[key.service];
        service.end(key, outcome, now, &mut self.rng);
        service.advance(now);
        self.process_queue(key.service, now, &mut actions);
        actions
    }

    /// Ends the attempt of a request and decides whether the request is complete or may be retried.
    pub fn settle(
        &mut self,
        request: Request<Dispatched>,
        outcome: Outcome,
        now: Instant,
    ) -> (Settled, Vec<Action>) {
        let (mut request, Dispatched { permit, written }) = request.with_state(Accepted);
        request.tried.push(permit.upstream().id.clone());
        let actions = self.complete(permit, outcome, now);
        let not_run = matches!(outcome, Outcome::Refused { .. }) || !written;
        let final_answer = match outcome {
            Outcome::Answered { .. } => Some(Answer::Done),
            Outcome::TimedOut if not_run => Some(Answer::NotRun(Reason::TooLate)),
            Outcome::Abandoned if not_run => Some(Answer::NotRun(Reason::Cancelled)),
            Outcome::TimedOut | Outcome::Abandoned => Some(Answer::Unknown),
            Outcome::Refused { .. } | Outcome::ConnectFailed | Outcome::Broken => None,
        };
        let answer = final_answer.or_else(|| {
            let repeatable = request.kind() == Kind::Idempotent || !written;
            if repeatable && self.may_retry(&request, now) {
                return None;
            }
            Some(if not_run { Answer::NotRun(Reason::NoRetry) } else { Answer::Unknown })
        });
        let settled = match answer {
            Some(answer) => Settled::Answered(Request::from_attempt(request, answer)),
            None => Settled::Retry(request),
        };
        (settled, actions)
    }

    /// Returns `true` if the limits permit a retry, and withdraws it from the budget.
    fn may_retry(&mut self, request: &Request<Accepted>, now: Instant) -> bool {
        let found = self.positions.get(request.service());
        let Some(service) = found.and_then(|&position| self.services.get_mut(position)) else {
            return false;
        };
        let attempts_left = request.tried().len() < service.limits.attempts;
        if !attempts_left || request.deadline() <= now || !service.has_untried(request.tried()) {
            return false;
        }
        if service.budget.withdraw(&service.limits, now) {
            self.stats.retries += 1;
            return true;
        }
        self.stats.retries_refused += 1;
        false
    }

    /// Removes a request from the queue, because its client disconnected. Returns `false` if it is
    /// not queued, for example because an action has already named it.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.services.iter_mut().any(|service| service.cancel(ticket))
    }

    /// Applies what is due: ends ejections, refuses queued requests that can no longer start in
    /// time, and starts queued requests for which a slot is free.
    pub fn expire(&mut self, now: Instant) -> Vec<Action> {
        self.release_dropped(now);
        let mut actions = Vec::new();
        for position in 0..self.services.len() {
            self.services[position].advance(now);
            self.process_queue(position, now, &mut actions);
        }
        actions
    }

    /// Returns the time by which [`Router::expire`] must be called, or `None` if no request is
    /// queued. Every other call may change it.
    pub fn next_wake(&self) -> Option<Instant> {
        self.services.iter().filter_map(Service::next_wake).min()
    }

    /// Refuses expired requests and starts those for which a slot became free.
    fn process_queue(&mut self, position: usize, now: Instant, actions: &mut Vec<Action>) {
        for ticket in self.services[position].expire(now) {
            actions.push(Action::Refuse { ticket, reason: Reason::TooLate });
        }
        if !self.services[position].take_changed() {
            return;
        }
        while let Some((ticket, chosen)) = self.services[position].dequeue(&mut self.rng) {
            let permit = self.start(position, chosen, now);
            actions.push(Action::Start(Dispatch { ticket, permit }));
        }
    }

    fn start(&mut self, position: usize, chosen: Choice, now: Instant) -> Permit {
        let service = &mut self.services[position];
        service.start(chosen);
        let key = Key {
            service: position,
            upstream: chosen.upstream,
            started: now,
            unreported: chosen.unreported,
        };
        let spec = &service.upstreams[chosen.upstream].spec;
        Permit::new(spec.clone(), key, self.dropped.clone())
    }

    /// Frees the slots of dropped permits.
    fn release_dropped(&mut self, now: Instant) {
        if self.dropped.borrow().is_empty() {
            return;
        }
        let keys = std::mem::take(&mut *self.dropped.borrow_mut());
        for key in keys {
            self.stats.permits_dropped += 1;
            self.services[key.service].end(key, Outcome::Abandoned, now, &mut self.rng);
        }
    }
}

/// Returns `true` if a service has the same upstreams as in the previous snapshot.
fn is_unchanged(previous: &Snapshot, service: &snapshot::Service) -> bool {
    let mut services = previous.services.iter();
    let found = services.find(|other| other.id == service.id);
    found.is_some_and(|other| other.upstreams == service.upstreams)
}
