//! The client peer: service requests over HTTP.
//!
//! [`metadata`] reads what a request says about itself and [`answer`] builds the error answers.

pub mod answer;
pub mod metadata;
