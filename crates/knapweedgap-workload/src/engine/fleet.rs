//! Workers in the memory of the engine.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{revision, size};
use smol_str::SmolStr;

use crate::bounds::{self, ORDER_DELAY};
use crate::{order, task, worker};

/// Age of the last report beyond which a worker gets no new tasks: the wait of a look and half a
/// second for its answer.
pub(crate) const REPORT_AGE_MAX: Duration = Duration::from_millis(1_600);

/// Time without new tasks after the first failed run, while no other run has ended well.
const FAILURE_BACKOFF: Duration = Duration::from_millis(1_500);
/// Time without new tasks after repeated failed runs; about the length of the faults that the
/// users list.
const QUARANTINE_DURATION: Duration = Duration::from_secs(6);
/// Failed runs without one that ended well that lead to a quarantine.
const FAILURES_MAX: u32 = 2;

/// What a run takes of its worker.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) run: revision::Run,
    pub(crate) size: size::Resources,
    pub(crate) fills: bool,
    /// Bound on the tail latency, for a task that serves users.
    pub(crate) tail_target: Option<Duration>,
    /// Last measured tail latency.
    pub(crate) tail: Option<Duration>,
    pub(crate) lasting: bool,
    pub(crate) image: SmolStr,
    /// When it was placed.
    pub(crate) since: Instant,
    /// Share of its speed that was ordered, in percent.
    pub(crate) speed: u32,
}

impl Load {
    /// Returns the processor time that the task is expected to use, in thousandths of a core.
    fn expected_use(&self) -> u64 {
        let declared = self.size.processor.milli();
        if self.tail_target.is_some() { declared * SERVING_USE / 100 } else { declared }
    }
}

/// Part of its reserved processor time that a serving task is expected to use, in percent. Filling
/// tasks were seen to get their declared time up to this figure.
const SERVING_USE: u64 = 35;

/// Run that nobody asked for, or that is not needed any more. It takes capacity until it is known
/// to be absent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Surplus {
    /// When it is stopped again.
    pub(crate) stop_at: Instant,
    pub(crate) proof: Proof,
}

/// Report that proves a run absent by not listing it. An earlier one may lack a run whose start
/// was carried out late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Proof {
    /// One that was asked for after this time.
    RequestedAfter(Instant),
    /// One that was asked for with this fencing token, after which the worker refuses the start.
    Fence(revision::Fence),
}

impl Proof {
    /// Tells whether a report is the proof that was asked for at `sent` with `fence`.
    pub(crate) fn is_met(self, sent: Instant, fence: revision::Fence) -> bool {
        match self {
            Proof::RequestedAfter(at) => at < sent,
            Proof::Fence(least) => fence >= least,
        }
    }
}

/// Reading of the clock of a worker.
#[derive(Debug, Clone, Copy)]
struct Anchor {
    clock: worker::Clock,
    at: Instant,
}

/// Worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) listed: worker::Listed,
    /// The platform lists it.
    pub(crate) is_listed: bool,
    /// The caller looks at it in a loop.
    pub(crate) is_polled: bool,
    pub(crate) fence: revision::Fence,
    anchor: Option<Anchor>,
    /// When the last report arrived.
    pub(crate) last_report: Option<Instant>,
    /// A call was not answered since the last answered look.
    pub(crate) is_suspect: bool,
    /// Every lease that was granted has ended at this time, unless a later one is granted.
    pub(crate) lease_expiry: Instant,
    /// The lapse was noted.
    pub(crate) lease_expired: bool,
    /// Ends up to this one are recorded in the store.
    pub(crate) acknowledged: revision::End,
    /// Ends that were taken in, with the generation of the log that records them, if any does.
    pub(crate) pending: BTreeMap<revision::End, Option<u64>>,
    /// Everything that occupies the worker.
    pub(crate) loads: BTreeMap<task::Id, Load>,
    pub(crate) used: size::Resources,
    /// Images of the serving tasks, with their numbers.
    pub(crate) serving_images: BTreeMap<SmolStr, u32>,
    /// Images of the filling tasks, with their numbers.
    pub(crate) best_effort_images: BTreeMap<SmolStr, u32>,
    expected_use: u64,
    pub(crate) best_effort_processor: size::Processor,
    pub(crate) surplus_runs: BTreeMap<(task::Id, revision::Run), Surplus>,
    /// The platform's list has described this life. Before that the capacity is the one of the
    /// former life, and a worker may start again with another.
    pub(crate) is_described: bool,
    failed_in_row: u32,
    closed_until: Option<Instant>,
    /// Closed for maintenance.
    pub(crate) maintenance: bool,
    /// Slack that the tasks of each serving image are expected to have when all filling tasks show
    /// their effect.
    pub(crate) slack: BTreeMap<SmolStr, f64>,
    /// Reports until then may still show filling tasks that have left.
    pub(crate) settling_until: Option<Instant>,
    /// When a tail was first seen above its target.
    pub(crate) over_target_since: Option<Instant>,
    pub(crate) speed_changed_at: Option<Instant>,
}

impl Worker {
    pub(crate) fn new(listed: worker::Listed, fence: revision::Fence, lease_expiry: Instant) -> Worker {
        Worker {
            listed,
            is_listed: true,
            is_polled: false,
            fence,
            anchor: None,
            last_report: None,
            is_suspect: false,
            lease_expiry,
            lease_expired: false,
            acknowledged: revision::End::default(),
            pending: BTreeMap::new(),
            loads: BTreeMap::new(),
            used: size::Resources::default(),
            serving_images: BTreeMap::new(),
            best_effort_images: BTreeMap::new(),
            expected_use: 0,
            best_effort_processor: size::Processor::default(),
            surplus_runs: BTreeMap::new(),
            is_described: true,
            failed_in_row: 0,
            closed_until: None,
            maintenance: false,
            slack: BTreeMap::new(),
            settling_until: None,
            over_target_since: None,
            speed_changed_at: None,
        }
    }

    pub(crate) fn target(&self) -> order::Target {
        order::Target {
            worker: self.listed.id.clone(),
            incarnation: self.listed.incarnation,
            address: self.listed.address,
        }
    }

    /// Raises the fencing token: after the next look the worker refuses all starts sent before.
    pub(crate) fn raise_fence(&mut self) -> revision::Fence {
        self.fence = revision::Fence::new(self.fence.get() + 1);
        self.fence
    }

    /// Estimates the clock of the worker.
    pub(crate) fn clock(&self, now: Instant) -> Option<worker::Clock> {
        let anchor = self.anchor?;
        Some(anchor.clock.after(now.saturating_duration_since(anchor.at)))
    }

    /// Takes in a reading of the clock from an answer that arrived at `now`.
    pub(crate) fn record_clock(&mut self, clock: worker::Clock, now: Instant) {
        let newer = self.anchor.is_none_or(|anchor| anchor.clock <= clock);
        if newer {
            self.anchor = Some(Anchor { clock, at: now });
        }
    }

    /// Grants a lease of `lease` from `now` and returns its end on the clock of the worker.
    pub(crate) fn grant(&mut self, lease: Duration, now: Instant) -> Option<worker::Clock> {
        let clock = self.clock(now)?;
        self.lease_expiry = self.lease_expiry.max(now + bounds::drifted(lease) + ORDER_DELAY);
        self.lease_expired = false;
        Some(clock.after(lease))
    }

    pub(crate) fn report_age(&self, now: Instant) -> Duration {
        self.last_report.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Tells whether new tasks may be placed.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        let closed = self.closed_until.is_some_and(|until| now < until);
        self.is_listed
            && self.is_described
            && !self.listed.draining
            && !self.is_suspect
            && !self.maintenance
            && !closed
            && self.report_age(now) <= REPORT_AGE_MAX
    }

    pub(crate) fn free(&self) -> size::Resources {
        self.listed.capacity - self.used
    }

    /// Processor time that the tasks are expected to leave unused.
    pub(crate) fn leftover(&self) -> u64 {
        self.listed.capacity.processor.milli().saturating_sub(self.expected_use)
    }

    /// Processor time that the lasting tasks are expected to leave unused.
    pub(crate) fn left_by_long_running(&self) -> u64 {
        let lasting = self.loads.values().filter(|load| load.lasting);
        let used = lasting.map(Load::expected_use).sum();
        self.listed.capacity.processor.milli().saturating_sub(used)
    }

    /// Returns the runs that occupy the worker.
    pub(crate) fn runs(&self) -> Vec<(task::Id, revision::Run)> {
        self.loads.iter().map(|(&task, load)| (task, load.run)).collect()
    }

    /// Returns processor time as a share of that of the worker.
    pub(crate) fn share_of(&self, processor: size::Processor) -> f64 {
        processor.milli() as f64 / self.listed.capacity.processor.milli().max(1) as f64
    }

    pub(crate) fn serves_users(&self) -> bool {
        !self.serving_images.is_empty()
    }

    pub(crate) fn reserve(&mut self, task: task::Id, load: Load) {
        self.release(task);
        self.used += reserved(&load);
        self.expected_use += load.expected_use();
        if load.tail_target.is_some() {
            *self.serving_images.entry(load.image.clone()).or_default() += 1;
        }
        if load.fills {
            *self.best_effort_images.entry(load.image.clone()).or_default() += 1;
            self.best_effort_processor = add(self.best_effort_processor, load.size.processor);
        }
        self.loads.insert(task, load);
    }

    pub(crate) fn release(&mut self, task: task::Id) -> Option<Load> {
        let load = self.loads.remove(&task)?;
        self.used -= reserved(&load);
        self.expected_use = self.expected_use.saturating_sub(load.expected_use());
        if load.tail_target.is_some() {
            count_down(&mut self.serving_images, &load.image);
        }
        if load.fills {
            count_down(&mut self.best_effort_images, &load.image);
            let left = self.best_effort_processor.milli().saturating_sub(load.size.processor.milli());
            self.best_effort_processor = size::Processor::from_milli(left);
        }
        Some(load)
    }

    /// Moves the acknowledged end past those that the first `stored` generations record.
    pub(crate) fn acknowledge(&mut self, stored: u64) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.get().is_some_and(|generation| generation >= stored) {
                return;
            }
            self.acknowledged = self.acknowledged.max(*entry.key());
            entry.remove();
        }
    }

    pub(crate) fn run_succeeded(&mut self) {
        self.failed_in_row = 0;
        self.closed_until = None;
    }

    pub(crate) fn run_failed(&mut self, now: Instant) {
        self.failed_in_row += 1;
        let pause = if self.failed_in_row >= FAILURES_MAX { QUARANTINE_DURATION } else { FAILURE_BACKOFF };
        self.closed_until = Some(now + pause);
    }

    /// Closes the worker for new tasks after a run that made no progress.
    pub(crate) fn run_hung(&mut self, now: Instant) {
        self.failed_in_row = FAILURES_MAX;
        self.closed_until = Some(now + QUARANTINE_DURATION);
    }
}

/// What a load takes of the capacity that must not be exceeded.
fn reserved(load: &Load) -> size::Resources {
    if !load.fills {
        return load.size;
    }
    size::Resources { processor: size::Processor::default(), ..load.size }
}

fn add(one: size::Processor, other: size::Processor) -> size::Processor {
    size::Processor::from_milli(one.milli().saturating_add(other.milli()))
}

fn count_down(images: &mut BTreeMap<SmolStr, u32>, image: &SmolStr) {
    let Some(count) = images.get_mut(image) else { return };
    *count -= 1;
    if *count == 0 {
        images.remove(image);
    }
}
