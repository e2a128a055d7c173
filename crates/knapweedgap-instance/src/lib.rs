//! The instance peer: messages between daemons over WebSocket and CBOR.
//!
//! A [`Link`] transports frames in both directions. All futures run on a single-threaded executor
//! and are not `Send`.

pub mod codec;
pub mod counts;
pub mod identity;
pub mod limits;
pub mod link;
pub mod queue;
pub mod relay;
pub mod sender;
pub mod sequence;
pub mod wire;

pub use counts::Counts;
pub use identity::Identity;
pub use limits::Limits;
pub use link::Link;
pub use sender::Sender;
