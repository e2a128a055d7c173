//! Guards against two instances that take the same partition, against needless moves, and against
//! partitions that stay without owner.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{Cluster, PARTITIONS, engine, instance, read_instances, read_owners, store_up};
use knapweedgap_core::{id, revision};
use knapweedgap_membership::engine::Outcome;
use knapweedgap_membership::{Action, Engine, Failure, Liveness, record, rendezvous};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn first(partition: u32, instances: &BTreeSet<id::Instance>) -> id::Instance {
    rendezvous::order(id::Partition::new(partition), instances)[0].clone()
}

fn instances() -> impl Strategy<Value = BTreeSet<id::Instance>> {
    prop::collection::btree_set("[a-z]{1,12}", 2..12)
        .prop_map(|names| names.iter().map(|name| instance(name)).collect())
}

proptest! {
    #[test]
    fn the_order_does_not_depend_on_the_sequence_of_discovery(
        set in instances(),
        partition in any::<u32>(),
        seed in any::<u64>(),
    ) {
        let mut list: Vec<&id::Instance> = set.iter().collect();
        let middle = seed as usize % list.len();
        list.rotate_left(middle);
        let partition = id::Partition::new(partition);
        prop_assert_eq!(rendezvous::order(partition, list), rendezvous::order(partition, &set));
    }

    #[test]
    fn a_death_moves_only_the_partitions_of_the_dead_instance(set in instances(), dead in any::<prop::sample::Index>()) {
        let dead = set.iter().nth(dead.index(set.len())).expect("not empty").clone();
        let mut rest = set.clone();
        rest.remove(&dead);
        for partition in 0..64 {
            let before = first(partition, &set);
            if before != dead {
                prop_assert_eq!(first(partition, &rest), before);
            }
        }
    }

    #[test]
    fn a_join_moves_partitions_only_to_the_new_instance(set in instances()) {
        let mut more = set.clone();
        let new = instance("UPPER");
        more.insert(new.clone());
        for partition in 0..64 {
            let after = first(partition, &more);
            prop_assert!(after == new || after == first(partition, &set));
        }
    }
}

#[test]
fn partitions_spread_over_the_instances() {
    let set: BTreeSet<id::Instance> = (0..7).map(|n| instance(&format!("i{n}"))).collect();
    for wanted in &set {
        let share = (0..7_000).filter(|partition| first(*partition, &set) == *wanted).count();
        // The expected share is 1,000; 10 standard deviations are about 300.
        assert!((700..1_300).contains(&share), "{wanted}: {share}");
    }
}

#[test]
fn instances_with_the_same_view_never_take_the_same_free_partition() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.run(Duration::from_millis(1_200), &[]);
    assert_eq!(cluster.lost_takes, 0);
    assert_eq!(cluster.takes.len(), PARTITIONS as usize);
    let set = cluster.ids();
    for (partition, taker) in cluster.takes.clone() {
        assert_eq!(first(partition.get(), &set), taker);
    }
}

#[test]
fn only_the_partitions_of_a_dead_instance_change_owner_and_within_5_s() {
    let mut cluster = Cluster::new(&["a", "b", "c", "d"]);
    cluster.run(10 * SECOND, &[]);
    let before = cluster.owners();
    let dead = instance("b");
    cluster.run(5 * SECOND, &["b"]);
    for (partition, owner) in cluster.owners() {
        if before[&partition] == dead {
            assert_ne!(owner, dead, "partition {partition} still has a dead owner");
        } else {
            assert_eq!(owner, before[&partition], "partition {partition} moved");
        }
    }
}

#[test]
fn a_second_instance_takes_over_when_the_first_in_order_does_not() {
    let start = common::start();
    let mut engine = engine("a", start);
    let ids: Vec<id::Instance> = (0..20).map(|n| instance(&format!("p{n}"))).collect();
    let first = ids
        .iter()
        .find(|id| {
            (0..PARTITIONS)
                .any(|p| rendezvous::order(id::Partition::new(p), [*id, &instance("a")])[0] == *id)
        })
        .expect("one of 20 instances is first for a partition");
    store_up(&mut engine, start);
    read_instances(&mut engine, &["a", first.as_str()], 1, start);
    read_owners(&mut engine, &[], 1, start);
    let mut now = start;
    let mut taken = BTreeSet::new();
    while now < start + 2 * SECOND + Duration::from_millis(50) {
        engine.receive_ping(&common::ping(first.as_str(), true), now);
        for action in engine.tick(now) {
            let Action::Take { partition, .. } = action else { continue };
            let set = BTreeSet::from([instance("a"), first.clone()]);
            if self::first(partition.get(), &set) == *first {
                // The take delay of 1 s starts at the end of the start delay.
                assert!(now >= start + 2 * SECOND, "{:?}", now - start);
            }
            taken.insert(partition);
        }
        now += Duration::from_millis(50);
    }
    assert_eq!(taken.len(), PARTITIONS as usize);
}

#[test]
fn a_joining_instance_gets_its_partitions_by_release_and_never_by_force() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.run(10 * SECOND, &["c"]);
    let before = cluster.owners();
    assert!(before.values().all(|owner| *owner != instance("c")));
    cluster.forced_takes.clear();
    cluster.run(60 * SECOND, &[]);
    let set = cluster.ids();
    for (partition, owner) in cluster.owners() {
        assert_eq!(owner, first(partition.get(), &set), "partition {partition}");
        if owner != instance("c") {
            assert_eq!(owner, before[&partition], "partition {partition} moved");
        }
    }
    assert!(cluster.forced_takes.is_empty(), "{:?}", cluster.forced_takes);
}

#[test]
fn a_draining_instance_hands_over_every_partition() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.run(10 * SECOND, &[]);
    cluster.forced_takes.clear();
    cluster.drain("a");
    cluster.run(4 * SECOND, &[]);
    assert!(cluster.owners().values().all(|owner| *owner != instance("a")));
    assert!(cluster.forced_takes.is_empty(), "{:?}", cluster.forced_takes);
}

#[test]
fn a_slow_instance_keeps_its_partitions_while_probes_reach_it() {
    let start = common::start();
    let mut engine = engine("a", start);
    store_up(&mut engine, start);
    read_instances(&mut engine, &["a", "b"], 1, start);
    let owned: Vec<_> = (0..PARTITIONS).map(|p| common::owned(p, "b", 1, 1)).collect();
    read_owners(&mut engine, &owned, 1, start);
    let mut now = start;
    let mut probes = 0;
    for _ in 0..200 {
        now += Duration::from_millis(100);
        store_up(&mut engine, now);
        for action in engine.tick(now) {
            match action {
                Action::Probe { peer, incarnation, .. } => {
                    probes += 1;
                    engine.probe_succeeded(&peer, incarnation, now);
                }
                Action::Take { .. } => panic!("took a partition of a slow instance"),
                _ => {}
            }
        }
    }
    // 20 s contain 13 contact timeouts of 1.5 s.
    assert!((10..=13).contains(&probes), "{probes}");
}

#[test]
fn a_peer_is_dead_only_after_a_failed_probe() {
    let start = common::start();
    let mut engine = engine("a", start);
    read_instances(&mut engine, &["a", "b"], 1, start);
    engine.tick(start + Duration::from_millis(1_499));
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Alive));
    let now = start + Duration::from_millis(1_500);
    let actions = engine.tick(now);
    assert!(actions.iter().any(|action| matches!(action, Action::Probe { .. })), "{actions:?}");
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Suspect));
    engine.probe_failed(&instance("b"), common::incarnation("b"), Failure::Refused, now);
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Dead));
}

/// Marks peer `b`, which sends no pings, as dead by a failed probe.
fn fail_probe_of_b(engine: &mut Engine, now: std::time::Instant) {
    engine.tick(now);
    engine.probe_failed(&instance("b"), common::incarnation("b"), Failure::Timeout, now);
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Dead));
}

#[test]
fn a_record_with_an_unexpired_lease_does_not_hide_a_death() {
    let start = common::start();
    let mut engine = engine("a", start);
    read_instances(&mut engine, &["a", "b"], 1, start);
    let dead_at = start + 2 * SECOND;
    fail_probe_of_b(&mut engine, dead_at);
    // The lease of a record expires 10 s after its last renewal.
    read_instances(&mut engine, &["a", "b"], 2, dead_at + 10 * SECOND);
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Dead));
    read_instances(&mut engine, &["a", "b"], 3, dead_at + 12 * SECOND);
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Unreachable));
    read_instances(&mut engine, &["a"], 4, dead_at + 13 * SECOND);
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Dead));
}

#[test]
fn a_takeover_shortly_before_a_death_does_not_hide_the_death() {
    let start = common::start();
    let mut engine = common::owner_of_all("a", &["a", "b"], start);
    let now = start + 3 * SECOND;
    fail_probe_of_b(&mut engine, now);
    let owned: Vec<_> = (0..PARTITIONS).map(|p| common::owned(p, "b", 2, 11)).collect();
    read_owners(&mut engine, &owned, 11, now);
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Dead));
    assert!(engine.owned().is_empty());
}

#[test]
fn a_failed_probe_of_an_earlier_incarnation_does_not_mark_the_next_dead() {
    let start = common::start();
    let mut engine = engine("a", start);
    read_instances(&mut engine, &["a", "b"], 1, start);
    let now = start + 2 * SECOND;
    engine.tick(now);
    let mut ping = common::ping("b", true);
    ping.incarnation = id::Incarnation::new(999);
    engine.receive_ping(&ping, now);
    engine.probe_failed(&instance("b"), common::incarnation("b"), Failure::Refused, now);
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Alive));
}

#[test]
fn two_instances_that_cannot_reach_each_other_stop_taking_from_each_other() {
    let mut cluster = Cluster::new(&["a", "b", "c"]);
    cluster.run(10 * SECOND, &[]);
    cluster.blocked.insert((instance("a"), instance("b")));
    cluster.blocked.insert((instance("b"), instance("a")));
    cluster.run(30 * SECOND, &[]);
    let takes_before = cluster.takes.len();
    for number in 0..PARTITIONS {
        let partition = id::Partition::new(number);
        let forced = cluster.forced_takes.iter().filter(|forced| **forced == partition);
        // One instance takes the partition, and the other takes it back.
        assert!(forced.count() <= 2, "partition {partition} went back and forth");
    }
    cluster.run(60 * SECOND, &[]);
    assert_eq!(cluster.takes.len(), takes_before);
}

#[test]
fn an_instance_that_lost_all_peers_does_not_take_their_partitions() {
    let mut cluster = Cluster::new(&["a", "b", "c", "d"]);
    cluster.run(10 * SECOND, &[]);
    for other in ["b", "c", "d"] {
        cluster.blocked.insert((instance("a"), instance(other)));
        cluster.blocked.insert((instance(other), instance("a")));
    }
    let before = cluster.takes.len();
    cluster.run(20 * SECOND, &[]);
    let taken_by_a = cluster.takes[before..].iter().filter(|take| take.1 == instance("a"));
    assert_eq!(taken_by_a.count(), 0);
}

#[test]
fn a_late_ping_of_an_earlier_incarnation_is_no_contact_of_the_next() {
    let start = common::start();
    let mut engine = engine("a", start);
    read_instances(&mut engine, &["a", "b"], 1, start);
    let mut next = common::ping("b", true);
    next.incarnation = id::Incarnation::new(999);
    engine.receive_ping(&next, start);
    let now = start + 2 * SECOND;
    engine.receive_ping(&common::ping("b", true), now);
    engine.tick(now);
    assert_eq!(engine.liveness(&instance("b")), Some(Liveness::Suspect));
}

/// Returns the engine of `a`, which owns all partitions, when `b` has been alive for long enough to
/// get partitions.
fn owner_with_eligible_peer(start: std::time::Instant) -> (Engine, std::time::Instant) {
    let mut engine = common::owner_of_all("a", &["a", "b"], start);
    let mut now = start + SECOND;
    while now < start + 8 * SECOND {
        engine.receive_ping(&common::ping("b", true), now);
        now += SECOND / 10;
    }
    (engine, now)
}

fn releases(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Release { .. })).count()
}

#[test]
fn rebalancing_moves_one_partition_at_a_time() {
    let (mut engine, now) = owner_with_eligible_peer(common::start());
    assert_eq!(releases(&engine.tick(now)), 1);
    engine.receive_ping(&common::ping("b", true), now + SECOND / 2);
    assert_eq!(releases(&engine.tick(now + SECOND / 2)), 0);
}

#[test]
fn an_owner_that_cannot_reach_the_store_releases_nothing() {
    let (mut engine, now) = owner_with_eligible_peer(common::start());
    engine.drain(now);
    let now = now + 20 * SECOND;
    engine.receive_ping(&common::ping("b", true), now);
    assert_eq!(releases(&engine.tick(now)), 0);
    assert_eq!(engine.owned().len(), PARTITIONS as usize);
}

#[test]
fn a_release_that_is_not_accepted_is_withdrawn() {
    let (mut engine, mut now) = owner_with_eligible_peer(common::start());
    assert_eq!(releases(&engine.tick(now)), 1);
    let end = now + 6 * SECOND;
    let mut reclaimed = 0;
    while now < end {
        now += SECOND / 10;
        engine.receive_ping(&common::ping("b", true), now);
        for action in engine.tick(now) {
            let Action::Take { partition, expect, epoch } = action else { continue };
            assert_eq!(
                (expect, epoch),
                (Some(revision::Revision::new(10)), revision::Epoch::new(2))
            );
            engine.take_completed(partition, epoch, Outcome::Won(revision::Revision::new(11)), now);
            reclaimed += 1;
        }
    }
    assert_eq!(reclaimed, 1);
    assert_eq!(engine.owned().len(), PARTITIONS as usize);
}

#[test]
fn a_draining_instance_keeps_releasing_to_its_only_peer() {
    let (mut engine, mut now) = owner_with_eligible_peer(common::start());
    engine.drain(now);
    let mut sent = 0;
    for _ in 0..120 {
        engine.receive_ping(&common::ping("b", true), now);
        let actions = engine.tick(now);
        sent += releases(&actions);
        assert!(!actions.iter().any(|action| matches!(action, Action::Take { .. })));
        now += SECOND / 10;
    }
    // One release per second and partition.
    assert_eq!(sent, 12 * PARTITIONS as usize);
}

#[test]
fn a_leaving_vm_gets_no_partition() {
    let start = common::start();
    let (mut engine, now) = owner_with_eligible_peer(start);
    engine.update_vms(&[(instance("b"), record::Vm::Leaving)].into(), now);
    assert_eq!(releases(&engine.tick(now)), 0);
}

#[test]
fn a_take_with_an_unknown_result_is_repeated_after_the_next_read() {
    let start = common::start();
    let mut engine = engine("a", start);
    store_up(&mut engine, start);
    read_instances(&mut engine, &["a"], 1, start);
    read_owners(&mut engine, &[], 1, start);
    let mut now = start + SECOND;
    let epoch = revision::Epoch::new(1);
    for action in engine.tick(now) {
        let Action::Take { partition, expect, epoch } = action else { continue };
        assert_eq!((expect, epoch), (None, revision::Epoch::new(1)));
        engine.take_completed(partition, epoch, Outcome::Unknown, now);
    }
    assert!(engine.owned().is_empty());
    now += SECOND;
    let owned: Vec<_> = (0..PARTITIONS).map(|p| common::owned(p, "a", epoch.get(), 2)).collect();
    read_owners(&mut engine, &owned, 2, now);
    let mut retaken = 0;
    for action in engine.tick(now) {
        let Action::Take { expect, epoch, .. } = action else { continue };
        assert_eq!(expect, Some(revision::Revision::new(2)));
        assert_eq!(epoch, revision::Epoch::new(2));
        retaken += 1;
    }
    assert_eq!(retaken, PARTITIONS);
}

#[test]
fn an_outdated_owner_list_does_not_end_a_newer_ownership() {
    let start = common::start();
    let mut engine = common::owner_of_all("a", &["a"], start);
    let now = start + 2 * SECOND;
    let before = engine.owned();
    read_owners(&mut engine, &[], 5, now);
    assert_eq!(engine.owned(), before);
    assert!(engine.tick(now).iter().all(|action| !matches!(action, Action::Drop { .. })));
}

#[test]
fn an_owner_that_was_replaced_drops_the_partition_at_once() {
    let start = common::start();
    let mut engine = common::owner_of_all("a", &["a", "b"], start);
    let mut ping = common::ping("b", true);
    ping.owned = vec![(id::Partition::new(0), revision::Epoch::new(9))];
    let now = start + 2 * SECOND;
    engine.receive_ping(&ping, now);
    let actions = engine.tick(now);
    let dropped = Action::Drop { partition: id::Partition::new(0), epoch: revision::Epoch::new(1) };
    assert!(actions.contains(&dropped), "{actions:?}");
    assert_eq!(engine.owned().len(), PARTITIONS as usize - 1);
}

proptest! {
    #[test]
    fn the_caller_never_spins(steps in prop::collection::vec((0u64..2_000, 0u8..8), 1..200)) {
        let start = common::start();
        let mut now = start;
        let mut engine = engine("a", start);
        for (number, (wait_ms, kind)) in steps.into_iter().enumerate() {
            now += Duration::from_millis(wait_ms);
            let revision = number as u64 + 1;
            match kind {
                0 => read_instances(&mut engine, &["a", "b", "c"], revision, now),
                1 => read_instances(&mut engine, &["a", "c"], revision, now),
                2 => read_owners(&mut engine, &[], revision, now),
                3 => engine.receive_ping(&common::ping("b", wait_ms % 2 == 0), now),
                4 => engine.receive_ping(&common::ping("c", true), now),
                5 => engine.set_store_reachable(wait_ms % 2 == 0, now),
                6 => engine.probe_failed(&instance("b"), common::incarnation("b"), Failure::Timeout, now),
                _ => engine.probe_succeeded(&instance("c"), common::incarnation("c"), now),
            }
            for action in engine.tick(now) {
                let Action::Take { partition, epoch, .. } = action else { continue };
                let outcome = match wait_ms % 3 {
                    0 => Outcome::Won(revision::Revision::new(revision)),
                    1 => Outcome::Lost,
                    _ => Outcome::Unavailable,
                };
                engine.take_completed(partition, epoch, outcome, now);
            }
            engine.tick(now);
            engine.permits_grant(id::Partition::new(0), now);
            prop_assert!(engine.wake().is_none_or(|wake| wake > now));
        }
    }
}
