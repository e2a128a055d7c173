//! The instance peer: messages between daemons over WebSocket and CBOR.
