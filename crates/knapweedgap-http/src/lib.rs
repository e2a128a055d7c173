//! Bounded HTTP/1.1 over `async-h1`, shared by the packages of the HTTP peers.
//!
//! `async-h1` encodes and decodes the messages. This package adds what a proxy requires beyond it:
//! limits on heads and bodies, timeouts, an error for every truncated body, and connections that
//! are reused only after both messages are read completely.

mod body;
pub mod budget;
mod chunk;
pub mod client;
pub mod error;
mod head;
pub mod json;
pub mod limit;
pub mod listener;
pub mod seat;
pub mod server;
mod source;
mod transfer;

pub use error::Error;
pub use limit::Limit;

/// TCP connection. Clones share it.
pub type Socket = std::sync::Arc<async_io::Async<std::net::TcpStream>>;
