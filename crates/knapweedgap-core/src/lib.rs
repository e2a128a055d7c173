//! Newtypes for ids, sizes, rates and revisions, and the clock interface.
//!
//! Every newtype implements `Display` and `FromStr`, and its text form parses back to the same
//! value.

pub mod clock;
pub mod id;
mod macros;
pub mod parse;
pub mod rate;
pub mod revision;
pub mod size;
