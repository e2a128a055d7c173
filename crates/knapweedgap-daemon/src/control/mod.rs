//! Control thread: one executor that owns all mutable control state.

mod api;
pub(crate) mod claim;
mod context;
mod fixed;
mod fleet;
mod journal;
mod keyspace;
mod latency;
mod links;
mod members;
mod partition;
mod quota;
mod requests;
mod snapshot;
mod stop;
mod tree;
mod value;

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::{Rc, Weak};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Async;
use derive_more::{Display, Error};
use knapweedgap_core::clock::{self, Clock};
use knapweedgap_core::id;
use knapweedgap_instance::Identity;
use knapweedgap_membership as membership;
use knapweedgap_store::etcd::Gateway;
use knapweedgap_timeline::event::Kind;
use knapweedgap_timeline::hybrid;

use crate::config;
use crate::process::{self, Process};
use crate::publish::Publisher;
use crate::{metric, traffic};
use context::Context;

/// Duration of worker leases that the membership engine assumes.
const WORKER_LEASE: std::time::Duration = std::time::Duration::from_secs(10);

/// Error that prevents the daemon from starting.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// Listening on an address failed.
    #[display("can't listen on {address} ({purpose}): {error}; free or change the address")]
    Listen {
        /// Configured address, local to this machine.
        #[error(not(source))]
        address: SocketAddr,
        /// Field of the settings file that holds the address.
        #[error(not(source))]
        purpose: &'static str,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// Starting a traffic thread failed.
    #[display("can't start a traffic thread: {_0}")]
    Thread(std::io::Error),
}

/// Runs one instance on the calling thread until `stop` receives a message or closes, then shuts it
/// down gracefully.
///
/// # Errors
///
/// Returns [`Fault`] if an address can't be listened on or a traffic thread can't be started.
pub fn run(config: config::Process, stop: Receiver<()>) -> Result<(), Fault> {
    metric::install();
    let operator = listen(config.operator, "operator")?;
    let peer = listen(config.peer, "peer")?;
    let view = snapshot::empty(&config.instance, &config.zone);
    let (publisher, readers) = Publisher::new(view, config.traffic_threads);
    let (requests, inbox) = async_channel::bounded(traffic::MESSAGES_MAX);
    let traffic = traffic::start(&config, readers, &requests).map_err(|error| match error {
        traffic::Fault::Listen(error) => {
            Fault::Listen { address: config.client, purpose: "client", error }
        }
        traffic::Fault::Thread(error) => Fault::Thread(error),
    })?;
    drop(requests);
    let executor = Rc::new(LocalExecutor::new());
    let context = Rc::new(build(config, publisher, Rc::downgrade(&executor)));
    let main = serve(context, operator, peer, inbox, traffic, stop);
    async_io::block_on(executor.run(main));
    Ok(())
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<Async<TcpListener>, Fault> {
    let listener = Async::<TcpListener>::bind(address);
    listener.map_err(|error| Fault::Listen { address, purpose, error })
}

fn build(
    config: config::Process,
    publisher: Publisher,
    executor: Weak<LocalExecutor<'static>>,
) -> Context {
    let clock: Rc<dyn Clock> = Rc::new(clock::System);
    let hybrid = Rc::new(RefCell::new(hybrid::Clock::new()));
    let incarnation = id::Incarnation::new(fastrand::u64(..));
    let identity = Identity::new(
        config.instance.clone(),
        incarnation,
        config.zone.clone(),
        clock.clone(),
        hybrid.clone(),
    );
    let member = membership::engine::Identity {
        id: config.instance.clone(),
        incarnation,
        partitions: 0,
        lease: WORKER_LEASE,
    };
    let mut store = Gateway::builder();
    for address in &config.store {
        store = store.endpoint(*address);
    }
    Context {
        incarnation,
        journal: journal::Journal::new(config.instance.clone(), clock.clone(), hybrid),
        tree: tree::Tree::new(),
        fleet: fleet::Fleet::default(),
        members: members::Members::new(member, clock.now()),
        links: links::Links::new(identity),
        partitions: partition::Partitions::default(),
        claims: claim::Claims::default(),
        quotas: quota::Reports::default(),
        publisher,
        process: Cell::new(Some(process::Any::Starting(Process::new()))),
        store_reachable: Cell::new(false),
        published: RefCell::new(snapshot::Input::empty()),
        store: store.build(),
        config,
        clock,
        executor,
    }
}

async fn serve(
    context: Rc<Context>,
    operator: Async<TcpListener>,
    peer: Async<TcpListener>,
    inbox: Receiver<traffic::Message>,
    traffic: traffic::Threads,
    stop: Receiver<()>,
) {
    log::info!("[process] instance {} starting", context.config.instance);
    context.journal.record(Kind::InstanceStarted, |event| event);
    let (operators, operators_stop) = async_channel::bounded(1);
    context.spawn(api::serve(context.clone(), operator, operators_stop));
    context.spawn(links::accept(context.clone(), peer));
    context.spawn(links::maintain(context.clone()));
    context.spawn(links::ping_periodically(context.clone()));
    context.spawn(members::run(context.clone()));
    context.spawn(members::register(context.clone()));
    context.spawn(members::poll(context.clone()));
    context.spawn(tree::watch(context.clone()));
    context.spawn(fleet::poll(context.clone()));
    context.spawn(quota::update_engines(context.clone()));
    context.spawn(requests::receive(context.clone(), inbox));
    // Both a message and a closed channel request the shutdown.
    let _ = stop.recv().await;
    stop::run(&context, traffic).await;
    drop(operators);
}
