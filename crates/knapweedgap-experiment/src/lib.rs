//! Experiments that measure the decisions and print tables. One file per command.

pub mod command;
pub mod cost;
pub mod placement;
pub mod routing;
