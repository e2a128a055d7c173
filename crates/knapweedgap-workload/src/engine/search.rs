//! What is known of the fleet from searches in vain.
//!
//! Designed for a backlog: many steps wait, and each pass would look at the whole fleet for each of
//! them again. A search in vain excludes all workers for every task of the same kind that needs as
//! much or more. Afterwards only the workers that have changed since, and that may be open for the
//! least of these tasks, are looked at. A pass then costs as much as the fleet has changed, whatever
//! waits.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use knapweedgap_core::{id, size};
use smol_str::SmolStr;

use super::Engine;
use super::fleet::Worker;
use super::place::Plan;
use super::room::Class;
use crate::{packing, throttle};

/// Age above which a search in vain is repeated. The expected interference of an image, on which the
/// exclusion of a worker may depend, changes without a report.
const AGE_MAX: Duration = Duration::from_secs(1);

/// Position in the sequence of changes of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Change(u64);

/// Speed at which a worker is sought.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Speed {
    Full,
    /// The one that the serving tasks tolerate.
    Reduced,
    /// The one that the serving tasks tolerate, or none.
    Any,
}

/// Search that found no worker.
#[derive(Debug, Clone)]
struct Miss {
    size: size::Resources,
    /// First change that the search has not seen.
    next: Change,
    at: Instant,
    /// Workers that reservations kept from the step. They may be open for a step that is earlier in
    /// the order or ends sooner.
    reserved: Vec<id::Worker>,
    /// Expected run time of the task; `None` if it has no expected end.
    duration: Option<Duration>,
}

/// Searches in vain of a class at a speed, and the workers that have changed since.
#[derive(Debug, Default)]
struct Group {
    /// By the image of a best-effort task. The others exclude no worker by their image.
    misses: BTreeMap<SmolStr, Vec<Miss>>,
    /// Workers in the order of their changes; one that has changed again stands there again.
    changes: VecDeque<id::Worker>,
    /// Number of changes that `changes` no longer has.
    dropped: u64,
}

impl Group {
    fn next(&self) -> Change {
        Change(self.dropped + self.changes.len() as u64)
    }

    /// Returns a search in vain for a task or for a smaller one, and the workers that have changed since;
    /// `None` if no such search is known.
    fn changed_since_miss(
        &self,
        image: &str,
        size: &size::Resources,
        now: Instant,
    ) -> Option<(&Miss, Vec<id::Worker>)> {
        let known = self.misses.get(image)?.iter().filter(|miss| {
            miss.is_recent(now) && miss.next.0 >= self.dropped && size.fits(&miss.size)
        });
        let miss = known.max_by_key(|miss| miss.next)?;
        let start = usize::try_from(miss.next.0 - self.dropped).ok()?;
        let workers: Vec<id::Worker> = self.changes.iter().skip(start).cloned().collect();
        Some((miss, workers))
    }

    fn add_miss(&mut self, image: &str, miss: Miss) {
        let misses = self.misses.entry(image.into()).or_default();
        misses.retain(|known| known.is_recent(miss.at) && !known.size.fits(&miss.size));
        misses.push(miss);
    }

    /// Removes outdated searches, and the changes before the last `kept`. Returns the least size that
    /// was sought, in each dimension; `None` if no search is left.
    fn prune(&mut self, kept: usize, now: Instant) -> Option<size::Resources> {
        let surplus = self.changes.len().saturating_sub(kept);
        self.changes.drain(..surplus);
        self.dropped += surplus as u64;
        self.misses.retain(|_, misses| {
            misses.retain(|miss| miss.is_recent(now));
            !misses.is_empty()
        });
        let sizes = self.misses.values().flatten().map(|miss| miss.size);
        sizes.reduce(|one, other| size::Resources {
            processor: one.processor.min(other.processor),
            memory: one.memory.min(other.memory),
            accelerator: one.accelerator.min(other.accelerator),
        })
    }
}

impl Miss {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < AGE_MAX
    }

    /// Returns `true` if a task with an expected run time ends no sooner than the one that was
    /// searched for.
    fn ends_no_later(&self, duration: Option<Duration>) -> bool {
        match (self.duration, duration) {
            (_, None) => true,
            (None, Some(_)) => false,
            (Some(own), Some(other)) => own <= other,
        }
    }
}

/// Searches in vain.
#[derive(Debug, Default)]
pub(super) struct Searches {
    groups: BTreeMap<Class, BTreeMap<Speed, Group>>,
}

/// Workers that a search has to look at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Scope {
    All,
    Some(Vec<id::Worker>),
}

impl Scope {
    /// Returns `true` if no worker takes a task of the step.
    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Scope::Some(workers) if workers.is_empty())
    }
}

impl Plan {
    fn image(&self) -> &str {
        if self.step.best_effort { &self.step.image } else { "" }
    }

    /// Returns `true` if a search for the step excludes no worker for reasons that hold for this step
    /// alone.
    fn is_alike(&self) -> bool {
        self.advice.is_none() && self.step.per_worker == 0 && !self.step.copies
    }
}

impl Engine {
    /// Records which workers have changed.
    pub(super) fn note_changes(&mut self, now: Instant) {
        let mut searches = std::mem::take(&mut self.searches);
        let kept = self.workers.len();
        let mut sought: Vec<(size::Resources, &Class, Speed, &mut Group)> = Vec::new();
        for (class, groups) in &mut searches.groups {
            for (&speed, group) in groups {
                let Some(least) = group.prune(kept, now) else { continue };
                sought.push((least, class, speed, group));
            }
        }
        for (id, worker) in &mut self.workers {
            if !std::mem::take(&mut worker.is_changed) {
                continue;
            }
            for (least, class, speed, group) in &mut sought {
                if may_take(worker, class, *speed, least, now) {
                    group.changes.push_back(id.clone());
                }
            }
        }
        self.searches = searches;
    }

    /// Returns the workers that a search for a task of the step has to look at.
    pub(super) fn scope(&self, plan: &Plan, speed: Speed, now: Instant) -> Scope {
        if plan.advice.is_some() {
            return Scope::All;
        }
        let group = self.searches.groups.get(&plan.class).and_then(|groups| groups.get(&speed));
        let known =
            group.and_then(|group| group.changed_since_miss(plan.image(), &plan.step.size, now));
        let Some((miss, mut workers)) = known else { return Scope::All };
        let is_refuted = miss.reserved.is_empty()
            || (miss.ends_no_later(plan.duration()) && self.is_behind_reservations(plan.id, now));
        if !is_refuted {
            workers.extend(miss.reserved.iter().cloned());
        }
        Scope::Some(workers)
    }

    /// Records that no worker takes a task of the step.
    pub(super) fn note_miss(&mut self, plan: &Plan, speed: Speed, now: Instant) {
        if !plan.is_alike() {
            return;
        }
        let (reserved, duration) = (self.reserved_from(plan, now), plan.duration());
        let groups = self.searches.groups.entry(plan.class.clone()).or_default();
        let group = groups.entry(speed).or_default();
        let (size, next) = (plan.step.size, group.next());
        group.add_miss(plan.image(), Miss { size, next, at: now, reserved, duration });
    }

    /// Returns the workers in a scope that have the service and the label of a step, and a permit if it
    /// needs one.
    pub(super) fn searched_in<'a>(
        &'a self,
        plan: &Plan,
        scope: &Scope,
    ) -> Vec<(&'a id::Worker, &'a Worker)> {
        let Scope::Some(workers) = scope else { return self.searched(plan) };
        let workers = workers.iter().filter_map(|id| self.workers.get_key_value(id));
        workers.filter(|(_, worker)| plan.class.contains(worker)).collect()
    }
}

/// Returns `false` if a worker takes no task of a class that needs `least` or more, whatever image it
/// runs.
fn may_take(
    worker: &Worker,
    class: &Class,
    speed: Speed,
    least: &size::Resources,
    now: Instant,
) -> bool {
    let free = worker.free();
    if !class.is_best_effort() {
        return free.fits(least) && class.contains(worker) && worker.is_open(now);
    }
    let reserved = size::Resources { processor: size::Processor::default(), ..*least };
    let least_slack =
        |slacks: &BTreeMap<SmolStr, f64>| slacks.values().copied().fold(f64::MAX, f64::min);
    let is_tolerated = match speed {
        Speed::Full => {
            let unused_min = packing::unused_processor_min(least.processor).milli();
            worker.unused_processor() >= unused_min
                && worker.over_target_since.is_none()
                && packing::is_slack_sufficient(least_slack(&worker.slack))
        }
        Speed::Reduced => least_slack(&worker.paced_slack) >= throttle::SLACK_LOW,
        Speed::Any => true,
    };
    is_tolerated && free.fits(&reserved) && class.contains(worker) && worker.is_open(now)
}
