//! Peers of the scheduler as interfaces. A platform implements them; nothing else knows its
//! messages.

use std::future::Future;
use std::time::Duration;

use http_types::{Request, Response};
use knapweedgap_core::{id, revision};
use knapweedgap_store::{Entry, Key, Store};
use knapweedgap_workload::api::{self, Answer};
use knapweedgap_workload::configuration::Configuration;
use knapweedgap_workload::engine::{Progress, UpkeepRequest};
use knapweedgap_workload::order::{self, Failure};
use knapweedgap_workload::wave::{self, Vm, Wave};
use knapweedgap_workload::{task, worker};
use smol_str::SmolStr;

/// Platform: its peers for the control thread.
pub trait Platform: 'static {
    /// Key-value service.
    type Store: Store;
    /// Workers.
    type Workers: Workers;
    /// Placement advice.
    type Advisor: Advisor;
    /// VMs.
    type Vms: Vms;
    /// Operators.
    type Operators: Operators;

    /// Returns the key-value service.
    fn store(&self) -> &Self::Store;
    /// Returns the workers.
    fn workers(&self) -> &Self::Workers;
    /// Returns the placement advice.
    fn advisor(&self) -> &Self::Advisor;
    /// Returns the VMs.
    fn vms(&self) -> &Self::Vms;
    /// Returns the operators.
    fn operators(&self) -> &Self::Operators;
}

/// Workers. Each call has a time limit of its own; see [`Failure`] for what a failure means.
#[allow(async_fn_in_trait, reason = "futures run on the executor of the control thread")]
pub trait Workers {
    /// Starts a task. A run that is already there is a success.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    async fn start(&self, target: &order::Target, start: &order::Start) -> Result<(), Failure>;

    /// Stops a run, or keeps it from starting.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    async fn stop(&self, target: &order::Target, stop: &order::Stop) -> Result<(), Failure>;

    /// Sets the pace of a run.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    async fn set_speed(&self, target: &order::Target, pace: &order::Pace) -> Result<(), Failure>;

    /// Renews the lease of a worker and asks for its lists.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    async fn poll(
        &self,
        target: &order::Target,
        hold: &order::Hold,
    ) -> Result<worker::Report, Failure>;

    /// Drops the connections to a worker that is no longer followed.
    fn forget(&self, worker: &id::Worker);
}

/// Workers that a step may run on, each with a ticket, and how long the tickets are valid.
pub type Advised = (Vec<(id::Worker, SmolStr)>, Duration);

/// Placement advice.
#[allow(async_fn_in_trait, reason = "futures run on the executor of the control thread")]
pub trait Advisor {
    /// Asks which of `workers` may run a step. Without a service in the settings nothing is
    /// allowed.
    ///
    /// # Errors
    ///
    /// The reason for people; the question may be asked again.
    async fn advise(&self, step: task::Step, workers: &[id::Worker]) -> Result<Advised, SmolStr>;
}

/// VMs of the platform.
#[allow(async_fn_in_trait, reason = "futures run on the executor of the control thread")]
pub trait Vms {
    /// Lists the VMs.
    ///
    /// # Errors
    ///
    /// The reason for people.
    async fn list(&self) -> Result<Vec<Vm>, SmolStr>;

    /// Takes a VM down for maintenance.
    ///
    /// # Errors
    ///
    /// Any [`wave::Failure`].
    async fn start_maintenance(
        &self,
        holder: &id::Instance,
        fence: revision::Fence,
        request: &UpkeepRequest,
    ) -> Result<(), wave::Failure>;
}

/// What operators and workers keep in the key-value service.
pub trait Operators {
    /// Prefix of everything that operators write.
    fn operator_prefix(&self) -> Key;
    /// Key of the configuration.
    fn configuration_key(&self) -> Key;
    /// Prefix of the entries of workers.
    fn worker_prefix(&self) -> Key;
    /// Key of the progress of a wave.
    fn wave_status_key(&self, wave: u64) -> Key;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// The fault with its place.
    fn configuration(&self, entry: &Entry) -> Result<Configuration, SmolStr>;

    /// Returns the worker of a key under the worker prefix.
    fn worker_of(&self, key: &Key) -> Option<id::Worker>;

    /// Decodes the entry of a worker.
    ///
    /// # Errors
    ///
    /// The fault with its place; the entry names no worker to use then.
    fn worker(&self, entry: &Entry) -> Result<worker::Listed, SmolStr>;

    /// Decodes a wave; nothing for another key of the operators.
    ///
    /// # Errors
    ///
    /// The fault with its place.
    fn wave(&self, entry: &Entry) -> Result<Option<Wave>, SmolStr>;

    /// Encodes the progress of a wave.
    fn wave_status(&self, wave: u64, progress: Progress) -> Vec<u8>;

    /// Tells whether a stored progress says that the wave is completed.
    fn is_wave_completed(&self, entry: &Entry) -> bool;
}

/// Request of a client with the time that it waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Request.
    pub request: api::Request,
    /// Time that the client still waits, if it says so.
    pub timeout: Option<Duration>,
}

/// Encoding of requests and answers of clients. It is used by traffic threads.
pub trait Front: Clone + Send + 'static {
    /// Reads a request; a response when it is malformed.
    fn decode(&self, request: Request) -> impl Future<Output = Result<Call, Response>>;
    /// Writes an answer.
    fn encode(&self, answer: &Answer) -> Response;
}
