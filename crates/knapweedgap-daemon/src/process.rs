//! Life cycle of the process: `Starting` → `Serving` → `Draining`.

use knapweedgap_operator::instance;

/// State: the settings in force are not known yet.
#[derive(Debug)]
pub(crate) struct Starting;

/// State: requests are served.
#[derive(Debug)]
pub(crate) struct Serving;

/// State: no new work is accepted and the work in flight finishes.
#[derive(Debug)]
pub(crate) struct Draining;

/// The process in one state of its life cycle.
#[derive(Debug)]
pub(crate) struct Process<State> {
    _state: State,
}

impl Process<Starting> {
    pub(crate) fn new() -> Process<Starting> {
        Process { _state: Starting }
    }

    /// The settings are in force.
    pub(crate) fn serve(self) -> Process<Serving> {
        Process { _state: Serving }
    }

    /// Shutdown was asked for before the process was ready.
    pub(crate) fn drain(self) -> Process<Draining> {
        Process { _state: Draining }
    }
}

impl Process<Serving> {
    /// Shutdown was asked for.
    pub(crate) fn drain(self) -> Process<Draining> {
        Process { _state: Draining }
    }
}

/// The process in any state, for the readers of the state.
#[derive(Debug)]
pub(crate) enum Any {
    Starting(Process<Starting>),
    Serving(Process<Serving>),
    Draining(Process<Draining>),
}

impl Any {
    /// Moves to `Serving`, unless the process has left `Starting`.
    pub(crate) fn serve(self) -> Any {
        match self {
            Any::Starting(process) => Any::Serving(process.serve()),
            other => other,
        }
    }

    /// Moves to `Draining`.
    pub(crate) fn drain(self) -> Any {
        match self {
            Any::Starting(process) => Any::Draining(process.drain()),
            Any::Serving(process) => Any::Draining(process.drain()),
            Any::Draining(process) => Any::Draining(process),
        }
    }

    /// Returns the state as operators see it.
    pub(crate) fn state(&self) -> instance::State {
        match self {
            Any::Starting(_) => instance::State::Starting,
            Any::Serving(_) => instance::State::Serving,
            Any::Draining(_) => instance::State::Draining,
        }
    }
}
