//! Client requests: the owner answers them, and other instances forward them to the owner.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_instance::sender::Failure;
use knapweedgap_membership::takeover;
use knapweedgap_workload::action::Ticket;
use knapweedgap_workload::api::{Answer, Outage, Request, Verb};
use smol_str::format_smolstr;

use super::Node;
use super::cost::Part;
use super::links::{self, WORKLOAD};
use crate::exchange::Call;
use crate::metric;
use crate::peer::Platform;

/// Longest time reserved before the end of the client's timeout for the transit of the answer.
const REPLY_MARGIN_MAX: Duration = Duration::from_millis(250);
/// Part of the client's timeout that is reserved at most. A client that repeats a refused submission
/// has little time left; without an attempt it would be told that no leader serves requests.
const REPLY_MARGIN_PART: u32 = 4;
/// Timeout for one attempt at the leader, so that a leader that does not answer can't use up the
/// whole time of the client.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a request is attempted again.
const ATTEMPT_BACKOFF: Duration = Duration::from_millis(40);

/// Longest wait for a commit that confirms the ownership. A heartbeat and a slow store take about
/// 0.3 s each, and the answer has to arrive within [`ATTEMPT_TIMEOUT`].
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(750);

/// Reason of a refusal for the lack of a configuration.
const NO_CONFIGURATION: &str = "the store has no configuration that can be used";

/// Serves the requests from the traffic thread, each in a task of its own.
pub(super) async fn receive<P>(node: Rc<Node<P>>, calls: Receiver<Call>)
where
    P: Platform,
{
    while let Ok(call) = calls.recv().await {
        node.spawn(serve(node.clone(), call));
    }
}

/// Result of one attempt to answer a request.
pub(super) enum Attempt {
    Answered(Answer),
    /// The request was not executed.
    NotExecuted,
    /// The request may have been executed.
    Unknown,
}

impl Attempt {
    /// Returns the result that an answer of the leader stands for.
    fn of(answer: Answer) -> Attempt {
        match answer {
            Answer::Unknown(_) => Attempt::Unknown,
            answer => Attempt::Answered(answer),
        }
    }
}

async fn serve<P>(node: Rc<Node<P>>, call: Call)
where
    P: Platform,
{
    let Call { mut request, timeout, reply } = call;
    let started = node.now();
    let deadline = started + timeout - reply_margin(timeout);
    // Start of the first attempt that may have been executed.
    let mut attempted_at = None;
    let answer = loop {
        let seen = node.changed.count();
        let now = node.now();
        let remaining = deadline.saturating_duration_since(now);
        if remaining.is_zero() {
            break timeout_answer(&node, attempted_at.is_some());
        }
        request.attempted = attempted_at.map(|at| now.saturating_duration_since(at));
        match attempt(&node, &request, remaining).await {
            Attempt::Answered(answer) => break answer,
            Attempt::Unknown if !request.verb.is_read_only() => {
                attempted_at.get_or_insert(now);
            }
            Attempt::NotExecuted | Attempt::Unknown => {}
        }
        // Repeating a request is safe, because the job id makes it idempotent.
        node.changed.wait(seen, ATTEMPT_BACKOFF.min(remaining)).await;
    };
    let answer = final_answer(answer, attempted_at.is_some());
    log_answer(&node, &request, &answer, started);
    // The send fails if the client has disconnected.
    let _ = reply.try_send(answer);
}

/// Returns the time reserved for the transit of the answer to a client that waits for `timeout`.
fn reply_margin(timeout: Duration) -> Duration {
    REPLY_MARGIN_MAX.min(timeout / REPLY_MARGIN_PART)
}

/// Replaces an answer that rules out execution by [`Answer::Unknown`] if an earlier attempt may
/// have executed the request.
fn final_answer(answer: Answer, maybe_executed: bool) -> Answer {
    if maybe_executed && answer.rules_out_execution() {
        return Answer::Unknown(format_smolstr!(
            "an attempt was not answered, the last one: {answer}"
        ));
    }
    answer
}

/// Returns the answer to a request whose deadline has passed.
fn timeout_answer<P>(node: &Node<P>, maybe_executed: bool) -> Answer
where
    P: Platform,
{
    if maybe_executed {
        return Answer::Unknown("no answer from the leader in time".into());
    }
    let now = node.now();
    let is_claimed = node.term().is_some()
        || node.leader.borrow().as_ref().is_some_and(|leader| leader.is_in_contact(now));
    let state = if is_claimed {
        takeover::State::Claimed
    } else {
        node.claim_due.get().map_or(takeover::State::Unknown, takeover::State::Waiting)
    };
    let retry_after = Some(state.remaining(now));
    Answer::Unavailable(Outage { reason: "no leader serves requests".into(), retry_after })
}

fn log_answer<P>(node: &Node<P>, request: &Request, answer: &Answer, started: Instant)
where
    P: Platform,
{
    let now = node.now();
    let (kind, verb) = match request.verb {
        Verb::Submit(_) => ("submit", "submit"),
        Verb::Show => ("show", "show"),
        Verb::Cancel => ("cancel_call", "cancel"),
    };
    let elapsed = now.saturating_duration_since(started);
    metrics::histogram!(metric::REQUEST_SECONDS, "verb" => verb).record(elapsed.as_secs_f64());
    let routine = kind == "show" && matches!(answer, Answer::State(_) | Answer::Waiting(_));
    if routine {
        return;
    }
    let leader = node.leader.borrow().as_ref().map(|leader| leader.instance.clone());
    let leader = leader.unwrap_or_else(|| node.settings.name.clone());
    let line = format!(
        "[client] request={}{} verb={verb} leader={leader} outcome={answer} took_ms={}",
        request.host,
        request.path,
        elapsed.as_millis()
    );
    if node.limiter.admit(kind, &line, now) {
        log::info!("{line}");
    }
}

/// Answers a request as the owner, or forwards it to the leader once.
async fn attempt<P>(node: &Rc<Node<P>>, request: &Request, remaining: Duration) -> Attempt
where
    P: Platform,
{
    if node.term().is_some() {
        let timed_out = async {
            Timer::after(remaining).await;
            Attempt::Unknown
        };
        return answer_here(node, request.clone()).or(timed_out).await;
    }
    let leader = node.leader.borrow().clone();
    // A silent leader would use up the time of the client, and whether it executed the request would
    // not be known.
    let leader = leader.filter(|leader| leader.is_in_contact(node.now()));
    let Some(leader) = leader else { return Attempt::NotExecuted };
    let body = serde_json::to_string(request).unwrap_or_default();
    let timeout = ATTEMPT_TIMEOUT.min(remaining);
    match leader.sender.forward("POST", WORKLOAD, &body, timeout).await {
        Ok(reply) if reply.status == links::OK => match serde_json::from_str(&reply.body) {
            Ok(answer) => Attempt::of(answer),
            Err(error) => {
                log::warn!("[links] invalid answer from the leader: {error}");
                Attempt::Unknown
            }
        },
        Ok(_) => Attempt::NotExecuted,
        Err(Failure::Refused(refusal)) => {
            log::debug!("[links] request not forwarded: {refusal:?}");
            Attempt::NotExecuted
        }
        Err(failure) => {
            log::debug!("[links] forwarded request not answered: {failure:?}");
            Attempt::Unknown
        }
    }
}

/// Answers a request as the owner.
pub(super) async fn answer_here<P>(node: &Rc<Node<P>>, request: Request) -> Attempt
where
    P: Platform,
{
    let asked_at = node.now();
    // Submissions are large, and never denied.
    let repeated = (!matches!(request.verb, Verb::Submit(_))).then(|| request.clone());
    let attempt = ask_engine(node, request).await;
    let (Attempt::Answered(Answer::NoJob), Some(request)) = (&attempt, repeated) else {
        return attempt;
    };
    // Only a commit that is sent later shows that no other owner had accepted the job by then.
    let Some(term) = node.term() else { return Attempt::NotExecuted };
    let is_reachable = term.store_reachable.get();
    if is_reachable && term.is_confirmed_since(asked_at, CONFIRMATION_TIMEOUT).await {
        // The job may have been submitted meanwhile.
        return ask_engine(node, request).await;
    }
    if term.ended.count() > 0 {
        return Attempt::NotExecuted;
    }
    Attempt::Answered(Answer::Unavailable("the store does not confirm the ownership".into()))
}

/// Passes a request to the engine and waits until its answer may be given.
async fn ask_engine<P>(node: &Rc<Node<P>>, request: Request) -> Attempt
where
    P: Platform,
{
    let Some(term) = node.term() else { return Attempt::NotExecuted };
    if !term.is_serving() {
        if !term.lacks_configuration.get() {
            return Attempt::NotExecuted;
        }
        return Attempt::Answered(Answer::Unavailable(NO_CONFIGURATION.into()));
    }
    if matches!(request.verb, Verb::Submit(_)) && term.awaits_workers(node.now()) {
        // The engine would refuse the job for the lack of workers.
        return Attempt::NotExecuted;
    }
    let ticket = Ticket(term.last_ticket.get() + 1);
    term.last_ticket.set(ticket.0);
    let (sender, receiver) = async_channel::bounded(1);
    term.tickets.borrow_mut().insert(ticket, sender);
    let (now, wall_ms) = (node.now(), node.wall_ms());
    let store_reachable = term.store_reachable.get();
    let answer = node.meter.measure(Part::Requests, || {
        term.with_engine(|engine| {
            engine.set_store_available(store_reachable);
            engine.request(ticket, request, now, wall_ms)
        })
    });
    super::orders::execute_actions(node, &term);
    let Some(answer) = answer else {
        term.tickets.borrow_mut().remove(&ticket);
        return Attempt::NotExecuted;
    };
    if let Some(answer) = answer {
        term.tickets.borrow_mut().remove(&ticket);
        return Attempt::Answered(answer);
    }
    drop(term);
    // The channel closes if the term ends, and the commit that the answer waits for may be stored.
    receiver.recv().await.map_or(Attempt::Unknown, Attempt::Answered)
}
