//! Which images of filling tasks slow down which images of serving tasks.
//!
//! Answers a load in which a few pairs of images disturb each other strongly and most do not. The
//! tail latency of a serving task is compared with the lowest tail of the tasks of its step on
//! other workers, so that the load of the step's users cancels out. Evidence fades, because the
//! amounts change.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use smol_str::SmolStr;

use crate::task;

/// Time in which evidence loses half of its weight.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Age beyond which the tail on another worker is not compared with any more. The load of the
/// users of a step swings within about 14 s.
const TAIL_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Tail in percent of the lowest elsewhere from which on a task counts as disturbed.
const DISTURBED: u64 = 150;
/// Tail in percent of the lowest elsewhere up to which a task counts as undisturbed. Reports are
/// rough, and the lowest of several is below their mean.
const UNDISTURBED: u64 = 125;
/// Smallest difference of two tails that counts: reports are in whole milliseconds.
const DIFFERENCE_MIN: Duration = Duration::from_millis(5);
/// Share of the worker's processors, in thousandths, below which a filling task shows no effect.
const SHARE_MIN: u64 = 30;
/// Weight of evidence from which on a pair counts as disturbing.
const HARMFUL_MIN: f64 = 0.7;
/// Share of the evidence that must speak for a disturbance; it is not visible all the time.
const HARMFUL_SHARE: f64 = 0.15;
/// Weight of evidence from which on a pair counts as harmless.
const HARMLESS_MIN: f64 = 2.0;

/// Serving images that a filling one must be harmless to before it counts as light.
const LIGHT_MIN: u32 = 2;

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

/// Serving task in a report.
#[derive(Debug, Clone, Copy)]
pub struct Serving<'a> {
    /// Step of the task, whose tasks have the same users.
    pub step: task::Step,
    /// Worker that it runs on.
    pub worker: &'a id::Worker,
    /// Image.
    pub image: &'a SmolStr,
    /// Measured tail latency.
    pub tail: Duration,
    /// Bound on it. Serving tasks keep it while nothing disturbs them.
    pub target: Duration,
}

/// Model of all pairs.
#[derive(Debug, Default)]
pub struct Model {
    pairs: BTreeMap<(SmolStr, SmolStr), Evidence>,
    /// Last tail of the tasks of each step on each worker.
    tails: BTreeMap<task::Step, BTreeMap<id::Worker, (Duration, Instant)>>,
}

impl Model {
    /// Takes in the tail of a serving task of `image` with `fillers` beside it.
    pub fn observe(&mut self, serving: &Serving<'_>, fillers: &[Filler], now: Instant) {
        let disturbed = self.is_disturbed(serving, now);
        let tails = self.tails.entry(serving.step).or_default();
        tails.insert(serving.worker.clone(), (serving.tail, now));
        let Some(disturbed) = disturbed else { return };
        let image = serving.image;
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

    /// Tells whether a tail is raised by what is beside the task; nothing when it can't be told.
    fn is_disturbed(&self, serving: &Serving<'_>, now: Instant) -> Option<bool> {
        let Serving { step, worker, tail, target, .. } = *serving;
        if tail > target {
            return Some(true);
        }
        let fresh = |at: Instant| now.saturating_duration_since(at) <= TAIL_AGE_MAX;
        let elsewhere = self.tails.get(&step)?.iter();
        let elsewhere = elsewhere.filter(|(id, (_, at))| *id != worker && fresh(*at));
        let lowest = elsewhere.map(|(_, (tail, _))| *tail).min()?;
        if lowest.is_zero() {
            return None;
        }
        let percent = (tail.as_micros() * 100 / lowest.as_micros()) as u64;
        if percent >= DISTURBED && tail >= lowest + DIFFERENCE_MIN {
            return Some(true);
        }
        (percent <= UNDISTURBED).then_some(false)
    }

    /// Tells whether an image is known to disturb no serving image.
    pub fn is_light(&self, filler: &SmolStr, now: Instant) -> bool {
        let mut harmless = 0;
        for ((image, serving), _) in &self.pairs {
            if image != filler {
                continue;
            }
            match self.verdict(filler, serving, now) {
                Verdict::Harmful => return false,
                Verdict::Harmless => harmless += 1,
                Verdict::Unknown => {}
            }
        }
        harmless >= LIGHT_MIN
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
        self.tails.retain(|&step, _| keep(step));
    }
}
