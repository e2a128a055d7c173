//! Life cycle of the process: `Starting` → `Serving` → `Draining`.

use knapweedgap_operator::instance;

/// State: the settings have not been read yet.
#[derive(Debug)]
pub(crate) struct Starting;

/// State: requests are served.
#[derive(Debug)]
pub(crate) struct Serving;

/// State: no new work is accepted and the work in flight is completed.
#[derive(Debug)]
pub(crate) struct Draining;

/// Process in one state of its life cycle.
#[derive(Debug)]
pub(crate) struct Process<State> {
    _state: State,
}

impl Process<Starting> {
    pub(crate) fn new() -> Process<Starting> {
        Process { _state: Starting }
    }

    /// Moves to `Serving` once the settings are known.
    pub(crate) fn serve(self) -> Process<Serving> {
        Process { _state: Serving }
    }

    /// Moves to `Draining` because shutdown was requested before the process was ready.
    pub(crate) fn drain(self) -> Process<Draining> {
        Process { _state: Draining }
    }
}

impl Process<Serving> {
    /// Moves to `Draining` because shutdown was requested.
    pub(crate) fn drain(self) -> Process<Draining> {
        Process { _state: Draining }
    }
}

/// Process in any state, for code that reads the state at run time.
#[derive(Debug)]
pub(crate) enum Any {
    Starting(Process<Starting>),
    Serving(Process<Serving>),
    Draining(Process<Draining>),
}

impl Any {
    /// Moves to `Serving` from `Starting`; has no effect in other states.
    pub(crate) fn serve(self) -> Any {
        match self {
            Any::Starting(process) => Any::Serving(process.serve()),
            other => other,
        }
    }

    /// Moves to `Draining` from any state.
    pub(crate) fn drain(self) -> Any {
        match self {
            Any::Starting(process) => Any::Draining(process.drain()),
            Any::Serving(process) => Any::Draining(process.drain()),
            Any::Draining(process) => Any::Draining(process),
        }
    }

    /// Returns the state that is reported to operators.
    pub(crate) fn state(&self) -> instance::State {
        match self {
            Any::Starting(_) => instance::State::Starting,
            Any::Serving(_) => instance::State::Serving,
            Any::Draining(_) => instance::State::Draining,
        }
    }
}
