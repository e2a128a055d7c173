//! Shares of the conversation with workers: proportional, stable, and no larger than needed.

use std::collections::BTreeMap;

use knapweedgap_core::{id, rate, size};
use knapweedgap_membership::share::{Capacity, Share};
use proptest::prelude::*;

fn instance(number: usize) -> id::Instance {
    format!("entry-{number}").parse().expect("valid")
}

fn worker(number: usize) -> id::Worker {
    format!("worker-{number}").parse().expect("valid")
}

fn plan(workers: usize, own: u32, candidates: &[(id::Instance, u32)]) -> Share {
    replan(workers, own, candidates, &Share::default())
}

fn replan(workers: usize, own: u32, candidates: &[(id::Instance, u32)], before: &Share) -> Share {
    let candidates = candidates.iter().map(|(id, workers)| (id, Capacity::new(*workers)));
    Share::plan(workers, Capacity::new(own), candidates, before)
}

fn entries(capacities: &[u32]) -> Vec<(id::Instance, u32)> {
    capacities.iter().enumerate().map(|(number, &workers)| (instance(number), workers)).collect()
}

/// Guards against messages between instances, and one more way for an order, in a fleet that the
/// owner can talk to by itself.
#[test]
fn owner_of_a_small_fleet_has_no_relays() {
    let share = plan(66, 83, &entries(&[83; 6]));
    assert!(share.is_empty());
    assert_eq!(share.relay(&worker(1), 0), None);
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
    assert!(share.relays().iter().all(|(_, capacity)| capacity.get() == 166));
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
        *counts.entry(share.relay(worker, 0).expect("spread")).or_default() += 1;
    }
    for (relay, capacity) in share.relays() {
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
        let relays: Vec<_> = (0..3).filter_map(|detour| share.relay(&worker, detour)).collect();
        assert_eq!(relays.len(), 3);
        assert!(relays[0] != relays[1] && relays[1] != relays[2] && relays[0] != relays[2]);
        assert_eq!(share.relay(&worker, 3), share.relay(&worker, 0));
    }
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
        let (lost, _) = before.relays()[lost].clone();
        let left: Vec<_> = entries.into_iter().filter(|(id, _)| *id != lost).collect();
        let after = replan(workers, 0, &left, &before);
        for number in 0..300 {
            let worker = worker(number);
            if before.relay(&worker, 0) != Some(&lost) {
                prop_assert_eq!(before.relay(&worker, 0), after.relay(&worker, 0));
            }
        }
    }

    #[test]
    fn capacity_round_trips(workers in any::<u32>()) {
        let capacity = Capacity::new(workers);
        prop_assert_eq!(capacity.to_string().parse(), Ok(capacity));
    }
}
