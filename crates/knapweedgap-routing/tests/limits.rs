//! Guards against the use of an upstream beyond its limits, of a leaving one, and of an unreachable
//! one.

mod common;

use std::sync::Arc;
use std::time::Instant;

use common::*;
use knapweedgap_core::size;
use knapweedgap_routing::share::{self, Thread};
use knapweedgap_routing::snapshot::{Limits, State};
use knapweedgap_routing::{Action, Decision, Outcome, Permit, Policy, Router};

fn answered(slots_in_use: u32) -> Outcome {
    Outcome::Answered { slots_in_use: Some(size::Slot::new(slots_in_use)) }
}

fn fill(router: &mut Router, now: Instant) -> Vec<Permit> {
    let mut permits = Vec::new();
    while let Decision::Dispatch(permit) = router.admit(&request(now + ms(60_000)), now) {
        permits.push(permit);
    }
    permits
}

#[test]
fn a_replacement_of_all_entries_stays_within_the_connection_limit() {
    // 7 entries with 60 connections: floor(60 / 14) = 4 per entry, 2 per thread.
    assert_eq!(share::entry_connections(size::Connection::new(60), 7).get(), 4);
    let runner = upstream(0, 8, 60);
    for thread in 0..2 {
        assert_eq!(share::thread_connections(&runner, 7, 2, Thread::new(thread)).get(), 2);
    }
}

#[test]
fn own_slots_of_all_threads_never_exceed_the_slots_of_an_upstream() {
    let fleet = upstreams(65);
    let mut assigned = vec![0; fleet.len()];
    let mut totals = Vec::new();
    for entry in 0..7 {
        let snapshot = seven_entries(entry, fleet.clone());
        for thread in 0..2 {
            let own = share::assign_slots(&snapshot, &fleet, Thread::new(thread));
            totals.push(own.iter().map(|slots| slots.get()).sum::<u32>());
            for (sum, slots) in assigned.iter_mut().zip(own) {
                *sum += slots.get();
            }
        }
    }
    // Every slot has exactly one owner.
    assert!(assigned.iter().all(|&sum| sum == 8), "{assigned:?}");
    // 520 slots over 14 threads are 37.1 each. The connection share causes a difference of one.
    assert!(totals.iter().all(|&total| (36..=38).contains(&total)), "{totals:?}");
}

#[test]
fn the_loss_of_one_upstream_moves_few_slots() {
    let before = upstreams(65);
    let mut after = before.clone();
    after.remove(30);
    let mut moved = 0;
    for entry in 0..7 {
        for thread in [Thread::new(0), Thread::new(1)] {
            let old = share::assign_slots(&seven_entries(entry, before.clone()), &before, thread);
            let new = share::assign_slots(&seven_entries(entry, after.clone()), &after, thread);
            let kept = old.iter().enumerate().filter(|(position, _)| *position != 30);
            for ((_, old), new) in kept.zip(new) {
                moved += old.get().abs_diff(new.get());
            }
        }
    }
    // Each moved slot counts twice. Plain modulo assignment would move nearly all 512.
    assert!(moved / 2 <= 128, "{moved} changes");
}

#[test]
fn a_leaving_upstream_gets_no_new_request_and_its_requests_finish() {
    let now = Instant::now();
    for policy in Policy::ALL {
        let mut fleet = upstreams(6);
        let mut router = router(policy, single_entry(Limits::default(), fleet.clone()), now);
        let permits = fill(&mut router, now);
        let leaving = fleet[2].id.clone();
        fleet[2].state = State::Leaving;
        let _ = router.update(Arc::new(single_entry(Limits::default(), fleet)), now);
        let before = permits.len();
        let on_leaving = permits.iter().filter(|permit| permit.upstream().id == leaving).count();
        assert!(on_leaving > 0, "{policy}");
        for permit in permits {
            let _ = router.complete(permit, answered(0), now);
        }
        let permits = fill(&mut router, now);
        assert!(permits.iter().all(|permit| permit.upstream().id != leaving), "{policy}");
        assert_eq!(permits.len(), before - on_leaving, "{policy}");
        drop(permits);
    }
}

#[test]
fn a_process_under_another_address_starts_without_measurements() {
    let now = Instant::now();
    let mut fleet = vec![upstream(0, 1, 60)];
    let mut router =
        router(Policy::SlotShares, single_entry(Limits::default(), fleet.clone()), now);
    let old = dispatched(router.admit(&request(now + ms(1000)), now));
    fleet[0].address.set_port(9);
    let _ = router.update(Arc::new(single_entry(Limits::default(), fleet)), now);
    let new = dispatched(router.admit(&request(now + ms(1000)), now));
    assert_eq!(new.upstream().address.port(), 9);
    assert!(router.complete(old, answered(0), now).is_empty());
    assert!(matches!(router.admit(&request(now + ms(1000)), now), Decision::Queue { .. }));
    let _ = router.complete(new, answered(0), now);
}

#[test]
fn the_own_zone_is_used_first_and_others_if_it_is_full() {
    let now = Instant::now();
    for policy in Policy::ALL {
        let fleet = upstreams(6);
        let mut router = router(policy, single_entry(Limits::default(), fleet), now);
        let permits = fill(&mut router, now);
        let in_own_zone = |permit: &&Permit| permit.upstream().zone == zone("a");
        assert_eq!(permits[..16].iter().filter(in_own_zone).count(), 16, "{policy}");
        assert_eq!(permits.len(), 48, "{policy}");
        drop(permits);
    }
}

#[test]
fn an_unreachable_upstream_gets_no_request_until_its_backoff_ends() {
    let now = Instant::now();
    let limits = Limits::default().ejection(2, ms(500), ms(10_000));
    let mut router =
        router(Policy::SlotShares, single_entry(limits, vec![upstream(0, 8, 60)]), now);
    for _ in 0..2 {
        let permit = dispatched(router.admit(&request(now + ms(60_000)), now));
        let _ = router.complete(permit, Outcome::ConnectFailed, now);
    }
    let ticket = queued(router.admit(&request(now + ms(60_000)), now));
    assert!(router.expire(now + ms(499)).is_empty());
    // The jitter is at most a quarter of the ejection. After that, one request at a time is sent.
    let probe = started(router.expire(now + ms(625)), ticket);
    assert!(matches!(
        router.admit(&request(now + ms(60_000)), now + ms(625)),
        Decision::Queue { .. }
    ));
    let _ = router.complete(probe, Outcome::ConnectFailed, now + ms(625));
    // The second ejection takes twice as long. The queued request may wait for 1 s, so it is
    // refused when the ejection ends.
    assert!(router.expire(now + ms(625 + 999)).is_empty());
    let actions = router.expire(now + ms(625 + 1250));
    assert!(matches!(actions[..], [Action::Refuse { .. }]), "{actions:?}");
    let probe = dispatched(router.admit(&request(now + ms(60_000)), now + ms(625 + 1250)));
    let _ = router.complete(probe, answered(0), now + ms(625 + 1250));
    assert_eq!(fill(&mut router, now + ms(625 + 1250)).len(), 8);
}

#[test]
fn slots_of_a_full_upstream_are_not_borrowed() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, seven_entries(0, upstreams(65)), now);
    let permits = fill(&mut router, now);
    // The thread uses its own 36 to 38 slots, and one unreported slot for every eight of them.
    assert!((40..=42).contains(&permits.len()), "{} in flight", permits.len());
    for permit in permits {
        let _ = router.complete(permit, answered(8), now);
    }
    let permits = fill(&mut router, now);
    assert!((36..=42).contains(&permits.len()), "{} in flight", permits.len());
    drop(permits);
}

#[test]
fn idle_slots_of_other_threads_are_borrowed() {
    let now = Instant::now();
    let mut router = router(Policy::SlotShares, seven_entries(0, upstreams(65)), now);
    for permit in fill(&mut router, now) {
        let _ = router.complete(permit, answered(0), now);
    }
    let permits = fill(&mut router, now);
    assert!(permits.len() > 45, "{} in flight", permits.len());
    drop(permits);
}

#[test]
fn an_upstream_that_refuses_because_it_is_full_gets_no_request_until_its_report_expires() {
    let now = Instant::now();
    for policy in Policy::ALL {
        let snapshot = single_entry(Limits::default(), vec![upstream(0, 8, 60)]);
        let mut router = router(policy, snapshot, now);
        let permit = dispatched(router.admit(&request(now + ms(60_000)), now));
        let full = Outcome::Refused { slots_in_use: Some(size::Slot::new(8)) };
        let _ = router.complete(permit, full, now);
        let ticket = queued(router.admit(&request(now + ms(60_000)), now));
        let wake = router.next_wake().expect("the report expires");
        assert!(wake <= now + ms(1000), "{policy}");
        let permit = started(router.expire(wake), ticket);
        let _ = router.complete(permit, answered(0), wake);
    }
}

#[test]
fn an_upstream_that_refuses_with_free_slots_is_ejected() {
    let now = Instant::now();
    let limits = Limits::default().ejection(1, ms(500), ms(500));
    let mut router =
        router(Policy::SlotShares, single_entry(limits, vec![upstream(0, 8, 60)]), now);
    let permit = dispatched(router.admit(&request(now + ms(60_000)), now));
    let stopping = Outcome::Refused { slots_in_use: Some(size::Slot::new(1)) };
    let _ = router.complete(permit, stopping, now);
    let ticket = queued(router.admit(&request(now + ms(60_000)), now));
    assert!(router.expire(now + ms(499)).is_empty());
    drop(started(router.expire(now + ms(625)), ticket));
}

#[test]
fn a_slow_upstream_gets_requests_only_when_nothing_else_is_free() {
    let mut time = Instant::now();
    let snapshot = single_entry(Limits::default(), vec![upstream(0, 2, 60), upstream(3, 2, 60)]);
    let mut router = router(Policy::SlotShares, snapshot, time);
    let slow = upstream(0, 2, 60).id;
    for _ in 0..200 {
        let permit = dispatched(router.admit(&request(time + ms(60_000)), time));
        time += if permit.upstream().id == slow { ms(200) } else { ms(10) };
        let _ = router.complete(permit, answered(0), time);
    }
    let permits = fill(&mut router, time);
    let order: Vec<bool> = permits.iter().map(|permit| permit.upstream().id == slow).collect();
    assert_eq!(order, [false, false, true, true]);
    drop(permits);
}

#[test]
fn an_update_keeps_ejections() {
    let now = Instant::now();
    let limits = Limits::default().ejection(1, ms(500), ms(500));
    let mut fleet = vec![upstream(0, 8, 60), upstream(3, 8, 60)];
    let mut router = router(Policy::SlotShares, single_entry(limits, fleet.clone()), now);
    let permit = dispatched(router.admit(&request(now + ms(1000)), now));
    let failed = permit.upstream().id.clone();
    let _ = router.complete(permit, Outcome::ConnectFailed, now);
    fleet.push(upstream(6, 8, 60));
    for _ in 0..2 {
        let _ = router.update(Arc::new(single_entry(limits, fleet.clone())), now);
        let permits = fill(&mut router, now);
        assert_eq!(permits.len(), 16);
        assert!(permits.iter().all(|permit| permit.upstream().id != failed));
        for permit in permits {
            let _ = router.complete(permit, Outcome::Abandoned, now);
        }
    }
}

/// Guards against an upstream that stalled once and then gets no request, and thus no new response
/// time, as long as the others suffice.
#[test]
fn a_slow_upstream_is_tried_again_although_the_others_suffice() {
    let mut now = Instant::now();
    let mut router = router(Policy::SlotShares, single_entry(Limits::default(), upstreams(6)), now);
    let first = upstreams(6)[0].id.clone();
    let mut serve = |now: &mut Instant, slow_ms: u64| {
        let Decision::Dispatch(permit) = router.admit(&request(*now + ms(60_000)), *now) else {
            panic!("the upstreams are free");
        };
        let slow = permit.upstream().id == first;
        *now += ms(if slow { slow_ms } else { 10 });
        let _ = router.complete(permit, answered(0), *now);
        slow
    };
    let stalled = (0..200).filter(|_| serve(&mut now, 1000)).count();
    assert!(stalled >= 4, "too few slow responses: {stalled}");
    assert_eq!((0..20).filter(|_| serve(&mut now, 1000)).count(), 0, "a slow upstream was used");
    now += ms(5_000);
    assert!((0..200).any(|_| serve(&mut now, 10)), "the upstream was not tried again");
}
