//! Orders that the owner of the workload passes to a relay, and their outcomes.
//!
//! A relay is an instance that talks to a share of the workers for the owner. Both messages are
//! sent many times a second, so their fields are encoded under names of one letter.

use std::net::SocketAddr;

use knapweedgap_core::{id, revision};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::wire::Call;

/// Orders of one owner, in the order in which the relay sends them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Epoch of the owner. A relay carries out only the orders of the leader that it follows.
    #[serde(rename = "e")]
    pub epoch: revision::Epoch,
    /// Payloads of jobs, to which the starts refer by position, so that the tasks of one job share
    /// one copy.
    #[serde(rename = "p")]
    pub payloads: Vec<String>,
    /// At most one of each call number.
    #[serde(rename = "o")]
    pub orders: Vec<Order>,
}

/// Order to one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number that the [`Outcome`] repeats.
    #[serde(rename = "c")]
    pub call: Call,
    /// Worker for which the order is meant.
    #[serde(rename = "w")]
    pub worker: id::Worker,
    /// Incarnation of the worker for which the order is meant.
    #[serde(rename = "i")]
    pub incarnation: revision::Incarnation,
    /// Address at which the worker accepts orders.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Fencing token of the owner.
    #[serde(rename = "f")]
    pub fence: revision::Fence,
    /// What the worker is asked to do.
    #[serde(rename = "k")]
    pub kind: Kind,
}

/// What a worker is asked to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Start a run.
    #[serde(rename = "s")]
    Start(Start),
    /// Stop a run.
    #[serde(rename = "x")]
    Stop(Run),
    /// Set the speed of a run, in percent.
    #[serde(rename = "v")]
    Speed(Run, u32),
    /// Renew the lease and report all runs.
    #[serde(rename = "p")]
    Poll(Poll),
    /// Close the connections to the worker, because another instance talks to it now. The order has
    /// no outcome.
    #[serde(rename = "d")]
    Disconnect,
}

/// Task as `<job>`, occurrence, step and index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task(pub id::Job, pub u32, pub u16, pub u32);

/// Run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Task of the run.
    #[serde(rename = "t")]
    pub task: Task,
    /// Grows with each start of the task.
    #[serde(rename = "n")]
    pub number: revision::Run,
}

/// Start of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Run to start.
    #[serde(rename = "r")]
    pub run: Run,
    /// Position of the job's payload in [`Orders::payloads`].
    #[serde(rename = "p")]
    pub payload: u32,
    /// End of the lease, in milliseconds on the clock of the worker.
    #[serde(rename = "l")]
    pub lease_end_ms: u64,
    /// Checkpoint to resume from; empty for a start from the beginning.
    #[serde(rename = "c", default, skip_serializing_if = "SmolStr::is_empty")]
    pub checkpoint: SmolStr,
    /// Ticket from the placement advice.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<SmolStr>,
    /// Time from the arrival of the order in which the start may be sent, in milliseconds; absent if
    /// it has no limit.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub valid_ms: Option<u64>,
}

/// Poll of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Poll {
    /// Ended runs up to this one are stored.
    #[serde(rename = "a")]
    pub acknowledged: revision::End,
    /// New end of the lease, in milliseconds on the clock of the worker; absent if it is not
    /// renewed.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub lease_end_ms: Option<u64>,
    /// Longest time that the worker delays the answer until a run ends, in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u64,
}

/// Outcomes of orders, in the order in which they became known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Empty if the message only says that the relay shuts down.
    #[serde(rename = "o")]
    pub outcomes: Vec<Outcome>,
    /// The relay shuts down and takes no further orders.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Outcome of one order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Number of the order.
    #[serde(rename = "c")]
    pub call: Call,
    /// Result of the order.
    #[serde(rename = "r")]
    pub result: Result,
}

/// Result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Result {
    /// The worker carried out the order.
    #[serde(rename = "d")]
    Done,
    /// Answer to a poll.
    #[serde(rename = "r")]
    Report(Report),
    /// The worker refused the order, for the reason with this name.
    #[serde(rename = "x")]
    Refused(SmolStr),
    /// Nothing listens at the address of the worker.
    #[serde(rename = "n")]
    NoListener,
    /// No answer; the worker may carry out the order later.
    #[serde(rename = "u")]
    Unanswered(SmolStr),
}

/// Report of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the worker, if its answer contains one.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<revision::Incarnation>,
    /// Clock of the worker when it answered, in milliseconds.
    #[serde(rename = "k")]
    pub clock_ms: u64,
    /// Shortest time until the worker leaves, in milliseconds; absent while it is not draining.
    #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
    pub leaves_in_ms: Option<u64>,
    /// Runs in progress.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub running: Vec<Running>,
    /// Ended runs that are not acknowledged.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<Ended>,
    /// Number of rows that the relay could not decode.
    #[serde(rename = "u", default, skip_serializing_if = "is_zero")]
    pub undecoded: u32,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Run in progress: run, checkpoint, progress in percent, and the measurement over the last half
/// second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running(pub Task, pub revision::Run, pub SmolStr, pub u32, pub Option<u64>);

/// Ended run: its number, run, cause and checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended(pub revision::End, pub Task, pub revision::Run, pub SmolStr, pub SmolStr);
