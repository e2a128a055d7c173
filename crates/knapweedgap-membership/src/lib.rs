//! Membership and partition ownership decisions.
//!
//! The caller passes what it read from the key-value service and received from peers to an
//! [`Engine`], calls [`Engine::tick`], carries out the [`Action`]s and sleeps until
//! [`Engine::wake`].

pub mod action;
pub mod claim;
pub mod engine;
pub mod grant;
pub mod ownership;
pub mod peer;
pub mod record;
pub mod rendezvous;
pub mod share;
pub mod steadiness;
pub mod takeover;
pub mod timing;

pub use action::Action;
pub use engine::Engine;
pub use ownership::Ownership;
pub use peer::{Failure, Liveness};
