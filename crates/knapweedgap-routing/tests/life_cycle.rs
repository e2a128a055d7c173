//! Guards against a false "not run", against a second run of a non-idempotent request, and against
//! retries beyond the budget.

mod common;

use std::time::Instant;

use common::*;
use knapweedgap_core::rate;
use knapweedgap_routing::request::Answer;
use knapweedgap_routing::snapshot::Limits;
use knapweedgap_routing::{Decision, Outcome, Policy, Reason, Settled};

const FAILURES: [Outcome; 5] = [
    Outcome::ConnectFailed,
    Outcome::Broken,
    Outcome::TimedOut,
    Outcome::Abandoned,
    Outcome::Refused { slots_in_use: None },
];

#[test]
fn a_non_idempotent_request_is_not_retried_after_a_byte_was_written() {
    for outcome in FAILURES {
        let now = Instant::now();
        let mut router =
            router(Policy::SlotShares, single_entry(Limits::default(), upstreams(6)), now);
        let accepted = non_idempotent(now + ms(1000));
        let permit = dispatched(router.admit(&accepted, now));
        let mut attempt = accepted.dispatch(permit);
        attempt.mark_written();
        let (settled, _) = router.settle(attempt, outcome, now);
        let Settled::Answered(answered) = settled else { panic!("retried after {outcome:?}") };
        let refused = matches!(outcome, Outcome::Refused { .. });
        assert_eq!(answered.answer() == Answer::Unknown, !refused, "{outcome:?}");
    }
}

#[test]
fn a_written_request_is_reported_as_not_run_only_if_the_upstream_refused_it() {
    for outcome in FAILURES {
        let now = Instant::now();
        let limits = Limits::default().attempts(1);
        let mut router = router(Policy::SlotShares, single_entry(limits, upstreams(6)), now);
        let accepted = request(now + ms(1000));
        let permit = dispatched(router.admit(&accepted, now));
        let mut attempt = accepted.dispatch(permit);
        attempt.mark_written();
        let (settled, _) = router.settle(attempt, outcome, now);
        let Settled::Answered(answered) = settled else { panic!("retried after {outcome:?}") };
        let not_run = matches!(answered.answer(), Answer::NotRun(_));
        assert_eq!(not_run, matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    }
}

#[test]
fn an_unwritten_non_idempotent_request_is_retried_elsewhere() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, single_entry(Limits::default(), upstreams(2)), now);
    let accepted = non_idempotent(now + ms(1000));
    let permit = dispatched(router.admit(&accepted, now));
    let first = permit.upstream().id.clone();
    let (settled, _) = router.settle(accepted.dispatch(permit), Outcome::ConnectFailed, now);
    let Settled::Retry(accepted) = settled else { panic!("not retried") };
    let permit = dispatched(router.admit(&accepted, now));
    assert_ne!(permit.upstream().id, first);
    let _ = router.complete(permit, Outcome::Abandoned, now);
}

#[test]
fn a_retry_never_returns_to_an_upstream_that_was_tried() {
    let now = Instant::now();
    let limits = Limits::default().attempts(10).ejection(100, ms(1), ms(1));
    for policy in Policy::ALL {
        let mut router = router(policy, single_entry(limits, upstreams(3)), now);
        let mut accepted = request(now + ms(1000));
        let mut seen = Vec::new();
        loop {
            let permit = dispatched(router.admit(&accepted, now));
            assert!(!seen.contains(&permit.upstream().id), "{policy}");
            seen.push(permit.upstream().id.clone());
            match router.settle(accepted.dispatch(permit), Outcome::ConnectFailed, now).0 {
                Settled::Retry(next) => accepted = next,
                Settled::Answered(answered) => {
                    assert_eq!(answered.answer(), Answer::NotRun(Reason::NoRetry));
                    break;
                }
            }
        }
        assert_eq!(seen.len(), 3, "{policy}");
    }
}

#[test]
fn retries_of_failing_requests_stay_within_the_budget() {
    let now = Instant::now();
    let limits = Limits::default()
        .retries(rate::Share::from_milli(100), rate::PerSecond::new(3))
        .ejection(u32::MAX, ms(1), ms(1));
    let mut router = router(Policy::SlotShares, single_entry(limits, upstreams(10)), now);
    let mut time = now;
    for _ in 0..2000 {
        time += ms(5);
        let mut accepted = request(time + ms(1000));
        loop {
            let Decision::Dispatch(permit) = router.admit(&accepted, time) else { break };
            match router.settle(accepted.dispatch(permit), Outcome::Broken, time).0 {
                Settled::Retry(next) => accepted = next,
                Settled::Answered(_) => break,
            }
        }
    }
    // 10 % of 2000 requests, plus 3/s for 10 s, plus the first second's floor.
    let retries = router.stats().retries;
    assert!(retries <= 200 + 30 + 3, "{retries} retries");
    assert!(retries >= 200, "{retries} retries");
}

#[test]
fn the_retry_budget_is_divided_among_the_threads_of_an_entry() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, seven_entries(0, upstreams(10)), now);
    let mut time = now;
    for _ in 0..1000 {
        time += ms(10);
        let accepted = request(time + ms(1000));
        let Decision::Dispatch(permit) = router.admit(&accepted, time) else { continue };
        let _ = router.settle(accepted.dispatch(permit), Outcome::Broken, time);
    }
    // 10 % of at most 1000 requests, and half of 3/s for 10 s and of the first second's floor.
    let retries = router.stats().retries;
    assert!(retries <= 100 + 15 + 2, "{retries} retries");
}

#[test]
fn a_dropped_permit_frees_its_slot_and_is_counted() {
    let now = Instant::now();
    let mut router =
        router(Policy::SlotShares, single_entry(Limits::default(), vec![upstream(0, 1, 60)]), now);
    let permit = dispatched(router.admit(&request(now + ms(1000)), now));
    let ticket = queued(router.admit(&request(now + ms(1000)), now));
    drop(permit);
    let permit = started(router.expire(now), ticket);
    assert_eq!(router.stats().permits_dropped, 1);
    assert_eq!(router.stats().in_flight, 1);
    let _ = router.complete(permit, Outcome::Abandoned, now);
    assert_eq!(router.stats().permits_dropped, 1);
    assert_eq!(router.stats().in_flight, 0);
}

#[test]
fn a_permit_of_another_router_frees_no_slot_here() {
    let now = Instant::now();
    let mut first = router(Policy::SlotShares, single_entry(Limits::default(), upstreams(1)), now);
    let mut second = router(Policy::SlotShares, single_entry(Limits::default(), upstreams(1)), now);
    let foreign = dispatched(first.admit(&request(now + ms(1000)), now));
    let own = dispatched(second.admit(&request(now + ms(1000)), now));
    assert!(second.complete(foreign, Outcome::Abandoned, now).is_empty());
    assert_eq!(second.stats().in_flight, 1);
    let _ = first.expire(now);
    assert_eq!(first.stats().in_flight, 0);
    assert_eq!(first.stats().permits_dropped, 1);
    let _ = second.complete(own, Outcome::Abandoned, now);
}
