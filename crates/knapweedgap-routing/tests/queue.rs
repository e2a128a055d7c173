//! Guards against queued requests that wait without a chance to start, wait without bound, or never
//! get a result.

mod common;

use std::sync::Arc;
use std::time::Instant;

use common::*;
use knapweedgap_core::size;
use knapweedgap_routing::snapshot::{Limits, Snapshot};
use knapweedgap_routing::{Action, Decision, Outcome, Policy, Reason, Router, Settled};

const ANSWERED: Outcome = Outcome::Answered { slots_in_use: Some(size::Slot::new(0)) };

fn one_slot(limits: Limits) -> Snapshot {
    single_entry(limits, vec![upstream(0, 1, 60)])
}

fn refusal(decision: Decision) -> Reason {
    match decision {
        Decision::Refuse(reason) => reason,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

fn refused(actions: Vec<Action>) -> Vec<Reason> {
    let reason = |action| match action {
        Action::Refuse { reason, .. } => reason,
        other => panic!("expected a refusal, got {other:?}"),
    };
    actions.into_iter().map(reason).collect()
}

/// Completes 50 requests with this response time.
fn record_responses(router: &mut Router, time: &mut Instant, response_ms: u64) {
    for _ in 0..50 {
        let permit = dispatched(router.admit(&request(*time + ms(10_000)), *time));
        *time += ms(response_ms);
        let _ = router.complete(permit, ANSWERED, *time);
    }
}

#[test]
fn queued_requests_start_in_order_of_arrival() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, one_slot(Limits::default()), now);
    let mut permit = dispatched(router.admit(&request(now + ms(1000)), now));
    let tickets: Vec<_> =
        (0..5).map(|_| queued(router.admit(&request(now + ms(1000)), now))).collect();
    for ticket in tickets {
        permit = started(router.complete(permit, ANSWERED, now), ticket);
    }
    let _ = router.complete(permit, ANSWERED, now);
}

#[test]
fn the_queue_does_not_grow_beyond_its_bound() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, one_slot(Limits::default().queue(3)), now);
    let permit = dispatched(router.admit(&request(now + ms(1000)), now));
    for _ in 0..3 {
        queued(router.admit(&request(now + ms(1000)), now));
    }
    assert_eq!(refusal(router.admit(&request(now + ms(1000)), now)), Reason::QueueFull);
    let _ = router.complete(permit, ANSWERED, now);
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut time = Instant::now();
    let mut router = router(Policy::SlotShares, one_slot(Limits::default()), time);
    record_responses(&mut router, &mut time, 100);
    let permit = dispatched(router.admit(&request(time + ms(1000)), time));
    let mut accepted = 0;
    let reason = loop {
        match router.admit(&request(time + ms(1000)), time) {
            Decision::Queue { .. } => accepted += 1,
            other => break refusal(other),
        }
    };
    assert_eq!(reason, Reason::TooLate);
    // Ten requests of 100 ms fit into 1000 ms, so at most ten may wait for the slot.
    assert!((1..=10).contains(&accepted), "{accepted} queued");
    let _ = router.complete(permit, ANSWERED, time);
}

#[test]
fn a_request_whose_time_passed_in_the_queue_is_refused_when_the_router_wakes() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, one_slot(Limits::default()), now);
    let permit = dispatched(router.admit(&request(now + ms(1000)), now));
    queued(router.admit(&request(now + ms(200)), now));
    let wake = router.next_wake().expect("a request waits");
    assert!(wake <= now + ms(200));
    assert!(router.expire(wake - ms(1)).is_empty());
    assert_eq!(refused(router.expire(wake)), [Reason::TooLate]);
    assert_eq!(router.next_wake(), None);
    let _ = router.complete(permit, ANSWERED, wake);
}

#[test]
fn an_expired_request_is_refused_without_dispatch() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, one_slot(Limits::default()), now);
    assert_eq!(refusal(router.admit(&request(now), now)), Reason::TooLate);
}

#[test]
fn a_cancelled_request_is_not_started() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, one_slot(Limits::default()), now);
    let permit = dispatched(router.admit(&request(now + ms(1000)), now));
    let ticket = queued(router.admit(&request(now + ms(1000)), now));
    assert!(router.cancel(ticket));
    assert!(!router.cancel(ticket));
    assert!(router.complete(permit, ANSWERED, now).is_empty());
    assert_eq!(router.stats().in_flight, 0);
}

#[test]
fn queued_requests_of_a_removed_service_are_refused() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, one_slot(Limits::default()), now);
    let permit = dispatched(router.admit(&request(now + ms(1000)), now));
    queued(router.admit(&request(now + ms(1000)), now));
    let empty = Arc::new(Snapshot::new(instance(0), zone("a")));
    assert_eq!(refused(router.update(empty, now)), [Reason::UnknownService]);
    assert_eq!(refusal(router.admit(&request(now + ms(1000)), now)), Reason::UnknownService);
    assert!(router.complete(permit, ANSWERED, now).is_empty());
    assert_eq!(router.stats().in_flight, 0);
}

#[test]
fn queued_requests_start_when_an_upstream_joins() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, one_slot(Limits::default()), now);
    let permit = dispatched(router.admit(&request(now + ms(1000)), now));
    let ticket = queued(router.admit(&request(now + ms(1000)), now));
    let both = single_entry(Limits::default(), vec![upstream(0, 1, 60), upstream(1, 1, 60)]);
    let second = started(router.update(Arc::new(both), now), ticket);
    assert_eq!(second.upstream().id, upstream(1, 1, 60).id);
    let _ = router.complete(second, ANSWERED, now);
    let _ = router.complete(permit, ANSWERED, now);
}

#[test]
fn the_wake_time_advances_after_each_wake() {
    let now = Instant::now();
    for policy in Policy::ALL {
        let mut router = router(policy, single_entry(Limits::default(), upstreams(4)), now);
        let mut permits = Vec::new();
        while let Decision::Dispatch(permit) = router.admit(&request(now + ms(5000)), now) {
            permits.push(permit);
        }
        for _ in 0..20 {
            let _ = router.admit(&request(now + ms(5000)), now);
        }
        let mut time = now;
        let mut wakes = 0;
        while let Some(wake) = router.next_wake() {
            time = time.max(wake);
            let _ = router.expire(time);
            wakes += 1;
            assert!(wakes < 100, "{policy}: the router keeps waking its thread");
        }
        for permit in permits {
            let _ = router.complete(permit, ANSWERED, time);
        }
    }
}

#[test]
fn a_waiting_retry_does_not_delay_requests_that_another_upstream_could_serve() {
    let now = Instant::now();
    let fleet = vec![upstream(0, 1, 60), upstream(3, 1, 60)];
    let mut router = router(Policy::SlotShares, single_entry(Limits::default(), fleet), now);
    let first = request(now + ms(1000));
    let permit = dispatched(router.admit(&first, now));
    let other = dispatched(router.admit(&request(now + ms(1000)), now));
    let (settled, _) = router.settle(first.dispatch(permit), Outcome::Broken, now);
    let Settled::Retry(retry) = settled else { panic!("not retried") };
    queued(router.admit(&retry, now));
    let ticket = queued(router.admit(&request(now + ms(1000)), now));
    let wake = router.next_wake().expect("a slot is free");
    assert!(wake <= now);
    let permit = started(router.expire(now), ticket);
    drop((permit, other));
}
