//! Links to the other instances.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use knapweedgap_core::id;
use knapweedgap_instance::link::{Established, Incoming};
use knapweedgap_instance::wire::{
    Body, Events, Forward, Frame, Owned, Ping, Release, Reply, Report,
};
use knapweedgap_instance::{Identity, Link, Sender};
use knapweedgap_membership::record;
use knapweedgap_operator::Route;

use super::context::{Context, sleep};
use super::{api, latency, members, quota};

/// Interval of pings. A peer is suspect after five missed pings.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Delay before a failed accept is repeated or a lost link is opened again.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(300);

/// Open links by peer.
pub(crate) struct Links {
    identity: Identity,
    senders: RefCell<BTreeMap<id::Instance, Sender>>,
}

impl Links {
    pub(crate) fn new(identity: Identity) -> Links {
        Links { identity, senders: RefCell::default() }
    }

    /// Returns the sender of the link to a peer, or `None` without an open link.
    pub(crate) fn sender(&self, peer: &id::Instance) -> Option<Sender> {
        self.senders.borrow().get(peer).cloned()
    }

    /// Returns the senders of all open links.
    pub(crate) fn senders(&self) -> Vec<(id::Instance, Sender)> {
        self.senders.borrow().iter().map(|(id, sender)| (id.clone(), sender.clone())).collect()
    }

    fn is_open(&self, peer: &id::Instance) -> bool {
        self.senders.borrow().contains_key(peer)
    }
}

/// Accepts links until the process ends.
pub(crate) async fn accept(context: Rc<Context>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let task = handshake(context.clone(), stream);
                context.spawn(task);
            }
            Err(error) => {
                log::warn!("[links] accept failed: {error}; retrying");
                sleep(RECONNECT_INTERVAL).await;
            }
        }
    }
}

async fn handshake(context: Rc<Context>, stream: Async<TcpStream>) {
    match Link::accept(stream, &context.links.identity).await {
        Ok(link) => serve(context, link).await,
        Err(error) => log::debug!("[links] handshake failed: {error}"),
    }
}

/// Maintains a link to every known peer.
///
/// Of two instances, the one with the lower name connects, so that each pair has one link.
pub(crate) async fn maintain(context: Rc<Context>) {
    loop {
        for (peer, address) in peers_without_link(&context) {
            context.spawn(open(context.clone(), peer, address));
        }
        sleep(RECONNECT_INTERVAL).await;
    }
}

fn peers_without_link(context: &Context) -> Vec<(id::Instance, SocketAddr)> {
    let mut peers_without_link = Vec::new();
    for (peer, address) in context.members.addresses(context) {
        if context.config.instance >= peer || context.links.is_open(&peer) {
            continue;
        }
        peers_without_link.push((peer, address));
    }
    peers_without_link
}

async fn open(context: Rc<Context>, peer: id::Instance, address: SocketAddr) {
    match Link::connect(address, &context.links.identity).await {
        Ok(link) if !context.links.is_open(&peer) => serve(context, link).await,
        Ok(link) => drop(link.close().await),
        Err(error) => log::debug!("[links] connecting to {peer} failed: {error}"),
    }
}

/// Opens a new connection to a suspect peer and reports the result to the membership engine.
pub(crate) async fn probe(
    context: Rc<Context>,
    peer: id::Instance,
    incarnation: id::Incarnation,
    address: SocketAddr,
) {
    let result = Link::connect(address, &context.links.identity).await;
    let now = context.now();
    match result {
        Ok(link) => {
            let found = link.peer().incarnation;
            context.members.input(|engine| engine.probe_succeeded(&peer, found, now));
            serve(context, link).await;
        }
        Err(error) => {
            let failure = members::classify_failure(&error);
            context.members.input(|engine| engine.probe_failed(&peer, incarnation, failure, now));
        }
    }
}

/// Handles frames until the link ends.
async fn serve(context: Rc<Context>, mut link: Link<Established>) {
    let peer = link.peer().id.clone();
    let sender = link.sender();
    context.links.senders.borrow_mut().insert(peer.clone(), sender.clone());
    let _ = sender.send(ping(&context));
    loop {
        match link.next().await {
            Ok(Incoming::Frame(frame)) => receive(&context, frame, &sender),
            Ok(Incoming::RoundTrip(_)) => {}
            Ok(Incoming::Fault(error)) => log::warn!("[links] invalid frame from {peer}: {error}"),
            Err(error) => {
                log::debug!("[links] link to {peer} ended: {error}");
                break;
            }
        }
    }
    let mut senders = context.links.senders.borrow_mut();
    if senders.get(&peer).is_some_and(|current| current.is_same(&sender)) {
        senders.remove(&peer);
    }
}

/// Sends pings at a fixed interval.
pub(crate) async fn ping_periodically(context: Rc<Context>) {
    loop {
        ping_all(&context);
        sleep(PING_INTERVAL).await;
    }
}

/// Sends a ping on every open link.
pub(crate) fn ping_all(context: &Context) {
    let ping = ping(context);
    for (_, sender) in context.links.senders() {
        // If sending fails, the link is closing and its reader removes it.
        let _ = sender.send(ping.clone());
    }
}

fn ping(context: &Context) -> Body {
    let owned = context.members.owned();
    let owned = owned.into_iter().map(|(partition, epoch)| Owned { partition, epoch }).collect();
    let report = Report {
        zone: context.config.zone.clone(),
        store_reachable: context.store_reachable.get(),
        draining: context.state() == knapweedgap_operator::instance::State::Draining,
        settings: context.tree.revision(),
        owned,
        usage: quota::local_usage(context),
    };
    Body::Ping(Ping { sent_us: 0, report })
}

fn receive(context: &Rc<Context>, frame: Frame, sender: &Sender) {
    let Frame { sender: peer, incarnation, body, .. } = frame;
    match body {
        Body::Ping(ping) => receive_ping(context, peer, incarnation, ping.report, sender),
        Body::Settings(settings) => context.tree.apply_received(context, &settings.tree),
        Body::Forward(forward) => {
            let task = answer_forwarded_call(context.clone(), forward, sender.clone());
            context.spawn(task);
        }
        Body::Events(Events::Query { call, filter, limit }) => {
            let limit = usize::try_from(limit).unwrap_or(usize::MAX);
            let (events, dropped) = context.journal.select(&filter, limit);
            let _ = sender.send(Body::Events(Events::List { call, events, dropped }));
        }
        Body::Release(release) => receive_release(context, peer, incarnation, release),
        Body::Latencies(latencies) => latency::observe(context, latencies),
        // The daemon's owners talk to their workers themselves, so it has no relays.
        Body::Orders(_) | Body::Outcomes(_) => {}
        Body::Hello(_) | Body::Pong(_) | Body::Reply(_) | Body::Events(Events::List { .. }) => {}
    }
}

fn receive_ping(
    context: &Context,
    peer: id::Instance,
    incarnation: id::Incarnation,
    report: Report,
    sender: &Sender,
) {
    if report.settings < context.tree.revision()
        && let Some(settings) = context.tree.frame()
    {
        let _ = sender.send(settings);
    }
    context.quotas.record(peer.clone(), report.usage);
    let ping = record::Ping {
        sender: peer,
        incarnation,
        zone: report.zone,
        store_reachable: report.store_reachable,
        draining: report.draining,
        settings: report.settings,
        owned: report.owned.iter().map(|owned| (owned.partition, owned.epoch)).collect(),
    };
    let now = context.now();
    context.members.input(|engine| engine.receive_ping(&ping, now));
}

fn receive_release(
    context: &Context,
    peer: id::Instance,
    incarnation: id::Incarnation,
    release: Release,
) {
    let release = record::Release {
        sender: peer,
        incarnation,
        partition: release.partition,
        epoch: release.epoch,
        revision: release.revision,
    };
    let now = context.now();
    context.members.input(|engine| engine.receive_release(&release, now));
}

async fn answer_forwarded_call(context: Rc<Context>, forward: Forward, sender: Sender) {
    let method = forward.method.parse().unwrap_or(http_types::Method::Get);
    let (scope, path) = api::scope(&forward.path);
    let answer = match Route::parse(method, path) {
        Ok(route) => api::handle(&context, route, forward.body.as_bytes(), scope).await,
        Err(error) => api::Answer::error(&error),
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let _ = sender.send(Body::Reply(Reply { call: forward.call, status: answer.status, body }));
}
