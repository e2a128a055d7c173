//! How much images of filling tasks slow down images of serving tasks.
//!
//! Answers a load in which a few pairs of images disturb each other strongly and most do not, by
//! amounts that change within seconds, while the load of the users swings.
//!
//! The model takes a serving task for a queue: its tail latency is inversely proportional to the
//! share of its time in which it is idle. The target divided by the tail, the slack, is then a
//! linear function of the load, and what several filling tasks take of it adds up. The slack that
//! a task would have undisturbed is that of the tasks of its step on workers without filling
//! tasks, so that the load of the step's users cancels out. The effect of each pair is estimated
//! with a Kalman filter that treats pairs as independent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use knapweedgap_core::id;
use smol_str::SmolStr;

use crate::record::Pair;
use crate::task;

/// Age beyond which the tail on another worker is not compared with any more. The load of the
/// users of a step swings within about 14 s.
const TAIL_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Share of the worker's processors, in thousandths, below which a filling task shows no effect.
const SHARE_MIN: u64 = 30;
/// Effect that is expected of a pair of which nothing is known, in slack for each whole worker.
const EFFECT_PRIOR: f64 = 2.0;
/// Variance of that expectation. About half of the pairs take 6 to 15, the others less than 2.
const VARIANCE_PRIOR: f64 = 9.0;
/// Growth of the variance in a second, because effects change within seconds.
const DRIFT: f64 = 0.15;
/// Time in which an effect that is not observed comes half as near to the expectation. Nothing is
/// learned of a pair that is kept apart, so that a mistaken estimate would stay.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Standard deviation of a measured slack, as a share of it and by itself. Tails are rough and in
/// whole milliseconds.
const NOISE_SHARE: f64 = 0.1;
/// Least standard deviation of a measured slack.
const NOISE_MIN: f64 = 0.15;
/// Share of a correction that is applied when less was lost than expected. An effect that rests
/// for a second comes back, and underrating it costs the users more.
const RELIEF: f64 = 0.5;
/// Slack that an undisturbed task has at the least. Serving tasks keep their target while nothing
/// disturbs them, and reports are rough.
const OWN_MIN: f64 = 1.2;
/// Effect from which on a pair counts as harmful, and below which, with its uncertainty, it counts
/// as harmless: half of a worker takes the whole slack of a task under its highest load.
const HARMFUL_MIN: f64 = 3.0;

/// What is known of a pair of images.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Level {
    /// The filling image hardly disturbs the serving one.
    #[display("harmless")]
    Low,
    /// Too little is known.
    #[display("unknown")]
    Unknown,
    /// The filling image disturbs the serving one.
    #[display("harmful")]
    High,
}

/// Slack that the users of a serving task lose to a filling image, for each whole worker of
/// processor time that the filling tasks use.
#[derive(Debug, Clone, Copy)]
struct Effect {
    mean: f64,
    variance: f64,
    at: Instant,
    /// What followed from it when it was last observed.
    level: Level,
}

impl Effect {
    fn unknown(now: Instant) -> Effect {
        let level = Level::Unknown;
        Effect { mean: EFFECT_PRIOR, variance: VARIANCE_PRIOR, at: now, level }
    }

    /// Returns the estimate at a later time without an observation.
    fn aged(self, now: Instant) -> Effect {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let left = 0.5f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        let mean = EFFECT_PRIOR + (self.mean - EFFECT_PRIOR) * left;
        let variance = (self.variance + DRIFT * elapsed).min(VARIANCE_PRIOR);
        Effect { mean, variance, at: now, ..self }
    }

    fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }

    fn judge(&self) -> Level {
        if self.mean >= HARMFUL_MIN {
            return Level::High;
        }
        if self.mean + self.deviation() <= HARMFUL_MIN {
            return Level::Low;
        }
        Level::Unknown
    }
}

/// Change of what is known of a pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Filling image.
    pub best_effort: SmolStr,
    /// Serving image.
    pub serving: SmolStr,
    /// What is known now.
    pub level: Level,
}

/// Filling task beside a serving one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BestEffort {
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

/// Returns the slack of a serving task: its target divided by its tail; `None` while it is not at
/// work. At less than 1 its users wait too long.
pub fn slack(tail: Duration, target: Duration) -> Option<f64> {
    (!tail.is_zero()).then(|| target.as_secs_f64() / tail.as_secs_f64())
}

/// Model of all pairs.
#[derive(Debug, Default)]
pub struct Model {
    /// Effects by filling image, then by serving image.
    pairs: BTreeMap<SmolStr, BTreeMap<SmolStr, Effect>>,
    /// Last slack of the undisturbed tasks of each step on each worker.
    undisturbed: BTreeMap<task::Step, BTreeMap<id::Worker, (f64, Instant)>>,
}

impl Model {
    /// Takes in the tail of a serving task with `fillers` beside it, each of them long enough for
    /// its effect to show; returns the verdicts that change with it.
    pub fn observe(
        &mut self,
        serving: &Serving<'_>,
        fillers: &[BestEffort],
        now: Instant,
    ) -> Vec<Finding> {
        let Some(slack) = slack(serving.tail, serving.target) else { return Vec::new() };
        let shares = shares(fillers);
        if shares.is_empty() {
            let tails = self.undisturbed.entry(serving.step).or_default();
            tails.insert(serving.worker.clone(), (slack, now));
            return Vec::new();
        }
        let own = self.own_slack(serving.step, now);
        let lost = own.unwrap_or(OWN_MIN) - slack;
        if own.is_none() && lost < 0.0 {
            return Vec::new();
        }
        self.learn(serving.image, &shares, lost, slack, now)
    }

    /// Returns the slack of the undisturbed tasks of a step.
    fn own_slack(&self, step: task::Step, now: Instant) -> Option<f64> {
        let fresh = |at: Instant| now.saturating_duration_since(at) <= TAIL_AGE_MAX;
        let tails = self.undisturbed.get(&step)?.values();
        let (mut sum, mut count) = (0.0, 0u32);
        for (slack, at) in tails {
            if !fresh(*at) {
                continue;
            }
            sum += slack;
            count += 1;
        }
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Corrects the effects of the filling images by the slack that was lost beside them.
    fn learn(
        &mut self,
        image: &SmolStr,
        shares: &BTreeMap<&SmolStr, f64>,
        lost: f64,
        slack: f64,
        now: Instant,
    ) -> Vec<Finding> {
        let noise = slack * NOISE_SHARE + NOISE_MIN;
        let mut expected = 0.0;
        let mut variance = noise * noise;
        for (filler, share) in shares {
            let effect = self.effect(filler, image, now);
            expected += effect.mean * share;
            variance += effect.variance * share * share;
        }
        let mut error = lost - expected;
        if error < 0.0 {
            error *= RELIEF;
        }
        let mut findings = Vec::new();
        for (filler, share) in shares {
            let mut effect = self.effect(filler, image, now);
            let gain = effect.variance * share / variance;
            effect.mean = (effect.mean + gain * error).max(0.0);
            effect.variance *= 1.0 - gain * share;
            let level = effect.judge();
            if level != effect.level {
                let (best_effort, serving) = ((*filler).clone(), image.clone());
                findings.push(Finding { best_effort, serving, level });
            }
            effect.level = level;
            let pairs = self.pairs.entry((*filler).clone()).or_default();
            pairs.insert(image.clone(), effect);
        }
        findings
    }

    fn effect(&self, filler: &str, serving: &str, now: Instant) -> Effect {
        let pair = self.pairs.get(filler).and_then(|pairs| pairs.get(serving));
        pair.map_or_else(|| Effect::unknown(now), |effect| effect.aged(now))
    }

    /// Returns the slack that a serving task is expected to lose to a filling image, for each whole
    /// worker of processor time.
    pub fn loss(&self, filler: &str, serving: &str, now: Instant) -> f64 {
        self.effect(filler, serving, now).mean
    }

    /// Returns the same with an allowance for what is not known.
    pub fn conservative_loss(&self, filler: &str, serving: &str, now: Instant) -> f64 {
        let effect = self.effect(filler, serving, now);
        effect.mean + effect.deviation()
    }

    /// Returns what is known of a filling and a serving image.
    pub fn level(&self, filler: &str, serving: &str, now: Instant) -> Level {
        self.effect(filler, serving, now).judge()
    }

    /// Returns the effects of all pairs that were observed.
    pub fn pairs(&self) -> Vec<Pair> {
        let mut known = Vec::new();
        for (filler, pairs) in &self.pairs {
            for (serving, effect) in pairs {
                known.push(Pair(filler.clone(), serving.clone(), effect.mean));
            }
        }
        known
    }

    /// Takes in what an earlier owner knew.
    pub fn restore(&mut self, known: Vec<Pair>, now: Instant) {
        self.pairs.clear();
        for Pair(filler, serving, mean) in known {
            let variance = VARIANCE_PRIOR / 4.0;
            let mut effect = Effect { mean, variance, at: now, level: Level::Unknown };
            effect.level = effect.judge();
            self.pairs.entry(filler).or_default().insert(serving, effect);
        }
    }

    /// Forgets the tails of the steps of a job.
    pub fn forget(&mut self, job: id::Job) {
        self.undisturbed.retain(|step, _| step.job != job);
    }
}

/// Sums up the processor time of each image, as a share of the worker; images with too little to
/// show are left out.
fn shares(fillers: &[BestEffort]) -> BTreeMap<&SmolStr, f64> {
    let mut sums: BTreeMap<&SmolStr, u64> = BTreeMap::new();
    for filler in fillers {
        *sums.entry(&filler.image).or_default() += filler.share;
    }
    let enough = sums.into_iter().filter(|(_, share)| *share >= SHARE_MIN);
    enough.map(|(image, share)| (image, share as f64 / 1_000.0)).collect()
}
