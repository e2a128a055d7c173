//! Typed views of the values in effect for a service, a team and the system.
//!
//! The daemon builds each view once per tree and keeps it. `Default` returns the built-in defaults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use knapweedgap_core::size::{Accelerator, Bytes, Connection, Processor, Slot};
use knapweedgap_core::{id, rate};

use crate::path::Path;
use crate::schema::Key;
use crate::tree::Tree;
use crate::value::{Method, Value};

/// Returns the effective value of a key, converted to the type of its kind. The schema fixes the
/// kind, so the conversion fails only if a view declares the wrong type; the tests read every field
/// of every view.
pub(crate) fn read<T>(tree: &Tree, path: &Path, key: Key) -> T
where
    T: TryFrom<Value> + Default,
{
    read_option(tree, path, key).unwrap_or_default()
}

fn read_option<T>(tree: &Tree, path: &Path, key: Key) -> Option<T>
where
    T: TryFrom<Value>,
{
    tree.effective(path, key).value.and_then(|value| T::try_from(value).ok())
}

macro_rules! convert {
    ($($variant:ident => $type:ty;)*) => {
        $(impl TryFrom<Value> for $type {
            type Error = Value;

            fn try_from(value: Value) -> Result<$type, Value> {
                match value {
                    Value::$variant(inner) => Ok(inner),
                    other => Err(other),
                }
            }
        })*
    };
}

convert! {
    Duration => Duration;
    Bytes => Bytes;
    Processor => Processor;
    Count => u64;
    Share => rate::Share;
    Rate => rate::PerSecond;
    Methods => BTreeSet<Method>;
    Weights => BTreeMap<id::Zone, u32>;
}

/// Returns a count as `u32`. The schema limits every count that is read this way to less than 2^32.
fn read_u32(tree: &Tree, path: &Path, key: Key) -> u32 {
    u32::try_from(read::<u64>(tree, path, key)).unwrap_or(u32::MAX)
}

/// Settings of one service, as seen from one place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Deadline of a request whose client sends no timeout.
    pub request_deadline: Duration,
    /// Longest deadline that a client may request.
    pub request_deadline_max: Duration,
    /// Largest body of a request or a response.
    pub body_size_max: Bytes,
    /// Most requests of the service that wait in one instance.
    pub queue_length: u32,
    /// Longest wait in the queue before the request is answered "not run".
    pub queue_time: Duration,
    /// Most requests that one upstream handles concurrently.
    pub slots_per_upstream: Slot,
    /// Most connections that one upstream accepts from all instances in total.
    pub connections_per_upstream: Connection,
    /// Instances that share the upstreams.
    pub configured_entries: u32,
    /// Timeout for opening a connection to an upstream.
    pub connect_timeout: Duration,
    /// Retries allowed, as a share of the requests.
    pub retry_share: rate::Share,
    /// Retries allowed in addition to the share.
    pub retry_floor: rate::PerSecond,
    /// Methods whose requests must run at most once.
    pub non_idempotent_methods: BTreeSet<Method>,
    /// Weight of the traffic to each availability zone; empty means that the instance's own zone is
    /// preferred.
    pub traffic_weights: BTreeMap<id::Zone, u32>,
    /// Consecutive failures after which an upstream is ejected.
    pub eject_failures: u32,
    /// Time after which an ejected upstream receives requests again.
    pub eject_time: Duration,
    /// Latency that placement protects; `None` means that the service has no target.
    pub latency_target: Option<Duration>,
    /// Percentile of the latency distribution to which the target applies.
    pub latency_percentile: rate::Share,
}

impl Service {
    /// Reads the settings of a service as seen from a place.
    pub fn read(tree: &Tree, place: &Path, service: &id::Service) -> Service {
        Service::at(tree, &Path::service(place, service))
    }

    fn at(tree: &Tree, path: &Path) -> Service {
        Service {
            request_deadline: read(tree, path, Key::RequestDeadline),
            request_deadline_max: read(tree, path, Key::RequestDeadlineMax),
            body_size_max: read(tree, path, Key::BodySizeMax),
            queue_length: read_u32(tree, path, Key::QueueLength),
            queue_time: read(tree, path, Key::QueueTime),
            slots_per_upstream: Slot::new(read_u32(tree, path, Key::SlotsPerUpstream)),
            connections_per_upstream: Connection::new(read_u32(
                tree,
                path,
                Key::ConnectionsPerUpstream,
            )),
            configured_entries: read_u32(tree, path, Key::ConfiguredEntries),
            connect_timeout: read(tree, path, Key::ConnectTimeout),
            retry_share: read(tree, path, Key::RetryShare),
            retry_floor: read(tree, path, Key::RetryFloor),
            non_idempotent_methods: read(tree, path, Key::NonIdempotentMethods),
            traffic_weights: read(tree, path, Key::TrafficWeights),
            eject_failures: read_u32(tree, path, Key::EjectFailures),
            eject_time: read(tree, path, Key::EjectTime),
            latency_target: read_option(tree, path, Key::LatencyTarget),
            latency_percentile: read(tree, path, Key::LatencyPercentile),
        }
    }

    /// Returns the connections that one instance may open to one upstream. Half of an instance's
    /// share is reserved for its successor, so that a replacement of all instances stays within the
    /// limit of the upstream.
    pub fn connections_per_entry(&self) -> Connection {
        let entries = self.configured_entries.max(1);
        Connection::new(self.connections_per_upstream.get() / entries.saturating_mul(2))
    }
}

impl Default for Service {
    fn default() -> Service {
        Service::at(&Tree::default(), &Path::root())
    }
}

/// Settings of one team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Processor quota of running tasks; `None` means no limit.
    pub quota_processor: Option<Processor>,
    /// Memory quota of running tasks; `None` means no limit.
    pub quota_memory: Option<Bytes>,
    /// Accelerator quota of running tasks; `None` means no limit.
    pub quota_accelerator: Option<Accelerator>,
    /// Retries of a failed task if the job sets no limit.
    pub job_retry_limit: u32,
    /// Most tasks in one job.
    pub job_tasks_max: u32,
}

impl Team {
    /// Reads the settings of a team.
    pub fn read(tree: &Tree, team: &id::Team) -> Team {
        Team::at(tree, &Path::team(team))
    }

    fn at(tree: &Tree, path: &Path) -> Team {
        let accelerators: Option<u64> = read_option(tree, path, Key::QuotaAccelerator);
        Team {
            quota_processor: read_option(tree, path, Key::QuotaProcessor),
            quota_memory: read_option(tree, path, Key::QuotaMemory),
            quota_accelerator: accelerators
                .map(|count| Accelerator::new(u32::try_from(count).unwrap_or(u32::MAX))),
            job_retry_limit: read_u32(tree, path, Key::JobRetryLimit),
            job_tasks_max: read_u32(tree, path, Key::JobTasksMax),
        }
    }
}

impl Default for Team {
    fn default() -> Team {
        Team::at(&Tree::default(), &Path::root())
    }
}

/// Relative weights of the measures that placement balances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// Weight of service latency.
    pub latency: u32,
    /// Weight of batch throughput.
    pub throughput: u32,
    /// Weight of avoiding evictions.
    pub evictions: u32,
}

/// Settings of the instances, partitions and workers, as seen from one place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct System {
    /// Number of traffic threads of an instance; a change takes effect at the next start.
    pub traffic_threads: u32,
    /// Time for which a stopping instance keeps its listeners open.
    pub drain_notice: Duration,
    /// Interval of pings between instances.
    pub ping_interval: Duration,
    /// Time without contact after which an instance is suspected to have failed.
    pub suspect_after: Duration,
    /// Lease time of an instance's record in the key-value service.
    pub instance_lease: Duration,
    /// Interval at which the VM list is read.
    pub inventory_interval: Duration,
    /// Retention time of the outcome of a non-idempotent request.
    pub claim_lease: Duration,
    /// Number of settings changes kept in the history.
    pub settings_history: u32,
    /// Longest deadline of a request, which also limits the graceful shutdown.
    pub request_deadline_max: Duration,
    /// Number of partitions; fixed by the first revision of the tree.
    pub partitions: u32,
    /// Interval at which owner keys are read while a partition is being transferred.
    pub owner_poll_busy: Duration,
    /// Interval at which owner keys are read otherwise.
    pub owner_poll_idle: Duration,
    /// Time for which an owner renews leases after its ownership was last validated.
    pub ownership_validity: Duration,
    /// Maximum age of a peer's report that counts towards a majority while the key-value service is
    /// unavailable.
    pub outage_report_age: Duration,
    /// Shortest interval between writes to a partition's log.
    pub group_commit_interval: Duration,
    /// Longest interval between writes to a partition's log; the interval grows with load up to this
    /// limit.
    pub group_commit_interval_max: Duration,
    /// Most records in one write to a partition's log.
    pub group_commit_records: u32,
    /// Log entries after which a partition writes a checkpoint.
    pub checkpoint_entries: u32,
    /// Lease under which a worker runs tasks, measured by the worker's clock.
    pub worker_lease: Duration,
    /// Interval at which the worker lease is renewed.
    pub worker_heartbeat: Duration,
    /// Maximum drift between the clocks of a worker and an owner.
    pub lease_drift: rate::Share,
    /// Longest wait for the confirmation of a stop before the stop command is repeated.
    pub stop_timeout: Duration,
    /// Longest wait for a checkpoint before the task is stopped without a new one.
    pub checkpoint_timeout: Duration,
    /// Consecutive failures of different jobs after which a worker is quarantined.
    pub quarantine_failures: u32,
    /// Duration of a worker's first quarantine; each further one is twice as long.
    pub quarantine_min: Duration,
    /// Longest duration of a quarantine.
    pub quarantine_max: Duration,
    /// Slowdown of a service above which batch tasks on its VM are throttled or evicted.
    pub interference_act: rate::Share,
    /// Slowdown below which the response is undone; the gap to `interference_act` is the hysteresis.
    pub interference_release: rate::Share,
    /// Shortest time between two responses to interference on the same VM.
    pub eviction_hysteresis: Duration,
    /// Weights of the measures that placement balances.
    pub objective: Objective,
}

impl System {
    /// Reads the settings in effect in a place.
    pub fn read(tree: &Tree, path: &Path) -> System {
        System {
            traffic_threads: read_u32(tree, path, Key::TrafficThreads),
            drain_notice: read(tree, path, Key::DrainNotice),
            ping_interval: read(tree, path, Key::PingInterval),
            suspect_after: read(tree, path, Key::SuspectAfter),
            instance_lease: read(tree, path, Key::InstanceLease),
            inventory_interval: read(tree, path, Key::InventoryInterval),
            claim_lease: read(tree, path, Key::ClaimLease),
            settings_history: read_u32(tree, path, Key::SettingsHistory),
            request_deadline_max: read(tree, path, Key::RequestDeadlineMax),
            partitions: read_u32(tree, path, Key::Partitions),
            owner_poll_busy: read(tree, path, Key::OwnerPollBusy),
            owner_poll_idle: read(tree, path, Key::OwnerPollIdle),
            ownership_validity: read(tree, path, Key::OwnershipValidity),
            outage_report_age: read(tree, path, Key::OutageReportAge),
            group_commit_interval: read(tree, path, Key::GroupCommitInterval),
            group_commit_interval_max: read(tree, path, Key::GroupCommitIntervalMax),
            group_commit_records: read_u32(tree, path, Key::GroupCommitRecords),
            checkpoint_entries: read_u32(tree, path, Key::CheckpointEntries),
            worker_lease: read(tree, path, Key::WorkerLease),
            worker_heartbeat: read(tree, path, Key::WorkerHeartbeat),
            lease_drift: read(tree, path, Key::LeaseDrift),
            stop_timeout: read(tree, path, Key::StopTimeout),
            checkpoint_timeout: read(tree, path, Key::CheckpointTimeout),
            quarantine_failures: read_u32(tree, path, Key::QuarantineFailures),
            quarantine_min: read(tree, path, Key::QuarantineMin),
            quarantine_max: read(tree, path, Key::QuarantineMax),
            interference_act: read(tree, path, Key::InterferenceAct),
            interference_release: read(tree, path, Key::InterferenceRelease),
            eviction_hysteresis: read(tree, path, Key::EvictionHysteresis),
            objective: Objective {
                latency: read_u32(tree, path, Key::ObjectiveLatency),
                throughput: read_u32(tree, path, Key::ObjectiveThroughput),
                evictions: read_u32(tree, path, Key::ObjectiveEvictions),
            },
        }
    }
}

impl Default for System {
    fn default() -> System {
        System::read(&Tree::default(), &Path::root())
    }
}
