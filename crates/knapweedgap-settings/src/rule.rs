//! Rules against contradictory values that are in effect on the same node.

use std::collections::BTreeSet;
use std::time::Duration;

use knapweedgap_core::rate::Share;

use crate::effective::read;
use crate::finding::{Code, Finding, Findings};
use crate::path::{Level, Path};
use crate::schema::Key;
use crate::tree::Tree;

struct Rule {
    keys: &'static [Key],
    help: &'static str,
    holds: fn(&Tree, &Path) -> bool,
}

/// Minimum number of heartbeat intervals in a worker lease, so that one lost heartbeat does not
/// stop tasks.
const HEARTBEATS_PER_LEASE_MIN: u32 = 3;

const RULES: &[Rule] = &[
    Rule {
        keys: &[Key::RequestDeadline, Key::RequestDeadlineMax],
        help: "keep request_deadline within request_deadline_max",
        holds: |tree, path| {
            ordered::<Duration>(tree, path, Key::RequestDeadline, Key::RequestDeadlineMax)
        },
    },
    Rule {
        keys: &[Key::ConnectionsPerUpstream, Key::ConfiguredEntries],
        help: "allow at least 2 connections per upstream for each configured entry",
        holds: |tree, path| {
            let connections: u64 = read(tree, path, Key::ConnectionsPerUpstream);
            let entries: u64 = read(tree, path, Key::ConfiguredEntries);
            connections >= 2 * entries
        },
    },
    Rule {
        keys: &[Key::WorkerHeartbeat, Key::WorkerLease],
        help: "make worker_lease at least 3 times worker_heartbeat",
        holds: |tree, path| {
            let heartbeat: Duration = read(tree, path, Key::WorkerHeartbeat);
            let lease: Duration = read(tree, path, Key::WorkerLease);
            lease >= heartbeat * HEARTBEATS_PER_LEASE_MIN
        },
    },
    Rule {
        keys: &[Key::PingInterval, Key::SuspectAfter],
        help: "make suspect_after at least twice ping_interval",
        holds: |tree, path| {
            let ping: Duration = read(tree, path, Key::PingInterval);
            let suspect: Duration = read(tree, path, Key::SuspectAfter);
            suspect >= ping * 2
        },
    },
    Rule {
        keys: &[Key::GroupCommitInterval, Key::GroupCommitIntervalMax],
        help: "keep group_commit_interval within group_commit_interval_max",
        holds: |tree, path| {
            ordered::<Duration>(tree, path, Key::GroupCommitInterval, Key::GroupCommitIntervalMax)
        },
    },
    Rule {
        keys: &[Key::OwnerPollBusy, Key::OwnerPollIdle],
        help: "keep owner_poll_busy within owner_poll_idle",
        holds: |tree, path| ordered::<Duration>(tree, path, Key::OwnerPollBusy, Key::OwnerPollIdle),
    },
    Rule {
        keys: &[Key::QuarantineMin, Key::QuarantineMax],
        help: "keep quarantine_min within quarantine_max",
        holds: |tree, path| ordered::<Duration>(tree, path, Key::QuarantineMin, Key::QuarantineMax),
    },
    Rule {
        keys: &[Key::InterferenceRelease, Key::InterferenceAct],
        help: "keep interference_release within interference_act",
        holds: |tree, path| {
            ordered::<Share>(tree, path, Key::InterferenceRelease, Key::InterferenceAct)
        },
    },
    Rule {
        keys: &[Key::ObjectiveLatency, Key::ObjectiveThroughput, Key::ObjectiveEvictions],
        help: "give at least one objective a weight above 0",
        holds: |tree, path| {
            let weight = |key| read::<u64>(tree, path, key);
            let sum = weight(Key::ObjectiveLatency)
                + weight(Key::ObjectiveThroughput)
                + weight(Key::ObjectiveEvictions);
            sum > 0
        },
    },
];

fn ordered<T>(tree: &Tree, path: &Path, low: Key, high: Key) -> bool
where
    T: TryFrom<crate::Value> + Default + PartialOrd,
{
    read::<T>(tree, path, low) <= read::<T>(tree, path, high)
}

/// Checks the rules that involve a touched key. Rules that involve a rejected key are skipped,
/// because the tree does not hold the value that the operator wrote.
pub(crate) fn check(
    tree: &Tree,
    touched: &BTreeSet<Key>,
    rejected: &BTreeSet<Key>,
    findings: &mut Findings,
) {
    for rule in RULES {
        let involves = |keys: &BTreeSet<Key>| rule.keys.iter().any(|key| keys.contains(key));
        if !involves(touched) || involves(rejected) {
            continue;
        }
        let Some(nodes) = nodes_to_check(tree, rule) else {
            let found = format!("{} on more than {COMBINATIONS_MAX} pairs", rule.keys[0]);
            let help = "set this key on fewer places or fewer services";
            findings.push(Finding::new(Code::TooLarge, "$", found, help));
            continue;
        };
        for path in nodes {
            if (rule.holds)(tree, &path) {
                continue;
            }
            let mut values = Vec::new();
            for key in rule.keys {
                let effective = tree.effective(&path, *key);
                let value = effective.value.map_or("unset".to_owned(), |value| value.to_string());
                values.push(format!("{key} {value} from {}", effective.source));
            }
            let place = format!("{}.settings.{}", path.json(), rule.keys[0]);
            let finding = Finding::new(Code::Contradiction, place, values.join(", "), rule.help);
            findings.push(finding);
        }
    }
}

/// Most combinations of a place and a service of an outer place that are checked for one rule. The
/// limit bounds the memory use and the time for which a check blocks the control thread. The size
/// expected in two years needs about 20 places times 2,000 services.
const COMBINATIONS_MAX: usize = 100_000;

/// Returns the nodes on which the effective values of a rule's keys can differ from those of the
/// parent, or `None` if there are more than [`COMBINATIONS_MAX`] combinations. A service that is
/// configured in an outer place also inherits from inner places, so each such pair is combined.
fn nodes_to_check(tree: &Tree, rule: &Rule) -> Option<BTreeSet<Path>> {
    let mut nodes = BTreeSet::new();
    for (path, settings) in tree.nodes() {
        if rule.keys.iter().any(|key| settings.contains_key(key)) {
            nodes.insert(path.clone());
        }
    }
    let mut combined = Vec::new();
    for place in nodes.iter().filter(|path| path.level() == Level::Place) {
        for service in nodes.iter().filter(|path| path.level() == Level::Service) {
            if !service.place().contains(place) {
                continue;
            }
            if combined.len() == COMBINATIONS_MAX {
                return None;
            }
            combined.push(service.moved_to(place));
        }
    }
    nodes.extend(combined);
    Some(nodes)
}
