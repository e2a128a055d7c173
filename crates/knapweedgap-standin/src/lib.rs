//! Stand-ins of the outside systems for tests and the quickstart.
//!
//! Every stand-in is a library type with an async `run` that owns its connections: dropping the
//! future closes them all, as the death of the process would. Its program takes `--listen ADDR`
//! and prints `listening ADDR` with the bound address as its first line.

mod accept;
pub mod load;
pub mod payload;
pub mod record;
pub mod runner;
pub mod worker;
