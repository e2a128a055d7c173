//! Client of the VM list of the platform.
//!
//! [`vm::Record`] describes one machine, [`codec`] decodes lists and encodes records as JSON, and
//! [`Poller`] fetches the list and keeps the last valid one.

pub mod codec;
pub mod error;
pub mod list;
pub mod poller;
pub mod vm;

pub use error::Error;
pub use list::{Fault, List, Update};
pub use poller::Poller;
