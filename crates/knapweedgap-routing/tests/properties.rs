//! Guards against overload of an upstream, requests without a result, and dispatch to a leaving
//! upstream, under arbitrary sequences of events.

mod common;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use common::*;
use knapweedgap_core::{id, size};
use knapweedgap_routing::share::{self, Thread};
use knapweedgap_routing::snapshot::{Snapshot, State, Upstream};
use knapweedgap_routing::{Action, Decision, Outcome, Permit, Policy, Router, Ticket};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Step {
    Admit { deadline_ms: u64 },
    Complete { which: usize, outcome: usize, load: u32 },
    Drop { which: usize },
    Wait { ms: u64 },
    Cancel { which: usize },
    Update { states: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0u64..3000).prop_map(|deadline_ms| Step::Admit { deadline_ms }),
        6 => (any::<usize>(), 0usize..6, 0u32..9)
            .prop_map(|(which, outcome, load)| Step::Complete { which, outcome, load }),
        1 => any::<usize>().prop_map(|which| Step::Drop { which }),
        2 => (0u64..700).prop_map(|ms| Step::Wait { ms }),
        1 => any::<usize>().prop_map(|which| Step::Cancel { which }),
        1 => any::<u16>().prop_map(|states| Step::Update { states }),
    ]
}

fn policy() -> impl Strategy<Value = Policy> {
    (0..Policy::ALL.len()).prop_map(|position| Policy::ALL[position])
}

fn outcome(number: usize, load: u32) -> Outcome {
    let slots_in_use = Some(size::Slot::new(load));
    match number {
        0 => Outcome::Refused { slots_in_use },
        1 => Outcome::ConnectFailed,
        2 => Outcome::Broken,
        3 => Outcome::TimedOut,
        4 => Outcome::Abandoned,
        _ => Outcome::Answered { slots_in_use },
    }
}

/// Expected state of the router, derived only from its results.
struct Model {
    router: Router,
    snapshot: Arc<Snapshot>,
    time: Instant,
    in_flight: Vec<Permit>,
    queued: Vec<Ticket>,
    /// Number of results per request: dispatches, refusals and cancellations.
    ended: BTreeMap<Ticket, u32>,
}

impl Model {
    fn new(policy: Policy, fleet: Vec<Upstream>) -> Model {
        let time = Instant::now();
        let snapshot = Arc::new(seven_entries(0, fleet));
        let rng = fastrand::Rng::with_seed(3);
        let router = Router::new(policy, Thread::new(0), Arc::clone(&snapshot), rng, time);
        let (in_flight, queued, ended) = (Vec::new(), Vec::new(), BTreeMap::new());
        Model { router, snapshot, time, in_flight, queued, ended }
    }

    fn fleet(&self) -> &[Upstream] {
        &self.snapshot.services[0].upstreams
    }

    fn record_dispatch(&mut self, permit: Permit) -> Result<(), TestCaseError> {
        let id = &permit.upstream().id;
        let known = self.fleet().iter().find(|upstream| upstream.id == *id);
        prop_assert!(known.is_some_and(|upstream| upstream.state == State::Live));
        self.in_flight.push(permit);
        self.check_limits()
    }

    fn record_end(&mut self, ticket: Ticket) -> Result<(), TestCaseError> {
        prop_assert!(self.queued.contains(&ticket));
        self.queued.retain(|other| *other != ticket);
        let count = self.ended.entry(ticket).or_default();
        *count += 1;
        prop_assert_eq!(*count, 1);
        Ok(())
    }

    fn apply(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Start(dispatch) => {
                    self.record_end(dispatch.ticket)?;
                    self.record_dispatch(dispatch.permit)?;
                }
                Action::Refuse { ticket, .. } => self.record_end(ticket)?,
            }
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), TestCaseError> {
        let mut counts: HashMap<&id::Upstream, u32> = HashMap::new();
        for permit in &self.in_flight {
            *counts.entry(&permit.upstream().id).or_default() += 1;
        }
        for upstream in self.fleet() {
            let count = counts.get(&upstream.id).copied().unwrap_or(0);
            let share = share::thread_connections(upstream, 7, 2, Thread::new(0));
            prop_assert!(count <= upstream.slots.get());
            prop_assert!(count <= share.get());
        }
        Ok(())
    }

    fn run(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Admit { deadline_ms } => {
                let request = request(self.time + ms(deadline_ms));
                match self.router.admit(&request, self.time) {
                    Decision::Dispatch(permit) => self.record_dispatch(permit)?,
                    Decision::Queue { ticket, until } => {
                        prop_assert!(until <= request.deadline());
                        prop_assert!(!self.ended.contains_key(&ticket));
                        self.queued.push(ticket);
                    }
                    Decision::Refuse(_) => {}
                }
            }
            Step::Complete { which, outcome: number, load } if !self.in_flight.is_empty() => {
                let permit = self.in_flight.swap_remove(which % self.in_flight.len());
                let actions = self.router.complete(permit, outcome(number, load), self.time);
                self.apply(actions)?;
            }
            Step::Drop { which } if !self.in_flight.is_empty() => {
                drop(self.in_flight.swap_remove(which % self.in_flight.len()));
            }
            Step::Cancel { which } if !self.queued.is_empty() => {
                let ticket = self.queued[which % self.queued.len()];
                prop_assert!(self.router.cancel(ticket));
                self.record_end(ticket)?;
            }
            Step::Wait { ms: wait } => {
                self.time += ms(wait);
                let actions = self.router.expire(self.time);
                self.apply(actions)?;
                let wake = self.router.next_wake();
                prop_assert!(wake.is_none_or(|wake| wake > self.time), "woken without need");
            }
            Step::Update { states } => {
                let mut snapshot = Snapshot::clone(&self.snapshot);
                for (number, upstream) in snapshot.services[0].upstreams.iter_mut().enumerate() {
                    let leaving = states & (1 << number) != 0;
                    upstream.state = if leaving { State::Leaving } else { State::Live };
                }
                self.snapshot = Arc::new(snapshot);
                let actions = self.router.update(Arc::clone(&self.snapshot), self.time);
                self.apply(actions)?;
            }
            Step::Complete { .. } | Step::Drop { .. } | Step::Cancel { .. } => {}
        }
        let stats = self.router.stats();
        prop_assert_eq!(stats.queued, self.queued.len() as u64);
        prop_assert!(stats.in_flight >= self.in_flight.len() as u64);
        Ok(())
    }
}

proptest! {
    #[test]
    fn each_request_ends_once_and_no_limit_is_exceeded(
        policy in policy(),
        slots in 1u32..9,
        connections in 0u32..120,
        steps in proptest::collection::vec(step(), 1..200),
    ) {
        let fleet = (0..5).map(|number| upstream(number, slots, connections)).collect();
        let mut model = Model::new(policy, fleet);
        for step in steps {
            model.run(step)?;
        }
        // Every queued request has a result after the longest wait, whatever happened before.
        model.time += ms(60_000);
        let actions = model.router.expire(model.time);
        model.apply(actions)?;
        prop_assert!(model.queued.is_empty());
        for permit in std::mem::take(&mut model.in_flight) {
            let _ = model.router.complete(permit, Outcome::Abandoned, model.time);
        }
        let _ = model.router.expire(model.time);
        prop_assert_eq!(model.router.stats().in_flight, 0);
    }

    #[test]
    fn connections_of_all_threads_never_exceed_the_share_of_the_entry(
        limit in any::<u32>(),
        entries in 0u32..40,
        threads in 1u32..9,
        number in 0usize..100,
    ) {
        let runner = upstream(number, 8, limit);
        let share = share::entry_connections(runner.connections, entries);
        let connections =
            |thread| share::thread_connections(&runner, entries, threads, Thread::new(thread));
        let sum: u64 = (0..threads).map(|thread| u64::from(connections(thread).get())).sum();
        prop_assert_eq!(sum, u64::from(share.get()));
        prop_assert!(u64::from(share.get()) * 2 * u64::from(entries.max(1)) <= u64::from(limit));
    }

    #[test]
    fn slots_assigned_to_all_threads_never_exceed_those_of_an_upstream(
        sizes in proptest::collection::vec((0u32..20, 0u32..200, any::<bool>()), 0..20),
        entries in 1usize..8,
    ) {
        let mut fleet = Vec::new();
        for (number, (slots, connections, leaving)) in sizes.into_iter().enumerate() {
            let mut runner = upstream(number, slots, connections);
            runner.state = if leaving { State::Leaving } else { State::Live };
            fleet.push(runner);
        }
        let mut assigned = vec![0; fleet.len()];
        for entry in 0..entries {
            let mut snapshot = seven_entries(entry, fleet.clone());
            snapshot.entries.truncate(entries);
            for thread in 0..2 {
                let own = share::assign_slots(&snapshot, &fleet, Thread::new(thread));
                for (sum, slots) in assigned.iter_mut().zip(own) {
                    *sum += slots.get();
                }
            }
        }
        for (sum, runner) in assigned.into_iter().zip(&fleet) {
            let limit = if runner.state == State::Live { runner.slots.get() } else { 0 };
            prop_assert!(sum <= limit);
        }
    }

    #[test]
    fn policies_round_trip(policy in policy()) {
        let text = policy.to_string();
        prop_assert_eq!(text.parse::<Policy>().ok(), Some(policy));
    }
}

#[test]
fn policy_names_are_distinct() {
    let names: HashSet<String> = Policy::ALL.iter().map(ToString::to_string).collect();
    assert_eq!(names.len(), Policy::ALL.len());
}
