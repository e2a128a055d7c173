//! The other instances: each enters its address in the store once, and the leader opens a link to
//! each of them. Followers need no call to the store while they hear of their leader.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::{id, revision};
use knapweedgap_instance::link::Link;
use knapweedgap_instance::sender::Sender;
use knapweedgap_instance::wire::{Body, Ping, Report};
use knapweedgap_store::{Entry, Store, Txn, watch};

use super::keys::{self, Member};
use super::links::{self, ANNOUNCE, Announcement};
use super::term::Term;
use super::{Node, feed};
use crate::peer::Platform;

/// Time between two frames to each follower.
const PING: Duration = Duration::from_millis(300);
/// Shortest and longest pause before a link is opened again.
const RETRY_MIN: Duration = Duration::from_millis(150);
const RETRY_MAX: Duration = Duration::from_millis(1_500);
/// Limit on the answer to an announcement.
const ANNOUNCE_TIME: Duration = Duration::from_millis(800);
/// Time since the last confirmed commit from which on the leader says that it does not reach the
/// store. It commits every 300 ms, and a slow store takes as long to answer.
const COMMIT_AGE_MAX: Duration = Duration::from_millis(1_000);
/// Pause after a failed call to the store.
const STORE_RETRY: Duration = Duration::from_millis(250);

/// Enters this instance in the store.
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
        Timer::after(STORE_RETRY).await;
    }
}

/// Keeps a link to each member while the term lasts.
pub(super) async fn follow<P>(node: Rc<Node<P>>, term: Rc<Term>)
where
    P: Platform,
{
    let members = Members { node: node.clone(), term, links: RefCell::default() };
    feed::follow(&node, &keys::key(keys::MEMBERS), Duration::ZERO, &members).await;
}

/// Links to the members.
struct Members<P> {
    node: Rc<Node<P>>,
    term: Rc<Term>,
    links: RefCell<HashMap<id::Instance, (SocketAddr, Task<()>)>>,
}

impl<P> Members<P>
where
    P: Platform,
{
    /// Opens a link to a member that is new or has moved.
    fn admit(&self, entry: &Entry) {
        let name = entry.key.as_str().strip_prefix(keys::MEMBERS);
        let Some(name) = name.and_then(|name| name.parse::<id::Instance>().ok()) else { return };
        let member: Member = match serde_json::from_slice(&entry.value) {
            Ok(member) => member,
            Err(error) => return log::warn!("[members] member={name} record: {error}"),
        };
        if name == self.node.settings.name {
            return;
        }
        let mut links = self.links.borrow_mut();
        if links.get(&name).is_some_and(|(address, _)| *address == member.address) {
            return;
        }
        let link = dial(self.node.clone(), self.term.clone(), name.clone(), member.address);
        links.insert(name, (member.address, self.node.executor.spawn(link)));
    }
}

impl<P> feed::Sink for Members<P>
where
    P: Platform,
{
    fn reset(&self, entries: Vec<Entry>) {
        for entry in entries {
            self.admit(&entry);
        }
    }

    fn change(&self, change: watch::Change) {
        if let watch::Change::Put(entry) = change {
            self.admit(&entry);
        }
    }
}

/// Keeps the link to one member open.
async fn dial<P>(node: Rc<Node<P>>, term: Rc<Term>, name: id::Instance, address: SocketAddr)
where
    P: Platform,
{
    let mut pause = RETRY_MIN;
    loop {
        match Link::connect(address, &node.identity).await {
            Ok(link) => {
                pause = RETRY_MIN;
                let sender = link.sender();
                let served = links::serve(node.clone(), link);
                served.or(lead(&node, &term, &name, &sender)).await;
            }
            Err(error) => {
                if node.limiter.admit("member_unreachable", node.now()) {
                    log::info!("[members] member={name} unreachable: {error}");
                }
            }
        }
        Timer::after(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}

/// Announces the leader on a link and keeps it alive until it fails.
async fn lead<P>(node: &Rc<Node<P>>, term: &Rc<Term>, name: &id::Instance, sender: &Sender)
where
    P: Platform,
{
    let announcement = Announcement { epoch: term.epoch };
    let body = serde_json::to_string(&announcement).unwrap_or_default();
    match sender.forward("POST", ANNOUNCE, &body, ANNOUNCE_TIME).await {
        Ok(reply) if reply.status == links::OK => {}
        Ok(reply) => {
            log::info!("[members] member={name} follows another leader ({})", reply.status);
            return;
        }
        Err(failure) => return log::info!("[members] member={name} announcement: {failure:?}"),
    }
    loop {
        let ping = Ping { sent_us: 0, report: report(node, term) };
        if let Err(refusal) = sender.send(Body::Ping(ping)) {
            return log::info!("[members] member={name} ping: {refusal:?}");
        }
        Timer::after(PING).await;
    }
}

fn report<P>(node: &Node<P>, term: &Term) -> Report
where
    P: Platform,
{
    let age = node.now().saturating_duration_since(term.validated.get());
    Report {
        zone: node.settings.zone.clone(),
        store_reachable: age < COMMIT_AGE_MAX,
        draining: node.draining.get(),
        settings: revision::Revision::default(),
        owned: Vec::new(),
        usage: Vec::new(),
    }
}
