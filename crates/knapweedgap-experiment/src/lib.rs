//! Experiments that measure routing and placement decisions and print the results. Each command has
//! its own module.

pub mod command;
pub mod cost;
pub mod placement;
pub mod routing;
