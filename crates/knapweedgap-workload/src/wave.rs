//! Waves of maintenance, in which VMs are taken down a few at a time.

use std::time::Duration;

use knapweedgap_core::id;
use smol_str::SmolStr;

/// Wave that operators request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number that operators gave the wave.
    pub number: u64,
    /// VMs that each need maintenance once.
    pub vms: Vec<id::Vm>,
    /// Time limit of the whole wave.
    pub time_limit: Duration,
    /// Largest number of VMs that may be down at the same time.
    pub down_max: usize,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The VM is in service.
    Up,
    /// The VM is being moved to another service.
    Moving,
    /// The VM is down for maintenance.
    Maintenance,
    /// The VM is down for any other reason.
    Down,
}

/// Entry of a VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Id, which waves refer to.
    pub id: id::Vm,
    /// State at the time of the list.
    pub state: State,
    /// Worker that runs on the VM; `None` if there is none.
    pub worker: Option<id::Worker>,
}

/// Reason why the maintenance of a VM did not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The platform has seen a higher fencing token for this VM.
    Fence,
    /// The VM is not in service.
    Busy,
    /// The VM is not part of the wave or does not exist.
    NotInWave,
    /// No answer, or the rate limit was exceeded. The maintenance may have started.
    Unanswered(SmolStr),
}
