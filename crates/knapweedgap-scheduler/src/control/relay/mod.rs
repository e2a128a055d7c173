//! Relays: instances that talk to a share of the workers for the owner.
//!
//! The owner decides and a relay only passes on: each order carries the fencing token and the end of
//! the lease that the owner computed, so an order that a relay delays extends nothing, exactly as
//! one that the network delays. An order whose relay gives no outcome counts as unanswered. A poll
//! is then sent again by another instance, because the silence of a relay says nothing about the
//! worker.

mod agent;
mod channel;
mod message;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use knapweedgap_core::{id, revision};
use knapweedgap_instance::relay as wire;
use knapweedgap_instance::sender::Sender;
use knapweedgap_membership::share::{Capacity, Fleet, Relay, Share};
use knapweedgap_workload::order::{self, Failure};
use knapweedgap_workload::round_trip::TIMEOUT_MAX;
use knapweedgap_workload::worker::Report;

use super::Node;
use super::term::Term;
use crate::metric;
use crate::peer::{Platform, Workers};

pub(super) use agent::{Outbox, announce_leaving, handle_orders};

use channel::{BATCH_DELAY, Channel, Leaving, Serving};
use message::Draft;

/// Time until the answer to a start from which on the owner and the relay log it.
pub(super) const SLOW_START_MIN: Duration = Duration::from_millis(500);
/// Time added to the timeout of a call to a worker for the way to the relay and back.
const RELAY_MARGIN: Duration = Duration::from_millis(400);
/// Time without a frame after which a relay gets no orders and its calls end. A relay answers a
/// ping every 300 ms.
const SILENCE_MAX: Duration = Duration::from_millis(1_000);
/// Number of instances that a poll is passed to before it counts as failed.
const POLL_ATTEMPTS: u32 = 2;

/// Relays of one term and the share of each.
pub(super) struct Relays {
    epoch: revision::Epoch,
    own: Capacity,
    serving: RefCell<BTreeMap<id::Instance, Serving>>,
    leaving: RefCell<BTreeMap<id::Instance, Leaving>>,
    share: RefCell<Share>,
    /// Workers for which the share was planned.
    fleet: RefCell<Fleet>,
    /// Instance that holds the connections to each worker; `None` is the owner itself.
    holders: RefCell<HashMap<id::Worker, Option<id::Instance>>>,
    /// Number of polls that each worker has not answered. The next one goes through another relay,
    /// because the fault may be on the way from the relay.
    detours: RefCell<HashMap<id::Worker, usize>>,
}

impl Relays {
    pub(super) fn new(epoch: revision::Epoch, own: Capacity) -> Relays {
        Relays {
            epoch,
            own,
            serving: RefCell::default(),
            leaving: RefCell::default(),
            share: RefCell::default(),
            fleet: RefCell::default(),
            holders: RefCell::default(),
            detours: RefCell::default(),
        }
    }

    /// Adds an instance that has accepted the announcement of the owner.
    pub(super) fn join(
        &self,
        instance: id::Instance,
        sender: Sender,
        zone: id::Zone,
        capacity: Capacity,
        now: Instant,
    ) {
        let channel = Rc::new(Channel::new(instance.clone(), sender, self.epoch, now));
        let former =
            self.serving.borrow_mut().insert(instance, Serving { channel, zone, capacity });
        if let Some(former) = former {
            former.channel.close();
        }
        self.plan("an instance joined");
    }

    /// Removes the instance at the other end of a link.
    pub(super) fn part(&self, instance: &id::Instance, sender: &Sender, reason: &'static str) {
        let is_same = |channel: &Channel| channel.sender.is_same(sender);
        let mut leaving = self.leaving.borrow_mut();
        if leaving.get(instance).is_some_and(|relay| is_same(&relay.channel))
            && let Some(relay) = leaving.remove(instance)
        {
            relay.channel.close();
        }
        drop(leaving);
        let mut serving = self.serving.borrow_mut();
        if !serving.get(instance).is_some_and(|relay| is_same(&relay.channel)) {
            return;
        }
        let removed = serving.remove(instance);
        drop(serving);
        if let Some(relay) = removed {
            relay.channel.close();
            self.plan(reason);
        }
    }

    /// Notes a frame of the instance at the other end of a link.
    pub(super) fn note_contact(&self, instance: &id::Instance, now: Instant) {
        if let Some(relay) = self.serving.borrow().get(instance) {
            relay.channel.last_contact.set(now);
        }
    }

    /// Returns `true` if the instance sent no frame for [`SILENCE_MAX`].
    pub(super) fn is_silent(&self, instance: &id::Instance, now: Instant) -> bool {
        let serving = self.serving.borrow();
        let last_contact = serving.get(instance).map(|relay| relay.channel.last_contact.get());
        last_contact.is_some_and(|at| now.saturating_duration_since(at) > SILENCE_MAX)
    }

    /// Handles the outcomes that a relay sent.
    pub(super) fn deliver(&self, instance: &id::Instance, outcomes: wire::Outcomes) {
        if outcomes.leaving {
            self.leave(instance);
        }
        let serving = self.serving.borrow().get(instance).map(|relay| relay.channel.clone());
        let leaving = || self.leaving.borrow().get(instance).map(|relay| relay.channel.clone());
        let Some(channel) = serving.or_else(leaving) else { return };
        channel.deliver(outcomes);
    }

    /// Takes the share from an instance that shuts down. Its orders on the way still have outcomes.
    fn leave(&self, instance: &id::Instance) {
        let serving = self.serving.borrow_mut().remove(instance);
        let Some(serving) = serving else { return };
        self.leaving.borrow_mut().insert(instance.clone(), serving.leave());
        self.plan("an instance shuts down");
    }

    /// Plans the share anew if the number of workers of a zone has changed.
    pub(super) fn set_fleet(&self, fleet: Fleet) {
        if *self.fleet.borrow() == fleet {
            return;
        }
        self.fleet.replace(fleet);
        self.plan("the number of workers changed");
    }

    fn plan(&self, reason: &'static str) {
        let serving = self.serving.borrow();
        let candidates = serving.iter().map(|(instance, relay)| Relay {
            instance: instance.clone(),
            zone: relay.zone.clone(),
            capacity: relay.capacity,
        });
        let fleet = self.fleet.borrow();
        let plan = Share::plan(&fleet, self.own, candidates, &self.share.borrow());
        let (workers, zones) = (fleet.workers(), fleet.zones());
        let (relays, near_zones) = (plan.relays().len(), plan.near_zones());
        let former = self.share.replace(plan);
        if former == *self.share.borrow() {
            return;
        }
        metrics::gauge!(metric::RELAYS).set(relays as f64);
        log::info!(
            "[relay] decision=share workers={workers} own_capacity={} candidates={} relays={relays} zones={zones} near_zones={near_zones} reason={reason:?}",
            self.own,
            serving.len()
        );
    }

    /// Returns the channel to the relay of a worker; `None` if the owner talks to it itself.
    fn channel(&self, worker: &id::Worker, zone: Option<&id::Zone>) -> Option<Rc<Channel>> {
        let share = self.share.borrow();
        let detour = self.detours.borrow().get(worker).copied().unwrap_or(0);
        let relay = share.relay(worker, zone, detour)?;
        self.serving.borrow().get(relay).map(|relay| relay.channel.clone())
    }

    /// Sends the next orders to a worker through another relay.
    fn detour(&self, worker: &id::Worker) {
        *self.detours.borrow_mut().entry(worker.clone()).or_default() += 1;
    }

    /// Forgets a worker that is no longer polled.
    pub(super) fn forget(&self, worker: &id::Worker) {
        self.holders.borrow_mut().remove(worker);
        self.detours.borrow_mut().remove(worker);
    }

    /// Notes which instance talks to a worker now, and returns the one that did before, if it is
    /// another one.
    fn replace_holder(
        &self,
        worker: &id::Worker,
        holder: Option<&id::Instance>,
    ) -> Option<Option<id::Instance>> {
        let mut holders = self.holders.borrow_mut();
        match holders.get_mut(worker) {
            Some(known) if known.as_ref() == holder => None,
            Some(known) => Some(std::mem::replace(known, holder.cloned())),
            None => {
                holders.insert(worker.clone(), holder.cloned());
                None
            }
        }
    }
}

/// Returns the channel to the relay of a worker; `None` if the owner talks to it itself.
fn channel(term: &Term, worker: &id::Worker) -> Option<Rc<Channel>> {
    let zone = term.with_engine(|engine| engine.zone_of(worker).cloned()).flatten();
    term.relays.channel(worker, zone.as_ref())
}

/// Starts a run through the instance that talks to the worker.
pub(super) async fn start<P>(
    node: &Rc<Node<P>>,
    term: &Term,
    target: &order::Target,
    start: &order::Start,
) -> Result<(), Failure>
where
    P: Platform,
{
    let Some(channel) = channel(term, &target.worker) else {
        return node.workers_timed(|workers, timeout| workers.start(target, start, timeout)).await;
    };
    order(node, &channel, message::start(target, start)).await
}

/// Stops a run through the instance that talks to the worker.
pub(super) async fn stop<P>(
    node: &Rc<Node<P>>,
    term: &Term,
    target: &order::Target,
    stop: &order::Stop,
) -> Result<(), Failure>
where
    P: Platform,
{
    let Some(channel) = channel(term, &target.worker) else {
        return node.workers_timed(|workers, timeout| workers.stop(target, stop, timeout)).await;
    };
    order(node, &channel, message::stop(target, stop)).await
}

/// Sets the speed of a run through the instance that talks to the worker.
pub(super) async fn set_speed<P>(
    node: &Rc<Node<P>>,
    term: &Term,
    target: &order::Target,
    speed: &order::Speed,
) -> Result<(), Failure>
where
    P: Platform,
{
    let Some(channel) = channel(term, &target.worker) else {
        let call = |workers, timeout| Workers::set_speed(workers, target, speed, timeout);
        return node.workers_timed(call).await;
    };
    order(node, &channel, message::speed(target, speed)).await
}

/// Polls a worker through the instance that talks to it, and through another one if that one gives
/// no outcome.
pub(super) async fn poll<P>(
    node: &Rc<Node<P>>,
    term: &Term,
    target: &order::Target,
    poll: &order::Poll,
) -> Result<Report, Failure>
where
    P: Platform,
{
    let mut failure = None;
    for _ in 0..POLL_ATTEMPTS {
        let Some(channel) = channel(term, &target.worker) else {
            release_connections(node, term, target, None);
            let timeout = node.round_trips.timeout();
            return node.platform.workers().poll(target, poll, timeout).await;
        };
        release_connections(node, term, target, Some(&channel.instance));
        let draft = message::poll(target, poll);
        if let Some(result) = call(node, &channel, draft, poll.wait).await {
            let result = message::decoded_report(result);
            if matches!(result, Err(Failure::Unanswered(_))) {
                term.relays.detour(&target.worker);
            }
            return result;
        }
        term.relays.detour(&target.worker);
        failure = Some(Failure::Unanswered(message::lost(&channel.instance)));
    }
    Err(failure.unwrap_or(Failure::Unanswered("no relay".into())))
}

/// Asks the former holder of a worker to close its connections to it.
fn release_connections<P>(
    node: &Rc<Node<P>>,
    term: &Term,
    target: &order::Target,
    holder: Option<&id::Instance>,
) where
    P: Platform,
{
    let Some(former) = term.relays.replace_holder(&target.worker, holder) else { return };
    let Some(former) = former else { return node.platform.workers().disconnect(&target.worker) };
    let serving = term.relays.serving.borrow();
    let Some(relay) = serving.get(&former) else { return };
    push(node, &relay.channel, message::disconnect(&target.worker));
}

/// Closes the connections to a worker that is no longer polled.
pub(super) fn disconnect<P>(node: &Rc<Node<P>>, term: &Term, worker: &id::Worker)
where
    P: Platform,
{
    let holder = term.relays.holders.borrow().get(worker).cloned().flatten();
    term.relays.forget(worker);
    let Some(holder) = holder else { return node.platform.workers().disconnect(worker) };
    let serving = term.relays.serving.borrow();
    let Some(relay) = serving.get(&holder) else { return };
    push(node, &relay.channel, message::disconnect(worker));
}

/// Sends an order that has no report through a relay.
async fn order<P>(node: &Rc<Node<P>>, channel: &Rc<Channel>, draft: Draft) -> Result<(), Failure>
where
    P: Platform,
{
    match call(node, channel, draft, Duration::ZERO).await {
        Some(result) => message::decoded_outcome(result),
        None => Err(Failure::Unanswered(message::lost(&channel.instance))),
    }
}

/// Sends an order through a relay and waits for its result, at most `wait` longer than for a call
/// that the worker answers at once.
async fn call<P>(
    node: &Rc<Node<P>>,
    channel: &Rc<Channel>,
    mut draft: Draft,
    wait: Duration,
) -> Option<wire::Result>
where
    P: Platform,
{
    let (call, receiver) = channel.register();
    draft.order.call = call;
    push(node, channel, draft);
    let timeout = wait + TIMEOUT_MAX + RELAY_MARGIN;
    channel.result(call, receiver, timeout).await
}

fn push<P>(node: &Rc<Node<P>>, channel: &Rc<Channel>, draft: Draft)
where
    P: Platform,
{
    if !channel.push(draft) {
        return;
    }
    let channel = channel.clone();
    node.spawn(async move {
        Timer::after(BATCH_DELAY).await;
        channel.flush();
    });
}
