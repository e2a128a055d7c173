//! The VM list peer.
//!
//! [`vm::Record`] is one machine, [`codec`] turns lists into JSON and back, and [`Poller`] keeps
//! the last list.

pub mod codec;
pub mod error;
pub mod list;
pub mod poller;
pub mod vm;

pub use error::Error;
pub use list::{Fault, List, Update};
pub use poller::Poller;
