//! Actions that the engine requests from its caller.

use std::time::Duration;

use knapweedgap_core::id;
use smol_str::SmolStr;

use crate::api::Answer;
use crate::event::Event;
use crate::{order, task};

/// Number by which the caller matches an answer to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Action that the caller must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answer the request with this ticket.
    Answer(Ticket, Answer),
    /// Send a start and report the result to [`crate::engine::Engine::start_answered`].
    Start(order::Target, order::Start),
    /// Send a stop and report the result to [`crate::engine::Engine::stop_answered`].
    Stop(order::Target, order::Stop),
    /// Set the speed of a run and report a failure to [`crate::engine::Engine::speed_failed`].
    SetSpeed(order::Target, order::Speed),
    /// Poll a worker at once, in addition to a poll that waits for its answer.
    Poll(id::Worker),
    /// Start to poll a new worker in a loop.
    StartPolling(id::Worker),
    /// Request placement advice on these workers, with a timeout for the answer, and report it to
    /// [`crate::engine::Engine::advice_answered`].
    Advise(task::Step, Vec<id::Worker>, Duration),
    /// Log a decision.
    Log(Event),
    /// Check the ownership, because a worker has seen a higher fencing token. The text is the
    /// reason for the log.
    CheckOwnership(id::Worker, SmolStr),
}
