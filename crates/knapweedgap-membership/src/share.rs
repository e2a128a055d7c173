//! Decides which instance talks to which worker for the owner of the workload.
//!
//! The owner of a small fleet talks to all workers itself. Beyond its own capacity it hands the
//! conversation to relays: the strongest instances, no more of them than the fleet needs, because
//! the orders to one relay share messages. Each relay gets a share of the workers in proportion to
//! its capacity, by weighted rendezvous hashing, so that a relay that comes or goes moves only its
//! own workers. Where the instances of an availability zone carry the workers of the zone, the relays
//! of the zone share them, because traffic between zones is the most expensive resource.

use std::collections::BTreeMap;

use knapweedgap_core::{id, rate, size};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// Processor time that the conversation with one worker takes at the peak of its load, in
/// thousandths of a core: about two starts and three polls a second.
const PROCESSOR_PER_WORKER: f64 = 0.75;
/// Traffic of the conversation with one worker, in bits per second.
const BITS_PER_WORKER: f64 = 25_000.0;
/// Part of an instance's processor and link that the conversation may use. An instance also serves
/// clients and may become the owner.
const CONVERSATION_PART: f64 = 0.25;
/// Workers for which relays are chosen, as a multiple of the workers of the fleet. The surplus is
/// room for a relay that fails.
const RESERVE_FACTOR: f64 = 1.5;
/// Smallest number of relays, so that the failure of one does not affect the whole fleet.
const RELAYS_MIN: usize = 3;
/// Part of the owner's capacity below which it takes the conversation back from the relays.
/// Hysteresis keeps the conversation from moving on every small change of the fleet.
const TAKE_BACK_PART: f64 = 0.8;

/// Number of relays that are tried for a worker that does not answer.
const DETOURS_MAX: usize = 3;
/// Number of lost relays that are remembered for a zone. Beyond it few workers of the zone have a
/// relay there.
const LOST_MAX: usize = 8;

/// Number of workers whose conversation an instance can carry.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
#[serde(transparent)]
pub struct Capacity(u32);

impl Capacity {
    /// Creates a capacity of a number of workers.
    pub const fn new(workers: u32) -> Capacity {
        Capacity(workers)
    }

    /// Returns the number of workers.
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the capacity of an instance with these processors and this link.
    pub fn of(processors: size::Processor, link: rate::Bits) -> Capacity {
        let by_processor = processors.milli() as f64 * CONVERSATION_PART / PROCESSOR_PER_WORKER;
        let by_link = link.get() as f64 * CONVERSATION_PART / BITS_PER_WORKER;
        Capacity(by_processor.min(by_link).max(1.0) as u32)
    }

    /// Returns `true` if the instance can carry the conversation with `workers` workers.
    fn carries(self, workers: usize) -> bool {
        usize::try_from(self.0).is_ok_and(|capacity| workers <= capacity)
    }
}

/// Number of workers in each availability zone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fleet {
    zones: BTreeMap<id::Zone, usize>,
}

impl Fleet {
    /// Returns the number of zones that have workers.
    pub fn zones(&self) -> usize {
        self.zones.len()
    }

    /// Returns the number of workers in all zones.
    pub fn workers(&self) -> usize {
        self.zones.values().sum()
    }
}

/// Counts the workers by the zone of each.
impl<'a> FromIterator<&'a id::Zone> for Fleet {
    fn from_iter<Zones>(zones: Zones) -> Fleet
    where
        Zones: IntoIterator<Item = &'a id::Zone>,
    {
        let mut fleet = Fleet::default();
        for zone in zones {
            match fleet.zones.get_mut(zone) {
                Some(workers) => *workers += 1,
                None => {
                    fleet.zones.insert(zone.clone(), 1);
                }
            }
        }
        fleet
    }
}

/// Instance that is a relay or can become one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Availability zone of the instance.
    pub zone: id::Zone,
    /// Number of workers whose conversation it can carry.
    pub capacity: Capacity,
}

/// Relays and their weights. Without relays, the owner talks to all workers itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Share {
    relays: Vec<Relay>,
    /// Zones whose workers have a relay in the zone, with the relays that each zone has lost since
    /// and can't replace there. The workers of a lost relay go to the relays of all zones; those of
    /// the other relays of the zone stay.
    near: BTreeMap<id::Zone, Vec<Relay>>,
}

impl Share {
    /// Chooses the relays for a fleet. `own` is the capacity of the owner and `candidates` are the
    /// other instances in contact with it; `before` is the present choice. A zone whose candidates
    /// carry its workers gets relays for them; the others are the strongest of all zones.
    pub fn plan<Candidates>(
        fleet: &Fleet,
        own: Capacity,
        candidates: Candidates,
        before: &Share,
    ) -> Share
    where
        Candidates: IntoIterator<Item = Relay>,
    {
        let own = match before.is_empty() {
            true => own,
            false => Capacity((f64::from(own.0) * TAKE_BACK_PART) as u32),
        };
        if own.carries(fleet.workers()) {
            return Share::default();
        }
        let by_strength = |a: &Relay, b: &Relay| {
            b.capacity.cmp(&a.capacity).then_with(|| a.instance.cmp(&b.instance))
        };
        let mut candidates: Vec<Relay> = candidates.into_iter().collect();
        candidates.sort_by(by_strength);
        let mut relays = Vec::new();
        for (zone, &workers) in &fleet.zones {
            let in_zone = || candidates.iter().filter(|relay| relay.zone == *zone);
            if sum(in_zone()) < workers as u64 && !before.near.contains_key(zone) {
                continue;
            }
            add(&mut relays, in_zone(), workers, 0);
        }
        add(&mut relays, candidates.iter(), fleet.workers(), RELAYS_MIN);
        relays.sort_by(by_strength);
        let near = near(&relays, fleet, before);
        Share { relays, near }
    }

    /// Returns `true` if the owner talks to all workers itself.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// Returns the relays.
    pub fn relays(&self) -> &[Relay] {
        &self.relays
    }

    /// Returns the number of zones whose workers have a relay in the zone.
    pub fn near_zones(&self) -> usize {
        self.near.len()
    }

    /// Returns the relay of a worker: the one with the highest score in weighted rendezvous hashing
    /// (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005) among the relays of
    /// its zone if they carry the zone, otherwise among all. For a `detour` above 0, because the
    /// worker did not answer the first one, it is one with the next scores among all. Returns `None`
    /// if the owner talks to the worker itself.
    pub fn relay(
        &self,
        worker: &id::Worker,
        zone: Option<&id::Zone>,
        detour: usize,
    ) -> Option<&id::Instance> {
        let near = zone.and_then(|zone| self.near_relay(worker, zone));
        let first = near.or_else(|| highest(worker, &self.relays))?;
        let place = detour % self.relays.len().clamp(1, DETOURS_MAX);
        let Some(place) = place.checked_sub(1) else { return Some(&first.instance) };
        let others = self.relays.iter().filter(|relay| relay.instance != first.instance);
        let mut others: Vec<(f64, &Relay)> =
            others.map(|relay| (score(worker, relay), relay)).collect();
        others.sort_by(|a, b| b.0.total_cmp(&a.0));
        others.get(place).map(|(_, relay)| &relay.instance)
    }

    /// Returns the relay of a worker in its zone; `None` if the zone is not carried there, or if the
    /// zone has lost the relay.
    fn near_relay(&self, worker: &id::Worker, zone: &id::Zone) -> Option<&Relay> {
        let lost = self.near.get(zone)?;
        let present = self.relays.iter().filter(|relay| relay.zone == *zone);
        let chosen = highest(worker, present.chain(lost))?;
        (!contains(lost, chosen)).then_some(chosen)
    }
}

/// Adds the first candidates that are not relays yet, until all relays among the candidates carry the
/// workers with the reserve and there are `relays_min` of them.
fn add<'a, Candidates>(
    relays: &mut Vec<Relay>,
    candidates: Candidates,
    workers: usize,
    relays_min: usize,
) where
    Candidates: Iterator<Item = &'a Relay> + Clone,
{
    let needed = workers as f64 * RESERVE_FACTOR;
    let chosen = candidates.clone().filter(|candidate| contains(relays, candidate));
    let (mut capacity, mut count) = (sum(chosen.clone()), chosen.count());
    for candidate in candidates {
        if capacity as f64 >= needed && count >= relays_min {
            break;
        }
        if contains(relays, candidate) {
            continue;
        }
        capacity += u64::from(candidate.capacity.0);
        count += 1;
        relays.push(candidate.clone());
    }
}

/// Returns the zones that their own relays carry, with the relays lost since the choice `before`. A
/// zone that is carried no longer, because it has lost relays, keeps the other ones in use: with a
/// choice among all relays, their workers would move as well.
fn near(relays: &[Relay], fleet: &Fleet, before: &Share) -> BTreeMap<id::Zone, Vec<Relay>> {
    let mut near = BTreeMap::new();
    for (zone, &workers) in &fleet.zones {
        let capacity = sum(relays.iter().filter(|relay| relay.zone == *zone));
        if capacity >= workers as u64 {
            near.insert(zone.clone(), Vec::new());
            continue;
        }
        let Some(lost) = before.near.get(zone) else { continue };
        let former = before.relays.iter().filter(|relay| relay.zone == *zone).chain(lost);
        let lost: Vec<Relay> = former.filter(|relay| !contains(relays, relay)).cloned().collect();
        let is_carried_by_all = capacity + sum(&lost) >= workers as u64;
        if capacity > 0 && is_carried_by_all && lost.len() <= LOST_MAX {
            near.insert(zone.clone(), lost);
        }
    }
    near
}

fn contains(relays: &[Relay], one: &Relay) -> bool {
    relays.iter().any(|relay| relay.instance == one.instance)
}

fn sum<'a, Relays>(relays: Relays) -> u64
where
    Relays: IntoIterator<Item = &'a Relay>,
{
    relays.into_iter().map(|relay| u64::from(relay.capacity.0)).sum()
}

fn highest<'a, Relays>(worker: &id::Worker, relays: Relays) -> Option<&'a Relay>
where
    Relays: IntoIterator<Item = &'a Relay>,
{
    let scored = relays.into_iter().map(|relay| (score(worker, relay), relay));
    scored.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, relay)| relay)
}

fn score(worker: &id::Worker, relay: &Relay) -> f64 {
    let mut bytes = Vec::with_capacity(2 * id::NAME_LEN_MAX + 1);
    bytes.extend(worker.as_str().as_bytes());
    bytes.push(0);
    bytes.extend(relay.instance.as_str().as_bytes());
    // A uniform value strictly between 0 and 1.
    let uniform = (rapidhash_v3(&bytes) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(relay.capacity.0) / -uniform.ln().min(-f64::MIN_POSITIVE)
}
