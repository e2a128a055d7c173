//! Daemon with one control thread and several traffic threads.
//!
//! [`run`] blocks the calling thread and uses it as the control thread until shutdown. The control
//! thread owns all mutable control state. Traffic threads forward client requests, read the views
//! published by the control thread and send messages to it over a bounded channel.

pub mod config;
mod control;
pub mod log;
mod metric;
mod notify;
mod process;
mod publish;
mod traffic;

pub use control::{Fault, run};
