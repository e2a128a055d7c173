//! The control thread, which owns all decisions and the state behind them.

mod calls;
mod cost;
mod election;
mod feed;
mod journal;
mod keys;
mod links;
mod maintenance;
mod members;
mod observation;
mod orders;
mod relay;
mod term;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use derive_more::{Display, Error, From};
use futures_lite::FutureExt;
use knapweedgap_core::clock::{self, Clock};
use knapweedgap_core::{id, revision, size};
use knapweedgap_instance::{Identity, limits};
use knapweedgap_membership::share::Capacity;
use knapweedgap_timeline::hybrid;
use knapweedgap_workload::configuration::Limits;
use knapweedgap_workload::order::Failure;
use knapweedgap_workload::round_trip;

use crate::exchange::{self, ClientLimits, Readiness};
use crate::metric;
use crate::output::{Limiter, REVISION};
use crate::peer::{Front, Platform};
use crate::settings::Settings;
use crate::signal::Signal;
use crate::traffic;

use links::Leader;
use term::Term;

/// Failure to start the scheduler.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A thread or a socket could not be created.
    #[display("start: {_0}; check the addresses in the settings")]
    Start(std::io::Error),
}

/// Time after the stop request during which new connections are still accepted. The load balancer
/// stops sending them after two failed readiness checks, one second apart.
const LISTEN_DELAY: Duration = Duration::from_millis(2_400);
/// Longest time from the stop request to the end of the process; the platform kills it after 6 s.
const STOP_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Timeout for opening a link and for its handshake; each takes several round trips between zones.
const LINK_TIMEOUT: Duration = Duration::from_millis(500);

/// State of this instance, shared by the tasks of the control thread.
pub(crate) struct Node<P> {
    settings: Settings,
    platform: P,
    clock: clock::Boot,
    executor: LocalExecutor<'static>,
    identity: Identity,
    incarnation: id::Incarnation,
    readiness: Readiness,
    /// Limits on the requests of clients, as last configured.
    client_limits: ClientLimits,
    limiter: Limiter,
    /// Absent while no leader is known and while this instance is the leader.
    leader: RefCell<Option<Rc<Leader>>>,
    /// Highest epoch of a leader whose announcement this instance has accepted.
    accepted_epoch: Cell<revision::Epoch>,
    /// Present while this instance owns the workload.
    term: RefCell<Option<Rc<Term>>>,
    /// Notified when the leader or the term changes and when the process starts to drain.
    changed: Signal,
    /// When the silent owner may be replaced; absent while it is in contact or not known.
    claim_due: Cell<Option<Instant>>,
    /// Number of instances that the last leader knew; 0 before the first one.
    instances: Cell<u32>,
    /// Round trips of calls to workers.
    round_trips: round_trip::Estimator,
    draining: Cell<bool>,
    /// Processor time of this thread.
    meter: cost::Meter<clock::Boot>,
    /// Size of the largest value to write; lower than that of the settings after the store has
    /// refused one.
    value_max: Cell<size::Bytes>,
}

impl<P> Node<P>
where
    P: Platform,
{
    fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the wall-clock time in milliseconds since 1970.
    fn wall_ms(&self) -> u64 {
        let wall = self.clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
    }

    /// Creates an owner record that names this instance.
    fn owner(&self, epoch: revision::Epoch, released: bool) -> keys::Owner {
        keys::Owner {
            epoch,
            instance: self.settings.name.clone(),
            incarnation: self.incarnation,
            address: self.settings.links,
            released,
        }
    }

    /// Publishes limits on the requests of clients to the traffic thread.
    fn set_client_limits(&self, limits: Limits) {
        if self.client_limits.publish(limits) {
            log::info!(
                "[operator] version={} max_head_bytes={} max_body_bytes={} head_timeout_ms={} \
                 idle_timeout_ms={}",
                limits.version,
                limits.head_len.get(),
                limits.body_len.get(),
                limits.head_timeout.as_millis(),
                limits.idle_timeout.as_millis(),
            );
        }
    }

    fn term(&self) -> Option<Rc<Term>> {
        self.term.borrow().clone()
    }

    /// Returns the number of workers whose conversation this instance can carry.
    fn capacity(&self) -> Capacity {
        Capacity::of(self.settings.processors, self.settings.link)
    }

    /// Calls a worker with the timeout that its round trips suggest, and records the round trip.
    async fn workers_timed<'a, Call, Answer>(&'a self, call: Call) -> Result<(), Failure>
    where
        Call: FnOnce(&'a P::Workers, Duration) -> Answer,
        Answer: Future<Output = Result<(), Failure>>,
    {
        let (sent, timeout) = (self.now(), self.round_trips.timeout());
        let result = call(self.platform.workers(), timeout).await;
        let elapsed = self.now().saturating_duration_since(sent);
        match &result {
            Ok(()) | Err(Failure::Refused(_)) => self.round_trips.record(elapsed),
            Err(Failure::Unanswered(_)) if elapsed >= timeout => {
                self.round_trips.record_timeout(elapsed);
            }
            Err(Failure::Unanswered(_) | Failure::NoListener) => {}
        }
        result
    }

    fn spawn<Work>(self: &Rc<Self>, work: Work)
    where
        Work: Future<Output = ()> + 'static,
    {
        self.executor.spawn(work).detach();
    }
}

/// Runs the scheduler on the calling thread until `stop` closes, then shuts down gracefully.
///
/// # Errors
///
/// [`Fault`] if a thread or a socket can't be created.
pub fn run<P, F>(settings: Settings, platform: P, front: F, stop: Receiver<()>) -> Result<(), Fault>
where
    P: Platform,
    F: Front,
{
    metric::install();
    let readiness = Readiness::default();
    let client_limits = ClientLimits::default();
    let (calls, queued) = async_channel::bounded(exchange::CALLS_MAX);
    let (listening, close) = async_channel::bounded::<()>(1);
    let traffic =
        traffic::start(&settings, front, calls, readiness.clone(), client_limits.clone(), close)?;
    let links = links::listen(settings.links)?;
    let incarnation = id::Incarnation::new(fastrand::u64(..));
    let clock = clock::Boot::new();
    let hybrid = Rc::new(RefCell::new(hybrid::Clock::new()));
    let name = settings.name.clone();
    let zone = settings.zone.clone();
    let limits =
        limits::Limits::default().connect_timeout(LINK_TIMEOUT).handshake_timeout(LINK_TIMEOUT);
    let identity = Identity::new(name, incarnation, zone, Rc::new(clock), hybrid);
    let value_max = Cell::new(settings.bounds.value_max());
    let node = Rc::new(Node {
        settings,
        platform,
        clock,
        executor: LocalExecutor::new(),
        identity: identity.with_limits(limits),
        incarnation,
        readiness,
        client_limits,
        limiter: Limiter::default(),
        leader: RefCell::new(None),
        accepted_epoch: Cell::default(),
        term: RefCell::new(None),
        changed: Signal::default(),
        claim_due: Cell::new(None),
        instances: Cell::new(0),
        round_trips: round_trip::Estimator::default(),
        draining: Cell::new(false),
        meter: cost::Meter::new(clock),
        value_max,
    });
    log::info!(
        "[process] instance={} incarnation={incarnation} revision={REVISION} state=starting",
        node.settings.name
    );
    node.spawn(links::accept(node.clone(), links));
    node.spawn(calls::receive(node.clone(), queued));
    node.spawn(members::register(node.clone()));
    node.spawn(election::run(node.clone()));
    let stopped = wait_stopped(node.clone(), stop, listening, traffic);
    async_io::block_on(node.executor.run(stopped));
    log::info!("[process] instance={} state=stopped", node.settings.name);
    Ok(())
}

/// Waits until `stop` closes, then drains: stops accepting connections by closing `listening` and
/// waits until the traffic thread closes `traffic` or [`STOP_TIMEOUT`] has passed.
async fn wait_stopped<P>(
    node: Rc<Node<P>>,
    stop: Receiver<()>,
    listening: async_channel::Sender<()>,
    traffic: Receiver<()>,
) where
    P: Platform,
{
    // The channel carries no messages; its closing is the request to stop.
    let _ = stop.recv().await;
    log::info!("[process] instance={} state=draining", node.settings.name);
    node.draining.set(true);
    node.readiness.set(false);
    node.changed.notify();
    relay::announce_leaving(&node);
    Timer::after(LISTEN_DELAY).await;
    listening.close();
    let ended = async {
        // The channel closes when the last connection has ended.
        let _ = traffic.recv().await;
    };
    let timed_out = async {
        Timer::after(STOP_TIMEOUT - LISTEN_DELAY).await;
    };
    ended.or(timed_out).await;
}
