//! Interference of best-effort images with serving images.
//!
//! Designed for a load in which a few pairs of images interfere strongly and most do not. The
//! strength changes within seconds, while the load of the users fluctuates.
//!
//! The model treats a serving task as a queue: its tail latency is inversely proportional to the
//! share of its time in which it is idle. The slack, which is the target divided by the tail
//! latency, is therefore linear in the load, and the losses to several best-effort tasks add up.
//! The uncontended slack of a task is taken from the tasks of its step on workers without
//! best-effort tasks, so that the load of the step's users cancels out. The effect of each pair is
//! estimated with a Kalman filter that treats pairs as independent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use derive_more::Display;
use knapweedgap_core::{id, size};
use smol_str::SmolStr;

use crate::record::{self, Pair};
use crate::task;

/// Age above which the uncontended slack of another worker is ignored. The load of the users of a
/// step fluctuates within about 14 s.
const SLACK_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Share of the worker's processors, in thousandths, below which a best-effort task shows no
/// effect.
const SHARE_MIN: u64 = 30;
/// Expected effect of an unobserved pair, in slack per whole worker.
const EFFECT_PRIOR: f64 = 2.0;
/// Variance of the expected effect of an unobserved pair. The effect of about half of the pairs is
/// 6 to 15, that of the others less than 2.
const VARIANCE_PRIOR: f64 = 9.0;
/// Growth of the variance per second, because effects change within seconds.
const DRIFT: f64 = 0.15;
/// Time in which the estimate of an unobserved effect moves half of the way to the prior. A pair
/// that is kept apart yields no observations, so a wrong estimate would otherwise persist.
const HALF_LIFE: Duration = Duration::from_secs(20);
/// Relative part of the standard deviation of a measured slack. Reported tail latencies are
/// imprecise and in whole milliseconds.
const NOISE_SHARE: f64 = 0.1;
/// Constant part of the standard deviation of a measured slack.
const NOISE_MIN: f64 = 0.15;
/// Share of a correction that is applied when the loss is smaller than expected. An effect that
/// disappears for a second returns, and an underestimate costs the users more latency.
const DECREASE_GAIN: f64 = 0.5;
/// Least slack assumed of a task without a measured uncontended slack. Uncontended serving tasks
/// meet their target, and reports are imprecise.
const UNCONTENDED_SLACK_MIN: f64 = 1.2;
/// Effect at or above which the level is high. At this effect a best-effort task on half of a
/// worker consumes the whole slack of a serving task under its highest load. The level is low when
/// the effect plus its standard deviation is at most this value.
const HIGH_MIN: f64 = 3.0;

/// Most pairs of images that are kept. The effects of others return to the prior in the meantime.
const PAIRS_MAX: usize = 2_048;

/// Level of interference of a pair of images.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Level {
    /// The best-effort image has little effect on the serving image.
    #[display("harmless")]
    Low,
    /// The estimate is too uncertain.
    #[display("unknown")]
    Unknown,
    /// The best-effort image interferes with the serving image.
    #[display("harmful")]
    High,
}

/// Estimated loss of slack of a serving image to a best-effort image, per whole worker of processor
/// time that the best-effort tasks use.
#[derive(Debug, Clone, Copy)]
struct Effect {
    mean: f64,
    variance: f64,
    at: Instant,
    /// Level at the last observation.
    level: Level,
}

impl Effect {
    /// Returns the prior of an unobserved pair.
    fn prior(now: Instant) -> Effect {
        let level = Level::Unknown;
        Effect { mean: EFFECT_PRIOR, variance: VARIANCE_PRIOR, at: now, level }
    }

    /// Returns the estimate at a later time without an observation.
    fn aged(self, now: Instant) -> Effect {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        let remaining = 0.5f64.powf(elapsed / HALF_LIFE.as_secs_f64());
        let mean = EFFECT_PRIOR + (self.mean - EFFECT_PRIOR) * remaining;
        let variance = (self.variance + DRIFT * elapsed).min(VARIANCE_PRIOR);
        Effect { mean, variance, at: now, ..self }
    }

    fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }

    fn assess(&self) -> Level {
        if self.mean >= HIGH_MIN {
            return Level::High;
        }
        if self.mean + self.deviation() <= HIGH_MIN {
            return Level::Low;
        }
        Level::Unknown
    }
}

/// Change of the level of a pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Best-effort image.
    pub best_effort: SmolStr,
    /// Serving image.
    pub serving: SmolStr,
    /// Level after the change.
    pub level: Level,
}

/// Best-effort task on the worker of a serving task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BestEffort {
    /// Name of the image that the task runs.
    pub image: SmolStr,
    /// Processor time at its current speed, in thousandths of that of the worker.
    pub share: u64,
}

/// Serving task in a report.
#[derive(Debug, Clone, Copy)]
pub struct Serving<'a> {
    /// Step of the task. All tasks of a step have the same users.
    pub step: task::Step,
    /// Worker on which the task runs.
    pub worker: &'a id::Worker,
    /// Name of the image that the task runs.
    pub image: &'a SmolStr,
    /// Measured tail latency; zero while the task serves no requests.
    pub tail: Duration,
    /// Bound on the tail latency, which the task meets while it is uncontended.
    pub target: Duration,
}

/// Returns the slack of a serving task, which is its target divided by its tail latency, or `None`
/// while the tail latency is zero because the task serves no requests. A slack below 1 means that
/// the target is missed.
pub fn slack(tail: Duration, target: Duration) -> Option<f64> {
    (!tail.is_zero()).then(|| target.as_secs_f64() / tail.as_secs_f64())
}

/// Model of the interference of all pairs of images.
#[derive(Debug, Default)]
pub struct Model {
    /// Effects by best-effort image, then by serving image.
    effects: BTreeMap<SmolStr, BTreeMap<SmolStr, Effect>>,
    /// Last slack of the uncontended tasks of each step, by worker.
    uncontended: BTreeMap<task::Step, BTreeMap<id::Worker, (f64, Instant)>>,
}

impl Model {
    /// Updates the model with the tail latency of a serving task and returns the levels that
    /// change. `best_effort` holds the best-effort tasks on the same worker; each of them must have
    /// run long enough for its effect to be visible in the report.
    pub fn observe(
        &mut self,
        serving: &Serving<'_>,
        best_effort: &[BestEffort],
        now: Instant,
    ) -> Vec<Finding> {
        let Some(slack) = slack(serving.tail, serving.target) else { return Vec::new() };
        let shares = shares(best_effort);
        if shares.is_empty() {
            let slacks = self.uncontended.entry(serving.step).or_default();
            slacks.insert(serving.worker.clone(), (slack, now));
            return Vec::new();
        }
        let uncontended = self.uncontended_slack(serving.step, now);
        let lost = uncontended.unwrap_or(UNCONTENDED_SLACK_MIN) - slack;
        if uncontended.is_none() && lost < 0.0 {
            return Vec::new();
        }
        self.learn(serving.image, &shares, lost, slack, now)
    }

    /// Returns the mean slack of the uncontended tasks of a step, or `None` without a recent
    /// measurement.
    fn uncontended_slack(&self, step: task::Step, now: Instant) -> Option<f64> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= SLACK_AGE_MAX;
        let slacks = self.uncontended.get(&step)?.values();
        let (mut sum, mut count) = (0.0, 0u32);
        for (slack, at) in slacks {
            if !is_recent(*at) {
                continue;
            }
            sum += slack;
            count += 1;
        }
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Corrects the effects of the best-effort images on a serving image by the lost slack.
    fn learn(
        &mut self,
        serving: &SmolStr,
        shares: &BTreeMap<&SmolStr, f64>,
        lost: f64,
        slack: f64,
        now: Instant,
    ) -> Vec<Finding> {
        let noise = slack * NOISE_SHARE + NOISE_MIN;
        let mut expected = 0.0;
        let mut variance = noise * noise;
        for (best_effort, share) in shares {
            let effect = self.effect(best_effort, serving, now);
            expected += effect.mean * share;
            variance += effect.variance * share * share;
        }
        let mut innovation = lost - expected;
        if innovation < 0.0 {
            innovation *= DECREASE_GAIN;
        }
        let mut findings = Vec::new();
        for (best_effort, share) in shares {
            let mut effect = self.effect(best_effort, serving, now);
            let gain = effect.variance * share / variance;
            effect.mean = (effect.mean + gain * innovation).max(0.0);
            effect.variance *= 1.0 - gain * share;
            let level = effect.assess();
            if level != effect.level {
                let (best_effort, serving) = ((*best_effort).clone(), serving.clone());
                findings.push(Finding { best_effort, serving, level });
            }
            effect.level = level;
            let effects = self.effects.entry((*best_effort).clone()).or_default();
            effects.insert(serving.clone(), effect);
        }
        findings
    }

    fn effect(&self, best_effort: &str, serving: &str, now: Instant) -> Effect {
        let effect = self.effects.get(best_effort).and_then(|effects| effects.get(serving));
        effect.map_or_else(|| Effect::prior(now), |effect| effect.aged(now))
    }

    /// Returns the slack that a serving image is expected to lose to a best-effort image, per whole
    /// worker of processor time.
    pub fn loss(&self, best_effort: &str, serving: &str, now: Instant) -> f64 {
        self.effect(best_effort, serving, now).mean
    }

    /// Returns the expected loss plus its standard deviation, per whole worker of processor time.
    pub fn conservative_loss(&self, best_effort: &str, serving: &str, now: Instant) -> f64 {
        let effect = self.effect(best_effort, serving, now);
        effect.mean + effect.deviation()
    }

    /// Returns the level of interference of a best-effort image with a serving image at `now`.
    pub fn level(&self, best_effort: &str, serving: &str, now: Instant) -> Level {
        self.effect(best_effort, serving, now).assess()
    }

    /// Returns the last estimated effects of all observed pairs, for [`Model::restore`].
    pub fn pairs(&self) -> Vec<Pair> {
        let mut pairs = Vec::new();
        for (best_effort, effects) in &self.effects {
            for (serving, effect) in effects {
                pairs.push(Pair(best_effort.clone(), serving.clone(), effect.mean));
            }
        }
        pairs
    }

    /// Removes the pairs that were observed longest ago until the record of all pairs fits a value of
    /// `value_max`, and until at most [`PAIRS_MAX`] are left.
    pub fn prune(&mut self, value_max: size::Bytes) {
        let room = value_max.get().saturating_sub(record::FRAME_LEN_MAX);
        let mut pairs = Vec::new();
        for (best_effort, effects) in &self.effects {
            for (serving, effect) in effects {
                let pair = Pair(best_effort.clone(), serving.clone(), effect.mean);
                pairs.push((effect.at, record::encoded_size(&pair).get(), pair));
            }
        }
        pairs.sort_by_key(|(at, ..)| std::cmp::Reverse(*at));
        let mut bytes = 0;
        for (position, (_, size, Pair(best_effort, serving, _))) in pairs.into_iter().enumerate() {
            bytes += size;
            if position < PAIRS_MAX && bytes <= room {
                continue;
            }
            let Some(effects) = self.effects.get_mut(&best_effort) else { continue };
            effects.remove(&serving);
            if effects.is_empty() {
                self.effects.remove(&best_effort);
            }
        }
    }

    /// Replaces all effects by those that an earlier owner stored.
    pub fn restore(&mut self, pairs: Vec<Pair>, now: Instant) {
        self.effects.clear();
        for Pair(best_effort, serving, mean) in pairs {
            let variance = VARIANCE_PRIOR / 4.0;
            let mut effect = Effect { mean, variance, at: now, level: Level::Unknown };
            effect.level = effect.assess();
            self.effects.entry(best_effort).or_default().insert(serving, effect);
        }
    }

    /// Removes the uncontended slacks of the steps of a job.
    pub fn remove_job(&mut self, job: id::Job) {
        self.uncontended.retain(|step, _| step.job != job);
    }
}

/// Sums up the processor time of each image, as a share of the worker. Omits images below
/// [`SHARE_MIN`].
fn shares(best_effort: &[BestEffort]) -> BTreeMap<&SmolStr, f64> {
    let mut sums: BTreeMap<&SmolStr, u64> = BTreeMap::new();
    for task in best_effort {
        *sums.entry(&task.image).or_default() += task.share;
    }
    let sufficient = sums.into_iter().filter(|(_, share)| *share >= SHARE_MIN);
    sufficient.map(|(image, share)| (image, share as f64 / 1_000.0)).collect()
}
