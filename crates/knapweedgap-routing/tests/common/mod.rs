//! Snapshots, requests and assertions for the tests.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};
use knapweedgap_routing::request::{Accepted, Kind, Request};
use knapweedgap_routing::share::Thread;
use knapweedgap_routing::snapshot::{Entry, Limits, Service, Snapshot, State, Upstream};
use knapweedgap_routing::{Action, Decision, Permit, Policy, Router, Ticket};

pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn zone(name: &str) -> id::Zone {
    name.parse().expect("valid")
}

pub fn instance(number: usize) -> id::Instance {
    format!("entry-{number}").parse().expect("valid")
}

pub fn upstream(number: usize, slots: u32, connections: u32) -> Upstream {
    Upstream {
        id: format!("runner-{number}").parse().expect("valid"),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16)),
        zone: zone(ZONES[number % 3]),
        slots: size::Slot::new(slots),
        connections: size::Connection::new(connections),
        state: State::Live,
    }
}

pub fn upstreams(count: usize) -> Vec<Upstream> {
    (0..count).map(|number| upstream(number, 8, 60)).collect()
}

pub fn service_id() -> id::Service {
    "inspect".parse().expect("valid")
}

/// Returns the snapshot of entry `number` of seven, each with two threads.
pub fn seven_entries(number: usize, upstreams: Vec<Upstream>) -> Snapshot {
    let entry = |number: usize| Entry { id: instance(number), zone: zone(ZONES[number % 3]) };
    Snapshot::new(instance(number), zone(ZONES[number % 3]))
        .entries((0..7).map(entry).collect())
        .entries_configured(7)
        .traffic_threads(2)
        .service(Service { id: service_id(), limits: Limits::default(), upstreams })
}

/// Returns the snapshot of the only entry, in zone "a", with one thread.
pub fn single_entry(limits: Limits, upstreams: Vec<Upstream>) -> Snapshot {
    Snapshot::new(instance(0), zone("a")).service(Service { id: service_id(), limits, upstreams })
}

pub fn router(policy: Policy, snapshot: Snapshot, now: Instant) -> Router {
    Router::new(policy, Thread::new(0), Arc::new(snapshot), fastrand::Rng::with_seed(7), now)
}

pub fn request(deadline: Instant) -> Request<Accepted> {
    Request::new(service_id(), Kind::Idempotent, deadline)
}

pub fn non_idempotent(deadline: Instant) -> Request<Accepted> {
    Request::new(service_id(), Kind::NonIdempotent, deadline)
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn dispatched(decision: Decision) -> Permit {
    match decision {
        Decision::Dispatch(permit) => permit,
        other => panic!("expected a dispatch, got {other:?}"),
    }
}

pub fn queued(decision: Decision) -> Ticket {
    match decision {
        Decision::Queue { ticket, .. } => ticket,
        other => panic!("expected a place in the queue, got {other:?}"),
    }
}

/// Returns the permit of the only action, which must start `ticket`.
pub fn started(actions: Vec<Action>, ticket: Ticket) -> Permit {
    let mut actions = actions.into_iter();
    match (actions.next(), actions.next()) {
        (Some(Action::Start(dispatch)), None) if dispatch.ticket == ticket => dispatch.permit,
        other => panic!("expected the start of {ticket}, got {other:?}"),
    }
}
