//! The upstream peer: connection pool and forwarding over HTTP.
//!
//! [`pool`] keeps the connections of one traffic thread to one upstream, [`connection`] their life
//! cycle, [`forward`] builds the forwarded messages and [`load`] reads the reported load.

pub mod connection;
pub mod error;
pub mod forward;
pub mod load;
pub mod pool;

pub use error::Error;
pub use pool::Pool;
