//! Instances of the scheduler as threads, with the stand-in of the key-value service and an
//! in-memory worker.

#![allow(dead_code, reason = "each test file uses only some items")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use futures_lite::stream;
use http_types::{Method, Request, Response};
use knapweedgap_core::{id, rate, revision, size};
use knapweedgap_http::json::{self, Call, Caller};
use knapweedgap_scheduler::peer::{self, Advised};
use knapweedgap_scheduler::{run, settings::Settings};
use knapweedgap_standin::kv;
use knapweedgap_store::etcd::Gateway;
use knapweedgap_store::{Entry, Error, Key, Outcome, Page, Store, Txn, Watch, key, lease, txn};
use knapweedgap_workload::api::{self, Answer, Verb};
use knapweedgap_workload::bounds::Bounds;
use knapweedgap_workload::configuration::{Configuration, Policy, Queue};
use knapweedgap_workload::engine::{MaintenanceRequest, Progress};
use knapweedgap_workload::order::{self, Failure};
use knapweedgap_workload::wave::{self, Vm, Wave};
use knapweedgap_workload::{job, task, worker};
use smol_str::SmolStr;

/// Prefix of the entries of operators.
const OPERATORS: &str = "operators/";
const HOST: &str = "jobs.example";
/// Run time of each task.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Processors of each worker.
const CORES: u32 = 16;
/// Bandwidth of the links of the instances, in bits per second.
const LINK: u64 = 1_000_000_000;
/// Timeout for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(15);

/// Payload of a job whose tasks do not end by themselves.
const LONG_RUNNING: &str = "long-running";

/// Run of a task on an in-memory worker.
#[derive(Debug)]
struct Run {
    worker: id::Worker,
    number: revision::Run,
    started_at: Instant,
    ends: bool,
}

/// State of the in-memory workers that all instances share.
#[derive(Debug, Default)]
pub struct State {
    /// Last run of each task.
    runs: BTreeMap<task::Id, Run>,
    ended: Vec<(id::Worker, worker::Ended)>,
    fences: BTreeMap<id::Worker, revision::Fence>,
    pub starts: Vec<task::Id>,
    /// Time that each start still had to be sent in.
    pub validities: Vec<Duration>,
    /// Instance that sent each start.
    pub starters: Vec<usize>,
    /// Workers that answer nothing any more.
    pub gone: BTreeSet<id::Worker>,
    /// Workers that one instance can't reach.
    pub unreachable: BTreeSet<(usize, id::Worker)>,
    /// Instance, epoch and time of each lease that a worker received.
    pub grants: Vec<(usize, u64, Instant)>,
    /// Instance that sent the last poll of each worker.
    pub pollers: BTreeMap<id::Worker, usize>,
}

impl State {
    /// Returns the worker of the last run of the only task.
    pub fn worker_of_task(&self) -> Option<id::Worker> {
        self.runs.values().next().map(|run| run.worker.clone())
    }
}

#[derive(Clone)]
pub struct Workers {
    state: Arc<Mutex<State>>,
    born: Instant,
    /// Number of the instance that sends the orders.
    instance: usize,
}

impl Workers {
    fn new() -> Workers {
        Workers { state: Arc::default(), born: Instant::now(), instance: 0 }
    }

    pub fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets all runs end by themselves.
    pub fn end_runs(&self) {
        for run in self.state().runs.values_mut() {
            run.ends = true;
        }
    }

    /// Checks that a worker answers and accepts a fencing token, then ends its runs whose time has
    /// passed.
    fn check_order(&self, target: &order::Target, fence: revision::Fence) -> Result<(), Failure> {
        let id = &target.worker;
        let mut state = self.state();
        if state.gone.contains(id) || state.unreachable.contains(&(self.instance, id.clone())) {
            return Err(Failure::Unanswered("no answer".into()));
        }
        let known = state.fences.entry(id.clone()).or_default();
        if fence < *known {
            return Err(Failure::Refused(order::Refusal::Fence));
        }
        *known = fence;
        let is_done =
            |run: &Run| run.worker == *id && run.ends && run.started_at.elapsed() > RUN_TIME;
        let done: Vec<task::Id> =
            state.runs.iter().filter(|(_, run)| is_done(run)).map(|(task, _)| *task).collect();
        for task in done {
            let Some(run) = state.runs.remove(&task) else { continue };
            let number = revision::End::new(state.ended.len() as u64 + 1);
            let cause = worker::Cause::Done;
            let checkpoint = SmolStr::default();
            let ended = worker::Ended { number, task, run: run.number, cause, checkpoint };
            state.ended.push((run.worker, ended));
        }
        Ok(())
    }
}

impl peer::Workers for Workers {
    async fn start(
        &self,
        target: &order::Target,
        start: &order::Start,
        _timeout: Duration,
    ) -> Result<(), Failure> {
        self.check_order(target, start.fence)?;
        let mut state = self.state();
        state.starts.push(start.task);
        state.validities.push(start.valid);
        state.starters.push(self.instance);
        let run = Run {
            worker: target.worker.clone(),
            number: start.run,
            started_at: Instant::now(),
            ends: start.payload != LONG_RUNNING,
        };
        state.runs.insert(start.task, run);
        Ok(())
    }

    async fn stop(
        &self,
        target: &order::Target,
        stop: &order::Stop,
        _timeout: Duration,
    ) -> Result<(), Failure> {
        self.check_order(target, stop.fence)?;
        self.state().runs.remove(&stop.task);
        Ok(())
    }

    async fn set_speed(
        &self,
        target: &order::Target,
        order: &order::Speed,
        _timeout: Duration,
    ) -> Result<(), Failure> {
        self.check_order(target, order.fence)
    }

    async fn poll(
        &self,
        target: &order::Target,
        poll: &order::Poll,
        _timeout: Duration,
    ) -> Result<worker::Report, Failure> {
        async_io::Timer::after(poll.wait.min(Duration::from_millis(50))).await;
        self.check_order(target, poll.fence)?;
        let mut state = self.state();
        state.pollers.insert(target.worker.clone(), self.instance);
        if poll.lease_end.is_some() {
            let epoch = poll.fence.get() >> 20;
            state.grants.push((self.instance, epoch, Instant::now()));
        }
        let own = state.runs.iter().filter(|(_, run)| run.worker == target.worker);
        let running = own.map(|(&task, run)| worker::Running {
            task,
            run: run.number,
            checkpoint: SmolStr::default(),
            progress: run.started_at.elapsed().as_millis() as u32 / 4,
            measure: None,
        });
        let own = state.ended.iter().filter(|(worker, _)| *worker == target.worker);
        let ended = own.map(|(_, ended)| ended).filter(|ended| ended.number > poll.acknowledged);
        Ok(worker::Report {
            incarnation: None,
            clock: worker::Clock::from_millis(self.born.elapsed().as_millis() as u64),
            leaves_in: None,
            running: running.collect(),
            ended: ended.cloned().collect(),
            undecoded: 0,
        })
    }

    fn disconnect(&self, _worker: &id::Worker) {}
}

/// Answers of the store to one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Answers {
    #[default]
    Sent,
    /// The next commit that contains a log entry changes this to [`Answers::Lost`].
    LostFromNextBatch,
    /// Commits are carried out, and nothing is answered.
    Lost,
    /// This number of calls is carried out without an answer, from the next commit that contains a
    /// log entry. The calls fail after [`CALL_TIMEOUT`].
    LostCalls(u32),
}

/// Time after which a call fails whose answer was lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Write that is carried out late.
#[derive(Debug, Default)]
pub enum Late {
    #[default]
    None,
    /// The next transaction that writes a key with this prefix is held.
    Next(&'static str),
    Held(Txn),
}

impl Late {
    /// Holds a transaction if it is the next one of its kind. Returns `true` if it is held.
    fn hold(&mut self, txn: &Txn) -> bool {
        let Late::Next(prefix) = self else { return false };
        let is_of_kind = |write: &txn::Write| match write {
            txn::Write::Put { key, .. } => key.as_str().starts_with(*prefix),
            txn::Write::Delete(_) | txn::Write::DeletePrefix(_) => false,
        };
        if !txn.writes().iter().any(is_of_kind) {
            return false;
        }
        *self = Late::Held(txn.clone());
        true
    }
}

/// Watch of the operators' entries by one instance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Watching {
    #[default]
    Followed,
    /// No message arrives, and the watch stays open.
    Silent,
    /// The watch fails.
    Cut,
    /// The next watch finds its changes compacted; later ones are followed.
    Compacted,
}

/// Store whose calls can be made to fail for one instance.
pub struct Gate {
    gateway: Gateway,
    closed: Arc<AtomicBool>,
    answers: Arc<Mutex<Answers>>,
    /// Number of calls whose answers are still to be lost.
    lost: Mutex<u32>,
    late: Arc<Mutex<Late>>,
    commit_delay_ms: Arc<AtomicU64>,
    read_delay_ms: Arc<AtomicU64>,
    value_max: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
    watching: Arc<Mutex<Watching>>,
    pause: Arc<Pause>,
}

/// Pause of the control thread of an instance, as by SIGSTOP: its connections stay open, and nothing
/// is sent on them.
#[derive(Debug, Default)]
pub struct Pause {
    requested: AtomicBool,
    began: Mutex<Option<Instant>>,
}

impl Pause {
    /// Blocks the control thread at its next call to the store until [`Pause::end`]. Returns when it
    /// is blocked.
    pub fn begin(&self) -> Instant {
        self.requested.store(true, Ordering::Relaxed);
        let began = || *self.began.lock().unwrap_or_else(PoisonError::into_inner);
        wait("the control thread is paused", || began().is_some());
        began().expect("paused")
    }

    pub fn end(&self) {
        self.requested.store(false, Ordering::Relaxed);
    }

    fn block(&self) {
        if !self.requested.load(Ordering::Relaxed) {
            return;
        }
        *self.began.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        while self.requested.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        *self.began.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }
}

impl Gate {
    /// Refuses a transaction with a larger value than the store takes.
    fn check_size(&self, txn: &Txn) -> Result<(), Error> {
        let value_max = self.value_max.load(Ordering::Relaxed);
        for write in txn.writes() {
            let txn::Write::Put { value, .. } = write else { continue };
            if value.len() as u64 <= value_max {
                continue;
            }
            self.refused.fetch_add(1, Ordering::Relaxed);
            return Err(Error::Refused { code: 400, message: "value too large".into() });
        }
        Ok(())
    }

    fn check(&self) -> Result<(), Error> {
        self.pause.block();
        if self.closed.load(Ordering::Relaxed) {
            return Err(Error::Unavailable("closed for this instance".into()));
        }
        Ok(())
    }

    /// Returns `true` if the answer to a commit is lost.
    fn is_answer_lost(&self, txn: &Txn) -> bool {
        let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        if *answers == Answers::LostFromNextBatch && txn.writes().iter().any(writes_log) {
            *answers = Answers::Lost;
        }
        *answers == Answers::Lost
    }

    /// Loses the answer to a call that was carried out if [`Answers::LostCalls`] says so.
    async fn lose_call(&self, has_log_entry: bool) -> Result<(), Error> {
        let is_lost = {
            let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
            let mut answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
            if let Answers::LostCalls(calls) = *answers
                && has_log_entry
            {
                *lost += calls;
                *answers = Answers::Sent;
            }
            let is_lost = *lost > 0;
            *lost = lost.saturating_sub(1);
            is_lost
        };
        if is_lost {
            async_io::Timer::after(CALL_TIMEOUT).await;
            return Err(Error::Unknown("answer lost".into()));
        }
        Ok(())
    }
}

fn writes_log(write: &txn::Write) -> bool {
    matches!(write, txn::Write::Put { key, .. } if is_log_key(key))
}

fn is_log_key(key: &Key) -> bool {
    key.as_str().starts_with("knapweedgap/log/")
}

impl Store for Gate {
    async fn range(&self, range: key::Range) -> Result<Page, Error> {
        self.check()?;
        let delay = Duration::from_millis(self.read_delay_ms.load(Ordering::Relaxed));
        let page = self.gateway.range(range).await;
        async_io::Timer::after(delay).await;
        self.lose_call(false).await?;
        let answers = *self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        if answers == Answers::Lost {
            return Err(Error::Unknown("answer lost".into()));
        }
        page
    }

    async fn commit(&self, txn: Txn) -> Result<Outcome, Error> {
        self.check()?;
        self.check_size(&txn)?;
        let delay = Duration::from_millis(self.commit_delay_ms.load(Ordering::Relaxed));
        if self.late.lock().unwrap_or_else(PoisonError::into_inner).hold(&txn) {
            return Err(Error::Unknown("held".into()));
        }
        let is_lost = self.is_answer_lost(&txn);
        let has_log_entry = txn.writes().iter().any(writes_log);
        let outcome = self.gateway.commit(txn).await;
        self.lose_call(has_log_entry).await?;
        async_io::Timer::after(delay).await;
        if is_lost {
            return Err(Error::Unknown("answer lost".into()));
        }
        outcome
    }

    async fn grant(&self, ttl: Duration) -> Result<lease::Id, Error> {
        self.check()?;
        self.gateway.grant(ttl).await
    }

    async fn keep_alive(&self, lease: lease::Id) -> Result<Duration, Error> {
        self.check()?;
        self.gateway.keep_alive(lease).await
    }

    async fn revoke(&self, lease: lease::Id) -> Result<(), Error> {
        self.check()?;
        self.gateway.revoke(lease).await
    }

    async fn watch(&self, prefix: Key, from: revision::Revision) -> Result<Watch, Error> {
        self.check()?;
        if prefix.as_str() != OPERATORS {
            return self.gateway.watch(prefix, from).await;
        }
        let watching = self.watching.clone();
        let present = {
            let mut watching = watching.lock().unwrap_or_else(PoisonError::into_inner);
            if *watching == Watching::Compacted {
                *watching = Watching::Followed;
                return Err(Error::Compacted(from));
            }
            *watching
        };
        if present == Watching::Cut {
            return Err(Error::Unavailable("watch cut".into()));
        }
        let watch = self.gateway.watch(prefix, from).await?;
        let batches = stream::unfold(watch, move |mut watch| {
            let watching = watching.clone();
            async move {
                let batch = watch.next_batch().await;
                let present = || *watching.lock().unwrap_or_else(PoisonError::into_inner);
                while present() == Watching::Silent {
                    async_io::Timer::after(Duration::from_millis(20)).await;
                }
                match present() {
                    Watching::Followed | Watching::Silent => Some((batch, watch)),
                    Watching::Cut | Watching::Compacted => None,
                }
            }
        });
        Ok(Watch::new(from, Box::pin(batches)))
    }
}

struct NoAdvice;

impl peer::Advisor for NoAdvice {
    async fn advise(
        &self,
        _step: task::Step,
        _workers: &[id::Worker],
        _timeout: Duration,
    ) -> Result<Advised, SmolStr> {
        Err("none".into())
    }
}

/// VM service that lists one VM, on which the worker runs.
#[derive(Clone, Default)]
pub struct Vms {
    /// Number of times that the VMs were listed.
    pub lists: Arc<AtomicU64>,
    /// Maintenance is begun when it is requested; otherwise, the VM is busy.
    pub accepts_maintenance: Arc<AtomicBool>,
}

impl peer::Vms for Vms {
    async fn list(&self) -> Result<Vec<Vm>, SmolStr> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        let id = "vm-1".parse().expect("valid");
        let worker = "worker-1".parse().expect("valid");
        Ok(vec![Vm { id, state: wave::State::Up, worker: Some(worker) }])
    }

    async fn start_maintenance(
        &self,
        _owner: &id::Instance,
        _fence: revision::Fence,
        _request: &MaintenanceRequest,
    ) -> Result<(), wave::Failure> {
        let is_accepted = self.accepts_maintenance.load(Ordering::Relaxed);
        if is_accepted { Ok(()) } else { Err(wave::Failure::Busy) }
    }
}

struct Operators;

fn valid_key(text: &str) -> Key {
    text.parse().expect("valid")
}

impl peer::Operators for Operators {
    fn operator_prefix(&self) -> Key {
        valid_key(OPERATORS)
    }

    fn configuration_key(&self) -> Key {
        valid_key("operators/configuration")
    }

    fn worker_prefix(&self) -> Key {
        valid_key("workers/")
    }

    fn wave_status_key(&self, wave: u64) -> Key {
        valid_key(&format!("waves/{wave}"))
    }

    /// The value is the version, which is also in the path prefix of the queue.
    fn configuration(&self, entry: &Entry) -> Result<Configuration, SmolStr> {
        let text = String::from_utf8_lossy(&entry.value);
        let version = text.parse().map_err(|_| SmolStr::new("not a number"))?;
        let queue = Queue {
            name: "plans".into(),
            host: HOST.into(),
            prefix: format!("/v{version}/").into(),
            timeout: Duration::from_secs(3),
            policy: Policy {
                service: "dispatch".parse().expect("valid"),
                priority: 0,
                attempts_max: Some(2),
                slowdown: 2.0,
                latency_target: Duration::from_secs(5),
                advice: None,
            },
        };
        Ok(Configuration { version, queues: vec![queue], services: BTreeMap::new() })
    }

    fn evacuated_zone(&self, key: &Key) -> Option<id::Zone> {
        key.as_str().strip_prefix("operators/evacuate/")?.parse().ok()
    }

    fn worker_of(&self, key: &Key) -> Option<id::Worker> {
        key.as_str().strip_prefix("workers/")?.parse().ok()
    }

    /// The value is the zone; zone-1 if it is empty.
    fn worker(&self, entry: &Entry) -> Result<worker::Listed, SmolStr> {
        let value = String::from_utf8_lossy(&entry.value);
        let zone = if value.is_empty() { "zone-1" } else { value.as_ref() };
        let id = self.worker_of(&entry.key).ok_or("no worker")?;
        Ok(worker::Listed {
            id,
            incarnation: revision::Incarnation::new(1),
            service: "dispatch".parse().expect("valid"),
            address: "127.0.0.1:9".parse().expect("valid"),
            zone: zone.parse().expect("valid"),
            labels: Vec::new(),
            rack: None,
            capacity: size::Resources {
                processor: size::Processor::from_cores(CORES),
                memory: size::Bytes::new(1 << 36),
                accelerator: size::Accelerator::new(0),
            },
            draining: false,
            slow_for: Duration::ZERO,
        })
    }

    /// Every wave has the one VM of [`Vms`].
    fn wave(&self, entry: &Entry) -> Result<Option<Wave>, SmolStr> {
        let Some(number) = entry.key.as_str().strip_prefix("operators/waves/") else {
            return Ok(None);
        };
        let number = number.parse().map_err(|_| SmolStr::new("not a number"))?;
        let vms = vec!["vm-1".parse().expect("valid")];
        Ok(Some(Wave { number, vms, time_limit: Duration::from_secs(60), down_max: 1 }))
    }

    fn wave_status(&self, _wave: u64, progress: Progress) -> Vec<u8> {
        format!("{progress:?}").into_bytes()
    }

    fn is_wave_completed(&self, entry: &Entry) -> bool {
        entry.value == b"Completed"
    }
}

struct Platform {
    store: Gate,
    workers: Workers,
    vms: Vms,
}

impl peer::Platform for Platform {
    type Store = Gate;
    type Workers = Workers;
    type Advisor = NoAdvice;
    type Vms = Vms;
    type Operators = Operators;

    fn store(&self) -> &Gate {
        &self.store
    }

    fn workers(&self) -> &Workers {
        &self.workers
    }

    fn advisor(&self) -> &NoAdvice {
        &NoAdvice
    }

    fn vms(&self) -> &Vms {
        &self.vms
    }

    fn operators(&self) -> &Operators {
        &Operators
    }
}

/// Header with the time that the client waits for an answer, in milliseconds.
const TIMEOUT: &str = "x-timeout-ms";

/// Codec of requests and answers in the serialized form of the scheduler's own types.
#[derive(Clone)]
struct Front;

impl peer::Front for Front {
    async fn decode(&self, mut request: Request) -> Result<peer::Call, Response> {
        let path = SmolStr::new(request.url().path());
        let timeout = request.header(TIMEOUT).and_then(|value| value.as_str().parse().ok());
        let timeout = timeout.map(Duration::from_millis);
        let verb = match request.method() {
            Method::Post => {
                let body = json::read_body(&mut request, 1 << 16).await;
                let spec = body.ok().and_then(|body| serde_json::from_slice(&body).ok());
                Verb::Submit(Box::new(spec.ok_or_else(|| Response::new(400u16))?))
            }
            Method::Delete => Verb::Cancel,
            _ => Verb::Show,
        };
        let request = api::Request::new(HOST.into(), path, verb);
        Ok(peer::Call { request, timeout })
    }

    fn encode(&self, answer: &Answer) -> Response {
        json::response(200, answer)
    }
}

/// Instance that runs in a thread of its own.
pub struct Instance {
    pub clients: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    /// Makes all calls of this instance to the store fail.
    pub store_closed: Arc<AtomicBool>,
    /// Answers of the store to this instance.
    pub answers: Arc<Mutex<Answers>>,
    /// Write of this instance that is carried out late.
    pub late: Arc<Mutex<Late>>,
    /// Time by which this instance notices the answers to its commits late, as after a freeze.
    pub commit_delay_ms: Arc<AtomicU64>,
    /// Time by which the answers to this instance's reads of the store are late.
    pub read_delay_ms: Arc<AtomicU64>,
    /// Size of the largest value that the store takes from this instance.
    pub value_max: Arc<AtomicU64>,
    /// Watch of the operators' entries by this instance.
    watching: Arc<Mutex<Watching>>,
    /// Number of commits of this instance that were refused for the size of a value.
    pub refused: Arc<AtomicU64>,
    pub pause: Arc<Pause>,
    stop: Sender<()>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Instance {
    /// Sets which answers of the store this instance gets.
    pub fn set_answers(&self, answers: Answers) {
        *self.answers.lock().unwrap_or_else(PoisonError::into_inner) = answers;
    }

    /// Sets what becomes of the watch of the operators' entries by this instance.
    pub fn set_watching(&self, watching: Watching) {
        *self.watching.lock().unwrap_or_else(PoisonError::into_inner) = watching;
    }

    /// Requests the instance to stop. An owner releases the workload at once.
    pub fn request_stop(&self) {
        self.stop.close();
    }

    /// Stops the instance and waits until it has ended.
    pub fn stop(&mut self) {
        self.request_stop();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic");
        }
    }
}

/// Store stand-in, worker and instances of one test.
pub struct Installation {
    store: SocketAddr,
    pub workers: Workers,
    pub vms: Vms,
    pub instances: Vec<Instance>,
    evacuation_timeout: Option<Duration>,
    /// Number of availability zones that the instances are dealt to in turn, from zone-1 on.
    zones: usize,
}

/// Number of ports assigned so far.
static PORTS: AtomicU16 = AtomicU16::new(0);
/// First port of the instances.
const PORT_FIRST: u16 = 21_000;

/// Returns an unused address on a loopback address that belongs to this process, because other runs of
/// the tests use the same ports. On 127.0.0.1 an outgoing connection could occupy a free port before
/// an instance binds it.
fn free_address() -> SocketAddr {
    let port = PORT_FIRST + PORTS.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 + high % 64, middle, low], port))
}

impl Installation {
    pub fn start(instances: usize) -> Installation {
        Installation::start_with_link(instances, LINK, 1, None)
    }

    /// Starts instances that have to know the evacuated zones as of a fraction of `timeout` ago.
    pub fn start_evacuating(instances: usize, timeout: Duration) -> Installation {
        Installation::start_with_link(instances, LINK, 1, Some(timeout))
    }

    /// Starts instances with links so slow that each can talk to one worker, and four workers.
    pub fn start_spread(instances: usize) -> Installation {
        Installation::start_spread_over(1, instances)
    }

    /// Starts such instances and workers, dealt to zones in turn.
    pub fn start_spread_over(zones: usize, instances: usize) -> Installation {
        let installation = Installation::start_with_link(instances, 1, zones, None);
        for number in 1..4 {
            let zone = format!("zone-{}", number % zones + 1);
            installation.put(&format!("workers/worker-{}", number + 1), &zone);
        }
        // The recorder of metrics is shared by all tests of a process, so the polls tell.
        wait("relays poll the workers", || installation.is_polled_by_relays());
        installation
    }

    /// Returns `true` if an instance other than the owner has renewed a lease.
    fn is_polled_by_relays(&self) -> bool {
        let owner = self.owner();
        self.workers.state().grants.iter().any(|(from, ..)| Some(*from) != owner)
    }

    fn start_with_link(
        instances: usize,
        link: u64,
        zones: usize,
        evacuation_timeout: Option<Duration>,
    ) -> Installation {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = listener.local_addr().expect("bound");
        let listener = async_io::Async::new(listener).expect("non-blocking");
        std::thread::spawn(move || {
            let listener = listener.into_inner().expect("owned");
            let _ = async_io::block_on(kv::Service::new().run(listener));
        });
        let (workers, vms) = (Workers::new(), Vms::default());
        let mut installation =
            Installation { store, workers, vms, instances: Vec::new(), evacuation_timeout, zones };
        installation.put("operators/configuration", "1");
        installation.put("workers/worker-1", "");
        for number in 0..instances {
            installation.add(number, link);
        }
        for number in 0..instances {
            installation.wait_ready(number);
        }
        installation
    }

    fn add(&mut self, number: usize, link: u64) {
        let (clients, readiness, links) = (free_address(), free_address(), free_address());
        let metrics = free_address();
        let name = format!("entry-{number}").parse().expect("valid");
        let zone = format!("zone-{}", number % self.zones + 1).parse().expect("valid");
        let settings = Settings::builder(name, zone, clients, readiness, links).metrics(metrics);
        let bounds = Bounds::builder().evacuation_timeout(self.evacuation_timeout).build();
        let settings = settings.link(rate::Bits::new(link)).bounds(bounds).build();
        let store_closed = Arc::new(AtomicBool::new(false));
        let (stop, stopped) = async_channel::bounded(1);
        let (store, closed) = (self.store, store_closed.clone());
        let answers = Arc::<Mutex<Answers>>::default();
        let gate_answers = answers.clone();
        let late = Arc::<Mutex<Late>>::default();
        let gate_late = late.clone();
        let workers = Workers { instance: number, ..self.workers.clone() };
        let vms = self.vms.clone();
        let commit_delay_ms = Arc::new(AtomicU64::new(0));
        let read_delay_ms = Arc::new(AtomicU64::new(0));
        let value_max = Arc::new(AtomicU64::new(u64::MAX));
        let refused = Arc::new(AtomicU64::new(0));
        let pause = Arc::<Pause>::default();
        let gate_pause = pause.clone();
        let (gate_value_max, gate_refused) = (value_max.clone(), refused.clone());
        let watching = Arc::<Mutex<Watching>>::default();
        let gate_watching = watching.clone();
        let (commit_delay, read_delay) = (commit_delay_ms.clone(), read_delay_ms.clone());
        let thread = std::thread::spawn(move || {
            let gateway = Gateway::builder().endpoint(store).build();
            let store = Gate {
                gateway,
                closed,
                answers: gate_answers,
                late: gate_late,
                lost: Mutex::default(),
                commit_delay_ms: commit_delay,
                read_delay_ms: read_delay,
                value_max: gate_value_max,
                refused: gate_refused,
                pause: gate_pause,
                watching: gate_watching,
            };
            let platform = Platform { store, workers, vms };
            run(settings, platform, Front, stopped).expect("started");
        });
        let thread = Some(thread);
        self.instances.push(Instance {
            clients,
            readiness,
            metrics,
            store_closed,
            answers,
            late,
            commit_delay_ms,
            read_delay_ms,
            value_max,
            refused,
            pause,
            watching,
            stop,
            thread,
        });
    }

    /// Writes an entry of an operator or a worker, with retries until it succeeds.
    pub fn put(&self, key: &str, value: &str) {
        let gateway = Gateway::builder().endpoint(self.store).build();
        let put = async {
            loop {
                let txn = Txn::new().put(valid_key(key), value);
                if gateway.commit(txn).await.is_ok() {
                    return;
                }
                async_io::Timer::after(Duration::from_millis(20)).await;
            }
        };
        async_io::block_on(put);
    }

    /// Deletes an entry, with retries until it succeeds.
    pub fn delete(&self, key: &str) {
        let gateway = Gateway::builder().endpoint(self.store).build();
        let delete = async {
            while gateway.commit(Txn::new().delete(valid_key(key))).await.is_err() {
                async_io::Timer::after(Duration::from_millis(20)).await;
            }
        };
        async_io::block_on(delete);
    }

    /// Returns the value of an entry; `None` if it does not exist.
    pub fn read(&self, key: &str) -> Option<String> {
        let gateway = Gateway::builder().endpoint(self.store).build();
        let page = async_io::block_on(gateway.range(key::Range::key(valid_key(key)))).ok()?;
        let entry = page.entries.into_iter().next()?;
        String::from_utf8(entry.value).ok()
    }

    /// Carries out the write of an instance that is held. Returns `false` if there is none.
    pub fn carry_out_late(&self, number: usize) -> bool {
        let mut late = self.instances[number].late.lock().unwrap_or_else(PoisonError::into_inner);
        let Late::Held(txn) = std::mem::take(&mut *late) else { return false };
        let gateway = Gateway::builder().endpoint(self.store).build();
        async_io::block_on(gateway.commit(txn)).expect("answered");
        true
    }

    /// Sends a GET and returns the status and the body; the status is 0 if there is no answer.
    pub fn get(address: SocketAddr, path: &str) -> (u16, String) {
        let caller = Caller::new(address, Duration::from_secs(4));
        match async_io::block_on(caller.send(Call::new(Method::Get, path))) {
            Ok(answer) => (answer.status, String::from_utf8_lossy(&answer.body).into_owned()),
            Err(_) => (0, String::new()),
        }
    }

    pub fn wait_ready(&self, number: usize) {
        let address = self.instances[number].readiness;
        wait("an instance is ready", || Self::get(address, "/ready").0 == 200);
    }

    fn send(&self, number: usize, call: Call) -> Option<Answer> {
        let caller = Caller::new(self.instances[number].clients, Duration::from_secs(4));
        let answer = async_io::block_on(caller.send(call)).ok()?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Submits a job for a client that waits for the answer for `timeout`.
    pub fn submit_within(&self, number: usize, job: &str, timeout: Duration) -> Option<Answer> {
        let step = job::Step { count: 1, ..Self::step() };
        let spec = job::Spec { payload: "text".to_owned(), steps: vec![step], schedule: None };
        let body = serde_json::to_vec(&spec).expect("encoded");
        let call = Call::new(Method::Post, format!("/v1/{job}")).body(body);
        self.send(number, call.header(TIMEOUT, timeout.as_millis().to_string()))
    }

    pub fn submit(&self, number: usize, version: u64, job: &str) -> Option<Answer> {
        self.submit_step(number, version, job, "text", job::Step { count: 2, ..Self::step() })
    }

    /// Submits a job with a text of 4,000 bytes.
    pub fn submit_large(&self, number: usize, version: u64, job: &str) -> Option<Answer> {
        let payload = "x".repeat(4_000);
        self.submit_step(number, version, job, &payload, job::Step { count: 1, ..Self::step() })
    }

    /// Submits a job with one task that does not end by itself.
    pub fn submit_long_running(&self, number: usize, version: u64, job: &str) -> Option<Answer> {
        let step = job::Step { count: 1, long_running: true, ..Self::step() };
        self.submit_step(number, version, job, LONG_RUNNING, step)
    }

    /// Submits a job with tasks that would take all processors of a worker and do not end by
    /// themselves.
    pub fn submit_whole_worker(&self, number: usize, version: u64, job: &str) -> Option<Answer> {
        let step = job::Step { count: CORES, long_running: true, ..Self::step() };
        self.submit_step(number, version, job, LONG_RUNNING, step)
    }

    fn step() -> job::Step {
        job::Step {
            size: size::Resources {
                processor: size::Processor::from_cores(1),
                ..size::Resources::default()
            },
            estimate: RUN_TIME,
            ..job::Step::default()
        }
    }

    fn submit_step(
        &self,
        number: usize,
        version: u64,
        job: &str,
        payload: &str,
        step: job::Step,
    ) -> Option<Answer> {
        let spec = job::Spec { payload: payload.to_owned(), steps: vec![step], schedule: None };
        let body = serde_json::to_vec(&spec).expect("encoded");
        self.send(number, Call::new(Method::Post, format!("/v{version}/{job}")).body(body))
    }

    pub fn show(&self, number: usize, version: u64, job: &str) -> Option<Answer> {
        self.send(number, Call::new(Method::Get, format!("/v{version}/{job}")))
    }

    pub fn cancel(&self, number: usize, version: u64, job: &str) -> Option<Answer> {
        self.send(number, Call::new(Method::Delete, format!("/v{version}/{job}")))
    }

    pub fn wait_completed(&self, number: usize, version: u64, job: &str) {
        let completed = Some(Answer::State(job::State::Completed));
        wait("the job is completed", || self.show(number, version, job) == completed);
    }

    /// Stops all instances and waits until they have ended.
    pub fn stop_all(&mut self) {
        for instance in &self.instances {
            instance.stop.close();
        }
        for instance in &mut self.instances {
            instance.stop();
        }
    }

    /// Returns the number of the instance that the owner record names.
    pub fn owner(&self) -> Option<usize> {
        let gateway = Gateway::builder().endpoint(self.store).build();
        let range = key::Range::key(valid_key("knapweedgap/lead/owner"));
        let page = async_io::block_on(gateway.range(range)).ok()?;
        let owner: serde_json::Value = serde_json::from_slice(&page.entries.first()?.value).ok()?;
        owner["instance"].as_str()?.strip_prefix("entry-")?.parse().ok()
    }
}

/// Waits until `check` returns `true`; `what` describes the expected state.
pub fn wait<Check>(what: &str, check: Check)
where
    Check: Fn() -> bool,
{
    wait_for(what, STATE_TIMEOUT, check);
}

/// Waits until `check` returns `true`, at most for `timeout`; `what` describes the expected state.
pub fn wait_for<Check>(what: &str, timeout: Duration, check: Check)
where
    Check: Fn() -> bool,
{
    let started = Instant::now();
    while !check() {
        assert!(started.elapsed() < timeout, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
