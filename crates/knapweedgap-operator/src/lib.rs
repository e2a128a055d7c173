//! The operator peer: typed messages of the administration API and the caller that the
//! command-line tool uses.
//!
//! All calls use HTTP with JSON under `/v1/` (see [`route::Route`]). The response to a failed call is
//! an [`error::Body`]. Sizes and durations are strings with units, as `"4GiB"` and `"10min"`.

pub mod caller;
pub mod codec;
pub mod connection;
pub mod doctor;
pub mod error;
pub mod event;
pub mod health;
pub mod instance;
pub mod job;
pub mod partition;
pub mod query;
pub mod request;
pub mod route;
pub mod settings;
mod text;
pub mod transport;

pub use caller::Caller;
pub use route::Route;
pub use transport::Transport;
