//! What the caller of the engine has to do.

use knapweedgap_core::id;
use smol_str::SmolStr;

use crate::api::Answer;
use crate::event::Event;
use crate::{order, task};

/// Number by which the caller knows who waits for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Action of the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer the request of this ticket.
    Answer(Ticket, Answer),
    /// Send a start; report to [`crate::engine::Engine::start_answered`].
    Start(order::Target, order::Start),
    /// Send a stop; report to [`crate::engine::Engine::stop_answered`].
    Stop(order::Target, order::Stop),
    /// Send a pace; failures need no report, because the next look repeats it.
    Pace(order::Target, order::Pace),
    /// Look at a worker at once, beside the look that waits.
    Poll(id::Worker),
    /// Follow a worker that is new: look at it in a loop.
    StartPolling(id::Worker),
    /// Ask the placement advice; report to [`crate::engine::Engine::advice_answered`].
    Advise(task::Step, Vec<id::Worker>),
    /// Log a decision.
    Log(Event),
    /// A worker has seen a higher fencing token: check the ownership.
    CheckOwnership(id::Worker, SmolStr),
}
