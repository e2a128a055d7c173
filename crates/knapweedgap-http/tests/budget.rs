//! Guards against clients that hold memory or connections of a process without a bound.

use std::time::{Duration, Instant};

use knapweedgap_core::size;
use knapweedgap_http::budget::{Bound, Budget, CONNECTION_COST, Decision, Eviction, Id};

const SECOND: Duration = Duration::from_secs(1);
/// Longest request that may use the part of the budget for small requests, in bytes.
const SMALL_LEN: usize = 16 * 1024;

/// Creates a budget for this many connections, and for bodies of `bytes` in total.
fn budget(connections: usize, bytes: u64) -> Budget {
    let fixed = CONNECTION_COST.get() * connections as u64;
    // A byte of a request is charged twice, and an eighth is left to small requests.
    Budget::new(size::Bytes::new((fixed + 2 * bytes) * 8 / 7), connections)
}

fn reading(budget: &mut Budget, bytes: usize, now: Instant) -> Id {
    let id = budget.accept(now).expect("a place");
    budget.begin(id, now);
    budget.receive(id, bytes, now).expect("memory");
    id
}

fn evicted(id: Id, decision: Decision, bound: Bound) -> Vec<Eviction> {
    vec![Eviction { id, decision, bound }]
}

/// Guards against stalled connections that keep newcomers out.
#[test]
fn the_connection_that_was_idle_longest_gives_way_before_a_stalled_request() {
    let (mut budget, start) = (budget(3, 1_000_000), Instant::now());
    let stalled = reading(&mut budget, 100, start);
    let first = budget.accept(start + SECOND).expect("a place");
    let second = budget.accept(start + 2 * SECOND).expect("a place");
    for (after, id, decision) in
        [(3, first, Decision::Close), (4, second, Decision::Close), (4, stalled, Decision::Refuse)]
    {
        let next = reading(&mut budget, 100, start + after * SECOND);
        assert_eq!(budget.take_evictions(), evicted(id, decision, Bound::Connections));
        budget.close(id);
        budget.complete(next, start + after * SECOND);
    }
    assert_eq!(budget.accept(start + 9 * SECOND), Err(Bound::Connections));
}

/// Guards against the eviction of a client that has just begun.
#[test]
fn a_request_that_has_just_begun_does_not_give_way() {
    let (mut budget, start) = (budget(1, 1_000_000), Instant::now());
    let id = reading(&mut budget, 100, start);
    assert_eq!(budget.accept(start + SECOND / 2), Err(Bound::Connections));
    budget.receive(id, 2_000, start + SECOND / 2).expect("memory");
    assert_eq!(budget.accept(start + SECOND), Err(Bound::Connections));
    assert!(budget.take_evictions().is_empty());
}

/// Guards against a false 503: a complete request may have been passed on.
#[test]
fn a_complete_request_never_gives_way() {
    let (mut budget, start) = (budget(1, 1_000_000), Instant::now());
    let id = reading(&mut budget, 100, start);
    budget.complete(id, start);
    assert_eq!(budget.accept(start + 60 * SECOND), Err(Bound::Connections));
    budget.answer(id, start + 60 * SECOND);
    assert!(budget.accept(start + 61 * SECOND).is_ok());
    assert_eq!(budget.take_evictions(), evicted(id, Decision::Close, Bound::Connections));
}

/// Guards against bytes that arrive now and then and hold a large body for ever.
#[test]
fn a_trickle_is_no_progress() {
    let (mut budget, start) = (budget(2, 200_000), Instant::now());
    let trickle = reading(&mut budget, 150_000, start);
    for tenths in 1..20 {
        budget.receive(trickle, 1, start + SECOND / 10 * tenths).expect("memory");
    }
    reading(&mut budget, 100_000, start + 2 * SECOND);
    assert_eq!(budget.take_evictions(), evicted(trickle, Decision::Refuse, Bound::Memory));
}

/// Guards against large bodies that leave no memory to ordinary requests.
#[test]
fn large_bodies_leave_memory_to_small_requests() {
    let (mut budget, start) = (budget(10, 1_000_000), Instant::now());
    reading(&mut budget, 900_000, start);
    let large = budget.accept(start).expect("a place");
    budget.begin(large, start);
    assert_eq!(budget.receive(large, 500_000, start), Err(Bound::Memory));
    reading(&mut budget, SMALL_LEN, start);
    assert!(budget.take_evictions().is_empty());
}

/// Guards against a connection that is closed although its request has begun to arrive.
#[test]
fn a_request_that_begins_withdraws_the_close() {
    let (mut budget, start) = (budget(1, 1_000_000), Instant::now());
    let id = budget.accept(start).expect("a place");
    let other = budget.accept(start + SECOND).expect("a place");
    assert_eq!(budget.decision(id), Some(Decision::Close));
    budget.begin(id, start + SECOND);
    assert_eq!(budget.decision(id), None);
    assert_eq!(budget.connections(), 2);
    budget.close(id);
    budget.close(other);
    assert_eq!((budget.connections(), budget.charged().get()), (0, 0));
}

proptest::proptest! {
    /// Guards against an account that drifts: it is empty once all connections are closed.
    #[test]
    fn closed_connections_hold_nothing(
        events in proptest::collection::vec((0..7_u8, 0..8_usize, 0..40_000_usize), 0..200)
    ) {
        let (mut budget, mut now) = (budget(6, 100_000), Instant::now());
        let mut open = Vec::new();
        for (event, which, bytes) in events {
            now += Duration::from_millis(bytes as u64 / 50);
            if event == 0 {
                open.extend(budget.accept(now).ok());
                continue;
            }
            if open.is_empty() {
                continue;
            }
            let id = open[which % open.len()];
            match event {
                1 => budget.begin(id, now),
                2 => drop(budget.receive(id, bytes, now)),
                3 => budget.complete(id, now),
                4 => budget.answer(id, now),
                5 => budget.put_back(id, bytes),
                _ => {
                    budget.close(id);
                    open.retain(|other| *other != id);
                }
            }
        }
        for id in open {
            budget.close(id);
        }
        proptest::prop_assert_eq!((budget.connections(), budget.charged().get()), (0, 0));
    }
}
