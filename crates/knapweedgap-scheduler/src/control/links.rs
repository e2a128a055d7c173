//! Links to the other instances and the state of the leader as received over them.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use knapweedgap_core::{id, revision};
use knapweedgap_instance::link::{Established, Incoming, Link, Peer};
use knapweedgap_instance::sender::Sender;
use knapweedgap_instance::wire::{Body, Forward, Frame, Reply};
use knapweedgap_membership::share::Capacity;
use knapweedgap_workload::api::{Answer, Request};
use knapweedgap_workload::configuration::Limits;
use serde::{Deserialize, Serialize};

use super::calls::Attempt;
use super::{Node, calls, relay};
use crate::peer::Platform;

/// Path on which a leader announces itself.
pub(super) const ANNOUNCE: &str = "/leader";
/// Path on which client requests are forwarded to the leader.
pub(super) const WORKLOAD: &str = "/workload";
/// Path on which a leader passes on the limits on the requests of clients. Earlier releases answer
/// [`MALFORMED`]. A repeated announcement would make them discard the outcomes in their outbox.
pub(super) const LIMITS: &str = "/limits";

/// Time without a frame from the leader after which its ownership is checked in the store. The
/// leader sends a frame every 300 ms.
pub(super) const CONTACT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without a frame from which the leader is late: one frame is missing, as far as a pause of
/// 200 ms in its transit doesn't explain it.
const LATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Largest number of accepted links. An instance accepts one from the leader and a few from former
/// ones. All instances probe an owner that is late; a probe that is closed proves nothing.
const LINKS_MAX: usize = 128;

/// Status of a reply to an accepted announcement or with an answer to a client request.
pub(super) const OK: u16 = 200;
/// Status of a reply that rejects an announcement as outdated, or to a request that was not executed
/// because the instance is not the leader.
const NOT_LEADER: u16 = 409;
/// Status of a reply to a malformed message.
const MALFORMED: u16 = 400;

/// Body of the message with which a leader announces itself.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Announcement {
    pub(super) epoch: revision::Epoch,
    /// Number of instances that the leader knows, with itself; 0 if it does not say.
    #[serde(default)]
    pub(super) instances: u32,
}

/// Body of the reply to an accepted announcement.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Acceptance {
    /// Workers that the instance can talk to as a relay; absent if it is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) capacity: Option<Capacity>,
}

/// Leader that announced itself on a link.
pub(super) struct Leader {
    pub(super) instance: id::Instance,
    pub(super) sender: Sender,
    /// When the last frame arrived.
    last_contact: Cell<Instant>,
    /// Whether its last ping reported the store as reachable.
    commits: Cell<bool>,
    /// Outcomes of its orders that have not been sent yet.
    pub(super) outbox: relay::Outbox,
}

impl Leader {
    /// Returns `true` if a frame arrived within [`CONTACT_TIMEOUT`].
    pub(super) fn is_in_contact(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_contact.get()) < CONTACT_TIMEOUT
    }

    /// Returns the time at which the leader is late if no frame arrives before.
    pub(super) fn late_at(&self) -> Instant {
        self.last_contact.get() + LATE_TIMEOUT
    }

    /// Returns `true` if no frame arrived within [`LATE_TIMEOUT`].
    pub(super) fn is_late(&self, now: Instant) -> bool {
        now >= self.late_at()
    }

    /// Returns `true` if the leader's last ping reported the store as reachable.
    pub(super) fn commits(&self) -> bool {
        self.commits.get()
    }
}

/// Binds the listener for links from other instances.
pub(super) fn listen(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// Accepts links and serves each in a task of its own.
pub(super) async fn accept<P>(node: Rc<Node<P>>, listener: Async<TcpListener>)
where
    P: Platform,
{
    let open = Rc::new(());
    loop {
        let stream = match listener.accept().await {
            // The connection is closed at once.
            Ok(_) if Rc::strong_count(&open) > LINKS_MAX => {
                let line = format!("[links] decision=close bound=connections links={LINKS_MAX}");
                if node.limiter.admit("links", &line, node.now()) {
                    log::warn!("{line}");
                }
                continue;
            }
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("[links] accept failed: {error}");
                Timer::after(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let (accepted, place) = (node.clone(), open.clone());
        node.spawn(async move {
            let _place = place;
            match Link::accept(stream, &accepted.identity).await {
                Ok(link) => serve(accepted, link).await,
                Err(error) => log::info!("[links] handshake failed: {error}"),
            }
        });
    }
}

/// Handles the frames of a link until it closes.
pub(super) async fn serve<P>(node: Rc<Node<P>>, mut link: Link<Established>)
where
    P: Platform,
{
    let sender = link.sender();
    let peer = link.peer().clone();
    let error = loop {
        match link.next().await {
            Ok(Incoming::Frame(frame)) => handle_frame(&node, &peer, &sender, frame),
            Ok(Incoming::RoundTrip(round_trip)) => {
                note_contact(&node, &peer);
                if let Some(term) = node.term() {
                    term.link_delay.borrow_mut().record(round_trip, node.now());
                }
            }
            Ok(Incoming::Fault(fault)) => log::warn!("[links] peer={} {fault}", peer.id),
            Err(error) => break error,
        }
    };
    let lost = node.leader.borrow().as_ref().is_some_and(|leader| leader.sender.is_same(&sender));
    if lost {
        log::info!("[links] leader={} link=lost reason={error:?}", peer.id);
        node.leader.replace(None);
        node.changed.notify();
    }
}

fn handle_frame<P>(node: &Rc<Node<P>>, peer: &Peer, sender: &Sender, frame: Frame)
where
    P: Platform,
{
    if let Some(leader) = node.leader.borrow().as_ref()
        && leader.sender.is_same(sender)
    {
        leader.last_contact.set(node.now());
        if let Body::Ping(ping) = &frame.body {
            leader.commits.set(ping.report.store_reachable);
        }
    }
    note_contact(node, peer);
    let forward = match frame.body {
        Body::Forward(forward) => forward,
        Body::Orders(orders) => return relay::handle_orders(node, sender, orders),
        Body::Outcomes(outcomes) => {
            if let Some(term) = node.term() {
                term.relays.deliver(&peer.id, outcomes);
            }
            return;
        }
        _ => return,
    };
    match forward.path.as_str() {
        ANNOUNCE => handle_announcement(node, peer, sender, &forward),
        LIMITS => match serde_json::from_str::<Limits>(&forward.body) {
            Ok(limits) => {
                node.set_client_limits(limits);
                reply(sender, &forward, OK, String::new());
            }
            Err(error) => {
                log::warn!("[links] peer={} invalid limits: {error}", peer.id);
                reply(sender, &forward, MALFORMED, String::new());
            }
        },
        WORKLOAD => {
            let (node, sender) = (node.clone(), sender.clone());
            node.clone().spawn(async move { handle_request(&node, &sender, forward).await });
        }
        _ => reply(sender, &forward, MALFORMED, String::new()),
    }
}

/// Records a peer as the leader unless its epoch is outdated.
fn handle_announcement<P>(node: &Rc<Node<P>>, peer: &Peer, sender: &Sender, forward: &Forward)
where
    P: Platform,
{
    let announcement: Announcement = match serde_json::from_str(&forward.body) {
        Ok(announcement) => announcement,
        Err(error) => {
            log::warn!("[links] peer={} invalid announcement: {error}", peer.id);
            return reply(sender, forward, MALFORMED, String::new());
        }
    };
    let epoch = announcement.epoch;
    node.instances.set(announcement.instances);
    let own = node.term().map(|term| term.epoch);
    let is_outdated = node.accepted_epoch.get() > epoch;
    if is_outdated || own.is_some_and(|own| own >= epoch) {
        return reply(sender, forward, NOT_LEADER, String::new());
    }
    if let Some(term) = node.term() {
        term.end("a later leader announced itself");
    }
    log::info!("[links] leader={} epoch={epoch} link=gained", peer.id);
    node.accepted_epoch.set(node.accepted_epoch.get().max(epoch));
    let (instance, last_contact) = (peer.id.clone(), Cell::new(node.now()));
    let commits = Cell::new(true);
    let outbox = relay::Outbox::default();
    let leader = Leader { instance, sender: sender.clone(), last_contact, commits, outbox };
    node.leader.replace(Some(Rc::new(leader)));
    node.changed.notify();
    // An instance that shuts down is no relay.
    let capacity = (!node.draining.get()).then(|| node.capacity());
    let acceptance = Acceptance { capacity };
    reply(sender, forward, OK, serde_json::to_string(&acceptance).unwrap_or_default());
}

/// Notes a frame of a relay.
fn note_contact<P>(node: &Node<P>, peer: &Peer)
where
    P: Platform,
{
    if let Some(term) = node.term() {
        term.relays.note_contact(&peer.id, node.now());
    }
}

/// Answers a client request that another instance forwarded.
async fn handle_request<P>(node: &Rc<Node<P>>, sender: &Sender, forward: Forward)
where
    P: Platform,
{
    let request: Request = match serde_json::from_str(&forward.body) {
        Ok(request) => request,
        Err(error) => {
            log::warn!("[links] invalid forwarded request: {error}");
            return reply(sender, &forward, MALFORMED, String::new());
        }
    };
    let answer = match calls::answer_here(node, request).await {
        Attempt::Answered(answer) => answer,
        Attempt::NotExecuted => return reply(sender, &forward, NOT_LEADER, String::new()),
        Attempt::Unknown => Answer::Unknown("the ownership has ended".into()),
    };
    match serde_json::to_string(&answer) {
        Ok(body) => reply(sender, &forward, OK, body),
        Err(error) => log::warn!("[links] encoding an answer failed: {error}"),
    }
}

fn reply(sender: &Sender, forward: &Forward, status: u16, body: String) {
    let reply = Reply { call: forward.call, status, body };
    // The peer repeats the request if the link has closed or its queue is full.
    if let Err(refusal) = sender.send(Body::Reply(reply)) {
        log::debug!("[links] reply not sent: {refusal:?}");
    }
}
