//! Settings that can't be changed in this version.

use knapweedgap_settings::finding::Code;
use knapweedgap_settings::{Change, Finding, Findings, Key};

/// Keys whose values are constants in this version. Owners, workers and peers rely on equal leases
/// and intervals; a change would reach them at different times.
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

/// Returns a finding for each change of a constant. Such a change is rejected, because an accepted
/// change must take effect.
pub(crate) fn check(changes: &[Change]) -> Findings {
    let mut findings = Findings::default();
    for change in changes {
        if !FIXED.contains(&change.key) {
            continue;
        }
        let place = format!("{} {}", change.path, change.key);
        let help = "this setting is constant in this version; remove it from the change";
        findings.push(Finding::new(Code::OutOfRange, place, "a change", help));
    }
    findings
}
