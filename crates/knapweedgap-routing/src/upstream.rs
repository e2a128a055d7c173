//! State of one upstream in one router.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::ejection::Ejection;
use crate::estimate::{Estimate, UPSTREAM_WEIGHT};
use crate::policy::Policy;
use crate::snapshot;

/// Number of samples that is required to compare the response time of an upstream with that of its
/// service.
const SLOW_SAMPLES_MIN: u32 = 4;

/// An upstream is slow if its mean response time exceeds that of the service by this factor. The
/// estimate for a healthy upstream with exponentially distributed response times stays below it.
const SLOW_FACTOR: f64 = 2.5;

/// Time without a response after which a slow upstream counts as normal again. A slow upstream is
/// used only when no other is free. Without this timeout, one that stalled for a second would get
/// no requests, and thus no new samples, for as long as the others suffice.
pub(crate) const SLOW_TIMEOUT: Duration = Duration::from_secs(5);

/// Order in which groups of upstreams are used; see [`Upstream::group`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Group {
    /// Own slots in the same availability zone.
    OwnSameZone,
    /// Own slots in another zone.
    OwnOtherZone,
    /// Slots of other threads that were reported free, in the same zone.
    BorrowedSameZone,
    /// Slots of other threads that were reported free, in another zone.
    BorrowedOtherZone,
    /// Upstreams without a recent load report, in the same zone.
    UnreportedSameZone,
    /// Upstreams without a recent load report, in another zone.
    UnreportedOtherZone,
    /// Own slots of slow upstreams. They add capacity when nothing else is free. Before that, a
    /// short wait costs less than a slow response.
    Slow,
}

impl Group {
    pub(crate) const ALL: [Group; 7] = [
        Group::OwnSameZone,
        Group::OwnOtherZone,
        Group::BorrowedSameZone,
        Group::BorrowedOtherZone,
        Group::UnreportedSameZone,
        Group::UnreportedOtherZone,
        Group::Slow,
    ];

    pub(crate) fn is_unreported(self) -> bool {
        matches!(self, Group::UnreportedSameZone | Group::UnreportedOtherZone)
    }
}

/// Load report of an upstream.
#[derive(Debug, Clone, Copy)]
struct Report {
    slots_in_use: u32,
    /// Whether the report came with a refusal, which shows that even own slots are in use.
    refused: bool,
    expires_at: Instant,
}

#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) spec: Rc<snapshot::Upstream>,
    pub(crate) same_zone: bool,
    /// Whether it is leaving or no longer listed, and gets no new requests.
    pub(crate) leaving: bool,
    /// Number of slots that belong to this thread.
    pub(crate) own_slots: u32,
    /// Number of connections that this thread may hold.
    pub(crate) connections_max: u32,
    /// Number of this thread's requests in flight.
    pub(crate) in_flight: u32,
    pub(crate) ejection: Ejection,
    /// Group and index in the group's candidates; absent if it can take no request.
    pub(crate) candidate: Option<(Group, usize)>,
    report: Option<Report>,
    response: Estimate,
    answered_at: Option<Instant>,
}

impl Upstream {
    pub(crate) fn new(spec: snapshot::Upstream) -> Upstream {
        Upstream {
            spec: Rc::new(spec),
            same_zone: false,
            leaving: true,
            own_slots: 0,
            connections_max: 0,
            in_flight: 0,
            ejection: Ejection::default(),
            candidate: None,
            report: None,
            response: Estimate::new(UPSTREAM_WEIGHT),
            answered_at: None,
        }
    }

    /// Counts a request that is sent to this upstream, also in the reported load.
    pub(crate) fn record_start(&mut self) {
        self.in_flight += 1;
        if let Some(report) = &mut self.report {
            report.slots_in_use += 1;
        }
    }

    pub(crate) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(crate) fn record_load(&mut self, slots_in_use: u32, refused: bool, expires_at: Instant) {
        self.report = Some(Report { slots_in_use, refused, expires_at });
    }

    pub(crate) fn record_response(&mut self, elapsed: Duration, now: Instant) {
        self.response.add(elapsed);
        self.answered_at = Some(now);
    }

    /// Resets the response times of a slow upstream whose last response is old, and returns `true`
    /// if it did. One more slow response makes the upstream slow again.
    pub(crate) fn reset_slowness(&mut self, service: &Estimate, now: Instant) -> bool {
        let expired = self.answered_at.is_some_and(|answered_at| now >= answered_at + SLOW_TIMEOUT);
        let reset = expired && self.is_slow(service);
        if reset {
            self.response.reset(service.mean(), SLOW_SAMPLES_MIN - 1);
        }
        reset
    }

    /// Removes an expired load report, and returns `true` if it did.
    pub(crate) fn expire_load(&mut self, now: Instant) -> bool {
        let expired = self.report.is_some_and(|report| report.expires_at <= now);
        if expired {
            self.report = None;
        }
        expired
    }

    /// Returns the larger of this thread's requests in flight and the reported load.
    pub(crate) fn load(&self) -> u32 {
        self.report.map_or(self.in_flight, |report| report.slots_in_use.max(self.in_flight))
    }

    /// Returns the number of requests that this thread may have in flight at this upstream.
    fn limit(&self) -> u32 {
        if self.ejection.is_probing() {
            return self.connections_max.min(1);
        }
        self.connections_max.min(self.spec.slots.get())
    }

    /// Returns the group in which this upstream is a candidate, or `None` if it can take no request
    /// now.
    pub(crate) fn group(&self, policy: Policy, service: &Estimate) -> Option<Group> {
        if self.leaving || self.ejection.is_ejected() || self.in_flight >= self.limit() {
            return None;
        }
        if self.report.is_some_and(|report| report.refused) {
            return None;
        }
        let by_zone = |same, other| Some(if self.same_zone { same } else { other });
        let slots = self.spec.slots.get();
        match policy {
            Policy::Random | Policy::RoundRobin | Policy::TwoChoicesLocal => {
                by_zone(Group::OwnSameZone, Group::OwnOtherZone)
            }
            Policy::TwoChoicesReported if self.load() < slots => {
                by_zone(Group::OwnSameZone, Group::OwnOtherZone)
            }
            Policy::TwoChoicesReported => None,
            Policy::OwnSlots | Policy::SlotShares if self.in_flight < self.own_slots => {
                if self.is_slow(service) {
                    return Some(Group::Slow);
                }
                by_zone(Group::OwnSameZone, Group::OwnOtherZone)
            }
            Policy::OwnSlots => None,
            Policy::SlotShares if self.is_slow(service) => None,
            Policy::SlotShares if self.report.is_none() => {
                by_zone(Group::UnreportedSameZone, Group::UnreportedOtherZone)
            }
            Policy::SlotShares if self.load() < slots => {
                by_zone(Group::BorrowedSameZone, Group::BorrowedOtherZone)
            }
            Policy::SlotShares => None,
        }
    }

    /// Returns the key by which candidates are compared; the lower one is preferred.
    pub(crate) fn score(&self, policy: Policy, service: &Estimate) -> (bool, u64) {
        let slots = u64::from(self.spec.slots.get().max(1));
        if policy == Policy::TwoChoicesLocal {
            return (false, u64::from(self.in_flight) * 1000 / slots);
        }
        (self.is_slow(service), u64::from(self.load()) * 1000 / slots)
    }

    pub(crate) fn is_slow(&self, service: &Estimate) -> bool {
        self.response.samples() >= SLOW_SAMPLES_MIN
            && self.response.mean() > service.mean().mul_f64(SLOW_FACTOR)
    }
}
