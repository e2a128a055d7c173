//! The operator peer: typed messages of the administration API.
