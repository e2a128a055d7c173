//! Shares of the conversation with workers: proportional, stable, and no larger than needed.

use std::collections::{BTreeMap, BTreeSet};
use std::iter::repeat_n;

use knapweedgap_core::{id, rate, size};
use knapweedgap_membership::share::{Capacity, Fleet, Relay, Share};
use proptest::prelude::*;

fn instance(number: usize) -> id::Instance {
    format!("entry-{number}").parse().expect("valid")
}

fn worker(number: usize) -> id::Worker {
    format!("worker-{number}").parse().expect("valid")
}

fn zone(number: usize) -> id::Zone {
    format!("zone-{number}").parse().expect("valid")
}

/// Returns a choice for workers that all are in zone 0, as the instances of [`entries`].
fn plan(workers: usize, own: u32, candidates: &[Relay]) -> Share {
    replan(workers, own, candidates, &Share::default())
}

fn replan(workers: usize, own: u32, candidates: &[Relay], before: &Share) -> Share {
    replan_zones(&[workers], own, candidates, before)
}

/// Returns a choice for `fleet[N]` workers in zone N.
fn replan_zones(fleet: &[usize], own: u32, candidates: &[Relay], before: &Share) -> Share {
    let zones: Vec<id::Zone> = (0..fleet.len()).map(zone).collect();
    let workers = zones.iter().zip(fleet);
    let fleet: Fleet = workers.flat_map(|(zone, &workers)| repeat_n(zone, workers)).collect();
    Share::plan(&fleet, Capacity::new(own), candidates.iter().cloned(), before)
}

fn entries(capacities: &[u32]) -> Vec<Relay> {
    entries_in(1, capacities)
}

/// Returns instances dealt to zones in turn.
fn entries_in(zones: usize, capacities: &[u32]) -> Vec<Relay> {
    let entry = |(number, &workers): (usize, &u32)| Relay {
        instance: instance(number),
        zone: zone(number % zones),
        capacity: Capacity::new(workers),
    };
    capacities.iter().enumerate().map(entry).collect()
}

/// Returns the relay of a worker in zone 0.
fn relay<'a>(share: &'a Share, worker: &id::Worker, detour: usize) -> Option<&'a id::Instance> {
    share.relay(worker, Some(&zone(0)), detour)
}

/// Returns the zone of the relay of a worker in a zone.
fn zone_of_relay<'a>(share: &'a Share, worker: &id::Worker, zone: &id::Zone) -> &'a id::Zone {
    let relay = share.relay(worker, Some(zone), 0).expect("a relay");
    let found = share.relays().iter().find(|other| other.instance == *relay);
    &found.expect("chosen").zone
}

/// Guards against messages between instances, and one more way for an order, in a fleet that the
/// owner can talk to by itself.
#[test]
fn owner_of_a_small_fleet_has_no_relays() {
    let share = plan(66, 83, &entries(&[83; 6]));
    assert!(share.is_empty());
    assert_eq!(relay(&share, &worker(1), 0), None);
}

/// Guards against an owner that has no instance to hand the conversation to and drops it.
#[test]
fn owner_without_other_instances_has_no_relays() {
    assert!(plan(5_000, 83, &[]).is_empty());
}

/// Guards against relays that come and go with every small change of the fleet.
#[test]
fn conversation_is_taken_back_with_hysteresis() {
    let entries = entries(&[100; 6]);
    let spread = plan(101, 100, &entries);
    assert!(!spread.is_empty());
    assert!(!replan(99, 100, &entries, &spread).is_empty());
    assert!(replan(80, 100, &entries, &spread).is_empty());
}

/// Guards against relays in such a number that each message holds a single order.
#[test]
fn relays_are_the_strongest_and_no_more_than_needed() {
    let mut capacities = vec![40; 90];
    capacities.extend([166; 10]);
    let share = plan(890, 166, &entries(&capacities));
    assert_eq!(share.relays().len(), 9);
    assert!(share.relays().iter().all(|relay| relay.capacity.get() == 166));
}

/// Guards against an entry of 0.12 cores, or one behind a slow link, that gets as much as a strong
/// one.
#[test]
fn capacity_follows_the_weaker_of_processor_and_link() {
    let of = |milli, mbit: u64| {
        Capacity::of(size::Processor::from_milli(milli), rate::Bits::new(mbit * 1_000_000)).get()
    };
    assert_eq!(of(500, 1_000), 166);
    assert_eq!(of(120, 1_000), 40);
    assert_eq!(of(120, 2), 20);
    assert_eq!(of(500, 20), 166);
    assert_eq!(of(0, 0), 1);
}

/// Guards against shares that do not follow the capacity.
#[test]
fn shares_are_proportional_to_the_capacity() {
    let share = plan(1_000, 10, &entries(&[50, 100, 200, 400]));
    let mut counts: BTreeMap<&id::Instance, usize> = BTreeMap::new();
    let workers: Vec<id::Worker> = (0..7_500).map(worker).collect();
    for worker in &workers {
        *counts.entry(relay(&share, worker, 0).expect("spread")).or_default() += 1;
    }
    for Relay { instance: relay, capacity, .. } in share.relays() {
        let expected = capacity.get() as usize * 10;
        let count = counts[relay];
        assert!(count.abs_diff(expected) < expected / 5, "{relay}: {count} of {expected}");
    }
}

/// Guards against a worker that is given up because one relay can't reach it.
#[test]
fn detours_lead_to_other_relays() {
    let share = plan(300, 10, &entries(&[100; 5]));
    for number in 0..50 {
        let worker = worker(number);
        let relays: Vec<_> = (0..3).filter_map(|detour| relay(&share, &worker, detour)).collect();
        assert_eq!(relays.len(), 3);
        assert!(relays[0] != relays[1] && relays[1] != relays[2] && relays[0] != relays[2]);
        assert_eq!(relay(&share, &worker, 3), relay(&share, &worker, 0));
    }
}

/// Guards against orders and reports that cross zones although the zone of the worker has relays, on
/// the scale of the largest installation: 6 strong instances, one of which is the owner.
#[test]
fn workers_have_relays_in_their_zones() {
    let mut capacities = vec![166; 6];
    capacities.extend([40; 37]);
    let entries = entries_in(3, &capacities);
    let share = replan_zones(&[164, 163, 163], 166, &entries[1..], &Share::default());
    let is_remote = |&number: &usize| {
        *zone_of_relay(&share, &worker(number), &zone(number % 3)) != zone(number % 3)
    };
    assert_eq!((0..490).filter(is_remote).count(), 0);
    assert!(share.relays().len() <= 8, "{} relays", share.relays().len());
}

/// Guards against a zone whose few instances get more workers than they carry, and against one with
/// relays that others lose for it.
#[test]
fn a_zone_that_is_too_weak_shares_all_relays() {
    let mut entries = entries_in(2, &[200, 40, 200, 40, 200]);
    let share = replan_zones(&[200, 200], 10, &entries, &Share::default());
    assert_eq!(share.near_zones(), 1);
    let counts = |share: &Share, from: usize| {
        let zones = (0..1_000).map(|number| zone_of_relay(share, &worker(number), &zone(from)));
        zones.filter(|other| **other == zone(1)).count()
    };
    assert_eq!(counts(&share, 0), 0);
    assert!(counts(&share, 1) < 250);
    // A zone without instances.
    entries.retain(|relay| relay.zone == zone(0));
    let share = replan_zones(&[200, 200], 10, &entries, &Share::default());
    assert_eq!(counts(&share, 1), 0);
    // A worker whose zone is not known.
    assert!(share.relay(&worker(1), None, 0).is_some());
}

/// Guards against a worker that is given up because the relays of its zone can't reach it.
#[test]
fn detours_from_a_zone_lead_to_relays_of_any_zone() {
    let entries = entries_in(3, &[100; 9]);
    let share = replan_zones(&[100; 3], 10, &entries, &Share::default());
    let mut zones = BTreeSet::new();
    for number in 0..50 {
        let (worker, zone) = (worker(number), zone(number % 3));
        let relays: Vec<_> =
            (0..3).filter_map(|detour| share.relay(&worker, Some(&zone), detour)).collect();
        assert_eq!(relays.iter().collect::<BTreeSet<_>>().len(), 3);
        assert_eq!(share.relay(&worker, Some(&zone), 3), Some(relays[0]));
        let other = share.relays().iter().find(|other| other.instance == *relays[1]);
        zones.insert(other.is_some_and(|other| other.zone == zone));
    }
    assert_eq!(zones.len(), 2, "all detours lead to the zone, or none");
}

proptest! {
    /// Guards against a relay that fails and moves the workers of the others: their orders on the
    /// way would be doubted for nothing.
    #[test]
    fn only_workers_of_a_lost_relay_move(
        capacities in proptest::collection::vec(1u32..200, 4..12),
        lost in 0usize..4,
    ) {
        // All of them are needed, so none joins in place of the lost one.
        let workers = capacities.iter().sum::<u32>() as usize;
        let entries = entries(&capacities);
        let before = plan(workers, 0, &entries);
        let lost = before.relays()[lost].instance.clone();
        let left: Vec<_> = entries.into_iter().filter(|relay| relay.instance != lost).collect();
        let after = replan(workers, 0, &left, &before);
        for number in 0..300 {
            let worker = worker(number);
            if relay(&before, &worker, 0) != Some(&lost) {
                prop_assert_eq!(relay(&before, &worker, 0), relay(&after, &worker, 0));
            }
        }
    }

    /// Guards against a zone that loses a relay, no longer carries its workers, and moves all of them;
    /// and against workers that do not come back to it.
    #[test]
    fn only_workers_of_a_relay_lost_in_a_zone_move(
        capacities in proptest::collection::vec(20u32..200, 6..20),
        parts in proptest::collection::vec(10usize..=100, 3),
        lost in any::<proptest::sample::Index>(),
    ) {
        let entries = entries_in(3, &capacities);
        let carried = |zone: usize| capacities.iter().skip(zone).step_by(3).sum::<u32>() as usize;
        let fleet: Vec<usize> = (0..3).map(|zone| carried(zone) * parts[zone] / 100).collect();
        let before = replan_zones(&fleet, 0, &entries, &Share::default());
        prop_assert_eq!(before.near_zones(), 3);
        let lost = before.relays()[lost.index(before.relays().len())].instance.clone();
        let left: Vec<_> =
            entries.iter().filter(|relay| relay.instance != lost).cloned().collect();
        let after = replan_zones(&fleet, 0, &left, &before);
        let is_new = |instance: &id::Instance| {
            before.relays().iter().all(|relay| relay.instance != *instance)
        };
        for number in 0..300 {
            let (worker, zone) = (worker(number), zone(number % 3));
            let former = before.relay(&worker, Some(&zone), 0);
            let next = after.relay(&worker, Some(&zone), 0);
            let is_own = former == Some(&lost) || next.is_some_and(is_new);
            prop_assert!(is_own || former == next, "{worker}: {former:?} {next:?}");
        }
        let again = replan_zones(&fleet, 0, &entries, &after);
        prop_assert_eq!(again, before);
    }

    #[test]
    fn capacity_round_trips(workers in any::<u32>()) {
        let capacity = Capacity::new(workers);
        prop_assert_eq!(capacity.to_string().parse(), Ok(capacity));
    }
}
