//! Routing decisions: upstream choice, queueing, retries and limits.
//!
//! A [`Router`] belongs to one traffic thread of one entry. It performs no I/O, reads no clock and
//! uses the random number generator that the caller passes.
//!
//! ```text
//! admit(&Request<Accepted>) -> Dispatch(Permit) -> Request<Dispatched> -> settle(outcome)
//!                           -> Queue(ticket)    -> Action::Start or Action::Refuse
//!                           -> Refuse(reason)
//! ```

mod budget;
mod candidates;
pub mod decision;
mod ejection;
mod estimate;
pub mod permit;
pub mod policy;
pub mod request;
mod router;
mod service;
pub mod share;
pub mod snapshot;
mod upstream;

pub use decision::{Action, Decision, Dispatch, Outcome, Reason, Settled, Ticket};
pub use permit::Permit;
pub use policy::Policy;
pub use request::Request;
pub use router::{Router, Stats};
pub use snapshot::Snapshot;
