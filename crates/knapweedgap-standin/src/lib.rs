//! Stand-ins for the external systems, for tests and the quickstart.
//!
//! Every stand-in is a library type with an async `run` that owns its connections: dropping the
//! future closes them all, as the end of its process would. The programs under `src/bin/` that
//! serve connections take `--listen ADDR` and print `listening ADDR` with the bound address as
//! their first line.

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
