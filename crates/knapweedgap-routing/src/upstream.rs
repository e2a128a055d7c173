//! What one router knows about one upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::ejection::Ejection;
use crate::estimate::{Estimate, UPSTREAM_WEIGHT};
use crate::policy::Policy;
use crate::snapshot;

/// Samples before the response time of one upstream is compared with that of its service.
const SLOW_SAMPLES: u32 = 4;

/// An upstream is slow if its mean response time exceeds that of the service by this factor. With
/// exponentially distributed times the estimate stays below it without a fault.
const SLOW_FACTOR: f64 = 2.5;

/// Time without an answer after which a slow upstream counts as usual again. A slow upstream is
/// used only when nothing else is free, so without this limit one that stalled for a second got no
/// request, and nothing new was learned about it, for as long as the others sufficed.
pub(crate) const SLOW_TIME: Duration = Duration::from_secs(5);

/// Order in which groups of upstreams are used; see [`Upstream::group`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Group {
    /// Own slots, same availability zone.
    OwnNear,
    /// Own slots, another zone.
    OwnFar,
    /// Slots of other threads that were reported free, same zone.
    LentNear,
    /// Slots of other threads that were reported free, another zone.
    LentFar,
    /// Upstreams without a recent report, same zone.
    UnreportedNear,
    /// Upstreams without a recent report, another zone.
    UnreportedFar,
    /// Own slots of slow upstreams. They add capacity when nothing else is free; until then a short
    /// wait costs less than a slow answer.
    Slow,
}

impl Group {
    pub(crate) const ALL: [Group; 7] = [
        Group::OwnNear,
        Group::OwnFar,
        Group::LentNear,
        Group::LentFar,
        Group::UnreportedNear,
        Group::UnreportedFar,
        Group::Slow,
    ];

    pub(crate) fn is_unreported(self) -> bool {
        matches!(self, Group::UnreportedNear | Group::UnreportedFar)
    }
}

/// Load that an upstream reported.
#[derive(Debug, Clone, Copy)]
struct Report {
    slots_in_use: u32,
    /// The report came with a refusal: even own slots are taken.
    refused: bool,
    until: Instant,
}

#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) spec: Rc<snapshot::Upstream>,
    pub(crate) near: bool,
    /// Leaving, or gone from the list: gets nothing new.
    pub(crate) leaving: bool,
    /// Slots that belong to this thread.
    pub(crate) own: u32,
    /// Connections that this thread may hold.
    pub(crate) connections: u32,
    /// Requests of this thread in flight.
    pub(crate) local: u32,
    pub(crate) ejection: Ejection,
    /// Group and place in its set of candidates.
    pub(crate) place: Option<(Group, usize)>,
    report: Option<Report>,
    response: Estimate,
    answered: Option<Instant>,
}

impl Upstream {
    pub(crate) fn new(spec: snapshot::Upstream) -> Upstream {
        Upstream {
            spec: Rc::new(spec),
            near: false,
            leaving: true,
            own: 0,
            connections: 0,
            local: 0,
            ejection: Ejection::default(),
            place: None,
            report: None,
            response: Estimate::new(UPSTREAM_WEIGHT),
            answered: None,
        }
    }

    /// Counts a request that goes to this upstream.
    pub(crate) fn start(&mut self) {
        self.local += 1;
        if let Some(report) = &mut self.report {
            report.slots_in_use += 1;
        }
    }

    pub(crate) fn end(&mut self) {
        self.local = self.local.saturating_sub(1);
    }

    pub(crate) fn learn_load(&mut self, slots_in_use: u32, refused: bool, until: Instant) {
        self.report = Some(Report { slots_in_use, refused, until });
    }

    pub(crate) fn learn_response(&mut self, elapsed: Duration, now: Instant) {
        self.response.learn(elapsed);
        self.answered = Some(now);
    }

    /// Forgets that the upstream was slow if its last answer is old. One more slow answer makes it
    /// slow again. Tells whether it did.
    pub(crate) fn forget_slowness(&mut self, service: &Estimate, now: Instant) -> bool {
        let old = self.answered.is_some_and(|answered| now >= answered + SLOW_TIME);
        let forgotten = old && self.is_slow(service);
        if forgotten {
            self.response.restart(service.mean(), SLOW_SAMPLES - 1);
        }
        forgotten
    }

    /// Drops the report if it is too old. Tells whether it did.
    pub(crate) fn forget_load(&mut self, now: Instant) -> bool {
        let old = self.report.is_some_and(|report| report.until <= now);
        if old {
            self.report = None;
        }
        old
    }

    /// Returns the larger of the local count and the reported load.
    pub(crate) fn load(&self) -> u32 {
        self.report.map_or(self.local, |report| report.slots_in_use.max(self.local))
    }

    /// Returns the requests that this thread may have in flight here.
    fn limit(&self) -> u32 {
        if self.ejection.is_probing() {
            return self.connections.min(1);
        }
        self.connections.min(self.spec.slots.get())
    }

    /// Returns the group that this upstream is a candidate in, if it can take a request now.
    pub(crate) fn group(&self, policy: Policy, service: &Estimate) -> Option<Group> {
        if self.leaving || self.ejection.is_ejected() || self.local >= self.limit() {
            return None;
        }
        if self.report.is_some_and(|report| report.refused) {
            return None;
        }
        let choose = |near, far| Some(if self.near { near } else { far });
        let slots = self.spec.slots.get();
        match policy {
            Policy::Random | Policy::RoundRobin | Policy::TwoChoicesLocal => {
                choose(Group::OwnNear, Group::OwnFar)
            }
            Policy::TwoChoicesReported if self.load() < slots => {
                choose(Group::OwnNear, Group::OwnFar)
            }
            Policy::TwoChoicesReported => None,
            Policy::OwnSlots | Policy::SlotShares if self.local < self.own => {
                if self.is_slow(service) {
                    return Some(Group::Slow);
                }
                choose(Group::OwnNear, Group::OwnFar)
            }
            Policy::OwnSlots => None,
            Policy::SlotShares if self.is_slow(service) => None,
            Policy::SlotShares if self.report.is_none() => {
                choose(Group::UnreportedNear, Group::UnreportedFar)
            }
            Policy::SlotShares if self.load() < slots => choose(Group::LentNear, Group::LentFar),
            Policy::SlotShares => None,
        }
    }

    /// Returns the order of preference between two candidates; lower is better.
    pub(crate) fn score(&self, policy: Policy, service: &Estimate) -> (bool, u64) {
        let slots = u64::from(self.spec.slots.get().max(1));
        if policy == Policy::TwoChoicesLocal {
            return (false, u64::from(self.local) * 1000 / slots);
        }
        (self.is_slow(service), u64::from(self.load()) * 1000 / slots)
    }

    pub(crate) fn is_slow(&self, service: &Estimate) -> bool {
        self.response.samples() >= SLOW_SAMPLES
            && self.response.mean() > service.mean().mul_f64(SLOW_FACTOR)
    }
}
