//! Runs an installation of real processes on the loopback interface and judges what the stand-ins
//! recorded.

pub mod checker;
pub mod cluster;
pub mod ledger;
pub mod soak;
pub mod watcher;
