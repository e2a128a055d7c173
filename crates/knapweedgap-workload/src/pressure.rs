//! Which images of filling tasks slow down which images of serving tasks.
//!
//! Answers a load in which a few pairs of images disturb each other strongly and most do not. The
//! tail latency of a serving task is compared with that of the other tasks of its step that have
//! nothing filling beside them, so that the load of the step's users cancels out. Evidence fades,
//! because the amounts change.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::task;

/// Time in which evidence loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Age beyond which the tail of calm tasks of a step is not compared with any more. The load of
/// the users of a step swings within about 14 s.
const CALM_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Tail in percent of that of calm tasks from which on a task counts as disturbed.
const DISTURBED: u64 = 135;
/// Tail in percent of that of calm tasks up to which a task counts as undisturbed.
const UNDISTURBED: u64 = 115;
/// Smallest difference of two tails that counts: reports are in whole milliseconds.
const DIFFERENCE_MIN: Duration = Duration::from_millis(5);
/// Share of the worker's processors, in thousandths, below which a filling task shows no effect.
const SHARE_MIN: u64 = 25;
/// Weight of evidence from which on a pair counts as disturbing.
const HARMFUL_MIN: f64 = 0.7;
/// Share of the evidence that must speak for a disturbance; it is not visible all the time.
const HARMFUL_SHARE: f64 = 0.2;
/// Weight of evidence from which on a pair counts as harmless.
const HARMLESS_MIN: f64 = 2.0;

/// What is known of a pair of images.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The filling image does not disturb the serving one.
    Harmless,
    /// Too little is known.
    Unknown,
    /// The filling image disturbs the serving one.
    Harmful,
}

/// Weights of the evidence on a pair at one time.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    harmful: f64,
    harmless: f64,
    at: Instant,
}

impl Evidence {
    fn faded(self, now: Instant) -> Evidence {
        let halves = now.saturating_duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(halves);
        Evidence { harmful: self.harmful * factor, harmless: self.harmless * factor, at: now }
    }
}

/// Filling task beside a serving one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Filler {
    /// Image.
    pub image: SmolStr,
    /// Processor time at its pace, in thousandths of those of the worker.
    pub share: u64,
}

/// Model of all pairs.
#[derive(Debug, Default)]
pub struct Model {
    pairs: BTreeMap<(SmolStr, SmolStr), Evidence>,
    calm: BTreeMap<task::Step, (Duration, Instant)>,
}

impl Model {
    /// Takes in the tail of a serving task that has nothing filling beside it.
    pub fn observe_calm(&mut self, step: task::Step, tail: Duration, now: Instant) {
        let entry = self.calm.entry(step).or_insert((tail, now));
        let fresh = now.saturating_duration_since(entry.1) <= CALM_AGE_MAX;
        let mean = if fresh { (entry.0 * 3 + tail) / 4 } else { tail };
        *entry = (mean, now);
    }

    /// Takes in the tail of a serving task of `image` with `fillers` beside it.
    pub fn observe(
        &mut self,
        step: task::Step,
        image: &SmolStr,
        tail: Duration,
        fillers: &[Filler],
        now: Instant,
    ) {
        let Some(&(calm, at)) = self.calm.get(&step) else { return };
        if now.saturating_duration_since(at) > CALM_AGE_MAX || calm.is_zero() {
            return;
        }
        let percent = (tail.as_micros() * 100 / calm.as_micros()) as u64;
        let disturbed = percent >= DISTURBED && tail >= calm + DIFFERENCE_MIN;
        if !disturbed && percent > UNDISTURBED {
            return;
        }
        let mut suspects: Vec<&SmolStr> = Vec::new();
        for filler in fillers {
            let known = disturbed && self.verdict(&filler.image, image, now) == Verdict::Harmless;
            if filler.share < SHARE_MIN || known || suspects.contains(&&filler.image) {
                continue;
            }
            suspects.push(&filler.image);
        }
        let weight = 1.0 / suspects.len().max(1) as f64;
        let suspects: Vec<SmolStr> = suspects.into_iter().cloned().collect();
        for filler in suspects {
            let none = Evidence { harmful: 0.0, harmless: 0.0, at: now };
            let evidence = self.pairs.entry((filler, image.clone())).or_insert(none);
            *evidence = evidence.faded(now);
            if disturbed {
                evidence.harmful += weight;
            } else {
                evidence.harmless += 1.0;
            }
        }
    }

    /// Returns what is known of a filling and a serving image.
    pub fn verdict(&self, filler: &SmolStr, serving: &SmolStr, now: Instant) -> Verdict {
        let Some(evidence) = self.pairs.get(&(filler.clone(), serving.clone())) else {
            return Verdict::Unknown;
        };
        let Evidence { harmful, harmless, .. } = evidence.faded(now);
        if harmful >= HARMFUL_MIN && harmful >= (harmful + harmless) * HARMFUL_SHARE {
            return Verdict::Harmful;
        }
        if harmless >= HARMLESS_MIN {
            return Verdict::Harmless;
        }
        Verdict::Unknown
    }

    /// Forgets the steps that `keep` rejects.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(task::Step) -> bool,
    {
        self.calm.retain(|&step, _| keep(step));
    }
}
