//! Decides which instance talks to which worker for the owner of the workload.
//!
//! The owner of a small fleet talks to all workers itself. Beyond its own capacity it hands the
//! conversation to relays: the strongest instances, no more of them than the fleet needs, because
//! the orders to one relay share messages. Each relay gets a share of the workers in proportion to
//! its capacity, by weighted rendezvous hashing, so that a relay that comes or goes moves only its
//! own workers.

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

/// Relays and their weights. Without relays, the owner talks to all workers itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Share {
    relays: Vec<(id::Instance, Capacity)>,
}

impl Share {
    /// Chooses the relays for a fleet of `workers`. `own` is the capacity of the owner and
    /// `candidates` are the other instances in contact with it; `before` is the present choice.
    pub fn plan<'a, Candidates>(
        workers: usize,
        own: Capacity,
        candidates: Candidates,
        before: &Share,
    ) -> Share
    where
        Candidates: IntoIterator<Item = (&'a id::Instance, Capacity)>,
    {
        let own = match before.is_empty() {
            true => own,
            false => Capacity((f64::from(own.0) * TAKE_BACK_PART) as u32),
        };
        if own.carries(workers) {
            return Share::default();
        }
        let mut candidates: Vec<(&id::Instance, Capacity)> = candidates.into_iter().collect();
        candidates.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(b.0)));
        let needed = workers as f64 * RESERVE_FACTOR;
        let mut relays = Vec::new();
        let mut sum = 0.0;
        for (instance, capacity) in candidates {
            if sum >= needed && relays.len() >= RELAYS_MIN {
                break;
            }
            sum += f64::from(capacity.0);
            relays.push((instance.clone(), capacity));
        }
        Share { relays }
    }

    /// Returns `true` if the owner talks to all workers itself.
    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// Returns the relays and their capacities.
    pub fn relays(&self) -> &[(id::Instance, Capacity)] {
        &self.relays
    }

    /// Returns the relay of a worker: the one with the highest score in weighted rendezvous hashing
    /// (Schindelhauer and Schomaker, "Weighted distributed hash tables", 2005), or one with the next
    /// scores for a `detour` above 0, because the worker did not answer the first one. Returns `None`
    /// if the owner talks to the worker itself.
    pub fn relay(&self, worker: &id::Worker, detour: usize) -> Option<&id::Instance> {
        let scored =
            self.relays.iter().map(|(relay, weight)| (score(worker, relay, *weight), relay));
        if detour == 0 {
            return scored.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, relay)| relay);
        }
        let mut scored: Vec<(f64, &id::Instance)> = scored.collect();
        scored.sort_by(|a, b| b.0.total_cmp(&a.0));
        let place = detour % scored.len().clamp(1, DETOURS_MAX);
        scored.get(place).map(|(_, relay)| *relay)
    }
}

fn score(worker: &id::Worker, relay: &id::Instance, weight: Capacity) -> f64 {
    let mut bytes = Vec::with_capacity(2 * id::NAME_LEN_MAX + 1);
    bytes.extend(worker.as_str().as_bytes());
    bytes.push(0);
    bytes.extend(relay.as_str().as_bytes());
    // A uniform value strictly between 0 and 1.
    let uniform = (rapidhash_v3(&bytes) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(weight.0) / -uniform.ln().min(-f64::MIN_POSITIVE)
}
