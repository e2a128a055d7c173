//! The key-value service peer: interface and etcd v3 JSON gateway adapter.
