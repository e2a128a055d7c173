//! Life cycle of a task.
//!
//! Each phase is a type, and each transition consumes a phase and returns the next one, so an
//! illegal transition does not compile. [`Phase`] contains any phase.

use std::time::Instant;

use knapweedgap_core::{id, revision};

use super::fleet::Proof;

/// Run and the incarnation of the worker that it is assigned to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Assignment {
    pub(crate) worker: id::Worker,
    pub(crate) incarnation: revision::Incarnation,
    pub(crate) run: revision::Run,
}

/// The task is not assigned to a worker.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) since: Instant,
}

/// The task is assigned. The assignment is not stored yet, so no order was sent.
#[derive(Debug, Clone)]
pub(crate) struct Planned {
    pub(crate) assignment: Assignment,
    /// Since when the task waits for its start.
    pub(crate) since: Instant,
}

/// The start was sent and is not answered yet.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) assignment: Assignment,
}

/// The worker may carry out the start at any time until it has seen `fence`.
#[derive(Debug, Clone)]
pub(crate) struct Unconfirmed {
    pub(crate) assignment: Assignment,
    pub(crate) fence: revision::Fence,
}

/// The worker has confirmed the run.
#[derive(Debug, Clone)]
pub(crate) struct Running {
    pub(crate) assignment: Assignment,
    /// When the confirmation arrived. A report that was requested earlier may not list the run.
    pub(crate) since: Instant,
}

/// A stop was ordered. The run keeps its capacity until a report lists its end.
#[derive(Debug, Clone)]
pub(crate) struct Stopping {
    pub(crate) assignment: Assignment,
    /// The start was sent and neither answered nor given up, and no report has listed the run.
    pub(crate) is_start_pending: bool,
    /// Condition under which a report that does not list the run shows that it shuts down, has ended
    /// or never began; `None` while the start is pending.
    pub(crate) absence: Option<Proof>,
    /// When the worker first answered the stop, or first showed that the run does not go on, see
    /// [`Proof::after_stop`].
    pub(crate) answered: Option<Instant>,
    /// When the stop is sent again; `None` until it is first sent, which happens once its cause is
    /// stored.
    pub(crate) again_at: Option<Instant>,
}

/// The task has finished.
#[derive(Debug, Clone)]
pub(crate) struct Done;

impl Waiting {
    pub(crate) fn place(self, assignment: Assignment) -> Planned {
        Planned { assignment, since: self.since }
    }
}

impl Planned {
    pub(crate) fn send(self) -> Sent {
        Sent { assignment: self.assignment }
    }

    pub(crate) fn withdraw(self) -> Waiting {
        Waiting { since: self.since }
    }
}

impl Sent {
    pub(crate) fn confirm(self, now: Instant) -> Running {
        Running { assignment: self.assignment, since: now }
    }

    pub(crate) fn refuse(self, now: Instant) -> Waiting {
        Waiting { since: now }
    }

    pub(crate) fn leave_unconfirmed(self, fence: revision::Fence) -> Unconfirmed {
        Unconfirmed { assignment: self.assignment, fence }
    }

    pub(crate) fn stop(self) -> Stopping {
        Stopping { is_start_pending: true, ..Stopping::new(self.assignment, None) }
    }
}

impl Unconfirmed {
    pub(crate) fn confirm(self, now: Instant) -> Running {
        Running { assignment: self.assignment, since: now }
    }

    pub(crate) fn withdraw(self, now: Instant) -> Waiting {
        Waiting { since: now }
    }

    pub(crate) fn stop(self) -> Stopping {
        Stopping::new(self.assignment, Some(Proof::Fence(self.fence)))
    }
}

impl Running {
    pub(crate) fn stop(self) -> Stopping {
        Stopping::new(self.assignment, Some(Proof::RequestedAfter(self.since)))
    }

    pub(crate) fn lose(self, now: Instant) -> Waiting {
        Waiting { since: now }
    }
}

impl Stopping {
    fn new(assignment: Assignment, absence: Option<Proof>) -> Stopping {
        Stopping { assignment, is_start_pending: false, absence, answered: None, again_at: None }
    }

    /// Returns the state after a takeover or in the next incarnation of the worker. An earlier stop
    /// may not have arrived, and an earlier start is refused once the worker has seen `fence`.
    pub(crate) fn again(assignment: Assignment, fence: revision::Fence, now: Instant) -> Stopping {
        let absence = Some(Proof::Fence(fence));
        Stopping { again_at: Some(now), ..Stopping::new(assignment, absence) }
    }

    /// Returns the state once the start is no longer pending: the run may have begun.
    pub(crate) fn settle(self, absence: Proof) -> Stopping {
        if !self.is_start_pending {
            return self;
        }
        Stopping { is_start_pending: false, absence: Some(absence), ..self }
    }

    /// Returns `true` if a report that does not list the run, requested at `sent` with `fence`, is the
    /// first sign that the run does not go on.
    pub(crate) fn is_absence_new(&self, sent: Instant, fence: revision::Fence) -> bool {
        self.answered.is_none() && self.absence.is_some_and(|proof| proof.is_met(sent, fence))
    }

    pub(crate) fn end(self, now: Instant) -> Waiting {
        Waiting { since: now }
    }
}

/// Task in any phase.
#[derive(Debug, Clone)]
pub(crate) enum Phase {
    Waiting(Waiting),
    Planned(Planned),
    Sent(Sent),
    Unconfirmed(Unconfirmed),
    Running(Running),
    Stopping(Stopping),
    Done(Done),
}

impl Phase {
    /// Returns the assignment; `None` if the task is waiting or done.
    pub(crate) fn assignment(&self) -> Option<&Assignment> {
        match self {
            Phase::Waiting(_) | Phase::Done(_) => None,
            Phase::Planned(planned) => Some(&planned.assignment),
            Phase::Sent(sent) => Some(&sent.assignment),
            Phase::Unconfirmed(unconfirmed) => Some(&unconfirmed.assignment),
            Phase::Running(running) => Some(&running.assignment),
            Phase::Stopping(stopping) => Some(&stopping.assignment),
        }
    }

    /// Returns the name of the phase in the log.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Phase::Waiting(_) => "waiting",
            Phase::Planned(_) => "planned",
            Phase::Sent(_) => "sent",
            Phase::Unconfirmed(_) => "unconfirmed",
            Phase::Running(_) => "running",
            Phase::Stopping(_) => "stopping",
            Phase::Done(_) => "done",
        }
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self, Phase::Waiting(_))
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self, Phase::Stopping(_))
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self, Phase::Done(_))
    }

    /// Returns the condition under which a report that does not list the run proves that it has
    /// ended or never began. Returns `None` while the start may be carried out at any time, and if
    /// the task has no run.
    pub(crate) fn proof_of_end(&self) -> Option<Proof> {
        match self {
            Phase::Running(running) => Some(Proof::RequestedAfter(running.since)),
            Phase::Unconfirmed(unconfirmed) => Some(Proof::Fence(unconfirmed.fence)),
            Phase::Stopping(stopping) => stopping.answered.map(Proof::after_stop),
            Phase::Waiting(_) | Phase::Planned(_) | Phase::Sent(_) | Phase::Done(_) => None,
        }
    }

    /// Moves a run that no report has listed to the next incarnation of its worker, which may carry
    /// out a late start until it has seen `fence`.
    pub(crate) fn start_unconfirmed_in(
        self,
        incarnation: revision::Incarnation,
        fence: revision::Fence,
        now: Instant,
    ) -> Phase {
        let moved = |old: Assignment| Assignment { incarnation, ..old };
        match self {
            Phase::Sent(Sent { assignment: old })
            | Phase::Unconfirmed(Unconfirmed { assignment: old, .. })
            | Phase::Running(Running { assignment: old, .. }) => {
                Phase::Unconfirmed(Unconfirmed { assignment: moved(old), fence })
            }
            Phase::Stopping(Stopping { assignment: old, .. }) => {
                Phase::Stopping(Stopping::again(moved(old), fence, now))
            }
            other => other.into_waiting(now),
        }
    }

    /// Returns the task to waiting, because its run has ended or will never begin.
    pub(crate) fn into_waiting(self, now: Instant) -> Phase {
        match self {
            Phase::Planned(planned) => Phase::Waiting(planned.withdraw()),
            Phase::Sent(sent) => Phase::Waiting(sent.refuse(now)),
            Phase::Unconfirmed(unconfirmed) => Phase::Waiting(unconfirmed.withdraw(now)),
            Phase::Running(running) => Phase::Waiting(running.lose(now)),
            Phase::Stopping(stopping) => Phase::Waiting(stopping.end(now)),
            other @ (Phase::Waiting(_) | Phase::Done(_)) => other,
        }
    }

    /// Moves the run to stopping. A task whose start was not sent returns to waiting at once.
    pub(crate) fn stop(self) -> Phase {
        match self {
            Phase::Planned(planned) => Phase::Waiting(planned.withdraw()),
            Phase::Sent(sent) => Phase::Stopping(sent.stop()),
            Phase::Unconfirmed(unconfirmed) => Phase::Stopping(unconfirmed.stop()),
            Phase::Running(running) => Phase::Stopping(running.stop()),
            other => other,
        }
    }
}
