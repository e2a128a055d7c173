//! Settings that this version does not put in force.

use knapweedgap_settings::finding::Code;
use knapweedgap_settings::{Change, Finding, Findings, Key};

/// Keys whose values are constants of this version. Owners, workers and peers count with the same
/// leases and intervals, and a change that reaches them one after the other could break that.
const FIXED: &[Key] = &[
    Key::ConnectTimeout,
    Key::TrafficWeights,
    Key::TrafficThreads,
    Key::PingInterval,
    Key::SuspectAfter,
    Key::InstanceLease,
    Key::ClaimLease,
    Key::OwnerPollBusy,
    Key::OwnerPollIdle,
    Key::OwnershipValidity,
    Key::OutageReportAge,
    Key::GroupCommitInterval,
    Key::GroupCommitIntervalMax,
    Key::GroupCommitRecords,
    Key::CheckpointEntries,
    Key::WorkerLease,
    Key::WorkerHeartbeat,
    Key::LeaseDrift,
    Key::StopTimeout,
    Key::CheckpointTimeout,
    Key::QuarantineFailures,
    Key::QuarantineMin,
    Key::QuarantineMax,
    Key::InterferenceAct,
    Key::InterferenceRelease,
    Key::EvictionHysteresis,
];

/// Returns a finding for each change that would not take effect. An accepted change is always in
/// force, so such a change is refused.
pub(crate) fn check(changes: &[Change]) -> Findings {
    let mut findings = Findings::default();
    for change in changes {
        if !FIXED.contains(&change.key) {
            continue;
        }
        let place = format!("{} {}", change.path, change.key);
        let help = "this value is a constant of this version; leave it out";
        findings.push(Finding::new(Code::OutOfRange, place, "a change", help));
    }
    findings
}
