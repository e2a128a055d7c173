//! How much filling images slow down serving images.
//!
//! Answers a load in which a few pairs of images disturb each other strongly and most do not. The
//! tail latency of a serving task is taken as `calm × (1 + Σ coefficient × share)`: `calm` is what
//! its step would show alone, `share` the part of the worker's processors that each filling image
//! uses. The tasks of a step have the same users, so the calm tail is estimated from the reports
//! of other workers, and the coefficients follow by the normalised least-mean-squares rule
//! (Widrow and Hoff, "Adaptive Switching Circuits", 1960).

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::id;
use smol_str::SmolStr;

use crate::task;

/// Step size of the rule. Larger values follow changes within fewer reports and are noisier; on
/// recorded reports 0.2 separated the pairs within about ten.
const STEP: f64 = 0.4;
/// Added to the squared shares, so that small shares do not move a coefficient far.
const REGULARISATION: f64 = 0.01;
/// Coefficient of a pair of which nothing is known; most pairs are below it.
const PRIOR: f64 = 1.0;
/// Largest ratio of a tail to the calm one that is learned from.
const RATIO_MAX: f64 = 8.0;
/// Reports from which on a pair counts as known.
const KNOWN: u32 = 3;
/// Coefficient up to which a known pair counts as harmless.
const HARMLESS: f64 = 2.5;
/// Coefficient from which on a known pair counts as harmful.
const HARMFUL: f64 = 4.0;
/// Age beyond which a report is not compared with any more. The load of the users of a step swings
/// within about 14 s.
const AGE_MAX: Duration = Duration::from_millis(1_500);
/// Serving images that a filling one must be harmless to before it counts as light.
const LIGHT_MIN: usize = 2;

/// Part of a worker's processors that each filling image uses.
pub type Shares = BTreeMap<SmolStr, f64>;

/// Serving task in a report.
#[derive(Debug, Clone, Copy)]
pub struct Serving<'a> {
    /// Step of the task, whose tasks have the same users.
    pub step: task::Step,
    /// Image.
    pub image: &'a SmolStr,
    /// Measured tail latency.
    pub tail: Duration,
}

/// What is known of a pair of images.
#[derive(Debug, Clone, Copy)]
struct Pair {
    coefficient: f64,
    reports: u32,
}

impl Default for Pair {
    fn default() -> Pair {
        Pair { coefficient: PRIOR, reports: 0 }
    }
}

/// Pair that has become harmful or harmless.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Filling image.
    pub filler: SmolStr,
    /// Serving image.
    pub serving: SmolStr,
    /// Coefficient.
    pub coefficient: f64,
}

/// Calm tail of a step as one worker shows it.
#[derive(Debug, Clone, Copy)]
struct Calm {
    seconds: f64,
    at: Instant,
}

/// Model of all pairs.
#[derive(Debug, Default)]
pub struct Model {
    /// Pairs by filling image, then by serving image.
    pairs: BTreeMap<SmolStr, BTreeMap<SmolStr, Pair>>,
    calm: BTreeMap<task::Step, BTreeMap<id::Worker, Calm>>,
}

impl Model {
    /// Takes in the tail of a serving task on a worker with `shares` beside it; returns the pairs
    /// that become harmful or harmless with it.
    pub fn observe(
        &mut self,
        worker: &id::Worker,
        serving: &Serving<'_>,
        shares: &Shares,
        now: Instant,
    ) -> Vec<Finding> {
        let tail = serving.tail.as_secs_f64();
        let expected = self.ratio(serving.image, shares);
        let elsewhere = self.calm_seconds(serving.step, Some(worker), now);
        let calm = Calm { seconds: tail / expected, at: now };
        self.calm.entry(serving.step).or_default().insert(worker.clone(), calm);
        let Some(calm) = elsewhere.filter(|calm| *calm > 0.0) else { return Vec::new() };
        let error = (tail / calm).min(RATIO_MAX) - expected;
        let norm: f64 = shares.values().map(|share| share * share).sum::<f64>() + REGULARISATION;
        let mut findings = Vec::new();
        for (filler, share) in shares {
            let pairs = self.pairs.entry(filler.clone()).or_default();
            let pair = pairs.entry(serving.image.clone()).or_default();
            let before = pair.class();
            pair.coefficient = (pair.coefficient + STEP * error * share / norm).max(0.0);
            pair.reports = pair.reports.saturating_add(1);
            if pair.class() == before {
                continue;
            }
            let (filler, serving) = (filler.clone(), serving.image.clone());
            findings.push(Finding { filler, serving, coefficient: pair.coefficient });
        }
        findings
    }

    /// Returns the expected ratio of the tail to the calm one of a serving image.
    pub fn ratio(&self, serving: &str, shares: &Shares) -> f64 {
        let added = shares.iter().map(|(filler, share)| self.coefficient(filler, serving) * share);
        1.0 + added.sum::<f64>()
    }

    /// Returns the coefficient of a pair.
    pub fn coefficient(&self, filler: &str, serving: &str) -> f64 {
        self.pair(filler, serving).coefficient
    }

    /// Tells whether enough reports were seen of a pair.
    pub fn is_known(&self, filler: &str, serving: &str) -> bool {
        self.pair(filler, serving).reports >= KNOWN
    }

    /// Tells whether an image is known to disturb no serving image.
    pub fn is_light(&self, filler: &str) -> bool {
        let Some(pairs) = self.pairs.get(filler) else { return false };
        let mut known = pairs.values().filter(|pair| pair.reports >= KNOWN);
        let count = known.clone().count();
        count >= LIGHT_MIN && known.all(|pair| pair.coefficient <= HARMLESS)
    }

    /// Returns the tail that a step would show alone, if recent reports tell.
    pub fn calm(&self, step: task::Step, now: Instant) -> Option<Duration> {
        self.calm_seconds(step, None, now).map(Duration::from_secs_f64)
    }

    fn pair(&self, filler: &str, serving: &str) -> Pair {
        let pair = self.pairs.get(filler).and_then(|pairs| pairs.get(serving));
        pair.copied().unwrap_or_default()
    }

    /// Returns the median of the recent calm tails of a step on workers other than `except`.
    fn calm_seconds(
        &self,
        step: task::Step,
        except: Option<&id::Worker>,
        now: Instant,
    ) -> Option<f64> {
        let mut seconds = Vec::new();
        for (worker, calm) in self.calm.get(&step)? {
            let old = now.saturating_duration_since(calm.at) > AGE_MAX;
            if old || Some(worker) == except {
                continue;
            }
            seconds.push(calm.seconds);
        }
        seconds.sort_by(f64::total_cmp);
        seconds.get(seconds.len() / 2).copied()
    }

    /// Forgets the steps that `keep` rejects.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(task::Step) -> bool,
    {
        self.calm.retain(|&step, _| keep(step));
    }
}

/// Class of a pair, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Class {
    Unknown,
    Harmless,
    Middling,
    Harmful,
}

impl Pair {
    fn class(&self) -> Class {
        if self.reports < KNOWN {
            return Class::Unknown;
        }
        if self.coefficient <= HARMLESS {
            return Class::Harmless;
        }
        if self.coefficient >= HARMFUL { Class::Harmful } else { Class::Middling }
    }
}
