//! The relay's side: carries out the orders of the leader and returns their outcomes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use async_io::Timer;
use knapweedgap_instance::relay::{self, Kind, Order, Outcome, Outcomes};
use knapweedgap_instance::sender::Sender;
use knapweedgap_instance::wire::{Body, Call};
use knapweedgap_workload::order;

use super::channel::{BATCH_DELAY, BATCH_MAX};
use super::{SLOW_START_MIN, message};
use crate::control::Node;
use crate::control::links::Leader;
use crate::metric;
use crate::peer::{Platform, Workers};

/// Outcomes that have not been sent to the leader yet.
#[derive(Debug, Default)]
pub(in crate::control) struct Outbox {
    outcomes: RefCell<Vec<Outcome>>,
}

impl Outbox {
    /// Adds an outcome. Returns `true` if it is the first one of a message.
    fn push(&self, outcome: Outcome) -> bool {
        let mut outcomes = self.outcomes.borrow_mut();
        outcomes.push(outcome);
        outcomes.len() == 1
    }

    fn flush(&self, sender: &Sender) {
        let mut outcomes = std::mem::take(&mut *self.outcomes.borrow_mut());
        while !outcomes.is_empty() {
            let rest = outcomes.split_off(outcomes.len().min(BATCH_MAX));
            let count = outcomes.len();
            let message = Outcomes { outcomes, leaving: false };
            if let Err(refusal) = sender.send(Body::Outcomes(message)) {
                // The leader treats the orders as unanswered.
                log::info!("[relay] outcomes={count} not sent: {refusal}");
            }
            outcomes = rest;
        }
    }
}

/// Carries out the orders of the leader. Orders of any other instance are dropped.
pub(in crate::control) fn handle_orders<P>(
    node: &Rc<Node<P>>,
    sender: &Sender,
    orders: relay::Orders,
) where
    P: Platform,
{
    let leader = node.leader.borrow().clone();
    let leader = leader.filter(|leader| leader.sender.is_same(sender));
    let Some(leader) = leader.filter(|_| orders.epoch >= node.accepted_epoch.get()) else {
        let (count, epoch) = (orders.orders.len(), orders.epoch);
        let line = format!("[relay] decision=drop orders={count} epoch={epoch}");
        if node.limiter.admit("relay_foreign", &line, node.now()) {
            log::info!("{line}");
        }
        return;
    };
    metrics::counter!(metric::RELAYED_ORDERS).increment(orders.orders.len() as u64);
    let payloads = Rc::new(orders.payloads);
    for order in orders.orders {
        if order.kind == Kind::Disconnect {
            node.platform.workers().disconnect(&order.worker);
            continue;
        }
        let (node, leader, payloads) = (node.clone(), leader.clone(), payloads.clone());
        node.clone().spawn(async move {
            let call = order.call;
            let (worker, arrived_at) = (order.worker.clone(), node.now());
            let is_start = matches!(order.kind, Kind::Start(_));
            let result = execute(&node, order, &payloads, arrived_at).await;
            let elapsed = node.now().saturating_duration_since(arrived_at);
            if is_start && elapsed >= SLOW_START_MIN {
                let took_ms = elapsed.as_millis();
                let line = format!("[relay] worker={worker} start_ms={took_ms}");
                if node.limiter.admit("slow_start", &line, node.now()) {
                    log::info!("{line}");
                }
            }
            answer(&node, &leader, call, result);
        });
    }
}

async fn execute<P>(
    node: &Rc<Node<P>>,
    order: Order,
    payloads: &[String],
    arrived_at: Instant,
) -> relay::Result
where
    P: Platform,
{
    let target = message::target(&order);
    let fence = order.fence;
    match &order.kind {
        Kind::Start(start) => {
            let Some(mut start) = message::decoded_start(start, fence, payloads) else {
                return relay::Result::Refused(order::Refusal::Invalid.to_string().into());
            };
            start.valid -= start.valid.min(node.now().saturating_duration_since(arrived_at));
            let call = |workers, timeout| Workers::start(workers, &target, &start, timeout);
            message::outcome(node.workers_timed(call).await)
        }
        Kind::Stop(run) => {
            let (task, run) = (message::task_id(run.task), run.number);
            let stop = order::Stop { task, run, fence };
            let call = |workers, timeout| Workers::stop(workers, &target, &stop, timeout);
            message::outcome(node.workers_timed(call).await)
        }
        Kind::Speed(run, percent) => {
            let (task, run, percent) = (message::task_id(run.task), run.number, *percent);
            let speed = order::Speed { task, run, percent, fence };
            let call = |workers, timeout| Workers::set_speed(workers, &target, &speed, timeout);
            message::outcome(node.workers_timed(call).await)
        }
        Kind::Poll(poll) => {
            let poll = message::decoded_poll(poll, fence);
            let timeout = node.round_trips.timeout();
            message::polled(node.platform.workers().poll(&target, &poll, timeout).await)
        }
        Kind::Disconnect => relay::Result::Done,
    }
}

fn answer<P>(node: &Rc<Node<P>>, leader: &Rc<Leader>, call: Call, result: relay::Result)
where
    P: Platform,
{
    if !leader.outbox.push(Outcome { call, result }) {
        return;
    }
    let leader = leader.clone();
    node.spawn(async move {
        Timer::after(BATCH_DELAY).await;
        leader.outbox.flush(&leader.sender);
    });
}

/// Tells the leader that this instance shuts down, so that it gets no further orders.
pub(in crate::control) fn announce_leaving<P>(node: &Node<P>)
where
    P: Platform,
{
    let Some(leader) = node.leader.borrow().clone() else { return };
    let message = Outcomes { outcomes: Vec::new(), leaving: true };
    if let Err(refusal) = leader.sender.send(Body::Outcomes(message)) {
        log::info!("[relay] leader={} leaving not announced: {refusal}", leader.instance);
    }
}
