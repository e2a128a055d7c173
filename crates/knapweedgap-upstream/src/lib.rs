//! The upstream peer: connection pool and forwarding over HTTP.
//!
//! [`pool`] holds the connections of one traffic thread to one upstream, [`connection`] implements
//! their life cycle, [`forward`] builds the forwarded messages and [`load`] parses the reported
//! load.

pub mod connection;
pub mod error;
pub mod forward;
pub mod load;
pub mod pool;

pub use error::Error;
pub use pool::Pool;
