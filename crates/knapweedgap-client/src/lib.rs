//! The client peer: service requests over HTTP.
//!
//! [`metadata`] parses the metadata of a request and [`answer`] builds the error responses.

pub mod answer;
pub mod metadata;
