//! The client peer: service requests over HTTP.
