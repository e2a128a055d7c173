//! Conversion between the orders of the engine and the messages to relays.

use std::net::SocketAddr;
use std::time::Duration;

use knapweedgap_core::{id, revision};
use knapweedgap_instance::relay::{self, Kind, Task};
use knapweedgap_instance::wire::Call;
use knapweedgap_workload::order::{self, Failure, Refusal};
use knapweedgap_workload::task;
use knapweedgap_workload::worker::{self, Cause, Report};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

/// Order before it is queued: its call number and the position of its payload are set then.
#[derive(Debug)]
pub(super) struct Draft {
    pub(super) order: relay::Order,
    /// Payload of a start.
    pub(super) payload: Option<String>,
}

fn draft(target: &order::Target, fence: revision::Fence, kind: Kind) -> Draft {
    let order = relay::Order {
        call: Call::new(0),
        worker: target.worker.clone(),
        incarnation: target.incarnation,
        address: target.address,
        fence,
        kind,
    };
    Draft { order, payload: None }
}

pub(super) fn start(target: &order::Target, start: &order::Start) -> Draft {
    let kind = Kind::Start(relay::Start {
        run: run(start.task, start.run),
        payload: 0,
        lease_end_ms: start.lease_end.millis(),
        checkpoint: start.checkpoint.clone(),
        ticket: start.ticket.clone(),
        valid_ms: Some(millis(start.valid)),
    });
    Draft { payload: Some(start.payload.clone()), ..draft(target, start.fence, kind) }
}

pub(super) fn stop(target: &order::Target, stop: &order::Stop) -> Draft {
    draft(target, stop.fence, Kind::Stop(run(stop.task, stop.run)))
}

pub(super) fn speed(target: &order::Target, speed: &order::Speed) -> Draft {
    draft(target, speed.fence, Kind::Speed(run(speed.task, speed.run), speed.percent))
}

pub(super) fn poll(target: &order::Target, poll: &order::Poll) -> Draft {
    let kind = Kind::Poll(relay::Poll {
        acknowledged: poll.acknowledged,
        lease_end_ms: poll.lease_end.map(worker::Clock::millis),
        wait_ms: millis(poll.wait),
    });
    draft(target, poll.fence, kind)
}

pub(super) fn disconnect(worker: &id::Worker) -> Draft {
    let order = relay::Order {
        call: Call::new(0),
        worker: worker.clone(),
        incarnation: revision::Incarnation::default(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        fence: revision::Fence::default(),
        kind: Kind::Disconnect,
    };
    Draft { order, payload: None }
}

/// Returns the worker incarnation that an order is meant for.
pub(super) fn target(order: &relay::Order) -> order::Target {
    order::Target {
        worker: order.worker.clone(),
        incarnation: order.incarnation,
        address: order.address,
    }
}

/// Returns the start that a message describes; `None` if it names a payload that the message lacks.
pub(super) fn decoded_start(
    start: &relay::Start,
    fence: revision::Fence,
    payloads: &[String],
) -> Option<order::Start> {
    let payload = payloads.get(usize::try_from(start.payload).ok()?)?;
    Some(order::Start {
        task: task_id(start.run.task),
        run: start.run.number,
        payload: payload.clone(),
        lease_end: worker::Clock::from_millis(start.lease_end_ms),
        fence,
        checkpoint: start.checkpoint.clone(),
        ticket: start.ticket.clone(),
        valid: start.valid_ms.map_or(Duration::MAX, Duration::from_millis),
    })
}

pub(super) fn decoded_poll(poll: &relay::Poll, fence: revision::Fence) -> order::Poll {
    order::Poll {
        fence,
        acknowledged: poll.acknowledged,
        lease_end: poll.lease_end_ms.map(worker::Clock::from_millis),
        wait: Duration::from_millis(poll.wait_ms),
    }
}

/// Encodes the outcome of an order that has no report.
pub(super) fn outcome(result: Result<(), Failure>) -> relay::Result {
    match result {
        Ok(()) => relay::Result::Done,
        Err(Failure::Refused(refusal)) => relay::Result::Refused(refusal.to_smolstr()),
        Err(Failure::NoListener) => relay::Result::NoListener,
        Err(Failure::Unanswered(reason)) => relay::Result::Unanswered(reason),
    }
}

/// Encodes the outcome of a poll.
pub(super) fn polled(result: Result<Report, Failure>) -> relay::Result {
    match result {
        Ok(report) => relay::Result::Report(encoded_report(report)),
        Err(failure) => outcome(Err(failure)),
    }
}

/// Decodes the outcome of an order that has no report.
pub(super) fn decoded_outcome(result: relay::Result) -> Result<(), Failure> {
    match result {
        relay::Result::Done => Ok(()),
        other => Err(decoded_failure(other)),
    }
}

/// Decodes the outcome of a poll.
pub(super) fn decoded_report(result: relay::Result) -> Result<Report, Failure> {
    match result {
        relay::Result::Report(report) => Ok(report_of(report)),
        other => Err(decoded_failure(other)),
    }
}

fn decoded_failure(result: relay::Result) -> Failure {
    match result {
        relay::Result::Refused(reason) => refusal(&reason),
        relay::Result::NoListener => Failure::NoListener,
        relay::Result::Unanswered(reason) => Failure::Unanswered(reason),
        relay::Result::Done | relay::Result::Report(_) => {
            Failure::Unanswered("the relay sent an outcome of another kind".into())
        }
    }
}

fn refusal(name: &str) -> Failure {
    let known = Refusal::ALL.into_iter().find(|refusal| refusal.to_smolstr() == name);
    match known {
        Some(refusal) => Failure::Refused(refusal),
        None => Failure::Unanswered(format_smolstr!("unknown refusal {name:?}")),
    }
}

const CAUSES: [Cause; 6] = [
    Cause::Done,
    Cause::Failed,
    Cause::Stopped,
    Cause::LeaseExpired,
    Cause::GangEnded,
    Cause::GangIncomplete,
];

fn encoded_report(report: Report) -> relay::Report {
    let running = report.running.into_iter().map(|running| {
        let worker::Running { task, run, checkpoint, progress, measure } = running;
        relay::Running(encoded_task(task), run, checkpoint, progress, measure)
    });
    let ended = report.ended.into_iter().map(|ended| {
        let cause = ended.cause.to_smolstr();
        relay::Ended(ended.number, encoded_task(ended.task), ended.run, cause, ended.checkpoint)
    });
    relay::Report {
        incarnation: report.incarnation,
        clock_ms: report.clock.millis(),
        leaves_in_ms: report.leaves_in.map(millis),
        running: running.collect(),
        ended: ended.collect(),
        undecoded: report.undecoded,
    }
}

fn report_of(report: relay::Report) -> Report {
    let running = report.running.into_iter().map(|running| {
        let relay::Running(task, run, checkpoint, progress, measure) = running;
        worker::Running { task: task_id(task), run, checkpoint, progress, measure }
    });
    Report {
        incarnation: report.incarnation,
        clock: worker::Clock::from_millis(report.clock_ms),
        leaves_in: report.leaves_in_ms.map(Duration::from_millis),
        running: running.collect(),
        ended: report.ended.into_iter().map(ended).collect(),
        undecoded: report.undecoded,
    }
}

fn ended(ended: relay::Ended) -> worker::Ended {
    let relay::Ended(number, task, run, cause, checkpoint) = ended;
    let known = CAUSES.into_iter().find(|known| known.to_smolstr() == cause);
    if known.is_none() {
        log::warn!("[relay] task={} unknown cause {cause:?}, treated as lapsed", task_id(task));
    }
    let cause = known.unwrap_or(Cause::LeaseExpired);
    worker::Ended { number, task: task_id(task), run, cause, checkpoint }
}

fn run(task: task::Id, number: revision::Run) -> relay::Run {
    relay::Run { task: encoded_task(task), number }
}

fn encoded_task(task: task::Id) -> Task {
    Task(task.step.job, task.step.occurrence, task.step.step, task.index)
}

pub(super) fn task_id(task: Task) -> task::Id {
    let Task(job, occurrence, step, index) = task;
    task::Step { job, occurrence, step }.task(index)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Reason for an order whose relay gave no outcome.
pub(super) fn lost(relay: &id::Instance) -> SmolStr {
    format_smolstr!("no outcome from relay {relay}")
}
