//! Jobs: submission, state, list and cancellation.

mod filter;
mod state;
mod status;
mod submission;

pub use filter::Filter;
pub use state::{Priority, State};
pub use status::{Accepted, Cancelled, Counts, List, Status};
pub use submission::{Builder, RUN_TIME_MAX, Size, Submission, TASKS_MAX};
