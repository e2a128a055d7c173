//! Execution of the engine's actions.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use knapweedgap_core::id;
use knapweedgap_workload::action::Action;
use knapweedgap_workload::event::Event;
use knapweedgap_workload::order;
use knapweedgap_workload::task;
use smol_str::format_smolstr;

use super::Node;
use super::cost::Part;
use super::relay;
use super::term::Term;
use crate::metric;
use crate::output::{self, REQUIRED, REVISION};
use crate::peer::{Advisor, Platform};

/// Pause after a failed poll.
const POLL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest wait for the reported ends of runs to be stored before the worker is polled again.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest time between two polls of one worker, so that ends of runs close together arrive in
/// one response.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Time for which requests for an extra poll of one worker are collected.
const EXTRA_POLL_DELAY: Duration = Duration::from_millis(10);

/// Executes the pending actions of the engine.
pub(super) fn execute_actions<P>(node: &Rc<Node<P>>, term: &Rc<Term>)
where
    P: Platform,
{
    node.meter.measure(Part::Actions, || execute_all(node, term));
}

fn execute_all<P>(node: &Rc<Node<P>>, term: &Rc<Term>)
where
    P: Platform,
{
    let Some(actions) = term.with_engine(|engine| engine.actions()) else { return };
    let mut joined: BTreeMap<&'static str, Vec<String>> = BTreeMap::new();
    for action in actions {
        match action {
            Action::Log(event) if event.is_joined() => {
                node.meter.measure(Part::Log, || {
                    count_event(&event);
                    joined.entry(event.kind()).or_default().push(event.to_string());
                });
            }
            action => execute(node, term, action),
        }
    }
    node.meter.measure(Part::Log, || {
        for (kind, entries) in joined {
            for line in output::joined(entries) {
                log_line(node, kind, &line);
            }
        }
    });
    if term.with_engine(|engine| engine.has_batch()).unwrap_or(false) {
        term.commit_requested.notify();
    }
}

fn execute<P>(node: &Rc<Node<P>>, term: &Rc<Term>, action: Action)
where
    P: Platform,
{
    match action {
        Action::Answer(ticket, answer) => {
            let waiter = term.tickets.borrow_mut().remove(&ticket);
            let Some(waiter) = waiter else { return };
            // The send fails if the client has disconnected.
            let _ = waiter.try_send(answer);
        }
        Action::Start(target, start) => {
            node.spawn(send_start(node.clone(), term.clone(), target, start, node.now()));
        }
        Action::Stop(target, stop) => {
            node.spawn(send_stop(node.clone(), term.clone(), target, stop));
        }
        Action::SetSpeed(target, order) => {
            if term.speeds.borrow_mut().begin(&target, &order) {
                node.spawn(send_speeds(node.clone(), term.clone(), target, order));
            }
        }
        Action::Poll(id) => spawn_extra_poll(node, term, id),
        Action::StartPolling(id) => {
            let polls = poll_loop(node.clone(), term.clone(), id.clone());
            term.polls.borrow_mut().insert(id, node.executor.spawn(polls));
        }
        Action::Advise(step, workers, timeout) => {
            node.spawn(advise(node.clone(), term.clone(), step, workers, timeout));
        }
        Action::Log(event) => node.meter.measure(Part::Log, || log_event(node, &event)),
        Action::CheckOwnership(worker, reason) => {
            log::info!("[term] worker={worker} {reason}, checking the ownership");
            // The next commit fails if another instance owns the workload.
            term.commit_requested.notify();
        }
    }
}

/// Sends a poll beside the poll loop of a worker. Several requests within [`EXTRA_POLL_DELAY`]
/// share one poll, because many starts to one worker often fail together.
fn spawn_extra_poll<P>(node: &Rc<Node<P>>, term: &Rc<Term>, id: id::Worker)
where
    P: Platform,
{
    if !term.extra_polls.borrow_mut().insert(id.clone()) {
        return;
    }
    let (node, term) = (node.clone(), term.clone());
    node.clone().spawn(async move {
        Timer::after(EXTRA_POLL_DELAY).await;
        term.extra_polls.borrow_mut().remove(&id);
        poll(&node, &term, &id).await;
    });
}

fn log_event<P>(node: &Node<P>, event: &Event)
where
    P: Platform,
{
    count_event(event);
    if event.is_unlimited() {
        let target = format_smolstr!("{REQUIRED}::{}", event.kind());
        log::info!(target: &target, "[workload] {event}");
    } else if matches!(event, Event::Evacuation { .. }) {
        // The operators change the zones, so there are as few lines as changes.
        log::info!("[operator] {event}");
    } else if matches!(event, Event::IdleQueue { .. }) {
        // A record of standing jobs may not contain the start of the process.
        log_line(node, event.kind(), &format!("{event} revision={REVISION}"));
    } else {
        log_line(node, event.kind(), &event.to_string());
    }
}

fn log_line<P>(node: &Node<P>, kind: &'static str, line: &str)
where
    P: Platform,
{
    if node.limiter.admit(kind, line, node.now()) {
        log::info!("[workload] {line}");
    }
}

/// Counts an event in the metrics, whether it is logged or not.
fn count_event(event: &Event) {
    metrics::counter!(metric::DECISIONS, "kind" => event.kind()).increment(1);
    if let Event::Load { held, list_age, .. } = event {
        metrics::gauge!(metric::HELD_RUNS).set(*held as f64);
        metrics::gauge!(metric::LIST_AGE).set(list_age.as_secs_f64());
    }
    if let Event::Place { waited, is_wide, .. } = event {
        let width = if *is_wide { "wide" } else { "narrow" };
        metrics::histogram!(metric::WAIT_SECONDS, "width" => width).record(waited.as_secs_f64());
    }
    if let Event::Evacuation { zones, .. } = event {
        metrics::gauge!(metric::EVACUATED_ZONES).set(*zones as f64);
    }
    if let Event::IdleQueue { queue, longest, .. } = event {
        metrics::gauge!(metric::IDLE_JOB_SECONDS, "queue" => queue.to_string())
            .set(longest.as_secs_f64());
    }
    if let Event::Verdict { cause, runs, .. } = event {
        let runs = u64::try_from(*runs).unwrap_or(u64::MAX);
        metrics::counter!(metric::FREED_RUNS, "verdict" => cause.name()).increment(runs);
    }
    if let Event::Sighted { cause, sighting, .. } = event {
        let (verdict, state) = (cause.name(), sighting.name());
        metrics::counter!(metric::SIGHTED_RUNS, "verdict" => verdict, "state" => state)
            .increment(1);
    }
}

async fn send_start<P>(
    node: Rc<Node<P>>,
    term: Rc<Term>,
    target: order::Target,
    mut start: order::Start,
    ordered_at: Instant,
) where
    P: Platform,
{
    let now = node.now();
    start.valid -= start.valid.min(now.saturating_duration_since(ordered_at));
    let is_admitted = term.with_engine(|engine| engine.admits_start(&target.worker, now));
    if !term.is_valid(now) || is_admitted == Some(false) {
        // A commit that is recognised late confirms the ownership as of its first copy. The zone of the
        // worker may have been evacuated since the start was ordered.
        term.with_engine(|engine| engine.start_not_sent(&target, &start, now));
        return execute_actions(&node, &term);
    }
    let sent_at = now;
    let result = relay::start(&node, &term, &target, &start).await;
    let now = node.now();
    let elapsed = now.saturating_duration_since(sent_at);
    if elapsed >= relay::SLOW_START_MIN {
        let line = format!(
            "task={} run={} worker={} start_ms={}",
            start.task,
            start.run,
            target.worker,
            elapsed.as_millis()
        );
        node.meter.measure(Part::Log, || log_line(&node, "slow_start", &line));
    }
    node.meter.measure(Part::Reports, || {
        term.with_engine(|engine| engine.start_answered(&target, &start, result, now));
    });
    execute_actions(&node, &term);
}

async fn send_stop<P>(node: Rc<Node<P>>, term: Rc<Term>, target: order::Target, stop: order::Stop)
where
    P: Platform,
{
    if !term.is_valid(node.now()) {
        return;
    }
    let result = relay::stop(&node, &term, &target, &stop).await;
    let now = node.now();
    term.with_engine(|engine| engine.stop_answered(&target, &stop, result, now));
    execute_actions(&node, &term);
}

/// Sends an order of speed, and then each one of the same run that has come meanwhile.
async fn send_speeds<P>(
    node: Rc<Node<P>>,
    term: Rc<Term>,
    target: order::Target,
    order: order::Speed,
) where
    P: Platform,
{
    let mut next = Some((target, order));
    while let Some((target, order)) = next {
        if let Err(failure) = relay::set_speed(&node, &term, &target, &order).await {
            log::info!(
                "[workload] task={} worker={} setting the speed failed: {failure}",
                order.task,
                target.worker
            );
            term.with_engine(|engine| engine.speed_failed(&target, order.task));
        }
        next = term.speeds.borrow_mut().finish(&order);
    }
}

async fn advise<P>(
    node: Rc<Node<P>>,
    term: Rc<Term>,
    step: task::Step,
    workers: Vec<id::Worker>,
    timeout: Duration,
) where
    P: Platform,
{
    let sent = node.now();
    let answer = node.platform.advisor().advise(step, &workers, timeout).await;
    let now = node.now();
    match &answer {
        Ok((allowed, _)) => {
            let (queried, allowed) = (workers.len(), allowed.len());
            let line =
                format!("[workload] step={step} decision=advice asked={queried} allowed={allowed}");
            if node.limiter.admit("advice", &line, now) {
                log::info!("{line}");
            }
        }
        Err(reason) => log::info!(
            "[workload] step={step} asked={} timeout_ms={} placement advice failed: {reason}",
            workers.len(),
            timeout.as_millis()
        ),
    }
    let answer = answer.ok();
    term.with_engine(|engine| engine.advice_answered(step, answer, sent, now));
    execute_actions(&node, &term);
}

/// Polls a worker until the engine needs no more polls of it.
async fn poll_loop<P>(node: Rc<Node<P>>, term: Rc<Term>, id: id::Worker)
where
    P: Platform,
{
    loop {
        let started = node.now();
        match poll(&node, &term, &id).await {
            Outcome::Answered => {}
            Outcome::Failed => {
                Timer::after(POLL_BACKOFF).await;
            }
            Outcome::Unneeded => break,
        }
        let seen = term.stored.count();
        let pending = term.with_engine(|engine| engine.has_pending_ends(&id)).unwrap_or(false);
        if pending {
            term.stored.wait(seen, STORE_TIMEOUT).await;
        }
        let elapsed = node.now().saturating_duration_since(started);
        if elapsed < POLL_INTERVAL {
            Timer::after(POLL_INTERVAL - elapsed).await;
        }
    }
    relay::disconnect(&node, &term, &id);
}

/// Outcome of a poll.
enum Outcome {
    Answered,
    Failed,
    /// The worker was removed and has no runs left, so it needs no more polls.
    Unneeded,
}

async fn poll<P>(node: &Rc<Node<P>>, term: &Rc<Term>, id: &id::Worker) -> Outcome
where
    P: Platform,
{
    let sent = node.now();
    if !term.is_valid(sent) {
        // Leases renewed now could end after the next owner assumes that they have ended.
        return Outcome::Failed;
    }
    let order = node
        .meter
        .measure(Part::Reports, || term.with_engine(|engine| engine.poll(id, sent)).flatten());
    let Some((target, poll)) = order else { return Outcome::Unneeded };
    let result = relay::poll(node, term, &target, &poll).await;
    let now = node.now();
    let outcome = if result.is_ok() { Outcome::Answered } else { Outcome::Failed };
    node.meter.measure(Part::Reports, || {
        term.with_engine(|engine| engine.poll_answered(&target, &poll, sent, result, now));
    });
    execute_actions(node, term);
    outcome
}
