//! The other instances: each registers its address in the store once, and the leader opens a link
//! to each of them. Followers make no calls to the store while they are in contact with the leader.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::{id, revision};
use knapweedgap_instance::link::{Link, Peer};
use knapweedgap_instance::sender::Sender;
use knapweedgap_instance::wire::{Body, Ping, Report};
use knapweedgap_store::{Entry, Store, Txn, watch};

use super::keys::{self, Member};
use super::links::{self, ANNOUNCE, Acceptance, Announcement, LIMITS};
use super::term::Term;
use super::{Node, feed};
use crate::peer::Platform;

/// Time between two pings to each follower.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two looks at the limits that a follower has to learn.
const LIMITS_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest pause before a link is opened again; it doubles with each attempt.
const LINK_BACKOFF_MIN: Duration = Duration::from_millis(150);
/// Longest pause before a link is opened again.
const LINK_BACKOFF_MAX: Duration = Duration::from_millis(1_500);
/// Timeout for the reply to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Age of the last confirmed commit above which the leader reports the store as unreachable. The
/// leader commits every 300 ms, and a slow store takes as long to respond.
const COMMIT_AGE_MAX: Duration = Duration::from_millis(1_000);
/// Pause before a failed registration is repeated.
const REGISTER_BACKOFF: Duration = Duration::from_millis(250);

/// Writes the address of this instance to the store, with retries until it succeeds.
pub(super) async fn register<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let member = Member { address: node.settings.links };
    let value = serde_json::to_vec(&member).unwrap_or_default();
    loop {
        let txn = Txn::new().put(keys::member(&node.settings.name), value.clone());
        match node.platform.store().commit(txn).await {
            Ok(_) => return,
            Err(error) => log::info!("[members] registration failed: {error}"),
        }
        Timer::after(REGISTER_BACKOFF).await;
    }
}

/// Maintains a link to each member during a term.
pub(super) async fn run<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    let members = Members { node: node.clone(), term, links: RefCell::default() };
    feed::watch_prefix(&node, &keys::key(keys::MEMBERS), Duration::ZERO, &members).await;
}

/// Opens links to members as their records appear.
struct Members<P> {
    node: Rc<Node<P>>,
    term: Rc<Term>,
    /// Address and task of each link.
    links: RefCell<HashMap<id::Instance, (SocketAddr, Task<()>)>>,
}

impl<P> Members<P>
where
    P: Platform,
{
    /// Opens a link to a member that is new or whose address has changed.
    fn connect(&self, entry: &Entry) {
        let name = entry.key.as_str().strip_prefix(keys::MEMBERS);
        let Some(name) = name.and_then(|name| name.parse::<id::Instance>().ok()) else { return };
        let member: Member = match serde_json::from_slice(&entry.value) {
            Ok(member) => member,
            Err(error) => return log::warn!("[members] member={name} invalid record: {error}"),
        };
        if name == self.node.settings.name {
            return;
        }
        let mut links = self.links.borrow_mut();
        if links.get(&name).is_some_and(|(address, _)| *address == member.address) {
            return;
        }
        let link =
            maintain_link(self.node.clone(), self.term.clone(), name.clone(), member.address);
        links.insert(name, (member.address, self.node.executor.spawn(link)));
        self.term.members.set(links.len() + 1);
    }
}

impl<P> feed::Sink for Members<P>
where
    P: Platform,
{
    fn reset(&self, entries: Vec<Entry>) {
        for entry in entries {
            self.connect(&entry);
        }
    }

    fn change(&self, change: watch::Change) {
        if let watch::Change::Put(entry) = change {
            self.connect(&entry);
        }
    }

    fn confirm(&self, _at: Instant) {}
}

/// Keeps a link to one member open, with reconnections after failures.
async fn maintain_link<P>(
    node: Rc<Node<P>>,
    term: Rc<Term>,
    name: id::Instance,
    address: SocketAddr,
) where
    P: Platform,
{
    let mut backoff = LINK_BACKOFF_MIN;
    loop {
        match Link::connect(address, &node.identity).await {
            Ok(link) => {
                backoff = LINK_BACKOFF_MIN;
                let peer = link.peer().clone();
                term.check_predecessor(
                    // Another process at the address of the predecessor has replaced it.
                    |owner| owner.address == address && owner.incarnation != peer.incarnation,
                    node.now(),
                );
                let sender = link.sender();
                let served = links::serve(node.clone(), link);
                let limits = send_limits(&node, &sender);
                served.or(send_pings(&node, &term, &name, &peer, &sender)).or(limits).await;
                term.relays.part(&name, &sender, "the link to an instance closed");
            }
            Err(error) => {
                let line = format!("[members] member={name} unreachable: {error}");
                if node.limiter.admit("member_unreachable", &line, node.now()) {
                    log::info!("{line}");
                }
            }
        }
        Timer::after(backoff).await;
        backoff = (backoff * 2).min(LINK_BACKOFF_MAX);
    }
}

/// Announces this instance as the leader on a link, then sends pings until the link fails or the
/// member rejects the announcement.
async fn send_pings<P>(
    node: &Rc<Node<P>>,
    term: &Rc<Term>,
    name: &id::Instance,
    peer: &Peer,
    sender: &Sender,
) where
    P: Platform,
{
    let instances = u32::try_from(term.members.get()).unwrap_or(u32::MAX);
    let announcement = Announcement { epoch: term.epoch, instances };
    let body = serde_json::to_string(&announcement).unwrap_or_default();
    let capacity = match sender.forward("POST", ANNOUNCE, &body, ANNOUNCE_TIMEOUT).await {
        Ok(reply) if reply.status == links::OK => {
            // A member ends its own term before it accepts the announcement.
            term.check_predecessor(|owner| owner.incarnation == peer.incarnation, node.now());
            let acceptance = serde_json::from_str::<Acceptance>(&reply.body);
            let acceptance = acceptance.inspect_err(|error| {
                log::warn!("[members] member={name} decision=no_relay invalid reply: {error}");
            });
            acceptance.unwrap_or_default().capacity
        }
        Ok(reply) => {
            log::info!("[members] member={name} announcement rejected: status {}", reply.status);
            return;
        }
        Err(failure) => {
            return log::info!("[members] member={name} announcement failed: {failure:?}");
        }
    };
    if let Some(capacity) = capacity {
        let zone = peer.zone.clone();
        term.relays.join(name.clone(), sender.clone(), zone, capacity, node.now());
    }
    loop {
        if term.relays.is_silent(name, node.now()) {
            return log::info!("[members] member={name} link=silent");
        }
        let ping = Ping { sent_us: 0, report: report(node, term) };
        if let Err(refusal) = sender.send(Body::Ping(ping)) {
            return log::info!("[members] member={name} ping not sent: {refusal:?}");
        }
        Timer::after(PING_INTERVAL).await;
    }
}

/// Passes on the limits on the requests of clients, and again whenever they change. Does not end.
async fn send_limits<P>(node: &Rc<Node<P>>, sender: &Sender)
where
    P: Platform,
{
    let mut sent = 0;
    loop {
        let limits = node.client_limits.get();
        if limits.version > sent {
            let body = serde_json::to_string(&limits).unwrap_or_default();
            // An earlier release answers with another status, and would again. A failure is repeated.
            if sender.forward("POST", LIMITS, &body, ANNOUNCE_TIMEOUT).await.is_ok() {
                sent = limits.version;
            }
        }
        Timer::after(LIMITS_INTERVAL).await;
    }
}

fn report<P>(node: &Node<P>, term: &Term) -> Report
where
    P: Platform,
{
    let age = node.now().saturating_duration_since(term.confirmed_at.get());
    Report {
        zone: node.settings.zone.clone(),
        store_reachable: age < COMMIT_AGE_MAX,
        draining: node.draining.get(),
        settings: revision::Revision::default(),
        owned: Vec::new(),
        usage: Vec::new(),
    }
}
