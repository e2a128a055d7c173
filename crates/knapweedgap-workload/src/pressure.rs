//! Which images of filling tasks slow down which images of serving tasks.
//!
//! Answers a load in which a few pairs of images disturb each other strongly and most do not. The
//! tail latency of a serving task is compared with the lowest tail of the tasks of its step on
//! other workers, so that the load of the step's users cancels out. Evidence fades, because the
//! amounts change.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use knapweedgap_core::id;
use smol_str::SmolStr;

use crate::record::Pair;
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
/// Weight of a raised tail that is still below its target.
const HINT: f64 = 1.0;
/// Time for each report that showed a disturbance after which a pair is tried again.
const RETRIAL: Duration = Duration::from_secs(20);
/// Share of the evidence that must speak for a disturbance; it is not visible all the time.
const HARMFUL_SHARE: f64 = 0.15;
/// Weight of evidence from which on a pair counts as harmless.
const HARMLESS_MIN: f64 = 2.0;

/// Serving images that a filling one must be harmless to before it counts as light.
const LIGHT_MIN: usize = 2;

/// What is known of a pair of images.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Verdict {
    /// The filling image does not disturb the serving one.
    #[display("harmless")]
    Harmless,
    /// Too little is known.
    #[display("unknown")]
    Unknown,
    /// The filling image disturbs the serving one.
    #[display("harmful")]
    Harmful,
}

/// Weights of the evidence on a pair at one time.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    harmful: f64,
    harmless: f64,
    at: Instant,
    /// What followed from it when it last changed.
    verdict: Verdict,
}

impl Evidence {
    fn faded(self, now: Instant) -> Evidence {
        let halves = now.saturating_duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5f64.powf(halves);
        let (harmful, harmless) = (self.harmful * factor, self.harmless * factor);
        Evidence { harmful, harmless, at: now, verdict: self.verdict }
    }

    /// Returns the verdict as long as it is not due for another trial. Nothing is learned of a pair
    /// that is kept apart, so that a mistaken verdict would stay.
    fn verdict_at(&self, now: Instant) -> Verdict {
        let age = now.saturating_duration_since(self.at);
        if self.verdict == Verdict::Harmful && age > RETRIAL.mul_f64(self.harmful.min(5.0)) {
            return Verdict::Unknown;
        }
        self.verdict
    }

    fn judge(&self) -> Verdict {
        let Evidence { harmful, harmless, .. } = *self;
        if harmful >= HARMFUL_MIN && harmful >= (harmful + harmless) * HARMFUL_SHARE {
            return Verdict::Harmful;
        }
        if harmless >= HARMLESS_MIN {
            return Verdict::Harmless;
        }
        Verdict::Unknown
    }
}

/// Verdict that has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Filling image.
    pub filler: SmolStr,
    /// Serving image.
    pub serving: SmolStr,
    /// What is known now.
    pub verdict: Verdict,
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
    /// Evidence by filling image, then by serving image.
    pairs: BTreeMap<SmolStr, BTreeMap<SmolStr, Evidence>>,
    /// Last tail of the tasks of each step on each worker.
    tails: BTreeMap<task::Step, BTreeMap<id::Worker, (Duration, Instant)>>,
}

impl Model {
    /// Takes in the tail of a serving task with `fillers` beside it; returns the verdicts that
    /// change with it.
    pub fn observe(
        &mut self,
        serving: &Serving<'_>,
        fillers: &[Filler],
        now: Instant,
    ) -> Vec<Finding> {
        let disturbed = self.is_disturbed(serving, now);
        let tails = self.tails.entry(serving.step).or_default();
        tails.insert(serving.worker.clone(), (serving.tail, now));
        let Some(disturbed) = disturbed else { return Vec::new() };
        let image = serving.image;
        let mut suspects: Vec<&SmolStr> = Vec::new();
        for filler in fillers {
            let known = disturbed && self.verdict(&filler.image, image, now) == Verdict::Harmless;
            if filler.share < SHARE_MIN || known || suspects.contains(&&filler.image) {
                continue;
            }
            suspects.push(&filler.image);
        }
        let shown = if serving.tail > serving.target { 1.0 } else { HINT };
        let weight = shown / suspects.len().max(1) as f64;
        let mut findings = Vec::new();
        for filler in suspects {
            let none = Evidence { harmful: 0.0, harmless: 0.0, at: now, verdict: Verdict::Unknown };
            let pairs = self.pairs.entry(filler.clone()).or_default();
            let evidence = pairs.entry(image.clone()).or_insert(none);
            *evidence = evidence.faded(now);
            if disturbed {
                evidence.harmful += weight;
            } else {
                evidence.harmless += 1.0;
            }
            let verdict = evidence.judge();
            if verdict == evidence.verdict {
                continue;
            }
            evidence.verdict = verdict;
            let (filler, serving) = (filler.clone(), image.clone());
            findings.push(Finding { filler, serving, verdict });
        }
        findings
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
    pub fn is_light(&self, filler: &str) -> bool {
        let Some(pairs) = self.pairs.get(filler) else { return false };
        let count = |verdict| pairs.values().filter(|pair| pair.verdict == verdict).count();
        count(Verdict::Harmful) == 0 && count(Verdict::Harmless) >= LIGHT_MIN
    }

    /// Returns what is known of a filling and a serving image.
    pub fn verdict(&self, filler: &str, serving: &str, now: Instant) -> Verdict {
        let pair = self.pairs.get(filler).and_then(|pairs| pairs.get(serving));
        pair.map_or(Verdict::Unknown, |pair| pair.verdict_at(now))
    }

    /// Returns the pairs of which something is known.
    pub fn known(&self) -> Vec<Pair> {
        let mut known = Vec::new();
        for (filler, pairs) in &self.pairs {
            for (serving, evidence) in pairs {
                let harmful = match evidence.verdict {
                    Verdict::Unknown => continue,
                    Verdict::Harmless => false,
                    Verdict::Harmful => true,
                };
                known.push(Pair(filler.clone(), serving.clone(), harmful));
            }
        }
        known
    }

    /// Takes in what an earlier owner knew, as the least evidence for it.
    pub fn restore(&mut self, known: Vec<Pair>, now: Instant) {
        self.pairs.clear();
        for Pair(filler, serving, is_harmful) in known {
            let (verdict, harmful, harmless) = if is_harmful {
                (Verdict::Harmful, 2.0 * HARMFUL_MIN, 0.0)
            } else {
                (Verdict::Harmless, 0.0, HARMLESS_MIN)
            };
            let evidence = Evidence { harmful, harmless, at: now, verdict };
            self.pairs.entry(filler).or_default().insert(serving, evidence);
        }
    }

    /// Forgets the tails of the steps of a job.
    pub fn forget(&mut self, job: id::Job) {
        self.tails.retain(|step, _| step.job != job);
    }
}
