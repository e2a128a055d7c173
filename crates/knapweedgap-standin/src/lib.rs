//! Stand-ins of the outside systems for tests and the quickstart.
//!
//! Every stand-in is a library type with an async `run` that owns its connections: dropping the
//! future closes them all, as the death of the process would. Its program under `src/bin/` takes
//! `--listen ADDR` and prints `listening ADDR` with the bound address as its first line.

pub mod inventory;
pub mod kv;
pub mod load;
pub mod payload;
pub mod proxy;
pub mod record;
pub mod runner;
pub mod serve;
pub mod signal;
pub mod worker;
