//! Carries out what the engine decides.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use knapweedgap_core::id;
use knapweedgap_workload::action::Action;
use knapweedgap_workload::note::Note;
use knapweedgap_workload::order;
use knapweedgap_workload::task;

use super::Node;
use super::term::Term;
use crate::metric;
use crate::peer::{Advisor, Platform, Workers};

/// Pause after a look that failed.
const LOOK_RETRY: Duration = Duration::from_millis(250);
/// Longest wait for the ends of a worker to be stored before it is looked at again.
const STORE_WAIT: Duration = Duration::from_millis(500);
/// Shortest time between two looks at one worker. Ends that come together are fetched together.
const LOOK_INTERVAL: Duration = Duration::from_millis(40);

/// Carries out the actions that wait in the engine.
pub(super) fn carry_out<P>(node: &Rc<Node<P>>, term: &Rc<Term>)
where
    P: Platform,
{
    let Some(actions) = term.with_engine(|engine| engine.actions()) else { return };
    for action in actions {
        carry_out_one(node, term, action);
    }
    if term.with_engine(|engine| engine.has_batch()).unwrap_or(false) {
        term.work.notify();
    }
}

fn carry_out_one<P>(node: &Rc<Node<P>>, term: &Rc<Term>, action: Action)
where
    P: Platform,
{
    match action {
        Action::Answer(ticket, answer) => {
            let waiter = term.tickets.borrow_mut().remove(&ticket);
            let Some(waiter) = waiter else { return };
            // The client may have gone away meanwhile.
            let _ = waiter.try_send(answer);
        }
        Action::Start(target, start) => {
            node.spawn(send_start(node.clone(), term.clone(), target, start));
        }
        Action::Stop(target, stop) => {
            node.spawn(send_stop(node.clone(), term.clone(), target, stop));
        }
        Action::Pace(target, pace) => {
            node.spawn(send_pace(node.clone(), term.clone(), target, pace));
        }
        Action::Look(id) => {
            let (node, term) = (node.clone(), term.clone());
            node.clone().spawn(async move {
                look(&node, &term, &id).await;
            });
        }
        Action::Follow(id) => {
            let follow = follow(node.clone(), term.clone(), id.clone());
            term.looks.borrow_mut().insert(id, node.executor.spawn(follow));
        }
        Action::Advise(step, workers) => {
            node.spawn(advise(node.clone(), term.clone(), step, workers));
        }
        Action::Note(note) => log_note(node, &note),
        Action::CheckOwnership(worker, reason) => {
            log::info!("[term] worker={worker} {reason}, checking the ownership");
            // The next commit fails if another instance owns the workload.
            term.work.notify();
        }
    }
}

fn log_note<P>(node: &Node<P>, note: &Note)
where
    P: Platform,
{
    metrics::counter!(metric::DECISIONS, "kind" => note.kind()).increment(1);
    if node.limiter.admit(note.kind(), node.now()) {
        log::info!("[workload] {note}");
    }
}

async fn send_start<P>(
    node: Rc<Node<P>>,
    term: Rc<Term>,
    target: order::Target,
    start: order::Start,
) where
    P: Platform,
{
    if !term.is_valid(node.now()) {
        return;
    }
    let result = node.platform.workers().start(&target, &start).await;
    let now = node.now();
    term.with_engine(|engine| engine.start_answered(&target, &start, result, now));
    carry_out(&node, &term);
}

async fn send_stop<P>(node: Rc<Node<P>>, term: Rc<Term>, target: order::Target, stop: order::Stop)
where
    P: Platform,
{
    if !term.is_valid(node.now()) {
        return;
    }
    let result = node.platform.workers().stop(&target, &stop).await;
    let now = node.now();
    term.with_engine(|engine| engine.stop_answered(&target, &stop, result, now));
    carry_out(&node, &term);
}

async fn send_pace<P>(node: Rc<Node<P>>, term: Rc<Term>, target: order::Target, pace: order::Pace)
where
    P: Platform,
{
    if let Err(failure) = node.platform.workers().set_speed(&target, &pace).await {
        log::info!("[workload] task={} worker={} pace: {failure}", pace.task, target.worker);
        term.with_engine(|engine| engine.pace_failed(&target, pace.task));
    }
}

async fn advise<P>(node: Rc<Node<P>>, term: Rc<Term>, step: task::Step, workers: Vec<id::Worker>)
where
    P: Platform,
{
    let sent = node.now();
    let answer = node.platform.advisor().advise(step, &workers).await;
    let now = node.now();
    match &answer {
        Ok((allowed, _)) => {
            if node.limiter.admit("advice", now) {
                let (asked, allowed) = (workers.len(), allowed.len());
                log::info!(
                    "[workload] step={step} decision=advice asked={asked} allowed={allowed}"
                );
            }
        }
        Err(reason) => log::info!("[workload] step={step} no advice: {reason}"),
    }
    let answer = answer.ok();
    term.with_engine(|engine| engine.advised(step, answer, sent, now));
    carry_out(&node, &term);
}

/// Looks at a worker as long as it has to be followed.
async fn follow<P>(node: Rc<Node<P>>, term: Rc<Term>, id: id::Worker)
where
    P: Platform,
{
    loop {
        let begun = node.now();
        match look(&node, &term, &id).await {
            Looked::Answered => {}
            Looked::Failed => {
                Timer::after(LOOK_RETRY).await;
            }
            Looked::Gone => break,
        }
        let seen = term.stored.count();
        let pending = term.with_engine(|engine| engine.has_pending_ends(&id)).unwrap_or(false);
        if pending {
            term.stored.after(seen, STORE_WAIT).await;
        }
        let spent = node.now().saturating_duration_since(begun);
        if spent < LOOK_INTERVAL {
            Timer::after(LOOK_INTERVAL - spent).await;
        }
    }
    node.platform.workers().forget(&id);
}

/// What came of a look.
enum Looked {
    Answered,
    Failed,
    /// The worker need not be followed any more.
    Gone,
}

async fn look<P>(node: &Rc<Node<P>>, term: &Rc<Term>, id: &id::Worker) -> Looked
where
    P: Platform,
{
    let sent = node.now();
    if !term.is_valid(sent) {
        // Leases that this instance renewed now might outlive those of the next owner.
        return Looked::Failed;
    }
    let order = term.with_engine(|engine| engine.look(id, sent)).flatten();
    let Some((target, hold)) = order else { return Looked::Gone };
    let result = node.platform.workers().poll(&target, &hold).await;
    let now = node.now();
    let looked = if result.is_ok() { Looked::Answered } else { Looked::Failed };
    term.with_engine(|engine| engine.looked(&target, &hold, sent, result, now));
    carry_out(node, term);
    looked
}
