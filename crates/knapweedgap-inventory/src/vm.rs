//! Records of the VM list.

use std::net::SocketAddr;
use std::str::FromStr;

use derive_more::Display;
use knapweedgap_core::{id, parse, size};

/// One machine of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Id of the machine.
    pub id: id::Vm,
    /// What runs on it.
    pub role: Role,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: id::Zone,
    /// Rack, when the platform tells it.
    pub rack: Option<id::Rack>,
    /// Whether it stays.
    pub state: State,
    /// Resources of a worker, or those reserved for an upstream on its host.
    pub capacity: size::Resources,
}

/// What runs on a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Runner of a service.
    Upstream {
        /// Service whose requests it answers.
        service: id::Service,
        /// Requests that it works on at once.
        slots: size::Slot,
        /// Worker whose capacity it takes; none for a machine of its own.
        host: Option<id::Worker>,
    },
    /// Machine that runs batch tasks.
    Worker,
    /// Machine that runs the daemon.
    Entry,
}

impl Role {
    /// Returns the name of the role in the list.
    pub fn name(&self) -> &'static str {
        match self {
            Role::Upstream { .. } => "upstream",
            Role::Worker => "worker",
            Role::Entry => "entry",
        }
    }
}

impl Record {
    /// Returns the id as a worker's, if it is one.
    pub fn worker(&self) -> Option<id::Worker> {
        matches!(self.role, Role::Worker).then(|| self.id.as_str().parse().ok()).flatten()
    }

    /// Returns the id as an upstream's, if it is one.
    pub fn upstream(&self) -> Option<id::Upstream> {
        let is_upstream = matches!(self.role, Role::Upstream { .. });
        is_upstream.then(|| self.id.as_str().parse().ok()).flatten()
    }
}

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum State {
    /// The machine stays.
    #[display("live")]
    Live,
    /// The machine is about to be removed and takes no new work.
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
