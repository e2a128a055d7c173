//! The instance peer: messages between daemons over WebSocket and CBOR.

pub mod codec;
pub mod sequence;
pub mod wire;
