//! Guards against a task that runs under the grants of two owners.

mod common;

use std::time::Duration;

use common::{PARTITIONS, instance, owner_of_all, ping, read_instances, read_owners, start};
use knapweedgap_core::id;
use knapweedgap_membership::engine::Outcome;
use knapweedgap_membership::{Action, Engine, Failure};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const LISTED: &[&str] = &["a", "b", "c", "d", "e"];

fn kept_partition() -> id::Partition {
    common::first_partition("a", LISTED)
}

#[test]
fn an_owner_that_alone_loses_the_store_stops_renewing_after_20_s() {
    let start = start();
    let mut engine = owner_of_all("a", LISTED, start);
    engine.set_store_reachable(false, start + 2 * SECOND);
    let mut renewed_until = start;
    for tenth in 20..400 {
        let now = start + tenth * SECOND / 10;
        for other in &LISTED[1..] {
            engine.receive_ping(&ping(other, true), now);
        }
        engine.tick(now);
        if engine.permits_grant(kept_partition(), now) {
            renewed_until = now;
        }
    }
    // The ownership was last validated by the take at 1 s.
    assert_eq!(renewed_until, start + 21 * SECOND);
}

#[test]
fn grants_are_renewed_while_a_majority_reports_an_outage() {
    let start = start();
    let mut engine = owner_of_all("a", LISTED, start);
    engine.set_store_reachable(false, start + 2 * SECOND);
    for tenth in 20..6_000 {
        let now = start + tenth * SECOND / 10;
        for (other, reachable) in [("b", false), ("c", false), ("d", true), ("e", true)] {
            engine.receive_ping(&ping(other, reachable), now);
        }
        engine.tick(now);
        assert!(engine.permits_grant(kept_partition(), now), "{:?}", now - start);
    }
}

#[test]
fn an_outage_after_the_permission_ended_does_not_restore_it() {
    let start = start();
    let mut engine = owner_of_all("a", LISTED, start);
    engine.set_store_reachable(false, start + 2 * SECOND);
    for tenth in 20..900 {
        let now = start + tenth * SECOND / 10;
        let reachable = tenth < 400;
        for other in &LISTED[1..] {
            engine.receive_ping(&ping(other, reachable), now);
        }
        engine.tick(now);
        assert!(tenth < 300 || !engine.permits_grant(kept_partition(), now), "{:?}", now - start);
    }
}

#[test]
fn reports_that_waited_during_a_pause_do_not_permit_grants() {
    let start = start();
    let mut engine = owner_of_all("a", LISTED, start);
    engine.set_store_reachable(false, start + 2 * SECOND);
    let now = start + 60 * SECOND;
    for other in &LISTED[1..] {
        engine.receive_ping(&ping(other, false), now);
    }
    assert!(!engine.permits_grant(kept_partition(), now));
}

#[test]
fn a_single_listed_instance_is_no_majority() {
    let start = start();
    let mut engine = owner_of_all("a", &["a"], start);
    engine.set_store_reachable(false, start + 2 * SECOND);
    let now = start + 22 * SECOND;
    engine.tick(now);
    assert!(!engine.permits_grant(id::Partition::new(0), now));
}

/// Returns the engine of `a` and the time at which it took a partition over from `b`, which owned
/// all partitions and failed.
fn successor(start: std::time::Instant) -> (Engine, std::time::Instant) {
    let mut engine = common::engine("a", start);
    engine.set_store_reachable(true, start);
    read_instances(&mut engine, LISTED, 1, start);
    let owned: Vec<_> = (0..PARTITIONS).map(|p| common::owned(p, "b", 1, 1)).collect();
    read_owners(&mut engine, &owned, 1, start);
    let mut now = start;
    loop {
        now += SECOND / 10;
        for other in ["c", "d", "e"] {
            engine.receive_ping(&ping(other, true), now);
        }
        for action in engine.tick(now) {
            match action {
                Action::Probe { peer, incarnation, .. } => {
                    engine.probe_failed(&peer, incarnation, Failure::Timeout, now);
                }
                Action::Take { partition, epoch, .. } if partition == kept_partition() => {
                    let revision = knapweedgap_core::revision::Revision::new(9);
                    engine.take_completed(kept_partition(), epoch, Outcome::Won(revision), now);
                    return (engine, now);
                }
                _ => {}
            }
        }
        assert!(now < start + 20 * SECOND, "no takeover from {:?}", instance("b"));
    }
}

#[test]
fn a_new_owner_delays_replacements_by_20_s_plus_lease_and_drift() {
    let (mut engine, taken_at) = successor(start());
    let mut now = taken_at;
    while now < taken_at + 60 * SECOND {
        for other in ["c", "d", "e"] {
            engine.receive_ping(&ping(other, true), now);
        }
        engine.tick(now);
        let delay = Duration::from_millis(31_500);
        assert_eq!(engine.replacement_at(kept_partition(), now), Some(taken_at + delay));
        now += SECOND / 10;
    }
}

#[test]
fn a_new_owner_delays_replacements_longer_while_the_old_one_may_renew_grants() {
    let (mut engine, taken_at) = successor(start());
    let mut now = taken_at;
    // Until 40 s after the takeover, a majority reports an outage to the old owner.
    while now < taken_at + 60 * SECOND {
        let reachable = now >= taken_at + 40 * SECOND;
        for other in ["c", "d", "e"] {
            engine.receive_ping(&ping(other, reachable), now);
        }
        engine.tick(now);
        now += SECOND / 10;
    }
    let earliest = taken_at + 40 * SECOND + Duration::from_millis(31_500);
    assert!(engine.replacement_at(kept_partition(), now).expect("owner") >= earliest);
}

#[test]
fn peers_whose_records_expired_in_an_outage_still_extend_the_replacement_delay() {
    let (mut engine, taken_at) = successor(start());
    let mut now = taken_at;
    while now < taken_at + 60 * SECOND {
        for other in ["c", "d", "e"] {
            engine.receive_ping(&ping(other, false), now);
        }
        read_instances(&mut engine, &["a"], 50, now);
        engine.tick(now);
        now += SECOND / 10;
    }
    assert!(engine.replacement_at(kept_partition(), now).expect("owner") > now);
}

#[test]
fn a_pause_of_the_new_owner_does_not_shorten_the_replacement_delay() {
    let (mut engine, taken_at) = successor(start());
    let now = taken_at + 120 * SECOND;
    assert!(engine.replacement_at(kept_partition(), now).expect("owner") > now);
}

proptest! {
    /// The old owner loses the key-value service at 8 s and may be replaced at any later time. Each
    /// peer reports at random whether it reaches the service, and pings are lost at random.
    #[test]
    fn no_grant_is_permitted_20_s_after_a_takeover_when_a_majority_reaches_the_store(
        reports in prop::collection::vec((any::<[bool; 4]>(), any::<[bool; 4]>()), 100),
        outage_steps in 0usize..60,
        pause in prop::option::of((20usize..90, 1u32..60)),
    ) {
        let start = start();
        let mut engine = owner_of_all("a", LISTED, start);
        let mut now = start + 8 * SECOND;
        read_owners(&mut engine, &(0..PARTITIONS).map(|p| common::owned(p, "a", 1, 10)).collect::<Vec<_>>(), 20, now);
        engine.set_store_reachable(false, now);
        let taken_at = now;
        let mut majority_since = None;
        for (number, (states, sent)) in reports.into_iter().enumerate() {
            now += SECOND / 2;
            if let Some((at, pause)) = pause && at == number {
                now += pause * SECOND;
            }
            let outage = number < outage_steps;
            let mut reaching = 0;
            for (index, other) in LISTED[1..].iter().enumerate() {
                // Outside the outage, at least three of the five instances reach the service.
                let reachable = !outage && (index < 3 || states[index]);
                reaching += usize::from(reachable);
                if sent[index] {
                    engine.receive_ping(&ping(other, reachable), now);
                }
            }
            engine.tick(now);
            match reaching >= 3 {
                true => majority_since = majority_since.or(Some(now)),
                false => majority_since = None,
            }
            let majority = majority_since.is_some_and(|since| now - since > 5 * SECOND);
            if majority && now > taken_at + 20 * SECOND {
                prop_assert!(!engine.permits_grant(kept_partition(), now));
            }
        }
    }
}
