//! Heartbeat loop of one worker. It also renews the lease of the worker and sends commands.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use knapweedgap_core::id;
use knapweedgap_placement::command::{Body, Command};
use knapweedgap_timeline::event::Kind;
use knapweedgap_worker::caller::{Caller, Error};
use knapweedgap_worker::wire;

use super::super::context::Context;
use super::super::journal;
use super::{Owned, convert};
use crate::metric;

/// Maximum number of commands queued for one worker.
pub(super) const COMMANDS_MAX: usize = 1024;
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of each list of runs in one heartbeat.
const RUNS_PER_LIST_MAX: usize = 256;

struct Session {
    context: Rc<Context>,
    owned: Rc<Owned>,
    worker: id::Worker,
    caller: Caller,
    backlog: Backlog,
    reachable: bool,
}

/// Ended runs to list in the next heartbeats. Runs listed in a failed heartbeat are in the next
/// report again.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    pub(super) publish: Vec<wire::Run>,
    pub(super) forget: Vec<wire::Run>,
}

impl Backlog {
    /// Removes and returns the runs that fit into one heartbeat.
    fn take(&mut self) -> Backlog {
        Backlog { publish: take_first(&mut self.publish), forget: take_first(&mut self.forget) }
    }
}

fn take_first(runs: &mut Vec<wire::Run>) -> Vec<wire::Run> {
    let rest = runs.split_off(runs.len().min(RUNS_PER_LIST_MAX));
    std::mem::replace(runs, rest)
}

/// Runs until `commands` is closed, which happens when the worker is removed from the list or the
/// ownership ends.
pub(super) async fn run(
    context: Rc<Context>,
    owned: Rc<Owned>,
    worker: id::Worker,
    address: SocketAddr,
    commands: Receiver<Command>,
) {
    let caller = Caller::new(address, CALL_TIMEOUT);
    let backlog = Backlog::default();
    let mut session = Session { context, owned, worker, caller, backlog, reachable: true };
    while !commands.is_closed() {
        let next = Instant::now() + HEARTBEAT_INTERVAL;
        session.heartbeat().await;
        session.send_commands_until(&commands, next).await;
    }
}

impl Session {
    async fn heartbeat(&mut self) {
        let now = self.context.now();
        let partition = self.owned.partition;
        let permitted = self.context.members.query(|engine| engine.permits_grant(partition, now));
        let heartbeat = self.owned.input(|engine| {
            if permitted {
                engine.ownership_validated(now);
            }
            engine.heartbeat(&self.worker, now)
        });
        let Some(mut heartbeat) = heartbeat else { return };
        if !permitted {
            heartbeat.grant = None;
        }
        let message = convert::heartbeat(&heartbeat, self.backlog.take());
        match self.caller.heartbeat(&message).await {
            Ok(report) => self.handle_report(report),
            Err(error) => self.handle_failure(&error),
        }
    }

    fn handle_report(&mut self, report: wire::Report) {
        if !self.reachable {
            self.reachable = true;
            self.record(Kind::WorkerReachable, "");
        }
        let now = self.context.now();
        let report = convert::report(report);
        self.owned.input(|engine| engine.observe(&report, now));
    }

    fn handle_failure(&mut self, error: &Error) {
        metrics::counter!(metric::HEARTBEATS_FAILED).increment(1);
        if let Error::Refused(refusal) = error
            && refusal.epoch > self.owned.epoch
        {
            self.context.members.poll_soon();
        }
        if self.reachable {
            self.reachable = false;
            log::warn!("[worker] {} heartbeat failed: {error}", self.worker);
            self.record(Kind::WorkerUnreachable, &error.to_string());
        }
        self.owned.input(|engine| engine.worker_unreachable(&self.worker));
    }

    fn record(&self, kind: Kind, detail: &str) {
        let Some(vm) = journal::vm(&self.worker) else { return };
        let partition = self.owned.partition;
        self.context.journal.record(kind, |event| event.vm(vm).partition(partition).detail(detail));
    }

    /// Sends commands until the next heartbeat is due.
    async fn send_commands_until(&mut self, commands: &Receiver<Command>, next: Instant) {
        loop {
            let command = async { commands.recv().await.ok() };
            let due = async {
                Timer::at(next).await;
                None
            };
            let Some(command) = command.or(due).await else { return };
            self.send(command).await;
        }
    }

    async fn send(&mut self, command: Command) {
        let head = convert::head(&command);
        let run = wire::Run { task: head.task, attempt: head.attempt };
        let result = match command.body {
            Body::Start(start) => self.caller.start(&convert::start(head, *start)).await,
            Body::Stop { checkpoint } => self.caller.stop(&wire::Stop { head, checkpoint }).await,
            Body::Checkpoint => self.caller.checkpoint(&wire::Checkpoint { head }).await,
            Body::Throttle(share) => self.caller.throttle(&wire::Throttle { head, share }).await,
            Body::Publish => return self.backlog.publish.push(run),
            Body::Forget => return self.backlog.forget.push(run),
        };
        if let Err(error) = result {
            log::debug!("[worker] {}: command for task {} failed: {error}", self.worker, head.task);
        }
    }
}
