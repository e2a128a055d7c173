//! Runs an installation of real processes on the loopback interface and checks the records of the
//! stand-ins.

pub mod checker;
pub mod cluster;
pub mod ledger;
pub mod soak;
pub mod watcher;
