//! Adapter for the JSON gateway of etcd v3.

pub mod codec;
mod gateway;
mod stream;

pub use gateway::{Builder, Gateway};

fn count_received(kind: &'static str, bytes: usize) {
    let received = metrics::counter!("knapweedgap_store_received_bytes_total", "kind" => kind);
    received.increment(bytes as u64);
}
