//! Liveness and readiness of an instance.

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

use crate::instance;

/// Response to `healthz` and `readyz`. While the instance is not ready, `readyz` returns status 503
/// with the same body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the instance that sent the report.
    pub instance: id::Instance,
    /// State of the instance's process.
    pub state: instance::State,
    /// Whether the load balancer should send it requests.
    pub ready: bool,
    /// Reasons why the instance is not ready, for display; empty if it is.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<String>,
}
