//! Liveness and readiness of an instance.

use knapweedgap_core::id;
use serde::{Deserialize, Serialize};

use crate::instance;

/// Answer of `healthz` and `readyz`. `readyz` answers 503 with the same body while the instance is
/// not ready.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The instance that answers.
    pub instance: id::Instance,
    /// State of its process.
    pub state: instance::State,
    /// Whether the load balancer should send it requests.
    pub ready: bool,
    /// Why it is not ready.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<String>,
}
