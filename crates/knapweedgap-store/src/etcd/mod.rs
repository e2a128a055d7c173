//! Adapter over the JSON gateway of etcd v3.

pub mod codec;
mod gateway;
mod stream;

pub use gateway::{Builder, Gateway};
