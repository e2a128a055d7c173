//! Requests of clients: answered here by the owner, and passed on to it by the others.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_instance::sender::Failure;
use knapweedgap_workload::action::Ticket;
use knapweedgap_workload::api::{Answer, Request, Verb};

use super::Node;
use super::links::{self, WORKLOAD};
use crate::exchange::Call;
use crate::metric;
use crate::peer::Platform;

/// Time before the end of the client's patience at which the answer is sent: its way back.
const MARGIN: Duration = Duration::from_millis(250);
/// Limit on one try at the leader, so that a silent one does not use up the whole time.
const TRY_TIME: Duration = Duration::from_millis(900);
/// Pause before a request is tried again.
const RETRY: Duration = Duration::from_millis(40);

/// Receives the requests of the traffic thread.
pub(super) async fn receive<P>(node: Rc<Node<P>>, calls: Receiver<Call>)
where
    P: Platform,
{
    while let Ok(call) = calls.recv().await {
        node.spawn(serve(node.clone(), call));
    }
}

/// Result of one try.
enum Try {
    Answered(Answer),
    /// It was not carried out.
    NotDone,
    /// It may have been carried out.
    Unknown,
}

async fn serve<P>(node: Rc<Node<P>>, call: Call)
where
    P: Platform,
{
    let begun = node.now();
    let deadline = begun + call.timeout.saturating_sub(MARGIN);
    let mut offered = false;
    let answer = loop {
        let seen = node.changed.count();
        let left = deadline.saturating_duration_since(node.now());
        if left.is_zero() {
            break expired(offered);
        }
        match attempt(&node, &call.request, left).await {
            Try::Answered(answer) => break answer,
            Try::NotDone => {}
            Try::Unknown => offered = true,
        }
        // A repeated request is safe: the job id makes it the same job.
        node.changed.after(seen, RETRY.min(left)).await;
    };
    let answer = truthful(answer, offered);
    log_answer(&node, &call.request, &answer, begun);
    // The client may have gone away meanwhile.
    let _ = call.reply.try_send(answer);
}

/// A request that may have been carried out by an earlier try must not be called undone.
fn truthful(answer: Answer, offered: bool) -> Answer {
    match answer {
        Answer::Unavailable(reason) if offered => Answer::Unknown(reason),
        Answer::Refused { reason, .. } if offered => Answer::Unknown(reason),
        other => other,
    }
}

fn expired(offered: bool) -> Answer {
    if offered {
        return Answer::Unknown("no answer from the leader in time".into());
    }
    Answer::Unavailable("no leader".into())
}

fn log_answer<P>(node: &Node<P>, request: &Request, answer: &Answer, begun: Instant)
where
    P: Platform,
{
    let now = node.now();
    let (kind, verb) = match request.verb {
        Verb::Submit(_) => ("submit", "submit"),
        Verb::Show => ("show", "show"),
        Verb::Cancel => ("cancel_call", "cancel"),
    };
    let took = now.saturating_duration_since(begun);
    metrics::histogram!(metric::REQUEST_SECONDS, "verb" => verb).record(took.as_secs_f64());
    let routine = kind == "show" && matches!(answer, Answer::State(_) | Answer::Waiting(_));
    if routine || !node.limiter.admit(kind, now) {
        return;
    }
    let leader = node.leader.borrow().as_ref().map(|leader| leader.instance.clone());
    let leader = leader.unwrap_or_else(|| node.settings.name.clone());
    log::info!(
        "[client] request={}{} verb={verb} leader={leader} outcome={answer} took_ms={}",
        request.host,
        request.path,
        took.as_millis()
    );
}

async fn attempt<P>(node: &Rc<Node<P>>, request: &Request, left: Duration) -> Try
where
    P: Platform,
{
    if node.term().is_some() {
        let answer = answer_here(node, request.clone());
        let late = async {
            Timer::after(left).await;
            None
        };
        return answer.or(late).await.map_or(Try::Unknown, Try::Answered);
    }
    let leader = node.leader.borrow().clone();
    let Some(leader) = leader else { return Try::NotDone };
    let body = serde_json::to_string(request).unwrap_or_default();
    let time = TRY_TIME.min(left);
    match leader.sender.forward("POST", WORKLOAD, &body, time).await {
        Ok(reply) if reply.status == links::OK => match serde_json::from_str(&reply.body) {
            Ok(answer) => Try::Answered(answer),
            Err(error) => {
                log::warn!("[links] answer that can't be decoded: {error}");
                Try::Unknown
            }
        },
        Ok(_) => Try::NotDone,
        Err(Failure::Refused(refusal)) => {
            log::debug!("[links] request not passed on: {refusal:?}");
            Try::NotDone
        }
        Err(failure) => {
            log::debug!("[links] request without an answer: {failure:?}");
            Try::Unknown
        }
    }
}

/// Answers a request as the owner; nothing when this instance is not the owner, or ceases to be
/// it before the answer is stored.
pub(super) async fn answer_here<P>(node: &Rc<Node<P>>, request: Request) -> Option<Answer>
where
    P: Platform,
{
    let term = node.term()?;
    let ticket = Ticket(term.last_ticket.get() + 1);
    term.last_ticket.set(ticket.0);
    let (sender, receiver) = async_channel::bounded(1);
    term.tickets.borrow_mut().insert(ticket, sender);
    let (now, wall_ms) = (node.now(), node.wall_ms());
    let storing = term.store_answers.get();
    let answer = term.with_engine(|engine| {
        engine.set_storing(storing);
        engine.request(ticket, request, now, wall_ms)
    });
    super::orders::carry_out(node, &term);
    match answer {
        Some(Some(answer)) => {
            term.tickets.borrow_mut().remove(&ticket);
            Some(answer)
        }
        Some(None) => {
            drop(term);
            receiver.recv().await.ok()
        }
        None => {
            term.tickets.borrow_mut().remove(&ticket);
            None
        }
    }
}
