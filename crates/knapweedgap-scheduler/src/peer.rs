//! Interfaces to the peers of the scheduler. A platform implements them and encapsulates its own
//! messages.

use std::future::Future;
use std::time::Duration;

use http_types::{Request, Response};
use knapweedgap_core::{id, revision};
use knapweedgap_store::{Entry, Key, Store};
use knapweedgap_workload::api::{self, Answer};
use knapweedgap_workload::configuration::{Configuration, Limits};
use knapweedgap_workload::engine::{MaintenanceRequest, Progress};
use knapweedgap_workload::order::{self, Failure};
use knapweedgap_workload::wave::{self, Vm, Wave};
use knapweedgap_workload::{task, worker};
use smol_str::SmolStr;

/// Peers of the control thread on one platform.
#[expect(missing_docs, reason = "each associated type and its accessor are named after the peer")]
pub trait Platform: 'static {
    type Store: Store;
    type Workers: Workers;
    type Advisor: Advisor;
    type Vms: Vms;
    type Operators: Operators;

    fn store(&self) -> &Self::Store;
    fn workers(&self) -> &Self::Workers;
    fn advisor(&self) -> &Self::Advisor;
    fn vms(&self) -> &Self::Vms;
    fn operators(&self) -> &Self::Operators;
}

/// Client of the workers. A call fails as unanswered after its timeout.
#[allow(async_fn_in_trait, reason = "futures run on the executor of the control thread")]
pub trait Workers {
    /// Starts a run of a task. Succeeds also if the run has already started.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    async fn start(
        &self,
        target: &order::Target,
        start: &order::Start,
        timeout: Duration,
    ) -> Result<(), Failure>;

    /// Stops a run, or prevents it from starting if its start has not arrived yet.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    async fn stop(
        &self,
        target: &order::Target,
        stop: &order::Stop,
        timeout: Duration,
    ) -> Result<(), Failure>;

    /// Sets the speed of a run.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    async fn set_speed(
        &self,
        target: &order::Target,
        order: &order::Speed,
        timeout: Duration,
    ) -> Result<(), Failure>;

    /// Renews the lease of a worker and returns its running and ended runs. The timeout is added to
    /// the wait of the poll.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    async fn poll(
        &self,
        target: &order::Target,
        poll: &order::Poll,
        timeout: Duration,
    ) -> Result<worker::Report, Failure>;

    /// Closes the connections to a worker that is no longer polled.
    fn disconnect(&self, worker: &id::Worker);
}

/// Workers on which a step may run, each with its ticket, and the validity of the tickets.
pub type Advised = (Vec<(id::Worker, SmolStr)>, Duration);

/// Client of the placement advice service.
#[allow(async_fn_in_trait, reason = "futures run on the executor of the control thread")]
pub trait Advisor {
    /// Returns the workers among `workers` that may run a step. The service needs more time for more
    /// workers, so each call has a timeout of its own.
    ///
    /// # Errors
    ///
    /// A message for the log if the settings name no service or the call fails. The call may be
    /// repeated.
    async fn advise(
        &self,
        step: task::Step,
        workers: &[id::Worker],
        timeout: Duration,
    ) -> Result<Advised, SmolStr>;
}

/// Client of the platform's VM service.
#[allow(async_fn_in_trait, reason = "futures run on the executor of the control thread")]
pub trait Vms {
    /// Returns all VMs.
    ///
    /// # Errors
    ///
    /// A message for the log if the settings name no service or the call fails.
    async fn list(&self) -> Result<Vec<Vm>, SmolStr>;

    /// Takes a VM down for maintenance. `owner` is the instance that owns the workload and `fence`
    /// its fencing token.
    ///
    /// # Errors
    ///
    /// Any [`wave::Failure`].
    async fn start_maintenance(
        &self,
        owner: &id::Instance,
        fence: revision::Fence,
        request: &MaintenanceRequest,
    ) -> Result<(), wave::Failure>;
}

/// Codec of the entries that operators and workers write to the key-value service.
pub trait Operators {
    /// Returns the prefix of all keys that operators write.
    fn operator_prefix(&self) -> Key;
    /// Returns the key of the configuration, which lies under the operator prefix.
    fn configuration_key(&self) -> Key;
    /// Returns the prefix of the keys of worker entries.
    fn worker_prefix(&self) -> Key;
    /// Returns the key under which the progress of a wave is stored.
    fn wave_status_key(&self, wave: u64) -> Key;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// A message that locates the invalid part.
    fn configuration(&self, entry: &Entry) -> Result<Configuration, SmolStr>;

    /// Decodes the limits on the requests of clients in the configuration; `None`, as by default, if
    /// the installation has none.
    ///
    /// # Errors
    ///
    /// A message that locates the invalid part.
    fn client_limits(&self, _entry: &Entry) -> Result<Option<Limits>, SmolStr> {
        Ok(None)
    }

    /// Returns the availability zone that operators evacuate by an entry with this key; `None` for any
    /// other key. The value does not matter.
    fn evacuated_zone(&self, key: &Key) -> Option<id::Zone>;

    /// Returns the worker whose entry has this key, or `None` if the key names no worker.
    fn worker_of(&self, key: &Key) -> Option<id::Worker>;

    /// Decodes the entry of a worker.
    ///
    /// # Errors
    ///
    /// A message that locates the invalid part. The entry then counts as no worker.
    fn worker(&self, entry: &Entry) -> Result<worker::Listed, SmolStr>;

    /// Decodes a wave. Returns `None` for any other entry under the operator prefix.
    ///
    /// # Errors
    ///
    /// A message that locates the invalid part.
    fn wave(&self, entry: &Entry) -> Result<Option<Wave>, SmolStr>;

    /// Encodes the progress of a wave as the value of its status key.
    fn wave_status(&self, wave: u64, progress: Progress) -> Vec<u8>;

    /// Returns `true` if the value of a status key marks the wave as completed.
    fn is_wave_completed(&self, entry: &Entry) -> bool;
}

/// Decoded client request with its timeout.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Request, independent of the platform's encoding.
    pub request: api::Request,
    /// Time that the client waits for the answer; absent if the client does not specify it.
    pub timeout: Option<Duration>,
}

/// Codec of client requests and answers, used on the traffic thread.
pub trait Front: Clone + Send + 'static {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// The response to a malformed request.
    fn decode(&self, request: Request) -> impl Future<Output = Result<Call, Response>>;
    /// Encodes an answer.
    fn encode(&self, answer: &Answer) -> Response;
}
