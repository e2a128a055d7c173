//! The upstream peer: connection pool and forwarding over HTTP.
