//! Connects the workload engine to its peers.
//!
//! [`run`] uses the calling thread as the control thread and starts one traffic thread. The control
//! thread owns all state: the ownership, the engine, the log, the poll loops of workers and the
//! links to the other instances. The traffic thread owns the client connections. The peers are
//! traits ([`peer`]), so that another platform needs only another implementation.

mod control;
mod exchange;
mod metric;
pub mod output;
pub mod peer;
pub mod settings;
pub mod signal;
mod traffic;

pub use control::{Fault, run};
