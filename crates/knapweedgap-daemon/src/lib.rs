//! The daemon: one control thread and several traffic threads.
//!
//! [`run`] occupies the calling thread as the control thread until shutdown. The control thread
//! owns all mutable control state. Traffic threads carry client requests, read what control
//! publishes and report back over bounded channels.

pub mod config;
mod control;
pub mod log;
mod metric;
mod notify;
mod process;
mod publish;
mod traffic;

pub use control::{Fault, run};
