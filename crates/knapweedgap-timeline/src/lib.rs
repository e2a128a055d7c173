//! Hybrid logical clock and the event time line.

pub mod buffer;
pub mod event;
pub mod filter;
pub mod hybrid;
pub mod json;
pub mod merge;
pub mod stamp;

pub use buffer::Buffer;
pub use event::{Event, Kind};
pub use filter::Filter;
pub use stamp::Stamp;
