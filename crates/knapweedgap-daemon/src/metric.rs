//! Metric names and the recorder that renders the metrics.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Client requests by service and HTTP status.
pub(crate) const REQUESTS: &str = "knapweedgap_requests_total";
/// Time from the head of a request to the head of its answer, in seconds.
pub(crate) const REQUEST_SECONDS: &str = "knapweedgap_request_seconds";
/// Requests in flight to upstreams, by traffic thread.
pub(crate) const IN_FLIGHT: &str = "knapweedgap_requests_in_flight";
/// Queued requests, by traffic thread.
pub(crate) const QUEUED: &str = "knapweedgap_requests_queued";
/// Retries, by traffic thread.
pub(crate) const RETRIES: &str = "knapweedgap_retries_total";
/// Messages to the control thread that were dropped because its queue was full.
pub(crate) const EVENTS_DROPPED: &str = "knapweedgap_events_dropped_total";
/// Revision of the current settings.
pub(crate) const SETTINGS_REVISION: &str = "knapweedgap_settings_revision";
/// Partitions owned by this instance.
pub(crate) const PARTITIONS_OWNED: &str = "knapweedgap_partitions_owned";
/// Committed log entries.
pub(crate) const COMMITS: &str = "knapweedgap_commits_total";
/// Whether the key-value service answers: 1 or 0.
pub(crate) const STORE_REACHABLE: &str = "knapweedgap_store_reachable";
/// Failed heartbeats to workers.
pub(crate) const HEARTBEATS_FAILED: &str = "knapweedgap_heartbeats_failed_total";

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder of the process once. Several instances in one process share it.
pub(crate) fn install() {
    RECORDER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
}

/// Returns the metrics in the Prometheus text format; empty without a recorder.
pub(crate) fn render() -> String {
    RECORDER.get().and_then(Option::as_ref).map(PrometheusHandle::render).unwrap_or_default()
}
