//! Metrics of the process and their recorder.

use std::sync::OnceLock;

use knapweedgap_http::seat::Counts;
use metrics::Unit;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Decisions by kind, including those whose log lines were suppressed.
pub(crate) const DECISIONS: &str = "knapweedgap_decisions_total";
/// Time from the receipt of a client request to its answer, by verb.
pub(crate) const REQUEST_SECONDS: &str = "knapweedgap_request_seconds";
/// Duration of a successful commit, including retries.
pub(crate) const COMMIT_SECONDS: &str = "knapweedgap_commit_seconds";
/// Successful commits, including heartbeats.
pub(crate) const COMMITS: &str = "knapweedgap_commits_total";
/// Bytes of committed log entries.
pub(crate) const COMMIT_BYTES: &str = "knapweedgap_commit_bytes_total";
/// Runs on workers without contact, which stay assigned until the leases have expired. Set once a
/// second by the owner; 0 on the other instances.
pub(crate) const HELD_RUNS: &str = "knapweedgap_held_runs";
/// Longest time for which nothing of a job with a ready step has been assigned to a worker, by queue.
/// Set once a second by the owner; times below a second count as 0.
pub(crate) const IDLE_JOB_SECONDS: &str = "knapweedgap_idle_job_seconds";
/// Instances that talk to workers for the owner; 0 if it talks to all of them itself, and on the
/// other instances.
pub(crate) const RELAYS: &str = "knapweedgap_relays";
/// Orders that this instance has passed to workers as a relay.
pub(crate) const RELAYED_ORDERS: &str = "knapweedgap_relayed_orders_total";
/// Delay of the owner itself: of its timers, or of the fastest answer on its links. 0 on the other
/// instances.
pub(crate) const OWN_DELAY: &str = "knapweedgap_owner_delay_seconds";
/// Time without a commit after which followers may replace this owner, as last stated.
pub(crate) const COMMIT_TIMEOUT: &str = "knapweedgap_commit_timeout_seconds";
/// Processor time of the control thread of the owner by part, in microseconds.
pub(crate) const CONTROL_MICROS: &str = "knapweedgap_control_microseconds_total";
/// Age of the owner's list of workers.
pub(crate) const LIST_AGE: &str = "knapweedgap_worker_list_age_seconds";
/// Availability zones that operators evacuate, as the owner knows them; 0 on the other instances.
pub(crate) const EVACUATED_ZONES: &str = "knapweedgap_evacuated_zones";
/// Log lines dropped because the queue was full, by target.
pub(crate) const LINES_DROPPED: &str = "knapweedgap_log_lines_dropped_total";
/// Time for which a placed task waited, by width: `wide` from a quarter of the largest worker on.
pub(crate) const WAIT_SECONDS: &str = "knapweedgap_task_wait_seconds";
/// Runs that were freed before a report showed their end, by verdict.
pub(crate) const FREED_RUNS: &str = "knapweedgap_freed_runs_total";
/// Freed runs that a report showed afterwards, by verdict and state.
pub(crate) const SIGHTED_RUNS: &str = "knapweedgap_freed_runs_sighted_total";
/// Connections and requests that were closed or refused because a bound was reached, by bound.
const CLIENT_LIMITS: &str = "knapweedgap_client_limits_total";
/// Memory that is charged to client connections and their unfinished requests, in bytes.
const CLIENT_BYTES: &str = "knapweedgap_client_held_bytes";
/// Open client connections.
const CLIENT_CONNECTIONS: &str = "knapweedgap_client_connections";

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder of the process on the first call; instances in one process share it.
pub(crate) fn install() {
    let install = || {
        let recorder = PrometheusBuilder::new().install_recorder();
        recorder.inspect_err(|error| log::warn!("[process] metrics unavailable: {error}")).ok()
    };
    RECORDER.get_or_init(install);
    metrics::describe_counter!(DECISIONS, "Decisions by kind");
    metrics::describe_histogram!(REQUEST_SECONDS, Unit::Seconds, "Time to answer a client");
    metrics::describe_histogram!(COMMIT_SECONDS, Unit::Seconds, "Time of a commit");
    metrics::describe_counter!(COMMITS, "Commits to the store");
    metrics::describe_counter!(COMMIT_BYTES, Unit::Bytes, "Bytes of committed log entries");
    metrics::describe_gauge!(HELD_RUNS, "Runs on workers without contact");
    metrics::describe_gauge!(IDLE_JOB_SECONDS, Unit::Seconds, "Longest idle job by queue");
    metrics::describe_gauge!(RELAYS, "Instances that talk to workers for the owner");
    metrics::describe_counter!(RELAYED_ORDERS, "Orders passed to workers as a relay");
    metrics::describe_gauge!(OWN_DELAY, Unit::Seconds, "Delay of the owner itself");
    metrics::describe_gauge!(COMMIT_TIMEOUT, Unit::Seconds, "Commit timeout that the owner states");
    metrics::describe_counter!(CONTROL_MICROS, "Processor time of the control thread by part");
    metrics::describe_gauge!(LIST_AGE, Unit::Seconds, "Age of the owner's list of workers");
    metrics::describe_gauge!(EVACUATED_ZONES, "Availability zones that operators evacuate");
    metrics::describe_counter!(LINES_DROPPED, "Log lines that found the queue full");
    metrics::describe_histogram!(WAIT_SECONDS, Unit::Seconds, "Wait of placed tasks by width");
    metrics::describe_counter!(FREED_RUNS, "Runs freed before a report showed their end");
    metrics::describe_counter!(SIGHTED_RUNS, "Freed runs that a report showed afterwards");
    metrics::describe_counter!(CLIENT_LIMITS, "Clients closed or refused at a bound");
    metrics::describe_gauge!(CLIENT_BYTES, Unit::Bytes, "Memory charged to clients");
    metrics::describe_gauge!(CLIENT_CONNECTIONS, "Open client connections");
}

/// Sets the metrics of client connections.
pub(crate) fn set_clients(counts: &Counts) {
    metrics::counter!(CLIENT_LIMITS, "bound" => "memory").absolute(counts.by_memory);
    metrics::counter!(CLIENT_LIMITS, "bound" => "connections").absolute(counts.by_connections);
    metrics::counter!(CLIENT_LIMITS, "bound" => "body_time").absolute(counts.by_body_time);
    metrics::gauge!(CLIENT_BYTES).set(counts.held.get() as f64);
    metrics::gauge!(CLIENT_CONNECTIONS).set(counts.connections as f64);
}

/// Returns the metrics in the Prometheus text format; empty if no recorder is installed.
pub(crate) fn render() -> String {
    RECORDER.get().and_then(Option::as_ref).map(PrometheusHandle::render).unwrap_or_default()
}
