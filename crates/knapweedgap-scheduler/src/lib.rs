//! Connects the decisions on the workload to its peers.
//!
//! [`run`] starts one control thread, which is the calling one, and one traffic thread. The control
//! thread owns all state: the ownership, the engine, the log, the looks at workers and the links
//! to the other instances. The traffic thread owns the connections of clients. The peers are
//! interfaces ([`peer`]), so that a platform of another kind needs only another implementation.

mod control;
mod exchange;
mod metric;
pub mod output;
pub mod peer;
pub mod settings;
mod traffic;

pub use control::{Fault, run};
