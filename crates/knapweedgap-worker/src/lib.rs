//! The worker peer: leases, task commands and usage reports over HTTP.
//!
//! [`wire`] defines the messages, [`codec`] encodes them as JSON, and [`caller`] sends them.

pub mod caller;
pub mod codec;
pub mod wire;
