//! Known keys with unit, range, default value and the levels of the nodes that may set them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use knapweedgap_core::size::{Bytes, Processor};
use knapweedgap_core::{parse, rate};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::path::Level;
use crate::value::{Method, Value, WEIGHT_MAX, ZONES_MAX};

/// Type, unit and range of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// String with a unit of time.
    Duration {
        /// Lower limit, inclusive.
        min: Duration,
        /// Upper limit, inclusive.
        max: Duration,
    },
    /// String with a binary unit.
    Bytes {
        /// Lower limit, inclusive.
        min: Bytes,
        /// Upper limit, inclusive.
        max: Bytes,
    },
    /// String of cores or thousandths of a core.
    Processor {
        /// Lower limit, inclusive.
        min: Processor,
        /// Upper limit, inclusive.
        max: Processor,
    },
    /// JSON number.
    Count {
        /// Lower limit, inclusive.
        min: u64,
        /// Upper limit, inclusive.
        max: u64,
    },
    /// String in percent.
    Share {
        /// Lower limit, inclusive.
        min: rate::Share,
        /// Upper limit, inclusive.
        max: rate::Share,
    },
    /// String of events per second.
    Rate {
        /// Lower limit, inclusive.
        min: rate::PerSecond,
        /// Upper limit, inclusive.
        max: rate::PerSecond,
    },
    /// List of HTTP methods.
    Methods,
    /// Weight of each availability zone.
    Weights,
}

impl Kind {
    /// Returns a description of the JSON form of a value, with an example.
    pub const fn form(&self) -> &'static str {
        match self {
            Kind::Duration { .. } => "duration, as \"250ms\" (us, ms, s, min, h)",
            Kind::Bytes { .. } => "bytes, as \"4GiB\" (KiB, MiB, GiB, TiB)",
            Kind::Processor { .. } => "processors, as \"1500m\" or \"2\"",
            Kind::Count { .. } => "number",
            Kind::Share { .. } => "share, as \"10%\" or \"99.9%\"",
            Kind::Rate { .. } => "rate, as \"3/s\"",
            Kind::Methods => "list of HTTP methods, as [\"POST\"]",
            Kind::Weights => "weight by availability zone, as {\"zone-1\": 80}",
        }
    }

    /// Returns the range of a value as text.
    pub fn range(&self) -> String {
        match *self {
            Kind::Duration { min, max } => between(Value::from(min), Value::from(max)),
            Kind::Bytes { min, max } => between(Value::from(min), Value::from(max)),
            Kind::Processor { min, max } => between(Value::from(min), Value::from(max)),
            Kind::Count { min, max } => between(Value::from(min), Value::from(max)),
            Kind::Share { min, max } => between(Value::from(min), Value::from(max)),
            Kind::Rate { min, max } => between(Value::from(min), Value::from(max)),
            Kind::Methods => "DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT".to_owned(),
            Kind::Weights => format!("0 to {WEIGHT_MAX}, at most {ZONES_MAX} zones"),
        }
    }

    /// Returns the help text for a rejected value: the expected form and range.
    pub fn help(&self) -> String {
        format!("write a {}; range {}", self.form(), self.range())
    }
}

fn between(min: Value, max: Value) -> String {
    format!("{min} to {max}")
}

/// Default value of a key, in a form that can be written as a constant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Preset {
    None,
    Duration(Duration),
    Bytes(u64),
    Count(u64),
    Share(u32),
    Rate(u64),
    Methods(&'static [&'static str]),
    Weights,
}

/// One row of the schema.
#[derive(Debug, Clone, Copy)]
pub struct Entry {
    /// Name of the key in JSON.
    pub name: &'static str,
    /// Type, unit and range.
    pub kind: Kind,
    default: Preset,
    /// Levels of the nodes that may set the key.
    pub levels: &'static [Level],
    /// Effect of the value, for the settings reference.
    pub doc: &'static str,
}

impl Entry {
    /// Returns the value that applies when no node sets the key; `None` means no limit.
    pub fn default(&self) -> Option<Value> {
        match self.default {
            Preset::None => None,
            Preset::Duration(value) => Some(Value::Duration(value)),
            Preset::Bytes(value) => Some(Value::Bytes(Bytes::new(value))),
            Preset::Count(value) => Some(Value::Count(value)),
            Preset::Share(milli) => Some(Value::Share(rate::Share::from_milli(milli))),
            Preset::Rate(value) => Some(Value::Rate(rate::PerSecond::new(value))),
            Preset::Methods(names) => {
                let parsed = names.iter().filter_map(|name| name.parse::<Method>().ok());
                Some(Value::Methods(parsed.collect()))
            }
            Preset::Weights => Some(Value::Weights(Default::default())),
        }
    }

    /// Returns the names of the levels that may set the key, separated by commas.
    pub fn levels_text(&self) -> String {
        let names: Vec<String> = self.levels.iter().map(Level::to_string).collect();
        names.join(", ")
    }
}

const fn us(count: u64) -> Duration {
    Duration::from_micros(count)
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const fn s(count: u64) -> Duration {
    Duration::from_secs(count)
}

const fn min(count: u64) -> Duration {
    Duration::from_secs(count * 60)
}

const fn time(min: Duration, max: Duration) -> Kind {
    Kind::Duration { min, max }
}

const fn count(min: u64, max: u64) -> Kind {
    Kind::Count { min, max }
}

const fn share(min: u32, max: u32) -> Kind {
    Kind::Share { min: rate::Share::from_milli(min), max: rate::Share::from_milli(max) }
}

const fn bytes(min: u64, max: u64) -> Kind {
    Kind::Bytes { min: Bytes::new(min), max: Bytes::new(max) }
}

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const TIB: u64 = 1 << 40;

const RATE: Kind =
    Kind::Rate { min: rate::PerSecond::new(0), max: rate::PerSecond::new(1_000_000) };
const PROCESSOR: Kind =
    Kind::Processor { min: Processor::from_milli(0), max: Processor::from_cores(10_000_000) };

/// Levels of settings on which all instances of the installation must agree.
const INSTALLATION: &[Level] = &[Level::Root];
/// Levels of settings of the instances or workers in a place.
const LOCAL: &[Level] = &[Level::Root, Level::Place];
/// Levels of routing settings, which may differ by service.
const ROUTED: &[Level] = &[Level::Root, Level::Place, Level::Service];
/// Levels of team settings.
const TEAM: &[Level] = &[Level::Root, Level::Team];

macro_rules! schema {
    ($($key:ident, $name:literal, $kind:expr, $default:expr, $levels:expr, $doc:literal;)*) => {
        /// Name of a setting.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "SmolStr", into = "SmolStr")]
        pub enum Key {
            $(#[doc = $doc] $key,)*
        }

        /// All keys, in the order of the schema.
        pub const KEYS: &[Key] = &[$(Key::$key,)*];

        const ENTRIES: &[Entry] = &[$(Entry {
            name: $name, kind: $kind, default: $default, levels: $levels, doc: $doc,
        },)*];
    };
}

schema! {
    // Requests and routing
    RequestDeadline, "request_deadline", time(ms(1), min(10)), Preset::Duration(s(10)), ROUTED,
        "Deadline of a request whose client sends no timeout.";
    RequestDeadlineMax, "request_deadline_max", time(ms(1), min(10)), Preset::Duration(min(1)),
        INSTALLATION,
        "Longest deadline that a client may request. A graceful shutdown waits at most this long.";
    BodySizeMax, "body_size_max", bytes(0, 64 * MIB), Preset::Bytes(MIB), ROUTED,
        "Largest body of a request or a response.";
    QueueLength, "queue_length", count(0, 65_536), Preset::Count(256), ROUTED,
        "Most requests of one service that wait in one instance.";
    QueueTime, "queue_time", time(s(0), min(1)), Preset::Duration(ms(500)), ROUTED,
        "Longest wait in the queue before the request is answered \"not run\".";
    SlotsPerUpstream, "slots_per_upstream", count(1, 1024), Preset::Count(8), ROUTED,
        "Most requests that an upstream handles concurrently.";
    ConnectionsPerUpstream, "connections_per_upstream", count(2, 4096), Preset::Count(60), ROUTED,
        "Most connections that an upstream accepts from all instances in total.";
    ConfiguredEntries, "configured_entries", count(1, 1024), Preset::Count(7), LOCAL,
        "Instances that share the upstreams. Each opens at most connections / (2 x entries) \
         connections to an upstream, so that a replacement of all instances stays within the limit.";
    ConnectTimeout, "connect_timeout", time(ms(1), s(30)), Preset::Duration(ms(250)), ROUTED,
        "Timeout for opening a connection to an upstream.";
    RetryShare, "retry_share", share(0, 1000), Preset::Share(100), ROUTED,
        "Retries allowed, as a share of the requests.";
    RetryFloor, "retry_floor", RATE, Preset::Rate(3), ROUTED,
        "Retries allowed in addition to the share, so that a service with little traffic can retry.";
    NonIdempotentMethods, "non_idempotent_methods", Kind::Methods,
        Preset::Methods(&["PATCH", "POST"]), ROUTED,
        "Methods whose requests must run at most once.";
    TrafficWeights, "traffic_weights", Kind::Weights, Preset::Weights, ROUTED,
        "Weight of the traffic to each availability zone. Empty: the instance's own zone is preferred.";
    EjectFailures, "eject_failures", count(1, 100), Preset::Count(5), ROUTED,
        "Consecutive failures after which an instance ejects an upstream.";
    EjectTime, "eject_time", time(ms(100), min(10)), Preset::Duration(s(5)), ROUTED,
        "Time after which an ejected upstream receives requests again.";
    LatencyTarget, "latency_target", time(us(100), min(10)), Preset::None, ROUTED,
        "Latency of the service that placement protects. Unset: the service has no target.";
    LatencyPercentile, "latency_percentile", share(500, 999), Preset::Share(990), ROUTED,
        "Percentile of the latency distribution to which the target applies.";

    // Instances
    TrafficThreads, "traffic_threads", count(1, 64), Preset::Count(2), LOCAL,
        "Traffic threads of an instance. A change takes effect at the next start.";
    DrainNotice, "drain_notice", time(s(0), min(5)), Preset::Duration(s(2)), LOCAL,
        "Time for which a stopping instance keeps its listeners open for the load balancer.";
    PingInterval, "ping_interval", time(ms(10), s(30)), Preset::Duration(ms(300)), INSTALLATION,
        "Interval of pings between instances.";
    SuspectAfter, "suspect_after", time(ms(50), min(5)), Preset::Duration(ms(1500)), INSTALLATION,
        "Time without contact after which an instance is suspected to have failed.";
    InstanceLease, "instance_lease", time(s(1), min(10)), Preset::Duration(s(10)), INSTALLATION,
        "Lease time of an instance's record in the key-value service.";
    InventoryInterval, "inventory_interval", time(ms(100), min(1)), Preset::Duration(s(1)), LOCAL,
        "Interval at which the VM list is read.";
    ClaimLease, "claim_lease", time(min(1), min(1440)), Preset::Duration(min(10)), INSTALLATION,
        "Retention time of the outcome of a non-idempotent request.";
    SettingsHistory, "settings_history", count(1, 10_000), Preset::Count(200), INSTALLATION,
        "Settings changes kept in the history.";

    // Partitions
    Partitions, "partitions", count(1, 1024), Preset::Count(4), INSTALLATION,
        "Number of partitions. Fixed for the lifetime of an installation, because a job's primary \
         partition is derived from it.";
    OwnerPollBusy, "owner_poll_busy", time(ms(100), min(1)), Preset::Duration(s(1)), INSTALLATION,
        "Interval at which the owner keys are read while a partition is being transferred.";
    OwnerPollIdle, "owner_poll_idle", time(ms(100), min(5)), Preset::Duration(s(5)), INSTALLATION,
        "Interval at which the owner keys are read otherwise.";
    OwnershipValidity, "ownership_validity", time(s(1), min(10)), Preset::Duration(s(20)),
        INSTALLATION,
        "Time for which an owner renews leases after its ownership was last validated.";
    OutageReportAge, "outage_report_age", time(s(1), min(1)), Preset::Duration(s(5)), INSTALLATION,
        "Maximum age of a peer's report that counts towards a majority without the key-value service.";
    GroupCommitInterval, "group_commit_interval", time(ms(1), s(1)), Preset::Duration(ms(20)),
        INSTALLATION,
        "Shortest interval between writes to the log of a partition.";
    GroupCommitIntervalMax, "group_commit_interval_max", time(ms(1), s(1)),
        Preset::Duration(ms(100)), INSTALLATION,
        "Longest interval between writes to the log; the interval grows with load up to this limit.";
    GroupCommitRecords, "group_commit_records", count(1, 4096), Preset::Count(256), INSTALLATION,
        "Most records in one write to the log.";
    CheckpointEntries, "checkpoint_entries", count(16, 65_536), Preset::Count(512), INSTALLATION,
        "Log entries after which a partition writes a checkpoint.";

    // Workers and tasks
    WorkerLease, "worker_lease", time(s(1), min(10)), Preset::Duration(s(10)), INSTALLATION,
        "Lease under which a worker runs tasks, measured by the worker's clock.";
    WorkerHeartbeat, "worker_heartbeat", time(ms(100), min(1)), Preset::Duration(s(1)),
        INSTALLATION,
        "Interval at which the lease is renewed.";
    LeaseDrift, "lease_drift", share(0, 500), Preset::Share(50), INSTALLATION,
        "Maximum drift between the clocks of a worker and an owner.";
    StopTimeout, "stop_timeout", time(ms(100), min(10)), Preset::Duration(s(10)), LOCAL,
        "Longest wait for a worker to confirm a stop before the command is repeated.";
    CheckpointTimeout, "checkpoint_timeout", time(ms(100), min(60)), Preset::Duration(s(30)), LOCAL,
        "Longest wait for a checkpoint before the task is stopped without a new one.";
    QuarantineFailures, "quarantine_failures", count(1, 100), Preset::Count(3), INSTALLATION,
        "Consecutive failures of different jobs after which a worker is quarantined.";
    QuarantineMin, "quarantine_min", time(s(1), min(60)), Preset::Duration(s(10)), INSTALLATION,
        "Duration of a worker's first quarantine; each further one is twice as long.";
    QuarantineMax, "quarantine_max", time(s(1), min(1440)), Preset::Duration(min(10)),
        INSTALLATION,
        "Longest duration of a quarantine.";

    // Interference and objective
    InterferenceAct, "interference_act", share(0, 10_000), Preset::Share(200), INSTALLATION,
        "Slowdown of a service above which batch tasks on its VM are throttled or evicted.";
    InterferenceRelease, "interference_release", share(0, 10_000), Preset::Share(100),
        INSTALLATION,
        "Slowdown below which the response is undone. The gap to interference_act is the \
         hysteresis that prevents a task from being throttled and released repeatedly.";
    EvictionHysteresis, "eviction_hysteresis", time(s(0), min(60)), Preset::Duration(s(30)),
        INSTALLATION,
        "Shortest time between two responses on the same VM.";
    ObjectiveLatency, "objective_latency", count(0, 100), Preset::Count(1), INSTALLATION,
        "Weight of service latency in placement.";
    ObjectiveThroughput, "objective_throughput", count(0, 100), Preset::Count(1), INSTALLATION,
        "Weight of batch throughput in placement.";
    ObjectiveEvictions, "objective_evictions", count(0, 100), Preset::Count(1), INSTALLATION,
        "Weight of avoiding evictions in placement.";

    // Teams
    QuotaProcessor, "quota_processor", PROCESSOR, Preset::None, TEAM,
        "Processors that a team's running tasks may use. Unset: no limit.";
    QuotaMemory, "quota_memory", bytes(0, 1024 * 1024 * TIB), Preset::None, TEAM,
        "Memory that a team's running tasks may use. Unset: no limit.";
    QuotaAccelerator, "quota_accelerator", count(0, 10_000_000), Preset::None, TEAM,
        "Accelerators that a team's running tasks may use. Unset: no limit.";
    JobRetryLimit, "job_retry_limit", count(0, 100), Preset::Count(3), TEAM,
        "Retries of a failed task if the job sets no limit.";
    JobTasksMax, "job_tasks_max", count(1, 100 * KIB), Preset::Count(10_000), TEAM,
        "Most tasks in one job.";
}

impl Key {
    /// Returns the schema entry of the key.
    pub fn entry(self) -> &'static Entry {
        &ENTRIES[self as usize]
    }

    /// Returns the known key with the smallest edit distance to `text`, or `None` if the distance
    /// exceeds a third of the text's length.
    pub fn nearest(text: &str) -> Option<Key> {
        /// Longest text that is compared, in bytes; the edit distance takes quadratic time.
        const COMPARED_LEN_MAX: usize = 64;
        if text.len() > COMPARED_LEN_MAX {
            return None;
        }
        let candidates = KEYS.iter().map(|key| (edit_distance(text, key.entry().name), *key));
        let (distance, key) = candidates.min_by_key(|(distance, _)| *distance)?;
        (distance <= text.len() / 3).then_some(key)
    }
}

/// Returns the Levenshtein distance between two texts, in bytes.
fn edit_distance(left: &str, right: &str) -> usize {
    let right = right.as_bytes();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.entry().name)
    }
}

impl FromStr for Key {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<Key, parse::Error> {
        for key in KEYS {
            if key.entry().name == text {
                return Ok(*key);
            }
        }
        Err(parse::Error::new("settings key", text, "use a key listed in docs/settings.md"))
    }
}

impl TryFrom<SmolStr> for Key {
    type Error = parse::Error;

    fn try_from(text: SmolStr) -> Result<Key, parse::Error> {
        text.parse()
    }
}

impl From<Key> for SmolStr {
    fn from(key: Key) -> SmolStr {
        SmolStr::new_static(key.entry().name)
    }
}

/// Returns the schema as a Markdown table.
pub fn table() -> String {
    let mut text = String::from(
        "| key | form | range | default | set on | meaning |\n|---|---|---|---|---|---|\n",
    );
    for key in KEYS {
        let entry = key.entry();
        let default = entry.default().map_or("unset".to_owned(), |value| value.to_string());
        text.push_str(&format!(
            "| `{key}` | {} | {} | {default} | {} | {} |\n",
            entry.kind.form(),
            entry.kind.range(),
            entry.levels_text(),
            entry.doc
        ));
    }
    text
}
