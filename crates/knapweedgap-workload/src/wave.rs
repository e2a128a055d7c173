//! Waves of maintenance: VMs that are to be taken down one after the other.

use std::time::Duration;

use knapweedgap_core::id;
use smol_str::SmolStr;

/// Wave that operators ask for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Number.
    pub number: u64,
    /// VMs that each need their maintenance once.
    pub vms: Vec<id::Vm>,
    /// Time for the whole wave.
    pub within: Duration,
    /// Most VMs down at the same time.
    pub down_max: usize,
}

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// In service.
    Up,
    /// On its way to another service.
    Moving,
    /// Down for maintenance.
    Maintenance,
    /// Down.
    Down,
}

/// VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// VM.
    pub id: id::Vm,
    /// State.
    pub state: State,
    /// Worker that runs on it, if any.
    pub worker: Option<id::Worker>,
}

/// Why the platform refused a maintenance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// A higher fencing token was used for this VM.
    Fence,
    /// The VM is not in service.
    Busy,
    /// The VM is not part of the wave or does not exist.
    NotInWave,
    /// No answer, or too many calls; it may have been carried out.
    Unanswered(SmolStr),
}
