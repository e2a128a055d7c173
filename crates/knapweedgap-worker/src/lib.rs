//! The worker peer: leases, task commands and usage reports over HTTP.
//!
//! [`wire`] holds the typed messages and [`codec`] turns them into JSON and back.

pub mod caller;
pub mod codec;
pub mod wire;
