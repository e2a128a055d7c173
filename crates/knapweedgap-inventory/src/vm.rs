//! Machine records of the VM list.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;
use knapweedgap_core::{id, parse, size};

/// Machine of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Unique id within the list.
    pub id: id::Vm,
    /// Kind of work that the machine does.
    pub role: Role,
    /// Address on which the machine accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the machine.
    pub zone: id::Zone,
    /// Rack; `None` if the platform does not report it.
    pub rack: Option<id::Rack>,
    /// Whether the machine stays or is about to be removed.
    pub state: State,
    /// Resources of a worker, or resources reserved for an upstream on its host; zero for an entry
    /// whose record omits them.
    pub capacity: size::Resources,
}

/// Kind of work that a machine does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Server that answers the requests of a service.
    Upstream {
        /// Service whose requests it answers.
        service: id::Service,
        /// Number of requests that it processes concurrently, at least 1.
        slots: size::Slot,
        /// Worker whose capacity it uses; `None` for an upstream on a dedicated machine.
        host: Option<id::Worker>,
    },
    /// Machine that runs batch tasks.
    Worker,
    /// Machine that runs the daemon.
    Entry,
}

impl Role {
    /// Returns the name of the role in the JSON list.
    pub fn name(&self) -> &'static str {
        match self {
            Role::Upstream { .. } => "upstream",
            Role::Worker => "worker",
            Role::Entry => "entry",
        }
    }
}

impl Record {
    /// Returns the worker id of a worker; `None` for other roles.
    pub fn worker(&self) -> Option<id::Worker> {
        matches!(self.role, Role::Worker).then(|| self.id.as_str().parse().ok()).flatten()
    }

    /// Returns the upstream id of an upstream; `None` for other roles.
    pub fn upstream(&self) -> Option<id::Upstream> {
        let is_upstream = matches!(self.role, Role::Upstream { .. });
        is_upstream.then(|| self.id.as_str().parse().ok()).flatten()
    }
}

/// Whether a machine stays or is about to be removed. The text form is the one in the JSON list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum State {
    /// The machine is in normal operation.
    #[display("live")]
    Live,
    /// The machine is about to be removed and accepts no new work.
    #[display("leaving")]
    Leaving,
}

impl FromStr for State {
    type Err = parse::Error;

    fn from_str(text: &str) -> Result<State, parse::Error> {
        match text {
            "live" => Ok(State::Live),
            "leaving" => Ok(State::Leaving),
            _ => Err(parse::Error::new("VM state", text, "write live or leaving")),
        }
    }
}
