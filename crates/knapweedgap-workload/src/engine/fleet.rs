//! State of workers in the engine: leases, reserved capacity and reports.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knapweedgap_core::{revision, size};
use smol_str::SmolStr;

use super::suspicion::Suspicion;
use crate::bounds::{self, ORDER_DELAY};
use crate::exclusion::Exclusion;
use crate::{order, task, worker};

/// Age of the last report above which a worker gets no new tasks: the longest wait of a poll, plus
/// about half a second for its answer.
pub(crate) const REPORT_AGE_MAX: Duration = Duration::from_millis(1_600);

/// Speed below which a best-effort run is slow, in percent. It is evicted if it interferes or stays
/// slow, and another worker takes it.
pub(crate) const EVICTION_SPEED_PERCENT: u32 = 30;

/// Demand of a run on its worker.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) run: revision::Run,
    pub(crate) size: size::Resources,
    pub(crate) best_effort: bool,
    /// Bound on the tail latency; `None` if the task does not serve users.
    pub(crate) tail_target: Option<Duration>,
    /// Tail latency in the last report; `None` if it had none.
    pub(crate) tail: Option<Duration>,
    pub(crate) long_running: bool,
    pub(crate) image: SmolStr,
    /// When the run was placed, or when this owner found it.
    pub(crate) since: Instant,
    /// Declared run time; zero if it is unknown.
    pub(crate) estimate: Duration,
    /// Last ordered speed in percent.
    pub(crate) speed: u32,
    pub(crate) confirmation: Confirmation,
    /// When another worker is looked for, because the run is slow; `None` while it is not.
    pub(crate) evict_at: Option<Instant>,
}

/// What is known of the speed of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Confirmation {
    /// It has the last ordered speed.
    Ordered,
    /// The last order has failed, so it may have an earlier speed.
    Failed,
    /// An earlier owner may have ordered any speed.
    Inherited,
}

impl Load {
    /// Returns `true` if the run is best-effort and suspended or slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.best_effort && self.speed < EVICTION_SPEED_PERCENT
    }

    /// Returns the capacity that the run reserves. The processor time of a best-effort task is not
    /// reserved.
    pub(crate) fn reserved(&self) -> size::Resources {
        if !self.best_effort {
            return self.size;
        }
        size::Resources { processor: size::Processor::default(), ..self.size }
    }

    /// Returns the processor time that the task is expected to use, in thousandths of a core.
    fn expected_use(&self) -> u64 {
        let declared = self.size.processor.milli();
        if self.tail_target.is_some() { declared * SERVING_USE_PERCENT / 100 } else { declared }
    }

    /// Returns the same for a long-running task, and 0 for others.
    fn long_running_use(&self) -> u64 {
        if self.long_running { self.expected_use() } else { 0 }
    }
}

/// Share of its reserved processor time that a serving task is expected to use, in percent. While
/// serving tasks use no more, best-effort tasks get their declared processor time.
const SERVING_USE_PERCENT: u64 = 35;

/// Run that is not the current run of its task. Its capacity stays reserved until a report proves
/// that the run does not exist.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Surplus {
    /// When the next stop is sent.
    pub(crate) stop_at: Instant,
    /// Proof that counts until the first stop is sent; `None` afterwards.
    unstopped: Option<Proof>,
    /// When the worker first answered a stop.
    answered: Option<Instant>,
}

impl Surplus {
    /// Creates a run whose first stop is sent at `now`.
    pub(crate) fn new(proof: Proof, now: Instant) -> Surplus {
        Surplus { stop_at: now, unstopped: Some(proof), answered: None }
    }

    /// Creates a run whose stop was sent before, and first answered at `answered`.
    pub(crate) fn stopping(answered: Option<Instant>, now: Instant) -> Surplus {
        Surplus { stop_at: now, unstopped: None, answered }
    }

    /// Notes that a stop is sent, and when it is sent again.
    pub(crate) fn stop_sent(&mut self, again_at: Instant) {
        self.stop_at = again_at;
        self.unstopped = None;
    }

    pub(crate) fn stop_answered(&mut self, now: Instant) {
        self.answered.get_or_insert(now);
    }

    /// Returns the condition under which a report that does not list the run proves that it does not
    /// exist; `None` if no report does.
    pub(crate) fn proof_of_end(&self) -> Option<Proof> {
        self.answered.map(Proof::after_stop).or(self.unstopped)
    }
}

/// Longest time from the answer to a stop until a report lists the end of the run. The platform's
/// limits are below a second.
const STOP_DURATION_MAX: Duration = Duration::from_secs(2);

/// Condition under which a report that does not list a run proves that the run does not exist. A
/// report that does not meet it may precede a late start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Proof {
    /// The report was requested after this time.
    RequestedAfter(Instant),
    /// The report was requested with at least this fencing token, after which the worker refuses
    /// the start.
    Fence(revision::Fence),
}

impl Proof {
    /// Returns the condition for a run whose stop was first answered at `answered`: a worker may
    /// leave it out of its reports while it shuts down.
    pub(crate) fn after_stop(answered: Instant) -> Proof {
        Proof::RequestedAfter(answered + STOP_DURATION_MAX)
    }

    /// Returns `true` if a report that was requested at `sent` with `fence` meets the condition.
    pub(crate) fn is_met(self, sent: Instant, fence: revision::Fence) -> bool {
        match self {
            Proof::RequestedAfter(at) => at < sent,
            Proof::Fence(least) => fence >= least,
        }
    }
}

/// Reading of the clock of a worker, and when it arrived.
#[derive(Debug, Clone, Copy)]
struct Reading {
    clock: worker::Clock,
    at: Instant,
}

/// Lease end beyond the longest lease that was granted because a reading of the clock was too high.
#[derive(Debug, Clone, Copy)]
struct Excess {
    /// Fencing token that was raised then. Once the worker has seen it, it refuses the orders that
    /// were sent before.
    fence: revision::Fence,
    /// Latest end of a lease that was granted since; `None` before the first one.
    granted: Option<worker::Clock>,
}

/// Entry for another incarnation than the known one.
#[derive(Debug, Clone)]
pub(crate) struct Announced {
    pub(crate) listed: worker::Listed,
    /// When the entry was read.
    pub(crate) at: Instant,
}

/// Worker that the platform lists, or that may still have tasks or an unexpired lease.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Last entry in the platform's list, with the current incarnation.
    pub(crate) listed: worker::Listed,
    /// The platform's list contains the worker.
    pub(crate) is_listed: bool,
    /// A report has said that the worker leaves, which a listed entry may precede.
    pub(crate) has_reported_drain: bool,
    /// Its state has changed since the changes were last recorded, so that it may take a task that it
    /// did not take before.
    pub(crate) is_changed: bool,
    /// The caller polls it in a loop.
    pub(crate) is_polled: bool,
    /// Fencing token that orders to the worker carry.
    pub(crate) fence: revision::Fence,
    reading: Option<Reading>,
    /// Latest end of a granted lease, on the clock of the worker; `None` before the first grant.
    granted: Option<worker::Clock>,
    /// `granted` was beyond the longest lease.
    excess: Option<Excess>,
    /// When the last report arrived.
    pub(crate) last_report: Option<Instant>,
    /// A call has failed since the last answered poll.
    pub(crate) is_suspect: bool,
    /// When that call failed; `None` before the first one.
    pub(crate) suspect_since: Option<Instant>,
    /// Time at which all granted leases have ended.
    pub(crate) lease_expiry: Instant,
    /// `lease_expiry` is the bound on the leases of earlier owners: this incarnation has not
    /// answered this owner yet.
    pub(crate) is_expiry_inherited: bool,
    /// A former incarnation had the same id, and no poll of this one was answered yet. Late polls to
    /// the former one grant leases on a clock that this one does not have.
    pub(crate) is_successor: bool,
    /// The expiry of the lease has been handled.
    pub(crate) lease_expired: bool,
    /// End up to which all ended runs are handled and stored.
    pub(crate) acknowledged: revision::End,
    /// Handled ended runs above `acknowledged`, with the generation of the log after which all earlier
    /// changes of their job are stored; `None` if they were stored when the end was handled.
    pub(crate) pending: BTreeMap<revision::End, Option<u64>>,
    /// Runs that have capacity reserved, including surplus runs.
    pub(crate) loads: BTreeMap<task::Id, Load>,
    pub(crate) used: size::Resources,
    /// Images of the serving tasks, with the number of tasks.
    pub(crate) serving_images: BTreeMap<SmolStr, u32>,
    /// Images of the best-effort tasks, with the number of tasks.
    pub(crate) best_effort_images: BTreeMap<SmolStr, u32>,
    /// Processor time that the tasks are expected to use, in thousandths of a core.
    expected_use: u64,
    /// The part of it that long-running tasks use.
    long_running_use: u64,
    /// Declared processor time of the best-effort tasks.
    pub(crate) best_effort_processor: size::Processor,
    pub(crate) surplus_runs: BTreeMap<(task::Id, revision::Run), Surplus>,
    /// Entry in the platform's list for another incarnation, which the worker has not answered as.
    pub(crate) announced: Option<Announced>,
    /// The platform has listed this incarnation. Before that, the known capacity is that of the
    /// former incarnation, from which it may differ.
    pub(crate) is_described: bool,
    pub(crate) suspicion: Suspicion,
    /// The worker gets no new tasks because of maintenance of its VM.
    pub(crate) in_maintenance: bool,
    /// Until then the worker is slow, because it has started lately; `None` if it is not.
    pub(crate) slow_until: Option<Instant>,
    /// Operators evacuate its availability zone.
    pub(crate) is_evacuated: bool,
    /// Slack that the tasks of each serving image are expected to have once all best-effort tasks
    /// run at full speed and their interference is visible in reports.
    pub(crate) slack: BTreeMap<SmolStr, f64>,
    /// The same at the ordered speeds of the best-effort tasks.
    pub(crate) paced_slack: BTreeMap<SmolStr, f64>,
    /// Until then, reports may still show the interference of best-effort tasks that have ended.
    pub(crate) settling_until: Option<Instant>,
    /// When a tail latency rose above its target; `None` again once every slack is above
    /// [`crate::throttle::SLACK_LOW`].
    pub(crate) over_target_since: Option<Instant>,
    pub(crate) speed_changed_at: Option<Instant>,
    /// Until then, a run that was evicted elsewhere is expected here.
    pub(crate) arrival_until: Option<Instant>,
}

impl Worker {
    pub(crate) fn new(
        listed: worker::Listed,
        fence: revision::Fence,
        lease_expiry: Instant,
    ) -> Worker {
        Worker {
            listed,
            is_listed: true,
            has_reported_drain: false,
            is_changed: true,
            is_polled: false,
            fence,
            reading: None,
            granted: None,
            excess: None,
            last_report: None,
            is_suspect: false,
            suspect_since: None,
            lease_expiry,
            is_expiry_inherited: false,
            is_successor: false,
            lease_expired: false,
            acknowledged: revision::End::default(),
            pending: BTreeMap::new(),
            loads: BTreeMap::new(),
            used: size::Resources::default(),
            serving_images: BTreeMap::new(),
            best_effort_images: BTreeMap::new(),
            expected_use: 0,
            long_running_use: 0,
            best_effort_processor: size::Processor::default(),
            surplus_runs: BTreeMap::new(),
            announced: None,
            is_described: true,
            suspicion: Suspicion::default(),
            in_maintenance: false,
            slow_until: None,
            is_evacuated: false,
            slack: BTreeMap::new(),
            paced_slack: BTreeMap::new(),
            settling_until: None,
            over_target_since: None,
            speed_changed_at: None,
            arrival_until: None,
        }
    }

    pub(crate) fn target(&self) -> order::Target {
        order::Target {
            worker: self.listed.id.clone(),
            incarnation: self.listed.incarnation,
            address: self.listed.address,
        }
    }

    /// Returns the target of the next poll. A worker that does not answer at its known address may
    /// have restarted at the listed one.
    pub(crate) fn poll_target(&self) -> order::Target {
        let mut target = self.target();
        if let Some(announced) = &self.announced
            && self.is_suspect
        {
            target.address = announced.listed.address;
        }
        target
    }

    /// Returns `true` if the platform lists a later incarnation, so that the worker may have
    /// restarted.
    pub(crate) fn may_have_restarted(&self) -> bool {
        let announced = self.announced.as_ref();
        announced.is_some_and(|later| later.listed.incarnation > self.listed.incarnation)
    }

    /// Excludes the worker from placement until it answers a poll. Returns `false` if it is excluded
    /// already.
    pub(crate) fn suspect(&mut self, now: Instant) -> bool {
        let is_new = !std::mem::replace(&mut self.is_suspect, true);
        if is_new {
            self.suspect_since = Some(now);
        }
        is_new
    }

    /// Raises the fencing token and returns it. Once the worker has seen it, it refuses all starts
    /// that were sent before.
    pub(crate) fn raise_fence(&mut self) -> revision::Fence {
        self.fence = revision::Fence::new(self.fence.get() + 1);
        self.fence
    }

    /// Returns an estimate of the clock of the worker; `None` before the first report.
    pub(crate) fn clock(&self, now: Instant) -> Option<worker::Clock> {
        let reading = self.reading?;
        Some(reading.clock.after(now.saturating_duration_since(reading.at)))
    }

    /// Records a reading of the clock from an answer that was requested at `sent` with `fence` and
    /// arrived at `now`. An older reading than the recorded one is ignored. Extends the lease expiry
    /// if the clock is behind its estimate, because the machine of the worker was suspended.
    pub(crate) fn record_clock(
        &mut self,
        clock: worker::Clock,
        sent: Instant,
        fence: revision::Fence,
        lease_max: Duration,
        now: Instant,
    ) {
        let is_newer =
            self.reading.is_none_or(|reading| reading.at <= sent || reading.clock <= clock);
        if !is_newer {
            return;
        }
        self.reading = Some(Reading { clock, at: now });
        let Some(granted) = self.granted else { return };
        let granted = self.limit_granted(granted, clock, fence, lease_max);
        let remaining = granted.since(clock).min(lease_max);
        if !remaining.is_zero() {
            self.lease_expiry = self.lease_expiry.max(now + bounds::drifted(remaining));
        }
    }

    /// Lowers the latest granted end to the end of the longest lease, which the worker has shortened
    /// it to, once the worker has refused later orders with such an end. A reading that was too high
    /// would otherwise extend the lease expiry with each answer.
    fn limit_granted(
        &mut self,
        granted: worker::Clock,
        clock: worker::Clock,
        fence: revision::Fence,
        lease_max: Duration,
    ) -> worker::Clock {
        let latest = clock.after(lease_max);
        if granted <= latest {
            self.excess = None;
            return granted;
        }
        let Some(excess) = self.excess else {
            let fence = self.raise_fence();
            self.excess = Some(Excess { fence, granted: None });
            return granted;
        };
        if fence < excess.fence {
            return granted;
        }
        self.excess = None;
        let lowered = excess.granted.map_or(latest, |granted| latest.max(granted));
        self.granted = Some(lowered);
        lowered
    }

    /// Grants a lease of `lease` from `now` and returns its end on the clock of the worker; `None`
    /// before the first report.
    pub(crate) fn grant(&mut self, lease: Duration, now: Instant) -> Option<worker::Clock> {
        let clock = self.clock(now)?;
        self.lease_expiry = self.lease_expiry.max(now + bounds::drifted(lease) + ORDER_DELAY);
        self.lease_expired = false;
        let end = clock.after(lease);
        self.granted = self.granted.max(Some(end));
        if let Some(excess) = &mut self.excess {
            excess.granted = excess.granted.max(Some(end));
        }
        Some(end)
    }

    /// Lowers an inherited lease expiry after an answer to this owner: the worker now refuses
    /// renewals of earlier owners, so it has no lease that one of them granted after `now`. Leases
    /// that an earlier owner recorded as extended end at `extended`.
    pub(crate) fn confirm_fence(
        &mut self,
        lease: Duration,
        extended: Option<Instant>,
        now: Instant,
    ) {
        if !std::mem::take(&mut self.is_expiry_inherited) {
            return;
        }
        let latest = now + bounds::drifted(lease) + ORDER_DELAY;
        let latest = extended.map_or(latest, |extended| latest.max(extended));
        self.lease_expiry = self.lease_expiry.min(latest);
    }

    /// Sets the lease expiry after the first answer of an incarnation to a poll that was meant for
    /// it: the worker now refuses the polls and starts to the former incarnation, but one of them may
    /// have granted its longest lease up to `now`. This owner has granted no other one.
    pub(crate) fn confirm_successor(&mut self, lease_max: Duration, now: Instant) {
        if !std::mem::take(&mut self.is_successor) {
            return;
        }
        self.lease_expiry = now + bounds::drifted(lease_max);
    }

    /// Returns the time since the last report; [`Duration::MAX`] before the first one.
    pub(crate) fn report_age(&self, now: Instant) -> Duration {
        self.last_report.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Returns `true` if the starts of placed tasks may be sent. The worker may have begun to leave,
    /// or its zone may have been evacuated, while the placement was being stored.
    pub(crate) fn takes_starts(&self) -> bool {
        let is_leaving = !self.is_listed || self.listed.draining || self.in_maintenance;
        !is_leaving && !self.is_evacuated && !self.is_suspect && !self.may_have_restarted()
    }

    /// Returns `true` if new tasks may be placed.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.exclusion(now).is_none()
    }

    /// Returns why no new tasks may be placed; `None` if they may.
    pub(crate) fn exclusion(&self, now: Instant) -> Option<Exclusion> {
        let checks = [
            (!self.is_listed, Exclusion::Unlisted),
            (!self.is_described, Exclusion::Undescribed),
            (self.may_have_restarted(), Exclusion::Restarted),
            (self.listed.draining, Exclusion::Draining),
            (self.is_evacuated, Exclusion::Evacuated),
            (self.is_suspect, Exclusion::Suspect),
            (self.in_maintenance, Exclusion::Maintenance),
            (self.suspicion.is_closed(now), Exclusion::FailedRuns),
            (self.report_age(now) > REPORT_AGE_MAX, Exclusion::StaleReport),
        ];
        checks.into_iter().find_map(|(is_excluded, reason)| is_excluded.then_some(reason))
    }

    /// Notes for how long the entry of this incarnation, read at `at`, says that the worker is slow.
    pub(crate) fn note_slowness(&mut self, at: Instant) {
        let slow_for = self.listed.slow_for;
        self.slow_until = if slow_for.is_zero() { None } else { at.checked_add(slow_for) };
    }

    /// Returns `true` if the worker is slow because it has started lately.
    pub(crate) fn is_slow(&self, now: Instant) -> bool {
        self.slow_until.is_some_and(|until| now < until)
    }

    pub(crate) fn free(&self) -> size::Resources {
        self.listed.capacity - self.used
    }

    /// Returns the processor time that the tasks are expected to leave unused, in thousandths of a
    /// core.
    pub(crate) fn unused_processor(&self) -> u64 {
        self.listed.capacity.processor.milli().saturating_sub(self.expected_use)
    }

    /// Returns the processor time that the long-running tasks are expected to leave unused, in
    /// thousandths of a core.
    pub(crate) fn unused_by_long_running(&self) -> u64 {
        self.listed.capacity.processor.milli().saturating_sub(self.long_running_use)
    }

    /// Returns the runs that have capacity reserved.
    pub(crate) fn runs(&self) -> Vec<(task::Id, revision::Run)> {
        self.loads.iter().map(|(&task, load)| (task, load.run)).collect()
    }

    /// Returns `processor` as a share of the processor capacity of the worker.
    pub(crate) fn share_of(&self, processor: size::Processor) -> f64 {
        processor.milli() as f64 / self.listed.capacity.processor.milli().max(1) as f64
    }

    pub(crate) fn serves_users(&self) -> bool {
        !self.serving_images.is_empty()
    }

    /// Reserves the capacity of a run, in place of any earlier run of the task.
    pub(crate) fn reserve(&mut self, task: task::Id, load: Load) {
        self.release(task);
        self.used += load.reserved();
        self.expected_use += load.expected_use();
        self.long_running_use += load.long_running_use();
        if load.tail_target.is_some() {
            *self.serving_images.entry(load.image.clone()).or_default() += 1;
        }
        if load.best_effort {
            *self.best_effort_images.entry(load.image.clone()).or_default() += 1;
            self.best_effort_processor = add(self.best_effort_processor, load.size.processor);
        }
        self.loads.insert(task, load);
    }

    /// Releases the capacity of a task and returns its load; `None` if it had none.
    pub(crate) fn release(&mut self, task: task::Id) -> Option<Load> {
        let load = self.loads.remove(&task)?;
        self.is_changed = true;
        self.used -= load.reserved();
        self.expected_use = self.expected_use.saturating_sub(load.expected_use());
        self.long_running_use = self.long_running_use.saturating_sub(load.long_running_use());
        if load.tail_target.is_some() {
            remove_one(&mut self.serving_images, &load.image);
        }
        if load.best_effort {
            remove_one(&mut self.best_effort_images, &load.image);
            let left =
                self.best_effort_processor.milli().saturating_sub(load.size.processor.milli());
            self.best_effort_processor = size::Processor::from_milli(left);
        }
        Some(load)
    }

    /// Raises the acknowledged end past all pending ones that the first `stored` generations of the
    /// log record or that need no record.
    pub(crate) fn acknowledge(&mut self, stored: u64) {
        while let Some(entry) = self.pending.first_entry() {
            if entry.get().is_some_and(|generation| generation >= stored) {
                return;
            }
            self.acknowledged = self.acknowledged.max(*entry.key());
            entry.remove();
        }
    }

    /// Returns the last end that was handled; 0 before the first one.
    pub(crate) fn last_end(&self) -> revision::End {
        let pending = self.pending.last_key_value().map(|(&number, _)| number);
        pending.unwrap_or_default().max(self.acknowledged)
    }
}

fn add(one: size::Processor, other: size::Processor) -> size::Processor {
    size::Processor::from_milli(one.milli().saturating_add(other.milli()))
}

fn remove_one(images: &mut BTreeMap<SmolStr, u32>, image: &SmolStr) {
    let Some(count) = images.get_mut(image) else { return };
    *count -= 1;
    if *count == 0 {
        images.remove(image);
    }
}
