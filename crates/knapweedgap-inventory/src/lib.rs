//! The VM list peer.
