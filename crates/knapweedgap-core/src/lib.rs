//! Newtypes for ids, sizes, rates and revisions, and the clock interface.
//!
//! Every newtype has `Display` and `FromStr`, and the two round-trip.

pub mod clock;
pub mod id;
mod macros;
pub mod parse;
pub mod rate;
pub mod revision;
pub mod size;
